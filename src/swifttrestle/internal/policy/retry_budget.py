"""A retry budget: retries as a share of requests, over a sliding time.

The idea of a share instead of a count a request is the paper's ("A client-side retry
budget"); docs/design/guards.md has the measurement that speaks for it here.
"""

import threading

HALF_LIFE = 10.0
FLOOR = 3.0


class RetryBudget:
    """Allows a retry while retries stay under a share of the requests of late."""

    def __init__(self, ratio: float) -> None:
        """Allow so many retries a request, with a floor of three for quiet times."""
        self.ratio = ratio
        self._lock = threading.Lock()
        self._requests = 0.0
        self._retries = 0.0
        self._at = 0.0

    def note_request(self, now: float) -> None:
        """Count one request; `now` is in monotonic seconds."""
        with self._lock:
            self._fade(now)
            self._requests += 1

    def take(self, now: float) -> bool:
        """Take one retry from the budget, or return False."""
        with self._lock:
            self._fade(now)
            if self._retries + 1 > max(FLOOR, self._requests * self.ratio):
                return False
            self._retries += 1
            return True

    def _fade(self, now: float) -> None:
        keep = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE)
        self._requests *= keep
        self._retries *= keep
        self._at = now
