"""A relay in this process that counts the bytes between a daemon and a service."""

import asyncio
import contextlib
import threading

__all__ = ["Meters"]

CHUNK_BYTES = 65_536


class _Meter:
    def __init__(self, target):
        self.bytes = 0
        self.connections = 0
        self.address = ""
        host, _, port = target.rpartition(":")
        self._target = host, int(port)

    async def start(self):
        """Listens on a free port."""
        server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return server

    async def _relay(self, reader, writer):
        self.connections += 1
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._carry(reader, far_writer), self._carry(far_reader, writer)
        )

    async def _carry(self, reader, writer):
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                self.bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()
        writer.close()


class Meters:
    """One meter for each daemon, all on a loop in one thread."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._meters = {}

    def open(self, name, target):
        """Returns the address that relays to ``target`` and counts for ``name``."""
        meter = self._meters[name] = _Meter(target)
        asyncio.run_coroutine_threadsafe(meter.start(), self._loop).result()
        return meter.address

    def bytes(self, name):
        """Bytes carried for ``name`` so far, both ways."""
        return self._meters[name].bytes

    def connections(self, name):
        """Connections made for ``name`` so far."""
        return self._meters[name].connections

    def close(self):
        """Stops relaying."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
