"""What entries and agents share: messages, membership and configuration.

The decision objects are driven from here: each message and each tick gives effects,
which are carried out in order on the one loop.
"""

import asyncio
import dataclasses
import secrets
import time
from collections import deque
from functools import partial
from random import Random

from eliot import log_message
from tornado.ioloop import PeriodicCallback

from banyanwheel_core import links
from banyanwheel_core.configuration import Configuration
from banyanwheel_core.effects import Answered, Count, Peer, Send
from banyanwheel_core.errors import FindingsError
from banyanwheel_core.links import Links
from banyanwheel_core.membership import Membership
from banyanwheel_core.messages import (
    ConfigurationReply,
    ConfigurationRequest,
    Grant,
    HandoverTaken,
    IdBlock,
    InspectReply,
    JobAccepted,
    JobAnswer,
    MembersReply,
    MembersRequest,
    Misaddressed,
    Ping,
    Pong,
    ReservationQueued,
    ReservationRefused,
    StartRefused,
    TaskResults,
)
from banyanwheel_core.policy import Policy

from .log_service import LogService
from .logs import JsonLines
from .metrics import Metrics
from .streams import Streams
from .transport import Transport

__all__ = ["Node", "serve"]

TICK_MS = 50
CLOSE_LINGER_MS = 500  # for the last messages to leave
IDLE_CONNECTION_SECONDS = 120.0
NEWCOMER_PAUSE_SECONDS = 2.0  # between questions to the entries in a log outage

# Messages that go back the way their question came.
_REPLIES = (
    ConfigurationReply,
    ConfigurationRequest,
    Grant,
    HandoverTaken,
    IdBlock,
    InspectReply,
    JobAccepted,
    JobAnswer,
    MembersReply,
    Pong,
    ReservationQueued,
    ReservationRefused,
    StartRefused,
    TaskResults,
)


class Node:
    """One process of the system; roles add their decision objects to it."""

    role = "node"

    def __init__(self, settings, address, rack=""):
        self._settings = settings
        self._random = Random()
        incarnation = secrets.token_hex(8)
        self._identity = Peer(settings.process.name, incarnation)
        self._metrics = Metrics(settings.process.name, self.role)
        self._members = Membership(
            settings.process.name,
            settings.process.data_centre,
            rack,
            random=self._random,
        )
        self._links = Links()
        self._log = LogService.from_settings(settings.log_service)
        log_settings = settings.log_service
        self._configuration = Configuration(
            retention_s=log_settings.retention_ms / 1_000, random=self._random
        )
        self._streams = Streams(
            self._log, log_settings, self._members, self._configuration, self._random
        )
        self._effects = deque()
        self._performing = False
        self._known_incarnations = {}
        self._pings = 0
        self._timer = None
        self._timer_at = 0.0
        self._tasks = set()
        self._transport = Transport(
            settings.process.name, incarnation, address, self._received
        )
        self._ticker = PeriodicCallback(self._tick, TICK_MS)
        self._register_gauges()

    @property
    def identity(self):
        """This run of this process."""
        return self._identity

    @property
    def members(self):
        """The membership as this process knows it."""
        return self._members

    @property
    def configuration(self):
        """The configuration as this process knows it."""
        return self._configuration

    @property
    def address(self):
        """The address that peers are told."""
        return self._transport.address

    # What a role provides.

    @property
    def decisions(self):
        """The role's decision objects with ``handle``, ``tick`` and ``awaited``."""
        raise NotImplementedError

    @property
    def load(self):
        """The load sent along with messages, or None."""
        return None

    def on_load(self, name, load):
        """Takes in the load that a peer sent along."""

    def on_members_changed(self):
        """Is called after the membership has changed."""

    # Running.

    def start(self):
        """Begins to follow the streams and to tick."""
        self.spawn(self._streams.follow(self._check_members, self._versions_read))
        self.spawn(self._ask_entries())
        self._ticker.start()

    def spawn(self, coroutine):
        """Runs a coroutine beside the rest; a fault in it is logged."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finished)
        return task

    def refusal_rows(self):
        """Rows for operators: the counters of refusals, failures and retries."""
        return [
            {
                "process": self._identity.name,
                "counter": name.removeprefix("banyanwheel."),
                "reason": reason,
                "count": count,
            }
            for (name, reason), count in self._metrics.totals.items()
        ]

    def _register_gauges(self):
        gauges = {
            "banyanwheel.configuration.offset": lambda: self._configuration.offset,
            "banyanwheel.members": lambda: len(self._members.members),
            "banyanwheel.connections": lambda: self._transport.connections,
        }
        for field in dataclasses.fields(self._transport.counts):
            read = partial(getattr, self._transport.counts, field.name)
            self._metrics.total(f"banyanwheel.transport.{field.name}", read)
        for name, read in gauges.items():
            self._metrics.gauge(name, read)

    def close(self):
        """Stops ticking and closes what is open."""
        self._ticker.stop()
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        self._transport.flush()
        self._transport.close(linger_ms=CLOSE_LINGER_MS)
        self._metrics.close()

    def _finished(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_message("node:fault", fault=repr(task.exception()))

    # Effects.

    def perform(self, effects):
        """Carries out effects in order; those that they cause come after them."""
        self._effects.extend(effects)
        if self._performing:
            return
        self._performing = True
        try:
            while self._effects:
                self._perform(self._effects.popleft())
        finally:
            self._performing = False
        self._set_timer()

    def _perform(self, effect):
        match effect:
            case Send(peer=peer, message=message):
                self._send(peer, message)
            case Count(name=name, reason=reason):
                self._metrics.count(f"banyanwheel.{name}", reason)
            case Answered():
                self.on_answered(effect)
            case _:
                self.on_effect(effect)

    def on_answered(self, effect):
        """Gives a waiting caller its answer."""

    def on_effect(self, effect):
        """Carries out an effect that only this role knows."""

    def _send(self, peer, message):
        if peer == self._identity:
            self.perform(self._decide(peer, message, time.monotonic()))
            return
        self.send_to(peer, self._address_for(peer, message), message)

    def send_to(self, peer, address, message):
        """Sends a message to an address, whether or not the peer is a known member."""
        self._transport.send(
            peer,
            address,
            message,
            configuration=self._configuration.advertised,
            load=self.load,
        )

    def _address_for(self, peer, message):
        if isinstance(message, _REPLIES):
            return None
        member = self._members.find(peer.name)
        return member.address if member is not None else None

    # Messages.

    def _received(self, envelope):
        now = time.monotonic()
        sender = Peer(envelope.sender, envelope.incarnation)
        self._heard(sender.name, now)
        if envelope.load is not None:
            self.on_load(sender.name, envelope.load)
        if self._configuration.wants(envelope.configuration):
            self.perform([Send(sender, ConfigurationRequest())])
        for message in envelope.messages:
            self.perform(self._decide(sender, message, now))

    def _heard(self, name, now):
        self._members.cleared(name)
        for step in self._links.heard(name, now):
            if isinstance(step, links.Recovered):
                self.on_recovered(name)

    def on_recovered(self, name):
        """Is called when a peer that was lost is heard again."""

    def _decide(self, sender, message, now):
        match message:
            case Ping(number=number):
                return [Send(sender, Pong(number))]
            case Pong():
                return []
            case Misaddressed(incarnation=incarnation):
                return self._replaced(sender.name, incarnation, now)
            case MembersRequest():
                return [Send(sender, self._members.reply(now))]
            case MembersReply(members=members):
                self._members.merge(members, now)
                self._check_members()
                return []
            case ConfigurationRequest():
                reply = self._configuration.reply()
                return [Send(sender, reply)] if reply is not None else []
            case ConfigurationReply(offset=offset, document=document):
                self._adopt(offset, bytes(document))
                return []
        effects = []
        for decision in self.decisions:
            effects += decision.handle(sender, message, now)
        return effects

    def _replaced(self, name, incarnation, now):
        effects = []
        for decision in self.decisions:
            if hasattr(decision, "peer_replaced"):
                effects += decision.peer_replaced(name, incarnation, now)
        return effects

    # Time.

    def _tick(self):
        now = time.monotonic()
        self._check_links(now)
        self.on_tick(now)

    def _set_timer(self):
        """Wakes the decisions at the earliest time that any of them asks for."""
        times = [decision.next_tick for decision in self.decisions]
        due = min((at for at in times if at is not None), default=None)
        if due is None or (self._timer is not None and self._timer_at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        delay = max(0.0, due - time.monotonic())
        self._timer = asyncio.get_running_loop().call_later(delay, self._wake)

    def _wake(self):
        self._timer = None
        now = time.monotonic()
        effects = []
        for decision in self.decisions:
            due = decision.next_tick
            if due is not None and due <= now:
                effects += decision.tick(now)
        self.perform(effects)

    def on_tick(self, now):
        """Is called at each tick."""

    def awaited(self, now):
        """Names of the peers from which a message should have come by now."""
        names = set()
        for decision in self.decisions:
            if hasattr(decision, "awaited"):
                names |= decision.awaited(now)
        return names

    def _check_links(self, now):
        for step in self._links.tick(self.awaited(now), now):
            match step:
                case links.Probe(name=name):
                    self._ping(name)
                case links.Reopen(name=name):
                    self._transport.reopen(name)
                    self._ask_again(name, now)
                case links.Lost(name=name):
                    self.on_lost(name, now)
        self._transport.close_idle(now, IDLE_CONNECTION_SECONDS)

    def _ping(self, name):
        member = self._members.find(name)
        if member is not None:
            self._pings += 1
            peer = Peer(name, member.incarnation)
            self.perform([Send(peer, Ping(self._pings))])

    def _ask_again(self, name, now):
        self._ping(name)
        for decision in self.decisions:
            if hasattr(decision, "peer_silent"):
                self.perform(decision.peer_silent(name, now))

    def on_lost(self, name, now):
        """Is called when several connections to a peer gave no answer."""
        self._members.suspect(name, now)

    # Membership.

    async def _ask_entries(self):
        """Learns from the entries what the log can't tell during an outage."""
        while not self._streams.read:
            for address in self._settings.peers.entries:
                for message in (MembersRequest(), ConfigurationRequest()):
                    self._transport.send(
                        Peer(address, ""), address, message, configuration=-1
                    )
            await asyncio.sleep(NEWCOMER_PAUSE_SECONDS)

    # Configuration.

    def _versions_read(self, changed):
        if changed:
            self._configured()
        self.on_versions_read()

    def _adopt(self, offset, document):
        try:
            adopted = self._configuration.adopt(offset, document)
        except FindingsError as error:
            log_message("configuration:invalid", offset=offset, fault=str(error))
            return
        if adopted:
            self._streams.rewind()
            self._configured()

    def _configured(self):
        log_message("configuration:in-force", offset=self._configuration.offset)
        self.on_configured(Policy.from_document(self._configuration.document))

    def on_versions_read(self):
        """Is called after records of the configuration stream were taken in."""

    def on_configured(self, policy):
        """Is called when another configuration is in force."""

    def _check_members(self):
        """Tells the decisions which peers have been replaced."""
        now = time.monotonic()
        for member in self._members.members:
            before = self._known_incarnations.get(member.name)
            self._known_incarnations[member.name] = member.incarnation
            if before is not None and before != member.incarnation:
                self.perform(self._replaced(member.name, member.incarnation, now))
        self.on_members_changed()


def serve(role, settings, env):
    """Runs a node of the class ``role`` until it is told to stop."""
    lines = JsonLines.from_settings(settings.logs, env.stdout)
    lines.start()
    try:
        asyncio.run(_main(role, settings, env))
    finally:
        lines.stop()


async def _main(role, settings, env):
    await role(settings).main(env)
