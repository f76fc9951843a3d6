"""Stand-in of the platform's log service: append-only streams over HTTP."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

import msgspec
import typer
from tornado.httpserver import HTTPServer
from tornado.locks import Condition
from tornado.web import Application

from .serving import (
    FaultsHandler,
    StandInHandler,
    announce_ready,
    bind,
    count_down,
    run_until_terminated,
)

__all__ = ["LogFaults", "LogService", "main"]

DEFAULT_RETENTION_MS = 600_000
DEFAULT_APPEND_MS = 4
DEFAULT_LIMIT = 1_000
MAX_WAIT_MS = 60_000


class LogFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the log service; ``lose_append_answers`` counts down."""

    down: bool = False
    delay_ms: int = 0
    lose_append_answers: int = 0


@dataclass(frozen=True, slots=True)
class _Record:
    """A kept record; ``at`` is in seconds of the monotonic clock."""

    offset: int
    at: float
    data: msgspec.Raw


@dataclass(slots=True)
class _Stream:
    """One stream; ``next_offset`` is the offset that the next append gets."""

    next_offset: int = 0
    records: deque = field(default_factory=deque)
    changed: Condition = field(default_factory=Condition)

    @property
    def first_offset(self):
        """The oldest kept offset, or the next one when none is kept."""
        return self.records[0].offset if self.records else self.next_offset


class LogService:
    """The streams and their faults."""

    def __init__(self, retention_ms):
        self.faults = LogFaults()
        self._retention_s = retention_ms / 1_000
        self._streams = {}

    def set_faults(self, faults):
        """Puts faults in force and wakes the waiting reads."""
        self.faults = faults
        for stream in self._streams.values():
            stream.changed.notify_all()

    def append(self, name, data):
        """Appends a record and returns its offset."""
        stream = self._stream(name)
        record = _Record(stream.next_offset, time.monotonic(), data)
        stream.records.append(record)
        stream.next_offset += 1
        stream.changed.notify_all()
        return record.offset

    def take_lost_answer(self):
        """Says whether the answer to this append is to be lost."""
        due, self.faults = count_down(self.faults, "lose_append_answers")
        return due

    async def wait_for(self, name, offset, wait_s):
        """Waits until a record at or after ``offset`` is kept, or a fault begins."""
        deadline = time.monotonic() + wait_s
        stream = self._stream(name)
        while not self.faults.down and not self._holds(stream, offset):
            left = deadline - time.monotonic()
            if left <= 0:
                return
            await stream.changed.wait(timeout=asyncio.get_running_loop().time() + left)

    def read(self, name, offset, limit):
        """Returns the body of a read answer."""
        stream = self._stream(name)
        now = time.monotonic()
        found = [record for record in stream.records if record.offset >= offset]
        return {
            "first": stream.first_offset,
            "next": stream.next_offset,
            "records": [
                {
                    "offset": record.offset,
                    "age_ms": int((now - record.at) * 1_000),
                    "data": record.data,
                }
                for record in found[:limit]
            ],
        }

    def _holds(self, stream, offset):
        return bool(stream.records) and stream.records[-1].offset >= offset

    def _stream(self, name):
        stream = self._streams.setdefault(name, _Stream())
        oldest = time.monotonic() - self._retention_s
        while stream.records and stream.records[0].at < oldest:
            stream.records.popleft()
        return stream


class _RecordsHandler(StandInHandler):
    """``POST`` and ``GET /streams/{name}/records``."""

    def initialize(self, service, append_ms):
        self._service = service
        self._append_s = append_ms / 1_000

    async def prepare(self):
        await asyncio.sleep(self._service.faults.delay_ms / 1_000)
        if self._service.faults.down:
            self.cut()

    async def post(self, name):
        try:
            data = msgspec.json.decode(self.request.body, type=msgspec.Raw)
        except msgspec.DecodeError as error:
            self.bad_request(str(error))
            return
        await asyncio.sleep(self._append_s)
        if self._service.faults.down:
            self.cut()
            return
        offset = self._service.append(name, data.copy())
        if self._service.take_lost_answer():
            self.cut()
            return
        self.write_json({"offset": offset}, status=201)

    async def get(self, name):
        try:
            offset = int(self.get_query_argument("from", "0"))
            limit = int(self.get_query_argument("limit", str(DEFAULT_LIMIT)))
            wait_ms = int(self.get_query_argument("wait_ms", "0"))
        except ValueError:
            self.bad_request("from, limit and wait_ms are whole numbers")
            return
        wait_s = min(wait_ms, MAX_WAIT_MS) / 1_000
        await self._service.wait_for(name, offset, wait_s)
        if self._service.faults.down:
            self.cut()
            return
        self.write_json(self._service.read(name, offset, limit))


def _application(service, append_ms):
    records = {"service": service, "append_ms": append_ms}
    return Application(
        [
            (r"/streams/([A-Za-z0-9._-]+)/records", _RecordsHandler, records),
            (r"/faults", FaultsHandler, {"service": service}),
        ],
        log_function=lambda handler: None,
    )


def main(
    listen: str = "127.0.0.1:0",
    retention_ms: int = DEFAULT_RETENTION_MS,
    append_ms: int = DEFAULT_APPEND_MS,
):
    """Serves streams until SIGTERM; ``append-ms`` is the time of a synced write."""

    async def serve(terminated):
        service = LogService(retention_ms)
        server = HTTPServer(_application(service, append_ms))
        sockets, address = bind(listen)
        server.add_sockets(sockets)
        announce_ready(address)
        await terminated.wait()

    run_until_terminated(serve)


if __name__ == "__main__":
    typer.run(main)
