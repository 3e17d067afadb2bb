"""Requests per workspace and time window, counted on this host and collected from others.

Counts only rise. Collectors keep the highest count per incarnation of a host, so that messages may
be lost, duplicated or late.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from swifttrestle.internal.state.duties import UsageDraft

Counts = dict[str, int]

# Number of windows kept; covers all that may be due or resent at once, with windows of 5 s.
KEPT_WINDOWS = 8


@dataclass(frozen=True)
class WindowCounts:
    """The counts so far of one window by one incarnation of a host, which `source` names."""

    source: str
    window: int
    counts: Mapping[str, int]


def find_window(at: float, seconds: float) -> int:
    """Return the number of the window, `seconds` long, that contains a Unix time."""
    return int(at // seconds)


class UsageMeter:
    """Counts this host's requests and collects the counts of other hosts."""

    def __init__(self, source: str) -> None:
        """Count own requests under `source`, the name of this incarnation of the host."""
        self._source = source
        self._windows: dict[int, dict[str, Counter[str]]] = {}

    def note(self, workspace: str, window: int) -> None:
        """Count a request that began in a window."""
        self._find(window, self._source)[workspace] += 1

    def take(self, reported: WindowCounts) -> None:
        """Merge the counts that a host reports."""
        known = self._find(reported.window, reported.source)
        for workspace, count in reported.counts.items():
            known[workspace] = max(known[workspace], count)

    def list_windows(self) -> list[int]:
        """Return the windows with counts, oldest first."""
        return sorted(self._windows)

    def list_own(self, windows: Iterable[int]) -> list[WindowCounts]:
        """Return this host's own counts of the given windows."""
        found = []
        for window in windows:
            counts = self._windows.get(window, {}).get(self._source)
            if counts:
                found.append(WindowCounts(self._source, window, dict(counts)))
        return found

    def list_sources(self, window: int) -> tuple[str, ...]:
        """Return the sources with counts of a window."""
        return tuple(sorted(self._windows.get(window, ())))

    def sum(self, window: int, sources: Collection[str] | None = None) -> Counts:
        """Return the sum of a window's counts over all sources or the given ones."""
        total: Counter[str] = Counter()
        for source, counts in self._windows.get(window, {}).items():
            if sources is None or source in sources:
                total.update(counts)
        return dict(total)

    def sum_with_draft(self, window: int, draft: UsageDraft | None) -> Counts:
        """Return a window's counts, completed from a draft for hosts that have ended since.

        The current counts of a live host include its counts in the draft. If some sources of the
        draft have ended, the higher one of the two sums is closer to the true count.
        """
        if draft is None:
            return self.sum(window)
        known = set(self.list_sources(window))
        drafted = self.sum(window, set(draft.sources))
        others = self.sum(window, known - set(draft.sources))
        names = {*drafted, *others, *draft.counts}
        return {
            name: max(drafted.get(name, 0), draft.counts.get(name, 0)) + others.get(name, 0)
            for name in names
        }

    def drop_before(self, window: int) -> None:
        """Drop all windows before the given one."""
        for old in [item for item in self._windows if item < window]:
            del self._windows[old]

    def _find(self, window: int, source: str) -> "Counter[str]":
        return self._windows.setdefault(window, {}).setdefault(source, Counter())
