"""The hosts among which the quotas are divided, and those that count them."""

from collections.abc import Callable, Sequence

from swifttrestle.internal.policy.quotas import MEMBER_HOLD_SECONDS, find_counters
from swifttrestle.internal.state.members import Member


class QuotaHosts:
    """Tracks the live hosts, and those that still have a share although they are not seen.

    Times are the event loop's.
    """

    def __init__(
        self,
        list_members: Callable[[], Sequence[Member]],
        reaches_store: Callable[[], bool],
    ) -> None:
        """Use the live hosts, including this one, that `list_members` returns."""
        self._list_members = list_members
        self._reaches_store = reaches_store
        self._members: Sequence[Member] = ()
        self._live: frozenset[str] = frozenset()
        # When each host that is not seen any more was last held. Time without the store does not
        # count: a host that is cut off from all others must not take over their shares.
        self._lost: dict[str, float] = {}
        # Cached counters by workspace, valid for these members.
        self._counters: dict[str, list[Member]] = {}

    def refresh(self, now: float) -> None:
        """Take over changes of the live hosts."""
        members = self._list_members()
        if members is not self._members:
            if members != self._members:
                self._apply(members, now)
            self._members = members
        if not self._lost:
            return
        if not self._reaches_store():
            self._lost = dict.fromkeys(self._lost, now)
            return
        held_since = now - MEMBER_HOLD_SECONDS
        self._lost = {host: at for host, at in self._lost.items() if at > held_since}

    def list_live(self, now: float) -> Sequence[Member]:
        """Return the live hosts."""
        self.refresh(now)
        return self._members

    def count_live(self, now: float) -> int:
        """Return the number of live hosts, at least this one."""
        return max(1, len(self.list_live(now)))

    def count(self, now: float) -> int:
        """Return the number of hosts that have a share."""
        return self.count_live(now) + len(self._lost)

    def find_live_share(self, now: float) -> float:
        """Return the part of the hosts with a share that are live."""
        return self.count_live(now) / self.count(now)

    def find_counters(self, workspace: str, now: float) -> list[Member]:
        """Return the hosts that count a workspace, in order of preference."""
        self.refresh(now)
        counters = self._counters.get(workspace)
        if counters is None:
            counters = self._counters[workspace] = find_counters(self._members, workspace)
        return counters

    def drop_counters(self, workspace: str) -> None:
        """Drop what is cached of a workspace without a quota."""
        self._counters.pop(workspace, None)

    def _apply(self, members: Sequence[Member], now: float) -> None:
        live = frozenset(item.host for item in members)
        for host in self._live - live:
            self._lost[host] = now
        for host in live:
            self._lost.pop(host, None)
        self._live = live
        self._counters.clear()
