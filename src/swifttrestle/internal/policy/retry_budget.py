"""A retry budget: limits retries to a share of requests, with exponential decay.

The share, instead of a number of retries for each request, follows the paper ("A client-side retry
budget"); see docs/design/guards.md.
"""

import threading

HALF_LIFE_SECONDS = 10.0
# Retries that are always allowed, so that a service with few requests gets some.
MIN_RETRIES = 3.0


class RetryBudget:
    """Allows a retry while recent retries stay under a share of recent requests."""

    def __init__(self, ratio: float) -> None:
        """Allow `ratio` retries for each request, and at least MIN_RETRIES."""
        self.ratio = ratio
        self._lock = threading.Lock()
        self._requests = 0.0
        self._retries = 0.0
        self._updated_at = 0.0

    def note_request(self, now: float) -> None:
        """Count a request; `now` is in monotonic seconds."""
        with self._lock:
            self._decay(now)
            self._requests += 1

    def take(self, now: float) -> bool:
        """Take one retry from the budget, or return False."""
        with self._lock:
            self._decay(now)
            if self._retries + 1 > max(MIN_RETRIES, self._requests * self.ratio):
                return False
            self._retries += 1
            return True

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_SECONDS)
        self._requests *= factor
        self._retries *= factor
        self._updated_at = now
