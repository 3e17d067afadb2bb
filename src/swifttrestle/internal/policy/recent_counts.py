"""Counts of what a quota admitted and refused in a sliding window."""

from collections import deque
from dataclasses import dataclass

# Number of slots that a window is divided into; a count leaves it with its slot.
SLOTS = 8


@dataclass(frozen=True)
class Counts:
    """Admitted units of the quota, and refused requests."""

    admitted: int = 0
    refused: int = 0

    def __add__(self, other: "Counts") -> "Counts":
        """Return the sums."""
        return Counts(self.admitted + other.admitted, self.refused + other.refused)


class RecentCounts:
    """The counts of the last `window` seconds."""

    def __init__(self, window: float) -> None:
        """Start with none."""
        self._slot_seconds = window / SLOTS
        self._slots: deque[tuple[int, Counts]] = deque()

    def note(self, now: float, counts: Counts) -> None:
        """Add counts at a time, which never decreases."""
        slot = int(now // self._slot_seconds)
        if self._slots and self._slots[-1][0] == slot:
            counts = self._slots.pop()[1] + counts
        self._slots.append((slot, counts))
        self._expire(slot)

    def total(self, now: float) -> Counts:
        """Return the sums over the window that ends now.

        What was admitted before the window and given back in it does not make the sum negative.
        """
        self._expire(int(now // self._slot_seconds))
        counts = sum((counts for _, counts in self._slots), Counts())
        return Counts(max(0, counts.admitted), counts.refused)

    def _expire(self, slot: int) -> None:
        while self._slots and self._slots[0][0] <= slot - SLOTS:
            self._slots.popleft()
