import pytest
from eliot import add_destinations, remove_destination


def _discard(message):
    """Takes what eliot would otherwise buffer for the first test's destination."""


@pytest.fixture(scope="session", autouse=True)
def _logs_of_other_tests_are_not_buffered():
    add_destinations(_discard)
    yield
    remove_destination(_discard)
