"""JSON of the platform that can't be read."""

import msgspec
import pytest

from banyanwheel_platform.callers import read_steps
from banyanwheel_platform.configuration import decode_configuration
from banyanwheel_platform.decoding import decode_whole_number

DEEP = b"[" * 100_000


@pytest.mark.parametrize("data", [DEEP, b'{"version": 1, "routes": [], "x": ' + DEEP])
def test_a_configuration_nested_too_deeply_is_unreadable(data):
    """It ended the reading of configurations, for good."""
    with pytest.raises(msgspec.MsgspecError):
        decode_configuration(data)


def test_a_job_nested_too_deeply_is_refused():
    with pytest.raises(ValueError, match="recursion"):
        read_steps(b'{"steps": [{}], "x": ' + DEEP)


@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("250", 250),
        ("0", 0),
        ("000000250", 250),
        ("1001", 1_000),
        ("9" * 16_000, 1_000),
        ("", 7),
        ("-1", 7),
        ("1.5", 7),
        ("²", 7),
        ("٣", 7),
    ],
)
def test_a_whole_number_is_read_from_any_text(text, number):
    assert decode_whole_number(text, default=7, maximum=1_000) == number
