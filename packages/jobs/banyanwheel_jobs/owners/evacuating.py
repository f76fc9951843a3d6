"""The part of an owner that keeps tasks away from evacuated data centres."""

from ..outcomes import EVACUATED

__all__ = ["Evacuating"]

# A job waits this long for a first report from a runner that is not evacuated, since
# its worker may run the job.
FIRST_REPORT_S = 0.3
# A look at all jobs costs processor time, and only catches what changes without an
# evacuation: workers that come and go, and runners that know of it first.
CHECK_INTERVAL_S = 0.25


class Evacuating:
    """Applies evacuations to the runners' views and to the jobs that wait."""

    def apply_evacuations(self, now):
        """Acts on a change of the evacuations in force."""
        for view in self._views.values():
            view.evacuation = self.evacuations.covers(view.data_centre)
        self._return_all_evacuated(now)
        self.dispatch(now)

    def _return_refused(self, job, end, now):
        """Returns a job whose assignment an evacuated runner has refused."""
        if end.reason == EVACUATED and job.live:
            self._return_evacuated((job,), now)

    def _check_evacuated(self, now):
        """Returns the jobs that are affected by now, every ``CHECK_INTERVAL_S``."""
        if now - self._evacuation_checked_at >= CHECK_INTERVAL_S:
            self._return_all_evacuated(now)

    def _return_all_evacuated(self, now):
        self._evacuation_checked_at = now
        self._any_evacuated = any(view.evacuated for view in self._views.values())
        if self._any_evacuated:
            self._return_evacuated(self._transient.jobs.values(), now)

    def _return_evacuated(self, jobs, now):
        """Refuses the transient jobs that only evacuated workers of the cells may run.

        Another cell may have suitable workers, so their entries look for it at once.
        Jobs that have begun stay, and use runners of other cells.
        """
        if not self.evacuations.known:
            return
        views = [view for view in self._views.values() if not view.borrowed]
        evacuated = [view for view in views if view.evacuated]
        others = [view for view in views if not view.evacuated]
        unheard = any(view.worker is None for view in others)
        affected = {}  # whether jobs are, by their needs
        for job in list(jobs):
            if job.may_have_begun or (
                unheard and now - job.received_at < FIRST_REPORT_S
            ):
                continue
            needs = _needs(job.submission)
            if needs not in affected:
                affected[needs] = _may_run(evacuated, needs) and not _may_run(
                    others, needs
                )
            if affected[needs]:
                self._refuse_transient(job, EVACUATED, now)


def _needs(submission):
    """Returns the service, and the label and resources of each step of a job."""
    steps = frozenset((step.label, step.resources) for step in submission.steps)
    return submission.queue.service, steps


def _may_run(views, needs):
    """Returns whether workers of ``views`` may run all steps, with room or not."""
    service, steps = needs
    workers = [
        view.worker
        for view in views
        if view.worker is not None and view.worker.service == service
    ]
    return all(
        any(
            (not label or label in worker.labels) and resources.fits(worker.capacity)
            for worker in workers
        )
        for label, resources in steps
    )
