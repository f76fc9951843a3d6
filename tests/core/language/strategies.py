"""Commands of every kind, for property tests."""

from hypothesis import strategies as st

from banyanwheel_core.language import (
    COLUMNS,
    And,
    CancelJob,
    CancelJobs,
    Compare,
    Drain,
    DrainKind,
    Duration,
    Kind,
    Not,
    Operator,
    Or,
    Order,
    Reconfigure,
    Show,
    Submit,
    Table,
    Undrain,
    Why,
)
from banyanwheel_core.models import JobSpec, TaskSpec

names = st.from_regex(r"[a-z0-9][a-z0-9-]{0,10}", fullmatch=True)
job_ids = st.from_regex(
    r"[a-z0-9][a-z0-9-]{0,10}\.[0-9a-f]{16}\.[1-9][0-9]{0,4}\.[1-9]", fullmatch=True
)
texts = st.text(max_size=20)
whole_numbers = st.integers(0, 10**18 - 1)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**62), 2**62) | texts,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner),
    max_leaves=5,
)
documents = st.dictionaries(texts, json_values, max_size=3)
decimals = st.integers(-(10**6), 10**6).map(lambda number: number / 1000)

VALUES = {
    Kind.TEXT: texts,
    Kind.NUMBER: st.integers(-(10**18) + 1, 10**18 - 1) | decimals,
    Kind.DURATION: st.integers(0, 10**9 - 1).map(Duration),
    Kind.FLAG: st.booleans(),
    Kind.LIST: texts,
}
ORDERED = [operator for operator in Operator if operator != Operator.CONTAINS]
OPERATORS = {
    Kind.TEXT: list(Operator),
    Kind.NUMBER: ORDERED,
    Kind.DURATION: ORDERED,
    Kind.FLAG: [Operator.EQUAL, Operator.NOT_EQUAL],
    Kind.LIST: [Operator.CONTAINS],
}


def comparisons(table):
    def compare(column):
        operators = st.sampled_from(OPERATORS[column.kind])
        return st.builds(Compare, st.just(column.name), operators, VALUES[column.kind])

    return st.sampled_from(COLUMNS[table]).flatmap(compare)


def filters(table):
    def combine(inner):
        several = st.lists(inner, min_size=2, max_size=3).map(tuple)
        return st.builds(Not, inner) | st.builds(And, several) | st.builds(Or, several)

    return st.recursive(comparisons(table), combine, max_leaves=5)


def shows(table):
    fields = st.sampled_from([column.name for column in COLUMNS[table]])
    return st.builds(
        Show,
        st.just(table),
        st.none() | filters(table),
        st.none() | st.builds(Order, fields, st.booleans()),
        st.none() | whole_numbers,
    )


specs = st.builds(
    JobSpec,
    names,
    names,
    names,
    st.lists(st.builds(TaskSpec, json_values), min_size=1, max_size=3).map(tuple),
)
kinds = st.sampled_from(DrainKind)
commands = st.one_of(
    st.sampled_from(Table).flatmap(shows),
    st.builds(Why, job_ids),
    st.builds(Submit, specs),
    st.builds(CancelJob, job_ids),
    st.builds(CancelJobs, filters(Table.JOBS)),
    st.builds(Drain, kinds, names),
    st.builds(Undrain, kinds, names),
    st.builds(Reconfigure, documents, st.none() | whole_numbers),
)
WORDS = (
    "show jobs tasks where and or not ( ) = != ~ < kind tasks queued_ms order by desc "
    'limit 3 3s true 4.5 " { } {} from why cancel drain worker submit reconfigure '
    "a.b \n \\"
)
scrambled = st.lists(st.sampled_from(WORDS.split(" ")), max_size=12).map(" ".join)
