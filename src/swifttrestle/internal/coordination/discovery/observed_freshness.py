"""Observes how current this host's list of upstreams is, by the store's answers and by peers."""

import asyncio
import math

from swifttrestle.internal.policy.list_freshness import (
    LOST_SECONDS,
    ListFreshness,
    ListObservation,
    may_lack_upstreams,
)
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.peers import PeerTable


class ObservedFreshness(ListFreshness):
    """Derives the freshness of `fleet` from its last confirmation and from peers' heartbeats."""

    def __init__(self, fleet: Fleet, peers: PeerTable) -> None:
        """Observe a fleet and the peers of this host."""
        self._fleet = fleet
        self._peers = peers

    def may_lack_upstreams(self) -> bool:
        """Return whether other hosts may use upstreams that this host's list lacks."""
        return may_lack_upstreams(self.observe())

    def observe(self) -> ListObservation:
        """Return what is known of the list's age now."""
        now = _now()
        return ListObservation(
            age=now - self._fleet.confirmed_at,
            lost_hosts=len(self._peers.list_lost(now, LOST_SECONDS)),
            store_answers_peers=self._peers.find_store_up_since(now) < math.inf,
        )

    def has_heard_all_since(self, at: float) -> bool:
        """Return whether all live hosts were heard since a time of the event loop's clock."""
        return self._peers.has_heard_all_since(at, _now())


def _now() -> float:
    return asyncio.get_running_loop().time()
