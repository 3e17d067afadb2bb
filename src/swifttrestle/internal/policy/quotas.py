"""Quotas of workspaces, counted over all hosts without a common store.

Each host accrues an equal share of a workspace's rate. One host, the counter, collects what all
hosts have accrued into a pool and grants requests from it. Units are accrued once and moved once,
so that the sum of what is granted stays within the rate plus what the accounts hold, whichever
hosts are cut off, killed or suspended, and however many take themselves for the counter. A lost
message loses units; none creates any. docs/design/quotas.md compares the alternatives.
"""

import zlib
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from swifttrestle.internal.policy.placement import rank
from swifttrestle.internal.state.declared import Quota, QuotaTolerance
from swifttrestle.internal.state.members import Member

# Part of the burst and of the tolerated excess that a pool holds, and all shares together hold.
# Twice this may be spent at once, and three times this while two hosts are counters, so that 0.4
# keeps to what is tolerated in the first case and exceeds it by a fifth at most in the second.
CAPACITY_SHARE = 0.4
# Seconds of the rate that a pool holds at least: what is accrued between two collections.
MIN_CAPACITY_SECONDS = 0.5
# Seconds without a collection after which a pool is emptied: its host was suspended, or is no
# longer the counter.
POOL_TTL_SECONDS = 2.0
# Part of its capacity below which a pool is filled up.
LOW_POOL_SHARE = 0.75
# Minimum seconds between two collections, and the number of hosts that a counter asks per second.
COLLECTION_SECONDS = 0.25
MAX_ASKED_PER_SECOND = 800.0
# Seconds after its start from which a host accrues: until then it may not know all others.
JOIN_SECONDS = 2.0
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
    """A quota as the accounts apply it: units a second, and the units that a pool holds."""

    rate: float
    capacity: float


@dataclass(frozen=True)
class Decision:
    """Whether a request fits; `seconds` is 0 if it does, `missing` are the units it lacks."""

    seconds: float = 0.0
    missing: float = 0.0


GRANTED = Decision()


def find_terms(quota: Quota, tolerance: QuotaTolerance) -> QuotaTerms:
    """Return how a quota is applied where the platform tolerates some excess."""
    spare = quota.burst + tolerance.find_excess(quota)
    capacity = max(1.0, quota.rate * MIN_CAPACITY_SECONDS, spare * CAPACITY_SHARE)
    return QuotaTerms(quota.rate, capacity)


def find_counters(members: Sequence[Member], workspace: str) -> list[Member]:
    """Return the hosts that count a workspace, in order of preference.

    They are among those with the fastest link. Workspaces share counters, so that one collection
    serves many of them.
    """
    counters = max(1, len(members) // HOSTS_PER_COUNTER)
    key = f"quota|{zlib.crc32(workspace.encode()) % counters}"
    fastest = max((item.link_mbps for item in members), default=0.0)
    ranked = sorted(
        members, key=lambda item: (item.link_mbps == fastest, rank(key, item.host)), reverse=True
    )
    return ranked[:COUNTERS_PER_WORKSPACE]


def find_collection_interval(hosts: int) -> float:
    """Return the minimum seconds between two collections in a fleet of so many hosts."""
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

    def collect(self) -> int:
        """Remove and return the whole units."""
        units = int(self._units)
        self._units -= units
        return units

    def take(self, cost: int, terms: QuotaTerms, hosts: int, draw: float) -> Decision:
        """Decide on a request where no counter replies; `draw` is uniform in [0, 1).

        A request larger than what is there passes with the probability that keeps the expected sum
        right, and empties the share either way.
        """
        available, self._units = self._units, max(0.0, self._units - cost)
        if draw * cost < available:
            return GRANTED
        missing = cost - available
        return Decision(missing * hosts / terms.rate, missing)


class Pool:
    """What a counter has collected of a workspace's quota; times are the event loop's."""

    def __init__(self) -> None:
        """Start empty."""
        self._units = 0.0
        self._collected_at = float("-inf")
        # The costs of the requests refused in the last REFUSED_SECONDS, with their times.
        self._refused: deque[tuple[float, int]] = deque()

    @property
    def units(self) -> float:
        """The units that can be granted; below 0 after a request larger than the capacity."""
        return self._units

    def deposit(self, units: float, terms: QuotaTerms) -> None:
        """Add what a host has accrued, or what is given back, up to the capacity."""
        self._units = min(terms.capacity, self._units + units)

    def note_collection(self, now: float) -> None:
        """Record that hosts are asked for what they have accrued; drop units that are too old."""
        self._expire(now)
        self._collected_at = now

    def needs_collection(self, terms: QuotaTerms, now: float) -> bool:
        """Return whether the pool is so low that hosts are to be asked."""
        self._expire(now)
        return self._units < terms.capacity * LOW_POOL_SHARE

    def fits(self, cost: int, terms: QuotaTerms, now: float) -> bool:
        """Return whether a request would be granted."""
        self._expire(now)
        return self._units >= min(cost, terms.capacity)

    def take(self, cost: int, terms: QuotaTerms, now: float) -> Decision:
        """Decide on a request; one larger than the capacity passes into debt at a full pool.

        Each refused request is told to return after those refused just before it.
        """
        if self.fits(cost, terms, now):
            self._units -= cost
            return GRANTED
        while self._refused and self._refused[0][0] <= now - REFUSED_SECONDS:
            self._refused.popleft()
        missing = min(cost, terms.capacity) - self._units
        ahead = sum(refused for _, refused in self._refused)
        self._refused.append((now, cost))
        return Decision((missing + ahead) / terms.rate, missing)

    def limit(self, terms: QuotaTerms) -> None:
        """Drop the units over the capacity, after a quota was lowered."""
        self._units = min(terms.capacity, self._units)

    def _expire(self, now: float) -> None:
        if now - self._collected_at > POOL_TTL_SECONDS:
            self._units = min(0.0, self._units)
