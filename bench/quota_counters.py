"""Ways to keep a quota in which hosts ask counters by datagrams, in the model of quota_fleet.py.

The accounts are those of the gateway. The times of rounds are the event loop's there and the
model's here, so that they stand here once more; see coordination/quotas/pools.py.
"""

import asyncio
import math
from abc import abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from bench.quota_fleet import WORKSPACE, Bucket, Host, Query, Run
from swifttrestle.internal.coordination.quotas.counted_pool import CountedPool
from swifttrestle.internal.coordination.quotas.limiter import MIN_LIVE_SHARE, REFRESH_SECONDS
from swifttrestle.internal.coordination.quotas.pools import (
    EARLY_INTERVAL_SHARE,
    HOLD_SECONDS,
    ROUND_WAIT_SECONDS,
    SUBSTITUTE_HOLD_SECONDS,
)
from swifttrestle.internal.policy.quotas import QuotaTerms, find_collection_interval

# A host asks each of two counters this often, and waits so long for each reply.
ATTEMPTS = 2
ATTEMPT_SECONDS = 0.05
# Seconds after which an action that falls due at a suspended host is tried again.
RETRY_SECONDS = 0.1

# Creates the futures that CountedPool sets; it never runs.
_loop = asyncio.new_event_loop()
_loop.close()


@dataclass(frozen=True)
class Round:
    """A round of a counter, with the hosts that it asks for some units each."""

    counter: Host
    counted: CountedPool
    started_at: float
    peers: list[Host]
    wanted: int


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
        if not counter.up or counter.suspended or query in counter.pending:
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
    """Counters collect what all hosts have accrued, as the gateway's do."""

    name = "collected shares"
    max_counters = 2

    def admit(self, host: Host, cost: int, now: float) -> None:
        """Ask the counters, unless they see too few of the hosts."""
        if host.hosts.find_live_share(now) >= MIN_LIVE_SHARE:
            super().admit(host, cost, now)
        else:
            self.finish(cost, self.decide_alone(host, cost, now), now)

    def decide(self, counter: Host, query: Query, now: float) -> None:
        """Take from the counter's pool, after the round in progress if it lacks units."""
        counted = counter.counted
        if counted is None:
            counted = counter.counted = CountedPool(WORKSPACE, self._find_terms(counter, now))
            self._call_at(counter, now + REFRESH_SECONDS, self._refresh)
        counted.apply(self._find_terms(counter, now))
        counted.queried_at = now
        self._plan_round(counter, counted, query.cost, now)
        decided = counter.pending[query] = _loop.create_future()
        counted.submit(query.cost, decided, now)
        self._send_decisions(counter, now)

    def decide_alone(self, host: Host, cost: int, now: float) -> bool:
        """Take from the host's own share."""
        decision = host.shares.take(WORKSPACE, cost, self.rng.random(), now)
        return decision is None or not decision.seconds

    def _send_decisions(self, counter: Host, now: float) -> None:
        for query, decided in list(counter.pending.items()):
            if decided.done():
                del counter.pending[query]
                self.reply(counter, query, not decided.result().seconds, now)

    def _find_terms(self, counter: Host, now: float) -> QuotaTerms:
        capacity = counter.terms.capacity * counter.hosts.find_live_share(now)
        return replace(counter.terms, capacity=capacity)

    def _call_at(
        self, counter: Host, at: float, action: Callable[[Host, CountedPool, float], None]
    ) -> None:
        """Call an action of a counter, later if it is suspended then, if it still has its pool."""
        self.schedule(at, partial(self._call, counter, counter.counted, action))

    def _call(
        self,
        counter: Host,
        counted: CountedPool | None,
        action: Callable[[Host, CountedPool, float], None],
        now: float,
    ) -> None:
        if not counter.up or counted is None or counter.counted is not counted:
            return
        if counter.suspended:
            self._call_at(counter, now + RETRY_SECONDS, action)
        else:
            action(counter, counted, now)

    def _refresh(self, counter: Host, counted: CountedPool, now: float) -> None:
        """Cut the pool to lowered terms, and remove one that is not in use."""
        if self._is_in_use(counter, counted, now):
            counted.apply(self._find_terms(counter, now))
            self._call_at(counter, now + REFRESH_SECONDS, self._refresh)
        else:
            counter.counted, counter.next_round_at = None, math.inf

    def _is_in_use(self, counter: Host, counted: CountedPool, now: float) -> bool:
        is_first = counter.counters[0] is counter
        return counted.is_in_use(HOLD_SECONDS if is_first else SUBSTITUTE_HOLD_SECONDS, now)

    # Rounds.

    def _plan_round(self, counter: Host, counted: CountedPool, cost: int, now: float) -> None:
        """Start a round for a request, or schedule it if the last one was just before."""
        interval = find_collection_interval(len(counter.peers))
        early = counted.may_be_filled_early(cost, now)
        if early:
            interval *= EARLY_INTERVAL_SHARE
        elif not counted.is_due(now):
            return
        allowed_at = counter.last_round_at + interval
        if allowed_at <= now:
            self._start_round(counter, counted, now)
            return
        self._schedule_round(counter, allowed_at)
        if early and counted.waits_until <= now:
            self._wait(counter, counted, now)

    def _schedule_round(self, counter: Host, at: float) -> None:
        if at < counter.next_round_at:
            counter.next_round_at = at
            self._call_at(counter, at, self._start_due_round)

    def _start_due_round(self, counter: Host, counted: CountedPool, now: float) -> None:
        if counter.next_round_at > now:
            return
        counter.next_round_at = math.inf
        if not self._is_in_use(counter, counted, now):
            return
        if counted.is_due(now):
            self._start_round(counter, counted, now)
        else:
            self._schedule_round(counter, now + find_collection_interval(len(counter.peers)))

    def _start_round(self, counter: Host, counted: CountedPool, now: float) -> None:
        """Ask all known hosts for their parts of what the pool lacks."""
        counter.last_round_at = now
        self._schedule_round(counter, now + find_collection_interval(len(counter.peers)))
        wanted = counted.begin_round(len(counter.peers), now)
        if not wanted:
            return
        self._wait(counter, counted, now)
        counted.collect(self._collect(counter, wanted, now), now)
        self.totals.collections += len(counter.peers) - 1
        started = Round(counter, counted, now, counter.peers, wanted)
        self.schedule(now + self.delay, partial(self._ask_hosts, started))

    def _collect(self, host: Host, wanted: int, now: float) -> float:
        return sum(units for _, units in host.shares.collect([(WORKSPACE, wanted)], now))

    def _ask_hosts(self, started: Round, now: float) -> None:
        """Have the hosts reply that a counter's datagrams reach."""
        units, replies = 0.0, 1
        for host in started.peers:
            if host is started.counter or not started.counter.reaches(host) or self.is_lost():
                continue
            self.totals.collections += 1
            collected = self._collect(host, started.wanted, now)
            if not self.is_lost():
                units += collected
                replies += 1
        self.schedule(
            now + self.delay,
            partial(self._receive_units, started, units, replies == len(started.peers)),
        )

    def _receive_units(self, started: Round, units: float, is_complete: bool, now: float) -> None:
        """Take in the replies, and decide on the queries that wait for them."""
        counter, counted = started.counter, started.counted
        if not counter.up or counter.suspended or counter.counted is not counted:
            return
        counted.collect(units, now)
        if is_complete and counted.collected_at == started.started_at:
            counted.end_wait(now)
        self._send_decisions(counter, now)

    def _wait(self, counter: Host, counted: CountedPool, now: float) -> None:
        counted.waits_until = now + ROUND_WAIT_SECONDS
        self._call_at(counter, counted.waits_until, self._end_wait)

    def _end_wait(self, counter: Host, counted: CountedPool, now: float) -> None:
        """Decide on the requests that waited for a round, unless a later one began."""
        if counted.waits_until <= now:
            counted.end_wait(now)
            self._send_decisions(counter, now)
