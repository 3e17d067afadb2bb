"""The time of day as most hosts take it to be.

A single host's clock may jump by seconds, on some hosts at once. What has to fall into the same
window of time at all hosts goes by the median of what they say, counted on by this host's steady
clock.
"""

import statistics
import time
from collections.abc import Callable

from swifttrestle.internal.clock import read_boottime_seconds

# Seconds for which another host's word counts: some questions between two hosts.
WORD_SECONDS = 5.0


class MedianClock:
    """The median of the hosts' clocks; used from the event loop alone."""

    def __init__(
        self,
        read_steady: Callable[[], float] = read_boottime_seconds,
        read_wall: Callable[[], float] = time.time,
    ) -> None:
        """Count by a steady clock; begin with this host's own time of day."""
        self._read_steady = read_steady
        self._read_wall = read_wall
        # Unix time less this host's steady time, by the host that told it, and when it did.
        self._words: dict[str, tuple[float, float]] = {}

    def note(self, host: str, wall: float, age: float = 0.0) -> None:
        """Take over a host's Unix time, as it was `age` seconds ago."""
        now = self._read_steady()
        self._words[host] = (wall + age - now, now)

    def now(self) -> float:
        """Return the Unix time as most hosts take it to be."""
        now = self._read_steady()
        self._words = {
            host: word for host, word in self._words.items() if now - word[1] < WORD_SECONDS
        }
        offsets = [offset for offset, _ in self._words.values()]
        return now + statistics.median([*offsets, self._read_wall() - now])
