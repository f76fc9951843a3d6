"""The part of a runner that decides on its worker's lease.

A worker has one lease for all runs on it, and kills them all when it expires. It is
given as a deadline on the worker's clock.
"""

from ..authority import CLOCK_DRIFT_FACTOR
from .runs import RunState

__all__ = ["LEASE_EXPIRY_MARGIN_S", "MAX_LEASE_S", "Lease"]

LEASE_EXPIRY_MARGIN_S = 0.15  # timers may fire late, on either side
# A run starts only if its authority covers the lease in force, as no lease can be cut.
# Assignments come with an authority that is 0.2 s old at most, so they nearly all do.
MAX_LEASE_S = 0.9
CLOCK_MAX_AGE_S = 5.0  # a lease is shorter by 2% of the age of the reading
STOP_TIME_S = 0.6  # for several attempts to stop a run
MIN_RUN_S = 0.5  # a run with less time left is not started


class Lease:
    """Renews the worker's lease for no longer than the runs on it may continue."""

    @property
    def should_renew_lease(self):
        """Whether to renew the lease, which has to lapse once a lapse is pending.

        Runs that are still on the worker keep it until they end.
        """
        return self._pending_lapse is None or any(
            run.on_worker for run in self._runs.values()
        )

    def update_worker_clock(self, clock_ms, now):
        """Records a reading of the worker's clock, unless it is out of date."""
        if clock_ms >= self._worker_clock[0]:
            self._worker_clock = (clock_ms, now)

    def has_old_clock(self, now):
        """Whether the worker's clock has to be read, so that leases aren't too short.

        That of an idle worker is read for no other reason.
        """
        return self.reconciled and now - self._worker_clock[1] > CLOCK_MAX_AGE_S

    def _least_clock_ms(self, now):
        """Returns the least that the worker's clock may show, in ms.

        It may be slow, so that a reading says less the older it is.
        """
        clock_ms, read_at = self._worker_clock
        return clock_ms + (now - read_at) * 1000 * (2 - CLOCK_DRIFT_FACTOR)

    def deadline_ms(self, now):
        """Returns a new lease deadline in ms of the worker's clock, and records it.

        It is no later than the end of the authority for any run on the worker, and None
        before all of them are known. Without any, it is kept for ends that have not
        been acknowledged. For an unresponsive worker it is None: unanswered polls could
        extend the lease forever, so it is left to lapse.
        """
        if not self.reconciled or self._is_unresponsive(now):
            return None
        until = min(
            (
                self._authorized_until(run)
                for run in self._runs.values()
                if run.on_worker
            ),
            default=now + self._lease_s if self._cursor.has_unacknowledged else None,
        )
        if until is None:
            return None
        lease_s = max(0.0, min(self._lease_s, until - now))
        self._lease_until = max(self._lease_until, now + lease_s)
        self._lease_expires_at = max(
            self._lease_expires_at, self._lease_end(now, lease_s)
        )
        return int(self._least_clock_ms(now) + lease_s * 1000)

    def _lease_end(self, now, lease_s):
        """Returns the latest time at which a lease given now expires."""
        return now + lease_s * CLOCK_DRIFT_FACTOR + LEASE_EXPIRY_MARGIN_S

    def start_deadline_ms(self, run, now):
        """Returns the lease deadline for starting a run, None if it must not start now.

        The run may have ended since :meth:`begin_due_starts` returned it, or the data
        centre may have been evacuated.
        """
        if self.evacuated or run.state is not RunState.STARTING:
            return None
        return self.deadline_ms(now)

    def _has_time_to_start(self, run, now):
        """Returns whether a run may go on for long enough to be started.

        Its authority has to cover the lease in force. Its caller's deadline need not:
        a caller that submits the job again afterwards does so later than a lease lasts.
        """
        return (
            self._authorized_until(run) >= now + MIN_RUN_S
            and self._authority_until(run) >= self._lease_until
        )

    def _authorized_until(self, run):
        """Returns the time until which a run may continue."""
        return min(self._authority_until(run), run.expires_at)

    def _authority_until(self, run):
        authority = self._authority.until(run.partition, run.owner)
        return min(authority, run.confirmed_until)

    def _request_stop(self, run, now):
        """Has a run stopped, at the latest by the lapse of the lease.

        Its stop may go unanswered, and its caller may submit the job again elsewhere.
        So its time is not extended beyond the lease in force, but for the moment that a
        stop may take; else stops in a row would let the lease lapse for all runs.
        """
        if not run.stop_requested:
            run.stop_requested_at = now
            until = max(self._lease_until, now + STOP_TIME_S)
            run.expires_at = min(self._authorized_until(run), until)

    def _log_lapse(self, run, now):
        """Logs what the runner knew as a run lapsed.

        A negative ``authority_ms`` says how long the lease has outlasted the authority.
        """
        authority_ms = round((self._authorized_until(run) - now) * 1000)
        stop_at = run.stop_requested_at
        self._event_log(
            "run:lapsed",
            task=str(run.order.task),
            run=run.order.run,
            owner=run.owner[0] if run.owner else "",
            found=run.is_orphan,
            stop_age_ms=None if stop_at is None else round((now - stop_at) * 1000),
            authority_ms=None if run.is_orphan else authority_ms,
            unanswered_polls=self._unanswered_polls,
        )
        reason = "worker-silent" if stop_at is None else "stop-unanswered"
        self._event_log.count("banyanwheel.lapses", reason)
