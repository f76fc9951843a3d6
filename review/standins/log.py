"""Stand-in of the platform's store, in its form of a log."""

import asyncio
import base64
import json
import struct
import time
from dataclasses import dataclass, field

from .http import JSON, listen, send

__all__ = ["Log"]

ANSWER_S = 0.004
APPEND_S = 0.002
REMEMBERED_ANSWERS = 5
PAGE_ITEMS = 500
BYTES = "application/octet-stream"


@dataclass
class _Partition:
    """Records as (key, value), and what the epochs of a producer allow."""

    records: list = field(default_factory=list)
    epoch: int = -1
    sequence: int | None = None
    answers: dict = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, records):
        """Appends records and returns the answer."""
        offset = len(self.records)
        self.records.extend(records)
        if records:
            self.changed.set()
            self.changed = asyncio.Event()
        return {"offset": offset, "end": len(self.records)}

    def append_fenced(self, records, epoch, sequence):
        """Returns (status, answer) by the rules on epochs and sequences."""
        if epoch < self.epoch:
            return 409, {"reason": "fenced"}
        if epoch > self.epoch:
            self.epoch, self.sequence, self.answers = epoch, None, {}
        if not records:
            return 200, {"offset": len(self.records), "end": len(self.records)}
        if sequence in self.answers:
            return 200, self.answers[sequence]
        if self.sequence is not None and sequence != self.sequence + 1:
            return 409, {"reason": "seq", "expected": self.sequence + 1}
        self.sequence = sequence
        answer = self.answers[sequence] = self.append(records)
        while len(self.answers) > REMEMBERED_ANSWERS:
            del self.answers[min(self.answers)]
        return 200, answer

    def newest(self):
        """Returns (key, value, offset) of the newest record of each key, by key."""
        rows = {}
        for offset, (key, value) in enumerate(self.records):
            rows[key] = (value, offset)
        return sorted((key, *row) for key, row in rows.items() if row[0])


@dataclass
class _Group:
    """Members, and the partitions that each of them holds.

    A partition that is dealt to another member passes on when its holder joins with
    the generation of the change, leaves, or has been silent for its lifetime.
    """

    parts: int
    expires: dict = field(default_factory=dict)  # time by member
    seen: dict = field(default_factory=dict)  # generation that a member joined with
    generation: int = 0
    target: dict = field(default_factory=dict)  # member by partition
    holder: dict = field(default_factory=dict)

    def join(self, member, lifetime_s, generation):
        """Keeps a member in the group and returns its partitions."""
        now = time.monotonic()
        self.expire(now)
        new = member not in self.expires
        self.expires[member] = now + lifetime_s
        self.seen[member] = generation
        if new:
            self.deal()
        self.pass_on()
        return [
            part
            for part, name in self.target.items()
            if name == member and self.holder.get(part) == member
        ]

    def leave(self, member):
        """Ends a membership."""
        if self.expires.pop(member, None) is not None:
            self.deal()
            self.pass_on()

    def expire(self, now):
        """Drops the members that were silent for too long."""
        late = [name for name, until in self.expires.items() if until < now]
        for name in late:
            del self.expires[name]
        if late:
            self.deal()
            self.pass_on()

    def deal(self):
        """Deals the partitions evenly, moving as few as possible."""
        self.generation += 1
        names = sorted(self.expires)
        kept = {name: [] for name in names}
        for part in range(self.parts):
            if self.target.get(part) in kept:
                kept[self.target[part]].append(part)
        if not names:
            self.target = {}
            return
        most = -(-self.parts // len(names))
        spare = [
            part for part in range(self.parts) if self.target.get(part) not in kept
        ]
        for name in names:
            while len(kept[name]) > most:
                spare.append(kept[name].pop())
        for part in spare:
            least = min(names, key=lambda name: len(kept[name]))
            kept[least].append(part)
        self.target = {part: name for name, mine in kept.items() for part in mine}

    def pass_on(self):
        """Passes on the partitions that their holders have given up."""
        for part, name in self.target.items():
            holder = self.holder.get(part)
            if holder == name:
                continue
            gone = holder not in self.expires
            if gone or self.seen.get(holder, 0) >= self.generation:
                self.holder[part] = name


class Log:
    """All topics and groups."""

    def __init__(self, parts):
        self._parts = parts
        self._topics = {}
        self._groups = {}
        self._server = None
        self.slow_factor = 1  # of the time that an answer takes

    def serve(self, address):
        """Listens for the calls of the system."""

        def handle(request):
            asyncio.ensure_future(self._handle(request))

        self._server = listen(handle, address)

    def stop(self):
        """Takes no further connection."""
        if self._server is not None:
            self._server.stop()

    def put(self, topic, key, value):
        """Writes a record, as the operator does."""
        self._partition(topic, 0).append([(key, json.dumps(value).encode())])

    def _partition(self, topic, part):
        return self._topics.setdefault((topic, int(part)), _Partition())

    async def _handle(self, request):
        code, body, kind = await self._carry_out(request)
        await asyncio.sleep(ANSWER_S * self.slow_factor)
        send(request, code, body, kind)

    async def _carry_out(self, request):
        """Returns the status, the body and its type."""
        match request.path:
            case "/log-append":
                return *await self._append(request), JSON
            case "/log-newest":
                return 200, self._newest(request), JSON
            case "/log-read":
                return 200, await self._read(request), BYTES
            case "/log-join":
                return 200, self._join(json.loads(request.body)), JSON
            case "/log-leave":
                body = json.loads(request.body)
                self._group(body["group"]).leave(body["member"])
                return 200, {}, JSON
        return 404, {}, JSON

    def _group(self, name):
        return self._groups.setdefault(name, _Group(self._parts))

    async def _append(self, request):
        query = _query(request)
        partition = self._partition(query["topic"], query["part"])
        await asyncio.sleep(APPEND_S)
        records = _records(request.body)
        if "at" in query and int(query["at"]) != len(partition.records):
            return 412, {"end": len(partition.records)}
        if "epoch" in query:
            return partition.append_fenced(
                records, int(query["epoch"]), int(query["seq"])
            )
        return 200, partition.append(records)

    def _newest(self, request):
        query = _query(request)
        partition = self._partition(query["topic"], query["part"])
        rows = [row for row in partition.newest() if row[0] > query.get("after", "")]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, value, offset in rows[:PAGE_ITEMS]
        ]
        answer = {"items": items, "end": len(partition.records)}
        if len(rows) > PAGE_ITEMS:
            answer["hasMore"] = True
        return answer

    async def _read(self, request):
        query = _query(request)
        partition = self._partition(query["topic"], query["part"])
        start = int(query["from"])
        if start >= len(partition.records):
            wait_s = int(query.get("waitMs", "0")) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    await partition.changed.wait()
            except TimeoutError:
                pass
        rows = [_frame(key, value) for key, value in partition.records[start:]]
        head = struct.pack(">QQ", len(partition.records), 0)
        return head + b"".join(rows)

    def _join(self, body):
        group = self._group(body["group"])
        mine = group.join(body["member"], body["ttlMs"] / 1000, body["generation"])
        rows = [[body["topics"][0], part, 0] for part in mine]
        return {"generation": group.generation, "parts": rows}


def _query(request):
    return {name: values[0].decode() for name, values in request.arguments.items()}


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
