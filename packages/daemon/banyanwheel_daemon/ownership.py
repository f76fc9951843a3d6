"""Which partitions this process owns, and the storing of their records."""

import asyncio

from banyanwheel_jobs.ports import AppendOutcome, LogUnavailable

__all__ = ["JOBS_TOPIC", "Ownership"]

JOBS_TOPIC = "jobs"
GROUP = "dispatchers"
LIFETIME_S = 2.0  # of a membership; a dead owner's partitions move after this
RENEWAL_S = 0.4  # several renewals in a lifetime
JOIN_RETRY_S = 0.1
LINGER_S = 0.004  # records of one round trip leave together
APPEND_RETRY_S = 0.05
APPEND_RETRY_MAX_S = 0.5
STALL_S = 0.3  # an append takes a few ms; then the log counts as away
FLUSH_S = 0.5  # for what is unsent when a partition is handed over
# Another member may have opened a partition meanwhile; it opens none any more once it
# has renewed, and a call has no answer after 1 s.
CHECK_S = 2.0


class Ownership:
    """Renews the group membership, opens what is dealt and stores what is queued.

    ``trusts()`` yields the :class:`Trust` of each runner; ``on_change()`` is called
    when partitions have been opened or closed.
    """

    def __init__(
        self, log, owner, member, clocks, event_log, *, trusts, on_change, refresh
    ):
        self._log = log
        self._owner = owner
        self._member = member
        self._now, self._wall_ms = clocks
        self._event_log = event_log
        self._trusts = trusts
        self._on_change = on_change
        self._refresh = refresh
        self._generation = 0
        self._dealt = frozenset()
        self._opening = {}
        self._writing = {}
        self._leaving = False
        self._log_lost = False
        self._renewals = asyncio.Event()
        self._renewal_sent_at = 0.0
        self._waiters = []
        self._stalled_since = {}
        self._check_until = 0.0

    @property
    def claims(self):
        """(partition, epoch) of all that is owned by the last confirmed renewal."""
        return tuple(
            (number, partition.epoch)
            for number, partition in self._owner.partitions.items()
            if number in self._dealt
        )

    def stalled(self, partition):
        """Whether appends to a partition have had no answer for a while."""
        since = self._stalled_since.get(partition)
        return since is not None and self._now() - since > STALL_S

    async def run(self):
        """Renews until cancelled."""
        await self._forget_predecessor()
        while not self._leaving:
            changed = await self._renew()
            await asyncio.sleep(0 if changed else RENEWAL_S)

    def confirm(self, callback):
        """Calls back after a renewal that is sent from now on was confirmed."""
        self._waiters.append((self._now(), callback))

    async def leave(self):
        """Stores what is queued, and gives all partitions up at once."""
        self._leaving = True
        await self._release(list(self._owner.partitions), "leaving")
        try:
            await self._log.leave(GROUP, self._member)
        except LogUnavailable as error:
            self._event_log("log:unavailable", call="leave", fault=str(error))

    async def _forget_predecessor(self):
        """Frees the partitions of a process that ran here before under this name."""
        try:
            await self._log.leave(GROUP, self._member)
        except LogUnavailable as error:
            self._event_log("log:unavailable", call="leave", fault=str(error))

    async def _renew(self):
        for trust in self._trusts():
            trust.renewal_sent()
        sent_at = self._now()
        try:
            membership = await self._log.join(
                GROUP, self._member, JOBS_TOPIC, self._generation, lifetime_s=LIFETIME_S
            )
        except LogUnavailable as error:
            if not self._log_lost:
                self._event_log("log:lost", call="join", fault=str(error))
            self._log_lost = True
            self._event_log.count("banyanwheel.retries", "log-join")
            await asyncio.sleep(JOIN_RETRY_S)
            return False
        if self._leaving:
            return False
        if self._log_lost:
            self._log_lost = False
            self._event_log("log:regained", call="join")
        for trust in self._trusts():
            trust.renewal_confirmed()
        return await self._apply(membership, sent_at)

    async def _apply(self, membership, sent_at):
        changed = membership.generation != self._generation
        self._generation = membership.generation
        if changed:
            self._check_until = self._now() + CHECK_S
        lost = set(self._owner.partitions) - membership.partitions
        self._dealt = membership.partitions
        if lost:
            await self._release(lost, "dealt-elsewhere")
        sure = self._now() > self._check_until or await self._check_kept()
        for number in membership.partitions - set(self._owner.partitions):
            if number not in self._opening:
                task = asyncio.create_task(self._open(number, membership.generation))
                self._opening[number] = task
        if not sure:
            return changed
        due = [entry for entry in self._waiters if entry[0] <= sent_at]
        self._waiters = [entry for entry in self._waiters if entry[0] > sent_at]
        for _, callback in due:
            callback()
        return changed

    async def _check_kept(self):
        """Closes the partitions that others have opened since they were opened here.

        A member that stood still may be dealt a partition that was another's meanwhile:
        then its own epoch is fenced. Returns whether the log has answered for all.
        """
        kept = list(self._owner.partitions.values())
        try:
            # Renewals must not wait for a slow log for long.
            async with asyncio.timeout(STALL_S):
                answers = await asyncio.gather(*map(self._is_fenced, kept))
        except TimeoutError:
            return False
        for partition, fenced in zip(kept, answers, strict=True):
            if fenced and self._owns(partition):
                self._close(partition.number, "fenced")
        return None not in answers

    async def _is_fenced(self, partition):
        """Tells whether a later epoch was used, None where the log does not answer."""
        try:
            result = await self._log.append(
                JOBS_TOPIC, partition.number, [], epoch=partition.epoch, sequence=0
            )
        except LogUnavailable as error:
            self._event_log("log:unavailable", call="check", fault=str(error))
            return None
        return result.outcome is AppendOutcome.FENCED

    async def _release(self, numbers, reason):
        """Closes partitions after what is queued has been stored."""
        partitions = [self._owner.partitions[number] for number in numbers]
        try:
            async with asyncio.timeout(FLUSH_S):
                while any(not each.journal.idle for each in partitions):
                    await asyncio.sleep(LINGER_S)
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
            del self._opening[number]
        if number in self._dealt and not self._leaving:
            self._owner.open(number, epoch, records, self._now(), self._wall_ms())
            self._on_change()

    # Storing

    def store(self, partition):
        """Stores what a partition has queued, together with what comes next."""
        # By ownership: a call of an earlier one may be on its way for a while.
        if partition in self._writing:
            return
        task = asyncio.create_task(self._write(partition))
        self._writing[partition] = task
        task.add_done_callback(lambda _: self._written(partition))

    def _written(self, partition):
        task = self._writing.pop(partition)
        self._stalled_since.pop(partition, None)
        if not task.cancelled() and task.exception() is not None:
            self._event_log("process:fault", fault=repr(task.exception()))
        if self._owns(partition) and not partition.journal.idle:
            self.store(partition)

    def _owns(self, partition):
        return self._owner.partitions.get(partition.number) is partition

    async def _write(self, partition):
        await asyncio.sleep(LINGER_S)
        while self._owns(partition):
            batch = partition.journal.in_flight or partition.journal.next_batch()
            if batch is None:
                return
            await self._append(partition, batch)

    async def _append(self, partition, batch):
        number = partition.number
        self._stalled_since[partition] = self._now()
        pause = APPEND_RETRY_S
        while self._owns(partition):
            # While this try is under way the batch may be stored; an answer that says
            # otherwise leaves what earlier tries may have done.
            before, batch.sent = batch.sent, True
            try:
                result = await self._log.append(
                    JOBS_TOPIC,
                    number,
                    batch.records,
                    epoch=partition.epoch,
                    sequence=batch.sequence,
                )
            except LogUnavailable as error:
                batch.sent = before or error.sent
                self._event_log("log:append-retry", partition=number, fault=str(error))
                self._event_log.count("banyanwheel.retries", "log-append")
                if self.stalled(partition):
                    partition.journal.shed()
                await asyncio.sleep(pause)
                pause = min(APPEND_RETRY_MAX_S, pause * 2)
                continue
            if not self._owns(partition):
                return
            if result.outcome is not AppendOutcome.STORED:
                batch.sent = before
            if result.outcome is AppendOutcome.OUT_OF_SEQUENCE and not batch.sent:
                # Nothing of this batch is there: an ownership that was begun again.
                partition.journal.resequence(result.expected)
                continue
            self._answered(partition, batch, result)
            return

    def _answered(self, partition, batch, result):
        self._stalled_since.pop(partition, None)
        match result.outcome:
            case AppendOutcome.STORED:
                partition.journal.stored()
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
