"""Messages between processes of this version and of the one before it."""

import msgspec
import pytest

from banyanwheel_jobs.messages import (
    NOT_FORWARDED,
    UNKNOWN_BACKLOG,
    Claims,
    Envelope,
    Heartbeat,
    JobsOpen,
    ServiceOffer,
    StartTasks,
)


class FormerClaims(msgspec.Struct, frozen=True, array_like=True, tag="Claims"):
    partitions: tuple[int, ...]
    pending: dict[str, int]


class FormerHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="Contact"):
    claims: tuple[tuple[int, int], ...]
    trusted_report_ms: int
    newest_report_ms: int
    runner: str


class FormerEnvelope(msgspec.Struct, frozen=True, array_like=True):
    sender: str
    incarnation: str
    recipient: str
    messages: tuple[FormerClaims | FormerHeartbeat, ...]


def as_envelope(kind, message):
    envelope = kind("a:1", "one", "", (message,))
    return msgspec.msgpack.encode(envelope)


def test_a_former_dispatcher_places_no_forwarded_jobs():
    data = as_envelope(FormerEnvelope, FormerClaims((1,), {"counter": 2}))
    (claims,) = msgspec.msgpack.decode(data, type=Envelope).messages
    assert claims == Claims((1,), {"counter": 2})
    assert (claims.cells, claims.offers, claims.sent_at_ms) == ((), (), 0)


def test_a_former_dispatcher_is_at_home_with_no_runner():
    data = as_envelope(FormerEnvelope, FormerHeartbeat(((1, 2),), 3, 4, "r"))
    (heartbeat,) = msgspec.msgpack.decode(data, type=Envelope).messages
    assert heartbeat == Heartbeat(((1, 2),), 3, 4, "r")
    assert not heartbeat.home


class FormerOffer(msgspec.Struct, frozen=True, array_like=True):
    service: str
    free_cpu: int
    capacity_cpu: int
    labels: tuple[str, ...]


def test_offers_with_and_without_the_backlog_are_read_by_both_versions():
    """Dispatchers are replaced one at a time."""
    former = FormerOffer("desk", 1, 2, ("rack-1",))
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(former), type=ServiceOffer)
    assert (read.waiting_cpu_ms, read.demand_cpu) == (UNKNOWN_BACKLOG, 0)
    offer = ServiceOffer("desk", 1, 2, ("rack-1",), 3, 4, 5)
    data = msgspec.msgpack.encode(offer)
    assert msgspec.msgpack.decode(data, type=FormerOffer) == former


@pytest.mark.parametrize(
    "message",
    [
        Claims((1,), {}, ("dc/0",), (), 5),
        Heartbeat((), 3, 4, "r", (("a" * 16, 9),), True),
    ],
)
def test_former_processes_read_the_messages_of_this_version(message):
    data = as_envelope(Envelope, message)
    (read,) = msgspec.msgpack.decode(data, type=FormerEnvelope).messages
    assert type(read) in (FormerClaims, FormerHeartbeat)


def test_tasks_that_a_former_dispatcher_starts_are_not_of_a_forwarded_job():
    fields = ("StartTasks", -1, 0, "w@1", "", 1.0, 5, 0, ())
    data = msgspec.msgpack.encode(("a:1", "one", "", (fields,)))
    (message,) = msgspec.msgpack.decode(data, type=Envelope).messages
    assert isinstance(message, StartTasks)
    assert message.confirmed_ms == NOT_FORWARDED


def test_a_message_of_an_unknown_kind_is_no_envelope():
    data = as_envelope(Envelope, JobsOpen(1, (2,)))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(data, type=FormerEnvelope)


@pytest.mark.parametrize(
    "steps",
    [
        [],
        [(0, (1, 0, 0), 100)],
        [(2**62, (1, 0, 0), 100)],
        [(6_000, (1, 0, 0), 100), (6_000, (1, 0, 0), 100)],
        [(1, (1, 0, 0), 100, (0,))],
        [(1, (1, 0, 0), 100), (1, (1, 0, 0), 100, (-1,))],
        [(1, (1, 0, 0), 100, (5,))],
    ],
)
def test_a_job_that_cannot_be_carried_out_is_no_message(steps):
    """Some kept a partition from being opened, or the process busy for good."""
    queue = ("a", "a", 0, 3, 1.6, 60)
    job = ("RunJob", 1, ("0" * 16, queue, "", steps, 0), 0, 0, 0)
    data = msgspec.msgpack.encode(("a:1", "one", "", [job]))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(data, type=Envelope)
