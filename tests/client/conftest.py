import pytest

from tests.client.fake_entry import FakeEntry, Jobs


@pytest.fixture
def jobs():
    return Jobs()


@pytest.fixture
def entry(jobs):
    entries = []

    def start(**options):
        entries.append(FakeEntry(jobs, **options))
        return entries[-1]

    yield start
    for started in entries:
        started.close()
