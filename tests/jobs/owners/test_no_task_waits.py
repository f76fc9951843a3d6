"""Whatever the workers and jobs are, no job stands still beside room for it.

The users' rule: no job has nothing running for 3 s while a task's turn has come, there
is capacity for it twice over, and less than half of its service's capacity is in use.
"""

from collections import Counter

from hypothesis import example, given, settings, strategies as st

from banyanwheel_jobs.model import Resources

from .fleet import STEP_S, Fleet, FleetWorker

EXAMPLES = 40
STANDSTILL_S = 3.0
BUSY_SHARE = 0.5
LABELS = ["a", "b", "c"]
NO_LABEL = "none"  # that any worker has
SERVICES = ["desk", "other"]
PLAYED_S = 20
JOBS_UNTIL_S = 6

WORKERS = st.fixed_dictionaries(
    {
        "cpu": st.sampled_from([1_000, 4_000, 16_000, 64_000]),
        "service": st.sampled_from(SERVICES),
        "labels": st.sets(st.sampled_from(LABELS)).map(tuple),
        "slowness": st.sampled_from([0.5, 1.0, 3.0]),
        "home": st.booleans(),
    }
)
JOBS = st.fixed_dictionaries(
    {
        "service": st.sampled_from(SERVICES),
        "target_ms": st.sampled_from([1, 500, 60_000]),
        "count": st.sampled_from([1, 1, 2, 8, 40]),
        "resources": st.sampled_from([500, 1_000, 4_000, 100_000]).map(Resources),
        "estimate_ms": st.sampled_from([50, 400, 60_000]),
        "label": st.sampled_from(["", "", *LABELS, NO_LABEL]),
        "max_per_worker": st.sampled_from([0, 0, 0, 1]),
    }
)
BATCHES = st.tuples(st.floats(0, JOBS_UNTIL_S), st.sampled_from([1, 1, 5, 40]), JOBS)
TROUBLES = st.tuples(
    st.sampled_from(["failing", "refusing"]),
    st.integers(0, 19),  # the number of the worker
    st.floats(0, JOBS_UNTIL_S),
    st.floats(0.5, 8.0),
)


WORKER = {"service": "desk", "labels": (), "slowness": 1.0, "home": True}
LONG_TASKS = {
    "service": "desk",
    "target_ms": 60_000,
    "count": 40,
    "resources": Resources(1_000),
    "estimate_ms": 60_000,
    "label": "",
    "max_per_worker": 0,
}
ONE_SERVICE_FULL = (
    [
        WORKER | {"cpu": 64_000},
        WORKER | {"cpu": 64_000},
        WORKER | {"cpu": 4_000, "service": "other"},
    ],
    [(0.0, 5, LONG_TASKS), (1.0, 1, LONG_TASKS | {"service": "other", "count": 1})],
    [],
)
ONE_LABEL_FULL = (
    [WORKER | {"cpu": 64_000, "labels": ("a",)}, *[WORKER | {"cpu": 64_000}] * 2],
    [(0.0, 1, LONG_TASKS | {"label": "a", "count": 61})]
    + [(1.0, 1, LONG_TASKS | {"label": "a", "count": 1})],
    [],
)

THE_FASTEST_REFUSES = (
    [WORKER | {"cpu": 16_000, "slowness": 0.5}, *[WORKER | {"cpu": 16_000}] * 2],
    [(1.0, 1, LONG_TASKS | {"count": 2, "estimate_ms": 400})],
    [("refusing", 0, 0.5, 7.0)],
)
# The large worker is on trial when the long tasks come, and they fill the others.
BACK_FROM_A_FAULT = (
    [WORKER | {"cpu": 64_000}, *[WORKER | {"cpu": 4_000}] * 2],
    [(0.0, 10, LONG_TASKS | {"count": 2, "estimate_ms": 400})]
    + [(5.5, 1, LONG_TASKS | {"count": 12}), (5.8, 1, LONG_TASKS | {"count": 1})],
    [("failing", 0, 0.0, 1.0)],
)


class Standstills:
    """Finds the jobs that stand still, from what the workers run."""

    def __init__(self, fleet, jobs):
        self._fleet = fleet
        self._jobs = jobs  # their fields by id
        self._since = {}  # when each last ran something, or could not be run

    def check(self):
        fleet = self._fleet
        active = Counter(
            key[0].job for worker in fleet.workers.values() for key in worker.running
        )
        for job_id, fields in self._jobs.items():
            # A task that is placed at a worker that refuses it stands still as well.
            ended = job_id not in fleet.jobs
            if active[job_id] or ended or not self._room(fields):
                self._since[job_id] = fleet.now
            since = self._since.setdefault(job_id, fleet.now)
            assert fleet.now - since < STANDSTILL_S, (job_id, fields)

    def _room(self, fields):
        """Whether there is room for two tasks, and the service isn't busy."""
        serving = [
            worker
            for worker in self._fleet.workers.values()
            if worker.service == fields["service"]
        ]
        capacity = sum(worker.cpu for worker in serving)
        if sum(worker.used for worker in serving) >= BUSY_SHARE * capacity:
            return False
        cpu = fields["resources"].cpu
        fitting = (
            (worker.cpu - worker.used) // cpu
            for worker in serving
            if not worker.refusing
            and (not fields["label"] or fields["label"] in worker.labels)
        )
        return sum(fitting) >= 2


@example(*ONE_SERVICE_FULL)
@example(*ONE_LABEL_FULL)
@example(*THE_FASTEST_REFUSES)
@example(*BACK_FROM_A_FAULT)
@settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
@given(
    st.lists(WORKERS, min_size=1, max_size=20),
    st.lists(BATCHES, min_size=1, max_size=12),
    st.lists(TROUBLES, max_size=4),
)
def test_no_job_stands_still_beside_room_for_it(workers, batches, troubles):
    """Would have found review/5, review/9 and review/10."""
    fleet = Fleet(*(FleetWorker(f"w{n}", **fields) for n, fields in enumerate(workers)))
    names = list(fleet.workers)
    jobs = {}
    standstills = Standstills(fleet, jobs)
    for number in range(round(PLAYED_S / STEP_S)):
        at = number * STEP_S
        for due, count, fields in batches:
            if at <= due < at + STEP_S:
                for _ in range(count):
                    jobs[fleet.submit(len(jobs), attempts=1_000, **fields)] = fields
        for kind, index, due, seconds in troubles:
            worker = fleet.workers[names[index % len(names)]]
            if at <= due < at + STEP_S:
                setattr(worker, kind, True)
            elif at <= due + seconds < at + STEP_S:
                setattr(worker, kind, False)
        fleet.step()
        standstills.check()
