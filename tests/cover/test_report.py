"""The report that is generated from the journal."""

import json

import pytest

from bench.report import draw_site, find_costliest_prices, read_score, read_scores, write_page


def make_day(name, worth, rules=(), fault=None, **prices):
    triples = [[key.replace("_", " "), amount, cost] for key, (amount, cost) in prices.items()]
    return {
        "name": name, "G": worth, "rules": dict.fromkeys(rules, 1), "fault": fault,
        "prices": triples,
    }  # fmt: skip


def make_entry(site="site", cmd="score", days=(), at="2026-01-02T03:04:05Z", why="a reason"):
    return {
        "cmd": cmd, "site": site, "days": list(days), "at": [at, at], "why": why,
        "head": "0123456789abcdef",
    }  # fmt: skip


QUIET = make_day("quiet-1", 0.5, cloud_calls=(300, 0.01), processor_seconds=(20, 0.001))
VIOLATION = make_day("trouble-1", 0.25, ("DRAIN",), cloud_calls=(400, 0.02))
SLOW = make_day("scale-1", 0.75, (), "too slow")


@pytest.mark.parametrize(
    "entry",
    [
        make_entry(cmd="run", days=[QUIET]),
        make_entry(cmd="hunt", days=[QUIET]),
        make_entry(site=None, days=[QUIET]),
        make_entry(days=[]),
    ],
    ids=["one day", "hunt", "no site", "interrupted"],
)
def test_an_entry_that_is_not_a_complete_score_is_left_out(entry):
    assert read_score(entry) is None


def test_a_row_holds_each_day_the_mean_and_the_used_amounts():
    page = write_page([read_score(make_entry(days=[QUIET, VIOLATION]))])
    assert "| score | commit | quiet-1 | trouble-1 | mean | processor s | store calls |" in page
    assert "| 2026-01-02T03:04 | 0123456 | 0.500 | 0.250 (DRAIN) | 0.375 | 20 | 700 |" in page


def test_a_day_with_a_fault_is_marked_and_a_missing_day_is_a_dash():
    scores = [read_score(make_entry(days=[QUIET])), read_score(make_entry(days=[QUIET, SLOW]))]
    page = write_page(scores)
    assert "| 0.500 | - | 0.500 |" in page
    assert "| 0.500 | 0.750 (fault) | 0.625 |" in page


def test_the_lowest_days_come_first_with_their_highest_prices():
    page = write_page([read_score(make_entry(days=[QUIET, VIOLATION]))])
    lowest = page[page.index("Highest prices") :].splitlines()
    assert lowest[2] == "- trouble-1 (0.250): cloud calls 0.020"
    assert lowest[3] == "- quiet-1 (0.500): cloud calls 0.010, processor seconds 0.001"


def test_scores_are_read_in_order_of_file_names_and_grouped_by_site(tmp_path):
    (tmp_path / "2.json").write_text(json.dumps(make_entry("b", days=[QUIET], why="later")))
    (tmp_path / "1.json").write_text(json.dumps(make_entry("a", days=[QUIET], why="first")))
    (tmp_path / "3.json").write_text(json.dumps(make_entry("a", cmd="run", days=[QUIET])))
    scores = read_scores(tmp_path)
    assert [score.why for score in scores] == ["first", "later"]
    page = write_page(scores)
    assert page.index("## a") < page.index("## b")


def test_the_plot_shows_the_highest_prices(tmp_path):
    scores = [read_score(make_entry(days=[QUIET, VIOLATION]))]
    assert find_costliest_prices(scores) == ["cloud calls", "processor seconds"]
    draw_site("site", scores, tmp_path / "plot.png")
    assert (tmp_path / "plot.png").read_bytes().startswith(b"\x89PNG")
