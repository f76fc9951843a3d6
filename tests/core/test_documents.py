import pytest

from banyanwheel_core.documents import MAX_DOCUMENT_BYTES, Document
from banyanwheel_core.errors import FindingsError
from banyanwheel_core.messages import MemberRecord

TOML = """\
[subsidiaries.magnolia-ridge]
weight = 2
quota = 0.5

[kinds.confirm]
weight = 4.0

[drains]
racks = ["r1", "gulf-east/r2"]

[limits]
headroom_slots = 2
"""
FAULTY = """\
[subsidiaries.magnolia-ridge]
qouta = 0.5
weight = nan

[kinds.confirm]
max_queue = 0
"""


def places(caught):
    return {(finding.place, finding.line) for finding in caught.value.findings}


def test_a_document_reads_from_toml_and_json_with_defaults_for_the_rest():
    document = Document.from_toml(TOML)
    assert Document.from_json(document.to_json()) == document
    assert document.subsidiary("magnolia-ridge").quota == 0.5
    assert document.subsidiary("other").quota == 1.0
    assert document.kind("confirm").weight == 4.0
    assert document.kind("other").max_queue == document.kind("confirm").max_queue
    assert document.limits.headroom_slots == 2


def test_faults_in_toml_are_reported_together_with_their_lines():
    with pytest.raises(FindingsError) as caught:
        Document.from_toml(FAULTY)
    assert places(caught) == {
        ("subsidiaries.magnolia-ridge.qouta", 2),
        ("subsidiaries.magnolia-ridge.weight", 3),
        ("kinds.confirm.max_queue", 6),
    }
    assert "did you mean 'quota'?" in str(caught.value)


@pytest.mark.parametrize(
    ("data", "place"),
    [
        (b'{"limits": {"max_tasks": 0}}', "limits.max_tasks"),
        (b'{"kind": {}}', "kind"),
        (b"[]", ""),
        (b"{", "syntax"),
        (b"[" * 5_000 + b"]" * 5_000, "syntax"),
        (b" " * (MAX_DOCUMENT_BYTES + 1), "document"),
    ],
)
def test_a_fault_in_json_is_found_at_its_key(data, place):
    with pytest.raises(FindingsError) as caught:
        Document.from_json(data)
    assert places(caught) == {(place, None)}


@pytest.mark.parametrize(
    ("data_centre", "rack", "is_drained"),
    [
        ("gulf-west", "r1", True),
        ("gulf-east", "r2", True),
        ("gulf-west", "r2", False),
    ],
)
def test_a_rack_is_drained_everywhere_or_in_one_data_centre(
    data_centre, rack, is_drained
):
    member = MemberRecord("a", "1", "", data_centre, rack, (), 8)
    assert Document.from_toml(TOML).drains.covers(member) is is_drained
