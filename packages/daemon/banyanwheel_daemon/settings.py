"""Settings of a dispatcher or a runner, read from a TOML file."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from banyanwheel_core import checking
from banyanwheel_core.errors import FindingsError
from banyanwheel_core.findings import Finding

from .addresses import Address
from .variables import with_variables

__all__ = [
    "Callers",
    "DispatcherSettings",
    "Jobs",
    "Log",
    "Process",
    "RunnerSettings",
    "Worker",
    "check",
    "from_file",
    "read_source",
]

PositiveInt = Annotated[int, Meta(ge=1)]
PositiveFloat = Annotated[float, Meta(gt=0)]
NonEmptyText = Annotated[str, Meta(min_length=1)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Process:
    """The identity of a process and the addresses at which it listens.

    Other processes connect to ``address``, or to ``advertise`` where that differs.
    Metrics and health are served at ``operators``, and by a dispatcher also commands
    and jobs. A shutdown takes at most ``grace_s`` seconds. The process has
    ``processor_share`` of a processor that is ``processor_speed`` times as fast as the
    reference; dispatchers with more power place tasks first. ``memory_mb`` and
    ``max_descriptors`` are what the machine gives the process; without them its
    resource limits count.
    """

    name: NonEmptyText
    data_centre: NonEmptyText
    address: Address
    advertise: Address | None = None
    operators: Address | None = None
    grace_s: PositiveFloat = 6.0
    processor_share: PositiveFloat = 1.0
    processor_speed: PositiveFloat = 1.0
    memory_mb: PositiveFloat | None = None
    max_descriptors: PositiveInt | None = None

    @property
    def processing_power(self):
        """The speed at which the process runs, relative to others."""
        return self.processor_share * self.processor_speed

    @property
    def advertised_address(self):
        """The address at which other processes connect to this one, as a str."""
        return str(self.advertise or self.address)


@dataclass(frozen=True, slots=True, kw_only=True)
class Callers:
    """The addresses for callers and for the readiness probe of the load balancer."""

    listen: Address
    ready: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class Log:
    """The platform's log; ``partitions`` is the number of partitions in each topic."""

    address: Address
    partitions: PositiveInt


@dataclass(frozen=True, slots=True, kw_only=True)
class Jobs:
    """Figures for running jobs.

    ``lease_ms`` is the duration of a runner's lease, ``retention_s`` how long ended
    jobs are kept, and ``remote_rack_factor`` the cost factor of a remote rack in
    placement. Evacuations are in force within ``evacuation_ms``; without it none is
    followed. With ``separate_interfering`` a dispatcher detects tasks that slow each
    other down on one worker, and keeps them apart where there is room.
    """

    lease_ms: PositiveInt = 1_000
    retention_s: PositiveFloat = 120.0
    remote_rack_factor: PositiveFloat = 1.5
    evacuation_ms: PositiveInt | None = None
    separate_interfering: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """The address at which a runner receives its worker's heartbeats."""

    heartbeats: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class _RoleSettings:
    """The settings that both roles have."""

    process: Process
    log: Log
    jobs: Jobs = Jobs()

    @classmethod
    def from_file(cls, path):
        """Reads a settings file; raises FindingsError with all of its faults."""
        return checking.check(read_source(path), cls)


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatcherSettings(_RoleSettings):
    """Settings of ``banyanwheeld dispatcher``."""

    callers: Callers


@dataclass(frozen=True, slots=True, kw_only=True)
class RunnerSettings(_RoleSettings):
    """Settings of ``banyanwheeld runner``."""

    worker: Worker


def from_file(path, environ=None):
    """Reads a settings file of either role; raises FindingsError with its faults.

    Variables of ``environ`` go before the file, see :mod:`.variables`.
    """
    source = with_variables(read_source(path), environ or {})
    return checking.check(source, _role_of(source))


def check(path):
    """Returns the findings of a settings file of either role, () if it is valid."""
    try:
        from_file(path)
    except FindingsError as error:
        return error.findings
    return ()


def _role_of(source):
    match ("callers" in source.data, "worker" in source.data):
        case (True, False):
            return DispatcherSettings
        case (False, True):
            return RunnerSettings
        case (True, True):
            message = "a file sets up one role, not both [callers] and [worker]"
        case _:
            message = "names no role: it has neither [callers] nor [worker]"
    raise FindingsError([Finding("role", message, source.name)])


def read_source(path):
    """Returns the TomlSource of a file; raises FindingsError if it can't be read."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        message = error.strerror or "cannot be read"
        raise FindingsError([Finding("file", message, str(path))]) from error
    except UnicodeDecodeError as error:
        message = f"is not UTF-8 at byte {error.start}"
        raise FindingsError([Finding("file", message, str(path))]) from error
    return checking.TomlSource.parse(text, str(path))
