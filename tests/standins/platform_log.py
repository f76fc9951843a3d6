"""Stand-in of the users' platform's log: fenced appends, keyed topics, groups."""

import asyncio
import base64
import struct
import time
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

__all__ = ["main"]

PARTS = 4
REMEMBERED_ANSWERS = 5
SILENCE_S = 30.0


class LogFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the log; ``lose_append_answers`` counts down.

    A lost answer is that of an append that was carried out.
    """

    down: bool = False
    silent: bool = False
    delay_ms: int = 0
    lose_append_answers: int = 0


@dataclass
class Partition:
    """Records as (key, value), and what the producers' epochs allow."""

    records: list = field(default_factory=list)
    first: int = 0  # records before are read no more
    epoch: int = -1
    sequence: int = -1
    answers: dict = field(default_factory=dict)
    changed: Condition = field(default_factory=Condition)

    def append(self, records):
        offset = len(self.records)
        self.records.extend(records)
        if records:
            self.changed.notify_all()
        return {"offset": offset, "end": len(self.records)}

    def append_fenced(self, records, epoch, sequence):
        """Returns (status, answer) by the log's rules on epochs and sequences."""
        if epoch < self.epoch:
            return 409, {"reason": "fenced", "epoch": self.epoch}
        if epoch > self.epoch:
            self.epoch, self.sequence, self.answers = epoch, None, {}
        if not records:
            return 200, {"offset": len(self.records), "end": len(self.records)}
        if sequence in self.answers:
            return 200, self.answers[sequence]
        if self.sequence is not None and sequence != self.sequence + 1:
            return 409, {"reason": "seq", "expected": self.sequence + 1}
        self.sequence = sequence
        answer = self.append(records)
        self.answers[sequence] = answer
        while len(self.answers) > REMEMBERED_ANSWERS:
            del self.answers[min(self.answers)]
        return 200, answer

    def newest(self):
        newest = {}
        for offset, (key, value) in enumerate(self.records):
            newest[key] = (value, offset)
        return {key: row for key, row in newest.items() if row[0]}


@dataclass
class Group:
    """Members by the time of their last join; partitions are dealt round."""

    members: dict = field(default_factory=dict)
    generation: int = 0
    turn: int = 0

    def join(self, member, lifetime_s):
        now = time.monotonic()
        before = sorted(self.members)
        self.members[member] = now + lifetime_s
        self.expire(now)
        if sorted(self.members) != before:
            self.generation += 1

    def rebalance(self):
        """Deals all partitions anew."""
        self.generation += 1
        self.turn += 1

    def expire(self, now):
        for member, until in list(self.members.items()):
            if until < now:
                del self.members[member]

    def postpone(self, seconds):
        """Lets all members stay for longer, as the log has been down meanwhile."""
        for member in self.members:
            self.members[member] += seconds

    def leave(self, member):
        if self.members.pop(member, None):
            self.generation += 1

    def parts(self, member):
        names = sorted(self.members)
        place = (names.index(member) + self.turn) % len(names)
        return [number for number in range(PARTS) if number % len(names) == place]


class Log:
    """All topics and groups."""

    def __init__(self):
        self.topics = {}
        self.groups = {}
        self.faults = LogFaults()
        self.down_since = 0.0

    def set_faults(self, faults):
        now = time.monotonic()
        if faults.down and not self.faults.down:
            self.down_since = now
        if self.faults.down and not faults.down:
            for group in self.groups.values():
                group.postpone(now - self.down_since)
        self.faults = faults

    def partition(self, topic, part):
        return self.topics.setdefault((topic, int(part)), Partition())


class Handler(StandInHandler):
    def initialize(self, log):
        self.log = log

    async def prepare(self):
        faults = self.log.faults
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.silent:
            await asyncio.sleep(SILENCE_S)
            self.cut()
        elif faults.down:
            self.write_json({}, 503)

    def partition(self):
        return self.log.partition(self.get_argument("topic"), self.get_argument("part"))


class Append(Handler):
    def post(self):
        status, answer = self._append(_records(self.request.body))
        lost, self.log.faults = count_down(self.log.faults, "lose_append_answers")
        if lost:
            self.cut()
        else:
            self.write_json(answer, status)

    def _append(self, records):
        partition = self.partition()
        at = self.get_argument("at", None)
        if at is not None and int(at) != len(partition.records):
            return 412, {"end": len(partition.records)}
        epoch = self.get_argument("epoch", None)
        if epoch is None:
            return 200, partition.append(records)
        sequence = int(self.get_argument("seq"))
        return partition.append_fenced(records, int(epoch), sequence)


class Newest(Handler):
    def get(self):
        partition = self.partition()
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in partition.newest().items()
        ]
        self.write_json(
            {"items": items, "hasMore": False, "end": len(partition.records)}
        )


class Read(Handler):
    async def get(self):
        partition = self.partition()
        start = int(self.get_argument("from"))
        wait_s = int(self.get_argument("waitMs", "0")) / 1000
        if start >= len(partition.records) and wait_s:
            await partition.changed.wait(timeout=time.time() + wait_s)
        if start < partition.first:
            self.write_json({"first": partition.first}, 410)
            return
        rows = [_frame(key, value) for key, value in partition.records[start:]]
        head = struct.pack(">QQ", len(partition.records), partition.first)
        self.finish(head + b"".join(rows))


class Join(Handler):
    def post(self):
        body = msgspec.json.decode(self.request.body)
        group = self.log.groups.setdefault(body["group"], Group())
        group.join(body["member"], body["ttlMs"] / 1000)
        parts = group.parts(body["member"])
        rows = [[body["topics"][0], number, 0] for number in parts]
        self.write_json({"generation": group.generation, "parts": rows})


class Leave(Handler):
    def post(self):
        body = msgspec.json.decode(self.request.body)
        self.log.groups.setdefault(body["group"], Group()).leave(body["member"])
        self.write_json({})


class Forget(StandInHandler):
    """Not the platform's: drops all records but the newest of each key."""

    def initialize(self, log):
        self.log = log

    def post(self):
        for partition in self.log.topics.values():
            partition.first = len(partition.records)
        self.write_json({})


class Rebalance(StandInHandler):
    """Not the platform's: deals the partitions of all groups anew."""

    def initialize(self, log):
        self.log = log

    def post(self):
        for group in self.log.groups.values():
            group.rebalance()
        self.write_json({})


def _records(data):
    rows, position = [], 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        content = data[position + 4 : position + 4 + length]
        position += 4 + length
        end = 1 + content[0]
        rows.append((content[1:end].decode(), content[end:]))
    return rows


def _frame(key, value):
    content = bytes([len(key.encode())]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


def main(listen: str = "127.0.0.1:0"):
    """Serves the log on ``listen``."""

    async def serve(terminated):
        log = Log()
        routes = [
            ("/log-append", Append),
            ("/log-newest", Newest),
            ("/log-read", Read),
            ("/log-join", Join),
            ("/log-leave", Leave),
            ("/forget", Forget),
            ("/rebalance", Rebalance),
        ]
        handlers = [(path, kind, {"log": log}) for path, kind in routes]
        handlers.append(("/faults", FaultsHandler, {"service": log}))
        application = Application(handlers, log_function=lambda handler: None)
        sockets, address = bind(listen)
        HTTPServer(application).add_sockets(sockets)
        announce_ready(address)
        await terminated.wait()

    run_until_terminated(serve)


if __name__ == "__main__":
    typer.run(main)
