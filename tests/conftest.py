import pytest

from tests import known_red

# Steps that several features share.
pytest_plugins = [
    "tests.promises.checks",
    "tests.promises.evacuations",
    "tests.promises.submissions",
]
_ENTRIES = pytest.StashKey()


def pytest_addoption(parser):
    parser.addoption(
        "--known-red", metavar="FILE", help="Pass over the tests listed in FILE."
    )


def pytest_configure(config):
    path = config.getoption("--known-red")
    config.stash[_ENTRIES] = known_red.read(path) if path else ()


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    items[:], passed_over = known_red.separate(items, config.stash[_ENTRIES])
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)


def pytest_terminal_summary(terminalreporter, config):
    for entry in config.stash[_ENTRIES]:
        line = f"KNOWN-RED, not run: {entry.test}: {entry.seen} ({entry.issue})"
        terminalreporter.write_line(line)
