"""What the tries of one request have shown of its outcome."""

from banyanwheel_core.models import Reason

from .errors import RefusedError, UnknownOutcomeError, UnreachableError

__all__ = ["REASONS_NOT_RUN", "ROUNDS", "JobTries", "NoAnswerError"]

ROUNDS = 2  # over all entries, while none of them may have read the request

# Reasons with which an entry turns a request away without asking any coordinator.
REASONS_NOT_RUN = frozenset({Reason.STOPPING, Reason.NO_COORDINATOR})
REASONS_UNKNOWN = REASONS_NOT_RUN | {Reason.QUEUE_FULL, Reason.TABLE_FULL}


class NoAnswerError(Exception):
    """One try got no answer; ``sent`` tells whether the entry may have read it."""

    def __init__(self, entry, cause, sent):
        self.sent = sent
        super().__init__(f"{entry}: {cause}")


class JobTries:
    """Weighs the tries of one job under one id, in rounds over all entries.

    "Not run" by an entry that did not ask the coordinator holds only while no other
    try may have reached the coordinator.
    """

    def __init__(self, job_id):
        self._job_id = job_id
        self._rounds = 0
        self._sent = False
        self._last = None
        self._refusal = None
        self._unknown = None

    def begin_round(self):
        """Forgets the refusals of the round before."""
        self._rounds += 1
        self._refusal = None
        self._unknown = None

    def unanswered(self, error):
        """Takes in a try without an answer."""
        self._sent = self._sent or error.sent
        self._last = error

    def told(self, error):
        """Takes in a refusal or an unknown outcome; raises it where it is final."""
        self._last = error
        reason = error.problem.reason
        if not isinstance(error, RefusedError):
            self._sent = True
            if reason not in REASONS_UNKNOWN:
                self._unknown = error
        elif reason in REASONS_NOT_RUN:
            self._refusal = error
        else:
            raise error

    def end_round(self, expired):
        """Raises the error that tells the outcome, unless another round may help."""
        if self._unknown is not None:
            raise self._unknown
        if self._sent:
            if expired:
                raise UnknownOutcomeError(
                    f"{self._job_id}: outcome unknown: {self._last}"
                )
        elif self._refusal is not None:
            raise self._refusal
        elif self._rounds >= ROUNDS:
            raise UnreachableError(f"{self._job_id}: not run: {self._last}")
