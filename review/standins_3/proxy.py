"""A loopback proxy that partitions a machine for a while."""

import asyncio
import contextlib

__all__ = ["Proxy"]

CHUNK_BYTES = 65_536


class Proxy:
    """Relays connections to ``target``, an (ip, port); silent while it is cut.

    Bytes of either direction take ``delay_s``.
    """

    def __init__(self, target, delay_s=0.0):
        self._target = target
        self._delay_s = delay_s
        self._cut = False
        self._server = None
        self._writers = set()

    async def listen(self, host, port):
        """Begins to accept connections."""
        self._server = await asyncio.start_server(self._relay, host, port)

    def set_cut(self, cut):
        """Cuts all connections, or heals; what was held up by the cut is lost."""
        self._cut = cut
        if not cut:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _relay(self, reader, writer):
        if self._cut:
            self._writers.add(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self._writers |= ends
        try:
            await asyncio.gather(
                self._carry(reader, far_writer), self._carry(far_reader, writer)
            )
        except asyncio.CancelledError:  # the case has ended
            pass
        finally:
            for end in ends:
                end.transport.abort()
            self._writers -= ends

    async def _carry(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                if self._cut:
                    continue
                writer.write(data)
                await writer.drain()
        if not self._cut:
            writer.close()
