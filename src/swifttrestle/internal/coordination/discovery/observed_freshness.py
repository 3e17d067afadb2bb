"""Observes how current this host's list of upstreams is, by the store's answers and by peers."""

import asyncio
import math
from collections.abc import Callable

from swifttrestle.internal.event_log import log_event, round_age
from swifttrestle.internal.policy.list_freshness import (
    LOST_SECONDS,
    MAX_LIST_AGE_SECONDS,
    ListFreshness,
    ListObservation,
    is_outdated,
    may_lack_upstreams,
)
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.peers import PeerTable


class ObservedFreshness(ListFreshness):
    """Derives the freshness of `fleet` from its last confirmation and from peers' heartbeats."""

    def __init__(
        self, fleet: Fleet, peers: PeerTable, is_store_unreachable: Callable[[], bool]
    ) -> None:
        """Observe a fleet, the peers of this host and whether it reaches the store."""
        self._fleet = fleet
        self._peers = peers
        self._is_store_unreachable = is_store_unreachable
        # What was logged last.
        self._may_lack = False

    def may_lack_upstreams(self) -> bool:
        """Return whether other hosts may use upstreams that this host's list lacks."""
        observed = self.observe()
        may_lack = may_lack_upstreams(observed)
        if may_lack != self._may_lack:
            self._may_lack = may_lack
            log_event(
                "list freshness",
                may_lack_upstreams=may_lack,
                age=round_age(observed.age),
                lost_hosts=observed.lost_hosts,
                store_answers_peers=observed.store_answers_peers,
            )
        return may_lack

    def find_known_at(self) -> float:
        """Return the event loop's time as of which the list shows what any host may use."""
        observed = self.observe()
        in_outage = observed.age > MAX_LIST_AGE_SECONDS and not is_outdated(observed)
        return _now() if in_outage else self._fleet.confirmed_at

    def is_cut_off(self) -> bool:
        """Return whether this host has lost others and the store."""
        return self._is_store_unreachable() and self.observe().lost_hosts > 0

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
