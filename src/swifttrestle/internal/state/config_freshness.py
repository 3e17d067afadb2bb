"""Until when the version in force is known to have been the newest one."""

from collections.abc import Callable

from swifttrestle.internal.state.peers import NEVER


class ConfigurationFreshness:
    """The latest time at which nothing newer than the version in force was acknowledged.

    All times are steady seconds of this host, suspended ones among them. A proof is dated by the
    moment at which its question was *sent*: the answer may have waited in a socket while this
    process stood still, and tells nothing of the time after it was made.
    """

    def __init__(self, find_version: Callable[[], int]) -> None:
        """Judge by the version in force, 0 where none is known."""
        self._find_version = find_version
        self._confirmed_at = NEVER
        # A proof of a version that this host does not have yet.
        self._ahead: tuple[int, float] = (0, NEVER)

    def note(self, version: int, at: float) -> None:
        """Take over that nothing newer than a version was acknowledged at a time.

        It also holds for any later version that is in force here: what that took away, it took
        away after this time.
        """
        if not version:
            return
        if version <= self._find_version():
            self._confirmed_at = max(self._confirmed_at, at)
        elif at >= self._ahead[1]:
            self._ahead = (version, at)

    @property
    def confirmed_at(self) -> float:
        """The time up to which the version in force is proved, `NEVER` where it is not."""
        version, at = self._ahead
        if version and version <= self._find_version():
            self._confirmed_at = max(self._confirmed_at, at)
            self._ahead = (0, NEVER)
        return self._confirmed_at
