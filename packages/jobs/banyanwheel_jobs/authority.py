"""How long a runner may act for an owner, in times that both ends agree on.

A runner stamps its reports with its own clock. The owner returns the newest stamp that
it had received before it sent the group renewal that the log confirmed last. At that
stamp the log still held the owner for the owner, so the runner may act for it until
``AUTHORITY_S`` after the stamp, by its own clock. Neither a pause of one end nor a
message that was held up can make that longer.
"""

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

# Longer than a takeover takes (membership timeout and reading), so that a run
# outlives its owner; shorter than the time within which a late job is worth anything.
AUTHORITY_S = 4.5
# Callers hand a transient job in again 1.3 s after a broken connection; by then no run
# of it may be left.
TRANSIENT_AUTHORITY_S = 1.1
CLOCK_DRIFT_FACTOR = 1.02  # a worker's clock may be this much slow
TIMER_MARGIN_S = 0.1  # delay of timers


def replacement_delay_s(transient):
    """Returns after how many seconds of silence a run is certainly over.

    The worker's lease never outlasts the authority behind what runs there.
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
    """A runner's side: for which partitions it may act, and for whom.

    Transient jobs have no partition: the runner acts for each dispatcher as long as it
    is heard.
    """

    _claims: dict = field(default_factory=dict)  # by partition
    _transient_until: dict = field(
        default_factory=dict
    )  # authority for transient jobs by owner

    def accept_claims(self, owner, claims, trusted_at, seen_at):
        """Takes an owner's claims and the stamps that it returned, None for none."""
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
        """Returns the time until which runs may go on; transient ones for ``owner``."""
        if partition == TRANSIENT_PARTITION:
            return self._transient_until.get(owner, 0.0)
        claim = self._claims.get(partition)
        return claim.until if claim else 0.0

    def forget(self, owner):
        """Drops what a dispatcher's transient jobs have left."""
        self._transient_until.pop(owner, None)

    def claims_of(self, owner):
        """Returns (partition, epoch) of all that ``owner`` has claimed."""
        return tuple(
            (partition, claim.epoch)
            for partition, claim in self._claims.items()
            if claim.owner == owner
        )


@dataclass(slots=True)
class StampTracker:
    """An owner's side for one runner: which stamp may be returned, and since when.

    Times are the owner's own, on a clock that counts suspended time.
    """

    _received: tuple = (0, 0.0)  # newest stamp, time of its receipt
    _before_renewal: tuple = (0, 0.0)
    _trusted: tuple = (0, 0.0)

    @property
    def stamp(self):
        """The stamp to return, 0 for none."""
        return self._trusted[0]

    @property
    def newest(self):
        """The newest stamp received."""
        return self._received[0]

    def stamp_at(self, when):
        """Returns the runner's clock in ms at a time of the owner's, at the latest."""
        stamp, received_at = self._received
        return round(stamp + (when - received_at) * 1000)

    def receive(self, stamp, now):
        """Notes a stamp of the runner."""
        if stamp > self._received[0]:
            self._received = (stamp, now)

    def forget(self):
        """Drops the stamps of a process that has been replaced."""
        self._received = self._before_renewal = self._trusted = (0, 0.0)

    def renewal_sent(self):
        """Notes that a renewal is about to be sent."""
        self._before_renewal = self._received

    def renewal_confirmed(self):
        """Notes that the renewal sent last was confirmed."""
        self._trusted = self._before_renewal
