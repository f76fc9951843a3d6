"""Stand-in of the network: relays TCP bytes with faults on demand."""

import asyncio
import contextlib
import socket
from typing import Annotated

import msgspec
import typer
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer
from tornado.web import Application

from .serving import (
    FaultsHandler,
    StandInHandler,
    announce_ready,
    bind,
    count_down,
    run_until_terminated,
)

__all__ = ["Proxy", "ProxyFaults", "main"]

CHUNK_BYTES = 65_536
MAX_DELAYED_CHUNKS = 4_096  # per direction of a connection
BACKLOG = 128


class ProxyFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the connections; ``lose_answers`` counts down.

    ``cut`` closes all connections and refuses new ones. A dropped direction loses its
    bytes and its end silently. A lost answer closes its connection when the first
    bytes come back.
    """

    cut: bool = False
    delay_to_server_ms: int = 0
    delay_to_client_ms: int = 0
    drop_to_server: bool = False
    drop_to_client: bool = False
    lose_answers: int = 0


class _Connection:
    """Relays one client's connection both ways until both ends are closed."""

    def __init__(self, proxy, client, server):
        self._proxy = proxy
        self._client = client
        self._server = server
        self._frozen = False

    def freeze(self):
        """Loses everything from now on, for good, and closes nothing."""
        self._frozen = True

    def close(self):
        """Closes both ends."""
        self._client.close()
        self._server.close()

    async def relay(self):
        """Carries bytes both ways."""
        await asyncio.gather(
            self._carry(self._client, self._server, to_server=True),
            self._carry(self._server, self._client, to_server=False),
        )

    async def _carry(self, source, target, to_server):
        queue = asyncio.Queue(MAX_DELAYED_CHUNKS)
        await asyncio.gather(
            self._read(source, queue, to_server),
            self._write(target, queue, to_server),
        )

    async def _read(self, source, queue, to_server):
        loop = asyncio.get_running_loop()
        with contextlib.suppress(StreamClosedError):
            while True:
                chunk = await source.read_bytes(CHUNK_BYTES, partial=True)
                if self._loses_answer(to_server):
                    self.close()
                delay_s = self._proxy.delay_s(to_server)
                await queue.put((loop.time() + delay_s, chunk))
        await queue.put((loop.time() + self._proxy.delay_s(to_server), None))

    def _loses_answer(self, to_server):
        if to_server or self._frozen:
            return False
        return self._proxy.take_lost_answer()

    async def _write(self, target, queue, to_server):
        loop = asyncio.get_running_loop()
        chunk = b""
        while chunk is not None:
            due, chunk = await queue.get()
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            if self._frozen or self._proxy.drops(to_server):
                continue
            with contextlib.suppress(StreamClosedError):
                await self._pass(target, chunk)

    async def _pass(self, target, chunk):
        if chunk is None:
            target.close()
        else:
            await target.write(chunk)


class _Acceptor(TCPServer):
    """Accepts connections until it is stopped, and never again after that."""

    def __init__(self, proxy):
        super().__init__()
        self._proxy = proxy

    async def handle_stream(self, stream, address):
        await self._proxy.relay(stream)


class Proxy:
    """Listens, connects each client to the target, and holds the faults."""

    def __init__(self, target):
        self.faults = ProxyFaults()
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._connections = set()
        self._acceptor = None
        self._listener = None
        self._address = None

    def start(self, listener):
        """Accepts connections from a listening socket."""
        self._address = listener.getsockname()
        self._accept(listener)

    def set_faults(self, faults):
        """Puts faults in force for all connections."""
        was_cut = self.faults.cut
        self.faults = faults
        if faults.cut and not was_cut:
            self._cut()
        if was_cut and not faults.cut:
            self._restore()

    def freeze(self):
        """Freezes the present connections for good; new ones work."""
        for connection in self._connections:
            connection.freeze()

    def delay_s(self, to_server):
        """Delay of one direction in seconds."""
        faults = self.faults
        delay_ms = faults.delay_to_server_ms if to_server else faults.delay_to_client_ms
        return delay_ms / 1_000

    def drops(self, to_server):
        """Whether one direction loses its bytes."""
        faults = self.faults
        return faults.drop_to_server if to_server else faults.drop_to_client

    def take_lost_answer(self):
        """Says whether the connection of this answer is to be closed."""
        due, self.faults = count_down(self.faults, "lose_answers")
        return due

    async def relay(self, stream):
        """Relays one accepted connection."""
        try:
            server = await TCPClient().connect(*self._target)
        except OSError:
            stream.close()
            return
        for end in (stream, server):
            end.set_nodelay(True)
        connection = _Connection(self, stream, server)
        self._connections.add(connection)
        try:
            if self.faults.cut:
                connection.close()
            await connection.relay()
        finally:
            connection.close()
            self._connections.discard(connection)

    def _accept(self, listener):
        self._listener = listener
        self._acceptor = _Acceptor(self)
        self._acceptor.add_socket(listener)

    def _cut(self):
        self._acceptor.stop()
        # A bound socket that does not listen keeps the port and refuses connections.
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(self._address)
        for connection in self._connections:
            connection.close()

    def _restore(self):
        self._listener.setblocking(False)
        self._listener.listen(BACKLOG)
        self._accept(self._listener)


class _FreezeHandler(StandInHandler):
    """``POST /freeze``."""

    def initialize(self, service):
        self._service = service

    def post(self):
        self._service.freeze()
        self.set_status(204)


def main(
    to: Annotated[str, typer.Option()],
    listen: str = "127.0.0.1:0",
    control: str = "127.0.0.1:0",
):
    """Relays connections to the address ``to`` until SIGTERM."""

    async def serve(terminated):
        proxy = Proxy(to)
        (listener,), address = bind(listen)
        proxy.start(listener)
        arguments = {"service": proxy}
        handlers = [
            (r"/faults", FaultsHandler, arguments),
            (r"/freeze", _FreezeHandler, arguments),
        ]
        application = Application(handlers, log_function=lambda handler: None)
        sockets, control_address = bind(control)
        HTTPServer(application).add_sockets(sockets)
        announce_ready(address, control=control_address)
        await terminated.wait()

    run_until_terminated(serve)


if __name__ == "__main__":
    typer.run(main)
