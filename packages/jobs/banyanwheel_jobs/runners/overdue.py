"""The part of a runner that acts on the time that has passed."""

from ..model import EndKind, Resources
from .lease import LEASE_EXPIRY_MARGIN_S
from .runs import RunState

__all__ = ["Overdue"]

# A run that waits longer is refused, so that its owner can place the task elsewhere.
# Another dispatcher has taken the room, and a short job can't wait until more is free.
ROOM_WAIT_S = 0.02
START_WAIT_S = 0.4  # the same for a run that has room but may not start yet
# How long a run waits at an unresponsive worker; a short job is on time within 0.4 s.
UNRESPONSIVE_WAIT_S = 0.1
LAPSE_DRAIN_S = 1.5  # time for runs to end by themselves before the lease lapses


class Overdue:
    """Ends runs that have waited too long, and those whose worker let them lapse."""

    def tick(self, now):
        """Ends runs that waited too long or lapsed; returns whether any run ended."""
        before = self.version
        self._refuse_overdue(now)
        for run in list(self._runs.values()):
            if self._has_lapsed(run, now):
                self._log_lapse(run, now)
                self._end_locally(run, EndKind.LAPSED, "worker-silent", now)
        self._finish_lapse(now)
        return self.version != before

    def _refuse_overdue(self, now):
        """Refuses the runs that have waited too long, for room or for their worker."""
        unresponsive = self._is_unresponsive(now)
        reason = "worker-silent" if unresponsive else "no-room"
        free = self._free_resources(now) if self._worker_heartbeat else Resources()
        for run in list(self._runs.values()):
            if run.state is not RunState.WAITING:
                continue
            if unresponsive:
                max_wait_s = UNRESPONSIVE_WAIT_S
            else:
                has_room = run.order.resources.fits(free)
                max_wait_s = START_WAIT_S if has_room else ROOM_WAIT_S
            if now - run.queued_at > max_wait_s:
                self._end_locally(run, EndKind.REFUSED, reason, now)

    def _has_lapsed(self, run, now):
        """Returns whether a run has ended because the worker's lease lapsed.

        A start in flight renews the lease; if it stays unanswered, it is in doubt.
        """
        if not run.on_worker or run.state is RunState.STARTING:
            return False
        return bool(self._lease_expires_at) and now > self._lease_expires_at

    def _finish_lapse(self, now):
        if self._pending_lapse is None:
            return
        running = [run for run in self._runs.values() if run.on_worker]
        if running and now - self._pending_lapse.since > LAPSE_DRAIN_S:
            for run in running:
                self._request_stop(run, now)
        if running or now < self._lease_expires_at + LEASE_EXPIRY_MARGIN_S:
            return
        for key in self._pending_lapse.keys:
            self._forget_end(key)
        self._pending_lapse = None

    def _refuse_waiting(self, reason):
        for run in list(self._runs.values()):
            if run.state is RunState.WAITING:
                self._end_locally(run, EndKind.REFUSED, reason, run.queued_at)
