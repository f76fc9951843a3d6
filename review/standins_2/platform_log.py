"""Stand-in of the platform's store, after the page PROTOCOL.

Appends with epochs and sequences, keyed topics, held reads, and groups whose partitions
move only once their former holder has joined under the new generation, left or lapsed.
While the store is down, the times of the members pause.
"""

import asyncio
import base64
import struct
import time
from dataclasses import dataclass, field

from .http import serve

__all__ = ["PlatformLog"]

REMEMBERED = 5  # appends of a producer whose repeats get their first answer again
APPEND_S = 0.002
PAGE = 500


@dataclass
class _Producer:
    epoch: int = -1
    sequence: int | None = None
    answers: dict = field(default_factory=dict)


@dataclass
class _Partition:
    contents: list = field(default_factory=list)
    producers: dict = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    def store(self, contents):
        offset = len(self.contents)
        self.contents.extend(contents)
        if contents:
            self.changed.set()
            self.changed = asyncio.Event()
        return {"offset": offset, "end": len(self.contents)}

    def append(self, query, contents):
        if "at" in query and int(query["at"]) != len(self.contents):
            return 412, {"end": len(self.contents)}
        if "producer" not in query:
            return 200, self.store(contents)
        return self._append_fenced(
            self.producers.setdefault(query["producer"], _Producer()),
            int(query["epoch"]),
            int(query["seq"]),
            contents,
        )

    def _append_fenced(self, producer, epoch, sequence, contents):
        if epoch < producer.epoch:
            return 409, {"reason": "fenced", "epoch": producer.epoch}
        if epoch > producer.epoch:
            producer.epoch, producer.sequence, producer.answers = epoch, None, {}
        if not contents:
            return 200, {"offset": len(self.contents), "end": len(self.contents)}
        if sequence in producer.answers:
            return 200, producer.answers[sequence]
        expected = sequence if producer.sequence is None else producer.sequence + 1
        if sequence != expected:
            return 409, {"reason": "seq", "expected": expected}
        producer.sequence = sequence
        producer.answers[sequence] = answer = self.store(contents)
        for old in sorted(producer.answers)[:-REMEMBERED]:
            del producer.answers[old]
        return 200, answer

    def newest(self):
        newest = {}
        for offset, content in enumerate(self.contents):
            end = 1 + content[0]
            newest[content[1:end].decode()] = (content[end:], offset)
        return {key: row for key, row in newest.items() if row[0]}


@dataclass
class _Group:
    """A group; ``holder`` keeps a partition until it has given it up."""

    parts: int
    generation: int = 0
    members: dict = field(default_factory=dict)  # expiry by name
    target: dict = field(default_factory=dict)
    holder: dict = field(default_factory=dict)
    moved_at: dict = field(default_factory=dict)  # generation of the last new target

    def deal(self):
        self.generation += 1
        names = sorted(self.members)
        for part in range(self.parts):
            target = names[part % len(names)] if names else None
            if target != self.target.get(part):
                self.target[part] = target
                self.moved_at[part] = self.generation

    def drop(self, name):
        if self.members.pop(name, None) is None:
            return
        for part, holder in list(self.holder.items()):
            if holder == name:
                del self.holder[part]
        self.deal()

    def expire(self, now):
        for name in [name for name, until in self.members.items() if until < now]:
            self.drop(name)

    def join(self, name, lifetime_s, generation, now):
        known = name in self.members
        self.members[name] = now + lifetime_s
        if not known:
            self.deal()
        for part, holder in list(self.holder.items()):
            moved = self.target[part] != name and generation >= self.moved_at[part]
            if holder == name and moved:
                del self.holder[part]
        mine = [
            part
            for part, target in self.target.items()
            if target == name and self.holder.get(part, name) == name
        ]
        self.holder.update(dict.fromkeys(mine, name))
        return mine


class PlatformLog:
    """The store. ``down`` refuses every call with 503: nothing is done then."""

    def __init__(self, record, parts=32):
        self._record = record
        self._parts = parts
        self._partitions = {}
        self._groups = {}
        self._down_since = None
        self.appends = []  # (time, topic, part, epoch, sequence, status) of records

    def last_to_join(self):
        """Returns the member that got partitions by the last change of a group."""
        for group in self._groups.values():
            for part, generation in group.moved_at.items():
                if generation == group.generation:
                    return group.target[part]
        return None

    async def listen(self, host, port):
        """Begins to serve."""
        return await serve(host, port, self._handle)

    def set_down(self, down):
        """Takes the store down or brings it back; the times of members pause."""
        now = time.monotonic()
        if down:
            self._down_since = now
        else:
            for group in self._groups.values():
                for name in group.members:
                    group.members[name] += now - self._down_since
            self._down_since = None
        self._record("store", down=down)

    def put(self, topic, key, value):
        """Stores a record of the operator."""
        encoded = key.encode()
        self._partition(topic, 0).store([bytes([len(encoded)]) + encoded + value])

    def newest(self, topic, part):
        """Returns the newest (value, offset) of each key of a partition."""
        return self._partition(topic, part).newest()

    def _partition(self, topic, part):
        return self._partitions.setdefault((topic, int(part)), _Partition())

    async def _handle(self, request):
        if self._down_since is not None:
            return 503, {}
        name = request.path.removeprefix("/log-").replace("-", "_")
        return await getattr(self, f"_on_{name}")(request)

    async def _on_append(self, request):
        query = request.query
        partition = self._partition(query["topic"], query["part"])
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            before = len(partition.contents)
            status, answer = partition.append(query, _split(request.body))
        if request.body and "producer" in query:
            entry = (
                query["topic"],
                int(query["part"]),
                int(query["epoch"]),
                int(query["seq"]),
                status,
                len(partition.contents) - before,
            )
            self.appends.append((time.monotonic(), *entry))
        return status, answer

    async def _on_newest(self, request):
        rows = sorted(
            self._partition(request.query["topic"], request.query["part"])
            .newest()
            .items()
        )
        rows = [row for row in rows if row[0] > request.query.get("after", "")]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in rows[:PAGE]
        ]
        end = len(
            self._partition(request.query["topic"], request.query["part"]).contents
        )
        return 200, {"items": items, "hasMore": len(rows) > PAGE, "end": end}

    async def _on_read(self, request):
        query = request.query
        partition = self._partition(query["topic"], query["part"])
        start, wait_s = int(query["from"]), int(query.get("waitMs", 0)) / 1000
        if start >= len(partition.contents) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await partition.changed.wait()
            except TimeoutError:
                pass
        rows = [
            struct.pack(">I", len(content)) + content
            for content in partition.contents[start:]
        ]
        return 200, struct.pack(">QQ", len(partition.contents), 0) + b"".join(rows)

    async def _on_join(self, request):
        body, now = request.json, time.monotonic()
        group = self._groups.setdefault(body["group"], _Group(self._parts))
        group.expire(now)
        mine = group.join(body["member"], body["ttlMs"] / 1000, body["generation"], now)
        topic = body["topics"][0]
        rows = [[topic, part, 0] for part in mine]
        return 200, {"generation": group.generation, "parts": rows}

    async def _on_leave(self, request):
        body = request.json
        group = self._groups.setdefault(body["group"], _Group(self._parts))
        group.expire(time.monotonic())
        group.drop(body["member"])
        return 200, {}


def _split(data):
    contents, position = [], 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        contents.append(data[position + 4 : position + 4 + length])
        position += 4 + length
    return contents
