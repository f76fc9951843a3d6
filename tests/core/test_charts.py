import pytest

from banyanwheel_core.charts import CHART_NAMES, Chart
from banyanwheel_core.errors import ChartError


@pytest.mark.parametrize("name", CHART_NAMES)
def test_every_transition_of_a_chart_is_reachable_and_final_states_end(name):
    chart = Chart.load(name)
    reached = {chart.initial}
    while True:
        found = {to for (state, _), to in chart.steps.items() if state in reached}
        if found <= reached:
            break
        reached |= found
    assert {state for state, _ in chart.steps} <= reached
    assert chart.final <= reached


@pytest.mark.parametrize("name", ["job", "grant", "process"])
def test_no_step_leaves_a_final_state(name):
    chart = Chart.load(name)
    assert not {state for state, _ in chart.steps} & chart.final


def test_a_step_that_the_chart_forbids_is_an_error():
    with pytest.raises(ChartError, match="no 'complete' in state 'waiting'"):
        Chart.load("job").next("waiting", "complete")


@pytest.mark.parametrize(
    "text",
    [
        "initial = 1",
        'initial = "a"\nfinal = []',
        'initial = "a"\nfinal = []\ntransitions = [{event = "x", from = ["a"]}]',
        'initial = "a"\nfinal = []\n[[transitions]]\nevent = "x"\nfrom = ["a", "a"]\n'
        'to = "a"',
    ],
)
def test_a_malformed_chart_is_rejected(text):
    with pytest.raises(ChartError):
        Chart.from_text("bad", text)
