"""A process's way from its start to its end, by the chart ``process``."""

import asyncio
import json
import signal

from banyanwheel_core.charts import Chart

__all__ = ["Lifecycle"]


class Lifecycle:
    """Follows the chart, and waits for the signal to stop."""

    def __init__(self):
        self._chart = Chart.load("process")
        self._state = self._chart.initial
        self._asked = asyncio.Event()

    @property
    def serving(self):
        """Whether new work is welcome."""
        return self._state == "serving"

    def ready(self, env, name, web, address):
        """Says on standard output that the process listens, and where."""
        self._state = self._chart.next(self._state, "ready")
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._asked.set)
        line = {"ready": True, "name": name, "http": web.addresses[0]}
        print(json.dumps({**line, "address": address}), file=env.stdout, flush=True)

    async def stop_asked(self):
        """Waits for SIGTERM or SIGINT."""
        await self._asked.wait()

    def stopping(self):
        """Notes that new work is refused from now on."""
        self._state = self._chart.next(self._state, "stop")

    def stopped(self):
        """Notes that nothing is in progress any more."""
        self._state = self._chart.next(self._state, "finish")
