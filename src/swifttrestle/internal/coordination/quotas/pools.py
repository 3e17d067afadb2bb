"""What this host, as their counter, has collected of workspaces' quotas, and grants from it."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from swifttrestle.internal.coordination.quotas.hosts import QuotaHosts
from swifttrestle.internal.coordination.quotas.rounds import CollectionRound, CollectionRounds
from swifttrestle.internal.coordination.quotas.shares import QuotaShares
from swifttrestle.internal.policy.quotas import (
    GRANTED,
    POOL_TTL_SECONDS,
    Decision,
    Pool,
    QuotaTerms,
    find_collection_interval,
)
from swifttrestle.internal.protocol.quotas import CollectReply

# Maximum time in seconds for which a request waits for the replies of a round.
ROUND_WAIT_SECONDS = 0.05
# Part of the usual interval after which a pool that was not collected for long may be filled: its
# first requests would be refused although all shares are full.
EMPTY_POOL_INTERVAL_SHARE = 0.1
# Seconds without a request after which a pool is removed. Until then each round fills it with the
# others, so that its next request does not wait.
POOL_IDLE_SECONDS = 60.0


class _CountedPool:
    """A workspace's pool and the requests that wait for the replies of a round, in order."""

    def __init__(self, workspace: str) -> None:
        """Start empty."""
        self.workspace = workspace
        self.pool = Pool()
        self.queried_at = float("-inf")
        self.collected_at = float("-inf")
        # When requests no longer wait for the round in progress.
        self.waits_until = float("-inf")
        self.waiting: deque[tuple[int, asyncio.Future[Decision]]] = deque()

    def is_outdated(self, now: float) -> bool:
        """Return whether what the pool holds is too old to be granted."""
        return now - self.collected_at > POOL_TTL_SECONDS

    def is_due(self, terms: QuotaTerms, now: float) -> bool:
        """Return whether a round is to be started for this pool."""
        if not self.pool.needs_collection(terms, now):
            return False
        # A debt is paid also while there are no requests: the next one is to find it paid.
        return now - self.queried_at <= POOL_TTL_SECONDS or self.pool.units < 0

    def take_fitting(self, terms: QuotaTerms, now: float) -> None:
        """Grant the first waiting requests that fit; later ones must not overtake a large one."""
        while self.waiting:
            cost, decided = self.waiting[0]
            if not decided.done() and not self.pool.fits(cost, terms, now):
                return
            self._decide_next(terms, now)

    def take_all(self, terms: QuotaTerms, now: float) -> None:
        """Decide on all waiting requests."""
        self.waits_until = float("-inf")
        while self.waiting:
            self._decide_next(terms, now)

    def grant_all(self) -> None:
        """Grant all waiting requests, as there is no quota any more."""
        while self.waiting:
            _, decided = self.waiting.popleft()
            if not decided.done():
                decided.set_result(GRANTED)

    def _decide_next(self, terms: QuotaTerms, now: float) -> None:
        cost, decided = self.waiting.popleft()
        # It is done if its caller has gone.
        if not decided.done():
            decided.set_result(self.pool.take(cost, terms, now))


class QuotaPools:
    """The pools of the workspaces that this host counts; times are the event loop's."""

    def __init__(
        self,
        hosts: QuotaHosts,
        shares: QuotaShares,
        rounds: CollectionRounds,
        find_terms: Callable[[str], QuotaTerms | None],
    ) -> None:
        """Fill the pools from the shares of this host and, through `rounds`, of the others."""
        self._hosts = hosts
        self._shares = shares
        self._rounds = rounds
        self._find_declared = find_terms
        self._pools: dict[str, _CountedPool] = {}
        self._last_round_at = float("-inf")
        self._next_round: asyncio.TimerHandle | None = None

    def list_workspaces(self) -> list[str]:
        """Return the workspaces that this host counts."""
        return list(self._pools)

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
            counted = self._pools[workspace] = _CountedPool(workspace)
        counted.pool.limit(terms)
        counted.queried_at = now
        counted.waiting.append((cost, decided))
        # Requests of this workspace may be waiting already.
        self._plan_round(counted, terms, now)
        if counted.waits_until > now:
            counted.take_fitting(terms, now)
        else:
            counted.take_all(terms, now)
        return decided

    def give_back(self, workspace: str, cost: int) -> None:
        """Give back the charge of a request that did not run."""
        now = _now()
        counted, terms = self._pools.get(workspace), self._find_terms(workspace, now)
        if counted is not None and terms is not None:
            counted.pool.deposit(cost, terms)
            counted.take_fitting(terms, now)

    def receive(self, reply: CollectReply, ip: str) -> None:
        """Add what a host hands over."""
        now = _now()
        collection = self._rounds.accept(reply, ip, now)
        if collection is None:
            return
        for workspace, units in reply.collected:
            if workspace in collection.workspaces:
                self._deposit(workspace, units, now)
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
                continue
            counted.pool.limit(terms)
            idle = now - counted.queried_at > POOL_IDLE_SECONDS
            if idle and not counted.waiting and counted.pool.units >= 0:
                del self._pools[workspace]

    def count_units(self, workspace: str, now: float) -> float | None:
        """Return what a pool holds; None if this host does not count the workspace."""
        counted = self._pools.get(workspace)
        if counted is None:
            return None
        units = counted.pool.units
        return min(0.0, units) if counted.is_outdated(now) else units

    def find_collection_age(self, workspace: str, now: float) -> float | None:
        """Return the seconds since the last round for a workspace; None if there was none."""
        counted = self._pools.get(workspace)
        if counted is None or counted.collected_at == float("-inf"):
            return None
        return now - counted.collected_at

    def _find_terms(self, workspace: str, now: float) -> QuotaTerms | None:
        """Return how a quota applies to what this host can collect.

        A counter that sees only some of the hosts holds their part of the capacity, so that the
        pools on all sides of a partition hold no more than one.
        """
        terms = self._find_declared(workspace)
        if terms is None:
            return None
        return replace(terms, capacity=terms.capacity * self._hosts.find_live_share(now))

    # Rounds.

    def _plan_round(self, counted: _CountedPool, terms: QuotaTerms, now: float) -> None:
        """Start a round for a pool that is low, or schedule it if the last one was just before."""
        if not counted.is_due(terms, now):
            return
        interval = find_collection_interval(len(self._hosts.list_live(now)))
        is_outdated = counted.is_outdated(now)
        if is_outdated:
            interval *= EMPTY_POOL_INTERVAL_SHARE
        allowed_at = self._last_round_at + interval
        if allowed_at <= now:
            self._start_round(now)
            return
        self._schedule_round(allowed_at)
        if is_outdated and counted.waits_until <= now:
            self._wait(counted, now)

    def _schedule_round(self, at: float) -> None:
        if self._next_round is not None:
            if self._next_round.when() <= at:
                return
            self._next_round.cancel()
        self._next_round = asyncio.get_running_loop().call_at(at, self._start_due_round)

    def _start_due_round(self) -> None:
        self._next_round = None
        now = _now()
        for workspace, counted in self._pools.items():
            terms = self._find_terms(workspace, now)
            if terms is not None and counted.is_due(terms, now):
                self._start_round(now)
                return

    def _start_round(self, now: float) -> None:
        """Ask all hosts for the units of all pools that are low."""
        self._last_round_at = now
        workspaces = []
        for workspace, counted in self._pools.items():
            terms = self._find_terms(workspace, now)
            if terms is not None and counted.pool.needs_collection(terms, now):
                counted.pool.note_collection(now)
                counted.collected_at = now
                self._wait(counted, now)
                workspaces.append(workspace)
        self._schedule_round(now + find_collection_interval(len(self._hosts.list_live(now))))
        for workspace, units in self._shares.collect(workspaces, now):
            self._deposit(workspace, units, now)
        for collection in self._rounds.start(workspaces, now):
            self._end_complete(collection, now)

    def _deposit(self, workspace: str, units: float, now: float) -> None:
        counted, terms = self._pools.get(workspace), self._find_terms(workspace, now)
        if counted is not None and terms is not None:
            counted.pool.deposit(units, terms)
            counted.take_fitting(terms, now)

    # Waiting for replies.

    def _wait(self, counted: _CountedPool, now: float) -> None:
        counted.waits_until = now + ROUND_WAIT_SECONDS
        asyncio.get_running_loop().call_at(
            counted.waits_until, self._end_wait, counted, counted.waits_until
        )

    def _end_wait(self, counted: _CountedPool, until: float) -> None:
        """Decide on the requests that waited until a time, unless a later round began."""
        if counted.waits_until != until:
            return
        now = _now()
        terms = self._find_terms(counted.workspace, now)
        if terms is None:
            counted.grant_all()
        else:
            counted.take_all(terms, now)

    def _end_complete(self, collection: CollectionRound, now: float) -> None:
        """Decide on the requests that waited for a round to which all hosts have replied."""
        if collection.silent:
            return
        for workspace in collection.workspaces:
            counted, terms = self._pools.get(workspace), self._find_terms(workspace, now)
            if counted is None or terms is None:
                continue
            if counted.collected_at == collection.started_at:
                counted.take_all(terms, now)


def _now() -> float:
    return asyncio.get_running_loop().time()
