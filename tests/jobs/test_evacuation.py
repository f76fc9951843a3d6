"""Which data centres are evacuated, from the records of the log."""

from itertools import count

import pytest

from banyanwheel_jobs.evacuation import EvacuationRecord, Evacuations

OFFSETS = count()


def record(name, in_force=True, fault=""):
    return EvacuationRecord(f"e/{name}", next(OFFSETS), name, in_force, fault)


@pytest.fixture
def evacuations():
    evacuations = Evacuations()
    evacuations.replace([])
    return evacuations


def test_every_data_centre_is_covered_until_the_set_is_known():
    """Guards against starts by a process that has only just begun to read."""
    evacuations = Evacuations()
    assert (evacuations.known, evacuations.covers("dc-1")) == (False, True)
    evacuations.replace([record("dc-2")])
    assert (evacuations.known, evacuations.covers("dc-1")) == (True, False)
    assert evacuations.covers("dc-2")


def test_a_process_that_follows_none_covers_nothing():
    assert not Evacuations.not_followed().covers("dc-1")


def test_several_are_in_force_until_each_is_lifted(evacuations):
    change = evacuations.update([record("dc-2"), record("dc-1")])
    assert change.begun == ("dc-1", "dc-2")
    change = evacuations.update([record("dc-1", in_force=False)])
    assert change.lifted == ("dc-1",)
    assert evacuations.names == {"dc-2"}


def test_one_that_is_lifted_and_set_again_in_one_read_goes_on(evacuations):
    """Guards against a slow start, or starts, in between."""
    evacuations.update([record("dc-1")])
    change = evacuations.update([record("dc-1", in_force=False), record("dc-1")])
    assert (change.begun, change.lifted) == ((), ())
    assert evacuations.covers("dc-1")


def test_one_that_is_missing_among_the_newest_records_is_lifted(evacuations):
    """Its removal was deleted from the log before it was read."""
    evacuations.update([record("dc-1"), record("dc-2")])
    change = evacuations.replace([record("dc-2"), record("dc-3")])
    assert (change.begun, change.lifted) == (("dc-3",), ("dc-1",))


def test_an_unreadable_value_is_in_force_and_reported_once(evacuations):
    broken = record("dc-1", fault="no object")
    assert evacuations.update([broken, record("dc-2")]).unreadable == (broken,)
    assert evacuations.names == {"dc-1", "dc-2"}
    assert evacuations.replace([broken]).unreadable == ()
    again = record("dc-1", fault="no object")
    assert evacuations.update([again]).unreadable == (again,)


def test_a_record_without_a_data_centre_is_reported_and_ignored(evacuations):
    nameless = record("", fault="the key names no data centre")
    change = evacuations.update([nameless, record("dc-2")])
    assert (change.begun, change.unreadable) == (("dc-2",), (nameless,))


def test_one_of_no_data_centre_is_told_once_while_it_is_in_force(evacuations):
    evacuations.update([record("dc-1"), record("dc-9")])
    assert evacuations.newly_unmatched({"dc-1"}) == ("dc-9",)
    assert evacuations.newly_unmatched({"dc-1"}) == ()
    evacuations.update([record("dc-9", in_force=False)])
    assert evacuations.newly_unmatched({"dc-1"}) == ()
    evacuations.update([record("dc-9")])
    assert evacuations.newly_unmatched({"dc-1"}) == ("dc-9",)
