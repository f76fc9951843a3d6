import random

import msgspec
import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from banyanwheel_core.configuration import (
    Accepted,
    Configuration,
    Conflict,
    Invalid,
    VersionRecord,
)
from banyanwheel_core.errors import FindingsError
from banyanwheel_core.streams import Page, Record

RETENTION_S = 1_000
READERS = 3


class Stream:
    """A stream in memory, with the versions that its whole history puts in force."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.versions = [-1]

    def publish(self, base, tag="t", document=b"{}"):
        offset = len(self.records)
        version = VersionRecord(base, tag, msgspec.Raw(document))
        self.records.append(msgspec.json.encode(version))
        if base == self.versions[-1] and document == b"{}":
            self.versions.append(offset)
        return offset

    def page(self, start, limit=100, age_ms=0):
        start = max(start, self.first)
        records = tuple(
            Record(start + index, age_ms, msgspec.Raw(data))
            for index, data in enumerate(self.records[start : start + limit])
        )
        return Page(self.first, len(self.records), records)


def reader():
    return Configuration(retention_s=RETENTION_S, random=random.Random(1))


def read_all(configuration, stream, now=0.0, age_ms=0):
    while True:
        page = stream.page(configuration.position, age_ms=age_ms)
        configuration.apply_page(page, now)
        if not page.records:
            return configuration


def test_of_two_operators_who_race_one_wins_and_one_is_told_of_the_conflict():
    stream = Stream()
    stream.publish(-1, "first")
    stream.publish(0, "winner")
    stream.publish(0, "loser")
    configuration = read_all(reader(), stream)
    assert configuration.offset == 1
    assert configuration.verdict("winner") == Accepted(1)
    assert configuration.verdict("loser") == Conflict(2, in_force=1)
    assert configuration.verdict("absent") is None


def test_a_copy_of_an_accepted_record_changes_nothing():
    stream = Stream()
    stream.publish(-1, "tag")
    stream.publish(-1, "tag")
    configuration = read_all(reader(), stream)
    assert configuration.offset == 0
    assert configuration.verdict("tag") == Accepted(0)


def test_an_invalid_document_is_rejected_with_its_findings():
    stream = Stream()
    stream.publish(-1, "bad", b'{"kinds": {"a": {"weight": 0}}}')
    stream.records.append(b'"no version at all"')
    configuration = read_all(reader(), stream)
    assert configuration.offset == -1
    verdict = configuration.verdict("bad")
    assert isinstance(verdict, Invalid)
    assert verdict.findings[0].place == "kinds.a.weight"
    with pytest.raises(FindingsError):
        configuration.adopt(7, b'{"kinds": {"a": {"weight": 0}}}')
    assert configuration.offset == -1


def test_a_newcomer_without_the_beginning_takes_the_first_with_the_highest_base():
    stream = Stream()
    for base in (-1, 0, 1):
        stream.publish(base)
    stream.publish(0, "stale")
    stream.publish(2, "in force")
    stream.publish(2, "too late")
    stream.first = 3
    configuration = read_all(reader(), stream)
    assert configuration.offset == 4
    assert configuration.verdict("too late") == Conflict(5, in_force=4)


def test_a_base_in_the_unread_part_counts_only_until_a_version_has_a_successor():
    stream = Stream()
    for base in (-1, 0, 0, 0, 2):
        stream.publish(base)
    stream.first = 2
    configuration = read_all(reader(), stream)
    assert configuration.offset == 4
    stream.publish(1, "made from a rejected record")
    assert read_all(configuration, stream).offset == 4


def test_a_newcomer_does_not_spread_a_guess_before_it_has_read_to_the_end():
    stream = Stream()
    for base in (-1, 0, 0, 1):
        stream.publish(base)
    stream.first = 2
    configuration = reader()
    configuration.apply_page(stream.page(0, limit=1), 0)
    assert configuration.offset == 2
    assert configuration.advertised == -1
    assert configuration.reply() is None
    assert read_all(configuration, stream).advertised == 3


def test_a_newcomer_in_an_outage_learns_from_a_peer_and_never_goes_back():
    stream = Stream()
    for base in (-1, 0, 1):
        stream.publish(base)
    peer = read_all(reader(), stream)
    newcomer = reader()
    assert newcomer.wants(peer.advertised)
    reply = peer.reply()
    assert newcomer.adopt(reply.offset, reply.document)
    assert newcomer.offset == 2
    assert not newcomer.adopt(1, b"{}")
    stream.first = 2
    stream.publish(2)
    assert read_all(newcomer, stream).offset == 3


def test_a_reader_behind_a_peer_reads_on_without_going_back():
    stream = Stream()
    stream.publish(-1)
    behind = read_all(reader(), stream)
    stream.publish(0, "superseded")
    stream.publish(1)
    behind.adopt(2, b"{}")
    behind.apply_page(stream.page(behind.position, limit=1), 0)
    assert behind.offset == 2
    assert behind.verdict("superseded") == Accepted(1)


def test_a_reader_does_not_adopt_what_it_has_itself_rejected():
    stream = Stream()
    stream.publish(-1)
    stream.publish(-1, "loser")
    configuration = read_all(reader(), stream)
    assert not configuration.wants(1)
    assert not configuration.adopt(1, b"{}")
    assert configuration.offset == 0


def test_the_version_in_force_is_published_again_in_the_middle_of_its_retention():
    stream = Stream()
    assert not read_all(reader(), stream).republish_due(10 * RETENTION_S)
    stream.publish(-1)
    configuration = read_all(reader(), stream, now=100.0, age_ms=10_000)
    assert not configuration.republish_due(90 + 0.4 * RETENTION_S)
    assert configuration.republish_due(90 + 0.6 * RETENTION_S)
    stream.publish(0)
    read_all(configuration, stream, now=600.0)
    assert configuration.offset == 1
    assert not configuration.republish_due(700.0)


def test_a_version_whose_record_expired_is_published_again_at_once():
    stream = Stream()
    stream.publish(-1)
    stream.publish(-1)
    newcomer = reader()
    newcomer.adopt(0, b"{}")
    assert not newcomer.republish_due(0)
    stream.first = 1
    assert read_all(newcomer, stream).republish_due(0)


class Readers(RuleBasedStateMachine):
    """Readers that start, read and ask peers at any time, against whole history."""

    @initialize()
    def start(self):
        self.stream = Stream()
        self.readers = [reader() for _ in range(READERS)]
        self.highest = [-1] * READERS

    @rule()
    def publish_next(self):
        self.stream.publish(self.stream.versions[-1])

    @rule(back=st.integers(0, 3), is_valid=st.booleans())
    def publish_from_an_earlier_version(self, back, is_valid):
        versions = self.stream.versions
        base = versions[max(0, len(versions) - 1 - back)]
        self.stream.publish(base, document=b"{}" if is_valid else b'{"x":1}')

    @rule(keep=st.integers(0, 6))
    def expire(self, keep):
        in_force = self.stream.versions[-1]
        end = len(self.stream.records) if in_force < 0 else in_force
        self.stream.first = max(self.stream.first, end - keep)

    @rule(index=st.integers(0, READERS - 1), limit=st.integers(1, 3))
    def read(self, index, limit):
        configuration = self.readers[index]
        configuration.apply_page(self.stream.page(configuration.position, limit), 0)

    @rule(index=st.integers(0, READERS - 1))
    def replace(self, index):
        self.readers[index] = reader()
        self.highest[index] = -1

    @rule(index=st.integers(0, READERS - 1))
    def ask(self, index):
        peer = max(self.readers, key=lambda configuration: configuration.advertised)
        reply = peer.reply()
        if reply is not None:
            self.readers[index].adopt(reply.offset, reply.document)

    @invariant()
    def nobody_goes_back(self):
        offsets = [configuration.offset for configuration in self.readers]
        assert all(map(int.__ge__, offsets, self.highest))
        self.highest = offsets

    @invariant()
    def whoever_has_read_all_agrees_with_history(self):
        for configuration in self.readers:
            if configuration.position >= max(len(self.stream.records), 1):
                assert configuration.offset == self.stream.versions[-1]

    @invariant()
    def what_peers_are_told_was_in_force(self):
        for configuration in self.readers:
            assert configuration.advertised in self.stream.versions


TestReaders = Readers.TestCase
TestReaders.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=200,
    stateful_step_count=40,
)
