"""The role ``runner``: the only door to the worker beside it."""

import asyncio

from banyanwheel_jobs.messages import (
    Contact,
    EndsTaken,
    Misaddressed,
    StartTasks,
    StopTasks,
)
from banyanwheel_jobs.ports import StartOutcome, WorkerUnavailable
from banyanwheel_jobs.runner import Runner
from banyanwheel_platform.heartbeats import HeartbeatServer
from banyanwheel_platform.log import LogClient
from banyanwheel_platform.worker import WorkerClient

from .clocks import boot_time
from .members import Member, Members
from .peers import Peers
from .role import RUNNER, Role

__all__ = ["RunnerRole", "run"]

TICK_S = 0.05
IDLE_WAIT_S = 0.2
RETRY_S = 0.05
NO_NEWS_S = 0.02  # between looks while ends wait for their owner
OTHERS_REPORT_S = 0.05  # room frees up every few ms, and tasks last longer than this
OWNER_SILENT_S = 3.0  # a dispatcher that has gone gets no more reports
STOP_RUNS_S = 1.5  # before the platform's kill, running tasks are stopped
STOP_MARGIN_S = 0.7


class RunnerRole(Role):
    """One process of the role."""

    def __init__(self, settings, env):
        super().__init__(settings, env, RUNNER)
        self._runner = Runner(
            settings.log.partitions, settings.jobs.lease_ms / 1000, self.event_log
        )
        self._members = Members(LogClient(settings.log.address), self.event_log)
        self._heartbeats = HeartbeatServer(self._announce, self._left, self.event_log)
        self._client = None
        self._peers = None
        self._owners = {}  # time of the last contact by (address, incarnation)
        self._wake = asyncio.Event()
        self._settling = None
        self._reported = {}  # time of the last report by owner
        self._news_due = False
        self._others_due = False

    async def serve(self):
        """Runs until asked to stop."""
        process = self.settings.process
        self.metrics.gauge("banyanwheel.runs", lambda: self._runner.held)
        self.metrics.gauge("banyanwheel.ends.untaken", lambda: self._runner.untaken)
        self._peers = Peers(
            process.advertised_address, str(process.address), self._receive, boot_time
        )
        self.listen_operators()
        self._heartbeats.listen(self.settings.worker.heartbeats)
        member = Member(RUNNER, process.data_centre)
        self.spawn(self._members.register(process.advertised_address, member))
        self.spawn(self._watch())
        self.spawn(self.every(TICK_S, self._tick))
        await self.stop_asked()
        await self._stop_runs()

    async def _stop_runs(self):
        """Lets runs end and owners store the ends, then stops what is left."""
        deadline = boot_time() + self.settings.process.grace_s - STOP_MARGIN_S
        self._runner.stop()
        self._report_all()
        self.spawn(self._members.remove(self.settings.process.advertised_address))
        while self._runner.busy and boot_time() < deadline:
            if boot_time() > deadline - STOP_RUNS_S:
                self._runner.stop_all()
            await asyncio.sleep(TICK_S)
        self._heartbeats.stop()
        self._peers.close(linger_ms=100)

    # The worker

    def _announce(self, announcement):
        if self._runner.announce(announcement, boot_time()):
            if self._client is not None:
                self._client.close()
            self._client = WorkerClient(announcement.address, announcement.worker_id)
            self._wake.set()
        self._report_all()

    def _left(self, worker_id):
        worker = self._runner.worker
        if worker is not None and worker.worker_id == worker_id:
            self.event_log("worker:left", worker=worker_id)
            self._runner.worker_left(boot_time())
            self._report_all()

    async def _watch(self):
        """Keeps the lease and follows the worker's lists."""
        while True:
            if self._client is None or not (
                self._runner.watching and self._runner.holds_lease
            ):
                self._wake.clear()
                try:
                    async with asyncio.timeout(IDLE_WAIT_S):
                        await self._wake.wait()
                except TimeoutError:
                    pass
                continue
            pause_s, wait_s = self._runner.next_look()
            await asyncio.sleep(pause_s)
            if not await self._hold(round(wait_s * 1000)):
                self._report_all()

    async def _hold(self, wait_ms):
        runner, client, fence = self._runner, self._client, self._runner.fence
        acknowledged = runner.acknowledged
        sent_at = boot_time()
        try:
            holdings = await client.hold(
                fence=fence,
                acknowledged=acknowledged,
                deadline_ms=runner.deadline_ms(sent_at),
                wait_ms=wait_ms,
            )
        except WorkerUnavailable as error:
            if client is self._client:
                runner.look_unanswered(sent_at)
                self.event_log("worker:unavailable", call="hold", fault=str(error))
                self.event_log.count("banyanwheel.retries", "worker-hold")
            return False
        if client is not self._client:
            return True
        before, standing = runner.version, runner.standing
        runner.take_holdings(holdings, fence, acknowledged, sent_at, boot_time())
        self._turn()
        if runner.standing != standing:
            self._report_all()
        elif runner.version != before:
            self._report_news()
        elif boot_time() - sent_at < NO_NEWS_S:
            await asyncio.sleep(NO_NEWS_S)
        return True

    async def _start(self, run):
        client, order = self._client, run.order
        deadline_ms = self._runner.start_deadline_ms(run, boot_time())
        if deadline_ms is None:
            self._runner.start_answered(run, StartOutcome.LATE, boot_time())
            return
        try:
            outcome, clock_ms = await client.start(
                order, run.spec, deadline_ms=deadline_ms, fence=self._runner.fence
            )
        except WorkerUnavailable as error:
            self.event_log(
                "run:start-unanswered",
                task=str(order.task),
                run=order.run,
                fault=str(error),
            )
            self._runner.start_unanswered(run, boot_time())
            self._settle()
            return
        now = boot_time()
        self._runner.read_clock(clock_ms, now)
        self.event_log(
            "run:start",
            task=str(order.task),
            run=order.run,
            outcome=outcome.value,
            waited_ms=round((now - run.queued_at) * 1000),
        )
        self.event_log.observe("banyanwheel.run.start.duration", now - run.queued_at)
        before = self._runner.version
        self._runner.start_answered(run, outcome, now)
        self._wake.set()
        if self._runner.version != before:
            self._report_news()

    def _settle(self):
        """Asks the worker what became of doubtful starts, under a new fence."""
        if self._settling is None or self._settling.done():
            self._settling = self.spawn(self._settle_doubts())

    async def _settle_doubts(self):
        while self._runner.doubtful:
            if not await self._hold(0):
                await asyncio.sleep(RETRY_S)

    async def _end(self, run):
        try:
            await self._client.stop(
                run.order.task, run.order.run, fence=self._runner.fence
            )
        except WorkerUnavailable as error:
            self.event_log(
                "run:stop-unanswered", task=str(run.order.task), fault=str(error)
            )
            self._runner.stop_unanswered(run)

    def _turn(self):
        """Starts and stops what is due."""
        now = boot_time()
        for run in self._runner.starts_due(now):
            self.spawn(self._start(run))
        for run in self._runner.stops_due(now):
            self.spawn(self._end(run))

    def _tick(self):
        if self._runner.tick(boot_time()):
            self._report_news()
        self._turn()

    # Owners

    def _receive(self, address, incarnation, message):
        now = boot_time()
        owner = (address, incarnation)
        match message:
            case Contact():
                self._owners[owner] = now
                if message.runner != self._peers.incarnation:
                    message = Contact(message.claims, 0, 0, message.runner)
                self._runner.take_contact(owner, message, now)
                self._report(owner)
            case StartTasks():
                before = self._runner.version
                if self._runner.take_start(owner, message, now):
                    self._turn()
                if self._runner.version != before:
                    self._report_news()
            case StopTasks():
                before = self._runner.version
                self._runner.take_stop(owner, message, now)
                self._turn()
                if self._runner.version != before:
                    self._report_news()
            case EndsTaken():
                self._runner.take_ends_taken(message, now)
                self._wake.set()
            case Misaddressed():
                self._owners.pop(owner, None)

    def _report_news(self):
        """Reports ends to whom they concern, and the room a little later to the rest.

        Each report is paid for, in processor time at both ends and in bytes.
        """
        if not self._news_due:
            self._news_due = True
            asyncio.get_running_loop().call_soon(self._send_news)

    def _send_news(self):
        self._news_due = False
        news = self._runner.take_news()
        for owner in news & self._owners.keys():
            self._report(owner)
        if not self._others_due and self._owners.keys() - news:
            self._others_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(OTHERS_REPORT_S, self._report_others)

    def _report_others(self):
        self._others_due = False
        oldest = boot_time() - OTHERS_REPORT_S
        for owner in self._owners:
            if self._reported.get(owner, 0.0) <= oldest:
                self._report(owner)

    def _report_all(self):
        """Reports to every owner at once, and forgets those that are silent."""
        self._runner.take_news()
        oldest = boot_time() - OWNER_SILENT_S
        for owner, heard_at in list(self._owners.items()):
            if heard_at < oldest:
                del self._owners[owner]
                self._reported.pop(owner, None)
                self._runner.forget_owner(owner)
            else:
                self._report(owner)

    def _report(self, owner):
        address, incarnation = owner
        self._reported[owner] = boot_time()
        report = self._runner.report(owner, boot_time())
        self._peers.reply(address, incarnation, report)


def run(settings, env):
    """Runs the role; returns an ExitStatus."""
    return Role.run(RunnerRole, settings, env)
