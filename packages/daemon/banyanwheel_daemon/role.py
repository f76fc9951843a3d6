"""What the processes of all roles share: logs, metrics, signals, background work."""

import asyncio
import gc
import io
import signal

from tornado.httpserver import HTTPServer

from banyanwheel_core.charts import Chart

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
GC_THRESHOLD = 50_000  # allocations; full collections take tens of ms with many jobs


class Role:
    """One process, from its start to its end."""

    def __init__(self, settings, env, name):
        self.settings = settings
        self.metrics = Metrics(settings.process.name, name)
        self.event_log = EventLog(self.metrics, boot_time)
        self._name = name
        self._env = env
        self._tasks = set()
        self._chart = Chart.load("process")
        self._state = self._chart.initial
        self._stop_asked = asyncio.Event()

    @staticmethod
    def run(role, settings, env):
        """Runs a role's class until it is asked to stop; returns an ExitStatus."""
        gc.set_threshold(GC_THRESHOLD)
        stream = _log_stream(env.stdout)
        lines = JsonLines(stream)
        lines.start()
        try:
            asyncio.run(_run(role, settings, env, stream))
        finally:
            lines.stop()
        return ExitStatus.OK

    @property
    def stopping(self):
        """Whether the process has been asked to stop."""
        return self._state in ("stopping", "stopped")

    def _step(self, event):
        self._state = self._chart.next(self._state, event)

    def spawn(self, coroutine):
        """Runs a coroutine in the background; a failure of it is logged."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.event_log("process:fault", fault=repr(task.exception()))
            self.event_log.count("banyanwheel.faults", type(task.exception()).__name__)

    async def every(self, seconds, action):
        """Calls ``action()`` at this interval; a failure of it is logged."""
        while True:
            try:
                action()
            except Exception as error:
                self.event_log(
                    "process:fault", fault=repr(error), action=action.__name__
                )
                self.event_log.count("banyanwheel.faults", type(error).__name__)
            await asyncio.sleep(seconds)

    async def stop_asked(self):
        """Waits for SIGTERM or SIGINT."""
        await self._stop_asked.wait()
        self._step("stop")
        self.event_log("process:stopping", role=self._name)

    def listen_ready(self, address, is_ready):
        """Answers 200 at ``address`` while ``is_ready()``, else 503."""

        def handle(request):
            answer(request, 200 if is_ready() else 503)

        HTTPServer(handle).listen(address.port, address.host)

    def listen_operators(self, **services):
        """Serves operators where the settings say, if anywhere."""
        address = self.settings.process.operators
        if address is not None:
            OperatorServer(self.metrics, self.event_log, **services).listen(address)

    def start(self):
        """Logs the start and takes the signals over."""
        self._step("serve")
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.event_log(
            "process:started", role=self._name, process=self.settings.process.name
        )

    def _reload(self):
        # The settings hold addresses and the platform's figures only; a process
        # takes them at its start.
        self.event_log("process:reload-ignored", role=self._name)

    async def end(self):
        """Ends the background work."""
        for task in list(self._tasks):
            task.cancel()
        self._step("end")
        self.event_log("process:stopped", role=self._name)


def _log_stream(stdout):
    """Returns a stream that drops lines where writing would block."""
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
