"""Report of the scores in the committed journal: the worth of each standard day.

`python -m bench report` writes bench/reports/days.md and a plot per site.
"""

import json
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
JOURNAL = ROOT / "journal"
REPORTS = Path(__file__).parent / "reports"
# Number of prices shown per day and in the plot, the highest first.
SHOWN_PRICES = 6
# Number of days listed as the lowest of a site's last score.
LOWEST_DAYS = 3
PROCESSOR_SECONDS = "processor seconds"
STORE_CALLS = "cloud calls"


@dataclass(frozen=True)
class Day:
    """One standard day of a score; a price is an amount and its deduction from the worth."""

    name: str
    worth: float
    broken: tuple[str, ...]
    prices: dict[str, tuple[float, float]]

    def find_amount(self, price: str) -> float:
        """Return the amount behind a price, 0 if the day does not have it."""
        return self.prices.get(price, (0.0, 0.0))[0]


@dataclass(frozen=True)
class Score:
    """One scored run of a site's standard days."""

    site: str
    at: str
    commit: str
    why: str
    days: tuple[Day, ...]

    @property
    def mean(self) -> float:
        """Mean worth of the days."""
        return statistics.fmean(day.worth for day in self.days)


def read_scores(folder: Path) -> list[Score]:
    """Return the complete scores of a journal, oldest first."""
    entries = (json.loads(path.read_text()) for path in sorted(folder.glob("*.json")))
    return [score for entry in entries if (score := read_score(entry)) is not None]


def read_score(entry: dict[str, Any]) -> Score | None:
    """Return the score of an entry; None if it is of another command or was interrupted."""
    if entry["cmd"] != "score" or not entry["site"] or not entry["days"]:
        return None
    days = tuple(_read_day(item) for item in entry["days"])
    return Score(entry["site"], entry["at"][0], entry["head"][:7], entry["why"] or "", days)


def _read_day(item: dict[str, Any]) -> Day:
    broken = [*item["rules"], *(["fault"] if item["fault"] else [])]
    prices = {name: (float(amount), float(cost)) for name, amount, cost in item["prices"]}
    return Day(item["name"], float(item["G"]), tuple(broken), prices)


def write_page(scores: Sequence[Score]) -> str:
    """Return the report as Markdown."""
    sites = sorted({score.site for score in scores})
    parts = [write_site(site, [item for item in scores if item.site == site]) for site in sites]
    head = "# What the standard days were worth\n\nMade by `make report` from `journal/`.\n"
    return "\n".join([head, *parts])


def write_site(site: str, scores: Sequence[Score]) -> str:
    """Return the section of a site: a row per score, then the prices of its lowest days."""
    names = list(dict.fromkeys(day.name for score in scores for day in score.days))
    lines = [
        f"## {site}\n",
        f"![worth of the days of {site}](days-{site}.png)\n",
        f"| score | commit | {' | '.join(names)} | mean | processor s | store calls |",
        "|---" * (len(names) + 5) + "|",
    ]
    lines += [_write_row(score, names) for score in scores]
    return "\n".join([*lines, "", *_write_lowest_days(scores[-1]), ""])


def _write_row(score: Score, names: Iterable[str]) -> str:
    days = {day.name: day for day in score.days}
    cells = [_write_worth(days[name]) if name in days else "-" for name in names]
    sums = [
        f"{sum(day.find_amount(price) for day in score.days):.0f}"
        for price in (PROCESSOR_SECONDS, STORE_CALLS)
    ]
    row = [score.at[:16], score.commit, *cells, f"{score.mean:.3f}", *sums]
    return f"| {' | '.join(row)} |"


def _write_worth(day: Day) -> str:
    return f"{day.worth:.3f}" + (f" ({', '.join(day.broken)})" if day.broken else "")


def _write_lowest_days(score: Score) -> list[str]:
    lowest = sorted(score.days, key=lambda day: day.worth)[:LOWEST_DAYS]
    lines = [f"Highest prices on the lowest days of the last score ({score.why}):\n"]
    for day in lowest:
        costliest = sorted(day.prices.items(), key=lambda item: -item[1][1])[:SHOWN_PRICES]
        shown_costs = ", ".join(
            f"{name} {cost:.3f}" for name, (_, cost) in costliest if cost >= 0.0005
        )
        lines.append(f"- {day.name} ({day.worth:.3f}): {shown_costs}")
    return lines


def draw_site(site: str, scores: Sequence[Score], path: Path) -> None:
    """Plot each day's worth, and the highest prices, over the scores of a site."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    figure, (worths, prices) = pyplot.subplots(1, 2, figsize=(12, 4.5))
    labels = [score.commit for score in scores]
    places = range(len(scores))
    for name in dict.fromkeys(day.name for score in scores for day in score.days):
        values = [
            next((day.worth for day in score.days if day.name == name), float("nan"))
            for score in scores
        ]
        worths.plot(places, values, marker="o", label=name)
    worths.set_title(f"{site}: worth")
    bottom = [0.0] * len(scores)
    for name in find_costliest_prices(scores):
        costs = [
            statistics.fmean(d.prices.get(name, (0.0, 0.0))[1] for d in s.days) for s in scores
        ]
        prices.bar(places, costs, bottom=bottom, label=name)
        bottom = [below + cost for below, cost in zip(bottom, costs, strict=True)]
    prices.set_title("prices, mean of a day")
    for panel in (worths, prices):
        panel.set_xticks(places, labels, rotation=60, fontsize=7)
        panel.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def find_costliest_prices(scores: Sequence[Score]) -> list[str]:
    """Return the names of the prices with the highest total cost over all scores."""
    sums: dict[str, float] = {}
    for score in scores:
        for day in score.days:
            for name, (_, cost) in day.prices.items():
                sums[name] = sums.get(name, 0.0) + cost
    return sorted(sums, key=lambda name: -sums[name])[:SHOWN_PRICES]


def main() -> None:
    """Write the report and its plots."""
    REPORTS.mkdir(exist_ok=True)
    scores = read_scores(JOURNAL)
    (REPORTS / "days.md").write_text(write_page(scores))
    for site in {score.site for score in scores}:
        found = [score for score in scores if score.site == site]
        draw_site(site, found, REPORTS / f"days-{site}.png")
