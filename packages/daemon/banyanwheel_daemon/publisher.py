"""Publishing versions of the configuration, and learning what became of them."""

import asyncio
import uuid
from time import monotonic

import msgspec
from eliot import log_message

from banyanwheel_core import configuration as versions
from banyanwheel_core.configuration import VersionRecord
from banyanwheel_core.documents import Document
from banyanwheel_core.errors import FindingsError
from banyanwheel_core.models import Outcome

from .log_service import AppendUncertain, LogError
from .operations import NotPublished, PublishConflict, Published

__all__ = ["Publisher"]

VERDICT_WAIT_S = 10.0
LOST_ANSWER_WAIT_S = 2.0  # before the record is appended once more
APPEND_ATTEMPTS = 3
REBASE_ATTEMPTS = 5
REPUBLISH_CHECK_S = 1.0
REPUBLISH_PAUSE_S = 5.0  # after the log service did not take a version
NEXT_STEP = (
    "look at the configuration in force, and publish again from the same base:"
    " of the two at most one takes effect"
)
UNCERTAIN = f"the log gave no answer, so the version may take effect; {NEXT_STEP}"
UNREAD = f"the version is on the log and could not be read back; {NEXT_STEP}"


class Publisher:
    """Publishes versions for one process that follows the configuration stream.

    Every attempt has a tag of its own. Appending it again is safe: of two copies
    with one base at most one is accepted.
    """

    def __init__(self, log, stream, configuration, *, wait_s=LOST_ANSWER_WAIT_S):
        self._log = log
        self._stream = stream
        self._configuration = configuration
        self._lost_answer_wait_s = wait_s
        self._waiting = set()

    @classmethod
    def from_settings(cls, settings, log, configuration):
        """Builds a publisher from :class:`LogServiceSettings`."""
        return cls(log, settings.configuration_stream, configuration)

    def notify(self):
        """Is called after the configuration has taken in a page."""
        for future in self._waiting:
            if not future.done():
                future.set_result(None)

    async def publish(self, document, base):
        """Publishes a decoded document made from the version at ``base``.

        Returns Published with its offset, PublishConflict with the offset of the
        version that came first, or NotPublished with what to do.
        """
        data = msgspec.json.encode(document)
        try:
            Document.from_json(data)
        except FindingsError as error:
            place = error.findings[0].place
            return NotPublished(Outcome.NOT_RUN, str(error), place or "document")
        if not self._configuration.settled:
            detail = "this entry has not read the configuration yet; try again"
            return NotPublished(Outcome.NOT_RUN, detail)
        return await self._publish(data, base)

    async def keep_in_force(self):
        """Publishes the version in force again before its record expires."""
        while True:
            await asyncio.sleep(REPUBLISH_CHECK_S)
            if self._configuration.republish_due(monotonic()):
                await self._republish()

    async def _republish(self):
        base = self._configuration.offset
        outcome = await self._attempt(self._configuration.data, base)
        log_message("configuration:republished", base=base, outcome=repr(outcome))
        if isinstance(outcome, NotPublished):
            await asyncio.sleep(REPUBLISH_PAUSE_S)

    async def _publish(self, data, base):
        for _ in range(REBASE_ATTEMPTS):
            base = self._configuration.rebased(base)
            if base < self._configuration.offset:
                break
            outcome = await self._attempt(data, base)
            if not isinstance(outcome, PublishConflict):
                return outcome
        return PublishConflict(self._configuration.offset)

    async def _attempt(self, data, base):
        """Appends a record until it is certain to be on the log or not."""
        tag = uuid.uuid4().hex
        record = msgspec.json.encode(VersionRecord(base, tag, msgspec.Raw(data)))
        maybe_appended = False
        for _ in range(APPEND_ATTEMPTS):
            try:
                await self._log.append(self._stream, record)
            except AppendUncertain:
                maybe_appended = True
                outcome = await self._outcome(tag, self._lost_answer_wait_s)
            except LogError as error:
                if not maybe_appended:
                    return NotPublished(Outcome.NOT_RUN, str(error))
                outcome = await self._outcome(tag, self._lost_answer_wait_s)
            else:
                outcome = await self._outcome(tag, VERDICT_WAIT_S)
                return outcome or NotPublished(Outcome.UNKNOWN, UNREAD)
            if outcome is not None:
                return outcome
        return NotPublished(Outcome.UNKNOWN, UNCERTAIN)

    async def _outcome(self, tag, wait_s):
        """Waits until the record with a tag was read; returns None if it was not."""
        try:
            async with asyncio.timeout(wait_s):
                while self._configuration.verdict(tag) is None:
                    await self._next_page()
        except TimeoutError:
            return None
        return _outcome_of(self._configuration.verdict(tag))

    async def _next_page(self):
        future = asyncio.get_running_loop().create_future()
        self._waiting.add(future)
        try:
            await future
        finally:
            self._waiting.discard(future)


def _outcome_of(verdict):
    match verdict:
        case versions.Accepted(offset=offset):
            return Published(offset)
        case versions.Conflict(in_force=in_force):
            return PublishConflict(in_force)
        case versions.Invalid(findings=findings):
            return NotPublished(Outcome.NOT_RUN, str(FindingsError(findings)))
