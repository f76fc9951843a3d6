"""Which waiting jobs can't end in time, given the work ahead of them."""

__all__ = ["hopeless_jobs"]


def hopeless_jobs(jobs, cpu_per_s, now):
    """Yields the jobs that can't end in time, not even late.

    ``jobs`` are in the order in which they get room, ``cpu_per_s`` is the capacity in
    thousandths of a core. Jobs that may have begun count as work ahead only. So does no
    job that is itself hopeless, and no work that has yet to arrive: what is refused
    here could not be served even if nothing else came.
    """
    ahead_s = 0.0
    for job in jobs:
        limit = min(job.late_until, job.expires_at or job.late_until)
        if not job.may_have_begun and now + ahead_s + job.critical_path_s > limit:
            yield job
        elif cpu_per_s:
            ahead_s += job.waiting_work_cpu_s / cpu_per_s
