"""Job ids: who decides on a job, and which block the id came from."""

import re
from dataclasses import dataclass

from .effects import Peer
from .errors import InvalidIdError

__all__ = ["JobId"]

_PATTERN = re.compile(
    r"(?P<name>[a-z0-9][a-z0-9-]{0,62})\.(?P<incarnation>[0-9a-f]{16})"
    r"\.(?P<block>\d{1,12})\.(?P<number>\d{1,6})"
)


@dataclass(frozen=True, slots=True)
class JobId:
    """An id that the system issued: ``name.incarnation.block.number``."""

    coordinator: Peer
    block: int
    number: int

    @classmethod
    def parse(cls, text):
        """Reads an id; raises InvalidIdError for any other text."""
        match = _PATTERN.fullmatch(text)
        if match is None:
            raise InvalidIdError("not an id that this system issues")
        peer = Peer(match["name"], match["incarnation"])
        return cls(peer, int(match["block"]), int(match["number"]))

    def __str__(self):
        peer = self.coordinator
        return f"{peer.name}.{peer.incarnation}.{self.block}.{self.number}"
