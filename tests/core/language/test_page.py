from pathlib import Path

import pytest

from banyanwheel_core.language import COLUMNS, LanguageError, Table, parse

PAGE = Path(__file__).parents[3] / "docs" / "LANGUAGE.md"


@pytest.mark.parametrize("table", Table)
def test_the_page_lists_each_table_with_its_columns(table):
    rows = [f"| `{c.name}` | {c.kind} | {c.meaning} |" for c in COLUMNS[table]]
    header = "| column | kind | meaning |\n|---|---|---|"
    assert "\n".join([f"### {table}\n\n{header}", *rows]) in PAGE.read_text()


def test_the_examples_of_the_page_are_commands():
    examples = PAGE.read_text().partition("## Examples\n")[2]
    lines = [line.strip() for line in examples.splitlines() if line.strip()]
    assert len(lines) >= len(Table)
    for line in lines:
        try:
            parse(line)
        except LanguageError as error:
            raise AssertionError(line) from error
