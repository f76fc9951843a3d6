"""Evacuations as the platform's operator writes them to the log."""

import pytest

from banyanwheel_jobs.ports import KeyedRecord
from banyanwheel_platform.configuration import CONFIGURATION_KEY, decode_evacuation


def decode(key, value):
    return decode_evacuation(KeyedRecord(key, value, 7))


@pytest.mark.parametrize(
    ("value", "in_force"),
    [(b"{}", True), (b'{"by": "x"}', True), (None, False), (b"", False)],
)
def test_a_key_names_the_data_centre(value, in_force):
    record = decode("evacuate/gs-memphis", value)
    assert (record.data_centre, record.in_force) == ("gs-memphis", in_force)
    assert (record.key, record.offset, record.fault) == ("evacuate/gs-memphis", 7, "")


@pytest.mark.parametrize("value", [b"[]", b"1", b"{", b"\xff", b"[" * 100_000])
def test_an_unreadable_value_is_in_force(value):
    """Guards against starts in a data centre whose evacuation was mistyped."""
    record = decode("evacuate/dc-1", value)
    assert (record.data_centre, record.in_force) == ("dc-1", True)
    assert record.fault


@pytest.mark.parametrize("key", ["evacuate/", "evacuate/a/b", "evacuate//"])
def test_a_key_without_a_data_centre_names_none(key):
    record = decode(key, b"{}")
    assert (record.data_centre, record.fault != "") == ("", True)
    assert decode(key, None).fault == ""


@pytest.mark.parametrize("key", [CONFIGURATION_KEY, "evacuate", "evacuated/x", ""])
def test_other_keys_are_no_evacuations(key):
    assert decode(key, b"{}") is None
