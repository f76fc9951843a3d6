"""The runners that may get tasks in one placement round, and their room."""

from .headroom import Headroom

__all__ = ["Candidates", "Pool", "Room"]

MIN_UNSUSPECTED_SHARE = 0.5  # of a pool; below it suspicion is ignored


class Candidates:
    """Views of runners, and the needs that found no room at them in this round.

    Free room only shrinks within a round, so that a lack of it lasts until its end.
    """

    def __init__(self, views):
        self.views = views
        self._lacks = []

    def has_room(self, resources):
        """Returns whether a runner has room for a task."""
        if any(lack.fits(resources) for lack in self._lacks):
            return False
        if any(view.room_for(resources) for view in self.views):
            return True
        self._lacks = [lack for lack in self._lacks if not resources.fits(lack)]
        self._lacks.append(resources)
        return False


class Pool:
    """The runners of one service, or those of them whose workers have one label.

    ``preferred`` leaves out the suspected ones. If most are suspected, the fault lies
    with the jobs, and it is the same as ``usable``. Tasks that have waited for long get
    ``fallback``, which has the suspected ones too while most of the service is free:
    in a flood, a worker that fails everything would get all that waits.
    """

    def __init__(self, views, now, whole_service=None):
        self.usable = self.preferred = Candidates(views)
        unsuspected = [view for view in views if not view.suspected(now)]
        if MIN_UNSUSPECTED_SHARE * len(views) <= len(unsuspected) < len(views):
            self.preferred = Candidates(unsuspected)
        self.headroom = Headroom(views)
        self._whole_service = whole_service or self
        self._large_enough = {}

    @property
    def busy(self):
        """Whether half of the CPU of the whole service is in use."""
        return self._whole_service.headroom.busy

    @property
    def fallback(self):
        """The candidates for tasks that have waited for a better runner for long."""
        return self.preferred if self.busy else self.usable

    def may_run(self, resources):
        """Returns whether a worker is large enough for a task, with room or not."""
        if resources not in self._large_enough:
            self._large_enough[resources] = any(
                resources.fits(view.worker.capacity) for view in self.usable.views
            )
        return self._large_enough[resources]


class Room:
    """The pools of the usable runners in one round."""

    def __init__(self, views, now):
        self._views = views
        self._now = now
        self._pools = {}
        self._labels = None  # of the workers by service, collected when first needed

    @property
    def largest_cpu(self):
        """The largest free CPU of a single runner, in thousandths of a core."""
        return max((view.free.cpu for view in self._views), default=0)

    @property
    def supply(self):
        """The kinds of workers, as a frozen set of (service, labels, capacity)."""
        workers = [view.worker for view in self._views]
        return frozenset(
            (worker.service, worker.labels, worker.capacity) for worker in workers
        )

    def recount(self):
        """Has free room counted anew, after tasks of a job have been placed."""
        for pool in self._pools.values():
            pool.headroom.recount()

    def pool(self, service, label):
        """Returns the Pool for tasks that require ``label``, which may be empty."""
        pool = self._pools.get((service, label))
        if pool is None:
            pool = self._pools[service, label] = self._create_pool(service, label)
        return pool

    def _create_pool(self, service, label):
        if not label:
            views = [view for view in self._views if view.worker.service == service]
            return Pool(views, self._now)
        whole_service = self.pool(service, "")
        views = []
        if label in self._labels_of(service):
            views = [
                view
                for view in whole_service.usable.views
                if label in view.worker.labels
            ]
        return Pool(views, self._now, whole_service)

    def _labels_of(self, service):
        if self._labels is None:
            self._labels = {}
            for view in self._views:
                labels = self._labels.setdefault(view.worker.service, set())
                labels.update(view.worker.labels)
        return self._labels.get(service, ())
