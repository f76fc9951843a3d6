"""A histogram of ratios in which older samples count less."""

import math
from itertools import accumulate
from statistics import NormalDist

__all__ = ["PRIOR_SPREAD", "RatioHistogram"]

HALF_LIFE_S = 5.0  # of a sample; demand and tasks change within about 15 s
PRIOR_SPREAD = 0.4  # of the logarithm of run time over estimate, as submitters err
PRIOR_RUNS = 4.0  # samples that the prior counts for
LOG_STEP = 0.1  # width of a bucket; estimates are off by far more
LEAST_LOG = -3.0  # a ratio of 0.05
BUCKETS = 70  # up to a ratio of 55: 7 times as long at a worker 7 times as slow
RESCALE_S = 20 * HALF_LIFE_S  # increments grow by 2**20 at most until then


def _prior():
    edges = [LEAST_LOG + LOG_STEP * number for number in range(1, BUCKETS)]
    below = [*map(NormalDist(0.0, PRIOR_SPREAD).cdf, edges), 1.0]
    shares = (high - low for low, high in zip([0.0, *below], below, strict=False))
    return tuple(PRIOR_RUNS * share for share in shares)


_PRIOR = _prior()


class RatioHistogram:
    """Counts ratios in buckets of equal width of their logarithm.

    The samples of a histogram without any are those of the prior.
    """

    __slots__ = ("_counts", "_origin")

    def __init__(self):
        self._counts = [0.0] * BUCKETS
        self._origin = None  # the time at which an increment is 1

    def add(self, ratio, now):
        """Counts a ratio."""
        if self._origin is None:
            self._origin = now
        elif now - self._origin > RESCALE_S:
            factor = self._factor(now)
            self._counts = [count * factor for count in self._counts]
            self._origin = now
        self._counts[_bucket(ratio)] += 1 / self._factor(now)

    def samples(self, now):
        """Returns how many fresh samples the counted ones are worth."""
        return sum(self._counts) * self._factor(now)

    def quantile(self, share, now, above=0.0):
        """Returns the ratio that ``share`` of the ratios over ``above`` don't exceed.

        It is ``above`` itself where no sample is larger.
        """
        factor = self._factor(now)
        pairs = zip(self._counts, _PRIOR, strict=True)
        sums = list(accumulate(count * factor + prior for count, prior in pairs))
        least = _sum_below(sums, above)
        return max(above, _ratio_at(sums, least + share * (sums[-1] - least)))

    def _factor(self, now):
        """Returns by how much an increment of the origin has decayed."""
        if self._origin is None:
            return 1.0
        return 0.5 ** ((now - self._origin) / HALF_LIFE_S)


def _position(ratio):
    """Returns the place of a ratio on the scale of buckets."""
    if ratio <= 0:
        return 0.0
    return min(BUCKETS - 1e-6, max(0.0, (math.log(ratio) - LEAST_LOG) / LOG_STEP))


def _bucket(ratio):
    return int(_position(ratio))


def _sum_below(sums, ratio):
    number, part = divmod(_position(ratio), 1)
    before = sums[int(number) - 1] if number else 0.0
    return before + part * (sums[int(number)] - before)


def _ratio_at(sums, total):
    before = 0.0
    for number, through in enumerate(sums):
        if through >= total and through > before:
            part = (total - before) / (through - before)
            return math.exp(LEAST_LOG + LOG_STEP * (number + part))
        before = through
    return math.exp(LEAST_LOG + LOG_STEP * BUCKETS)
