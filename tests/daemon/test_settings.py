import msgspec
import pytest

from banyanwheel_core.errors import FindingsError
from banyanwheel_daemon.settings import Address, AgentSettings, EntrySettings, check

ENTRY = """\
[process]
name = "entry-1"
data_centre = "gulf-east"
[entry]
http = "127.0.0.1:8080"
[log_service]
url = "http://127.0.0.1:9000"
[peers]
entries = ["127.0.0.1:7001", "[::1]:7002"]
"""
FAULTY_AGENT = """\
[process]
name = "Agent 1"
data_centre = "gulf-east"
rack = "r1"
[agent]
adress = "127.0.0.1:0"
retention_ms = "long"

[log_service]
url = "http://127.0.0.1:9000"
[peers]
entries = ["127.0.0.1:7001", "entry-host:7001"]
"""


@pytest.fixture
def write(tmp_path):
    def write(text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        return path

    return write


def test_an_entry_reads_its_settings_and_defaults(write):
    settings = EntrySettings.from_file(write(ENTRY))
    assert settings.entry.http.port == 8080
    assert settings.entry.address == Address("127.0.0.1:0")
    assert settings.peers.entries[1].host == "::1"
    assert settings.log_service.poll_ms == 2_000
    assert check(write(ENTRY)) == ()


def test_an_advertised_address_goes_into_messages_as_it_is(write):
    faultless = FAULTY_AGENT.replace("Agent 1", "agent-1").replace("entry-host", "::1")
    text = faultless.replace('retention_ms = "long"', 'advertise = "10.0.0.7:7000"')
    path = write(text.replace("adress", "address").replace("::1:", "[::1]:"))
    advertise = AgentSettings.from_file(path).agent.advertise
    assert msgspec.json.encode(advertise) == b'"10.0.0.7:7000"'


def test_four_faults_are_reported_together_each_with_its_line(write):
    path = write(FAULTY_AGENT)
    with pytest.raises(FindingsError) as caught:
        AgentSettings.from_file(path)
    found = {(finding.place, finding.line) for finding in caught.value.findings}
    assert found == {
        ("process.name", 2),
        ("agent.adress", 6),
        ("agent.retention_ms", 7),
        ("peers.entries[1]", 12),
    }
    assert "did you mean 'address'?" in str(caught.value)
    assert check(path) == caught.value.findings


@pytest.mark.parametrize(
    ("text", "place", "line"),
    [
        ("[process]\nname = \n", "syntax", 2),
        ("deep = " + "[" * 5_000 + "]" * 5_000, "syntax", None),
        ("[process]\nname = 'a'\n", "role", None),
        (ENTRY + "[agent]\n", "role", None),
        (ENTRY.replace("url", "# url"), "log_service.url", 6),
        (ENTRY + "[logs]\nfile = ''\n", "logs.file", 11),
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
