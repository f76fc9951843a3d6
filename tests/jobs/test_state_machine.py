"""Random faults between owners, runners, workers and the log."""

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from banyanwheel_jobs.model import JobState
from banyanwheel_jobs.outcomes import Outcome

from .world import World

SECONDS_TO_RECOVER = 25.0
OWNERS = ("owner-0", "owner-1")
RUNNERS = ("runner-0", "runner-1")


# An example has faults of a few kinds only: with all of them hardly any task runs.
KINDS = (
    "cut",
    "freeze",
    "crash",
    "restart",
    "unresponsive",
    "late-start",
    "lost-stop",
    "caller",
    "reassign",
    "log",
)
MAX_KINDS = 3
# Callers submit a transient job again this long after their connection broke.
RESUBMISSION_S = 1.3
KEPT_S = 3_600  # longer than an example lasts
REPLACED_S = 5.5  # the runs of a runner that is silent for so long were replaced
CANCEL_S = 3.0  # a canceled job starts no task later than this after the answer
MAX_OPEN_JOBS = 6  # leaves capacity for tasks that are run again
WAITS = st.sampled_from([0.05, 0.3, 0.5, 1.0, 3.0])


def when(kind):
    """Applies a rule only in examples that have faults of this kind."""
    return precondition(lambda self: kind in self.kinds)


class Faults(RuleBasedStateMachine):
    """Submits stored and transient jobs during cuts, pauses, crashes and lost answers.

    After every fault a job is submitted and time passes; otherwise most examples would
    run no task.
    """

    @initialize(
        kinds=st.sets(st.sampled_from(KINDS), min_size=1, max_size=MAX_KINDS),
        run_s=st.sampled_from([0.1, 0.6, 2.5]),
    )
    def begin(self, kinds, run_s):
        self.kinds = kinds
        self.world = World(run_s=run_s, retention_s=KEPT_S)
        self.world.log.assign("owner-0")
        self.jobs = 0
        self.accepted = {}
        self.canceled_at = {}  # time of the answer by job, None before it
        self.frozen = set()
        self.pass_time(1.0)

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.world.step(frozen=self.frozen)

    def new_id(self):
        self.jobs += 1
        return f"{self.jobs:016x}"

    def submit_and_wait(self, seconds):
        """Submits a job, stored and transient in turn, and lets time pass."""
        open_jobs = sum(not replies for replies in self.world.replies.values())
        if open_jobs < MAX_OPEN_JOBS:
            if self.jobs % 2:
                self.submit_stored(tasks=1 + self.jobs % 3)
            else:
                self.submit_transient(OWNERS[self.jobs // 2 % 2], 1 + self.jobs % 2)
        self.pass_time(seconds)

    def submit_transient(self, owner, tasks):
        self.world.submit(owner, self.new_id(), tasks, deadline_s=8.0)

    def submit_stored(self, tasks):
        job_id = self.new_id()
        self.world.submit_stored(self.world.log.assigned_to, job_id, tasks)
        self.accepted[job_id] = self.world.replies[job_id]

    @rule(owner=st.sampled_from(OWNERS), tasks=st.integers(1, 5), wait=WAITS)
    def submit(self, owner, tasks, wait):
        self.submit_transient(owner, tasks)
        self.submit_and_wait(wait)

    @rule(run_s=st.sampled_from([0.1, 0.6, 2.5]), wait=WAITS)
    def change_run_time(self, run_s, wait):
        self.world.run_s = run_s
        self.submit_and_wait(wait)

    @when("cut")
    @rule(owner=st.sampled_from(OWNERS), runner=st.sampled_from(RUNNERS), wait=WAITS)
    def cut_one_way(self, owner, runner, wait):
        self.world.links[owner, runner].cut = True
        self.submit_and_wait(wait)

    @when("cut")
    @rule(owner=st.sampled_from(OWNERS), runner=st.sampled_from(RUNNERS), wait=WAITS)
    def cut_both_ways(self, owner, runner, wait):
        self.world.cut(owner, runner)
        self.submit_and_wait(wait)

    @when("cut")
    @rule(wait=WAITS)
    def heal(self, wait):
        for link in self.world.links.values():
            link.cut = False
        self.submit_and_wait(wait)

    @when("freeze")
    @rule(name=st.sampled_from(OWNERS + RUNNERS), wait=WAITS)
    def freeze(self, name, wait):
        self.frozen.add(name)
        self.submit_and_wait(wait)

    @when("freeze")
    @rule(wait=WAITS)
    def thaw(self, wait):
        self.frozen.clear()
        self.submit_and_wait(wait)

    @when("crash")
    @rule(
        name=st.sampled_from(RUNNERS),
        announce=st.booleans(),
        set_back_s=st.sampled_from([0.0, 10.0, 3_600.0]),
        wait=WAITS,
    )
    def crash_worker(self, name, announce, set_back_s, wait):
        """Otherwise the next life is announced by its first regular heartbeat."""
        worker = self.world.workers[name]
        worker.crash(set_back_s)
        runner = self.world.runners[name]
        if announce:
            runner.announce(worker.announcement(), self.world.now)
        self.submit_and_wait(wait)

    @when("restart")
    @precondition(lambda self: not self.frozen)
    @rule(name=st.sampled_from(RUNNERS), announce=st.booleans(), wait=WAITS)
    def restart_runner(self, name, announce, wait):
        self.world.start_runner(name, announce)
        self.submit_and_wait(wait)

    @when("unresponsive")
    @rule(name=st.sampled_from(RUNNERS), wait=WAITS)
    def set_worker_unresponsive(self, name, wait):
        self.world.workers[name].unresponsive = True
        self.submit_and_wait(wait)

    @when("unresponsive")
    @rule(wait=WAITS)
    def workers_answer_again(self, wait):
        for worker in self.world.workers.values():
            worker.unresponsive = False
        self.submit_and_wait(wait)

    @when("late-start")
    @rule(name=st.sampled_from(RUNNERS), wait=WAITS)
    def delay_starts(self, name, wait):
        self.world.late_starts.add(name)
        self.submit_and_wait(wait)

    @when("late-start")
    @rule(wait=WAITS)
    def starts_arrive_in_time(self, wait):
        self.world.late_starts.clear()
        self.submit_and_wait(wait)

    @when("lost-stop")
    @rule(name=st.sampled_from(RUNNERS), wait=WAITS)
    def lose_stops(self, name, wait):
        self.world.lost_stops.add(name)
        self.submit_and_wait(wait)

    @when("lost-stop")
    @rule(wait=WAITS)
    def stops_arrive(self, wait):
        self.world.lost_stops.clear()
        self.submit_and_wait(wait)

    @when("caller")
    @precondition(lambda self: not self.frozen)
    @rule(owner=st.sampled_from(OWNERS), wait=WAITS)
    def leave_and_come_back(self, owner, wait):
        """The caller of an open transient job submits it again at the other owner."""
        open_jobs = list(self.world.owners[owner].transient.jobs.values())
        if not open_jobs:
            return
        submission = open_jobs[0].submission
        self.world.leave(owner, submission.job_id)
        self.pass_time(RESUBMISSION_S)
        other = next(name for name in OWNERS if name != owner)
        self.world.hand_in(other, submission)
        self.submit_and_wait(wait)

    @when("restart")
    @precondition(lambda self: not self.frozen)
    @rule(name=st.sampled_from(OWNERS), wait=WAITS)
    def restart_owner(self, name, wait):
        self.world.start_owner(name)
        self.submit_and_wait(wait)

    @when("reassign")
    @rule(name=st.sampled_from(OWNERS), wait=WAITS)
    def assign(self, name, wait):
        self.world.log.assign(name)
        self.submit_and_wait(wait)

    @when("log")
    @rule(name=st.sampled_from(OWNERS), wait=WAITS)
    def lose_log(self, name, wait):
        self.world.log_unreachable.add(name)
        self.submit_and_wait(wait)

    @when("log")
    @rule(wait=WAITS)
    def regain_log(self, wait):
        self.world.log_unreachable.clear()
        self.submit_and_wait(wait)

    def recover(self):
        """Ends every fault."""
        for link in self.world.links.values():
            link.cut = False
        for worker in self.world.workers.values():
            worker.unresponsive = False
        self.frozen.clear()
        self.world.log_unreachable.clear()
        self.world.late_starts.clear()
        self.world.lost_stops.clear()

    @rule(wait=WAITS)
    def recover_all(self, wait):
        self.recover()
        self.submit_and_wait(wait)

    @invariant()
    def no_guarantee_is_violated(self):
        if hasattr(self, "world"):
            assert self.world.faults == []

    @invariant()
    def no_job_is_shown_as_running_before_it_has_begun(self):
        if not hasattr(self, "world"):
            return
        begun = {task.job for task in self.world.starts}
        for owner in self.world.owners.values():
            for partition in owner.all_partitions:
                for job in partition.jobs.values():
                    assert job.state is JobState.QUEUED or job.id in begun

    @invariant()
    def no_job_that_has_begun_is_said_not_run(self):
        if not hasattr(self, "world"):
            return
        begun = {task.job for task in self.world.starts}
        # A dispatcher can't know what an earlier one ran for a caller that left it.
        for job_id in (self.world.transient & begun) - self.world.resubmitted:
            outcomes = [reply.outcome for reply in self.world.replies[job_id]]
            assert Outcome.NOT_STORED not in outcomes

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.recover()
        self.world.run_s = 0.1
        self.pass_time(SECONDS_TO_RECOVER)
        assert self.world.faults == []
        for job_id, replies in self.accepted.items():
            if any(reply.outcome is Outcome.ACCEPTED for reply in replies):
                finals = {"completed", "canceled"}
                if job_id not in self.canceled_at:
                    finals = {"completed"}
                assert self.world.state(job_id)[1] in finals
        for task, times in self.world.starts.items():
            canceled_at = self.canceled_at.get(task.job)
            assert canceled_at is None or max(times) <= canceled_at + CANCEL_S


Faults.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestFaults = Faults.TestCase


class FaultsAndCancels(Faults):
    """Also cancels jobs, and lets runs be heard of that were replaced meanwhile."""

    @rule(
        runner=st.sampled_from(RUNNERS),
        run_s=st.sampled_from([0.6, 2.5]),
        canceled=st.booleans(),
        moved=st.booleans(),
        wait=WAITS,
    )
    def hear_of_replaced_runs(self, runner, run_s, canceled, moved, wait):
        """A runner is cut off until its runs are replaced, and is then heard again."""
        self.world.run_s = run_s
        self.submit_stored(tasks=2)
        self.pass_time(0.3)
        for owner in OWNERS:
            self.world.cut(owner, runner)
        self.pass_time(REPLACED_S)
        if canceled:
            self.cancel_job(list(self.accepted)[-1])
            self.pass_time(0.1)
        if moved:
            owner = self.world.log.assigned_to
            self.world.start_owner(owner)
            self.world.log.assign(next(name for name in OWNERS if name != owner))
        for owner in OWNERS:
            self.world.cut(owner, runner, cut=False)
        self.submit_and_wait(wait)

    @rule(newest=st.booleans(), wait=WAITS)
    def cancel(self, newest, wait):
        jobs = [job for job in self.accepted if job not in self.canceled_at]
        if jobs:
            self.cancel_job(jobs[-1 if newest else 0])
        self.submit_and_wait(wait)

    @rule(wait=WAITS)
    def cancel_before_the_submission(self, wait):
        self.cancel_job(f"{self.jobs + 1:016x}")
        self.submit_stored(tasks=1)
        self.submit_and_wait(wait)

    def cancel_job(self, job_id):
        self.canceled_at.setdefault(job_id, None)

        def reply(answer):
            if answer.outcome in (Outcome.STATE, Outcome.UNKNOWN_JOB):
                self.canceled_at[job_id] = self.world.now

        owner = self.world.owners[self.world.log.assigned_to]
        owner.cancel(job_id, reply, self.world.now)


FaultsAndCancels.TestCase.settings = settings(Faults.TestCase.settings, max_examples=30)
TestFaultsAndCancels = FaultsAndCancels.TestCase
