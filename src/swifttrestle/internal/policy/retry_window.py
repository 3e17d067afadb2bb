"""A retry budget over an exact sliding window, divided among the live hosts.

For all hosts together, the repeats (attempts after a request's first one) within any window stay
below a share of the requests plus a constant. Each host may use that share of its own requests and
an equal part of the constant.
"""

from collections import deque

# Share of the budget that is used, so that counts at the window's edges cannot exceed it.
USED_SHARE = 0.7


class WindowedRetryBudget:
    """Allows repeats while those in the window stay within the budget."""

    def __init__(self, share: float, extra: float, window: float) -> None:
        """Allow `share` repeats per request plus `extra`, in each window of `window` seconds."""
        self._share = share
        self._extra = extra
        self._window = window
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.hosts = 1

    def note_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._expire(now)

    def note_repeat(self, now: float) -> None:
        """Count a repeat that was not taken from the budget, such as one after a rejection."""
        self._repeats.append(now)

    def count_repeats(self, now: float) -> int:
        """Return the number of repeats in the window that ends now."""
        self._expire(now)
        return len(self._repeats)

    def allows(self, now: float) -> bool:
        """Return whether one repeat may be taken now."""
        self._expire(now)
        allowed = len(self._requests) * self._share + self._extra / max(1, self.hosts)
        return len(self._repeats) + 1 <= allowed * USED_SHARE

    def take(self, now: float) -> bool:
        """Take one repeat, or return False."""
        if not self.allows(now):
            return False
        self._repeats.append(now)
        return True

    def give_back(self) -> None:
        """Return the newest repeat that was taken, since it was not made."""
        if self._repeats:
            self._repeats.pop()

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window:
                times.popleft()
