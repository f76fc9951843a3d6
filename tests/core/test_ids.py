import pytest

from banyanwheel_core.effects import Peer
from banyanwheel_core.errors import InvalidIdError
from banyanwheel_core.ids import JobId


def test_an_id_reads_back_as_it_was_written():
    job_id = JobId(Peer("gulf-1", "0123456789abcdef"), 7, 42)
    assert JobId.parse(str(job_id)) == job_id


@pytest.mark.parametrize("text", ["", "x", "A.0123456789abcdef.1.1", "a.12.1.1"])
def test_text_that_no_coordinator_issues_is_rejected(text):
    with pytest.raises(InvalidIdError):
        JobId.parse(text)
