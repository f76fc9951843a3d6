"""How long a runner may act for an owner, measured so that both sides agree.

A runner stamps its reports with its own clock. The owner returns the newest stamp that
it had received before it sent the group renewal that the log confirmed last. At the
time of that stamp the log still regarded it as the owner, so the runner may act for it
until ``AUTHORITY_S`` after the stamp, by its own clock. Neither a pause of one side nor
a delayed message can extend that time.
"""

from collections import deque
from dataclasses import dataclass, field

from .model import TRANSIENT_PARTITION

__all__ = [
    "AUTHORITY_S",
    "TRANSIENT_AUTHORITY_S",
    "Authority",
    "CLOCK_DRIFT_FACTOR",
    "TIMER_MARGIN_S",
    "StampTracker",
    "replacement_delay_s",
]

# Longer than a takeover takes (membership timeout and reading), so that a run can
# continue when its owner fails; shorter than the delay after which a job is useless.
AUTHORITY_S = 4.5
# Callers submit a transient job again 1.3 s after a broken connection; by then all its
# earlier runs must have ended.
TRANSIENT_AUTHORITY_S = 1.1
CLOCK_DRIFT_FACTOR = 1.02  # a worker's clock may be slow by this factor
TIMER_MARGIN_S = 0.1  # timers may fire this late
RECENT_STAMPS = 32  # more than arrive while the authority lasts


def replacement_delay_s(transient):
    """Returns the seconds without a report after which a run has certainly ended.

    The worker's lease never outlasts the authority for the runs on it.
    """
    authority_s = TRANSIENT_AUTHORITY_S if transient else AUTHORITY_S
    return authority_s * CLOCK_DRIFT_FACTOR + TIMER_MARGIN_S


@dataclass(slots=True)
class _Claim:
    epoch: int = -1
    owner: object = None
    until: float = 0.0


@dataclass(slots=True)
class Authority:
    """The runner's side: for which partitions and owners it may act.

    Transient jobs have no partition: for them the runner may act for each dispatcher
    until ``TRANSIENT_AUTHORITY_S`` after the newest stamp that it returned.
    """

    _claims: dict = field(default_factory=dict)  # by partition
    _transient_until: dict = field(default_factory=dict)  # by owner

    def accept_claims(self, owner, claims, trusted_at, seen_at):
        """Extends authority by an owner's claims and returned stamps, in seconds.

        A stamp is None where the owner has none to return. Claims of an earlier epoch
        than the highest seen are ignored.
        """
        if seen_at is not None:
            until = seen_at + TRANSIENT_AUTHORITY_S
            self._transient_until[owner] = max(
                self._transient_until.get(owner, 0.0), until
            )
        for partition, epoch in claims:
            claim = self._claims.setdefault(partition, _Claim())
            if epoch < claim.epoch:
                continue
            claim.epoch = epoch
            claim.owner = owner
            if trusted_at is not None:
                claim.until = max(claim.until, trusted_at + AUTHORITY_S)

    def epoch(self, partition):
        """Returns the highest epoch seen, -1 for none."""
        claim = self._claims.get(partition)
        return claim.epoch if claim else -1

    def owner(self, partition):
        """Returns the owner of the highest epoch seen, or None."""
        claim = self._claims.get(partition)
        return claim.owner if claim else None

    def until(self, partition, owner=None):
        """Returns the time until which the runs of a partition may continue.

        For transient jobs it depends on ``owner``.
        """
        if partition == TRANSIENT_PARTITION:
            return self._transient_until.get(owner, 0.0)
        claim = self._claims.get(partition)
        return claim.until if claim else 0.0

    def forget(self, owner):
        """Drops the authority for a dispatcher's transient jobs."""
        self._transient_until.pop(owner, None)

    def claims_of(self, owner):
        """Returns the (partition, epoch) pairs that ``owner`` has claimed."""
        return tuple(
            (partition, claim.epoch)
            for partition, claim in self._claims.items()
            if claim.owner == owner
        )


@dataclass(slots=True)
class StampTracker:
    """The owner's side for one runner: which stamps it has received and may return.

    Stamps are in ms of the runner's clock. Times are in seconds of the owner's clock,
    which counts suspended time.
    """

    _received: tuple = (0, 0.0)  # newest stamp, time of its receipt
    _before_renewal: tuple = (0, 0.0)
    _trusted: tuple = (0, 0.0)
    _recent: deque = field(default_factory=lambda: deque(maxlen=RECENT_STAMPS))

    @property
    def stamp(self):
        """The newest stamp received before the last confirmed renewal, 0 for none."""
        return self._trusted[0]

    @property
    def newest(self):
        """The newest stamp received, 0 for none."""
        return self._received[0]

    def stamp_at(self, when):
        """Returns the runner's clock in ms at the owner's time ``when``.

        The delay of the report makes the result early, never late.
        """
        stamp, received_at = self._received
        return round(stamp + (when - received_at) * 1000)

    def receive(self, stamp, now):
        """Records a stamp of the runner, unless a newer one was received."""
        if stamp > self._received[0]:
            self._received = (stamp, now)
            self._recent.append(self._received)

    def newest_before(self, when):
        """Returns the newest stamp received before ``when``, 0 for none."""
        for stamp, received_at in reversed(self._recent):
            if received_at <= when:
                return stamp
        return 0

    def forget(self):
        """Drops all stamps, since the runner's process has been replaced."""
        self._received = self._before_renewal = self._trusted = (0, 0.0)
        self._recent.clear()

    def renewal_sent(self):
        """Records that a renewal of the group membership is about to be sent."""
        self._before_renewal = self._received

    def renewal_confirmed(self):
        """Records that the log has confirmed the renewal sent last."""
        self._trusted = self._before_renewal
