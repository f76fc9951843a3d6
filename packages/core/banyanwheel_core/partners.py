"""Choice of a few partners out of many members, stable as members come and go."""

from functools import lru_cache
from hashlib import blake2b

__all__ = ["choose_partners", "rank"]

OTHER_DATA_CENTRES_SHARE = 4  # one in four
OTHER_RACKS_SHARE = 4  # one in four, in the same data centre
MAX_SCORES = 65_536


def choose_partners(sender, data_centre, rack, members, count):
    """Returns ``count`` member records by rendezvous hashing, best score first.

    At least a quarter stands in other data centres and a quarter in other racks of
    the sender's data centre, as far as there are any. A member that comes or goes
    changes at most one place in each of these shares.
    """
    ranked = rank(sender, members)
    far = [member for member in ranked if member.data_centre != data_centre]
    near = [
        member
        for member in ranked
        if member.data_centre == data_centre and member.rack != rack
    ]
    chosen = {
        member.name
        for member in (
            *far[: count // OTHER_DATA_CENTRES_SHARE],
            *near[: count // OTHER_RACKS_SHARE],
        )
    }
    for member in ranked:
        if len(chosen) >= count:
            break
        chosen.add(member.name)
    return tuple(member for member in ranked if member.name in chosen)


def rank(sender, members):
    """Returns member records by their rendezvous score, best first."""
    return sorted(members, key=lambda member: _score(sender, member.name))


@lru_cache(maxsize=MAX_SCORES)
def _score(sender, name):
    return blake2b(f"{sender}/{name}".encode(), digest_size=8).digest()
