"""When callers whose jobs were refused should submit them again."""

import math
import zlib

__all__ = [
    "MAX_RETRY_S",
    "MIN_RETRY_S",
    "backlog_time_s",
    "capacity_cpu_s",
    "overload_retry_ms",
]

MIN_RETRY_S = 1  # the shortest time that a caller can be told
MAX_RETRY_S = 10  # an estimate for a longer time says little


def backlog_time_s(jobs, views, now):
    """Returns the time in which the workers would end the tasks that wait.

    ``views`` are those of the runners, of which the ones at home here count, and all of
    them if there is none. Without a usable runner nothing can be said, and it is 0.
    """
    cpu_per_s = capacity_cpu_s(views, now)
    if not cpu_per_s:
        return 0.0
    return sum(job.waiting_work_cpu_s for job in jobs) / cpu_per_s


def capacity_cpu_s(views, now, service=None):
    """Returns what the workers do in a second, in thousandths of a core-second.

    The workers are those of one ``service``, if it is given, that are at home here, or
    all of them if none is.
    """
    usable = [
        view
        for view in views
        if view.usable(now) and service in (None, view.worker.service)
    ]
    workers = [view for view in usable if view.home] or usable
    return sum(view.worker.capacity.cpu / view.slowness for view in workers)


def overload_retry_ms(job_id, backlog_s):
    """Returns after how many ms a caller should come again.

    By then the tasks that wait now are over. The callers are spread over as long again,
    so that they don't return together; a job gets the same part of it each time.
    """
    part = zlib.crc32(job_id.encode()) / 2**32
    return 1000 * min(MAX_RETRY_S, max(MIN_RETRY_S, math.ceil(backlog_s * (1 + part))))
