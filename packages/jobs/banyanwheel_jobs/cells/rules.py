"""The rules by which a dispatcher is chosen for a job, as operators see them."""

from enum import StrEnum

__all__ = ["Rule"]


class Rule(StrEnum):
    """Why a job runs at a dispatcher."""

    OPEN = "an earlier submission of the job is open there"
    OWNER = "it owns the partition of the job's id"
    ROOM_HERE = "room here"
    ROOM_NEAR = "room in this data centre"
    DATA = "room on the rack of its data"
    MUCH_ROOM = "much room there, too little here"
    LESS_WAIT = "less expected wait there"
    LEAST_WAIT_HERE = "no less expected wait elsewhere"
    SUITABLE_HERE = "suitable workers here, no more room elsewhere"
    SUITABLE_THERE = "suitable workers there, none here"
    NONE_SUITABLE = "no placer has suitable workers"
