"""The list of members, and this process in it."""

import asyncio

import msgspec
import pytest

from banyanwheel_daemon import members as members_module
from banyanwheel_daemon.members import Member, Members
from banyanwheel_daemon.role import DISPATCHER, RUNNER
from banyanwheel_jobs.ports import (
    AppendOutcome,
    AppendResult,
    KeyedRecord,
    LogUnavailable,
)
from tests.jobs.world import EventRecorder

ADDRESS = "10.0.0.1:7000"
OTHER = "10.0.0.2:7000"


class LogRecorder:
    """Stores the records of each append."""

    def __init__(self):
        self.appended = []

    async def append(self, topic, partition, records, **options):
        self.appended += records


@pytest.fixture(autouse=True)
def short_interval(monkeypatch):
    monkeypatch.setattr(members_module, "CHECK_INTERVAL_S", 0.01)


def registrations(is_known, checks):
    """Returns how often a process registers in the time of some checks."""

    async def run():
        log = LogRecorder()
        members = Members(log, EventRecorder())
        member = Member(RUNNER, "dc")
        task = asyncio.create_task(members.keep_registered(ADDRESS, member, is_known))
        asked = 0
        while asked < checks:
            await asyncio.sleep(0.01)
            asked += 1
        task.cancel()
        return len(log.appended)

    return asyncio.run(run())


def test_a_process_that_the_system_knows_registers_once():
    assert registrations(lambda: True, checks=20) == 1


def test_a_process_that_the_system_has_forgotten_registers_again():
    assert registrations(lambda: False, checks=20) > 1


class ConditionalLog:
    """A log that can leave an append unanswered, and carry it out later."""

    def __init__(self):
        self.records = []
        self.answers = True
        self.registers_meanwhile = []  # before the next append
        self._late = []

    async def newest(self, topic, partition):
        newest = dict(self.records)
        records = [KeyedRecord(key, value, 0) for key, value in newest.items() if value]
        return records, len(self.records)

    async def append(self, topic, partition, records, *, at=None, **options):
        self.records += self.registers_meanwhile
        self.registers_meanwhile = []
        if not self.answers:
            self._late.append((records, at))
            raise LogUnavailable("no answer", sent=True)
        return self._carry_out(records, at)

    def _carry_out(self, records, at):
        if at not in (None, len(self.records)):
            return AppendResult(AppendOutcome.MOVED)
        self.records += records
        return AppendResult(AppendOutcome.STORED)

    def carry_out_late(self):
        for records, at in self._late:
            self._carry_out(records, at)


async def listed(members):
    await members.refresh()
    return list(members.known)


def test_a_removal_that_is_carried_out_late_leaves_the_next_process_listed():
    """A new owner would not find the runs of a runner that its predecessor hides."""

    async def run():
        log = ConditionalLog()
        members = Members(log, EventRecorder())
        await members.register(ADDRESS, Member(RUNNER, "dc"))
        log.answers = False
        await members.remove(ADDRESS)
        log.answers = True
        await members.register(ADDRESS, Member(RUNNER, "dc"))
        log.carry_out_late()
        return await listed(members)

    assert asyncio.run(run()) == [ADDRESS]


def test_a_process_is_removed_though_others_register_meanwhile():
    async def run():
        log = ConditionalLog()
        members = Members(log, EventRecorder())
        await members.register(ADDRESS, Member(RUNNER, "dc"))
        log.registers_meanwhile = [
            (OTHER, msgspec.msgpack.encode(Member(RUNNER, "dc")))
        ]
        await members.remove(ADDRESS)
        return await listed(members)

    assert asyncio.run(run()) == [OTHER]


def test_members_are_hosts_by_role():
    members = Members(None, EventRecorder())
    members.known["a:1"] = Member(DISPATCHER, "dc-1", 2.0)
    members.known["b:1"] = Member(RUNNER, "dc-2")
    (host,) = members.hosts(DISPATCHER)
    assert (host.address, host.data_centre, host.power) == ("a:1", "dc-1", 2.0)
    assert [host.address for host in members.hosts(RUNNER)] == ["b:1"]


DEEP = (
    b"\x94"
    + b"".join(map(msgspec.msgpack.encode, (RUNNER, "dc", 1.0)))
    + b"\x91" * 100_000
    + b"\xc0"
)
ODD_RECORDS = {
    "nested too deeply": (OTHER, DEEP),
    "port out of range": ("10.0.0.2:99999", msgspec.msgpack.encode((RUNNER, "dc"))),
    "no address": ("nonsense", msgspec.msgpack.encode((RUNNER, "dc"))),
    "another role": (OTHER, msgspec.msgpack.encode(("keeper", "dc"))),
    "endless power": (OTHER, msgspec.msgpack.encode((RUNNER, "dc", float("inf")))),
    "too large a power": (OTHER, msgspec.msgpack.encode((RUNNER, "dc", 2**64 - 1))),
    "no number": (OTHER, msgspec.msgpack.encode((RUNNER, "dc", float("nan")))),
    "other bytes": (OTHER, b"\xc1"),
}


@pytest.mark.parametrize("odd", ODD_RECORDS.values(), ids=ODD_RECORDS)
def test_an_odd_record_names_no_process_and_the_others_hold(odd):
    """Dispatchers stopped following the list at a record that was nested too deeply."""

    async def run():
        log = ConditionalLog()
        members = Members(log, EventRecorder())
        log.records.append(odd)
        await members.register(ADDRESS, Member(RUNNER, "dc"))
        return await listed(members), members._event_log.events

    known, events = asyncio.run(run())
    assert known == [ADDRESS]
    assert [event for event, _ in events] == ["log:unreadable"]
