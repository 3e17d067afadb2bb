"""Monotonic time that includes the time during which the machine is suspended.

Leases expire and cached state ages while the machine is suspended. CLOCK_MONOTONIC stops
meanwhile, so a host that used it would treat expired state as current after it resumes.
"""

import time
from abc import ABC, abstractmethod

# Replaced in tests.
read_kernel_clock = time.clock_gettime


def read_boottime_seconds() -> float:
    """Return seconds since boot, including suspended time."""
    return read_kernel_clock(time.CLOCK_BOOTTIME)


class Clock(ABC):
    """A monotonic clock."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary point; the value never decreases."""


class MonotonicClock(Clock):
    """The system's monotonic clock."""

    def now(self) -> float:
        """Return seconds since boot, including suspended time."""
        return read_boottime_seconds()
