"""The part of the runner's role that decides which heartbeats are its worker's."""

from banyanwheel_jobs.runners.runner import INCARNATION_TIMEOUT_S

from .clocks import boot_time

__all__ = ["WorkerHeartbeats"]


class WorkerHeartbeats:
    """Passes on the heartbeats of the runner's worker, and refuses those of others.

    One that names another life of a worker counts once that life has answered.
    """

    def _handle_worker_heartbeat(self, heartbeat):
        if not self._names_worker(heartbeat):
            self._verifier.verify(heartbeat)
        elif self._contradicts_worker(heartbeat):
            self._refuse_heartbeat(heartbeat, "other-writer")
        else:
            self._announce(heartbeat)

    def _names_worker(self, heartbeat):
        worker = self._runner.worker
        return worker is not None and worker.incarnation == heartbeat.incarnation

    def _contradicts_worker(self, heartbeat):
        """Whether a heartbeat names the worker's life with another service or address.

        These hold for a whole life. Such a heartbeat counts once the worker's own ones
        stay away.
        """
        worker = self._runner.worker
        same_service = heartbeat.service == worker.service
        return not (same_service and heartbeat.address == worker.address) and (
            boot_time() - self._announced_at < INCARNATION_TIMEOUT_S
        )

    def _refuse_heartbeat(self, heartbeat, reason):
        self.event_log(
            "heartbeat:refused",
            incarnation=heartbeat.incarnation,
            service=heartbeat.service,
            address=heartbeat.address,
            reason=reason,
        )
        self.event_log.count("banyanwheel.heartbeats.refused", reason)

    def _use_worker(self, heartbeat, client):
        """Uses a worker that has answered, unless the present one is a later life."""
        if self._names_worker(heartbeat):  # by another heartbeat, meanwhile
            client.close()
            self._handle_worker_heartbeat(heartbeat)
            return
        if not self._announce(heartbeat):
            client.close()
            return
        if self._client is not None:
            self._client.close()
        self._client = client
        self._poll_wakeup.set()

    def _announce(self, heartbeat):
        """Passes a heartbeat of the worker on; returns whether a new life begins."""
        begun = self._runner.announce(heartbeat, boot_time())
        if self._runner.worker is heartbeat:
            self._announced_at = boot_time()
        self._report_to_all()
        return begun
