"""Ownership of partitions by group membership, and appends of their records."""

import asyncio
import itertools
from functools import partial

from banyanwheel_jobs.ports import AppendOutcome, LogUnavailable

__all__ = ["JOBS_TOPIC", "Ownership"]

JOBS_TOPIC = "jobs"
GROUP = "dispatchers"
MEMBERSHIP_TTL_S = 2.0  # after this, a dead owner's partitions are reassigned
RENEWAL_INTERVAL_S = 0.4  # several renewals per TTL
JOIN_RETRY_DELAY_S = 0.1
BATCH_DELAY_S = 0.004  # records of one round trip are sent together
APPEND_RETRY_DELAY_S = 0.05
MAX_APPEND_RETRY_DELAY_S = 0.5
STALL_TIMEOUT_S = 0.3  # an append takes a few ms; after this it counts as stalled
FLUSH_TIMEOUT_S = 0.5  # for queued records when a partition is handed over
# After a change of generation, another member may have opened a partition in the
# meantime. It opens no more once it has renewed, and a call gets no answer after 1 s.
# A check that is sent later shows for good whether a partition is fenced.
FENCE_CHECK_DURATION_S = 2.0


class Ownership:
    """Renews the group membership, opens assigned partitions and appends records.

    ``clocks`` are functions for monotonic seconds and for Unix time in ms. ``trusts()``
    returns the :class:`Trust` of each runner; ``on_change()`` is called when partitions
    have been opened or closed; the coroutine ``refresh()`` reads the list of members
    before a partition is opened. While ``eligible()`` returns False, the process stays
    out of the group.

    A partition's epoch is the group's generation, and its appends are numbered from 0,
    so that each ownership needs a generation of its own. A membership is therefore
    begun only once the log has confirmed the end of the one before, which may be that
    of a former process with the same name.
    """

    def __init__(
        self,
        log,
        owner,
        member,
        clocks,
        event_log,
        *,
        trusts,
        on_change,
        refresh,
        eligible=lambda: True,
    ):
        self._log = log
        self._owner = owner
        self._member = member
        self._now, self._wall_ms = clocks
        self._event_log = event_log
        self._trusts = trusts
        self._on_change = on_change
        self._refresh = refresh
        self._eligible = eligible
        self._generation = 0
        self._renewal_due = asyncio.Event()
        self._assigned = frozenset()
        self._former_membership = True  # the log may still have one of this name
        self._spent = set()  # partitions whose present epoch must not be used again
        self._open_tasks = {}
        self._write_tasks = {}
        self._leaving = False
        self._log_lost = False
        self._confirmations = {}  # (time, callback) by number
        self._confirmation_numbers = itertools.count()
        self._stalled_since = {}
        self._check_fences_until = 0.0
        self._checked = set()  # (partition, epoch) with an answer to a later check

    @property
    def claims(self):
        """(partition, epoch) of the open partitions that the last renewal assigned."""
        return tuple(
            (number, partition.epoch)
            for number, partition in self._owner.partitions.items()
            if number in self._assigned
        )

    def stalled(self, partition):
        """Whether an append to a partition is unanswered after ``STALL_TIMEOUT_S``."""
        since = self._stalled_since.get(partition)
        return since is not None and self._now() - since > STALL_TIMEOUT_S

    async def run(self):
        """Renews the membership until :meth:`leave` or cancellation."""
        while not self._leaving:
            if self._former_membership and not await self._leave_group():
                await asyncio.sleep(JOIN_RETRY_DELAY_S)
                continue
            if not self._eligible():
                await self._resign("not-eligible")
            elif self._spent:
                await self._resign("epoch-spent")
            elif await self._renew():
                continue
            await self._wait_for_renewal()

    async def _wait_for_renewal(self):
        """Waits until the next renewal is due, or :meth:`renew_soon` is called."""
        self._renewal_due.clear()
        try:
            async with asyncio.timeout(RENEWAL_INTERVAL_S):
                await self._renewal_due.wait()
        except TimeoutError:
            pass

    def renew_soon(self):
        """Has ``eligible()`` evaluated again at once."""
        self._renewal_due.set()

    def call_when_confirmed(self, callback):
        """Calls ``callback()`` once a renewal sent from now on has been confirmed.

        Returns a function that takes this back.
        """
        number = next(self._confirmation_numbers)
        self._confirmations[number] = self._now(), callback
        return partial(self._confirmations.pop, number, None)

    async def leave(self):
        """Flushes queued records, closes all partitions and leaves the group."""
        self._leaving = True
        await self._flush_and_close(list(self._owner.partitions), "leaving")
        await self._leave_group()

    async def _resign(self, reason):
        """Closes all partitions and ends the membership, if this process has one."""
        if not self._generation:
            return
        self._generation = 0
        self._assigned = frozenset()
        self._former_membership = True
        self._spent.clear()
        await self._flush_and_close(list(self._owner.partitions), reason)
        await self._leave_group()
        self._confirm(float("inf"))

    async def _leave_group(self):
        """Ends the membership of this process, or of a former one with its name.

        Its partitions are reassigned without waiting for the TTL. Returns whether the
        log has confirmed the end.
        """
        try:
            await self._log.leave(GROUP, self._member)
        except LogUnavailable as error:
            self._event_log("log:unavailable", call="leave", fault=str(error))
            self._event_log.count("banyanwheel.retries", "log-leave")
            return False
        self._former_membership = False
        return True

    async def _renew(self):
        for trust in self._trusts():
            trust.renewal_sent()
        sent_at = self._now()
        try:
            membership = await self._log.join(
                GROUP,
                self._member,
                JOBS_TOPIC,
                self._generation,
                lifetime_s=MEMBERSHIP_TTL_S,
            )
        except LogUnavailable as error:
            if not self._log_lost:
                self._event_log("log:lost", call="join", fault=str(error))
            self._log_lost = True
            self._event_log.count("banyanwheel.retries", "log-join")
            await asyncio.sleep(JOIN_RETRY_DELAY_S)
            return False
        if self._leaving:
            return False
        if self._log_lost:
            self._log_lost = False
            self._event_log("log:regained", call="join")
        for trust in self._trusts():
            trust.renewal_confirmed()
        return await self._apply_membership(membership, sent_at)

    async def _apply_membership(self, membership, sent_at):
        changed = membership.generation != self._generation
        self._generation = membership.generation
        if changed:
            self._check_fences_until = self._now() + FENCE_CHECK_DURATION_S
            self._checked.clear()
        revoked = set(self._owner.partitions) - membership.partitions
        self._assigned = membership.partitions
        if revoked:
            await self._flush_and_close(revoked, "dealt-elsewhere")
        verified = await self._close_fenced()
        unopened = membership.partitions - set(self._owner.partitions)
        for number in unopened - self._spent:
            if number not in self._open_tasks:
                task = asyncio.create_task(self._open(number, membership.generation))
                self._open_tasks[number] = task
                task.add_done_callback(self._log_fault)
        if not verified:
            return changed
        self._confirm(sent_at)
        return changed

    def _confirm(self, sent_at):
        """Calls those back that have asked before a renewal was sent."""
        waiting = self._confirmations.items()
        for number in [each for each, (asked_at, _) in waiting if asked_at <= sent_at]:
            _, callback = self._confirmations.pop(number, (0.0, None))
            if callback is not None:
                callback()

    async def _close_fenced(self):
        """Closes the partitions that other members have opened since.

        After a pause of this process, a partition may be assigned to it again that
        another member owned in between; then the epoch held here is fenced. Returns
        whether the log has answered for all partitions.
        """
        unchecked = [
            partition
            for partition in self._owner.partitions.values()
            if (partition.number, partition.epoch) not in self._checked
        ]
        conclusive = self._now() > self._check_fences_until
        answers = await asyncio.gather(*map(self._is_fenced, unchecked))
        for partition, fenced in zip(unchecked, answers, strict=True):
            if fenced and self._owns(partition):
                self._close(partition.number, "fenced")
            elif fenced is False and conclusive:
                self._checked.add((partition.number, partition.epoch))
        return None not in answers

    async def _is_fenced(self, partition):
        """Returns whether a later epoch was used, None if the log gives no answer."""
        try:
            # Renewals must not wait for a slow log for long.
            async with asyncio.timeout(STALL_TIMEOUT_S):
                result = await self._log.append(
                    JOBS_TOPIC, partition.number, [], epoch=partition.epoch, sequence=0
                )
        except (LogUnavailable, TimeoutError) as error:
            fault = str(error) or "no answer in time"
            self._event_log("log:unavailable", call="check", fault=fault)
            return None
        return result.outcome is AppendOutcome.FENCED

    async def _flush_and_close(self, numbers, reason):
        """Closes partitions once their queued records are stored.

        After ``FLUSH_TIMEOUT_S`` they are closed with records unsent.
        """
        partitions = [self._owner.partitions[number] for number in numbers]
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                while any(not each.journal.idle for each in partitions):
                    await asyncio.sleep(BATCH_DELAY_S)
        except TimeoutError:
            self._event_log("partition:unflushed", partitions=sorted(numbers))
        for number in numbers:
            self._close(number, reason)

    def _close(self, number, reason):
        self._owner.close(number, reason)
        self._on_change()

    async def _open(self, number, epoch):
        try:
            result = await self._log.append(
                JOBS_TOPIC, number, [], epoch=epoch, sequence=0
            )
            if result.outcome is AppendOutcome.FENCED:
                self._event_log("partition:fenced", partition=number, epoch=epoch)
                return
            records, _ = await self._log.newest(JOBS_TOPIC, number)
            await self._refresh()
        except LogUnavailable as error:
            self._event_log("log:unavailable", call="open", fault=str(error))
            return
        finally:
            del self._open_tasks[number]
        if number in self._assigned and not self._leaving:
            self._owner.open(number, epoch, records, self._now(), self._wall_ms())
            self._on_change()

    # Appending records

    def store(self, partition):
        """Starts appending a partition's queued records, unless under way."""
        # Keyed by the Partition object, not by its number: a call for an earlier
        # ownership of the same partition may still be in flight.
        if partition in self._write_tasks:
            return
        task = asyncio.create_task(self._write_batches(partition))
        self._write_tasks[partition] = task
        task.add_done_callback(lambda _: self._on_write_done(partition))

    def _on_write_done(self, partition):
        task = self._write_tasks.pop(partition)
        self._stalled_since.pop(partition, None)
        self._log_fault(task)
        if self._owns(partition) and not partition.journal.idle:
            self.store(partition)

    def _log_fault(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._event_log.fault(task.exception())

    def _owns(self, partition):
        return self._owner.partitions.get(partition.number) is partition

    async def _write_batches(self, partition):
        await asyncio.sleep(BATCH_DELAY_S)
        while self._owns(partition):
            batch = partition.journal.in_flight or partition.journal.next_batch()
            if batch is None:
                return
            await self._append_batch(partition, batch)

    async def _append_batch(self, partition, batch):
        number = partition.number
        self._stalled_since[partition] = self._now()
        delay_s = APPEND_RETRY_DELAY_S
        while self._owns(partition):
            # The batch may be stored while this call is in flight. An answer that it
            # was not says nothing about earlier calls, so their flag is restored.
            sent_before, batch.sent = batch.sent, True
            try:
                result = await self._log.append(
                    JOBS_TOPIC,
                    number,
                    batch.records,
                    epoch=partition.epoch,
                    sequence=batch.sequence,
                )
            except LogUnavailable as error:
                batch.sent = sent_before or error.sent
                self._event_log("log:append-retry", partition=number, fault=str(error))
                self._event_log.count("banyanwheel.retries", "log-append")
                if self.stalled(partition):
                    partition.journal.refuse_pending()
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_APPEND_RETRY_DELAY_S, delay_s * 2)
                continue
            if not self._owns(partition):
                return
            if result.outcome is not AppendOutcome.STORED:
                batch.sent = sent_before
            if result.outcome is AppendOutcome.OUT_OF_SEQUENCE and not batch.sent:
                # Nothing of this batch is stored: the ownership was begun again.
                partition.journal.resequence(result.expected)
                continue
            self._handle_append_result(partition, batch, result)
            return

    def _handle_append_result(self, partition, batch, result):
        self._stalled_since.pop(partition, None)
        match result.outcome:
            case AppendOutcome.STORED:
                partition.journal.mark_stored()
            case AppendOutcome.FENCED:
                self._close(partition.number, "fenced")
            case AppendOutcome.OUT_OF_SEQUENCE:
                self._event_log(
                    "partition:out-of-sequence",
                    partition=partition.number,
                    sent=batch.sequence,
                    expected=result.expected,
                )
                self._close(partition.number, "out-of-sequence")
                self._spent.add(partition.number)
                self.renew_soon()
