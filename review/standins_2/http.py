"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import json
from urllib.parse import parse_qsl

__all__ = ["CUT", "HANG", "NoAnswer", "Request", "Server", "call", "serve"]

CUT = object()  # the connection is closed without an answer
HANG = object()  # the connection stays open without an answer
REASONS = {200: "OK"}


class NoAnswer(Exception):
    """A request that got no whole answer."""


class Request:
    """One request: ``json`` is its decoded body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(parse_qsl(query))
        self.headers = headers
        self.body = body

    @property
    def json(self):
        """The body, decoded."""
        return json.loads(self.body or b"{}")


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return lines[0], headers, body


class Server:
    """A server and its open connections."""

    def __init__(self, handle):
        self._handle = handle
        self._writers = set()
        self._server = None

    async def listen(self, host, port):
        """Begins to listen."""
        self._server = await asyncio.start_server(
            self._connected, host, port, limit=2**22
        )

    def close(self):
        """Takes no more connections, and resets those that are open."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _connected(self, reader, writer):
        self._writers.add(writer)
        try:
            await _serve_connection(reader, writer, self._handle)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def serve(host, port, handle):
    """Serves ``await handle(request)``: (status, object or bytes), CUT or HANG."""
    server = Server(handle)
    await server.listen(host, port)
    return server


async def _serve_connection(reader, writer, handle):
    while True:
        line, headers, body = await _read_head(reader)
        method, target, _ = line.split(" ", 2)
        answer = await handle(Request(method, target, headers, body))
        if answer is CUT:
            return
        if answer is HANG:
            await reader.read()
            return
        _write_answer(writer, *answer)
        await writer.drain()


def _write_answer(writer, status, content):
    kind = "application/octet-stream"
    if not isinstance(content, bytes):
        kind, content = "application/json", json.dumps(content).encode()
    writer.write(
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
        f"Content-Type: {kind}\r\nContent-Length: {len(content)}\r\n\r\n".encode()
        + content
    )


async def call(
    address, method, path, body=None, headers=None, timeout_s=2.0, on_open=None
):
    """Sends a request on a connection of its own; returns (status, object).

    ``on_open(writer)`` gets the connection. Raises NoAnswer.
    """
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    fields = {
        "Host": address,
        "Content-Type": "application/json",
        "Content-Length": len(content),
    } | (headers or {})
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            if on_open is not None:
                on_open(writer)
            writer.write("\r\n".join([*lines, "", ""]).encode() + content)
            line, _, answer = await _read_head(reader)
        return int(line.split(" ")[1]), json.loads(answer or b"{}")
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        raise NoAnswer(type(error).__name__) from error
    finally:
        if writer is not None:
            writer.close()
