"""One table of result codes, shared by code and docs."""

from pathlib import Path

from swifttrestle import errors
from swifttrestle.codes import TABLE, Code

DOCS = Path(__file__).parents[2] / "docs"


def test_every_code_is_in_the_table():
    assert set(TABLE) == set(Code)


def test_the_page_has_exactly_the_table():
    rows = [
        f"| {int(code)} | {code.name} | {entry.status or ''} | "
        f"{entry.ran.value if entry.ran else ''} | {entry.meaning} |"
        for code, entry in TABLE.items()
    ]
    page = (DOCS / "RESULT-CODES.md").read_text()
    assert [
        line for line in page.splitlines() if line.startswith("| ") and line[2].isdigit()
    ] == rows


def test_every_error_has_a_code_of_its_own_kind():
    kinds = [v for v in vars(errors).values() if isinstance(v, type)]
    for kind in kinds:
        if issubclass(kind, errors.SwifttrestleError):
            assert kind.code in TABLE
