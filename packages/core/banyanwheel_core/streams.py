"""Pages of records as the platform's log service hands them out."""

import msgspec

__all__ = ["Page", "Record"]


class Record(msgspec.Struct, frozen=True):
    """One record of a stream; ``age_ms`` is its age when the page was made."""

    offset: int
    age_ms: int
    data: msgspec.Raw


class Page(msgspec.Struct, frozen=True):
    """Records in order of offset.

    ``first`` is the oldest offset still kept, ``next`` where to read on.
    """

    first: int
    next: int
    records: tuple[Record, ...]
