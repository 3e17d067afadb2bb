"""Hosts that keep a workspace to one quota together, in virtual time.

Requests arrive at random hosts that are up. Datagrams take half a round trip and may be lost; hosts
are killed, suspended or partitioned, and the others notice it with a delay. Not modelled: callers
that return after a rejection, refunds, and the time for which admitted requests wait before they
are sent. bench/quotas.py and bench/quota_counters.py have the ways by which hosts decide.
"""

import asyncio
import heapq
import itertools
import math
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from swifttrestle.internal.coordination.quotas.counted_pool import CountedPool
from swifttrestle.internal.coordination.quotas.hosts import QuotaHosts
from swifttrestle.internal.coordination.quotas.shares import QuotaShares
from swifttrestle.internal.policy.quotas import Decision, QuotaTerms, find_counters, find_terms
from swifttrestle.internal.state.declared import Quota, QuotaTolerance
from swifttrestle.internal.state.members import Member

RUN_SECONDS = 60.0
WORKSPACE = "w1"
FAULT_AT = 15.0
# When the demand rises in runs where it does.
RISE_AT = FAULT_AT + 1.0
TOLERANCE = QuotaTolerance(window_seconds=8.0, overage=0.1, slack=190_000.0)
# Tokens of a request: lognormal, cut at both ends.
MEAN_TOKENS, MIN_TOKENS, MAX_TOKENS, SIGMA = 17_000, 1_400, 93_000, 0.8
# The largest tenth of the requests has at least this many.
LARGE_TOKENS = MEAN_TOKENS * math.exp(1.2816 * SIGMA - SIGMA**2 / 2)
# Seconds until hosts know that another one is gone, and that it is back.
FAILURE_KNOWN_SECONDS = 2.0
RETURN_KNOWN_SECONDS = 0.6
RESTART_SECONDS = 2.0
SUSPENDED_SECONDS = 8.0
PARTITION_SECONDS = 20.0
LATE_CONFIG_SECONDS = 10.0
# Seconds after which a lowered quota is binding once all hosts have it.
CONFIG_APPLY_SECONDS = 3.0
LOST_SHARE = 0.025


class Scenario(Enum):
    """What goes wrong in a run."""

    NONE = "no faults"
    KILLED = "counter killed"
    SUSPENDED = "counter suspended"
    KILLED_IN_A_ROW = "three counters killed"
    PARTITION = "partitioned halves"
    ALL_KILLED = "all hosts killed"
    LOWERED = "quota halved late"
    LOSS = "datagrams lost"


class Demand(Enum):
    """What callers ask for, as a multiple of the quota: before the rise, and after it."""

    LOW = (0.55, 0.55)
    HIGH = (3.0, 3.0)
    RISING = (0.55, 3.0)


@dataclass
class Bucket:
    """A token bucket that admits a request larger than its capacity when it is full."""

    units: float
    updated_at: float

    def take(self, cost: int, rate: float, capacity: float, now: float) -> bool:
        """Return whether a request is admitted."""
        self.units = min(capacity, self.units + (now - self.updated_at) * rate)
        self.updated_at = now
        if self.units < min(cost, capacity):
            return False
        self.units -= cost
        return True


class Host:
    """One simulated host; hosts of another side are unreachable."""

    def __init__(self, member: Member, terms: QuotaTerms) -> None:
        """Create a host that has been up for long."""
        self.member = member
        self.terms = terms
        self.up, self.suspended, self.side, self.known_from = True, False, 0, 0.0
        # The hosts that it knows to be up, and the counters among them.
        self.peers: list[Host] = [self]
        self.members: Sequence[Member] = (member,)
        self.counters: list[Host] = [self]
        self.start(-RUN_SECONDS)

    def start(self, now: float) -> None:
        """Start with empty memory."""
        self.hosts = QuotaHosts(lambda: self.members, lambda: True)
        self.shares = QuotaShares(self.hosts, lambda _: self.terms)
        self.shares.start(now)
        self.bucket: Bucket | None = None
        self.counted: CountedPool | None = None
        self.last_round_at = -math.inf
        self.next_round_at = math.inf
        # The queries that wait for its decision as a counter.
        self.pending: dict[Query, asyncio.Future[Decision]] = {}

    def reaches(self, other: "Host") -> bool:
        """Return whether datagrams pass between the two."""
        usable = self.up and other.up and not self.suspended and not other.suspended
        return usable and self.side == other.side


@dataclass(eq=False)
class Query:
    """One request, with the decisions of the counters that its host has asked."""

    host: Host
    cost: int
    attempts: int = 0
    done: bool = False
    decisions: dict[str, bool] = field(default_factory=dict)


@dataclass
class Totals:
    """What was asked of the hosts in a run, and what they did."""

    admitted: list[tuple[float, int]] = field(default_factory=list)
    requests: int = 0
    large: int = 0
    refused: int = 0
    refused_large: int = 0
    # Datagrams of queries, and of collections, with their replies.
    queries: int = 0
    collections: int = 0


def make_terms(rate: float) -> QuotaTerms:
    """Return the terms of a quota whose burst is a second of its rate."""
    return find_terms(Quota(rate, rate), TOLERANCE)


def make_members(count: int) -> list[Member]:
    """Return hosts with equal links."""
    return [Member(f"h{n}", f"10.0.0.{n}", "a") for n in range(count)]


def draw_cost(rng: random.Random) -> int:
    """Return the tokens of a request."""
    median = MEAN_TOKENS * math.exp(-(SIGMA**2) / 2)
    return int(min(MAX_TOKENS, max(MIN_TOKENS, rng.lognormvariate(math.log(median), SIGMA))))


class Run(ABC):
    """One run of a way to share a quota."""

    name = ""

    def __init__(self, hosts: int, rate: float, demand: Demand, scenario: Scenario, seed: int,
                 delay: float) -> None:  # fmt: skip
        """Start with hosts that have been up for long; `delay` is in seconds one way."""
        self.rate, self.demand, self.scenario, self.delay = rate, demand, scenario, delay
        self.rng = random.Random(seed)
        self.terms = make_terms(rate)
        self.hosts = [Host(member, self.terms) for member in make_members(hosts)]
        self.totals = Totals()
        self.loss = LOST_SHARE if scenario is Scenario.LOSS else 0.0
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._usable = self.hosts
        self._update_views(0.0)

    @abstractmethod
    def admit(self, host: Host, cost: int, now: float) -> None:
        """Decide on a request at a host, now or later; ends with `finish`."""

    def play(self) -> "Run":
        """Simulate the run to its end."""
        self.schedule(0.0, self._arrive)
        self.schedule(FAULT_AT, self._disturb)
        while self._queue and self._queue[0][0] < RUN_SECONDS:
            at, _, action = heapq.heappop(self._queue)
            action(at)
        return self

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._queue, (at, next(self._numbers), action))

    def finish(self, cost: int, granted: bool, now: float) -> None:
        """Count a decision."""
        if granted:
            self.totals.admitted.append((now, cost))
            return
        self.totals.refused += 1
        self.totals.refused_large += cost >= LARGE_TOKENS

    def is_lost(self) -> bool:
        """Return whether one datagram is lost."""
        return self.loss > 0 and self.rng.random() < self.loss

    def _arrive(self, now: float) -> None:
        before, after = self.demand.value
        per_second = (before if now < RISE_AT else after) * self.rate / MEAN_TOKENS
        self.schedule(now + self.rng.expovariate(per_second), self._arrive)
        cost = draw_cost(self.rng)
        usable = self._usable
        if not usable:
            return
        self.totals.requests += 1
        self.totals.large += cost >= LARGE_TOKENS
        self.admit(self.rng.choice(usable), cost, now)

    # Faults.

    def _disturb(self, now: float) -> None:
        first = self.hosts[0].counters[0]
        match self.scenario:
            case Scenario.KILLED:
                self._kill([first], now)
            case Scenario.KILLED_IN_A_ROW:
                self._kill_next(3, now)
            case Scenario.SUSPENDED:
                first.suspended = True
                self._note_change(now, FAILURE_KNOWN_SECONDS)
                self.schedule(now + SUSPENDED_SECONDS, self._resume)
            case Scenario.PARTITION:
                for number, host in enumerate(self.hosts):
                    host.side = number % 2
                self._note_change(now, FAILURE_KNOWN_SECONDS)
                self.schedule(now + PARTITION_SECONDS, self._join_halves)
            case Scenario.ALL_KILLED:
                self._kill(self.hosts, now)
            case Scenario.LOWERED:
                self._lower(now, late=False)
                self.schedule(now + LATE_CONFIG_SECONDS, partial(self._lower, late=True))

    def _kill(self, hosts: list[Host], now: float) -> None:
        for host in hosts:
            host.up = False
        self._note_change(now, FAILURE_KNOWN_SECONDS)
        self.schedule(now + RESTART_SECONDS, partial(self._restart, hosts))

    def _kill_next(self, left: int, now: float) -> None:
        """Kill the counter in use and, once it is replaced, the next one."""
        knowing = next(item for item in self._usable if item.known_from <= now)
        self._kill(knowing.counters[:1], now)
        if left > 1:
            self.schedule(now + FAILURE_KNOWN_SECONDS + 0.1, partial(self._kill_next, left - 1))

    def _restart(self, hosts: list[Host], now: float) -> None:
        for host in hosts:
            host.up, host.known_from = True, now + RETURN_KNOWN_SECONDS
            host.peers, host.members, host.counters = [host], (host.member,), [host]
            host.start(now)
        self._note_change(now, RETURN_KNOWN_SECONDS)

    def _resume(self, now: float) -> None:
        for host in self.hosts:
            host.suspended = False
        self._note_change(now, RETURN_KNOWN_SECONDS)

    def _join_halves(self, now: float) -> None:
        for host in self.hosts:
            host.side = 0
        self._note_change(now, RETURN_KNOWN_SECONDS)

    def _lower(self, now: float, late: bool) -> None:
        """Halve the quota at the third of the hosts that gets it late, or at the others."""
        terms = make_terms(self.rate / 2)
        for number, host in enumerate(self.hosts):
            if (number % 3 == 0) is late:
                host.terms = terms

    def _note_change(self, now: float, delay: float) -> None:
        """Have callers know at once, and hosts later, who is up."""
        self._usable = [item for item in self.hosts if item.up and not item.suspended]
        self.schedule(now + delay, self._update_views)

    def _update_views(self, now: float) -> None:
        """Have the hosts of each side know which of them are up."""
        for side in (0, 1):
            seen = [item for item in self._usable if item.side == side and item.known_from <= now]
            by_name = {item.member.host: item for item in seen}
            members = tuple(item.member for item in seen)
            counters = find_counters(members, WORKSPACE)
            for host in seen:
                host.peers, host.members = seen, members
                host.counters = [by_name[item.host] for item in counters]


def allow(rate: float) -> float:
    """Return what all hosts may admit in a window."""
    quota = Quota(rate, rate)
    return rate * TOLERANCE.window_seconds + quota.burst + TOLERANCE.find_excess(quota)


def find_worst(admitted: list[tuple[float, int]], start: float = 0.0) -> int:
    """Return the maximum cost admitted in any window that begins after a time."""
    window: deque[tuple[float, int]] = deque()
    cost = worst = 0
    for item in admitted:
        if item[0] < start:
            continue
        window.append(item)
        cost += item[1]
        while item[0] - window[0][0] > TOLERANCE.window_seconds:
            cost -= window.popleft()[1]
        worst = max(worst, cost)
    return worst


def find_worst_share(run: Run) -> float:
    """Return the worst window as a part of what is allowed, also after a lowered quota binds."""
    admitted = run.totals.admitted
    share = find_worst(admitted) / allow(run.rate)
    if run.scenario is not Scenario.LOWERED:
        return share
    binding_at = FAULT_AT + LATE_CONFIG_SECONDS + CONFIG_APPLY_SECONDS
    return max(share, find_worst(admitted, binding_at) / allow(run.rate / 2))


def find_used_share(run: Run) -> float:
    """Return the part of the quota that was used."""
    lowered = RUN_SECONDS - FAULT_AT if run.scenario is Scenario.LOWERED else 0.0
    return sum(cost for _, cost in run.totals.admitted) / (run.rate * (RUN_SECONDS - lowered / 2))
