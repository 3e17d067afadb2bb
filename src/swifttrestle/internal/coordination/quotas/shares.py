"""What this host has accrued of the quotas of all workspaces."""

from collections.abc import Callable, Iterable

from swifttrestle.internal.coordination.quotas.hosts import QuotaHosts
from swifttrestle.internal.eviction import make_room
from swifttrestle.internal.policy.quotas import JOIN_SECONDS, Decision, QuotaTerms, Share
from swifttrestle.internal.protocol.quotas import CollectReply, CollectRequest

# Maximum number of collections that are remembered in case their datagrams are duplicated: some
# seconds of them in a large fleet.
MAX_COLLECTIONS = 256


class QuotaShares:
    """The shares of this host by workspace; times are the event loop's."""

    def __init__(self, hosts: QuotaHosts, find_terms: Callable[[str], QuotaTerms | None]) -> None:
        """Create no share; `start` or the first use of a share starts to accrue."""
        self._hosts = hosts
        self._find_terms = find_terms
        # Shares are created at their first use, and accrue as if they were there before. One that
        # was removed and is created again must not accrue the same time twice.
        self._accrues_from: float | None = None
        # Nothing is handed over before: the number of hosts is not known yet.
        self._joins_at = float("inf")
        self._shares: dict[str, Share] = {}
        # The collections that were answered, by the counter's IP and round.
        self._answered: dict[tuple[str, int], None] = {}

    def start(self, now: float) -> float:
        """Return from when on shares accrue, the first call; they are used JOIN_SECONDS later."""
        if self._accrues_from is None:
            self._accrues_from = now
            self._joins_at = now + JOIN_SECONDS
        return self._accrues_from

    def count_units(self, workspace: str, now: float) -> float:
        """Return what has accrued of a workspace."""
        share = self._accrue(workspace, now)
        return share.units if share is not None else 0.0

    def collect(
        self, wanted: Iterable[tuple[str, int]], now: float
    ) -> tuple[tuple[str, float], ...]:
        """Remove and return what has accrued of some workspaces, up to the units wanted."""
        collected = [
            (workspace, self._remove(workspace, units, now)) for workspace, units in wanted
        ]
        return tuple((workspace, units) for workspace, units in collected if units > 0)

    def answer(self, request: CollectRequest, ip: str, now: float) -> CollectReply | None:
        """Hand over to the counter at an IP what it asks for; None if it is a duplicate.

        A counter accepts one reply of each host, which the second one might overtake.
        """
        key = (ip, request.round)
        if key in self._answered:
            return None
        make_room(self._answered, key, MAX_COLLECTIONS)
        self._answered[key] = None
        return CollectReply(request.round, self.collect(request.wanted, now))

    def take(self, workspace: str, cost: int, draw: float, now: float) -> Decision | None:
        """Decide on a request where no counter replies; None if there is no quota."""
        share, terms = self._accrue(workspace, now), self._find_terms(workspace)
        if share is None or terms is None:
            return None
        return share.take(cost, terms, self._hosts.count(now), draw)

    def drop(self, workspace: str, now: float) -> None:
        """Remove the share of a workspace without a quota, or with another unit."""
        if self._shares.pop(workspace, None) is not None:
            self._accrues_from = max(self.start(now), now)

    def drop_unlimited(self, now: float) -> None:
        """Remove the shares of workspaces that have no quota any more."""
        for workspace in [name for name in self._shares if self._find_terms(name) is None]:
            self.drop(workspace, now)

    def _remove(self, workspace: str, wanted: int, now: float) -> float:
        share = self._accrue(workspace, now)
        return share.collect(wanted) if share is not None else 0.0

    def _accrue(self, workspace: str, now: float) -> Share | None:
        """Return the share of a workspace as of now; None if there is no quota."""
        terms = self._find_terms(workspace)
        if terms is None:
            self.drop(workspace, now)
            return None
        share = self._shares.get(workspace)
        if share is None:
            share = self._shares[workspace] = Share(self.start(now))
        if now >= self._joins_at:
            share.accrue(terms, self._hosts.count(now), now)
        return share
