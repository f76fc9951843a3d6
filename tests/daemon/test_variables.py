import pytest

from banyanwheel_core.errors import FindingsError
from banyanwheel_daemon.settings import from_file
from banyanwheel_daemon.variables import VARIABLES

SETTINGS = """
[process]
name = "one"
data_centre = "gulf-a"
address = "127.0.0.1:0"
[log]
address = "127.0.0.1:1"
partitions = 4
[worker]
heartbeats = "127.0.0.1:0"
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    return path


def value_of(settings, variable):
    section, key = VARIABLES[variable]
    return getattr(getattr(settings, section), key)


@pytest.mark.parametrize("variable", VARIABLES)
def test_a_variable_goes_before_the_file(path, variable):
    settings = from_file(path, {variable: "4321"})
    assert value_of(settings, variable) == 4_321


@pytest.mark.parametrize("variable", VARIABLES)
def test_a_platform_without_a_figure_leaves_the_setting_as_it_is(path, variable):
    """The platform renders an empty text for a field that it doesn't have."""
    assert from_file(path, {variable: ""}) == from_file(path)


def test_every_variable_that_is_no_number_is_named(path):
    with pytest.raises(FindingsError) as caught:
        from_file(path, dict.fromkeys(VARIABLES, "soon"))
    assert {finding.place for finding in caught.value.findings} == set(VARIABLES)


@pytest.mark.parametrize("variable", VARIABLES)
def test_a_figure_out_of_range_is_reported_with_its_key(path, variable):
    with pytest.raises(FindingsError) as caught:
        from_file(path, {variable: "-1"})
    assert caught.value.findings[0].place == ".".join(VARIABLES[variable])
