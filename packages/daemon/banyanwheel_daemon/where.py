"""Tells operators where a job would go now, and why, without running it."""

from banyanwheel_jobs.cells.rules import Rule
from banyanwheel_jobs.model import Step, Submission, partition_of
from banyanwheel_jobs.outcomes import RETRY_AFTER_MS, Outcome, Reply
from banyanwheel_jobs.owners.dry_run import dry_run

__all__ = ["Where"]


class Where:
    """Answers for one dispatcher, of the given ``name``.

    ``transient`` are its TransientRequests, ``stalled(partition)`` tells whether the
    log doesn't answer for a partition, and ``clock()`` returns seconds.
    """

    def __init__(self, name, owner, gateway, transient, stalled, clock):
        self._name = name
        self._owner = owner
        self._gateway = gateway
        self._transient = transient
        self._stalled = stalled
        self._now = clock

    def explain(self, job_id, document, wait_s, partitions):
        """Returns a Reply that a submission would get at once, or None, and rows."""
        routing = self._gateway.routing
        if routing is None:
            return Reply(Outcome.NO_CONFIGURATION, retry_ms=RETRY_AFTER_MS), ()
        queue = routing.find(document.queue)
        if queue is None:
            return Reply(Outcome.NO_QUEUE), ()
        steps = tuple(Step.from_document(step) for step in document.steps)
        submission = Submission(
            job_id, queue, document.spec, steps, 0, document.transient
        )
        if document.transient:
            return None, self._transient_rows(submission, wait_s)
        return self._stored_rows(submission, wait_s, partition_of(job_id, partitions))

    def _transient_rows(self, submission, wait_s):
        now = self._now()
        reason, placer, rule = self._transient.explain(submission, now)
        if reason:
            return [_refused(reason)]
        if placer is not None:
            return [self._forwarded(placer.address, rule, list(placer.cells))]
        if rule is Rule.OPEN:
            return [self._here(rule)]
        if not self._transient.places_tasks:
            why = "no placer is known; it waits for one"
            return [{"about": "route", "result": "hold", "why": why}]
        return [self._here(rule), *dry_run(self._owner, submission, now, wait_s)]

    def _stored_rows(self, submission, wait_s, number):
        """Returns the rows for a job of one partition, after a Reply or None."""
        partition = self._owner.partition_for(submission.job_id)
        if partition is None:
            address = self._gateway.owner_of(number)
            if address is not None:
                return None, [self._forwarded(address, Rule.OWNER, [])]
            why = f"no dispatcher is known to own partition {number}"
            return None, [{"about": "route", "result": "hold", "why": why}]
        if partition.conflicts(submission):
            return Reply(Outcome.CONFLICT), ()
        known = partition.knows(submission.job_id)
        if known or submission.job_id in partition.pending_submissions:
            return None, [self._here(Rule.OPEN)]
        if self._stalled(partition):
            return None, [_refused("log-unavailable")]
        if not self._transient.admits(submission):
            return None, [_refused("work-limit")]
        rows = dry_run(self._owner, submission, self._now(), wait_s)
        return None, [self._here(Rule.OWNER), *rows]

    def _here(self, rule):
        return {
            "about": "route",
            "result": "here",
            "why": str(rule),
            "dispatcher": self._name,
        }

    def _forwarded(self, address, rule, cells):
        return {
            "about": "route",
            "result": "forward",
            "why": str(rule),
            "dispatcher": self._name,
            "placer": address,
            "cells": cells,
        }


def _refused(reason):
    return {
        "about": "admission",
        "result": "refuse",
        "why": reason,
        "retry_after_ms": RETRY_AFTER_MS,
    }
