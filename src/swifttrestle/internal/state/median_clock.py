"""A wall clock shared by all hosts: the median of their clocks.

The wall clocks of some hosts may jump by seconds, even simultaneously. Time windows that must
agree on all hosts use the median of the hosts' clocks, advanced by this host's steady clock.
"""

import statistics
import time
from collections.abc import Callable

from swifttrestle.internal.clock import read_boottime_seconds

# Age up to which another host's reported time is used.
MAX_REPORT_AGE_SECONDS = 5.0


class MedianClock:
    """The median of the hosts' clocks; used from the event loop alone."""

    def __init__(
        self,
        read_steady: Callable[[], float] = read_boottime_seconds,
        read_wall: Callable[[], float] = time.time,
    ) -> None:
        """Advance by the steady clock; use this host's wall clock until others report."""
        self._read_steady = read_steady
        self._read_wall = read_wall
        # Reported Unix time minus this host's steady time, and the time of the report, by host.
        self._reports: dict[str, tuple[float, float]] = {}

    def note(self, host: str, wall: float, age: float = 0.0) -> None:
        """Record the Unix time that a host reported `age` seconds ago."""
        now = self._read_steady()
        self._reports[host] = (wall + age - now, now)

    def now(self) -> float:
        """Return the median Unix time of the hosts."""
        now = self._read_steady()
        self._reports = {
            host: item
            for host, item in self._reports.items()
            if now - item[1] < MAX_REPORT_AGE_SECONDS
        }
        offsets = [offset for offset, _ in self._reports.values()]
        return now + statistics.median([*offsets, self._read_wall() - now])
