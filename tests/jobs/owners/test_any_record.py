"""Whatever is on the log, the owner of its partition serves what it can read."""

from hypothesis import example, given, settings, strategies as st

from banyanwheel_jobs.model import Queue, Resources, Step, Submission
from banyanwheel_jobs.outcomes import Outcome
from banyanwheel_jobs.ports import KeyedRecord
from banyanwheel_jobs.records import (
    Accepted,
    Ended,
    Progress,
    Withdrawn,
    encode,
    job_key,
)
from tests.fuzzing import damaged, encodings
from tests.jobs.world import lone_owner

JOB = "f" * 16
SUBMISSION = Submission(
    JOB, Queue("a", "a", 0, 3, 1.6, 60), "", (Step(1, Resources(1_000), 100),), 0
)
KEYS = st.sampled_from(("", "0000000000000001", "p:0000000000000001", "é", JOB + "0"))
VALUES = st.one_of(
    st.binary(max_size=20),
    encodings(Accepted | Progress | Ended | Withdrawn),
    damaged(encodings(Accepted | Progress | Ended | Withdrawn)),
)
EXAMPLES = 300
# One field more than the record's type knows, nested too deeply to be passed over.
DEEP = b"\x95" + encode(Progress((), ()))[1:] + b"\x91" * 100_000 + b"\xc0"


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.dictionaries(KEYS, VALUES, max_size=4))
@example({"0000000000000001": DEEP})
def test_a_partition_is_served_whatever_its_records_are(values):
    owner = lone_owner(send=lambda runner, message: None, store=lambda partition: None)
    records = [KeyedRecord(key, value, 0) for key, value in values.items()]
    records.append(KeyedRecord(job_key(JOB), encode(Accepted(SUBMISSION, 1)), 9))
    partition = owner.open(0, 2, records, 100.0, 0)
    known = {*partition.jobs, *partition.ended}
    assert partition.unreadable_records <= len(values)
    replies = []
    for second in range(3):
        owner.tick(100.0 + second)
    for job_id in known:
        owner.ask(job_id, replies.append)
    owner.cancel(JOB, replies.append, 104.0)
    partition.journal.next_batch()
    partition.journal.mark_stored()
    assert replies[-1].outcome is Outcome.STATE
    assert replies[-1].state == "canceled"
