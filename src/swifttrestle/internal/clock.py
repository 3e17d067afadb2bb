"""Time as the policies see it: seconds of a monotonic clock, replaceable in tests."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of monotonic seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary point; it never goes back."""


class MonotonicClock(Clock):
    """The system's monotonic clock."""

    def now(self) -> float:
        """Return the system's monotonic seconds."""
        return time.monotonic()
