"""Settings of the daemon's two roles, read from a TOML file."""

from dataclasses import dataclass
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated

from msgspec import Meta

from banyanwheel_core import checking
from banyanwheel_core.errors import FindingsError
from banyanwheel_core.findings import Finding
from banyanwheel_core.models import Name

__all__ = [
    "Address",
    "AgentListener",
    "AgentProcess",
    "AgentSettings",
    "RequestLimits",
    "EntryListener",
    "EntryProcess",
    "EntrySettings",
    "LogFile",
    "LogServiceSettings",
    "Peers",
    "check",
    "read_source",
]

MAX_PORT = 65_535
DAY_MS = 24 * 60 * 60 * 1000

Milliseconds = Annotated[int, Meta(ge=1, le=DAY_MS)]
Retention = Annotated[int, Meta(ge=1_000)]
Size = Annotated[int, Meta(ge=1)]


class Address(str):
    """An IP number and a port, written ``host:port``; IPv6 as ``[host]:port``."""

    __slots__ = ()

    @classmethod
    def parse(cls, text):
        """Checks the text; raises ValueError for anything but an IP and a port."""
        host, separator, port = text.rpartition(":")
        if not separator or not port.isascii() or not port.isdecimal():
            raise ValueError(f"'{text}' is not of the form host:port")
        if int(port) > MAX_PORT:
            raise ValueError(f"port {port} is above {MAX_PORT}")
        _check_host(host)
        return cls(text)

    @property
    def host(self):
        """The IP number, without brackets."""
        return self.rpartition(":")[0].strip("[]")

    @property
    def port(self):
        """The port; 0 lets the system choose one."""
        return int(self.rpartition(":")[2])


def _check_host(host):
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError(f"'{host}' is not an IP number") from None
    if bracketed != (address.version == 6):
        raise ValueError(f"'{host}': brackets belong around IPv6 numbers only")


ANY_PORT = Address("127.0.0.1:0")


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryProcess:
    """Who an entry is and where it runs."""

    name: Name
    data_centre: Name


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentProcess:
    """Who an agent is and where its worker stands."""

    name: Name
    data_centre: Name
    rack: Name


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryListener:
    """Addresses of an entry: ``http`` for callers and operators, ``address`` for peers.

    Peers learn ``address`` from their own settings, not from the entry.
    """

    http: Address = ANY_PORT
    address: Address = ANY_PORT


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentListener:
    """Addresses and bounds of an agent.

    ``http`` serves the backend server beside it, health and metrics, ``address``
    messages from peers; ``advertise`` is what peers are told in place of it. Kept
    answers last ``retention_ms``, an announcement ``announce_lifetime_ms``; a
    graceful stop waits at most ``grace_ms`` for work in progress.
    """

    http: Address = ANY_PORT
    address: Address = ANY_PORT
    advertise: Address | None = None
    retention_ms: Milliseconds = 120_000
    announce_lifetime_ms: Milliseconds = 300_000
    grace_ms: Milliseconds = 30_000
    max_jobs: Size = 10_000
    max_tasks: Size = 50_000
    max_answer_bytes: Size = 16 * 1024 * 1024

    def __post_init__(self):
        """Makes ``advertise`` a plain text: the codec takes no subclass of it."""
        if self.advertise is not None:
            object.__setattr__(self, "advertise", str(self.advertise))


@dataclass(frozen=True, slots=True, kw_only=True)
class LogServiceSettings:
    """The platform's log service and the streams used on it.

    ``retention_ms`` is how long the log service keeps a record.
    """

    url: Annotated[str, Meta(pattern=r"^https?://[^/\s]+(/[^\s]*)?$")]
    poll_ms: Milliseconds = 2_000
    retention_ms: Retention = 3_600_000
    members_stream: Name = "members"
    configuration_stream: Name = "configuration"


@dataclass(frozen=True, slots=True, kw_only=True)
class Peers:
    """Addresses of the entries, from which a newcomer learns in a log outage."""

    entries: tuple[Address, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class LogFile:
    """Where log lines go; ``-`` is standard output."""

    file: Annotated[str, Meta(min_length=1)] = "-"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """Bounds on what callers may send to an entry."""

    max_body_bytes: Size = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class _RoleSettings:
    """What the settings of both roles share."""

    log_service: LogServiceSettings
    peers: Peers = Peers()
    logs: LogFile = LogFile()

    @classmethod
    def from_file(cls, path):
        """Reads a file; raises FindingsError with every fault in it."""
        return checking.check(read_source(path), cls)


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings(_RoleSettings):
    """Settings of ``banyanwheeld entry``."""

    process: EntryProcess
    entry: EntryListener
    limits: RequestLimits = RequestLimits()


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings(_RoleSettings):
    """Settings of ``banyanwheeld agent``."""

    process: AgentProcess
    agent: AgentListener


def check(path):
    """Returns the findings of a settings file of either role."""
    try:
        source = read_source(path)
        checking.check(source, _role_of(source))
    except FindingsError as error:
        return error.findings
    return ()


def _role_of(source):
    match ("entry" in source.data, "agent" in source.data):
        case (True, False):
            return EntrySettings
        case (False, True):
            return AgentSettings
        case (True, True):
            message = "a file sets up one role, not both [entry] and [agent]"
        case _:
            message = "names no role: it has neither [entry] nor [agent]"
    raise FindingsError([Finding("role", message, source.name)])


def read_source(path):
    """Reads a settings file; raises FindingsError where it can't be read."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        message = error.strerror or "cannot be read"
        raise FindingsError([Finding("file", message, str(path))]) from error
    except UnicodeDecodeError as error:
        message = f"is not UTF-8 at byte {error.start}"
        raise FindingsError([Finding("file", message, str(path))]) from error
    return checking.TomlSource.parse(text, str(path))
