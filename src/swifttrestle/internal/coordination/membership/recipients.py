"""Chooses the recipients of this host's reports in a large fleet.

These are the zone aggregators, the schedulers and some silent peers.
"""

import random
from collections.abc import Callable, Iterable

from swifttrestle.internal.coordination.membership.candidates import DutyCandidates
from swifttrestle.internal.coordination.membership.zone_aggregators import ZoneAggregators
from swifttrestle.internal.policy.distance import NO_REGIONS, Topology
from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import Peer, PeerTable

# Seconds without a message of an aggregator of its zone after which a host is orphaned and reports
# to its whole zone. Exceeds the interval between heartbeats, and is less than the peer timeout.
ORPHANED_SECONDS = 0.9
# Silent peers that a host of a large fleet contacts with each heartbeat, so that a partitioned
# fleet reconnects.
CONTACTED_PEERS = 2
# Seconds for which the computed schedulers are cached while the members stay the same. Finding 143
# schedulers among 790 hosts takes some milliseconds, and changes of engines seldom change them.
SCHEDULERS_CACHE_SECONDS = 2.0


class ReportRecipients:
    """Chooses recipients by the members and schedulers that this host knows."""

    def __init__(
        self,
        me: Member,
        peers: PeerTable,
        candidates: DutyCandidates,
        rng: random.Random,
        now: Callable[[], float],
        find_aggregator_message_at: Callable[[], float],
        topology: Topology = NO_REGIONS,
    ) -> None:
        """Choose among `peers`; `candidates` knows whether this host is stopping.

        `find_aggregator_message_at` returns when the last message of an aggregator of this host's
        zone was received.
        """
        self._me = me
        self._topology = topology
        self._peers = peers
        self._candidates = candidates
        self._rng = rng
        self._now = now
        self._find_aggregator_message_at = find_aggregator_message_at
        self._aggregators = ZoneAggregators(me, self.list_members)
        # `list_schedulers` returns the hosts that schedule engines; `schedules` is whether this
        # host is one of them.
        self.list_schedulers: Callable[[], set[str]] = set
        self.schedules = False
        self._schedulers: set[str] = set()
        # The members for which the schedulers were computed, and when that cache expires.
        self._schedulers_for = (False, 0)
        self._schedulers_until = 0.0

    def list_members(self) -> tuple[Member, ...]:
        """Return this host and its live peers, with their addresses and zones."""
        return self._peers.list_members(self._now())

    def is_large_fleet(self) -> bool:
        """Return whether the fleet is large enough to report through aggregators."""
        return is_large_fleet(len(self.list_members()))

    def refresh_schedulers(self, now: float) -> None:
        """Compute the schedulers again if the members have changed or the cache has expired."""
        known = self.is_large_fleet(), self._peers.version
        if known == self._schedulers_for and now < self._schedulers_until:
            return
        self._schedulers_for = known
        self._schedulers_until = now + SCHEDULERS_CACHE_SECONDS
        schedulers = self.list_schedulers()
        self.schedules = self._me.host in schedulers
        self._schedulers = schedulers - {self._me.host}

    def count_schedulers(self) -> int:
        """Return how many other hosts schedule engines."""
        return len(self._schedulers)

    def list_other_schedulers(self) -> list[Peer]:
        """Return the other hosts of this region that schedule engines.

        Those of other regions get this host's open work with its heartbeats alone: they seldom use
        engines of this region, and traffic between regions is billed at four times the rate.
        """
        zone = self._me.zone
        return [
            item
            for item in self.list_named(self._schedulers)
            if self._topology.is_same_region(zone, item.zone)
        ]

    def list_for_heartbeat(self, now: float, has_work: bool) -> list[Peer]:
        """Return the recipients of a heartbeat in a large fleet, and schedulers if `has_work`.

        A scheduler with open work reports to its whole zone, whose hosts use its last report
        for bookings if it becomes silent.
        """
        zone = self._me.zone
        orphaned = self.is_orphaned(now)
        recipients = self._aggregators.list_own()
        if has_work:
            recipients |= self._schedulers
        if orphaned or (has_work and self.schedules):
            recipients |= {peer.host for peer in self._peers.list_seen(now) if peer.zone == zone}
        if orphaned:
            recipients |= self._aggregators.list_others()
        return self.list_named(recipients)

    def list_for_summary(self) -> list[Member]:
        """Return the recipients of this host's summary: its zone and the other aggregators."""
        return self._aggregators.list_recipients()

    def choose_silent(self, now: float) -> list[Peer]:
        """Return some randomly chosen silent peers."""
        unseen = self._peers.list_unseen(now)
        return self._rng.sample(unseen, min(CONTACTED_PEERS, len(unseen)))

    def is_orphaned(self, now: float) -> bool:
        """Return whether no aggregator of this host's zone has sent a message recently."""
        silent = now - self._find_aggregator_message_at() >= ORPHANED_SECONDS
        return silent and self.is_large_fleet() and not self.is_aggregator()

    def is_aggregator(self) -> bool:
        """Return whether this host is an aggregator of its zone."""
        return not self._candidates.leaving and self._me.host in self._aggregators.list_own()

    def list_named(self, hosts: Iterable[str]) -> list[Peer]:
        """Return the known peers among these names."""
        known = self._peers.peers
        return [known[host] for host in hosts if host in known]
