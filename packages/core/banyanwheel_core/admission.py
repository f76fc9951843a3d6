"""Whether a coordinator takes a submission: refusals before anything starts."""

from dataclasses import dataclass

from .dispatcher import fits
from .models import Reason

__all__ = ["AT_ONCE_MS", "RETRY_MS", "Admission", "Refusal"]

RETRY_MS = 1_000  # suggested pause where none can be estimated
AT_ONCE_MS = 1  # another coordinator may take the job right away
DEADLINE_MARGIN = 1.2  # on the expected time to a result


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a submission is not run, and when to come back; 0 for not at all."""

    reason: Reason
    detail: str
    retry_after_ms: int = 0


class Admission:
    """Checks a submission against bounds, workers, queue and deadline."""

    def __init__(self, members, dispatcher, placement):
        self._members = members
        self._dispatcher = dispatcher
        self._placement = placement

    def check(self, message, policy):
        """Returns the Refusal of a SubmitJob message, or None."""
        fault = policy.fault_in(message.spec)
        if fault is not None:
            return Refusal(Reason.TOO_LARGE, str(fault))
        return (
            self._check_service(message.spec)
            or self._check_workers(message.spec, policy)
            or self._check_queue(message, policy)
        )

    def _offering(self, service):
        return [m for m in self._members.members if service in m.services]

    def _check_service(self, spec):
        members = self._offering(spec.service)
        if not members:
            detail = f"no backend server offers {spec.service!r}"
            return Refusal(Reason.UNKNOWN_SERVICE, detail)
        if not any(fits(member, spec.needs) for member in members):
            detail = "no worker has the memory or accelerators that the tasks need"
            return Refusal(Reason.NEVER_RUNNABLE, detail)
        return None

    def _check_workers(self, spec, policy):
        if self._dispatcher.executors(spec.service):
            return None
        members = self._offering(spec.service)
        if all(policy.drains.covers(member) for member in members):
            return Refusal(Reason.DRAINING, "every worker is drained", RETRY_MS)
        return Refusal(Reason.NO_WORKER, "every worker is leaving", RETRY_MS)

    def _check_queue(self, message, policy):
        flow = message.spec.flow
        queue = self._dispatcher.queue(flow)
        wait_ms = int(queue.expected_wait() * 1_000)
        retry_after_ms = max(wait_ms, AT_ONCE_MS)
        if queue.waiting >= policy.flow(flow).max_queue:
            detail = f"{queue.waiting} tasks of this kind wait here already"
            return Refusal(Reason.QUEUE_FULL, detail, retry_after_ms)
        needed_ms = wait_ms + self._placement.fleet_run_ms(flow)
        if queue.waiting and needed_ms * DEADLINE_MARGIN > message.remaining_ms:
            detail = f"a task waits about {wait_ms} ms now"
            return Refusal(Reason.DEADLINE_INFEASIBLE, detail, retry_after_ms)
        return None
