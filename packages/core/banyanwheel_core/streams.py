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

    ``first`` is the oldest offset still kept, ``next`` the offset that follows the
    page or, at some services, the end of the stream.
    """

    first: int
    next: int
    records: tuple[Record, ...]

    @property
    def resume(self):
        """The offset to read on from, under either meaning of ``next``."""
        return self.records[-1].offset + 1 if self.records else self.next
