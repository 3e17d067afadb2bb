"""Time as all of the system sees it: steady seconds that go on while the machine is suspended.

A lease that ran out while its holder's machine was suspended has run out, a list that was read
before is as old as it is, and whoever waited has waited. The kernel's usual steady clock stands
still meanwhile; a host that went by it would act on beliefs that all others know to be old.
"""

import time
from abc import ABC, abstractmethod

# Replaced in tests, which suspend no machine.
read_kernel_clock = time.clock_gettime


def read_boottime_seconds() -> float:
    """Return steady seconds since an arbitrary point, suspended ones among them."""
    return read_kernel_clock(time.CLOCK_BOOTTIME)


class Clock(ABC):
    """A source of steady seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary point; it never goes back."""


class MonotonicClock(Clock):
    """The system's steady clock."""

    def now(self) -> float:
        """Return its seconds, suspended ones among them."""
        return read_boottime_seconds()
