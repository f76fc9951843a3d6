"""Each mechanism that keeps a promise, taken out: a check of the promise fails."""

from unittest.mock import patch

import msgspec
import pytest

from banyanwheel_jobs import owner
from banyanwheel_jobs.authority import StampTracker
from banyanwheel_jobs.journal import Journal
from banyanwheel_jobs.owner_messages import OwnerMessages
from banyanwheel_jobs.partition import Partition
from banyanwheel_jobs.runner import Runner
from banyanwheel_jobs.worker_reconciliation import WorkerReconciliation

from . import test_runner, test_stored, test_transient

_refusal_reason = OwnerMessages._refusal_reason
_add = Journal.add
_take_ends_taken = OwnerMessages.handle_end_acknowledgements
_open = Partition.open


def _never_refusing(reason):
    def refusal(self, owner, message, now):
        found = _refusal_reason(self, owner, message, now)
        return "" if found == reason else found

    return patch.object(OwnerMessages, "_refusal_reason", refusal)


def _add_and_tell(self, records, on_stored, on_abandoned=None):
    _add(self, records, lambda: None, on_abandoned)
    on_stored()


def _acknowledge_at_once(self, message, now):
    for item in message.superseded:
        key = (item.task, item.run)
        self._ends.pop(key, None)
        self._cursor.acknowledge(key)
    _take_ends_taken(self, msgspec.structs.replace(message, superseded=()), now)


def _unbounded_deadline_ms(self, now):
    clock_ms, read_at = self._worker_clock
    return round(clock_ms + (now - read_at + self._lease_s) * 1000)


def _open_surveyed(*arguments):
    partition = _open(*arguments)
    partition.mark_surveyed()
    return partition


MECHANISMS = {
    "orders expire": (
        _never_refusing("held-up"),
        test_runner.idle_world,
        test_runner.test_an_order_that_was_held_up_is_refused,
    ),
    "orders name the life of the worker": (
        _never_refusing("other-incarnation"),
        test_runner.idle_world,
        test_runner.test_an_order_for_another_life_of_the_worker_is_refused,
    ),
    "orders carry the epoch": (
        _never_refusing("former-owner"),
        test_runner.idle_world,
        test_runner.test_an_order_of_a_former_owner_is_refused,
    ),
    "stopped runs are remembered": (
        patch.object(WorkerReconciliation, "_add_tombstone", lambda self, key: None),
        test_runner.idle_world,
        test_runner.test_an_order_that_arrives_after_its_stop_is_refused,
    ),
    "a doubtful start raises the fence": (
        patch.object(Runner, "raise_fence", lambda self: self.fence),
        test_runner.two_runners_world,
        test_runner.test_a_start_that_reaches_its_worker_late_starts_nothing,
    ),
    "a silent worker's lease lapses": (
        patch.object(Runner, "_is_unresponsive", lambda self, now: False),
        test_runner.idle_world,
        test_runner.test_a_start_to_a_silent_worker_is_put_back,
    ),
    "no lease outlasts the authority": (
        patch.object(Runner, "deadline_ms", _unbounded_deadline_ms),
        lambda: 0.4,
        test_transient.test_a_runner_that_is_cut_off_and_freezes_runs_nothing_twice,
    ),
    "authority ends": (
        patch.object(Runner, "_authorized_until", lambda self, run: float("inf")),
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
    "ends are stored before they are acknowledged": (
        patch.object(Journal, "add", _add_and_tell),
        test_stored.owned_world,
        test_stored.test_ends_wait_for_their_owner_while_the_log_is_away,
    ),
    "a superseded end waits for a lapse": (
        patch.object(
            OwnerMessages, "handle_end_acknowledgements", _acknowledge_at_once
        ),
        test_stored.owned_world,
        test_stored.test_an_end_of_a_task_that_was_started_elsewhere_waits_for_a_lapse,
    ),
}


# By mechanism: how to take it out, how to begin, and a check that must fail then.
@pytest.mark.parametrize("name", MECHANISMS)
def test_the_check_fails_without_the_mechanism(name):
    mechanism_out, begin, check = MECHANISMS[name]
    # A check that finds nothing where it expects one end raises ValueError.
    with mechanism_out, pytest.raises((AssertionError, ValueError)):
        check(begin())
