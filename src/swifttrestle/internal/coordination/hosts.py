"""Which hosts are proved gone."""

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.protocol.platform import HostList


class HostBook:
    """Which hosts are proved gone: missing from the host list for longer than it lags."""

    def __init__(self, hosts: HostList, clock: Clock, lag: float) -> None:
        """Read from a host list that lags by so many seconds."""
        self._hosts = hosts
        self._clock = clock
        self._lag = lag
        self._seen: set[str] = set()
        self._missing_since: dict[str, float] = {}

    def refresh(self) -> None:
        """Read the list; an outage changes nothing."""
        try:
            listed = {record.name for record in self._hosts.read_hosts()}
        except PlatformUnavailableError:
            # Time without a list proves nothing.
            self._missing_since.clear()
            return
        now = self._clock.now()
        self._seen |= listed
        for name in self._seen - listed:
            self._missing_since.setdefault(name, now)
        for name in listed:
            self._missing_since.pop(name, None)

    def is_gone(self, host: str) -> bool:
        """Return whether the host was on the list once and is off it for good."""
        since = self._missing_since.get(host)
        return since is not None and self._clock.now() - since > self._lag
