"""Settings of the roles ``dispatcher`` and ``runner``, read from a TOML file."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta

from banyanwheel_core import checking

from .settings import Address, Size, read_source

__all__ = ["DispatcherSettings", "RunnerSettings"]

Seconds = Annotated[float, Meta(gt=0)]
Text = Annotated[str, Meta(min_length=1)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Process:
    """Who a process is, and the address for its peers."""

    name: Text
    data_centre: Text
    address: Address
    metrics: Address | None = None
    grace_s: Seconds = 6.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Callers:
    """Where a dispatcher listens for callers and for the balancer's question."""

    listen: Address
    ready: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class Log:
    """The platform's log; ``partitions`` is the number in each topic."""

    address: Address
    partitions: Size


@dataclass(frozen=True, slots=True, kw_only=True)
class Jobs:
    """The platform's figures on running jobs."""

    lease_ms: Size = 1_000
    retention_s: Seconds = 120.0
    remote_rack_factor: Seconds = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Worker:
    """Where a runner takes its worker's heartbeats."""

    heartbeats: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class _Settings:
    process: Process
    log: Log
    jobs: Jobs = Jobs()

    @classmethod
    def from_file(cls, path):
        """Reads a file; raises FindingsError with every fault in it."""
        return checking.check(read_source(path), cls)


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatcherSettings(_Settings):
    """Settings of ``banyanwheeld dispatcher``."""

    callers: Callers


@dataclass(frozen=True, slots=True, kw_only=True)
class RunnerSettings(_Settings):
    """Settings of ``banyanwheeld runner``."""

    worker: Worker
