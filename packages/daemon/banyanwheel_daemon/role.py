"""What the processes of all roles share: logs, metrics, signals, background work."""

import asyncio
import gc
import io
import signal

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine

from .clocks import boot_time
from .logs import JsonLines, LossyStream
from .metrics import Metrics
from .notes import Notes
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
        self.note = Notes(self.metrics, boot_time)
        self._name = name
        self._env = env
        self._tasks = set()
        self._stop_asked = asyncio.Event()

    @staticmethod
    def run(role, settings, env):
        """Runs a role's class until it is asked to stop; returns an ExitStatus."""
        gc.set_threshold(GC_THRESHOLD)
        lines = JsonLines(_log_stream(env.stdout))
        lines.start()
        try:
            asyncio.run(_run(role, settings, env))
        finally:
            lines.stop()
        return ExitStatus.OK

    @property
    def stopping(self):
        """Whether the process has been asked to stop."""
        return self._stop_asked.is_set()

    def spawn(self, coroutine):
        """Runs a coroutine in the background; a failure of it is logged."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.note("process:fault", fault=repr(task.exception()))
            self.note.count("banyanwheel.faults", type(task.exception()).__name__)

    async def every(self, seconds, action):
        """Calls ``action()`` at this interval; a failure of it is logged."""
        while True:
            try:
                action()
            except Exception as error:
                self.note("process:fault", fault=repr(error), action=action.__name__)
                self.note.count("banyanwheel.faults", type(error).__name__)
            await asyncio.sleep(seconds)

    async def stop_asked(self):
        """Waits for SIGTERM or SIGINT."""
        await self._stop_asked.wait()
        self.note("process:stopping", role=self._name)

    def listen_ready(self, address, is_ready):
        """Answers 200 at ``address`` while ``is_ready()``, else 503."""

        def handle(request):
            if is_ready():
                _answer(request, 200, "OK")
            else:
                _answer(request, 503, "Service Unavailable")

        HTTPServer(handle).listen(address.port, address.host)

    def listen_metrics(self):
        """Serves the metrics where the settings say."""
        address = self.settings.process.metrics
        if address is None:
            return

        def handle(request):
            _answer(request, 200, "OK", self.metrics.render(), Metrics.content_type)

        HTTPServer(handle).listen(address.port, address.host)

    def start(self):
        """Logs the start and takes the signals over."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.note(
            "process:started", role=self._name, process=self.settings.process.name
        )
        self.listen_metrics()

    def _reload(self):
        # The settings hold addresses and the platform's figures only; a process
        # takes them at its start.
        self.note("process:reload-ignored", role=self._name)

    async def end(self):
        """Ends the background work."""
        for task in list(self._tasks):
            task.cancel()
        self.note("process:stopped", role=self._name)


def _log_stream(stdout):
    """Returns a stream that drops lines where writing would block."""
    try:
        return LossyStream(stdout.fileno())
    except (AttributeError, io.UnsupportedOperation):
        return stdout


async def _run(role, settings, env):
    process = role(settings, env)
    process.start()
    try:
        await process.serve()
    finally:
        await process.end()


def _answer(request, code, reason, body=b"", content_type="text/plain"):
    headers = HTTPHeaders(
        {"Content-Type": content_type, "Content-Length": str(len(body))}
    )
    request.connection.write_headers(ResponseStartLine("", code, reason), headers, body)
    request.connection.finish()
