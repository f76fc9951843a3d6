"""The choice between cells that are short of room.

All dispatchers compare the cells by the same claims, and each moves only its cell's
share of what is out of balance. So claims that are up to a second old don't send the
jobs of all cells to the same one.
"""

import math
import zlib
from dataclasses import dataclass

from ..messages import UNKNOWN_BACKLOG

__all__ = ["CellLoad", "DemandMeter", "choose_cell", "spread_job", "work_cpu_ms"]

# The time in which waits are evened out. It is twice the age that claims may have: what
# was moved shows in claims before as much is moved again.
BALANCING_S = 2.0
DEMAND_AVERAGE_S = 1.0
TREND_AVERAGE_S = 4.0  # a change of demand has to outlast single large jobs


def work_cpu_ms(submission):
    """Returns the estimated work of a job, in thousandths of a core x ms."""
    return sum(
        step.count * step.resources.cpu * step.estimate_ms for step in submission.steps
    )


@dataclass(slots=True)
class _Average:
    """An exponential moving average of work per time; ``seconds`` is its memory."""

    seconds: float
    value: float = 0.0
    at: float = float("-inf")

    def at_time(self, now):
        return self.value * math.exp((self.at - now) / self.seconds)

    def add(self, work, now):
        self.value = self.at_time(now) + work / (1000 * self.seconds)
        self.at = now


class DemandMeter:
    """The work that callers submit, by service."""

    def __init__(self):
        self._averages = {}  # (short, long) by service

    def record(self, submission, now):
        """Counts a job that a caller has submitted."""
        service = submission.queue.service
        if service not in self._averages:
            averages = _Average(DEMAND_AVERAGE_S), _Average(TREND_AVERAGE_S)
            self._averages[service] = averages
        for average in self._averages[service]:
            average.add(work_cpu_ms(submission), now)

    def rate(self, service, now):
        """Returns the demand in thousandths of a core, and its change per second.

        While demand rises evenly, an average lags behind by its memory.
        """
        if service not in self._averages:
            return 0, 0
        short, long = (each.at_time(now) for each in self._averages[service])
        trend = (short - long) / (TREND_AVERAGE_S - DEMAND_AVERAGE_S)
        return round(short), round(trend)


@dataclass(slots=True)
class CellLoad:
    """What is known of a cell, for one service.

    ``placers`` are the dispatchers that place tasks there. Their free room is the same
    and comes from the newest claims; what waits at them and what their callers submit
    is added up. ``sent_cpu_ms`` has been sent there since their last claims.
    """

    placers: list
    offer: object
    heard_at: float
    waiting_cpu_ms: int = 0
    demand_cpu: float = 0.0
    sent_cpu_ms: int = 0
    known: bool = True  # whether all placers tell what waits there

    @classmethod
    def from_offer(cls, placer, offer, heard_at, now, sent_cpu_ms=0):
        """Returns the load of a cell of which one placer is known."""
        load = cls([], offer, heard_at)
        load.add(placer, offer, heard_at, now, sent_cpu_ms)
        return load

    def add(self, placer, offer, heard_at, now, sent_cpu_ms=0):
        """Adds another placer of the cell; None stands for this dispatcher."""
        if placer is not None:
            self.placers.append(placer)
        if heard_at > self.heard_at:
            self.offer, self.heard_at = offer, heard_at
        # Demand follows its trend from the middle of the average's time to now.
        lead_s = DEMAND_AVERAGE_S + max(0.0, now - heard_at)
        self.demand_cpu += max(0, offer.demand_cpu + lead_s * offer.demand_trend_cpu)
        self.waiting_cpu_ms += max(0, offer.waiting_cpu_ms)
        self.sent_cpu_ms += sent_cpu_ms
        self.known = self.known and offer.waiting_cpu_ms != UNKNOWN_BACKLOG

    @property
    def capacity_cpu(self):
        """The CPU of the cell's workers, in thousandths of a core."""
        return max(1, self.offer.capacity_cpu)

    def wait_s(self, run_ms):
        """Returns the time until work as long as a job's gets room; below 0 if at once.

        Free room takes that much work off the queue.
        """
        work = self.waiting_cpu_ms + self.sent_cpu_ms - self.offer.free_cpu * run_ms
        return work / self.capacity_cpu / 1000

    def expected_wait_s(self, run_ms):
        """Returns the wait after ``BALANCING_S`` if nothing is moved between cells."""
        growth = self.demand_cpu / self.capacity_cpu - 1
        return self.wait_s(run_ms) + BALANCING_S * growth


def choose_cell(submission, own, others, extra_s):
    """Returns the CellLoad to which a job of a crowded cell goes, None for its own.

    ``extra_s(cell)`` is by how much the job runs longer in a cell that lacks its data.
    A cell takes part in evening out the waits with what it has above or below their
    mean. The job's id decides whether it is among the part that goes, and where.
    """
    run_ms = submission.critical_path_ms
    cells = (own, *others)
    waits = {id(cell): cell.expected_wait_s(run_ms) for cell in cells}
    end_s = waits[id(own)] + extra_s(own) - _margin_s(submission)
    sooner = [cell for cell in others if waits[id(cell)] + extra_s(cell) < end_s]
    position = _position(submission.job_id)
    if extra_s(own):
        with_data = [(cell, 1.0) for cell in sooner if not extra_s(cell)]
        if with_data:
            return _pick(with_data, position)
    capacity = sum(cell.capacity_cpu for cell in cells)
    mean_s = sum(waits[id(cell)] * cell.capacity_cpu for cell in cells) / capacity
    surplus_cpu = (waits[id(own)] - mean_s) * own.capacity_cpu / BALANCING_S
    moved_share = min(1.0, surplus_cpu / max(1.0, own.demand_cpu))
    if position >= moved_share:
        return None
    room = [(cell, (mean_s - waits[id(cell)]) * cell.capacity_cpu) for cell in sooner]
    return _pick([pair for pair in room if pair[1] > 0], position / moved_share)


def spread_job(submission, cells, demand_cpu, extra_s):
    """Returns the CellLoad for a job that its own cell can't run, None without cells.

    ``demand_cpu`` is the demand of such jobs. Each cell gets what raises it to the
    wait that all have once that demand has been added for ``BALANCING_S``.
    """
    if not cells:
        return None
    run_ms = submission.critical_path_ms
    waits = [(cell, cell.expected_wait_s(run_ms) + extra_s(cell)) for cell in cells]
    capacity = sum(cell.capacity_cpu for cell in cells)
    work = sum(wait_s * cell.capacity_cpu for cell, wait_s in waits)
    level_s = (work + BALANCING_S * max(1.0, demand_cpu)) / capacity
    shares = [(cell, (level_s - wait_s) * cell.capacity_cpu) for cell, wait_s in waits]
    below = [pair for pair in shares if pair[1] > 0]
    return _pick(below, _position(submission.job_id))


def _margin_s(submission):
    """Returns by how much sooner a job has to end elsewhere.

    It is what the queue's objective allows for everything but the run: with less, the
    way there and the age of the claims could cost the job more than it gains.
    """
    return submission.queue.target_ms / 1000


def _position(job_id):
    """Returns a number below 1 that is the same whenever a job is submitted."""
    return zlib.crc32(job_id.encode()) / 2**32


def _pick(shares, position):
    """Returns the cell at a position among cells with shares, None without any."""
    left = position * sum(share for _, share in shares)
    for cell, share in shares:
        left -= share
        if left < 0:
            return cell
    return shares[-1][0] if shares else None
