import random

import msgspec
import pytest

from banyanwheel_core.announcement_schedule import AnnouncementSchedule
from banyanwheel_core.effects import Peer
from banyanwheel_core.membership import Membership
from banyanwheel_core.messages import KnownMember, MemberRecord, MembersReply

LIFETIME_S = 300
MINUTE_S = 60


def member(name="a", incarnation="1", **fields):
    values = {
        "address": "127.0.0.1:7000",
        "data_centre": "dc-1",
        "rack": "r-1",
        "services": ("desk",),
        "slots": 8,
        "lifetime_ms": LIFETIME_S * 1000,
    }
    return MemberRecord(name, incarnation, **(values | fields))


@pytest.fixture
def view():
    return Membership("self", "dc-1", "r-1", random=random.Random(1))


def incarnation(view, name="a"):
    record = view.find(name)
    return record.incarnation if record else None


def test_the_newest_record_under_a_name_wins(view):
    view.apply(member(incarnation="1"), 3, 0, now=0)
    view.apply(member(incarnation="2"), 7, 0, now=1)
    view.apply(member(incarnation="1"), 3, 0, now=2)
    assert incarnation(view) == "2"


def test_a_member_expires_by_its_age_while_others_go_on_announcing(view):
    view.apply(member("a"), 0, 100_000, now=0)
    for minute in range(4):
        view.apply(member("b"), minute + 1, 0, now=minute * MINUTE_S)
        gone = view.tick(minute * MINUTE_S + 19)
        assert not gone
    view.apply(member("b"), 9, 0, now=201)
    assert [record.name for record in view.tick(201)] == ["a"]
    assert view.find("b")


def test_nothing_expires_while_the_log_cannot_be_read(view):
    view.apply(member("a"), 0, 0, now=0)
    view.log_lost(10)
    assert view.tick(10_000) == ()
    view.log_seen(10_000)
    view.apply(member("b"), 1, 0, now=10_001)
    assert view.tick(10_001) == ()
    for offset in range(2, 7):
        view.apply(member("b"), offset, 0, now=10_000 + offset * MINUTE_S)
    assert [record.name for record in view.tick(10_360)] == ["a"]


def test_nothing_expires_while_the_log_takes_no_announcement(view):
    view.apply(member("a"), 0, 0, now=0)
    view.apply(member("b"), 1, 0, now=1)
    assert view.tick(3_600) == ()
    view.apply(member("b"), 2, 0, now=3_601)
    assert view.tick(3_601) == ()


def test_a_reader_that_starts_in_such_an_outage_knows_the_members(view):
    view.apply(member("self"), -1, 0, now=0)
    view.apply(member("a"), 0, 3_600_000, now=0)
    view.apply(member("b"), 1, 3_590_000, now=0)
    assert view.tick(0) == ()
    view.apply(member("b"), 2, 0, now=0)
    assert view.tick(0) == ()


def test_a_leaving_member_is_known_and_gets_no_new_work(view):
    view.apply(member(), 0, 0, now=0)
    view.apply(member(leaving=True, successor="b"), 1, 0, now=1)
    view.apply(member(), 2, 0, now=2)
    assert view.find("a").successor == "b"
    assert view.eligible("desk") == ()


def test_a_late_leave_record_does_not_hide_the_replacement(view):
    view.apply(member(incarnation="1"), 0, 0, now=0)
    view.apply(member(incarnation="2"), 1, 0, now=1)
    view.apply(member(incarnation="1", leaving=True, successor="b"), 2, 0, now=2)
    assert incarnation(view) == "2"
    assert view.departed("a", "1").successor == "b"
    assert view.departed("a", "2") is None


def test_kept_answers_are_followed_through_replacements_under_the_same_names(view):
    view.apply(member("a", "1", leaving=True), 0, 0, now=0)
    view.apply(member("a", "1", leaving=True, successor="b.1"), 1, 0, now=1)
    view.apply(member("a", "2"), 2, 0, now=2)
    view.apply(member("b", "1", leaving=True, successor="c"), 3, 0, now=3)
    view.apply(member("b", "2"), 4, 0, now=4)
    assert view.holder(Peer("a", "1")) is None
    view.apply(member("c", "1"), 5, 0, now=5)
    assert view.holder(Peer("a", "1")) == Peer("c", "1")
    assert view.holder(Peer("a", "2")) == Peer("a", "2")


def test_a_peer_teaches_newcomers_and_never_overrides_newer_knowledge(view):
    view.log_lost(0)
    view.apply(member("a", "2"), 9, 0, now=0)
    view.merge(
        [KnownMember(member("a", "1"), 0, 4), KnownMember(member("new"), 5_000)], now=1
    )
    assert incarnation(view) == "2"
    assert view.find("new")
    view.merge([KnownMember(member("a", "3"), 0)], now=20)
    assert incarnation(view) == "3"
    view.merge([KnownMember(member("a", "2"), 20_000, 9)], now=21)
    assert incarnation(view) == "3"


def test_two_views_agree_after_they_have_told_each_other():
    one, two = (
        Membership(name, "dc-1", "r-1", random=random.Random(1)) for name in "xy"
    )
    one.apply(member("a", "1", leaving=True, successor="c"), 0, 0, now=0)
    one.apply(member("a", "2"), 4, 0, now=0)
    two.apply(member("a", "1"), 1, 0, now=0)
    two.apply(member("b"), 2, 0, now=0)
    for _ in range(2):
        for source, target in ((one, two), (two, one)):
            reply = msgspec.msgpack.encode(source.reply(now=1))
            members = msgspec.msgpack.decode(reply, type=MembersReply).members
            target.merge(members, now=1)
    assert set(one.members) == set(two.members)
    assert two.departed("a", "1").successor == "c"


def test_silence_lengthens_the_pause_until_an_answer_or_a_new_incarnation(view):
    view.apply(member("a"), 0, 0, now=0)
    pauses = []
    now = 0.0
    for _ in range(3):
        view.suspect("a", now)
        view.suspect("a", now)
        assert not view.usable("a", now)
        start = now
        while not view.usable("a", now):
            now += 0.01
        pauses.append(now - start)
    assert pauses[0] < pauses[1] < pauses[2]
    view.suspect("a", now)
    view.cleared("a")
    assert view.usable("a", now)
    view.suspect("a", now)
    view.apply(member("a", "2"), 1, 0, now=now)
    assert view.usable("a", now)
    assert not view.usable("stranger", now)


def test_partners_are_spread_and_stable_as_members_come_and_go(view):
    for number in range(690):
        place = {"data_centre": f"dc-{number % 5}", "rack": f"r-{number % 46}"}
        view.apply(member(f"m-{number}", **place), number, 0, now=0)
    before = view.partners("desk", 32)
    assert len(before) == 32
    assert sum(record.data_centre != "dc-1" for record in before) >= 8
    assert sum(record.rack != "r-1" for record in before) >= 16
    view.apply(member(before[0].name, leaving=True), 700, 0, now=1)
    view.apply(member("m-new"), 701, 0, now=1)
    after = {record.name for record in view.partners("desk", 32)}
    assert before[0].name not in after
    assert len({record.name for record in before} - after) <= 4
    other = Membership("other", "dc-1", "r-1", random=random.Random(1))
    other.merge(view.reply(1).members, now=1)
    assert {record.name for record in other.partners("desk", 32)} != after


def test_an_announcement_is_due_at_a_third_of_the_lifetime_and_soon_after_a_failure():
    schedule = AnnouncementSchedule(300, random.Random(1))
    assert schedule.due(0)
    schedule.succeeded(0)
    assert not schedule.due(79)
    assert schedule.due(100)
    schedule.failed(100)
    assert not schedule.due(100)
    assert schedule.due(101)
