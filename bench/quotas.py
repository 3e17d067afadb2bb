"""Ways in which hosts keep a workspace to one quota together, in the model of quota_fleet.py.

What the hosts admit is counted in sliding windows, while callers ask for more than the quota, for
less, and for less until shortly after the fault.
"""

import itertools
import math
from abc import abstractmethod
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from bench.quota_fleet import (
    RUN_SECONDS,
    Bucket,
    Demand,
    Host,
    Query,
    Run,
    Scenario,
    find_used_share,
    find_worst_share,
    make_members,
)
from swifttrestle.internal.policy.quotas import find_collection_interval, find_counters

# A host asks each of two counters this often, and waits so long for each reply.
ATTEMPTS = 2
ATTEMPT_SECONDS = 0.05
# Seconds for which a counter waits for the replies to a collection.
ROUND_SECONDS = 0.05
HOSTS = (8, 58, 195, 790)
# Hosts of a deployment that is spread over regions.
HOSTS_IN_REGIONS = (58,)
RATES = (47_000, 280_000, 1_000_000)
# Seconds one way between zones, and between regions.
DELAYS = (0.0005, 0.012)
SEEDS = range(1, 6)
# Five seeds have some fifty of the largest requests of the smallest quota, too few for its parts.
MORE_SEEDS = range(1, 81)
# Workspaces that have quotas, with the rate of each.
WORKSPACES = ((16, 280_000), (310, 47_000))
# A datagram, and the bytes for one workspace in the reply to a collection.
DATAGRAM_BYTES = 1_400
ENTRY_BYTES = 20


@dataclass(frozen=True)
class Collection:
    """What the hosts that replied to a counter had accrued, and whether all known ones replied."""

    asked_at: float
    units: float
    replies: int
    is_complete: bool


class EqualShares(Run):
    """Each host counts an equal share of the quota."""

    name = "equal shares"

    def admit(self, host: Host, cost: int, now: float) -> None:
        """Take from the host's bucket."""
        rate = host.terms.rate / len(self.hosts)
        if host.bucket is None:
            host.bucket = Bucket(rate, now)
        self.finish(cost, host.bucket.take(cost, rate, rate, now), now)


class CountedRun(Run):
    """Hosts ask counters by datagrams."""

    max_counters = 1

    @abstractmethod
    def decide(self, counter: Host, query: Query, now: float) -> None:
        """Decide on a query at a counter, now or later; ends with `reply`."""

    @abstractmethod
    def decide_alone(self, host: Host, cost: int, now: float) -> bool:
        """Return whether a host admits a request for which it reaches no counter."""

    def admit(self, host: Host, cost: int, now: float) -> None:
        """Ask the counters in turn."""
        self._ask(Query(host, cost), 0, now)

    def _ask(self, query: Query, attempt: int, now: float) -> None:
        if query.done or query.attempts != attempt or not query.host.up:
            return
        counters = query.host.counters[: self.max_counters]
        if attempt >= ATTEMPTS * len(counters):
            query.done = True
            self.finish(query.cost, self.decide_alone(query.host, query.cost, now), now)
            return
        query.attempts += 1
        counter = counters[attempt // ATTEMPTS]
        self.schedule(now + ATTEMPT_SECONDS, partial(self._ask, query, query.attempts))
        if counter is query.host:
            self._receive_query(counter, query, now)
            return
        self.totals.queries += 1
        if query.host.reaches(counter) and not self.is_lost():
            self.schedule(now + self.delay, partial(self._receive_query, counter, query))

    def _receive_query(self, counter: Host, query: Query, now: float) -> None:
        if not counter.up or counter.suspended or query in counter.waiting:
            return
        if counter.member.host in query.decisions:
            self.reply(counter, query, query.decisions[counter.member.host], now)
        else:
            self.decide(counter, query, now)

    def reply(self, counter: Host, query: Query, granted: bool, now: float) -> None:
        """Send a decision, which is the same if the query is repeated."""
        query.decisions[counter.member.host] = granted
        if counter is query.host:
            self._receive_reply(query, granted, now)
            return
        self.totals.queries += 1
        if counter.reaches(query.host) and not self.is_lost():
            self.schedule(now + self.delay, partial(self._receive_reply, query, granted))

    def _receive_reply(self, query: Query, granted: bool, now: float) -> None:
        if not query.done and query.host.up:
            query.done = True
            self.finish(query.cost, granted, now)


class SingleCounter(CountedRun):
    """One host counts; a host that does not reach it counts alone."""

    name = "single counter"

    def decide(self, counter: Host, query: Query, now: float) -> None:
        """Take from the counter's bucket."""
        self.reply(counter, query, self.decide_alone(counter, query.cost, now), now)

    def decide_alone(self, host: Host, cost: int, now: float) -> bool:
        """Take from the host's own bucket, which starts full."""
        if host.bucket is None:
            host.bucket = Bucket(host.terms.capacity, now)
        return host.bucket.take(cost, host.terms.rate, host.terms.capacity, now)


class CollectedShares(CountedRun):
    """Counters collect what all hosts have accrued."""

    name = "collected shares"
    max_counters = 2

    def decide(self, counter: Host, query: Query, now: float) -> None:
        """Take from the counter's pool, after the collection in progress if it lacks units."""
        if counter.pool.needs_collection(counter.terms, now, query.cost):
            self._collect(counter, now)
        if now < counter.waits_until and not counter.pool.fits(query.cost, counter.terms, now):
            counter.waiting.append(query)
        else:
            self._take(counter, query, now)

    def decide_alone(self, host: Host, cost: int, now: float) -> bool:
        """Take from the host's own share."""
        hosts = len(self.hosts)
        host.share.accrue(host.terms, hosts, now)
        return not host.share.take(cost, host.terms, hosts, self.rng.random()).seconds

    def _take(self, counter: Host, query: Query, now: float) -> None:
        decision = counter.pool.take(query.cost, counter.terms, now)
        self.reply(counter, query, not decision.seconds, now)

    def _collect(self, counter: Host, now: float) -> None:
        """Ask all known hosts, unless that was done a short time ago."""
        if now < counter.asked_at + find_collection_interval(len(self.hosts)):
            return
        counter.asked_at, counter.waits_until = now, now + ROUND_SECONDS
        counter.pool.note_collection(now)
        counter.pool.deposit(self._empty(counter, now), counter.terms)
        self.totals.collections += len(counter.peers) - 1
        self.schedule(now + self.delay, partial(self._empty_shares, counter, counter.peers))

    def _empty(self, host: Host, now: float) -> float:
        host.share.accrue(host.terms, len(self.hosts), now)
        return host.share.collect_exact()

    def _empty_shares(self, counter: Host, peers: list[Host], now: float) -> None:
        """Have the hosts reply that a counter's datagrams reach."""
        units, replies = 0.0, 1
        for host in peers:
            if host is counter or not counter.reaches(host) or self.is_lost():
                continue
            self.totals.collections += 1
            accrued = self._empty(host, now)
            if not self.is_lost():
                units += accrued
                replies += 1
        collected = Collection(counter.asked_at, units, replies, replies == len(peers))
        self.schedule(now + self.delay, partial(self._deposit, counter, collected))

    def _deposit(self, counter: Host, collected: Collection, now: float) -> None:
        """Take in the replies, and serve the queries that wait for them."""
        asked_at, is_complete = collected.asked_at, collected.is_complete
        if not counter.up or counter.suspended or counter.asked_at != asked_at:
            return
        counter.pool.deposit(collected.units, counter.terms)
        counter.pool.note_coverage(collected.replies / len(self.hosts), counter.terms)
        waiting, counter.waiting = counter.waiting, []
        for query in waiting:
            if is_complete or counter.pool.fits(query.cost, counter.terms, now):
                self._take(counter, query, now)
            else:
                counter.waiting.append(query)
        if is_complete:
            counter.waits_until = now
        else:
            self.schedule(asked_at + ROUND_SECONDS, partial(self._end_round, counter, asked_at))

    def _end_round(self, counter: Host, asked_at: float, now: float) -> None:
        if not counter.up or counter.suspended or counter.asked_at != asked_at:
            return
        waiting, counter.waiting = counter.waiting, []
        for query in waiting:
            self._take(counter, query, now)


WAYS: tuple[type[Run], ...] = (EqualShares, SingleCounter, CollectedShares)


@dataclass(frozen=True)
class Result:
    """The runs of one way at a number of hosts in a scenario.

    `worst` is the worst window as a part of what is allowed. `used` is the lowest used part of a
    quota at high demand. `refused` and `refused_large` are the highest parts of the requests, and
    of the largest tenth, that are rejected at low demand, which is within the quota. `datagrams` is
    the highest number a second that one workspace costs.
    """

    worst: float
    used: float
    refused: float
    refused_large: float
    datagrams: float

    def __str__(self) -> str:
        """Return the columns of a table."""
        return (
            f"{self.worst:6.2f} {self.used:5.2f} {100 * self.refused:6.1f} "
            f"{100 * self.refused_large:6.1f} {self.datagrams:6.0f}"
        )


def play(
    way: type[Run], hosts: int, rate: int, demand: Demand, scenario: Scenario, delay: float,
    seeds: Sequence[int] = SEEDS,
) -> list[Run]:  # fmt: skip
    """Simulate one run for each seed."""
    return [way(hosts, rate, demand, scenario, seed, delay).play() for seed in seeds]


def find_refused(runs: list[Run]) -> tuple[float, float]:
    """Return the rejected parts of all requests and of the largest tenth."""
    totals = [run.totals for run in runs]
    refused = sum(item.refused for item in totals) / sum(item.requests for item in totals)
    large = sum(item.refused_large for item in totals) / sum(item.large for item in totals)
    return refused, large


def count_datagrams(runs: list[Run]) -> float:
    """Return the datagrams a second."""
    total = sum(run.totals.queries + run.totals.collections for run in runs)
    return total / (len(runs) * RUN_SECONDS)


def measure(
    way: type[Run], hosts: int, scenario: Scenario, delay: float = DELAYS[0],
    rates: Sequence[int] = RATES, seeds: Sequence[int] = SEEDS,
) -> Result:  # fmt: skip
    """Return the results over all rates, demands and seeds."""
    runs = {
        (rate, demand): play(way, hosts, rate, demand, scenario, delay, seeds)
        for rate, demand in itertools.product(rates, Demand)
    }
    used = [sum(map(find_used_share, runs[rate, Demand.HIGH])) / len(seeds) for rate in rates]
    refused = [find_refused(runs[rate, Demand.LOW]) for rate in rates]
    return Result(
        max(find_worst_share(run) for group in runs.values() for run in group),
        min(used),
        max(item[0] for item in refused),
        max(item[1] for item in refused),
        max(map(count_datagrams, runs.values())),
    )


def count_counter_datagrams(hosts: int, workspaces: int, rate: int) -> float:
    """Return the datagrams a second of the busiest counter, at low demand of all workspaces.

    Workspaces that are collected at the same time share datagrams.
    """
    runs = play(CollectedShares, hosts, rate, Demand.LOW, Scenario.NONE, DELAYS[0])
    seconds = len(runs) * RUN_SECONDS
    queries = sum(run.totals.queries for run in runs) / seconds
    collections = sum(run.totals.collections for run in runs) / seconds
    members = make_members(hosts)
    chosen = Counter(find_counters(members, f"w{n}")[0].host for n in range(workspaces))
    counted = max(chosen.values())
    parts = math.ceil(counted * ENTRY_BYTES / DATAGRAM_BYTES)
    most = 2 * (hosts - 1) * parts / find_collection_interval(hosts)
    return counted * queries + min(counted * collections, most)


def print_table(way: type[Run], hosts: Sequence[int], delay: float) -> None:
    """Print the results of a way for each scenario and number of hosts."""
    print(f"\n{way.name}, {1000 * delay:.1f} ms one way")
    for scenario, count in itertools.product(Scenario, hosts):
        result = measure(way, count, scenario, delay)
        print(f"{scenario.value:22} {count:4} {result}", flush=True)


def main() -> None:
    """Print for each way and scenario how the bound was kept and how the quota was used."""
    print("worst window, used, rejected in 100, of the largest tenth, datagrams a second")
    for way in WAYS:
        print_table(way, HOSTS, DELAYS[0])
    print_table(CollectedShares, HOSTS_IN_REGIONS, DELAYS[1])
    print("\nrejected in 100 of the smallest quota, collected shares")
    for scenario, hosts in itertools.product((Scenario.NONE, Scenario.KILLED), HOSTS):
        runs = play(CollectedShares, hosts, RATES[0], Demand.LOW, scenario, DELAYS[0], MORE_SEEDS)
        refused, large = find_refused(runs)
        print(f"{scenario.value:22} {hosts:4} {100 * refused:6.2f} {100 * large:6.2f}", flush=True)
    print("\ndatagrams a second of the busiest counter")
    for (workspaces, rate), hosts in itertools.product(WORKSPACES, HOSTS):
        found = count_counter_datagrams(hosts, workspaces, rate)
        print(f"{workspaces:4} workspaces {hosts:4} {found:6.0f}")
