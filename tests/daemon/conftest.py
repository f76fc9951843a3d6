import pytest
from eliot import add_destinations, remove_destination


def _discard(message):
    """Drops messages, which eliot buffers while it has no destination."""


@pytest.fixture(scope="session", autouse=True)
def _discard_log_messages():
    add_destinations(_discard)
    yield
    remove_destination(_discard)
