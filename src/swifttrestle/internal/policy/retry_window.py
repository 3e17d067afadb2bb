"""A retry budget over an exact sliding window, shared by the hosts that live.

The promise covers all hosts together: repeats within any window stay under a share of the
requests and a fixed extra. Each host takes the share of its own requests, and an equal part
of the extra.
"""

from collections import deque

# Part of the promise that is used, so that counts at the window's edges cannot exceed it.
USED_PART = 0.7


class WindowedRetryBudget:
    """Allows a repeat while repeats in the window stay under the promise."""

    def __init__(self, share: float, extra: float, window: float) -> None:
        """Allow `share` repeats a request and `extra` in all, in each `window` seconds."""
        self._share = share
        self._extra = extra
        self._window = window
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.hosts = 1

    def note_request(self, now: float) -> None:
        """Count a first arrival."""
        self._requests.append(now)
        self._expire(now)

    def note_repeat(self, now: float) -> None:
        """Count an arrival beyond the first that was not asked for, such as a rejected one."""
        self._repeats.append(now)

    def count_repeats(self, now: float) -> int:
        """Return the repeats in the window that ends now."""
        self._expire(now)
        return len(self._repeats)

    def allows(self, now: float) -> bool:
        """Return whether one repeat may be taken now."""
        self._expire(now)
        allowed = len(self._requests) * self._share + self._extra / max(1, self.hosts)
        return len(self._repeats) + 1 <= allowed * USED_PART

    def take(self, now: float) -> bool:
        """Take one repeat, or return False."""
        if not self.allows(now):
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._window:
                times.popleft()
