"""Which hosts are proved gone."""

import threading

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.protocol.platform import HostList


class HostTracker:
    """Hosts that are missing from the host list for longer than it lags.

    The lag bounds how late a new host appears as well as how late a gone one disappears, so
    a host that was never seen is proved gone by the same time without it. Time in which the
    list could not be read, or was empty, proves nothing.
    """

    def __init__(self, hosts: HostList, clock: Clock, lag: float) -> None:
        """Read from a host list that lags by so many seconds."""
        self._hosts = hosts
        self._clock = clock
        self._lag = lag
        self._lock = threading.Lock()
        self._listed: frozenset[str] = frozenset()
        self._missing_since: dict[str, float] = {}

    def refresh(self) -> None:
        """Read the list."""
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
        """Return whether the host is proved gone; the first question starts its time."""
        with self._lock:
            if not self._listed or host in self._listed:
                return False
            since = self._missing_since.setdefault(host, self._clock.now())
        return self._clock.now() - since > self._lag
