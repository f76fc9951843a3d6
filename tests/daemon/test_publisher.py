"""The publisher against the log service's stand-in, in a process of its own."""

import asyncio
import random
from contextlib import asynccontextmanager
from time import monotonic

import pytest

from banyanwheel_core.configuration import Configuration
from banyanwheel_core.models import Outcome
from banyanwheel_daemon.log_service import Follower, LogService
from banyanwheel_daemon.operations import NotPublished, PublishConflict, Published
from banyanwheel_daemon.publisher import Publisher
from tests.standins.calls import call
from tests.standins.process import StandIns

HANG_S = 60
RETENTION_S = 3_600
STREAM = "configuration"
DRAIN = {"drains": {"workers": ["w-1"]}}
EMPTY = {"drains": {"workers": []}}
OTHER = {"drains": {"racks": ["r-1"]}}


@pytest.fixture
def log_address(tmp_path):
    with StandIns(tmp_path) as stand_ins:
        yield stand_ins.start("log_service").ready["address"]


@asynccontextmanager
async def entry(address, retention_s=RETENTION_S, wait_s=HANG_S):
    """Yields a configuration that follows the log, and its publisher."""
    log = LogService(f"http://{address}")
    source = random.Random(1)
    configuration = Configuration(retention_s=retention_s, random=source)
    publisher = Publisher(log, STREAM, configuration, wait_s=wait_s)
    has_read = asyncio.Event()

    def on_page(page):
        configuration.apply_page(page, monotonic())
        publisher.notify()
        has_read.set()

    follower = Follower(log, STREAM, poll_ms=100, random=source)
    task = asyncio.create_task(follower.follow(on_page, lambda error: None))
    await has_read.wait()
    try:
        yield configuration, publisher
    finally:
        task.cancel()


def run(body, address):
    async def main():
        async with asyncio.timeout(HANG_S):
            await body(address)

    asyncio.run(main())


def set_faults(address, **faults):
    assert call("PUT", address, "/faults", faults)[0] == 200


def records_of(address):
    return call("GET", address, f"/streams/{STREAM}/records?from=0")[1]["records"]


def test_a_published_version_is_in_force(log_address):
    async def body(address):
        async with entry(address) as (configuration, publisher):
            assert await publisher.publish(DRAIN, -1) == Published(0)
            assert configuration.document.drains.workers == ("w-1",)

    run(body, log_address)


def test_of_two_entries_that_race_one_gets_the_conflict(log_address):
    async def body(address):
        async with entry(address) as (_, one), entry(address) as (_, two):
            outcomes = await asyncio.gather(
                one.publish(DRAIN, -1), two.publish(OTHER, -1)
            )
            (winner,) = (o for o in outcomes if isinstance(o, Published))
            assert PublishConflict(winner.offset) in outcomes

    run(body, log_address)


def test_an_invalid_document_never_reaches_the_log(log_address):
    async def body(address):
        async with entry(address) as (_, publisher):
            outcome = await publisher.publish({"limits": {"max_tasks": 0}}, -1)
        assert outcome.outcome == Outcome.NOT_RUN
        assert outcome.place == "limits.max_tasks"
        assert records_of(address) == []

    run(body, log_address)


def test_a_lost_answer_is_resolved_by_the_tag(log_address):
    async def body(address):
        async with entry(address) as (configuration, publisher):
            set_faults(address, lose_append_answers=1)
            assert await publisher.publish(DRAIN, -1) == Published(0)
        assert len(records_of(address)) == 1

    run(body, log_address)


def test_in_an_outage_the_outcome_is_unknown_with_what_to_do(log_address):
    async def body(address):
        async with entry(address, wait_s=0.1) as (_, publisher):
            set_faults(address, down=True)
            outcome = await publisher.publish(DRAIN, -1)
            assert isinstance(outcome, NotPublished)
            assert outcome.outcome == Outcome.UNKNOWN
            assert "publish again from the same base" in outcome.detail
            set_faults(address)
            assert await publisher.publish(DRAIN, -1) == Published(0)

    run(body, log_address)


def test_a_version_from_an_older_base_is_a_conflict_unless_it_was_only_repeated(
    log_address,
):
    async def body(address):
        async with entry(address) as (_, publisher):
            assert await publisher.publish(DRAIN, -1) == Published(0)
            assert await publisher.publish(DRAIN, 0) == Published(1)
            assert await publisher.publish(EMPTY, 0) == Published(2)
            assert await publisher.publish(DRAIN, 1) == PublishConflict(2)

    run(body, log_address)


def test_the_version_in_force_is_published_again_by_one_of_two_entries(log_address):
    async def body(address):
        async with (
            entry(address, retention_s=2) as (one, publisher),
            entry(address, retention_s=2) as (two, other),
        ):
            await publisher.publish(DRAIN, -1)
            keepers = [
                asyncio.create_task(p.keep_in_force()) for p in (publisher, other)
            ]
            while one.offset == 0 or one.offset != two.offset:
                await asyncio.sleep(0.01)
            for keeper in keepers:
                keeper.cancel()
            assert one.document.drains.workers == ("w-1",)

    run(body, log_address)
