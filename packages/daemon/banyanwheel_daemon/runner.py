"""The ``runner`` role: all access to the worker on its machine goes through it."""

import asyncio

from banyanwheel_jobs.evacuation import Evacuations
from banyanwheel_jobs.messages import (
    EndsAcknowledged,
    Heartbeat,
    Misaddressed,
    StartTasks,
    StopTasks,
)
from banyanwheel_jobs.ports import (
    StartOutcome,
    WorkerFenced,
    WorkerGone,
    WorkerReplaced,
    WorkerUnavailable,
)
from banyanwheel_jobs.runners.runner import Runner
from banyanwheel_platform.heartbeats import HeartbeatServer
from banyanwheel_platform.log import LogClient

from .clocks import boot_time
from .configuration_feed import ConfigurationFeed, EvacuationReader
from .members import Member, Members
from .peers import Peers
from .role import RUNNER, Role
from .worker_heartbeats import WorkerHeartbeats
from .worker_verifier import WorkerVerifier

__all__ = ["RunnerRole", "run"]

TICK_INTERVAL_S = 0.05
IDLE_WAIT_S = 0.2  # between checks whether the worker needs to be polled
RETRY_DELAY_S = 0.05  # before the worker is asked again about doubtful starts
UNCHANGED_POLL_DELAY_S = 0.02  # between polls while ends await acknowledgement
OTHER_OWNERS_REPORT_DELAY_S = 0.1  # the owners at home use new room first
OWNER_TIMEOUT_S = 3.0  # reports to a dispatcher without heartbeats end after this
CONTACT_TIMEOUT_S = 5.0  # without heartbeats for longer, the process registers again
STOP_RUNS_AHEAD_S = 1.5  # before the shutdown deadline, remaining runs are stopped
STOP_MARGIN_S = 0.7  # between the shutdown deadline and the platform's kill


class RunnerRole(WorkerHeartbeats, Role):
    """One runner process.

    An owner is identified by its (address, incarnation).
    """

    def __init__(self, settings, env):
        super().__init__(settings, env, RUNNER)
        self._runner = Runner(
            settings.log.partitions, settings.jobs.lease_ms / 1000, self.event_log
        )
        self._log = LogClient(settings.log.address)
        self._members = Members(self._log, self.event_log)
        self._evacuations = Evacuations()
        self._heartbeats = HeartbeatServer(
            self._handle_worker_heartbeat,
            self._handle_worker_left,
            self.event_log,
            self.request_budget,
        )
        self._client = None
        self._verifier = WorkerVerifier(
            self._runner, self._use_worker, self._refuse_heartbeat, self.spawn
        )
        self._announced_at = 0.0  # when the worker's newest heartbeat arrived
        self._peers = None
        self._contacted_at = 0.0  # when the last heartbeat of a dispatcher arrived
        self._registration = None
        self._last_heartbeats = {}  # time of the last heartbeat by owner
        self._poll_wakeup = asyncio.Event()
        self._resolve_task = None
        self._home_owners = set()  # those that use the worker's room first
        self._last_reports = {}  # time of the last report by owner
        self._reports_due = False
        self._other_reports_due = False

    async def serve(self):
        """Serves until SIGTERM or SIGINT, then shuts down in order."""
        process = self.settings.process
        self.metrics.gauge("banyanwheel.runs", lambda: self._runner.run_count)
        self.metrics.gauge(
            "banyanwheel.ends.untaken", lambda: self._runner.unacknowledged_count
        )
        self._peers = Peers(
            process.advertised_address,
            str(process.address),
            self._receive,
            boot_time,
            self.event_log,
        )
        self.listen_for_operators()
        self._heartbeats.listen(self.settings.worker.heartbeats)
        self._registration = self.spawn(self.keep_running(self._register))
        self.spawn(self.keep_running(self._poll_worker))
        if self.settings.jobs.evacuation_ms is not None:
            self._follow_evacuations(self.settings.jobs.evacuation_ms)
        self.spawn(self.call_every(TICK_INTERVAL_S, self._tick))
        await self.wait_for_stop()
        await self._stop_runs()

    async def _register(self):
        process = self.settings.process
        member = Member(RUNNER, process.data_centre)
        await self._members.keep_registered(
            process.advertised_address, member, self._is_contacted
        )

    def _follow_evacuations(self, evacuation_ms):
        evacuations = self._evacuations
        self.metrics.gauge("banyanwheel.evacuations", lambda: len(evacuations.names))
        reader = EvacuationReader(evacuations, self._evacuate, self.event_log)
        feed = ConfigurationFeed.for_runner(
            self._log, reader, self.event_log, evacuation_ms
        )
        self.spawn(self.keep_running(feed.run))

    def _evacuate(self):
        evacuated = self._evacuations.covers(self.settings.process.data_centre)
        if evacuated != self._runner.evacuated:
            self._runner.set_evacuated(evacuated, boot_time())
            self._report_to_all()

    def _is_contacted(self):
        return boot_time() - self._contacted_at < CONTACT_TIMEOUT_S

    async def _stop_runs(self):
        """Waits for runs to end and be acknowledged, then stops the rest."""
        deadline = boot_time() + self.settings.process.grace_s - STOP_MARGIN_S
        self._runner.stop()
        self._report_to_all()
        while self._runner.busy and boot_time() < deadline:
            if boot_time() > deadline - STOP_RUNS_AHEAD_S:
                self._runner.stop_all(boot_time())
            await asyncio.sleep(TICK_INTERVAL_S)
        await self._unregister()
        self._heartbeats.stop()
        self._peers.close(linger_ms=100)

    async def _unregister(self):
        """Leaves the list of members, unless runs or ends are left.

        A new owner looks for the runs of its jobs only at the runners on that list, and
        takes a listed one that is gone for silent: it waits until the runs are over.
        """
        self._registration.cancel()
        if not self._runner.busy:
            await self._members.remove(self.settings.process.advertised_address)

    # The worker

    def _handle_worker_left(self, worker_id):
        worker = self._runner.worker
        if worker is not None and worker.worker_id == worker_id:
            self.event_log("worker:leave-announced", worker=worker_id)
            self._runner.record_leave_announced()
            self._poll_wakeup.set()

    def _handle_worker_gone(self, client):
        if client is self._client and self._runner.record_refused_poll(boot_time()):
            self.event_log("worker:left", worker=self._runner.worker.worker_id)
            self._report_to_all()

    def _handle_worker_replaced(self, client, incarnation):
        if client is self._client:
            self._runner.record_worker_replaced(incarnation, boot_time())
            self._report_to_all()

    async def _poll_worker(self):
        """Polls the worker while needed, to renew its lease and read its lists."""
        while True:
            if self._client is None or not self._must_poll():
                self._poll_wakeup.clear()
                try:
                    async with asyncio.timeout(IDLE_WAIT_S):
                        await self._poll_wakeup.wait()
                except TimeoutError:
                    pass
                continue
            pause_s, wait_s = self._runner.next_poll()
            await asyncio.sleep(pause_s)
            if not await self._poll_once(round(wait_s * 1000)):
                self._report_to_all()

    def _must_poll(self):
        """Whether there is anything to renew, to learn, or a clock to read again."""
        runner = self._runner
        if runner.needs_polling:
            return runner.should_renew_lease
        return runner.run_count == 0 and runner.has_old_clock(boot_time())

    async def _poll_once(self, wait_ms):
        """Renews the lease and processes the worker's lists.

        The worker may hold its answer for ``wait_ms``. Returns whether it answered.
        """
        runner, client, fence = self._runner, self._client, self._runner.fence
        acknowledged = runner.acknowledged
        sent_at = boot_time()
        try:
            holdings = await client.renew_lease(
                fence=fence,
                acknowledged=acknowledged,
                deadline_ms=runner.deadline_ms(sent_at),
                wait_ms=wait_ms,
            )
        except WorkerReplaced as error:
            self._handle_worker_replaced(client, error.incarnation)
            return True
        except WorkerUnavailable as error:
            if client is self._client:
                if isinstance(error, WorkerFenced):
                    runner.record_fenced_poll(fence)
                runner.record_unanswered_poll(sent_at)
                self.event_log("worker:unavailable", call="hold", fault=str(error))
                self.event_log.count("banyanwheel.retries", "worker-hold")
            if isinstance(error, WorkerGone):
                self._handle_worker_gone(client)
            return False
        if client is not self._client:
            return True
        version, availability = runner.version, runner.availability
        runner.reconcile(holdings, fence, acknowledged, sent_at, boot_time())
        self._start_and_stop_runs()
        if runner.availability != availability:
            self._report_to_all()
        elif runner.version != version:
            self._schedule_reports()
        elif boot_time() - sent_at < UNCHANGED_POLL_DELAY_S:
            await asyncio.sleep(UNCHANGED_POLL_DELAY_S)
        return True

    async def _start_run(self, run):
        client, order = self._client, run.order
        deadline_ms = self._runner.start_deadline_ms(run, boot_time())
        if deadline_ms is None:
            self._runner.record_start_outcome(run, StartOutcome.LATE, boot_time())
            return
        try:
            outcome, clock_ms = await client.start(
                order, run.spec, deadline_ms=deadline_ms, fence=self._runner.fence
            )
        except WorkerReplaced as error:
            self._handle_worker_replaced(client, error.incarnation)
            return
        except WorkerUnavailable as error:
            self.event_log(
                "run:start-unanswered",
                task=str(order.task),
                run=order.run,
                fault=str(error),
            )
            self._runner.record_unanswered_start(run, boot_time())
            self._resolve_doubtful_starts()
            return
        now = boot_time()
        if client is self._client:
            self._runner.update_worker_clock(clock_ms, now)
        self.event_log(
            "run:start",
            task=str(order.task),
            run=order.run,
            outcome=outcome.value,
            waited_ms=round((now - run.queued_at) * 1000),
        )
        self.event_log.observe("banyanwheel.run.start.duration", now - run.queued_at)
        version = self._runner.version
        self._runner.record_start_outcome(run, outcome, now)
        self._poll_wakeup.set()
        if self._runner.version != version:
            self._schedule_reports()

    def _resolve_doubtful_starts(self):
        """Polls the worker under a new fence until no start is in doubt."""
        if self._resolve_task is None or self._resolve_task.done():
            self._resolve_task = self.spawn(self._poll_until_resolved())

    async def _poll_until_resolved(self):
        while self._runner.has_doubtful_start:
            if not await self._poll_once(0):
                await asyncio.sleep(RETRY_DELAY_S)

    async def _stop_run(self, run):
        client = self._client
        try:
            await client.stop(run.order.task, run.order.run, fence=self._runner.fence)
        except WorkerReplaced as error:
            self._handle_worker_replaced(client, error.incarnation)
        except WorkerUnavailable as error:
            self.event_log(
                "run:stop-unanswered", task=str(run.order.task), fault=str(error)
            )
            self._runner.record_unanswered_stop(run)

    def _start_and_stop_runs(self):
        """Sends the worker the starts and stops that are due."""
        now = boot_time()
        for run in self._runner.begin_due_starts(now):
            self.spawn(self._start_run(run))
        for run in self._runner.begin_due_stops(now):
            self.spawn(self._stop_run(run))

    def _tick(self):
        if self._runner.tick(boot_time()):
            self._schedule_reports()
        self._start_and_stop_runs()

    # Owners

    def _receive(self, address, incarnation, message):
        now = boot_time()
        owner = (address, incarnation)
        match message:
            case Heartbeat():
                self._handle_heartbeat(owner, message, now)
            case StartTasks():
                version = self._runner.version
                if self._runner.handle_start(owner, message, now):
                    self._start_and_stop_runs()
                if self._runner.version != version:
                    self._schedule_reports()
            case StopTasks():
                version = self._runner.version
                self._runner.handle_stop(owner, message, now)
                self._start_and_stop_runs()
                if self._runner.version != version:
                    self._schedule_reports()
            case EndsAcknowledged():
                self._runner.handle_end_acknowledgements(message, now)
                self._poll_wakeup.set()
            case Misaddressed():
                self._last_heartbeats.pop(owner, None)

    def _handle_heartbeat(self, owner, message, now):
        self._last_heartbeats[owner] = self._contacted_at = now
        if message.home:
            self._home_owners.add(owner)
        else:
            self._home_owners.discard(owner)
        if message.runner != self._peers.incarnation:
            message = Heartbeat(message.claims, 0, 0, message.runner)
        self._runner.handle_dispatcher_heartbeat(owner, message, now)
        self._report_to(owner)

    def _schedule_reports(self):
        """Schedules reports: at once to owners of new ends, to the others delayed.

        The others only need the free room; the delay saves processor time on both
        sides and bandwidth.
        """
        if not self._reports_due:
            self._reports_due = True
            asyncio.get_running_loop().call_soon(self._send_reports)

    def _send_reports(self):
        self._reports_due = False
        affected = self._runner.pop_owners_to_notify()
        affected |= self._home_owners
        for owner in affected & self._last_heartbeats.keys():
            self._report_to(owner)
        if not self._other_reports_due and self._last_heartbeats.keys() - affected:
            self._other_reports_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(OTHER_OWNERS_REPORT_DELAY_S, self._report_to_other_owners)

    def _report_to_other_owners(self):
        self._other_reports_due = False
        oldest = boot_time() - OTHER_OWNERS_REPORT_DELAY_S
        for owner in self._last_heartbeats:
            if self._last_reports.get(owner, 0.0) <= oldest:
                self._report_to(owner)

    def _report_to_all(self):
        """Reports to all owners at once, and drops those that have timed out."""
        self._runner.pop_owners_to_notify()
        oldest = boot_time() - OWNER_TIMEOUT_S
        for owner, heard_at in list(self._last_heartbeats.items()):
            if heard_at < oldest:
                del self._last_heartbeats[owner]
                self._last_reports.pop(owner, None)
                self._home_owners.discard(owner)
                self._runner.forget_owner(owner)
            else:
                self._report_to(owner)

    def _report_to(self, owner):
        address, incarnation = owner
        self._last_reports[owner] = boot_time()
        report = self._runner.report(owner, boot_time())
        self._peers.reply(address, incarnation, report)


def run(settings, env):
    """Runs a runner until it is stopped; returns an ExitStatus."""
    return Role.run(RunnerRole, settings, env)
