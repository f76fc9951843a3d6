import asyncio

from banyanwheel_daemon.ownership import Ownership
from banyanwheel_jobs.owner import Owner
from banyanwheel_jobs.placement import Placement
from banyanwheel_jobs.ports import Appended, AppendOutcome, LogUnavailable
from tests.jobs.world import Notes


class SlowLog:
    """Appends are answered when the test says so."""

    def __init__(self):
        self.answer = asyncio.get_running_loop().create_future()

    async def append(self, topic, partition, records, *, epoch, sequence):
        return await self.answer


def own(log):
    """Returns an ownership with partition 0 open."""
    owner = Owner(
        1,
        Placement("dc", 1.5),
        retention_s=60,
        wall_ms=lambda: 0,
        send=None,
        store=None,
        note=Notes(),
    )
    ownership = Ownership(
        log,
        owner,
        "member",
        (lambda: 100.0, lambda: 0),
        Notes(),
        trusts=list,
        on_change=lambda: None,
        refresh=None,
    )
    partition = owner.open(0, 1, [], 100.0, 0)
    return owner, ownership, partition


async def store(log_of, end):
    """Stores a record, and returns what its waiter was told when ``end`` happened."""
    log = log_of()
    owner, ownership, partition = own(log)
    told = []
    partition.journal.add(
        [("key", b"value")], lambda: told.append("stored"), told.append
    )
    ownership.store(partition)
    await asyncio.sleep(0.05)
    end(log, owner)
    await asyncio.sleep(0.05)
    return told


def test_a_record_on_its_way_may_be_stored_when_the_ownership_ends():
    """Seen in a trial with jobs that have to be stored: scale-1, rule REFUSED."""
    told = asyncio.run(store(SlowLog, lambda log, owner: owner.close(0, "elsewhere")))
    assert told == [True]


def test_a_record_that_the_log_has_fenced_is_not_stored():
    fenced = Appended(AppendOutcome.FENCED)
    told = asyncio.run(store(SlowLog, lambda log, owner: log.answer.set_result(fenced)))
    assert told == [False]


def test_a_record_that_the_log_turned_away_is_not_stored():
    def turn_away(log, owner):
        log.answer.set_exception(LogUnavailable("HTTP 503"))
        asyncio.get_running_loop().call_later(0.02, owner.close, 0, "elsewhere")

    assert asyncio.run(store(SlowLog, turn_away)) == [False]
