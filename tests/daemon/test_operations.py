"""Commands that ask several dispatchers."""

import asyncio

import pytest

from banyanwheel_core.language import parse
from banyanwheel_daemon import operations as operations_module
from banyanwheel_daemon.inspector import Inspector
from banyanwheel_daemon.operations import Operations
from banyanwheel_jobs.messages import InspectionRequest, InspectionResult
from tests.jobs.world import EventRecorder


class FixedRows:
    """An inspector that answers every question with the same rows."""

    def __init__(self, rows):
        self._rows = rows

    def answer(self, question):
        return list(self._rows)


def job(name, tasks):
    return {"job": name, "tasks": tasks}


def ask(text, answers, own=()):
    """Executes a command; ``answers`` maps each other dispatcher to its answer.

    An answer is a function of the question's number, or None for no answer. Returns
    the reply, the messages sent and the event log.
    """
    sent = []
    event_log = EventRecorder()

    async def run():
        operations = Operations(
            FixedRows(own),
            None,
            None,
            4,
            others=lambda: list(answers),
            send=lambda address, message: sent.append((address, message)),
            send_reply=None,
        )
        running = asyncio.ensure_future(operations.execute(parse(text)))
        await asyncio.sleep(0)
        for address, message in sent:
            reply = answers[address]
            if reply is not None:
                answer = reply(message.number)
                operations.handle_inspection(address, answer, event_log)
        return await running

    return asyncio.run(run()), sent, event_log


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    monkeypatch.setattr(operations_module, "INSPECTION_TIMEOUT_S", 0.05)


def rows(*given):
    return lambda number: InspectionResult(number, Inspector.encode(list(given)))


def test_rows_of_all_dispatchers_are_ordered_and_limited_together():
    answers = {"a:1": rows(job("a", 5), job("b", 1)), "b:1": rows(job("c", 9))}
    text = "show jobs where tasks > 0 order by tasks desc limit 3"
    reply, sent, _ = ask(text, answers, own=[job("own", 7)])
    assert [row["job"] for row in reply.rows] == ["c", "own", "a"]
    assert reply.unresponsive == ()
    assert {message for _, message in sent} == {
        InspectionRequest(1, "show jobs where tasks > 0")
    }


def test_a_dispatcher_that_does_not_answer_is_named():
    reply, _, _ = ask("show jobs", {"a:1": None, "b:1": rows(job("b", 1))})
    assert [row["job"] for row in reply.rows] == ["b"]
    assert reply.unresponsive == ("a:1",)


@pytest.mark.parametrize(
    ("answer", "event"),
    [
        (lambda number: InspectionResult(number, b"\xc1"), "inspection:unreadable"),
        (
            lambda number: InspectionResult(number, b"", "no such table"),
            "inspection:refused",
        ),
    ],
)
def test_an_unreadable_answer_or_fault_is_logged_and_counts_as_no_answer(answer, event):
    reply, _, event_log = ask("show jobs", {"a:1": answer})
    assert reply.unresponsive == ("a:1",)
    assert [name for name, _ in event_log.events] == [event]


def test_tables_that_all_dispatchers_share_are_answered_locally():
    reply, sent, _ = ask("show queues", {"a:1": rows()}, own=[{"queue": "desk"}])
    assert reply.rows == ({"queue": "desk"},)
    assert sent == []


def test_a_worker_that_several_dispatchers_know_is_shown_once():
    def worker(runner, age_ms):
        return {"runner": runner, "age_ms": age_ms}

    answers = {"a:1": rows(worker("one", 40), worker("two", 80))}
    reply, _, _ = ask("show workers", answers, own=[worker("one", 160)])
    assert sorted(reply.rows, key=str) == [worker("one", 40), worker("two", 80)]


def test_a_question_of_another_dispatcher_is_answered_with_rows_or_a_fault():
    sent, entry = [], ("a:1", "life")
    operations = Operations(
        FixedRows([job("a", 1)]),
        None,
        None,
        4,
        others=list,
        send=None,
        send_reply=lambda entry, message: sent.append((entry, message)),
    )
    operations.handle_inspect(entry, InspectionRequest(3, "show jobs"))
    operations.handle_inspect(entry, InspectionRequest(4, "show nothing"))
    (_, good), (_, bad) = sent
    assert Inspector.decode(good.rows) == [job("a", 1)]
    assert (bad.number, bad.rows) == (4, b"")
    assert "no table" in bad.fault
