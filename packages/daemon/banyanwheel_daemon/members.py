"""The list of processes and the operators' drains, stored in a topic of the log.

The key of a process is its address, the key of a drain ``drain/KIND/NAME``.
"""

import asyncio
from typing import Annotated, Literal

import msgspec

from banyanwheel_core.decoding import decode
from banyanwheel_core.drains import DrainKind
from banyanwheel_jobs.cells.cell import Host
from banyanwheel_jobs.ports import AppendOutcome, LogTruncated, LogUnavailable

from .addresses import Address

__all__ = ["Member", "Members"]

TOPIC = "members"
PARTITION = 0
RETRY_DELAY_S = 0.3
CHECK_INTERVAL_S = 1.0
MAX_UNKNOWN_CHECKS = 3  # in a row, before a process registers again
REMOVAL_TIMEOUT_S = 0.5  # a process that stops waits no longer for its removal
COALESCING_S = 0.05  # many processes that start together change the list at once
MAX_POWER = 1e6  # of a processor, relative to others; a larger one is no speed
_DRAIN_PREFIX = "drain/"
_DRAINED = b"\x01"  # any value will do: the log drops a key without one


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One process; its key is the address where its peers reach it.

    ``power`` is the speed of its processor relative to that of others.
    """

    role: Literal["dispatcher", "runner"]
    data_centre: str
    power: Annotated[float, msgspec.Meta(gt=0, le=MAX_POWER)] = 1.0


_DECODER = msgspec.msgpack.Decoder(Member)


class Members:
    """Registers this process, and follows the list of members and drains."""

    def __init__(self, log, event_log):
        self._log = log
        self._event_log = event_log
        self._known = {}
        self._drains = set()

    @property
    def known(self):
        """The members by address."""
        return self._known

    @property
    def drains(self):
        """The drains in force, as a frozen set of (kind, name)."""
        return frozenset(self._drains)

    def hosts(self, role):
        """Returns the members with a role, as a list of Hosts."""
        return [
            Host(address, member.data_centre, member.power)
            for address, member in self._known.items()
            if member.role == role
        ]

    async def register(self, address, member):
        """Adds this process to the list; retries until the log has stored it."""
        record = [(address, msgspec.msgpack.encode(member))]
        while not await self._append(record):
            await asyncio.sleep(RETRY_DELAY_S)

    async def keep_registered(self, address, member, is_known):
        """Adds this process to the list, and again whenever the system forgets it.

        ``is_known()`` tells whether the system knows the process at present.
        """
        while True:
            await self.register(address, member)
            unknown_checks = 0
            while unknown_checks < MAX_UNKNOWN_CHECKS:
                await asyncio.sleep(CHECK_INTERVAL_S)
                unknown_checks = 0 if is_known() else unknown_checks + 1
            self._event_log("process:not-listed", address=address)

    async def remove(self, address):
        """Removes this process from the list, within ``REMOVAL_TIMEOUT_S`` if at all.

        The log may carry the removal out late, after the next process at ``address``
        has registered; the condition on the list's end then keeps it from effect.
        """
        removal = [(address, None)]
        try:
            async with asyncio.timeout(REMOVAL_TIMEOUT_S):
                outcome = AppendOutcome.MOVED
                while outcome is AppendOutcome.MOVED:
                    _, end = await self._log.newest(TOPIC, PARTITION)
                    result = await self._log.append(TOPIC, PARTITION, removal, at=end)
                    outcome = result.outcome
        except (LogUnavailable, TimeoutError) as error:
            self._event_log("log:unavailable", call="remove", fault=str(error))

    async def drain(self, kind, name, drained):
        """Adds or lifts a drain; returns whether that changes anything.

        Raises LogUnavailable if the log does not confirm the change.
        """
        await self.refresh()
        if ((kind, name) in self._drains) == drained:
            return False
        record = (f"{_DRAIN_PREFIX}{kind}/{name}", _DRAINED if drained else None)
        await self._log.append(TOPIC, PARTITION, [record], epoch=None, sequence=0)
        self._event_log("drain:changed", kind=str(kind), name=name, drained=drained)
        return True

    async def _append(self, records):
        try:
            await self._log.append(TOPIC, PARTITION, records, epoch=None, sequence=0)
        except LogUnavailable as error:
            self._event_log("log:unavailable", call="members", fault=str(error))
            return False
        return True

    async def refresh(self):
        """Reads the whole list; returns the next offset. Raises LogUnavailable."""
        records, end = await self._log.newest(TOPIC, PARTITION)
        listed = {record.key for record in records}
        for address in set(self._known) - listed:
            del self._known[address]
        self._drains.clear()
        for record in records:
            self._apply(record)
        return end

    def _apply(self, record):
        if record.key.startswith(_DRAIN_PREFIX):
            self._apply_drain(record)
        elif record.value is None:
            self._known.pop(record.key, None)
        else:
            self._apply_member(record)

    def _apply_drain(self, record):
        kind, _, name = record.key.removeprefix(_DRAIN_PREFIX).partition("/")
        if kind not in set(DrainKind):
            self._event_log("log:unreadable", key=record.key, fault="no kind of drain")
        elif record.value is None:
            self._drains.discard((DrainKind(kind), name))
        else:
            self._drains.add((DrainKind(kind), name))

    def _apply_member(self, record):
        """Adds a member; what another writer left under the key names no process."""
        try:
            Address.parse(record.key)
            member = decode(_DECODER, record.value)
        except (ValueError, msgspec.MsgspecError) as error:
            self._event_log("log:unreadable", key=record.key, fault=str(error))
            self._known.pop(record.key, None)
            return
        self._known[record.key] = member

    async def follow(self, on_change):
        """Keeps the list up to date; calls ``on_change()`` after each change."""
        offset = None
        while True:
            try:
                if offset is None:
                    offset = await self.refresh()
                else:
                    await asyncio.sleep(COALESCING_S)
                    records, offset = await self._log.follow(TOPIC, PARTITION, offset)
                    for record in records:
                        self._apply(record)
                on_change()
            except LogTruncated:
                offset = None
            except LogUnavailable as error:
                self._event_log("log:unavailable", call="members", fault=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
