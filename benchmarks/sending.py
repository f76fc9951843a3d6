"""Starts the processes that send jobs, and collects their samples."""

import tempfile
import time
from itertools import chain
from pathlib import Path

import msgspec

from tests.standins.process import Process

from .arrivals import Plan, Sample, Stream

__all__ = ["Sending", "base_streams", "flood_stream"]

START_DELAY_S = 1.5  # for the sending processes to come up
END_TIMEOUT_S = 60


class Sending:
    """Sends each group of streams from a process of its own."""

    def __init__(self, deployment, doors, groups):
        self.start = time.monotonic() + START_DELAY_S
        self._directory = tempfile.TemporaryDirectory()
        self._processes = []
        self._results = []
        for number, streams in enumerate(groups):
            plan = Plan(
                service=deployment.service,
                subsidiary=deployment.subsidiary,
                doors=tuple(doors),
                start=self.start,
                streams=tuple(streams),
            )
            self._launch(number, plan)

    def wait_until(self, seconds):
        """Sleeps until ``seconds`` after the start."""
        time.sleep(max(0.0, self.start + seconds - time.monotonic()))

    def samples(self):
        """Waits until all is answered; returns the samples of all processes."""
        for process in self._processes:
            status = process.wait(END_TIMEOUT_S)
            if status != 0:
                raise RuntimeError(f"{process.name}: {status} {process.errors()}")
            process.close()
        parts = [
            msgspec.json.decode(path.read_bytes(), type=list[Sample])
            for path in self._results
        ]
        self._directory.cleanup()
        return list(chain.from_iterable(parts))

    def _launch(self, number, plan):
        directory = Path(self._directory.name)
        plan_path = directory / f"plan-{number}.json"
        plan_path.write_bytes(msgspec.json.encode(plan))
        result_path = directory / f"samples-{number}.json"
        arguments = ["-m", "benchmarks.arrivals", str(plan_path), str(result_path)]
        errors = directory / f"arrivals-{number}.err"
        self._processes.append(Process(f"arrivals-{number}", arguments, errors))
        self._results.append(result_path)


def base_streams(deployment, load, end, seed):
    """Returns a stream of each kind, which together ask for ``load`` of all slots."""
    return [
        Stream(
            kind=kind,
            jobs_per_second=deployment.jobs_per_second(kind, load * kind.share),
            begin=0.0,
            end=end,
            seed=seed + number,
        )
        for number, kind in enumerate(deployment.kinds)
    ]


def flood_stream(deployment, kind, factor, begin, end, seed):
    """Returns a stream of one kind that asks for ``factor`` times all slots."""
    jobs_per_second = deployment.jobs_per_second(kind, factor)
    return Stream(kind, jobs_per_second, begin, end, seed)
