"""The ``dispatcher`` role: serves callers and owns partitions of the jobs."""

import asyncio

from banyanwheel_jobs.drains import Drains
from banyanwheel_jobs.messages import (
    Claims,
    ForwardedReply,
    ForwardedRequest,
    Heartbeat,
    InspectionRequest,
    InspectionResult,
    Misaddressed,
    Report,
)
from banyanwheel_jobs.owner import Owner
from banyanwheel_jobs.placement import Placement
from banyanwheel_jobs.runner_view import RunnerView
from banyanwheel_platform.callers import CallerServer
from banyanwheel_platform.configuration import (
    CONFIGURATION_KEY,
    OPERATOR_TOPIC,
    decode_configuration,
)
from banyanwheel_platform.log import LogClient

from .clocks import boot_time, wall_ms
from .configuration_feed import ConfigurationFeed
from .members import Member, Members
from .ownership import Ownership
from .peers import Peers
from .request_gateway import RequestGateway
from .role import DISPATCHER, RUNNER, Role

__all__ = ["Dispatcher", "run"]

TICK_INTERVAL_S = 0.05
# Several heartbeats fit in the time for which one authorizes a runner to act.
HEARTBEAT_INTERVAL_S = 0.2
REOPEN_AFTER_S = 1.0  # four heartbeats without a report in return
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
        jobs = settings.jobs
        self._owner = Owner(
            settings.log.partitions,
            Placement(settings.process.data_centre, jobs.remote_rack_factor),
            retention_s=jobs.retention_s,
            wall_ms=wall_ms,
            send=self._send_to_runner,
            store=self._store,
            event_log=self.event_log,
        )
        self._views = self._owner.views
        self._members = Members(self._log, self.event_log)
        self._ownership = Ownership(
            self._log,
            self._owner,
            settings.process.name,
            self._clocks,
            self.event_log,
            trusts=lambda: [view.trust for view in self._views.values()],
            on_change=self._partitions_changed,
            refresh=self._refresh_members,
        )
        self._gateway = RequestGateway(
            self._owner,
            settings.log.partitions,
            self._clocks,
            self.event_log,
            send=self._send_to_dispatcher,
            ownership=self._ownership,
        )
        self._feed = ConfigurationFeed(
            self._log,
            OPERATOR_TOPIC,
            CONFIGURATION_KEY,
            decode_configuration,
            self._configure,
            self.event_log,
        )
        self._callers = CallerServer(self._gateway, self.event_log)
        self._peers = None
        self._operations = None

    # Startup and shutdown

    async def serve(self):
        """Serves until SIGTERM or SIGINT, then shuts down in order."""
        process = self.settings.process
        self._register_gauges()
        self._peers = Peers(
            process.advertised_address, str(process.address), self._receive, boot_time
        )
        self._callers.listen(self.settings.callers.listen)
        self.listen_for_probes(self.settings.callers.ready, self._is_ready)
        self.listen_for_operators(
            gateway=self._gateway, operations=self._get_operations
        )
        member = Member(DISPATCHER, process.data_centre)
        self.spawn(self._members.register(process.advertised_address, member))
        self.spawn(self._members.follow(self._members_changed))
        self.spawn(self._feed.run())
        self.spawn(self._ownership.run())
        self.spawn(self.call_every(TICK_INTERVAL_S, self._tick))
        self.spawn(self.call_every(HEARTBEAT_INTERVAL_S, self._contact))
        await self.wait_for_stop()
        await self._stop()

    def _register_gauges(self):
        owner, gateway = self._owner, self._gateway
        gauge = self.metrics.gauge
        gauge("banyanwheel.configuration.version", lambda: gateway.version)
        gauge("banyanwheel.partitions", lambda: len(owner.partitions))
        gauge("banyanwheel.jobs.transient", lambda: len(owner.transient.jobs))
        gauge("banyanwheel.jobs.pending", lambda: sum(owner.pending.values()))
        gauge("banyanwheel.requests.open", lambda: gateway.open_requests)
        gauge("banyanwheel.runners.usable", lambda: owner.usable_runners(boot_time()))
        gauge("banyanwheel.room.free.millicores", lambda: owner.free_cpu(boot_time()))

    async def _stop(self):
        started = boot_time()
        deadline = started + self.settings.process.grace_s - STOP_MARGIN_S
        self._gateway.start_shutdown(deadline)
        await self._ownership.leave()
        self._contact()
        await self._members.remove(self.settings.process.advertised_address)
        while boot_time() < deadline and (
            self._gateway.open_requests or boot_time() - started < BALANCER_DRAIN_S
        ):
            await asyncio.sleep(TICK_INTERVAL_S)
        self._gateway.fail_open_requests()
        self._callers.stop()
        await self._callers.close()
        self._peers.close(linger_ms=100)

    def _is_ready(self):
        return (
            self._gateway.routing is not None
            and not self.stopping
            and self._owner.usable_runners(boot_time()) > 0
        )

    def _configure(self, routing):
        self._gateway.routing = routing

    # Members

    async def _refresh_members(self):
        await self._members.refresh()
        self._members_changed()

    def _members_changed(self):
        if self._owner.drains.names != self._members.drains:
            self._owner.drains = Drains(self._members.drains)
            names = sorted(f"{kind} {name}" for kind, name in self._members.drains)
            self.event_log("drain:in-force", names=names)
        runners = {
            address: member
            for address, member in self._members.known.items()
            if member.role == RUNNER
        }
        new = {
            address: member
            for address, member in runners.items()
            if address not in self._views
        }
        for address, member in new.items():
            self._views[address] = RunnerView(address, member.data_centre)
            self.event_log("runner:known", runner=address)
        if new:
            self._contact()
        for address in set(self._views) - set(runners):
            if not self._owner.has_runs(address):
                del self._views[address]
                self.event_log("runner:gone", runner=address)

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
            )
            self._operations = Operations(
                inspector,
                self._gateway,
                self._members,
                self.settings.log.partitions,
                others=self._other_dispatchers,
                send=self._send_to_dispatcher,
            )
        return self._operations

    # Messages

    def _send_to_runner(self, address, message):
        view = self._views.get(address)
        self._peers.send(address, message, view.incarnation if view else "")

    def _send_to_dispatcher(self, address, message):
        self._peers.send(address, message)

    def _receive(self, address, incarnation, message):
        match message:
            case Report():
                view = self._views.get(address)
                if view is not None:
                    self._handle_report(view, incarnation, message)
            case ForwardedRequest():
                self._gateway.handle_ask(address, message)
            case ForwardedReply():
                self._gateway.handle_answer(message)
            case Claims():
                self._gateway.handle_claims(address, message)
            case InspectionRequest():
                self._get_operations().handle_inspect(address, message)
            case InspectionResult():
                self._get_operations().handle_inspection(
                    address, message, self.event_log
                )
            case Misaddressed():
                self.event_log.count("banyanwheel.retries", "misaddressed")

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
        self._contact()
        self._dispatch_soon()

    def _dispatch_soon(self):
        if not self._dispatch_due:
            self._dispatch_due = True
            asyncio.get_running_loop().call_soon(self._dispatch)

    def _dispatch(self):
        self._dispatch_due = False
        self._owner.dispatch(boot_time())

    # Periodic work

    def _tick(self):
        self._owner.tick(boot_time())
        if len(self._views) > self._members.count(RUNNER):
            self._members_changed()

    def _contact(self):
        """Sends heartbeats to all runners and all other dispatchers.

        Reopens the connection to a runner that has timed out.
        """
        now = boot_time()
        claims = self._ownership.claims
        for view in self._views.values():
            if now - view.heard_at > REOPEN_AFTER_S and now - view.reopened_at > (
                REOPEN_AFTER_S
            ):
                view.reopened_at = now
                self._peers.reopen(view.name)
            heartbeat = Heartbeat(
                claims, view.trust.stamp, view.trust.newest, view.incarnation
            )
            self._peers.send(view.name, heartbeat)
        partitions = tuple(self._owner.partitions)
        message = Claims(partitions, self._owner.pending)
        for address in self._other_dispatchers():
            self._peers.send(address, message)

    def _other_dispatchers(self):
        own = self.settings.process.advertised_address
        return [
            address
            for address, member in self._members.known.items()
            if member.role == DISPATCHER and address != own
        ]


def run(settings, env):
    """Runs a dispatcher until it is stopped; returns an ExitStatus."""
    return Role.run(Dispatcher, settings, env)
