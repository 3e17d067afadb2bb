"""How recently the configuration version in force was confirmed to be the newest."""

from collections.abc import Callable

from swifttrestle.internal.state.peers import NEVER


class ConfigurationFreshness:
    """Tracks the latest time at which no version newer than the one in force was acknowledged.

    Times are seconds of this host's steady clock, which counts suspended time. A confirmation is
    dated by the time at which its query was *sent*: the reply may have waited in a socket while
    this process was suspended.
    """

    def __init__(self, find_version: Callable[[], int]) -> None:
        """Use `find_version`, which returns the version in force or 0."""
        self._find_version = find_version
        self._confirmed_at = NEVER
        # The latest confirmation of a version that is not in force here yet, and its time.
        self._pending: tuple[int, float] = (0, NEVER)

    def note(self, version: int, at: float) -> None:
        """Record that no version newer than `version` was acknowledged at the time `at`.

        This also confirms any later version in force here: whatever it removed, it removed after
        this time.
        """
        if not version:
            return
        if version <= self._find_version():
            self._confirmed_at = max(self._confirmed_at, at)
        elif at >= self._pending[1]:
            self._pending = (version, at)

    @property
    def confirmed_at(self) -> float:
        """The time up to which the version in force is confirmed, or `NEVER`."""
        version, at = self._pending
        if version and version <= self._find_version():
            self._confirmed_at = max(self._confirmed_at, at)
            self._pending = (0, NEVER)
        return self._confirmed_at
