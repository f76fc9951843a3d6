"""The platform's metadata store as a log: appends, keyed topics and groups."""

import asyncio
import base64
import json
import struct
import time

from tornado.web import Application, RequestHandler

__all__ = ["PlatformLog"]

ANSWER_S = 0.004
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
PAGE_ITEMS = 500
REMEMBERED_APPENDS = 5


class Partition:
    """The records of one partition, and the producers that have written to it."""

    def __init__(self):
        self.records = []  # (key, value)
        self.producers = {}  # [epoch, newest sequence, answers by sequence]
        self.changed = asyncio.Condition()

    def append(self, records):
        """Stores records; returns the answer."""
        offset = len(self.records)
        self.records.extend(records)
        return {"offset": offset, "end": len(self.records)}

    def append_fenced(self, producer, epoch, sequence, records):
        """Returns the status and the answer to an append that names an epoch."""
        state = self.producers.setdefault(producer, [-1, None, {}])
        if epoch < state[0]:
            return 409, {"reason": "fenced", "epoch": state[0]}
        if epoch > state[0]:
            state[:] = [epoch, None, {}]
        if not records:
            return 200, {"offset": len(self.records), "end": len(self.records)}
        if sequence in state[2]:
            return 200, state[2][sequence]
        if state[1] is not None and sequence != state[1] + 1:
            return 409, {"reason": "seq", "expected": state[1] + 1}
        answer = self.append(records)
        state[1] = sequence
        state[2][sequence] = answer
        while len(state[2]) > REMEMBERED_APPENDS:
            del state[2][min(state[2])]
        return 200, answer

    def newest(self):
        """Returns (value, offset) of each key that has a value."""
        found = {}
        for offset, (key, value) in enumerate(self.records):
            found[key] = (value, offset)
        return {key: row for key, row in sorted(found.items()) if row[0]}


class Group:
    """Members by the end of their membership, and the partitions that they hold.

    A partition passes on once its holder has joined with the generation that takes it
    away, has left, or has been silent for its time to live.
    """

    def __init__(self, parts):
        self.parts = parts
        self.generation = 0
        self.until = {}
        self.seen = {}  # the generation that a member named last
        self.held = dict.fromkeys(range(parts))
        self.target = dict.fromkeys(range(parts))
        self.ordered_in = 0

    def join(self, member, ttl_s, generation):
        """Joins or renews; returns the partitions of the member."""
        now = time.monotonic()
        new = member not in self.until
        self.until[member] = now + ttl_s
        self.seen[member] = generation
        gone = [name for name, until in self.until.items() if until < now]
        for name in gone:
            del self.until[name]
        if new or gone:
            self._deal()
        self._hand_over()
        return [part for part, holder in self.held.items() if holder == member]

    def leave(self, member):
        """Ends a membership."""
        if self.until.pop(member, None) is not None:
            self._deal()

    def pause(self, seconds):
        """Lets the memberships last longer: the store was down meanwhile."""
        for name in self.until:
            self.until[name] += seconds

    def _deal(self):
        self.generation += 1
        members = sorted(self.until)
        for part in range(self.parts):
            self.target[part] = members[part % len(members)] if members else None

    def _hand_over(self):
        for part, holder in self.held.items():
            wanted = self.target[part]
            free = holder not in self.until or self.seen[holder] >= self.generation
            if holder != wanted and free:
                self.held[part] = wanted


class PlatformLog:
    """The log; ``down`` has it answer 503 to all calls, and do nothing."""

    def __init__(self, parts):
        self._parts = parts
        self._partitions = {}
        self._groups = {}
        self._down_since = None
        self.too_large = 0  # appends that were refused for a record over the limit

    @property
    def down(self):
        """Whether the store is down."""
        return self._down_since is not None

    def set_down(self, down):
        """Takes the store down, or brings it back."""
        if down:
            self._down_since = time.monotonic()
            return
        for group in self._groups.values():
            group.pause(time.monotonic() - self._down_since)
        self._down_since = None

    def partition(self, topic, part):
        """Returns a partition of a topic."""
        return self._partitions.setdefault((topic, int(part)), Partition())

    def group(self, name):
        """Returns a group."""
        return self._groups.setdefault(name, Group(self._parts))

    def publish(self, key, document):
        """Writes a record as the operator."""
        value = json.dumps(document).encode()
        self.partition("keyed.op", 0).append([(key, value)])

    def application(self):
        """Returns the application that serves the log."""
        handlers = [
            ("/log-append", _Append),
            ("/log-newest", _Newest),
            ("/log-read", _Read),
            ("/log-join", _Join),
            ("/log-leave", _Leave),
        ]
        return Application(
            [(path, handler, {"log": self}) for path, handler in handlers],
            log_function=lambda handler: None,
        )


class _Handler(RequestHandler):
    def initialize(self, log):
        self.log = log

    async def prepare(self):
        await asyncio.sleep(ANSWER_S)
        if self.log.down:
            self.reply({}, 503)

    def reply(self, body, status=200):
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))

    @property
    def partition(self):
        return self.log.partition(self.get_argument("topic"), self.get_argument("part"))


class _Append(_Handler):
    async def post(self):
        records, largest = _records(self.request.body)
        if largest > RECORD_BYTES or len(self.request.body) > REQUEST_BYTES:
            self.log.too_large += 1
            self.reply({"reason": "size"}, 400)
            return
        partition = self.partition
        end = self.get_argument("at", None)
        if end is not None and int(end) != len(partition.records):
            self.reply({"end": len(partition.records)}, 412)
            return
        epoch = self.get_argument("epoch", None)
        if epoch is None:
            status, answer = 200, partition.append(records)
        else:
            producer, sequence = self.get_argument("producer"), self.get_argument("seq")
            status, answer = partition.append_fenced(
                producer, int(epoch), int(sequence), records
            )
        async with partition.changed:
            partition.changed.notify_all()
        self.reply(answer, status)


class _Newest(_Handler):
    def get(self):
        partition = self.partition
        after = self.get_argument("after", "")
        rows = [row for row in partition.newest().items() if row[0] > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in rows[:PAGE_ITEMS]
        ]
        more = len(rows) > PAGE_ITEMS
        self.reply({"items": items, "hasMore": more, "end": len(partition.records)})


class _Read(_Handler):
    async def get(self):
        partition, start = self.partition, int(self.get_argument("from"))
        wait_s = int(self.get_argument("waitMs", "0")) / 1000
        if start >= len(partition.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s), partition.changed:
                    await partition.changed.wait()
            except TimeoutError:
                pass
        if self.log.down:
            self.reply({}, 503)
            return
        frames = [_frame(key, value) for key, value in partition.records[start:]]
        head = struct.pack(">QQ", len(partition.records), 0)
        self.finish(head + b"".join(frames))


class _Join(_Handler):
    def post(self):
        body = json.loads(self.request.body)
        group = self.log.group(body["group"])
        parts = group.join(body["member"], body["ttlMs"] / 1000, body["generation"])
        rows = [[body["topics"][0], part, 0] for part in parts]
        self.reply({"generation": group.generation, "parts": rows})


class _Leave(_Handler):
    def post(self):
        body = json.loads(self.request.body)
        self.log.group(body["group"]).leave(body["member"])
        self.reply({})


def _records(data):
    """Returns (key, value) of each record, and the size of the largest one."""
    records, position, largest = [], 0, 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        content = data[position + 4 : position + 4 + length]
        position += 4 + length
        largest = max(largest, length)
        end = 1 + content[0]
        records.append((content[1:end].decode(), content[end:]))
    return records, largest


def _frame(key, value):
    encoded = key.encode()
    content = bytes([len(encoded)]) + encoded + value
    return struct.pack(">I", len(content)) + content
