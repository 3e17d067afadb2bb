"""What was admitted and refused in the last seconds, for operators."""

from collections import deque

# Seconds that are counted: the window in which the platform measures a quota.
WINDOW_SECONDS = 8.0


class RecentCounts:
    """Units admitted and refused in the last WINDOW_SECONDS; times are the event loop's."""

    def __init__(self) -> None:
        """Start empty."""
        # A bucket for each second: its number, and the units admitted and refused in it.
        self._seconds: deque[list[int]] = deque()

    def add(self, cost: int, admitted: bool, now: float) -> None:
        """Count a request."""
        self._expire(now)
        if not self._seconds or self._seconds[-1][0] != int(now):
            self._seconds.append([int(now), 0, 0])
        self._seconds[-1][1 if admitted else 2] += cost

    def sum(self, now: float) -> tuple[int, int]:
        """Return the units admitted and refused."""
        self._expire(now)
        return sum(item[1] for item in self._seconds), sum(item[2] for item in self._seconds)

    def _expire(self, now: float) -> None:
        while self._seconds and self._seconds[0][0] <= now - WINDOW_SECONDS:
            self._seconds.popleft()
