"""Prints results as tables."""

from rich.table import Table

__all__ = ["show"]

COLUMNS = (
    "jobs",
    "offered_tasks_s",
    "completed_tasks_s",
    "ratio_p50",
    "ratio_p90",
    "ratio_p99",
    "response_p50_ms",
    "response_p99_ms",
)
SCALARS = (
    "variant",
    "load",
    "factor",
    "headroom_slots",
    "run_ms",
    "seconds",
    "seed",
    "delays",
    "machine_load",
    "client_lag_p99_ms",
)


def show(console, result):
    """Prints one result."""
    given = [f"{key} {result[key]}" for key in SCALARS if key in result]
    console.print(f"[bold]{result['experiment']}[/bold]: {', '.join(given)}")
    console.print(_phases(result["phases"]))
    for phase, kinds in result["phases"].items():
        faults = {k: m["not_completed"] for k, m in kinds.items() if m["not_completed"]}
        if faults:
            console.print(f"not completed, {phase}: {faults}")
    for key in ("refusals", "kept", "share_of_starts", "placements"):
        for name, value in result.get(key, {}).items():
            if value:
                console.print(f"{key}, {name}: {value}")
    for key in ("messages_per_task", "counters", "cpu_share"):
        if key in result:
            console.print(f"{key}: {result[key]}")


def _phases(phases):
    table = Table("phase", "kind", *COLUMNS)
    for phase, kinds in phases.items():
        for kind, measure in kinds.items():
            table.add_row(phase, kind, *(str(measure[column]) for column in COLUMNS))
    return table
