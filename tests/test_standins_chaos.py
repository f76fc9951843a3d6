"""Seeds of the random faults."""

import pytest

from tests.standins import chaos
from tests.standins.layout import Layout

MIXED = [
    [
        "_freeze 1",
        "_freeze_connections 3",
        "_replace 3",
        "_move_partitions 3",
        "_freeze 3",
        "_disturb_proxy 1",
    ],
    [
        "_stop 2",
        "_replace 2",
        "_disturb_log 4",
        "_replace 4",
        "_freeze 4",
        "_disturb_proxy 4",
    ],
]
RESTARTS = [
    [
        "_replace 1",
        "_restart_worker 3",
        "_stop_in_turn 3",
        "_restart_worker 3",
        "_restart_worker 3",
        "_disturb_log 1",
    ],
    [
        "_disturb_log 2",
        "_replace 2",
        "_stop_in_turn 4",
        "_disturb_log 2",
        "_replace 2",
        "_move_partitions 4",
    ],
]


class RecordingCluster:
    """Takes every fault and injects none."""

    layout = Layout(3, 4)
    daemons = layout.dispatcher_names + layout.runner_names

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        def record(*arguments, **options):
            self.calls.append((name, arguments, options))

        return record


@pytest.fixture
def inject(monkeypatch):
    monkeypatch.setattr(chaos.time, "sleep", lambda seconds: None)

    def inject(kind, *arguments, **options):
        """Returns what each series did, and what the cluster was asked for."""
        cluster = RecordingCluster()
        series = kind(cluster, *arguments, **options)
        applied = [chaos.play([one])[0] for one in series]
        return applied, cluster.calls

    return inject


def test_the_seeds_of_the_scenarios_keep_their_faults(inject):
    applied, _ = inject(chaos.mixed_chaos, 6, 1)
    assert applied == MIXED
    applied, _ = inject(chaos.mixed_chaos, 6, 1, restarts=True)
    assert applied == RESTARTS


@pytest.mark.parametrize("kind", [chaos.mixed_chaos, chaos.wide_chaos])
def test_a_seed_repeats_its_faults(inject, kind):
    assert inject(kind, 20, 7) == inject(kind, 20, 7)
    assert inject(kind, 20, 7) != inject(kind, 20, 8)


def test_wide_faults_kill_herds_and_leave_orders_unanswered(inject):
    _, calls = inject(chaos.wide_chaos, 50, 1)
    herds = [arguments[0] for name, arguments, _ in calls if name == "kill_together"]
    assert {RecordingCluster.daemons, RecordingCluster.layout.dispatcher_names} == set(
        herds
    )
    faults = {fault for _, _, options in calls for fault in options}
    assert faults >= {"late_share", "late_stop_share", "refuse_starts"}


def test_a_fault_that_cannot_be_injected_is_no_silence(monkeypatch):
    class Unreachable(RecordingCluster):
        def set_faults(self, name, **faults):
            raise OSError(name)

    monkeypatch.setattr(chaos.time, "sleep", lambda seconds: None)
    with pytest.raises(OSError):
        chaos.play(chaos.mixed_chaos(Unreachable(), 50, 1))
