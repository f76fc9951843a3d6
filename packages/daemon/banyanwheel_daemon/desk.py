"""What an entry does for its operators: asks agents, and publishes versions."""

import asyncio
import itertools
import time

import msgspec

from banyanwheel_core.effects import Peer, Send
from banyanwheel_core.errors import InvalidIdError
from banyanwheel_core.ids import JobId
from banyanwheel_core.language import Table
from banyanwheel_core.messages import InspectRequest

from .operations import Inspection
from .web import fingerprint_of

__all__ = ["OperatorDesk"]

INSPECTION_SECONDS = 1.0  # an agent that takes longer is reported as silent


class OperatorDesk:
    """Implements the Desk of :mod:`.operations` on an entry."""

    def __init__(self, node):
        self._node = node
        self._numbers = itertools.count(1)
        self._questions = {}

    async def inspect(self, table):
        """Asks every agent for its rows of a table."""
        if table is Table.MEMBERS:
            return Inspection(tuple(self._member_rows()))
        members = self._node.members.members
        own = self._node.refusal_rows() if table is Table.REFUSALS else []
        replies = await self._ask(members, str(table))
        rows = [row for reply in replies.values() for row in reply]
        silent = [member.name for member in members if member.name not in replies]
        return Inspection((*own, *rows), tuple(silent))

    async def why(self, job_id):
        """Asks a job's coordinator why the job waits, was refused, or runs there."""
        try:
            owner = JobId.parse(job_id).coordinator
        except InvalidIdError as error:
            return [{"job": job_id, "state": "unknown", "why": str(error)}]
        member = self._node.members.find(owner.name)
        if member is None:
            return [{"job": job_id, "state": "unknown", "why": "no such coordinator"}]
        replies = await self._ask([member], f"why {job_id}")
        silent = {"job": job_id, "state": "unknown", "why": "no answer from its owner"}
        return replies.get(owner.name, [silent])

    async def submit(self, spec):
        """Submits a job under a fresh id and waits for its answer."""
        return await self._node.submit(None, spec, fingerprint_of(spec))

    async def cancel(self, job_id):
        """Cancels a job and waits for its answer."""
        return await self._node.cancel(job_id)

    def configuration(self):
        """Returns the offset and the decoded document of the version in force."""
        configuration = self._node.configuration
        return configuration.offset, msgspec.json.decode(configuration.data)

    async def publish(self, document, base):
        """Publishes a document made from the version at the offset ``base``."""
        return await self._node.publish(document, base)

    def replied(self, sender, message):
        """Takes the rows with which an agent replied."""
        question = self._questions.get(message.number)
        if question is None:
            return
        question.replies[sender.name] = msgspec.json.decode(message.rows)
        if question.is_complete and not question.done.done():
            question.done.set_result(None)

    async def _ask(self, members, what):
        if not members:
            return {}
        number = next(self._numbers)
        question = self._questions[number] = _Question(len(members))
        self._node.perform(
            [
                Send(
                    Peer(member.name, member.incarnation), InspectRequest(number, what)
                )
                for member in members
            ]
        )
        try:
            await asyncio.wait_for(question.done, INSPECTION_SECONDS)
        except TimeoutError:
            pass
        finally:
            del self._questions[number]
        return question.replies

    def _member_rows(self):
        for known in self._node.members.reply(time.monotonic()).members:
            row = msgspec.structs.asdict(known.record)
            row["member"] = row.pop("name")
            yield {**row, "age_ms": known.age_ms}


class _Question:
    """A question to several agents."""

    def __init__(self, expected):
        self._expected = expected
        self.replies = {}
        self.done = asyncio.get_running_loop().create_future()

    @property
    def is_complete(self):
        """Whether every agent has replied."""
        return len(self.replies) >= self._expected
