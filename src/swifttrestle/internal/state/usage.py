"""How many requests of each workspace began in each window of time, as counted and as gathered.

Counts only rise. Whoever gathers them keeps for each start of a host the highest one that it heard,
so that words may be lost, doubled or late.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from swifttrestle.internal.state.duties import UsageDraft

Counts = dict[str, int]

# Windows that are kept: as many as may be due or told again at once, at 5 s each.
KEPT_WINDOWS = 8


@dataclass(frozen=True)
class WindowCounts:
    """What one start of a host has counted of a window so far; `source` names that start."""

    source: str
    window: int
    counts: Mapping[str, int]


def find_window(at: float, seconds: float) -> int:
    """Return the number of the window of so many seconds that a Unix time falls into."""
    return int(at // seconds)


class UsageMeter:
    """Counts this host's requests, and gathers what other hosts have counted."""

    def __init__(self, source: str) -> None:
        """Count under the name of this start."""
        self._source = source
        self._windows: dict[int, dict[str, Counter[str]]] = {}

    def note(self, workspace: str, window: int) -> None:
        """Count one request that began in a window."""
        self._find(window, self._source)[workspace] += 1

    def take(self, told: WindowCounts) -> None:
        """Take over what a host has counted."""
        known = self._find(told.window, told.source)
        for workspace, count in told.counts.items():
            known[workspace] = max(known[workspace], count)

    def list_windows(self) -> list[int]:
        """Return the windows in which anything was counted, oldest first."""
        return sorted(self._windows)

    def list_own(self, windows: Iterable[int]) -> list[WindowCounts]:
        """Return what this host has counted of some windows."""
        found = []
        for window in windows:
            counts = self._windows.get(window, {}).get(self._source)
            if counts:
                found.append(WindowCounts(self._source, window, dict(counts)))
        return found

    def list_sources(self, window: int) -> tuple[str, ...]:
        """Return the starts of hosts that have counted something of a window."""
        return tuple(sorted(self._windows.get(window, ())))

    def sum(self, window: int, sources: Collection[str] | None = None) -> Counts:
        """Return a window's counts, of all starts of hosts or of some."""
        total: Counter[str] = Counter()
        for source, counts in self._windows.get(window, {}).items():
            if sources is None or source in sources:
                total.update(counts)
        return dict(total)

    def sum_with_draft(self, window: int, draft: UsageDraft | None) -> Counts:
        """Return a window's counts with what a draft says of hosts that died since.

        A host that still tells its counts has told at least what the draft holds of it; where
        some of the draft's hosts are gone, the higher sum is nearer to the truth.
        """
        if draft is None:
            return self.sum(window)
        known = set(self.list_sources(window))
        inside = self.sum(window, set(draft.sources))
        beside = self.sum(window, known - set(draft.sources))
        names = {*inside, *beside, *draft.counts}
        return {
            name: max(inside.get(name, 0), draft.counts.get(name, 0)) + beside.get(name, 0)
            for name in names
        }

    def forget_before(self, window: int) -> None:
        """Drop what is older than a window."""
        for old in [item for item in self._windows if item < window]:
            del self._windows[old]

    def _find(self, window: int, source: str) -> "Counter[str]":
        return self._windows.setdefault(window, {}).setdefault(source, Counter())
