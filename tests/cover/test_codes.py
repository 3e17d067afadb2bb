"""The table of result codes and its page in the docs."""

from pathlib import Path

from swifttrestle import errors
from swifttrestle.codes import TABLE, Code

DOCS = Path(__file__).parents[2] / "docs"


def test_every_code_is_in_the_table():
    assert set(TABLE) == set(Code)


def test_the_docs_page_has_exactly_the_rows_of_the_table():
    rows = [
        f"| {int(code)} | {code.name} | {entry.status or ''} | "
        f"{entry.ran.value if entry.ran else ''} | {entry.meaning} |"
        for code, entry in TABLE.items()
    ]
    page = (DOCS / "RESULT-CODES.md").read_text()
    assert [
        line for line in page.splitlines() if line.startswith("| ") and line[2].isdigit()
    ] == rows


def test_every_exception_class_has_a_code_of_the_table():
    classes = [v for v in vars(errors).values() if isinstance(v, type)]
    for exception_class in classes:
        if issubclass(exception_class, errors.SwifttrestleError):
            assert exception_class.code in TABLE
