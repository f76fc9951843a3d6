"""The subcommands."""

from typing import Annotated

import typer

from banyanwheel_core.documents import ConfigurationDocument, JobDocument
from banyanwheel_core.language import Reconfigure, Submit, parse

from ..client import Where
from ..errors import UsageError
from ..output import Printer
from ..story import Story
from .options import AsJson, with_run
from .prompt import Prompt
from .run import Run

__all__ = ["app"]

app = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="Asks what a banyanwheel system does, and tells it what to do.",
)

Words = Annotated[list[str], typer.Argument(help="The rest of the command.")]


@app.command()
@with_run
def submit(
    run: Run,
    file: Annotated[str, typer.Argument(help="A job as JSON; - is standard input.")],
):
    """Submit a job, wait for its end and print its state."""
    job = JobDocument.from_json(_read(run.environment, file), file)
    return run.execute(Submit(job))


@app.command()
@with_run
def ask(run: Run, text: Words):
    """Run any command of the language."""
    return _execute_words(run, *text)


@app.command()
@with_run
def show(run: Run, words: Words):
    """Show rows of a table: TABLE [where FILTER] [order by FIELD [desc]] [limit N]."""
    return _execute_words(run, "show", *words)


@app.command()
@with_run
def why(run: Run, job_id: str):
    """Tell why a job waits, was refused, or runs where it does."""
    return _execute_words(run, "why", job_id)


@app.command()
@with_run
def where(
    run: Run,
    file: Annotated[str, typer.Argument(help="A job as JSON; - is standard input.")],
    job_id: Annotated[
        str, typer.Option("--id", help="The job's id, on which its place may depend.")
    ] = "",
):
    """Tell where a job would go now, and why, without submitting it."""
    job = JobDocument.from_json(_read(run.environment, file), file)
    return run.execute(Where(job, job_id))


@app.command()
@with_run
def cancel(run: Run, words: Words):
    """Cancel a job: JOB_ID, or jobs where FILTER."""
    return _execute_words(run, "cancel", *words)


@app.command()
@with_run
def drain(run: Run, kind: str, name: str):
    """Keep new work away from a worker, rack or data-centre."""
    return _execute_words(run, "drain", kind, name)


@app.command()
@with_run
def undrain(run: Run, kind: str, name: str):
    """Lift a drain."""
    return _execute_words(run, "undrain", kind, name)


@app.command()
@with_run
def reconfigure(
    run: Run,
    file: Annotated[str, typer.Argument(help="A configuration; - is standard input.")],
):
    """Publish a configuration: TOML where the name ends in .toml, else JSON."""
    data = _read(run.environment, file)
    read = ConfigurationDocument.from_json
    if file.endswith(".toml"):
        data, read = data.decode(errors="replace"), ConfigurationDocument.from_toml
    return run.execute(Reconfigure(read(data, file)))


@app.command()
def explain(
    context: typer.Context,
    request_id: Annotated[str, typer.Argument(help="The id of a job.")],
    files: Annotated[list[str], typer.Argument(help="Log files of processes.")],
    as_json: AsJson = False,
):
    """Tell one request's story from the log files of several processes."""
    printer = Printer(context.obj, as_json)
    story = Story.from_files(request_id, files)
    printer.rows(story.rows)
    if story.unreadable:
        printer.error(f"{story.unreadable} lines could not be read")


@app.command()
@with_run
def prompt(run: Run):
    """Run commands line by line, with history and completion on a terminal."""
    return Prompt(run).run()


def _execute_words(run, *words):
    return run.execute(parse(" ".join(words)))


def _read(environment, file):
    if file == "-":
        return environment.stdin.read().encode()
    try:
        with open(file, "rb") as stream:
            return stream.read()
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error
