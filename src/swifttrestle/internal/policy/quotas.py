"""Quotas of workspaces, counted over all hosts without a common store.

Each host accrues an equal share of a workspace's rate. One host, the counter, fills a pool from the
shares of all hosts and grants requests from it. Units are accrued once and moved once,
so that the sum of what is granted stays within the rate plus what the accounts hold, whichever
hosts are cut off, killed or suspended, and however many take themselves for the counter. A lost
message loses units; none creates any. docs/design/quotas.md compares the alternatives.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from swifttrestle.internal.policy.placement import rank
from swifttrestle.internal.state.declared import Quota, QuotaTolerance
from swifttrestle.internal.state.members import Member

# Maximum part of the burst and of the tolerated excess that a pool holds, and that all shares
# together hold. Shares stay full beside a full pool. At 1/3, a single host rejects over 2 in 100 of
# the largest requests of a small quota; at 0.45, no more of them pass.
CAPACITY_SHARE = 0.4
# Seconds of the rate that a pool holds at least: what is accrued between two collections.
MIN_CAPACITY_SECONDS = 0.5
# Bounds of the seconds without a round after which a pool is emptied. The minimum exceeds the time
# between two rounds of a fleet of 790 hosts. The maximum lets go of units that a counter of a
# workspace with a large tolerance collected before it was replaced.
MIN_POOL_TTL_SECONDS = 0.8
MAX_POOL_TTL_SECONDS = 10.0
# Part of its capacity below which a pool is filled up. At 0.75, large requests find it too low.
LOW_POOL_SHARE = 0.9
# Usual minimum seconds between two rounds, and the number of hosts that a counter asks per second.
# At 800 a second, 790 hosts reject over 2 in 100 of the largest requests of a small quota.
COLLECTION_SECONDS = 0.25
MAX_ASKED_PER_SECOND = 1200.0
# Seconds after its start from which a host's share is used: until then it may not know all others.
# Two heartbeats, in which rosters reach all hosts.
JOIN_SECONDS = 1.0
# Seconds for which a host that is not seen any more still counts as having a share.
MEMBER_HOLD_SECONDS = 60.0
# Hosts for each counter: a fleet of up to twice this many has one counter for all workspaces.
HOSTS_PER_COUNTER = 100
# Hosts that may count a workspace, in order: the second is asked if the first does not reply.
COUNTERS_PER_WORKSPACE = 2
# Seconds for which refused requests are expected to return, each after those before it.
REFUSED_SECONDS = 1.0


@dataclass(frozen=True)
class QuotaTerms:
    """A quota as the accounts apply it.

    `rate` is in units a second. `capacity` is what a pool holds, and what all shares together hold.
    A pool is emptied `pool_ttl` seconds after its last round: its host was suspended, or is no
    longer the counter.
    """

    rate: float
    capacity: float
    pool_ttl: float = MIN_POOL_TTL_SECONDS


@dataclass(frozen=True)
class Decision:
    """Whether a request fits; `seconds` is 0 if it does, `missing` are the units it lacks."""

    seconds: float = 0.0
    missing: float = 0.0


GRANTED = Decision()


def find_terms(quota: Quota, tolerance: QuotaTolerance) -> QuotaTerms:
    """Return how a quota is applied where the platform tolerates some excess."""
    spare = quota.burst + tolerance.find_excess(quota)
    # A host that takes over as the counter fills a pool from the shares, which then accrue again
    # while the first pool is valid. All three may be granted at once, so they must fit the spare.
    fitting = max(spare / 3, (spare - quota.rate * MIN_POOL_TTL_SECONDS) / 2)
    capacity = max(1.0, quota.rate * MIN_CAPACITY_SECONDS, min(spare * CAPACITY_SHARE, fitting))
    pool_ttl = (spare - 2 * capacity) / quota.rate
    bounded = min(MAX_POOL_TTL_SECONDS, max(MIN_POOL_TTL_SECONDS, pool_ttl))
    return QuotaTerms(quota.rate, capacity, bounded)


def find_counters(members: Sequence[Member], workspace: str) -> list[Member]:
    """Return the hosts that count a workspace, in order of preference.

    They are among those with the fastest link. Workspaces share counters, so that one collection
    serves many of them.
    """
    groups = range(max(1, len(members) // HOSTS_PER_COUNTER))
    # Not by a remainder, which would move most workspaces whenever the number of groups changes.
    group = max(groups, key=lambda number: rank(workspace, f"group {number}"))
    key = f"quota|{group}"
    fastest = max((item.link_mbps for item in members), default=0.0)
    ranked = sorted(
        members, key=lambda item: (item.link_mbps == fastest, rank(key, item.host)), reverse=True
    )
    return ranked[:COUNTERS_PER_WORKSPACE]


def find_collection_interval(hosts: int) -> float:
    """Return the usual seconds between two rounds in a fleet of so many hosts."""
    return max(COLLECTION_SECONDS, hosts / MAX_ASKED_PER_SECOND)


class Share:
    """What one host has accrued of a workspace's quota; times are the event loop's."""

    def __init__(self, accrues_from: float) -> None:
        """Start empty, and accrue from a time on."""
        self._units = 0.0
        self._updated_at = accrues_from

    @property
    def units(self) -> float:
        """The units that can be collected."""
        return self._units

    def accrue(self, terms: QuotaTerms, hosts: int, now: float) -> None:
        """Add what one of so many hosts accrues until now, up to its part of the capacity."""
        accrued = max(0.0, now - self._updated_at) * terms.rate / hosts
        self._units = min(terms.capacity / hosts, self._units + accrued)
        self._updated_at = max(now, self._updated_at)

    def collect(self, wanted: float) -> float:
        """Remove and return the units wanted, or all there are, also a part of one.

        Where a host's part of the capacity is under one unit, whole units are never reached.
        """
        units = min(wanted, self._units)
        self._units -= units
        return units

    def take(self, cost: int, terms: QuotaTerms, hosts: int, draw: float) -> Decision:
        """Decide on a request where no counter replies; `draw` is uniform in [0, 1).

        A request larger than what is there passes with the probability that keeps the expected sum
        right, and empties the share either way. A refused one is told to return when the share has
        accrued its cost, or cannot accrue more.
        """
        available, self._units = self._units, max(0.0, self._units - cost)
        if draw * cost < available:
            return GRANTED
        wanted = min(cost, terms.capacity / hosts)
        return Decision(wanted * hosts / terms.rate, cost - available)


class Pool:
    """What a counter has collected of a workspace's quota; times are the event loop's."""

    def __init__(self) -> None:
        """Start empty."""
        self._units = 0.0
        self._collected_at = float("-inf")
        # QuotaTerms.pool_ttl when units were last added.
        self._ttl = MIN_POOL_TTL_SECONDS
        # The costs of the requests refused in the last REFUSED_SECONDS, with their times.
        self._refused: deque[tuple[float, int]] = deque()
        self._refused_units = 0

    @property
    def units(self) -> float:
        """The units that can be granted; below 0 after a request larger than the capacity."""
        return self._units

    def deposit(self, units: float, terms: QuotaTerms) -> None:
        """Add what a host hands over, or what is given back, up to the capacity."""
        self._units = min(_find_capacity(terms), self._units + units)
        self._ttl = terms.pool_ttl

    def note_collection(self, now: float) -> None:
        """Record the start of a round; drop units that are too old."""
        self._expire(now)
        self._collected_at = now

    def is_low(self, terms: QuotaTerms, now: float) -> bool:
        """Return whether the pool is to be filled up."""
        self._expire(now)
        return self._units < _find_capacity(terms) * LOW_POOL_SHARE

    def fits(self, cost: int, terms: QuotaTerms, now: float) -> bool:
        """Return whether a request would be granted."""
        self._expire(now)
        return self._units >= min(cost, _find_capacity(terms))

    def take(self, cost: int, terms: QuotaTerms, now: float) -> Decision:
        """Decide on a request; one larger than the capacity passes into debt at a full pool.

        Each refused request is told to return after those refused just before it.
        """
        if self.fits(cost, terms, now):
            self._units -= cost
            return GRANTED
        while self._refused and self._refused[0][0] <= now - REFUSED_SECONDS:
            self._refused_units -= self._refused.popleft()[1]
        missing = min(cost, _find_capacity(terms)) - self._units
        seconds = (missing + self._refused_units) / terms.rate
        self._refused.append((now, cost))
        self._refused_units += cost
        return Decision(seconds, missing)

    def limit(self, terms: QuotaTerms) -> None:
        """Drop the units over the capacity, after a quota was lowered."""
        self._units = min(_find_capacity(terms), self._units)

    def _expire(self, now: float) -> None:
        if now - self._collected_at > self._ttl:
            self._units = min(0.0, self._units)


def _find_capacity(terms: QuotaTerms) -> float:
    """Return what a pool holds: at least a request, also where it has a small part of a quota."""
    return max(1.0, terms.capacity)
