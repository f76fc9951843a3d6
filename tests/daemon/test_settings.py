import pytest

from banyanwheel_core.errors import FindingsError
from banyanwheel_daemon.addresses import Address
from banyanwheel_daemon.settings import DispatcherSettings, RunnerSettings, check

PROCESS = """\
[process]
name = "front-1"
data_centre = "gulf-east"
address = "127.0.0.1:7001"
[log]
address = "127.0.0.1:8169"
partitions = 32
"""
DISPATCHER = PROCESS + '[callers]\nlisten = "127.0.0.1:8080"\nready = "[::1]:8081"\n'
RUNNER = PROCESS + '[worker]\nheartbeats = "127.0.0.1:8090"\n'
FAULTY_RUNNER = """\
[process]
name = ""
data_centre = "gulf-east"
adress = "127.0.0.1:0"
[worker]
heartbeats = "entry-host:7001"

[jobs]
lease_ms = "long"
[log]
address = "127.0.0.1:8169"
partitions = 32
"""


@pytest.fixture
def write(tmp_path):
    def write(text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        return path

    return write


def test_a_dispatcher_reads_its_settings_and_defaults(write):
    settings = DispatcherSettings.from_file(write(DISPATCHER))
    assert settings.callers.listen.port == 8080
    assert settings.callers.ready.host == "::1"
    assert settings.process.operators is None
    assert settings.process.advertised_address == "127.0.0.1:7001"
    assert settings.jobs.lease_ms == 1_000
    assert settings.jobs.evacuation_ms is None
    assert check(write(DISPATCHER)) == ()


def test_an_advertised_address_replaces_the_listening_address(write):
    text = RUNNER.replace("[log]", 'advertise = "10.0.0.7:7000"\n[log]')
    process = RunnerSettings.from_file(write(text)).process
    assert process.advertised_address == "10.0.0.7:7000"
    assert type(process.advertised_address) is str


def test_all_faults_are_reported_together_each_with_its_line(write):
    path = write(FAULTY_RUNNER)
    with pytest.raises(FindingsError) as caught:
        RunnerSettings.from_file(path)
    found = {(finding.place, finding.line) for finding in caught.value.findings}
    assert found == {
        ("process.name", 2),
        ("process.adress", 4),
        ("process.address", 1),
        ("worker.heartbeats", 6),
        ("jobs.lease_ms", 9),
    }
    assert "did you mean 'address'?" in str(caught.value)
    assert check(path) == caught.value.findings


@pytest.mark.parametrize(
    ("text", "place", "line"),
    [
        ("[process]\nname = \n", "syntax", 2),
        ("deep = " + "[" * 5_000 + "]" * 5_000, "syntax", None),
        ("[process]\nname = 'a'\n", "role", None),
        (DISPATCHER + "[worker]\n", "role", None),
        (RUNNER.replace("partitions", "# partitions"), "log.partitions", 5),
        (RUNNER + "[jobs]\nlease_ms = 0\n", "jobs.lease_ms", 11),
        (
            DISPATCHER + "[jobs]\nseparate_interfering = 1\n",
            "jobs.separate_interfering",
            12,
        ),
    ],
)
def test_a_fault_is_found_at_its_place(write, text, place, line):
    (finding,) = check(write(text))
    assert (finding.place, finding.line) == (place, line)


def test_a_file_that_cannot_be_read_is_a_finding(tmp_path):
    (finding,) = check(tmp_path / "absent.toml")
    assert finding.place == "file"


@pytest.mark.parametrize("text", ["host:1", "127.0.0.1", "127.0.0.1:99999", "::1:80"])
def test_an_address_is_an_ip_number_and_a_port(text):
    with pytest.raises(ValueError):
        Address.parse(text)
