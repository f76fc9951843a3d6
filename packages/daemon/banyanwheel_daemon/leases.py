"""Leases of the tasks that run on the backend server."""

import asyncio
from enum import Enum, auto

from tornado.ioloop import IOLoop

__all__ = ["Lease", "LeaseKeeper", "Renewal"]

RENEWALS_PER_LEASE = 3
CHECKS_PER_LEASE = 24


class Renewal(Enum):
    """What the backend server said of a renewal."""

    RENEWED = auto()
    GONE = auto()
    UNANSWERED = auto()


class Lease:
    """A task's lease by this process's clock, at its shortest possible."""

    def __init__(self, task, seconds, clock, on_lapsed):
        self.task = task
        self.renewing = None  # the renewal on its way
        self._seconds = seconds
        self._clock = clock
        self._on_lapsed = on_lapsed
        self._since = None
        self._gone = False

    @property
    def begun(self):
        """Whether the request's body was handed to the connection."""
        return self._since is not None

    @property
    def lapsed(self):
        """Whether the backend server may have let the lease go."""
        return self._gone or (self.begun and self._age >= self._seconds)

    @property
    def due(self):
        """Whether it's time for a renewal."""
        return self.begun and self._age >= self._seconds / RENEWALS_PER_LEASE

    def extend(self, since):
        """Starts or renews the lease, counted from ``since``."""
        self._since = since

    def drop(self):
        """Notes that the backend server let the lease go."""
        self._gone = True
        self.tell()

    def tell(self):
        """Calls ``on_lapsed``."""
        self._on_lapsed()

    @property
    def _age(self):
        return self._clock() - self._since


class LeaseKeeper:
    """Renews the leases of all running tasks, on one timer.

    ``renew(task, timeout)`` is a coroutine function that returns a Renewal; the
    timeout is in seconds.
    """

    def __init__(self, seconds, renew, clock):
        self._seconds = seconds
        self._renew = renew
        self._clock = clock
        self._leases = set()
        self._timer = None

    def hold(self, task, on_lapsed):
        """Returns a lease that is kept until :meth:`release`, or until it lapses."""
        lease = Lease(task, self._seconds, self._clock, on_lapsed)
        self._leases.add(lease)
        if self._timer is None:
            self._set_timer()
        return lease

    def release(self, lease):
        """Ends the keeping of a lease."""
        self._leases.discard(lease)

    def _set_timer(self):
        pause = self._seconds / CHECKS_PER_LEASE
        self._timer = IOLoop.current().call_later(pause, self._check)

    def _check(self):
        self._timer = None
        for lease in list(self._leases):
            if lease.lapsed:
                self._leases.discard(lease)
                lease.tell()
            elif lease.due and lease.renewing is None:
                lease.renewing = asyncio.ensure_future(self._extend(lease))
        if self._leases:
            self._set_timer()

    async def _extend(self, lease):
        since = self._clock()
        try:
            renewal = await self._renew(lease.task, self._seconds / RENEWALS_PER_LEASE)
        finally:
            lease.renewing = None
        if renewal is Renewal.GONE:
            lease.drop()
        elif renewal is Renewal.RENEWED and not lease.lapsed:
            lease.extend(since)
