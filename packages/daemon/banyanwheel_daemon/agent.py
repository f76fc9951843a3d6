"""The agent beside a backend server: executor and coordinator in one process."""

import asyncio
import time
from functools import partial

import msgspec
from eliot import log_message

from banyanwheel_core.announcement_schedule import AnnouncementSchedule
from banyanwheel_core.coordinator import Coordinator
from banyanwheel_core.effects import Abort, Execute, Peer, Send
from banyanwheel_core.executor import Executor
from banyanwheel_core.language import Table
from banyanwheel_core.messages import (
    HandoverTaken,
    InspectReply,
    InspectRequest,
    JobAnswer,
    KnownMember,
    MemberRecord,
    MembersReply,
    SubmitJob,
)
from banyanwheel_core.models import Reason
from banyanwheel_core.placement import Placement

from .backend import BackendClient
from .backend_endpoint import make_application
from .lifecycle import Lifecycle
from .log_service import LogError
from .logs import Branch, continue_job
from .metrics import REFUSALS
from .node import Node, serve
from .web import WebServer

__all__ = ["Agent", "run"]

LEASE_MS = 2_000
HANDOVER_TRIES = 5  # peers that are asked, one after the other
OFFERS = 3  # of the answers to one peer
HANDOVER_PAUSE_SECONDS = 0.3
TICK_SECONDS = 0.02


class Agent(Node):
    """Runs tasks on its backend server, and owns jobs."""

    role = "agent"

    def __init__(self, settings):
        super().__init__(settings, settings.agent.address, settings.process.rack)
        process = settings.process
        self._placement = Placement(process.name, process.data_centre, self._random)
        self._executor = Executor.from_settings(self._identity, settings.agent)
        self._coordinator = Coordinator.from_settings(
            self._identity, self._members, self._placement, settings.agent
        )
        self._backend = None
        self._announcement = None
        self._schedule = AnnouncementSchedule(
            settings.agent.announce_lifetime_ms / 1_000, self._random
        )
        self._announced = None
        self._logged = None  # the newest record that the log took
        self._announcing = False
        self._leaving = False
        self._successor = ""
        self._taken = set()
        self._lifecycle = Lifecycle()
        self._actions = {}
        application = make_application(
            process.name,
            self._on_announcement,
            lambda: self._lifecycle.serving,
            self._metrics.render,
            partial(self._metrics.count, REFUSALS),
        )
        self._web = WebServer(application)
        self._web.listen(settings.agent.http.host, settings.agent.http.port)

    @property
    def decisions(self):
        """The executor and the coordinator."""
        return (self._executor, self._coordinator)

    @property
    def load(self):
        """The executor's load."""
        return self._executor.load

    async def main(self, env):
        """Runs until a signal asks to stop, then leaves gracefully."""
        self.start()
        self._learn_record(self._record())
        self._lifecycle.ready(env, self._identity.name, self._web, self.address)
        await self._lifecycle.stop_asked()
        await self._leave()
        await self._web.close()
        self.close()

    def on_load(self, name, load):
        """Takes in the load that an executor sent along."""
        self._placement.loaded(name, load, time.monotonic())

    def on_effect(self, effect):
        """Runs or stops a task on the backend server."""
        match effect:
            case Execute(task=task):
                self.spawn(self._run(task))
            case Abort(job_id=job_id, index=index):
                self.spawn(self._backend.stop(job_id, index))

    def on_tick(self, now):
        """Announces this agent when that is due."""
        self._executor.pace = self._placement.pace(self._identity.name)
        self._placement.loaded(self._identity.name, self._executor.load, now)
        if self._announcing:
            return
        record = self._record()
        if record != self._announced or self._schedule.due(now):
            self._announced = record
            self._announcing = True
            self.spawn(self._append_record(record))

    def on_configured(self, policy):
        """Puts weights, bounds and drains in force."""
        self._coordinator.configure(policy)
        drained = self._configuration.is_drained(self._record())
        now = time.monotonic()
        self.perform(self._executor.configure(policy, drained, now))

    def on_lost(self, name, now):
        """Leaves a peer that does not answer out for a while."""
        super().on_lost(name, now)
        self.perform(self._coordinator.peer_lost(name, now))

    def on_recovered(self, name):
        """Waits again for a peer that had been lost."""
        self._coordinator.peer_heard(name)

    def _perform(self, effect):
        match effect:
            case Send(message=JobAnswer(answer=answer)):
                if answer.reason is not Reason.ID_CONFLICT:
                    self._log_answer(answer)
        super()._perform(effect)

    def _log_answer(self, answer):
        action = self._actions.pop(answer.id, None)
        if action is not None:
            action.add_success_fields(
                state=answer.state, outcome=answer.outcome, reason=answer.reason
            )
            action.finish()

    def _decide(self, sender, message, now):
        match message:
            case SubmitJob(job_id=job_id, spec=spec) if job_id not in self._actions:
                self._actions[job_id] = continue_job(
                    job_id,
                    Branch.COORDINATOR,
                    self._identity.name,
                    tasks=len(spec.tasks),
                )
            case HandoverTaken(incarnation=incarnation):
                self._taken.add(incarnation)
                return []
            case InspectRequest(number=number, what=what):
                rows = msgspec.Raw(msgspec.json.encode(self._rows(what)))
                return [Send(sender, InspectReply(number, rows))]
        return super()._decide(sender, message, now)

    # Operators.

    def _rows(self, what):
        table, _, job_id = what.partition(" ")
        match table:
            case Table.JOBS:
                return self._coordinator.rows()
            case Table.TASKS:
                return self._executor.task_rows()
            case Table.QUEUES:
                return self._executor.queue_rows()
            case Table.WORKERS:
                return [self._worker_row()]
            case Table.REFUSALS:
                return self.refusal_rows()
            case "why":
                return self._coordinator.explain(job_id, time.monotonic())
        return []

    def _worker_row(self):
        record = self._record()
        return {
            "worker": record.name,
            "data_centre": record.data_centre,
            "rack": record.rack,
            "services": record.services,
            "state": self._executor.backend_state,
            "slots": self._executor.slots,
            "free_slots": self._executor.free_slots,
            "running": self._executor.running,
            "queued_ms": self._executor.load.queued_ms,
            "draining": self._configuration.is_drained(record),
        }

    # The backend server.

    def _on_announcement(self, announcement):
        known = self._announcement
        if (
            known is None
            or known.address != announcement.address
            or known.connections != announcement.connections
        ):
            if self._backend is not None:
                self._backend.close()
            self._backend = BackendClient.from_announcement(
                announcement, lease_ms=LEASE_MS
            )
        self._announcement = announcement
        slots = min(announcement.slots, self._backend.capacity)
        announcement = msgspec.structs.replace(announcement, slots=slots)
        self.perform(self._executor.announced(announcement, time.monotonic()))

    async def _run(self, task):
        name = f"{self._identity.name}/{task.index}"
        with continue_job(
            task.job_id, Branch.EXECUTOR, name, task=task.index
        ) as action:
            result = await self._backend.run(task)
            action.add_success_fields(outcome=result.outcome, run_ms=result.run_ms)
        self.perform(self._executor.finished(result, time.monotonic()))

    # Announcing.

    def _record(self):
        announcement = self._announcement
        serving = self._executor.serving and announcement is not None
        return MemberRecord(
            name=self._identity.name,
            incarnation=self._identity.incarnation,
            address=str(self._settings.agent.advertise or self.address),
            data_centre=self._settings.process.data_centre,
            rack=self._settings.process.rack,
            services=announcement.services if announcement else (),
            slots=self._executor.slots if serving else 0,
            memory_mb=announcement.memory_mb if announcement else 0,
            accelerators=announcement.accelerators if announcement else 0,
            lifetime_ms=self._settings.agent.announce_lifetime_ms,
            leaving=self._leaving,
            successor=self._successor,
        )

    def _learn_record(self, record):
        now = time.monotonic()
        self._members.apply(record, -1, 0, now)

    async def _append_record(self, record):
        stream = self._settings.log_service.members_stream
        try:
            await self._log.append(stream, msgspec.json.encode(record))
        except LogError as error:
            self._schedule.failed(time.monotonic())
            log_message("members:not-announced", fault=str(error))
            self._tell_entries(record)
            return False
        finally:
            self._announcing = False
        self._logged = record
        self._schedule.succeeded(time.monotonic())
        return True

    def _tell_entries(self, record):
        """Announces a new record by way of the entries, as the log did not take it."""
        if record == self._logged:
            return
        self._learn_record(record)
        message = MembersReply((KnownMember(record, 0),))
        for address in self._settings.peers.entries:
            self.send_to(Peer(address, ""), address, message)

    # Leaving.

    async def _leave(self):
        self._lifecycle.stopping()
        self.perform(self._executor.stop())
        self._coordinator.stop()
        self._leaving = True
        grace = self._settings.agent.grace_ms / 1_000
        deadline = time.monotonic() + grace
        while time.monotonic() < deadline and not self._idle:
            await asyncio.sleep(TICK_SECONDS)
        self.perform(self._coordinator.abandon(time.monotonic()))
        await self._hand_over()
        self._lifecycle.stopped()

    @property
    def _idle(self):
        return self._executor.idle and self._coordinator.idle

    async def _hand_over(self):
        """Hands the kept answers to a peer; another one if it does not take them."""
        tried = set()
        for _ in range(HANDOVER_TRIES):
            successor = self._choose_successor(tried)
            if successor is None:
                return
            tried.add(successor.name)
            if await self._offer(Peer(successor.name, successor.incarnation)):
                self._successor = f"{successor.name}.{successor.incarnation}"
                await self._append_record(self._record())
                return

    async def _offer(self, peer):
        """Sends every answer to a peer; tells whether it has taken them all."""
        messages = self._coordinator.handover(time.monotonic())
        owners = {message.incarnation for message in messages}
        self._taken.clear()
        for _ in range(OFFERS):
            self.perform([Send(peer, message) for message in messages])
            await asyncio.sleep(HANDOVER_PAUSE_SECONDS)
            if owners <= self._taken:
                return True
        return False

    def _choose_successor(self, tried):
        others = [
            member
            for member in self._members.members
            if member.name != self._identity.name
            and member.name not in tried
            and not member.leaving
            and self._members.usable(member.name, time.monotonic())
        ]
        near = [
            member
            for member in others
            if member.data_centre == self._settings.process.data_centre
        ]
        chosen = near or others
        return self._random.choice(chosen) if chosen else None


def run(settings, env):
    """Runs an agent until it is told to stop."""
    serve(Agent, settings, env)
