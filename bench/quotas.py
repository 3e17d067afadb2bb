"""Compares ways in which hosts keep a workspace to one quota, in the model of quota_fleet.py.

What the hosts admit is counted in sliding windows, while callers ask for more than the quota, for
less, and for less until shortly after the fault.
"""

import itertools
import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from bench.quota_counters import CollectedShares, SingleCounter
from bench.quota_fleet import (
    RUN_SECONDS,
    Bucket,
    Demand,
    Host,
    Run,
    Scenario,
    find_used_share,
    find_worst_share,
    make_members,
)
from swifttrestle.internal.policy.quotas import find_collection_interval, find_counters

HOSTS = (8, 58, 195)
# With those of the largest plan, in the tables that need few runs.
ALL_HOSTS = (*HOSTS, 790)
# Hosts of a deployment that is spread over regions.
HOSTS_IN_REGIONS = (58,)
RATES = (47_000, 280_000, 1_000_000)
# Seconds one way between zones, and between regions.
DELAYS = (0.0005, 0.012)
SEEDS = range(1, 3)
# Two seeds have some twenty of the largest requests of the smallest quota, too few for its parts.
MORE_SEEDS = range(1, 21)
# Workspaces that have quotas, with the rate of each.
WORKSPACES = ((16, 280_000), (310, 47_000))
# A datagram, and the bytes for one workspace in the reply to a collection.
DATAGRAM_BYTES = 1_400
ENTRY_BYTES = 20


class EqualShares(Run):
    """Each host counts an equal share of the quota."""

    name = "equal shares"

    def admit(self, host: Host, cost: int, now: float) -> None:
        """Take from the host's bucket."""
        rate = host.terms.rate / len(self.hosts)
        if host.bucket is None:
            host.bucket = Bucket(rate, now)
        self.finish(cost, host.bucket.take(cost, rate, rate, now), now)


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
    for scenario, hosts in itertools.product((Scenario.NONE, Scenario.KILLED), ALL_HOSTS):
        runs = play(CollectedShares, hosts, RATES[0], Demand.LOW, scenario, DELAYS[0], MORE_SEEDS)
        refused, large = find_refused(runs)
        print(f"{scenario.value:22} {hosts:4} {100 * refused:6.2f} {100 * large:6.2f}", flush=True)
    print("\ndatagrams a second of the busiest counter")
    for (workspaces, rate), hosts in itertools.product(WORKSPACES, ALL_HOSTS):
        found = count_counter_datagrams(hosts, workspaces, rate)
        print(f"{workspaces:4} workspaces {hosts:4} {found:6.0f}")
