import asyncio
import time

import pytest

from banyanwheel_daemon import ownership as ownership_module
from banyanwheel_daemon.ownership import RENEWAL_INTERVAL_S, Ownership
from banyanwheel_jobs.model import Queue, Resources, Step, Submission
from banyanwheel_jobs.outcomes import Outcome
from banyanwheel_jobs.owners.journal import Batch
from banyanwheel_jobs.ports import (
    AppendOutcome,
    AppendResult,
    KeyedRecord,
    LogUnavailable,
    Membership,
)
from banyanwheel_jobs.records import Accepted, encode, job_key
from tests.jobs.world import EventRecorder, lone_owner
from tests.standins.platform_log import PARTS, Group, Partition


class SlowLog:
    """Appends are answered when the test says so."""

    def __init__(self):
        self.answer = asyncio.get_running_loop().create_future()

    async def append(self, topic, partition, records, *, epoch, sequence):
        return await self.answer


async def refresh():
    """Stands in for reading the list of members."""


def open_ownership(log, now=lambda: 100.0):
    """Returns an ownership with partition 0 open."""
    owner = lone_owner()
    ownership = Ownership(
        log,
        owner,
        "member",
        (now, lambda: 0),
        EventRecorder(),
        trusts=list,
        on_change=lambda: None,
        refresh=refresh,
    )
    partition = owner.open(0, 1, [], 100.0, 0)
    return owner, ownership, partition


async def store(log_class, end):
    """Stores a record, and returns its callbacks' results after ``end``."""
    log = log_class()
    owner, ownership, partition = open_ownership(log)
    outcomes = []
    partition.journal.add(
        [("key", b"value")], lambda: outcomes.append("stored"), outcomes.append
    )
    ownership.store(partition)
    await asyncio.sleep(0.05)
    end(log, owner)
    await asyncio.sleep(0.05)
    return outcomes


def test_a_record_on_its_way_may_be_stored_when_the_ownership_ends():
    """A job whose append was in flight was reported as refused, but may be stored.

    Seen in a trial with stored jobs: scale-1, rule REFUSED.
    """
    outcomes = asyncio.run(
        store(SlowLog, lambda log, owner: owner.close(0, "elsewhere"))
    )
    assert outcomes == [True]


def test_a_record_that_the_log_has_fenced_is_not_stored():
    fenced = AppendResult(AppendOutcome.FENCED)
    outcomes = asyncio.run(
        store(SlowLog, lambda log, owner: log.answer.set_result(fenced))
    )
    assert outcomes == [False]


def test_a_record_that_the_log_rejected_is_not_stored():
    def reject(log, owner):
        log.answer.set_exception(LogUnavailable("HTTP 503"))
        asyncio.get_running_loop().call_later(0.02, owner.close, 0, "elsewhere")

    assert asyncio.run(store(SlowLog, reject)) == [False]


def test_a_partition_that_is_opened_again_stores_beside_an_earlier_call():
    """Records queued after a reopening must not wait for an earlier append.

    The earlier ownership's append was waiting for its retry when the partition was
    fenced and opened again; the new records were never sent. Seen in CI: a job whose
    tasks had run did not end once the log was available again.
    """
    outcomes, _ = asyncio.run(_store_again(SlowLog, AppendOutcome.STORED))
    assert outcomes == ["stored"]


def test_a_late_answer_to_an_earlier_call_does_not_close_what_was_opened_since():
    class FirstFencedLog(SlowLog):
        async def append(self, topic, partition, records, *, epoch, sequence):
            answer = await super().append(
                topic, partition, records, epoch=epoch, sequence=sequence
            )
            return answer if epoch == 1 else AppendResult(AppendOutcome.STORED)

    outcomes, owner = asyncio.run(_store_again(FirstFencedLog, AppendOutcome.FENCED))
    assert outcomes == ["stored"]
    assert owner.partitions[0].epoch == 2


async def _store_again(log_class, outcome):
    log = log_class()
    owner, ownership, earlier = open_ownership(log)
    earlier.journal.add([("key", b"value")], lambda: None)
    ownership.store(earlier)
    await asyncio.sleep(0.05)
    owner.close(0, "fenced")
    later = owner.open(0, 2, [], 100.0, 0)
    outcomes = []
    later.journal.add([("key", b"value")], lambda: outcomes.append("stored"))
    ownership.store(later)
    log.answer.set_result(AppendResult(outcome))
    await asyncio.sleep(0.05)
    return outcomes, owner


class ScriptedLog:
    """A log that answers joins from a list, and fences by epoch."""

    def __init__(self, memberships):
        self._memberships = iter(memberships)
        self.epoch = 0
        self.away = False

    async def join(self, group, member, topic, generation, *, lifetime_s):
        return next(self._memberships)

    async def append(self, topic, partition, records, *, epoch, sequence):
        if self.away:
            raise LogUnavailable("no answer", sent=True)
        if epoch < self.epoch:
            return AppendResult(AppendOutcome.FENCED)
        self.epoch = epoch
        return AppendResult(AppendOutcome.STORED, 0)

    async def newest(self, topic, partition):
        return [], 0


def renew(log, times, between=lambda: None):
    """Renews a membership whose partition 0 is open under epoch 1."""

    async def run():
        owner, ownership, partition = open_ownership(log)
        confirmed = []
        for number in range(times):
            if number == 1:
                between()
                ownership.call_when_confirmed(
                    lambda: confirmed.append(ownership.claims)
                )
            await ownership._renew()
            await asyncio.sleep(0.01)
        return owner, confirmed

    return asyncio.run(run())


def test_a_wait_for_a_confirmation_can_be_taken_back():
    async def run():
        _, ownership, _ = open_ownership(ScriptedLog([Membership(1, {0})] * 3))
        await ownership._renew()
        called = []
        forget = ownership.call_when_confirmed(lambda: called.append("forgotten"))
        ownership.call_when_confirmed(lambda: called.append("kept"))
        forget()
        forget()
        await asyncio.sleep(0.01)
        await ownership._renew()
        return called

    assert asyncio.run(run()) == ["kept"]


def test_a_partition_owned_by_another_in_between_is_reopened():
    """A partition must be read again if another member owned it in between.

    A paused dispatcher lost its partition to another and got it back with a later
    generation; it kept its outdated state, and an accepted job was unknown later
    (soak seed 202).
    """
    log = ScriptedLog(
        [Membership(1, frozenset({0})), *[Membership(3, frozenset({0}))] * 2]
    )
    owner, _ = renew(log, 3, between=lambda: setattr(log, "epoch", 2))
    assert owner.partitions[0].epoch == 3


def test_a_partition_that_nobody_else_opened_is_kept():
    log = ScriptedLog([Membership(1, frozenset({0})), Membership(2, frozenset({0}))])
    owner, confirmed = renew(log, 2)
    assert owner.partitions[0].epoch == 1
    assert confirmed == [((0, 1),)]


def test_ownership_is_not_confirmed_while_it_cannot_be_checked():
    log = ScriptedLog([Membership(1, frozenset({0})), Membership(2, frozenset({0}))])
    owner, confirmed = renew(log, 2, between=lambda: setattr(log, "away", True))
    assert owner.partitions[0].epoch == 1
    assert confirmed == []


class GroupLog:
    """A log with one group and one topic; while ``down`` it refuses every call."""

    def __init__(self):
        self.group = Group()
        self.partitions = [Partition() for _ in range(PARTS)]
        self.down = False

    def _require_up(self):
        if self.down:
            raise LogUnavailable("HTTP 503")

    def keys(self):
        return {key for each in self.partitions for key, _ in each.records}

    async def join(self, group, member, topic, generation, *, lifetime_s):
        self._require_up()
        self.group.join(member, lifetime_s)
        parts = frozenset(self.group.parts(member))
        return Membership(self.group.generation, parts)

    async def leave(self, group, member):
        self._require_up()
        self.group.leave(member)

    async def append(self, topic, partition, records, *, epoch, sequence):
        self._require_up()
        status, answer = self.partitions[partition].append_fenced(
            records, epoch, sequence
        )
        match answer.get("reason"):
            case "fenced":
                return AppendResult(AppendOutcome.FENCED)
            case "seq":
                return AppendResult(
                    AppendOutcome.OUT_OF_SEQUENCE, expected=answer["expected"]
                )
        return AppendResult(AppendOutcome.STORED, answer["offset"])

    async def newest(self, topic, partition):
        self._require_up()
        return [], len(self.partitions[partition].records)


class OwnerProcess:
    """The ownership of one process named ``member`` while it runs."""

    def __init__(self, log):
        self.owner = lone_owner(PARTS)
        self.eligible = True
        self.ownership = Ownership(
            log,
            self.owner,
            "member",
            (time.monotonic, lambda: 0),
            EventRecorder(),
            trusts=list,
            on_change=lambda: None,
            refresh=self._refresh,
            eligible=lambda: self.eligible,
        )

    async def _refresh(self):
        pass

    async def __aenter__(self):
        self._task = asyncio.create_task(self.ownership.run())
        return self

    async def __aexit__(self, *error):
        """Ends as a killed process does: nothing more is sent."""
        self._task.cancel()
        for number in list(self.owner.partitions):
            self.owner.close(number, "killed")
        await asyncio.gather(self._task, return_exceptions=True)

    async def until_open(self, count=PARTS):
        async with asyncio.timeout(5):
            while len(self.owner.partitions) != count:
                await asyncio.sleep(0.005)

    async def store(self, key, number=0):
        """Stores a record in a partition, and waits until it is taken for stored."""
        stored = asyncio.Event()
        partition = self.owner.partitions[number]
        partition.journal.add([(key, b"value")], stored.set)
        self.ownership.store(partition)
        async with asyncio.timeout(5):
            await stored.wait()


def test_a_restart_while_the_log_is_down_does_not_reuse_an_epoch():
    """What was taken for stored by a restarted dispatcher must be on the log.

    It kept its former process's membership, and thereby the epoch; the log answered
    its appends as repeats, and accepted jobs were unknown later (review/6).
    """

    async def run():
        log = GroupLog()
        async with OwnerProcess(log) as process:
            await process.until_open()
            await process.store("before")
        log.down = True
        async with OwnerProcess(log) as process:
            await asyncio.sleep(0.25)
            log.down = False
            await process.until_open()
            await process.store("after")
        return log.keys()

    assert asyncio.run(run()) == {"before", "after"}


def test_a_return_to_the_group_while_the_log_is_down_does_not_reuse_an_epoch():
    """The same cause in one process: it could not leave, and was a member again."""

    async def run():
        log = GroupLog()
        async with OwnerProcess(log) as process:
            await process.until_open()
            await process.store("before")
            log.down, process.eligible = True, False
            process.ownership.renew_soon()
            await process.until_open(0)
            process.eligible = True
            await asyncio.sleep(0.25)
            log.down = False
            await process.until_open()
            await process.store("after")
        return log.keys()

    assert asyncio.run(run()) == {"before", "after"}


def test_a_partition_closed_out_of_sequence_does_not_reuse_its_epoch():
    """The same cause: the partition was opened again under the epoch that it had."""

    async def run():
        log = GroupLog()
        async with OwnerProcess(log) as process:
            await process.until_open()
            for key in ("first", "second"):
                await process.store(key)
            partition = process.owner.partitions[0]
            process.ownership._handle_append_result(
                partition,
                Batch(2, [], []),
                AppendResult(AppendOutcome.OUT_OF_SEQUENCE, expected=7),
            )
            assert 0 not in process.owner.partitions
            await process.until_open()
            await process.store("third")
        return log.keys()

    assert asyncio.run(run()) == {"first", "second", "third"}


class SilentLog(ScriptedLog):
    """A log that answers nothing from a change of the generation on, until ``until``.

    What is ``silent`` is all calls, or appends alone, or these with calls that hang. A
    ``later_owner`` has used epoch 2 before the change, and stored ``stored``.
    """

    def __init__(self, clock, silence_s, *, silent, later_owner, stored):
        super().__init__(())
        self._clock = clock
        self._silent = silent
        self._silence_s = silence_s
        self._later_owner = later_owner
        self._stored = stored if later_owner else []
        self.until = None
        self.answered_checks = 0

    async def _require_answer(self):
        if self.until is not None and self._clock.now < self.until:
            if self._silent == "hanging appends":
                await asyncio.Event().wait()
            raise LogUnavailable("no answer", sent=True)

    async def join(self, group, member, topic, generation, *, lifetime_s):
        if self._silent == "all":
            await self._require_answer()
        if self.until is None:
            self.until = self._clock.now + self._silence_s
            if self._later_owner:
                self.epoch = 2
        return Membership(3, frozenset({0}))

    async def append(self, topic, partition, records, *, epoch, sequence):
        await self._require_answer()
        self.answered_checks += 1
        return await super().append(
            topic, partition, records, epoch=epoch, sequence=sequence
        )

    async def newest(self, topic, partition):
        return self._stored, 0


class Clock:
    """A clock that the test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


JOB = "a" * 16
RENEWALS_UNTIL_KNOWN = 3  # that are answered after the silence


def play_silence(silence_s, *, silent, later_owner):
    """Asks for ``JOB`` at each renewal during a silence of the log and after it.

    Returns the log and (time, checks answered so far, outcome) of each answer.
    """
    queue = Queue("q", "desk", 0, 3, 1.6, 60)
    submission = Submission(JOB, queue, "", (Step(1, Resources(1), 1),), 0)
    record = KeyedRecord(job_key(JOB), encode(Accepted(submission, 2)), 0)

    async def run():
        clock = Clock()
        log = SilentLog(
            clock, silence_s, silent=silent, later_owner=later_owner, stored=[record]
        )
        owner, ownership, _ = open_ownership(log, clock)
        answers = []

        def ask():
            def note(reply):
                answers.append((clock.now, log.answered_checks, reply.outcome))

            owner.ask(JOB, note)

        while log.until is None or clock.now < log.until + RENEWALS_UNTIL_KNOWN * 0.4:
            ownership.call_when_confirmed(ask)
            await ownership._renew()
            await asyncio.sleep(0)
            clock.now += RENEWAL_INTERVAL_S
        return log, owner, answers

    return asyncio.run(run())


SILENCES_S = [0.5, 1.0, 1.9, 2.1, 3.0, 5.0, 10.0]
SILENT = ["all", "appends", "hanging appends"]


@pytest.fixture
def short_waits(monkeypatch):
    """The times that pass are those of the test's clock."""
    monkeypatch.setattr(ownership_module, "JOIN_RETRY_DELAY_S", 0.0)
    monkeypatch.setattr(ownership_module, "STALL_TIMEOUT_S", 0.01)


@pytest.mark.parametrize("silent", SILENT)
@pytest.mark.parametrize("silence_s", SILENCES_S)
def test_a_job_that_a_later_owner_accepted_is_never_unknown(
    short_waits, silence_s, silent
):
    """Without an answer, ownership counted as checked 2 s after a generation change.

    The partition had been another's in between; its jobs were said to be unknown.
    """
    _, owner, answers = play_silence(silence_s, silent=silent, later_owner=True)
    assert Outcome.UNKNOWN_JOB not in [outcome for _, _, outcome in answers]
    assert answers[-1][2] is Outcome.STATE
    assert owner.partitions[0].epoch == 3


@pytest.mark.parametrize("silent", SILENT)
@pytest.mark.parametrize("silence_s", SILENCES_S)
def test_only_an_answer_of_the_log_verifies_ownership(short_waits, silence_s, silent):
    log, owner, answers = play_silence(silence_s, silent=silent, later_owner=False)
    assert [checks for _, checks, _ in answers if not checks] == []
    assert {outcome for _, _, outcome in answers} == {Outcome.UNKNOWN_JOB}
    assert min(at for at, _, _ in answers) >= log.until
    assert owner.partitions[0].epoch == 1


def test_a_partition_that_another_opens_after_the_first_checks_is_reopened():
    async def run():
        clock = Clock()
        log = ScriptedLog([Membership(3, frozenset({0}))] * 8)
        owner, ownership, _ = open_ownership(log, clock)
        for number in range(8):
            if number == 4:
                log.epoch = 2
            await ownership._renew()
            await asyncio.sleep(0)
            clock.now += RENEWAL_INTERVAL_S
        return owner

    assert asyncio.run(run()).partitions[0].epoch == 3


def test_partitions_are_checked_no_more_once_they_have_been():
    async def run():
        clock = Clock()
        log = SilentLog(clock, 0.0, silent="all", later_owner=False, stored=[])
        _, ownership, _ = open_ownership(log, clock)
        checks = []
        for _ in range(40):
            await ownership._renew()
            clock.now += RENEWAL_INTERVAL_S
            checks.append(log.answered_checks)
        return checks

    checks = asyncio.run(run())
    assert checks[6] == checks[-1]
