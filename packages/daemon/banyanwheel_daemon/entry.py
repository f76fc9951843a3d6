"""The entry: HTTP for callers and operators, messages to the agents."""

import asyncio
import itertools
import time
from functools import partial

from banyanwheel_core.effects import Peer
from banyanwheel_core.entry import Entry, NoIdsError
from banyanwheel_core.messages import InspectReply, KnownMember, MembersReply
from banyanwheel_core.models import JobState, Reason

from .commands import CommandsHandler
from .desk import OperatorDesk
from .lifecycle import Lifecycle
from .logs import Branch, continue_job
from .metrics import REFUSALS
from .node import Node, serve
from .operations import Operations
from .problems import ProblemError
from .publisher import Publisher
from .web import WebServer, make_application

__all__ = ["EntryNode", "run"]

READINESS_SECONDS = 1.0  # readiness is down this long before connections are refused
GRACE_SECONDS = 30.0
POLL_SECONDS = 0.02
IDS_PERIOD_SECONDS = 0.2  # between looks at the ids at hand


class EntryNode(Node):
    """Answers callers; implements the JobDesk of :mod:`.web`."""

    role = "entry"

    def __init__(self, settings):
        super().__init__(settings, settings.entry.address)
        self._entry = Entry(
            self._identity,
            self._members,
            self._random,
            data_centre=settings.process.data_centre,
        )
        self._futures = {}
        self._ids_checked_at = 0.0
        self._tokens = itertools.count()
        self._lifecycle = Lifecycle()
        self._publisher = Publisher.from_settings(
            settings.log_service, self._log, self._configuration
        )
        self._desk = OperatorDesk(self)
        options = {"operations": Operations(self._desk)}
        application = make_application(
            self,
            self._metrics.render,
            count_refusal=partial(self._metrics.count, REFUSALS),
            max_body_bytes=settings.limits.max_body_bytes,
            routes=[(r"/v1/commands", CommandsHandler, options)],
        )
        self._web = WebServer(application)
        self._web.listen(settings.entry.http.host, settings.entry.http.port)

    @property
    def decisions(self):
        """The entry's decision object."""
        return (self._entry,)

    @property
    def ready(self):
        """Whether new work is welcome: serving, with ids at hand."""
        return self._lifecycle.serving and self._entry.ready

    @property
    def http_address(self):
        """The address that callers use, as ``ip:port``."""
        return self._web.addresses[0]

    async def main(self, env):
        """Runs until a signal asks to stop, then finishes what is in progress."""
        self.start()
        self.spawn(self._publisher.keep_in_force())
        self._lifecycle.ready(env, self._identity.name, self._web, self.address)
        await self._lifecycle.stop_asked()
        self._lifecycle.stopping()
        await asyncio.sleep(READINESS_SECONDS)
        self._web.stop_listening()
        deadline = time.monotonic() + GRACE_SECONDS
        while self._web.in_progress and time.monotonic() < deadline:
            await asyncio.sleep(POLL_SECONDS)
        await self._web.close()
        self._lifecycle.stopped()
        self.close()

    def on_load(self, name, load):
        """Takes in the load that an agent sent along."""
        self._entry.loaded(name, load, time.monotonic())

    def on_tick(self, now):
        """Fetches ids before they run out."""
        if now >= self._ids_checked_at + IDS_PERIOD_SECONDS:
            self._ids_checked_at = now
            self.perform(self._entry.fetch_ids(now))

    def on_members_changed(self):
        """Turns to the successors of coordinators that have left."""
        self.perform(self._entry.members_changed(time.monotonic()))

    def on_versions_read(self):
        """Tells the publisher what became of its versions."""
        self._publisher.notify()

    async def publish(self, document, base):
        """Publishes a configuration made from the version at the offset ``base``."""
        return await self._publisher.publish(document, base)

    def on_configured(self, policy):
        """Puts the bounds on submissions in force."""
        self._entry.configure(policy)

    def on_lost(self, name, now):
        """Waits a little longer for a coordinator that does not answer."""
        super().on_lost(name, now)
        self._entry.peer_lost(name, now)

    def on_recovered(self, name):
        """Waits again for a coordinator that had been lost."""
        self._entry.peer_heard(name)

    def on_answered(self, effect):
        """Gives a waiting caller its answer."""
        future = self._futures.pop(effect.token, None)
        if future is not None and not future.done():
            future.set_result(effect.answer)

    def _decide(self, sender, message, now):
        if isinstance(message, InspectReply):
            self._desk.replied(sender, message)
            return []
        if isinstance(message, MembersReply):
            self._pass_on(sender, message)
        return super()._decide(sender, message, now)

    def _pass_on(self, sender, reply):
        """Tells the agents of one whose new record the log did not take."""
        match reply.members:
            case (KnownMember(record=record),) if record.name == sender.name:
                known = self._members.find(sender.name) == record
            case _:
                return
        for member in () if known else self._members.members:
            if member.name != sender.name:
                peer = Peer(member.name, member.incarnation)
                self.send_to(peer, member.address, reply)

    # The JobDesk.

    async def issue_ids(self, count):
        """Returns fresh job ids."""
        try:
            return self._entry.take_ids(count, time.monotonic())
        except NoIdsError as error:
            raise ProblemError(
                Reason.NO_COORDINATOR, str(error), retry_after_ms=1_000
            ) from error

    async def submit(self, job_id, spec, fingerprint):
        """Returns the job's answer."""
        started = time.monotonic()
        answer = await self._ask(self._entry.submit, job_id, spec, fingerprint)
        if answer.id:
            elapsed_ms = round((time.monotonic() - started) * 1_000)
            self._log_answer(answer, elapsed_ms)
        return answer

    async def query(self, job_id):
        """Returns the job's answer, or None while it is still running."""
        answer = await self._ask(self._entry.query, job_id)
        return None if answer.state == JobState.RUNNING else answer

    async def cancel(self, job_id):
        """Cancels the job and returns the answer that tells what came of it."""
        return await self._ask(self._entry.cancel, job_id)

    def _log_answer(self, answer, elapsed_ms):
        name = self._identity.name
        with continue_job(
            answer.id, Branch.ENTRY, name, elapsed_ms=elapsed_ms
        ) as action:
            action.add_success_fields(
                state=answer.state, outcome=answer.outcome, reason=answer.reason
            )

    async def _ask(self, question, *arguments):
        token = next(self._tokens)
        future = asyncio.get_running_loop().create_future()
        self._futures[token] = future
        self.perform(question(token, *arguments, time.monotonic()))
        try:
            return await future
        finally:
            self._futures.pop(token, None)


def run(settings, env):
    """Runs an entry until it is told to stop."""
    serve(EntryNode, settings, env)
