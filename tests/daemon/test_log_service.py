import asyncio
import random

import msgspec
import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from banyanwheel_core.streams import Page, Record
from banyanwheel_daemon.log_service import (
    PAGE_RECORDS,
    AppendUncertain,
    Follower,
    LogRefused,
    LogService,
    LogUnavailable,
)

HANG_S = 30


class Records(RequestHandler):
    """A stream in memory; ``faults`` holds one status or "drop" per request."""

    def initialize(self, records, faults):
        self._records = records
        self._faults = faults

    def post(self, stream):
        fault = self._faults.pop(0) if self._faults else None
        if fault == "drop":
            self._records.append(self.request.body)
            self.request.connection.stream.close()
            return
        if fault:
            self.send_error(fault)
            return
        self._records.append(self.request.body)
        self.set_status(201)
        self.write({"offset": len(self._records) - 1})

    def get(self, stream):
        if self._faults:
            self.send_error(self._faults.pop(0))
            return
        start = int(self.get_query_argument("from"))
        stop = start + int(self.get_query_argument("limit"))
        rows = ",".join(
            f'{{"offset": {start + i}, "age_ms": 5, "data": {data.decode()}}}'
            for i, data in enumerate(self._records[start:stop])
        )
        end = len(self._records)
        self.write(f'{{"first": 0, "next": {end}, "records": [{rows}]}}')


@pytest.fixture
def run():
    """Runs a coroutine function with a log service, its records and its faults."""

    def run(body):
        async def main():
            records, faults = [], []
            listener, port = bind_unused_port()
            options = {"records": records, "faults": faults}
            server = HTTPServer(
                Application([("/streams/(.*)/records", Records, options)])
            )
            server.add_sockets([listener])
            try:
                log = LogService(f"http://127.0.0.1:{port}/")
                await asyncio.wait_for(body(log, records, faults), HANG_S)
            finally:
                server.stop()

        asyncio.run(main())

    return run


def test_records_are_read_back_in_order(run):
    async def body(log, records, faults):
        assert [await log.append("s", b"%d" % n) for n in range(3)] == [0, 1, 2]
        page = await log.read("s", 1, limit=1)
        assert (page.first, page.resume) == (0, 2)
        assert [(record.offset, bytes(record.data)) for record in page.records] == [
            (1, b"1")
        ]

    run(body)


@pytest.mark.parametrize(
    ("fault", "error"),
    [("drop", AppendUncertain), (503, AppendUncertain), (400, LogRefused)],
)
def test_a_failed_append_tells_whether_it_may_have_taken_effect(run, fault, error):
    async def body(log, records, faults):
        faults.append(fault)
        with pytest.raises(error):
            await log.append("s", b"1")

    run(body)


def test_an_append_that_was_never_sent_is_certain():
    async def body():
        listener, port = bind_unused_port()
        listener.close()
        log = LogService(f"http://127.0.0.1:{port}")
        with pytest.raises(LogUnavailable):
            await log.append("s", b"1")
        with pytest.raises(LogUnavailable):
            await log.read("s", 0)

    asyncio.run(asyncio.wait_for(body(), HANG_S))


def test_a_follower_goes_on_where_an_outage_stopped_it(run):
    async def body(log, records, faults):
        records.extend([b"1"] * 2 * PAGE_RECORDS)
        faults.extend([503, 503])
        seen, errors, done = [], [], asyncio.Event()

        def on_page(page):
            seen.extend(record.offset for record in page.records)
            if len(seen) == len(records):
                done.set()

        follower = Follower(log, "s", random=random.Random(1))
        task = asyncio.create_task(follower.follow(on_page, errors.append))
        await done.wait()
        task.cancel()
        assert seen == list(range(len(records)))
        assert len(errors) == 2
        assert follower.next == len(records)

    run(body)


class ScriptedLog:
    """Answers reads with pages of the given numbers of records, then never."""

    def __init__(self, sizes):
        self.unread = list(sizes)
        self.starts = []

    async def read(self, stream, start, wait_ms):
        self.starts.append(start)
        if not self.unread:
            await asyncio.Event().wait()
        size = self.unread.pop(0)
        records = tuple(
            Record(start + index, 0, msgspec.Raw(b"1")) for index in range(size)
        )
        return Page(0, 10_000, records)


def follow(log, on_page, **options):
    async def main():
        follower = Follower(log, "s", random=random.Random(1), **options)
        task = asyncio.create_task(
            follower.follow(lambda page: on_page(follower, page), print)
        )
        async with asyncio.timeout(HANG_S):
            while log.unread or len(log.starts) < 3:
                await asyncio.sleep(0)
        task.cancel()

    asyncio.run(main())


def test_reads_are_spaced_only_at_the_end_of_the_stream():
    log = ScriptedLog([PAGE_RECORDS, 1])
    reads_before_spacing = []

    def spacing():
        reads_before_spacing.append(len(log.starts))
        return 0.0

    follow(log, lambda follower, page: None, spacing=spacing)
    assert reads_before_spacing == [2]
    assert log.starts == [0, PAGE_RECORDS, PAGE_RECORDS + 1]


def test_the_answer_to_a_read_in_progress_is_dropped_after_a_rewind():
    log = ScriptedLog([3, 2])
    seen = []

    def on_page(follower, page):
        seen.append(len(page.records))
        follower.rewind(1)

    follow(log, on_page)
    assert log.starts == [0, 3, 1]
    assert seen == [3]
