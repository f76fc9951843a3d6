"""Evacuations that owners and runners learn of at any time, among other faults."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import initialize, precondition, rule

from banyanwheel_jobs.evacuation import EvacuationRecord, Evacuations

from .runners.worker_model import START_DELAY_S
from .test_state_machine import KINDS, OWNERS, RUNNERS, WAITS, Faults


class EvacuationFaults(Faults):
    """Each runner lies in a data centre of its own, which has the runner's name."""

    @initialize(
        kinds=st.sets(st.sampled_from(KINDS), max_size=2),
        run_s=st.sampled_from([0.1, 0.6, 2.5]),
    )
    def begin(self, kinds, run_s):
        super().begin(kinds, run_s)
        self.evacuated_at = {}
        self.record_start = self.world.record_start
        self.world.record_start = self.check_start

    def check_start(self, worker, key):
        """Records a start; one that was in flight at the evacuation may still come."""
        self.record_start(worker, key)
        since = self.evacuated_at.get(worker.name, self.world.now)
        if (
            self.world.runners[worker.name].evacuated
            and self.world.now - since > START_DELAY_S + 0.05
        ):
            self.world.faults.append(f"{key[0]} was started at {worker.name}")

    @precondition(lambda self: not self.frozen)
    @rule(name=st.sampled_from(RUNNERS), evacuated=st.booleans(), wait=WAITS)
    def tell_runner(self, name, evacuated, wait):
        self.evacuated_at[name] = self.world.now
        self.world.runners[name].set_evacuated(evacuated, self.world.now)
        self.submit_and_wait(wait)

    @precondition(lambda self: not self.frozen)
    @rule(name=st.sampled_from(OWNERS), names=st.sets(st.sampled_from(RUNNERS)))
    def tell_owner(self, name, names):
        owner = self.world.owners[name]
        owner.evacuations = Evacuations()
        records = [EvacuationRecord(each, 1, each, True) for each in sorted(names)]
        owner.evacuations.replace(records)
        for view in owner.views.values():
            view.data_centre = view.name
        owner.apply_evacuations(self.world.now)
        self.submit_and_wait(0.3)

    def recover(self):
        super().recover()
        for name in RUNNERS:
            self.world.runners[name].set_evacuated(False, self.world.now)
        for owner in self.world.owners.values():
            owner.evacuations = Evacuations.not_followed()
            owner.apply_evacuations(self.world.now)


EvacuationFaults.TestCase.settings = settings(Faults.TestCase.settings, max_examples=30)
TestEvacuationFaults = EvacuationFaults.TestCase
