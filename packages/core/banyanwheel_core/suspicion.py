"""Which peers one sender avoids because they left it without an answer."""

from dataclasses import dataclass

__all__ = ["Suspicions"]

FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 30.0
PAUSE_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class _Suspicion:
    pause_s: float
    retry_at: float


class Suspicions:
    """Peers that did not answer this sender, with growing pauses between tries."""

    def __init__(self, random):
        self._random = random
        self._suspicions = {}

    def suspect(self, name, now):
        """Notes that a peer left a message unanswered.

        Further silence during a pause tells nothing new and does not lengthen it.
        """
        known = self._suspicions.get(name)
        if known is None:
            pause_s = FIRST_PAUSE_S
        elif now >= known.retry_at:
            pause_s = min(MAX_PAUSE_S, known.pause_s * PAUSE_FACTOR)
        else:
            return
        spread_s = self._random.uniform(0.75, 1.25) * pause_s
        self._suspicions[name] = _Suspicion(pause_s, now + spread_s)

    def clear(self, name):
        """Notes that a peer answered, or that it is gone."""
        self._suspicions.pop(name, None)

    def usable(self, name, now):
        """Tells whether a peer may be tried."""
        known = self._suspicions.get(name)
        return known is None or now >= known.retry_at

    def is_suspect(self, name):
        """Tells whether a peer still owes an answer, pause or no pause."""
        return name in self._suspicions
