"""The operators' configuration document and its checks."""

from typing import Annotated

import msgspec
from msgspec import Meta

from . import checking
from .errors import FindingsError
from .findings import Finding
from .models import MAX_DECLARED_MS, MAX_TASKS, Name

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "Document",
    "Drains",
    "KindSettings",
    "Limits",
    "SubsidiarySettings",
]

MAX_DOCUMENT_BYTES = 256 * 1024
MAX_PAYLOAD_BYTES = 16 * 1024 * 1024
MAX_QUEUE = 100_000

Weight = Annotated[float, Meta(ge=0.001, le=1000)]
Quota = Annotated[float, Meta(gt=0, le=1)]
RackName = Annotated[
    str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}(/[a-z0-9][a-z0-9-]{0,62})?$")
]


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the document's parts."""


class SubsidiarySettings(_Part):
    """What one subsidiary may use.

    ``weight`` sets its share against others that have work waiting, ``quota`` is
    the largest share of a worker's slots that it may hold at once.
    """

    weight: Weight = 1.0
    quota: Quota = 1.0


class KindSettings(_Part):
    """How one kind of work is treated.

    ``weight`` is its urgency against other kinds of the same subsidiary;
    ``max_queue`` bounds the tasks that wait at one worker.
    """

    weight: Weight = 1.0
    max_queue: Annotated[int, Meta(ge=1, le=MAX_QUEUE)] = 256


class Drains(_Part):
    """What takes no new work; a rack is ``rack`` or ``data-centre/rack``."""

    workers: tuple[Name, ...] = ()
    racks: tuple[RackName, ...] = ()
    data_centres: tuple[Name, ...] = ()

    def covers(self, member):
        """Tells whether a member, with its place, is drained."""
        return (
            member.name in self.workers
            or member.rack in self.racks
            or f"{member.data_centre}/{member.rack}" in self.racks
            or member.data_centre in self.data_centres
        )


class Limits(_Part):
    """Bounds on submissions, and the slots that one flow leaves free at a worker."""

    max_tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS)] = MAX_TASKS
    max_payload_bytes: Annotated[int, Meta(ge=1, le=MAX_PAYLOAD_BYTES)] = 1024 * 1024
    max_deadline_ms: Annotated[int, Meta(ge=1, le=MAX_DECLARED_MS)] = MAX_DECLARED_MS
    headroom_slots: Annotated[int, Meta(ge=0, le=1024)] = 1


class Document(_Part):
    """One version of the configuration; what it does not name has defaults."""

    subsidiaries: dict[Name, SubsidiarySettings] = {}
    kinds: dict[Name, KindSettings] = {}
    drains: Drains = Drains()
    limits: Limits = Limits()

    @classmethod
    def from_toml(cls, text, source=""):
        """Reads TOML text; raises FindingsError with the line of each fault."""
        _check_size(text.encode(), source)
        return checking.check(checking.TomlSource.parse(text, source), cls)

    @classmethod
    def from_json(cls, data, source=""):
        """Reads JSON bytes; raises FindingsError with the key of each fault."""
        _check_size(data, source)
        try:
            plain = msgspec.json.decode(data)
        except (msgspec.DecodeError, RecursionError) as error:
            raise FindingsError([Finding("syntax", str(error), source)]) from error
        return checking.convert(plain, cls, source)

    def to_json(self):
        """Returns the whole document, defaults included, as JSON bytes."""
        return msgspec.json.encode(self)

    def subsidiary(self, name):
        """Returns the settings of a subsidiary."""
        return self.subsidiaries.get(name, _SUBSIDIARY)

    def kind(self, name):
        """Returns the settings of a kind of work."""
        return self.kinds.get(name, _KIND)


_SUBSIDIARY = SubsidiarySettings()
_KIND = KindSettings()


def _check_size(data, source):
    if len(data) > MAX_DOCUMENT_BYTES:
        message = f"is {len(data)} bytes, more than {MAX_DOCUMENT_BYTES}"
        raise FindingsError([Finding("document", message, source)])
