"""Observes how current this host's list of upstreams is, by the store's answers and by peers."""

import asyncio
from collections.abc import Callable

from swifttrestle.internal.event_log import log_event, round_age
from swifttrestle.internal.policy.list_freshness import (
    LOST_SECONDS,
    ListFreshness,
    ListObservation,
    may_lack_upstreams,
)
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.peers import NEVER, PeerTable

# Seconds for which an observation holds: a look at all peers of a large fleet takes a millisecond.
CACHE_SECONDS = 0.1


class ObservedFreshness(ListFreshness):
    """Derives the freshness of `fleet` from its last confirmation and from peers' heartbeats."""

    def __init__(
        self, fleet: Fleet, peers: PeerTable, is_store_unreachable: Callable[[], bool]
    ) -> None:
        """Observe a fleet, the peers of this host and whether it reaches the store."""
        self._fleet = fleet
        self._peers = peers
        self._is_store_unreachable = is_store_unreachable
        self._observed = ListObservation(age=0.0)
        self._observed_at = NEVER
        # What was logged last.
        self._may_lack = False

    def find_known_at(self) -> float:
        """Return the event loop's time as of which live hosts know what any host may use."""
        return self._fleet.confirmed_at if self.may_lack_upstreams() else _now()

    def may_lack_upstreams(self) -> bool:
        """Return whether hosts may use upstreams that no live host knows."""
        observed = self.observe()
        may_lack = may_lack_upstreams(observed)
        if may_lack != self._may_lack:
            self._may_lack = may_lack
            log_event(
                "list freshness",
                may_lack_upstreams=may_lack,
                age=round_age(observed.age),
                lost_hosts=observed.lost_hosts,
                stopped_hosts=observed.stopped_hosts,
                alone=observed.is_alone,
            )
        return may_lack

    def is_cut_off(self) -> bool:
        """Return whether this host has lost others and the store."""
        return self._is_store_unreachable() and self.may_lack_upstreams()

    def observe(self) -> ListObservation:
        """Return what is known now, or was shortly before."""
        now = _now()
        if now - self._observed_at >= CACHE_SECONDS:
            self._observed = self._look(now)
            self._observed_at = now
        return self._observed

    def _look(self, now: float) -> ListObservation:
        silent = self._peers.list_silent(now, self._fleet.confirmed_at - LOST_SECONDS)
        stopped = sum(peer.leaving_at != NEVER for peer in silent)
        return ListObservation(
            age=now - self._fleet.confirmed_at,
            lost_hosts=len(silent) - stopped,
            stopped_hosts=stopped,
            is_alone=self._peers.is_alone(now),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
