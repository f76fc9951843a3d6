"""Base of all roles: logs, metrics, signals and background work of a process."""

import asyncio
import gc
import io
import signal

from banyanwheel_core.charts import Chart
from banyanwheel_platform.http_server import HttpServer
from banyanwheel_platform.request_budget import MachineLimits, RequestBudget

from .clocks import boot_time
from .event_log import EventLog
from .http import answer
from .logs import JsonLines, LossyStream
from .metrics import Metrics
from .operator_server import OperatorServer
from .status import ExitStatus

__all__ = ["DISPATCHER", "RUNNER", "Role"]

DISPATCHER = "dispatcher"
RUNNER = "runner"
# Allocations between collections; full ones take tens of ms with many jobs.
GC_THRESHOLD = 50_000
CLIENT_CHECK_INTERVAL_S = 1.0  # for timeouts of two seconds and more
RERUN_DELAY_S = 0.2  # between runs of work that ends with errors


class Role:
    """One process of a role; subclasses implement ``serve()``."""

    def __init__(self, settings, env, name):
        self.settings = settings
        self.metrics = Metrics(settings.process.name, name)
        self.event_log = EventLog(self.metrics, boot_time)
        process = settings.process
        self.limits = MachineLimits.from_settings(
            process.memory_mb, process.max_descriptors
        )
        self.request_budget = RequestBudget(self.limits, self._report_refusal)
        self._name = name
        self._env = env
        self._tasks = set()
        self._chart = Chart.load("process")
        self._state = self._chart.initial
        self._stop_requested = asyncio.Event()

    @staticmethod
    def run(role, settings, env):
        """Runs the class ``role`` until it stops; returns an ExitStatus."""
        # What has been loaded stays, and needs no search for garbage.
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        gc.enable()
        stream = _log_stream(env.stdout)
        lines = JsonLines(stream)
        lines.start()
        try:
            asyncio.run(_run(role, settings, env, stream))
        finally:
            lines.stop()
        return ExitStatus.OK

    def _report_refusal(self, reason, phase):
        budget = self.request_budget
        self.event_log(
            "client:refused",
            reason=reason,
            phase=phase,
            connections=budget.connections,
            held_bytes=budget.charged,
        )
        self.event_log.count("banyanwheel.refusals", reason)

    @property
    def stopping(self):
        """Whether the process is shutting down or has shut down."""
        return self._state in ("stopping", "stopped")

    def _apply_event(self, event):
        self._state = self._chart.next(self._state, event)

    def spawn(self, coroutine):
        """Runs a coroutine in the background as a task; logs its exception."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.event_log.fault(task.exception())

    async def keep_running(self, action):
        """Runs ``action()`` until it returns; runs it again after an error, logged.

        The process can't do without its work.
        """
        while True:
            try:
                return await action()
            except Exception as error:
                self.event_log.fault(error, action=action.__qualname__)
                await asyncio.sleep(RERUN_DELAY_S)

    async def call_every(self, seconds, action):
        """Calls ``action()`` every ``seconds`` until cancelled; logs its exceptions."""
        while True:
            try:
                action()
            except Exception as error:
                self.event_log.fault(error, action=action.__qualname__)
            await asyncio.sleep(seconds)

    async def wait_for_stop(self):
        """Waits for SIGTERM or SIGINT, then enters the state ``stopping``."""
        await self._stop_requested.wait()
        self._apply_event("stop")
        self.event_log("process:stopping", role=self._name)

    def listen_for_probes(self, address, is_ready):
        """Answers probes at ``address``: 200 while ``is_ready()``, else 503."""

        def handle(request):
            answer(request, 200 if is_ready() else 503)

        HttpServer(handle, self.request_budget).listen(address.host, address.port)

    def listen_for_operators(self, **services):
        """Starts the operators' HTTP server if the settings have an address for it.

        ``services`` are keyword arguments of :class:`OperatorServer`.
        """
        address = self.settings.process.operators
        if address is not None:
            OperatorServer(
                self.metrics, self.event_log, budget=self.request_budget, **services
            ).listen(address)

    def start(self):
        """Installs the signal handlers and logs the start.

        Signals that were held while the process started are handled next.
        """
        self._apply_event("serve")
        loop = asyncio.get_running_loop()
        handlers = {
            signal.SIGTERM: self._stop_requested.set,
            signal.SIGINT: self._stop_requested.set,
            signal.SIGHUP: self._ignore_reload,
        }
        for number, handler in handlers.items():
            loop.add_signal_handler(number, handler)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, handlers)
        budget = self.request_budget
        self.metrics.gauge("banyanwheel.clients", lambda: budget.connections)
        self.metrics.gauge("banyanwheel.clients.bytes", lambda: budget.charged)
        self.spawn(self.call_every(CLIENT_CHECK_INTERVAL_S, self._close_expired))
        self.event_log(
            "process:started", role=self._name, process=self.settings.process.name
        )

    def _close_expired(self):
        """Closes the connections whose clients have taken too long."""
        for account in self.request_budget.expire(asyncio.get_running_loop().time()):
            account.close()

    def _ignore_reload(self):
        # The settings only hold addresses and figures of the platform, which are read
        # at startup.
        self.event_log("process:reload-ignored", role=self._name)

    async def end(self):
        """Cancels the background work and logs the stop."""
        for task in list(self._tasks):
            task.cancel()
        self._apply_event("end")
        self.event_log("process:stopped", role=self._name)


def _log_stream(stdout):
    """Returns a stream that drops lines when writing would block.

    ``stdout`` itself where it has no file descriptor.
    """
    try:
        return LossyStream(stdout.fileno())
    except (AttributeError, io.UnsupportedOperation):
        return stdout


async def _run(role, settings, env, stream):
    process = role(settings, env)
    process.metrics.gauge(
        "banyanwheel.log.lines.lost", lambda: getattr(stream, "lost", 0)
    )
    process.start()
    try:
        await process.serve()
    finally:
        await process.end()
