"""Determines which hosts are gone, from the platform's host list."""

import threading

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.protocol.platform import HostList


class HostTracker:
    """Tracks how long hosts have been missing from the host list.

    A host that is missing for longer than the list lags is gone. The lag bounds both how late a new
    host appears and how late a gone one disappears, so this also holds for hosts that were never
    listed. Time in which the list is unavailable or empty does not count.
    """

    def __init__(self, hosts: HostList, clock: Clock, lag: float) -> None:
        """Read from `hosts`, which lags by up to `lag` seconds."""
        self._hosts = hosts
        self._clock = clock
        self._lag = lag
        self._lock = threading.Lock()
        self._listed: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}

    def refresh(self) -> None:
        """Read the host list."""
        try:
            listed = frozenset(record.name for record in self._hosts.read_hosts())
        except PlatformUnavailableError:
            listed = frozenset()
        with self._lock:
            if not listed:
                self._missing_since.clear()
            for name in listed:
                self._missing_since.pop(name, None)
            self._listed = listed

    def is_gone(self, host: str) -> bool:
        """Return whether the host is gone; the first call for an unlisted host starts its timer."""
        with self._lock:
            if not self._listed or host in self._listed:
                return False
            since = self._missing_since.setdefault(host, self._clock.now())
        return self._clock.now() - since > self._lag
