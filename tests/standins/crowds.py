"""Crowds of clients that no server can trust, and an ordinary client beside them."""

import contextlib
import json
import os
import socket
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from .calls import call

__all__ = [
    "ATTACKS",
    "IDLE_ATTACKS",
    "MANY_CONNECTIONS",
    "MANY_TASKS",
    "MAX_BODY_BYTES",
    "MIXED",
    "SERVERS",
    "WAITING",
    "Attack",
    "Crowd",
    "Server",
    "call_until",
    "exchange",
    "usage",
]

MAX_BODY_BYTES = 262_144  # of the configuration
SEND_TIMEOUT_S = 60  # only ends a hang
ANSWER_ATTEMPTS = 200
ANSWER_PAUSE_S = 0.1
KIB = 1_024
UNUSED_PORT = 1
MANY_TASKS = {"count": 10_000, "cpu": 1_000}
TOO_LARGE_TASK = {"count": 1, "cpu": 1_000_000}  # no worker can run it, so it waits


@dataclass(frozen=True, slots=True)
class Server:
    """One HTTP server of a daemon; requests of a crowd, and an ordinary one."""

    daemon: str
    name: str  # among the addresses of the daemon
    method: str
    path: str  # of a body, with the number of a client
    host: str = "desk.example"
    ordinary: tuple = ("GET", "/health")

    def head(self, number, *lines):
        """Returns the header of a client's request."""
        path = self.path.format(number=number)
        start = f"{self.method} {path} HTTP/1.1\r\nHost: {self.host}\r\n"
        return (start + "".join(f"{line}\r\n" for line in lines) + "\r\n").encode()


SERVERS = {
    "callers": Server(
        "dispatcher-1",
        "callers",
        "POST",
        "/counter/{number:016x}",
        ordinary=("GET", "/counter/"),
    ),
    "probes": Server(
        "dispatcher-1", "ready", "POST", "/ready", ordinary=("GET", "/ready")
    ),
    "operators": Server(
        "dispatcher-1", "operators", "PUT", "/v1/jobs/{number:016x}?wait_ms=60000"
    ),
    "runner-operators": Server("runner-1", "operators", "POST", "/v1/commands"),
    "heartbeats": Server(
        "runner-1",
        "heartbeats",
        "PUT",
        "/instances/i-{number}",
        ordinary=("DELETE", "/instances/i-none"),
    ),
}


def _announced(server, number, *, bytes_sent, announced, piece):
    yield server.head(number, f"Content-Length: {announced}")
    for start in range(0, bytes_sent, piece):
        yield b" " * min(piece, bytes_sent - start)


def _chunked(server, number, *, chunks, size):
    yield server.head(number, "Transfer-Encoding: chunked")
    chunk = f"{size:x}\r\n".encode() + b" " * size + b"\r\n"
    per_piece = max(1, 4 * KIB // len(chunk))
    for start in range(0, chunks, per_piece):
        yield chunk * min(per_piece, chunks - start)


def _whole(server, number, *, stored=False, step=MANY_TASKS, size=MAX_BODY_BYTES):
    """Yields a job in a body of so many bytes."""
    job = {"steps": [step]}
    if server.name == "operators":
        job |= {"queue": "counter", "transient": not stored}
    else:
        job |= {"bestEffort": not stored}
    lines = f"Content-Length: {size}", "Request-Deadline-Ms: 60000"
    yield server.head(number, *lines)
    yield json.dumps(job).encode().ljust(size)


def _query(server, number, *, arguments):
    """Yields a request with so many arguments whose body never comes."""
    path = server.path.format(number=number)
    query = "&".join(f"{each:x}" for each in range(arguments))
    separator = "&" if "?" in path else "?"
    start = f"{server.method} {path}{separator}{query} HTTP/1.1\r\n"
    yield f"{start}Host: {server.host}\r\nContent-Length: 10\r\n\r\n".encode()


def _fields(server, number, *, fields):
    """Yields a request with so many header fields whose body never comes."""
    lines = (f"a{each:x}:" for each in range(fields))
    yield server.head(number, *lines, "Content-Length: 10")


def _pipelined(server, number, *, requests):
    """Yields whole requests in one piece; their answers are never read."""
    method, path = server.ordinary
    head = f"{method} {path} HTTP/1.1\r\nHost: {server.host}\r\n\r\n"
    yield head.encode() * requests


def _stranger(server, number, *, labels):
    """Yields the heartbeat of a worker that is none."""
    beat = {
        "service": "desk",
        "address": f"127.0.0.1:{UNUSED_PORT}",
        "state": "ready",
        "seq": 1,
        "capacity": {"cpu": 1_000},
        "labels": [f"{each:05}" for each in range(labels)],
    }
    body = json.dumps(beat).encode()
    yield server.head(number, f"Content-Length: {len(body)}") + body


def _faulty(server, number, *, steps):
    """Yields a job of steps that are none."""
    body = b'{"queue":"counter","steps":[' + b",".join([b"0"] * steps) + b"]}"
    yield server.head(number, f"Content-Length: {len(body)}") + body


def _asking(server, number, *, method):
    """Yields a request for a job that nobody has handed in."""
    path = server.path.format(number=number)
    lines = f"Host: {server.host}\r\nRequest-Deadline-Ms: 600000\r\n"
    yield f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()


@dataclass(frozen=True, slots=True)
class Attack:
    """How many clients come, and ``pieces(server, number)`` of what each one sends."""

    clients: int
    pieces: object
    waves: int = 1  # each of so many clients, which leave before the next one comes


_SHORT = {"bytes_sent": MAX_BODY_BYTES - 1, "announced": MAX_BODY_BYTES}
_FAR_OVER = 8 * KIB * KIB
ATTACKS = {
    "short-of-the-end": Attack(200, partial(_announced, **_SHORT, piece=2**20)),
    "piecemeal": Attack(200, partial(_announced, **_SHORT, piece=KIB)),
    "large-chunks": Attack(200, partial(_chunked, chunks=15, size=16 * KIB)),
    "tiny-chunks": Attack(200, partial(_chunked, chunks=8 * KIB, size=1)),
    "announced": Attack(
        40,
        partial(_announced, bytes_sent=_FAR_OVER, announced=_FAR_OVER + 1, piece=2**18),
    ),
    "simply-sent": Attack(40, partial(_chunked, chunks=128, size=64 * KIB)),
    "whole": Attack(60, _whole),
    "whole-waiting": Attack(100, partial(_whole, step=TOO_LARGE_TASK, size=200)),
    "whole-stored": Attack(60, partial(_whole, stored=True)),
    "faulty-steps": Attack(20, partial(_faulty, steps=120_000)),
}
# For processes whose memory, not their descriptors, limits the connections.
MANY_CONNECTIONS = {
    "query-arguments": Attack(300, partial(_query, arguments=990)),
    "header-fields": Attack(300, partial(_fields, fields=2_000)),
    "endless-chunks": Attack(900, partial(_chunked, chunks=32 * KIB, size=1), waves=3),
    "pipelined": Attack(300, partial(_pipelined, requests=4_000)),
    "strangers": Attack(300, partial(_stranger, labels=24_000)),
}
# Requests that wait until the log answers.
WAITING = {
    "states": Attack(300, partial(_asking, method="GET")),
    "cancels": Attack(300, partial(_asking, method="DELETE")),
    "states-left": Attack(300, partial(_asking, method="GET"), waves=75),
    "cancels-left": Attack(300, partial(_asking, method="DELETE"), waves=75),
}


def _mixed(server, number):
    """Yields the request of a client of any of the attacks, in turn."""
    attacks = [*ATTACKS.values(), *MANY_CONNECTIONS.values()]
    yield from attacks[number % len(attacks)].pieces(server, number)


MIXED = Attack(280, _mixed)
# Those that have no task run.
IDLE_ATTACKS = {
    name: attack
    for name, attack in (ATTACKS | MANY_CONNECTIONS | WAITING).items()
    if name not in ("whole", "whole-stored")
}


class Crowd:
    """Clients that send their requests and stay; those that are closed are left.

    A client that can't send for ``timeout_s`` raises TimeoutError.
    """

    def __init__(self, server, address, timeout_s=SEND_TIMEOUT_S):
        self._server = server
        self._timeout_s = timeout_s
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._sockets = []

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.leave()

    def send(self, attack):
        """Sends the requests of an attack, each on a connection of its own."""
        for _ in range(attack.waves):
            self.leave()
            self._send_wave(attack)

    def leave(self):
        """Closes all connections."""
        for client in self._sockets:
            client.close()
        self._sockets.clear()

    def _send_wave(self, attack):
        for number in range(attack.clients):
            client = socket.socket()
            self._sockets.append(client)
            client.settimeout(self._timeout_s)
            with contextlib.suppress(ConnectionError):
                client.connect(self._address)
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                for piece in attack.pieces(self._server, number):
                    client.sendall(piece)


def call_until(server, address, statuses):
    """Calls as an ordinary client, which tries again; returns the status.

    Returns the last one, or None, where many attempts bring none of ``statuses``.
    """
    method, path = server.ordinary
    status = None
    for _ in range(ANSWER_ATTEMPTS):
        with contextlib.suppress(OSError):
            status = call(method, address, path, Host=server.host)[0]
            if status in statuses:
                break
        time.sleep(ANSWER_PAUSE_S)
    return status


def exchange(address, pieces, last=b""):
    """Sends pieces on one connection; returns what comes until ``last`` or its end."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), SEND_TIMEOUT_S) as client:
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for piece in pieces:
            client.sendall(piece)
        received = b""
        while not last or last not in received:
            data = client.recv(4 * KIB)
            if not data:
                break
            received += data
        return received


def usage(pid):
    """Returns the peak of a process's resident memory in MB, and its descriptors."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (peak,) = (line.split()[1] for line in lines if line.startswith("VmHWM:"))
    return int(peak) / KIB, len(os.listdir(f"/proc/{pid}/fd"))
