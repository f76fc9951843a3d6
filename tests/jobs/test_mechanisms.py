"""Without any one of the mechanisms behind a guarantee, a test of it fails."""

from unittest.mock import patch

import msgspec
import pytest

from banyanwheel_jobs.authority import StampTracker
from banyanwheel_jobs.cells.forwarding import HostedJobs
from banyanwheel_jobs.owners import owner
from banyanwheel_jobs.owners.job import Job
from banyanwheel_jobs.owners.journal import Journal
from banyanwheel_jobs.owners.partition import Partition
from banyanwheel_jobs.owners.supervision import Supervision
from banyanwheel_jobs.runners.lease import Lease
from banyanwheel_jobs.runners.owner_messages import OwnerMessages
from banyanwheel_jobs.runners.runner import Runner
from banyanwheel_jobs.runners.runs import UnacknowledgedEnd
from banyanwheel_jobs.runners.worker_reconciliation import WorkerReconciliation

from .cells import test_forwarding
from .owners import test_replaced_runs, test_stored, test_transient
from .runners import test_lease, test_runner

_refusal_reason = OwnerMessages._refusal_reason
_original_add = Journal.add
_handle_end_acknowledgements = OwnerMessages.handle_end_acknowledgements
_open = Partition.open
_handle_run = HostedJobs.handle_run
_deadline_ms = Lease.deadline_ms


def _without_refusal(reason):
    def refusal(self, owner, message, now):
        found = _refusal_reason(self, owner, message, now)
        return "" if found == reason else found

    return patch.object(OwnerMessages, "_refusal_reason", refusal)


def _add_and_report_stored(self, records, on_stored, on_abandoned=None):
    _original_add(self, records, lambda: None, on_abandoned)
    on_stored()


def _acknowledge_at_once(self, message, now):
    for item in message.superseded:
        key = (item.task, item.run)
        self._ends.pop(key, None)
        self._cursor.acknowledge(key)
    _handle_end_acknowledgements(
        self, msgspec.structs.replace(message, superseded=()), now
    )


def _unbounded_deadline_ms(self, now):
    clock_ms, read_at = self._worker_clock
    return round(clock_ms + (now - read_at + self._lease_s) * 1000)


def _record_stop_request(self, run, now):
    run.stop_requested_at = now


def _deadline_ms_of_unknown_runs(self, now):
    if self.reconciled:
        return _deadline_ms(self, now)
    return round(self._least_clock_ms(now) + self._lease_s * 1000)


def _clock_ms_without_drift(self, now):
    clock_ms, read_at = self._worker_clock
    return clock_ms + (now - read_at) * 1000


def _handle_expired_run(self, entry, message, now):
    _handle_run(self, entry, msgspec.structs.replace(message, valid_until_ms=1e12), now)


def _open_surveyed(*arguments):
    partition = _open(*arguments)
    partition.mark_surveyed()
    return partition


def _reserve_only(self, partition, job, tasks):
    for task in tasks:
        job.reserve_replacement(task, partition.epoch)
        task.end_unknown = False


# By mechanism: a patch that disables it, a function that returns the argument of the
# test, and the test that must then fail.
MECHANISMS = {
    "assignments expire": (
        _without_refusal("held-up"),
        test_runner.idle_world,
        test_runner.test_a_delayed_assignment_is_refused,
    ),
    "assignments name the incarnation of the worker": (
        _without_refusal("other-incarnation"),
        test_runner.idle_world,
        test_runner.test_an_assignment_for_another_incarnation_is_refused,
    ),
    "assignments carry the epoch": (
        _without_refusal("former-owner"),
        test_runner.idle_world,
        test_runner.test_an_assignment_of_a_former_owner_is_refused,
    ),
    "stopped runs are remembered": (
        patch.object(WorkerReconciliation, "_add_tombstone", lambda self, key: None),
        test_runner.idle_world,
        test_runner.test_an_assignment_that_arrives_after_its_stop_is_refused,
    ),
    "a doubtful start raises the fence": (
        patch.object(Runner, "raise_fence", lambda self: self.fence),
        test_runner.two_runners_world,
        test_runner.test_a_start_that_reaches_its_worker_late_starts_nothing,
    ),
    "an unresponsive worker's lease lapses": (
        patch.object(Runner, "_is_unresponsive", lambda self, now: False),
        test_runner.idle_world,
        test_runner.test_a_start_to_an_unresponsive_worker_returns_to_waiting,
    ),
    "no lease outlasts the authority": (
        patch.object(Lease, "deadline_ms", _unbounded_deadline_ms),
        lambda: 0.4,
        test_transient.test_a_runner_that_is_cut_off_and_freezes_runs_nothing_twice,
    ),
    "nothing extends the time of a run that has to stop": (
        patch.object(Lease, "_request_stop", _record_stop_request),
        lambda: 0,
        test_lease.test_a_run_whose_stops_are_lost_is_over_before_its_caller_comes_back,
    ),
    "no lease is renewed before all runs are known": (
        patch.object(Lease, "deadline_ms", _deadline_ms_of_unknown_runs),
        lambda: 0.8,
        test_lease.test_a_run_found_by_a_new_process_is_over_before_its_task_is_placed_again,
    ),
    "the authority covers the lease in force": (
        patch.object(Lease, "_has_time_to_start", lambda self, run, now: True),
        lambda: 0.5,
        test_lease.test_a_run_started_under_a_longer_lease_is_over_with_its_authority,
    ),
    "an old reading of the worker's clock counts less": (
        patch.object(Lease, "_least_clock_ms", _clock_ms_without_drift),
        lambda: None,
        lambda _: (
            test_lease.test_a_slow_clock_of_an_idle_worker_makes_no_lease_longer()
        ),
    ),
    "authority ends": (
        patch.object(Lease, "_authorized_until", lambda self, run: float("inf")),
        test_stored.owned_world,
        test_stored.test_a_former_owner_and_its_runner_cut_off_run_nothing_twice,
    ),
    "authority is as old as the confirmed renewal": (
        patch.object(StampTracker, "stamp", StampTracker.newest),
        test_stored.owned_world,
        test_stored.test_a_former_owner_and_its_runner_cut_off_run_nothing_twice,
    ),
    "a replacement waits for the authority's end": (
        patch.object(owner, "replacement_delay_s", lambda transient: 0.1),
        test_stored.owned_world,
        test_stored.test_a_former_owner_and_its_runner_cut_off_run_nothing_twice,
    ),
    "a new owner asks for the runs first": (
        patch.object(Partition, "open", _open_surveyed),
        test_stored.owned_world,
        test_stored.test_a_former_owner_and_its_runner_cut_off_run_nothing_twice,
    ),
    "forwarded jobs expire": (
        patch.object(HostedJobs, "handle_run", _handle_expired_run),
        test_forwarding.warm_world,
        test_forwarding.test_a_request_that_was_held_up_is_not_run,
    ),
    "a placer drops the jobs of a silent entry": (
        patch.object(HostedJobs, "tick", lambda self, now: None),
        lambda: None,
        lambda _: (
            test_forwarding.test_a_dead_entrys_runs_end_before_its_callers_return()
        ),
    ),
    "forwarded jobs run for as long as their entry confirms them": (
        patch.object(StampTracker, "newest_before", lambda self, when: self.newest),
        lambda: (0.6, "cut"),
        lambda case: test_forwarding.test_entry_and_placer_are_lost_one_after_the_other(
            *case
        ),
    ),
    "ends are stored before they are acknowledged": (
        patch.object(Journal, "add", _add_and_report_stored),
        test_stored.owned_world,
        test_stored.test_ends_are_not_acknowledged_while_the_log_is_unreachable,
    ),
    "a superseded end waits for a lapse": (
        patch.object(
            OwnerMessages, "handle_end_acknowledgements", _acknowledge_at_once
        ),
        test_stored.owned_world,
        test_stored.test_an_end_of_a_task_started_elsewhere_waits_for_the_lease_to_lapse,
    ),
    "the end of a job has the runs that were replaced": (
        patch.object(Job, "replacement_runs", lambda self: ()),
        lambda: True,
        test_replaced_runs.test_the_end_of_a_replaced_run_of_a_canceled_job_waits_for_a_lapse,
    ),
    "old ends wait for a lapse": (
        patch.object(UnacknowledgedEnd, "is_old", lambda self, now: False),
        lambda: None,
        lambda _: (
            test_replaced_runs.test_the_end_of_a_replaced_run_of_a_forgotten_job_waits_for_a_lapse()
        ),
    ),
    "a replacement is stored before it is placed": (
        patch.object(Supervision, "_store_replacements", _reserve_only),
        lambda: False,
        test_replaced_runs.test_a_new_owner_knows_of_a_replaced_run_that_no_worker_remembers,
    ),
    "a report counts if the runner follows this ownership": (
        patch.object(Supervision, "_reports_on", lambda self, view, partition: True),
        lambda: None,
        lambda _: (
            test_replaced_runs.test_a_former_owner_does_not_replace_the_runs_that_the_new_owner_knows()
        ),
    ),
}


@pytest.mark.parametrize("name", MECHANISMS)
def test_the_check_fails_without_the_mechanism(name):
    removal, set_up, check = MECHANISMS[name]
    # Unpacking raises ValueError where a check expects one end and finds none.
    with removal, pytest.raises((AssertionError, ValueError)):
        check(set_up())
