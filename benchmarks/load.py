"""Load tool: ``python -m benchmarks.load steady|flood|failing``."""

import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console

from .deployment import Deployment
from .experiments import failing_run, flood_run, steady_run
from .tables import show
from .variant import Variant

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True, add_completion=False)

Name = Annotated[str, typer.Argument(help="settings file beside this module")]
Load = Annotated[float, typer.Option(help="share of all slots that is asked for")]
Seconds = Annotated[float, typer.Option(help="length of each measured phase")]
Stretch = Annotated[float, typer.Option(help="multiplies all run times")]
Seed = Annotated[int, typer.Option(help="seed of the arrivals")]
Runs = Annotated[int, typer.Option(help="repetitions, each with the next seed")]
Delays = Annotated[bool, typer.Option(help="network delays by proxies")]
Variants = Annotated[
    list[str],
    typer.Option(
        "--variant", help="choice=random,samples=9,module.NAME=1; each in turn"
    ),
]
Save = Annotated[Path | None, typer.Option(help="file for the results as JSON")]


@app.command()
def steady(
    deployment: Name = "magnolia-ridge",
    load: Load = 0.7,
    stretch: Stretch = 1.0,
    seconds: Seconds = 15.0,
    seed: Seed = 1,
    runs: Runs = 1,
    delays: Delays = True,
    variants: Variants = ("",),
    save: Save = None,
):
    """Measures response times and messages at a steady load."""
    settings = Deployment.from_name(deployment).stretched(stretch)
    results = [
        steady_run(settings, load, seconds, seed + run, delays=delays, variant=variant)
        for run in range(runs)
        for variant in map(Variant.parse, variants)
    ]
    _report(results, save)


@app.command()
def flood(
    deployment: Name = "coral-sea",
    kind: Annotated[str, typer.Option(help="least-urgent or most-urgent")] = (
        "least-urgent"
    ),
    load: Load = 0.5,
    factor: Annotated[float, typer.Option(help="flood over capacity")] = 5.0,
    headroom: Annotated[list[int], typer.Option(help="slots; each in turn")] = (1,),
    stretch: Stretch = 1.0,
    seconds: Seconds = 12.0,
    seed: Seed = 1,
    runs: Runs = 1,
    delays: Delays = False,
    variants: Variants = ("",),
    save: Save = None,
):
    """Measures what other work keeps before, during and after a flood."""
    settings = Deployment.from_name(deployment).stretched(stretch)
    names = {
        "least-urgent": settings.least_urgent,
        "most-urgent": settings.most_urgent,
    }
    flooding = settings.kind(names[kind])
    results = [
        flood_run(
            settings.with_headroom(slots),
            flooding,
            load,
            factor,
            seconds,
            seed + run,
            delays=delays,
            variant=variant,
        )
        for run in range(runs)
        for slots in headroom
        for variant in map(Variant.parse, variants)
    ]
    _report(results, save)


@app.command()
def failing(
    deployment: Name = "magnolia-ridge",
    load: Load = 0.7,
    stretch: Stretch = 1.0,
    seconds: Seconds = 15.0,
    seed: Seed = 1,
    runs: Runs = 1,
    delays: Delays = False,
    variants: Variants = ("",),
    save: Save = None,
):
    """Measures how many tasks reach a worker that fails all of them."""
    settings = Deployment.from_name(deployment).stretched(stretch)
    results = [
        failing_run(settings, load, seconds, seed + run, delays=delays, variant=variant)
        for run in range(runs)
        for variant in map(Variant.parse, variants)
    ]
    _report(results, save)


def _report(results, save):
    console = Console()
    for result in results:
        show(console, result)
    if save is not None:
        save.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


if __name__ == "__main__":
    sys.exit(app())
