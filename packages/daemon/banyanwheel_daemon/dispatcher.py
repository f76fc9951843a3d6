"""The ``dispatcher`` role: serves callers and owns partitions of the jobs."""

import asyncio
from itertools import count

from banyanwheel_jobs.cells.forwarding import HostedJobs
from banyanwheel_jobs.cells.placers import Placers
from banyanwheel_jobs.evacuation import Evacuations
from banyanwheel_jobs.messages import (
    Claims,
    ForwardedReply,
    ForwardedRequest,
    InspectionRequest,
    InspectionResult,
    JobsAbandoned,
    JobsOpen,
    JobsUnknown,
    Misaddressed,
    Report,
    RunJob,
)
from banyanwheel_jobs.open_work import WorkLimit
from banyanwheel_jobs.owners.drains import Drains
from banyanwheel_jobs.owners.owner import Owner
from banyanwheel_jobs.placing.placement import Placement
from banyanwheel_platform.callers import CallerServer
from banyanwheel_platform.log import LogClient

from .clocks import boot_time, wall_ms
from .configuration_feed import ConfigurationFeed, EvacuationReader
from .contacts import Contacts
from .gauges import register_gauges
from .members import Member, Members
from .ownership import Ownership
from .peers import Peers
from .request_gateway import RequestGateway
from .role import DISPATCHER, Role
from .transient_requests import TransientRequests

__all__ = ["Dispatcher", "run"]

TICK_INTERVAL_S = 0.05
# Several heartbeats fit in the time for which one authorizes a runner to act.
HEARTBEAT_INTERVAL_S = 0.2
# The load balancer drops a dispatcher after two failed probes, one second apart.
BALANCER_DRAIN_S = 2.5
STOP_MARGIN_S = 1.0  # left when a stop completes, before the platform's kill


class Dispatcher(Role):
    """One dispatcher process."""

    def __init__(self, settings, env):
        super().__init__(settings, env, DISPATCHER)
        self._clocks = (boot_time, wall_ms)
        self._log = LogClient(settings.log.address)
        self._dispatch_due = False
        self._work_limit = WorkLimit(self.limits.work_bytes, self._held_bytes)
        self._owner = self._create_owner()
        self._views = self._owner.views
        self._members = Members(self._log, self.event_log)
        self._placers = Placers(settings.jobs.remote_rack_factor, self.event_log)
        self._hosted = HostedJobs(
            self._owner,
            self._send_to_entry,
            lambda: self._contacts.placing,
            self.event_log,
            self._placers.record_hosted,
            self._work_limit.admits,
        )
        self._ownership = self._create_ownership()
        self._contacts = self._create_contacts()
        numbers = count(1)  # of all requests that are forwarded
        self._transient = TransientRequests(
            self._owner,
            self._placers,
            self._clocks,
            self.event_log,
            send=self._send_to_placer,
            numbers=numbers,
            own_offers=self._contacts.offers,
            peek_offers=self._contacts.peek_offers,
            admits=self._work_limit.admits,
        )
        self._gateway = RequestGateway(
            self._owner,
            settings.log.partitions,
            self._clocks,
            self.event_log,
            send=self._send_to_dispatcher,
            send_reply=self._send_to_entry,
            ownership=self._ownership,
            transient=self._transient,
            numbers=numbers,
            admits=self._admits_stored,
        )
        self._evacuation_reader = EvacuationReader(
            self._owner.evacuations, self._evacuate, self.event_log
        )
        self._feed = ConfigurationFeed.for_dispatcher(
            self._log,
            self._configure,
            self._evacuation_reader,
            self.event_log,
            settings.jobs.evacuation_ms,
        )
        self._callers = CallerServer(self._gateway, self.event_log, self.request_budget)
        self._peers = None
        self._operations = None
        self._registration = None

    def _held_bytes(self):
        return self._owner.held_bytes + self._gateway.held_bytes

    def _admits_stored(self, submission):
        admitted = self._work_limit.admits(submission)
        if not admitted:
            self.event_log.count("banyanwheel.refusals", "work-limit")
        return admitted

    def _create_owner(self):
        jobs = self.settings.jobs
        placement = Placement(
            self.settings.process.data_centre,
            jobs.remote_rack_factor,
            self._create_interference() if jobs.separate_interfering else None,
        )
        owner = Owner(
            self.settings.log.partitions,
            placement,
            retention_s=jobs.retention_s,
            wall_ms=wall_ms,
            send=self._send_to_runner,
            store=self._store,
            event_log=self.event_log,
        )
        if jobs.evacuation_ms is not None:
            owner.evacuations = Evacuations()
        return owner

    def _create_interference(self):
        # Imported only where it is used, since imports delay the start of a process.
        from banyanwheel_jobs.interference.interference import Interference

        return Interference(self.event_log)

    def _create_ownership(self):
        return Ownership(
            self._log,
            self._owner,
            self.settings.process.name,
            self._clocks,
            self.event_log,
            trusts=lambda: [view.trust for view in self._views.values()],
            on_change=self._partitions_changed,
            refresh=self._refresh_members,
            eligible=lambda: self._contacts.placing,
        )

    def _create_contacts(self):
        return Contacts(
            self.settings.process,
            self._owner,
            self._members,
            self._placers,
            self._hosted,
            self._ownership,
            self.event_log,
            peers=lambda: self._peers,
            stopping=lambda: self.stopping,
        )

    # Startup and shutdown

    async def serve(self):
        """Serves until SIGTERM or SIGINT, then shuts down in order."""
        process = self.settings.process
        self._register_gauges()
        self._peers = Peers(
            process.advertised_address,
            str(process.address),
            self._receive,
            boot_time,
            self.event_log,
        )
        self._callers.listen(self.settings.callers.listen)
        self.listen_for_probes(self.settings.callers.ready, self._is_ready)
        self.listen_for_operators(
            gateway=self._gateway, operations=self._get_operations
        )
        self._registration = self.spawn(self.keep_running(self._register))
        self.spawn(self.keep_running(self._follow_members))
        self.spawn(self.keep_running(self._feed.run))
        self.spawn(self.keep_running(self._ownership.run))
        self.spawn(self.call_every(TICK_INTERVAL_S, self._tick))
        self.spawn(self.call_every(HEARTBEAT_INTERVAL_S, self._contact))
        await self.wait_for_stop()
        await self._stop()

    async def _register(self):
        process = self.settings.process
        address = process.advertised_address
        member = Member(DISPATCHER, process.data_centre, process.processing_power)
        await self._members.keep_registered(
            address, member, lambda: address in self._members.known
        )

    async def _follow_members(self):
        await self._members.follow(self._members_changed)

    def _register_gauges(self):
        register_gauges(
            self.metrics.gauge, self._owner, self._gateway, self._held_bytes, boot_time
        )

    async def _stop(self):
        started = boot_time()
        deadline = started + self.settings.process.grace_s - STOP_MARGIN_S
        self._callers.drain()
        self._gateway.start_shutdown(deadline)
        self._hosted.start_shutdown(deadline)
        self._contacts.send_claims(everyone=True)
        await self._ownership.leave()
        while boot_time() < deadline and (
            self._gateway.open_requests
            or len(self._hosted)
            or boot_time() - started < BALANCER_DRAIN_S
        ):
            await asyncio.sleep(TICK_INTERVAL_S)
        # Until now the others had to send their claims here.
        self._registration.cancel()
        removal = self.spawn(
            self._members.remove(self.settings.process.advertised_address)
        )
        self._gateway.fail_open_requests()
        self._hosted.fail_all(boot_time())
        self._callers.stop()
        await self._callers.close()
        await removal
        self._peers.close(linger_ms=100)

    def _is_ready(self):
        return (
            self._gateway.routing is not None
            and not self.stopping
            and (
                self._owner.usable_runners(boot_time()) > 0
                or any(self._placers.live(boot_time()).values())
            )
        )

    def _configure(self, routing):
        self._gateway.routing = routing

    def _evacuate(self):
        self._transient.check_pause()
        self._owner.apply_evacuations(boot_time())
        self._log_unmatched_evacuations()

    def _log_unmatched_evacuations(self):
        members = self._members.known.values()
        if members:
            data_centres = {member.data_centre for member in members}
            self._evacuation_reader.log_unmatched(data_centres)

    # Members

    async def _refresh_members(self):
        await self._members.refresh()
        self._members_changed()

    def _members_changed(self):
        if self._owner.drains.names != self._members.drains:
            self._owner.drains = Drains(self._members.drains)
            names = sorted(f"{kind} {name}" for kind, name in self._members.drains)
            self.event_log("drain:in-force", names=names)
        self._contacts.update_cells()
        self._log_unmatched_evacuations()

    # Operators

    def _get_operations(self):
        # Imported at the first command: most processes never need the command parser.
        if self._operations is None:
            from .inspector import Inspector
            from .operations import Operations

            inspector = Inspector(
                self.settings.process.name,
                self._owner,
                self._gateway,
                self._members,
                self.metrics,
                boot_time,
                self._ownership.stalled,
                self._transient,
            )
            self._operations = Operations(
                inspector,
                self._gateway,
                self._members,
                self.settings.log.partitions,
                others=self._contacts.other_dispatchers,
                send=self._send_to_dispatcher,
                send_reply=self._send_to_entry,
            )
        return self._operations

    # Messages

    def _send_to_runner(self, address, message):
        view = self._views.get(address)
        self._peers.send(address, message, view.incarnation if view else "")

    def _send_to_dispatcher(self, address, message):
        self._peers.send(address, message)

    def _send_to_placer(self, address, incarnation, message):
        self._peers.send(address, message, incarnation)

    def _send_to_entry(self, entry, message):
        address, incarnation = entry
        self._peers.send(address, message, incarnation)

    def _receive(self, address, incarnation, message):
        self._transient.check_pause()
        match message:
            case Report():
                view = self._views.get(address)
                if view is not None:
                    self._handle_report(view, incarnation, message)
            case ForwardedRequest():
                self._gateway.handle_ask((address, incarnation), message)
            case ForwardedReply():
                self._gateway.handle_reply(message)
            case Claims():
                self._placers.hear(address, incarnation, message, boot_time())
                self._gateway.handle_claims(address, message)
            case InspectionRequest():
                self._get_operations().handle_inspect((address, incarnation), message)
            case InspectionResult():
                self._get_operations().handle_inspection(
                    address, message, self.event_log
                )
            case Misaddressed():
                self.event_log.count("banyanwheel.retries", "misaddressed")
            case _:
                self._receive_forwarding(address, incarnation, message)

    def _receive_forwarding(self, address, incarnation, message):
        """Handles messages about transient jobs between their entry and placer."""
        entry, now = (address, incarnation), boot_time()
        match message:
            case RunJob():
                self._hosted.handle_run(entry, message, now)
            case JobsOpen():
                self._hosted.handle_open(entry, message, now)
            case JobsAbandoned():
                self._hosted.handle_abandoned(entry, message)
            case JobsUnknown():
                self._transient.handle_unknown(address, message)

    def _handle_report(self, view, incarnation, report):
        now = boot_time()
        if view.incarnation not in ("", incarnation):
            view.trust.forget()
        view.trust.receive(report.sent_at_ms, now)
        self._owner.handle_report(view, incarnation, report, now)
        self._dispatch_soon()

    def _store(self, partition):
        self._ownership.store(partition)

    def _partitions_changed(self):
        self._contacts.announce_partitions()
        self._dispatch_soon()

    def _dispatch_soon(self):
        if not self._dispatch_due:
            self._dispatch_due = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self):
        self._dispatch_due = False
        self._transient.check_pause()
        self._owner.dispatch(boot_time())

    # Periodic work

    def _contact(self):
        self._transient.check_pause()
        self._transient.confirm()
        self._contacts.contact()
        self._peers.close_idle(boot_time())

    def _tick(self):
        self._transient.check_pause()
        now = boot_time()
        self._hosted.tick(now)
        self._owner.tick(now)
        self._transient.tick()


def run(settings, env):
    """Runs a dispatcher until it is stopped; returns an ExitStatus."""
    return Role.run(Dispatcher, settings, env)
