"""What every stand-in process shares: listening, the ready line, and stopping."""

import asyncio
import contextlib
import json
import signal

import msgspec
from tornado.netutil import bind_sockets
from tornado.web import RequestHandler

__all__ = [
    "FaultsHandler",
    "StandInHandler",
    "announce_ready",
    "bind",
    "count_down",
    "run_until_terminated",
]


def bind(listen):
    """Binds ``IP:PORT`` and returns the sockets and the bound address."""
    host, _, port = listen.rpartition(":")
    sockets = bind_sockets(int(port), address=host, reuse_port=False)
    bound_host, bound_port = sockets[0].getsockname()[:2]
    return sockets, f"{bound_host}:{bound_port}"


def announce_ready(address, **others):
    """Prints the line that tells the parent process where this one listens."""
    print(json.dumps({"ready": True, "address": address, **others}), flush=True)


def count_down(faults, name):
    """Returns whether the fault ``name`` is due once more, and the faults after it."""
    left = getattr(faults, name)
    if left <= 0:
        return False, faults
    return True, msgspec.structs.replace(faults, **{name: left - 1})


def run_until_terminated(main):
    """Runs the coroutine function ``main`` with an event that SIGTERM sets."""

    async def run():
        terminated = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, terminated.set)
        await main(terminated)

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run())


class StandInHandler(RequestHandler):
    """Base of the handlers: JSON answers, and connections cut without one."""

    def write_json(self, value, status=200):
        """Answers with a value encoded as JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))

    def cut(self):
        """Closes the connection without an answer."""
        if not self._finished:
            self.detach().close()

    def bad_request(self, message):
        """Answers 400 with the fault of the request."""
        self.write_json({"error": message}, status=400)


class FaultsHandler(StandInHandler):
    """``GET`` and ``PUT /faults``: the faults of a ``service`` with ``faults``."""

    def initialize(self, service):
        self._service = service

    def get(self):
        self.write_json(self._service.faults)

    def put(self):
        kind = type(self._service.faults)
        try:
            faults = msgspec.json.decode(self.request.body, type=kind)
        except msgspec.DecodeError as error:
            self.bad_request(str(error))
            return
        self._service.set_faults(faults)
        self.write_json(faults)
