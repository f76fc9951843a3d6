"""What a process takes from the operator's topic, whatever the log does."""

import asyncio

import pytest

from banyanwheel_daemon import configuration_feed
from banyanwheel_daemon.configuration_feed import ConfigurationFeed, EvacuationReader
from banyanwheel_jobs.evacuation import Evacuations
from banyanwheel_jobs.ports import KeyedRecord, LogTruncated, LogUnavailable
from banyanwheel_platform.log import HOLD_MS
from tests.jobs.world import EventRecorder

CONFIGURATION = b'{"version": 3, "routes": []}'
SET, LIFTED = b"{}", None


class ScriptedLog:
    """Answers the reads of a topic in turn; then the feed's run is over."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.calls = []

    async def newest(self, topic, partition):
        return self._answer(("newest", topic, partition))

    async def follow(self, topic, partition, offset, hold_ms):
        return self._answer(("follow", offset, hold_ms))

    def _answer(self, call):
        if not self._answers:
            raise asyncio.CancelledError
        self.calls.append(call)
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return [KeyedRecord(*row) for row in answer], 10 * len(self.calls)


class Follower:
    """A process that follows a scripted log to its end."""

    def __init__(self, monkeypatch, *answers, runner=False, evacuation_ms=5_000):
        monkeypatch.setattr(configuration_feed, "RETRY_DELAY_S", 0)
        self.log = ScriptedLog(*answers)
        self.events = EventRecorder()
        self.evacuations = Evacuations()
        self.changes = []
        self.versions = []
        reader = EvacuationReader(
            self.evacuations,
            lambda: self.changes.append(sorted(self.evacuations.names)),
            self.events,
        )
        if runner:
            feed = ConfigurationFeed.for_runner(
                self.log, reader, self.events, evacuation_ms
            )
        else:
            feed = ConfigurationFeed.for_dispatcher(
                self.log, self.versions.append, reader, self.events, evacuation_ms
            )
        with pytest.raises(asyncio.CancelledError):
            asyncio.run(feed.run())

    def logged(self, event):
        return [fields for name, fields in self.events.events if name == event]


@pytest.fixture
def follow(monkeypatch):
    return lambda *answers, **options: Follower(monkeypatch, *answers, **options)


def evacuation(name, value, offset):
    return (f"evacuate/{name}", value, offset)


def test_one_read_brings_the_configuration_and_evacuations(follow):
    follower = follow(
        [("config", CONFIGURATION, 0), evacuation("dc-1", SET, 1)],
        [evacuation("dc-2", SET, 2)],
        [evacuation("dc-1", LIFTED, 3)],
    )
    assert follower.log.calls == [
        ("newest", "op", 0),
        ("follow", 10, HOLD_MS),
        ("follow", 20, HOLD_MS),
    ]
    assert [version.version for version in follower.versions] == [3]
    assert follower.changes == [["dc-1"], ["dc-1", "dc-2"], ["dc-2"]]
    in_force = follower.logged("evacuation:in-force")
    assert [fields["data_centre"] for fields in in_force] == ["dc-1", "dc-2"]
    assert follower.logged("evacuation:lifted") == [{"data_centre": "dc-1"}]


def test_an_empty_set_is_told_once_it_is_known(follow):
    """Guards against a dispatcher that places nothing for want of evacuations."""
    assert follow([], [], []).changes == [[]]


def test_the_last_known_set_stays_in_force_in_an_outage(follow):
    follower = follow(
        [evacuation("dc-1", SET, 1)], LogUnavailable("away"), LogUnavailable("away")
    )
    assert follower.evacuations.names == {"dc-1"}
    assert follower.changes == [["dc-1"]]


@pytest.mark.parametrize("error", [LogTruncated(9), LogUnavailable("away")])
def test_after_a_gap_the_newest_records_count(follow, error):
    """Guards against an evacuation that was lifted by a record that is gone."""
    follower = follow(
        [evacuation("dc-1", SET, 1), evacuation("dc-2", SET, 2)],
        error,
        [evacuation("dc-2", SET, 2)],
    )
    assert [call[0] for call in follower.log.calls] == ["newest", "follow", "newest"]
    assert follower.changes == [["dc-1", "dc-2"], ["dc-2"]]


def test_a_malformed_record_keeps_no_other_from_effect(follow):
    follower = follow(
        [
            ("config", b"[", 0),
            evacuation("dc-1", b"[]", 1),
            evacuation("a/b", SET, 2),
            evacuation("dc-2", SET, 3),
        ]
    )
    assert follower.changes == [["dc-1", "dc-2"]]
    unreadable = follower.logged("evacuation:unreadable")
    assert [(row["key"], row["offset"]) for row in unreadable] == [
        ("evacuate/dc-1", 1),
        ("evacuate/a/b", 2),
    ]
    assert len(follower.logged("configuration:unreadable")) == 1


@pytest.mark.parametrize(
    ("evacuation_ms", "hold_ms"), [(5_000, 2_500), (3_000, 1_150), (1_000, 100)]
)
def test_a_runner_holds_its_read_for_as_long_as_the_bound_allows(
    follow, evacuation_ms, hold_ms
):
    follower = follow([], [], runner=True, evacuation_ms=evacuation_ms)
    assert follower.log.calls[-1] == ("follow", 10, hold_ms)


def test_without_the_setting_evacuations_are_passed_over(follow):
    follower = follow(
        [("config", CONFIGURATION, 0), evacuation("dc-1", SET, 1)],
        [],
        evacuation_ms=None,
    )
    assert follower.log.calls[-1] == ("follow", 10, HOLD_MS)
    assert (follower.changes, len(follower.versions)) == ([], 1)
