"""The pool of one workspace at its counter, and the requests that wait for it to be filled."""

import asyncio
import math
from collections import deque
from dataclasses import replace

from swifttrestle.internal.policy.quotas import (
    COLLECTION_SECONDS,
    GRANTED,
    Decision,
    Pool,
    QuotaTerms,
)

# Part of what a round asked for below which the shares count as empty: some hosts may be silent.
EMPTY_SHARES_PART = 0.75
# Seconds from its first request in which a pool is filled early although the shares count as empty:
# the counter before this one has just emptied them, and they accrue again.
TAKEOVER_SECONDS = 0.5
# Part of a pool's lifetime after which one in use is confirmed by a round, before it is outdated.
CONFIRM_PART = 0.5
# Seconds by which a round and the replies to it may be late.
ROUND_MARGIN_SECONDS = 0.03


class CountedPool:
    """A pool and its waiting requests, which are decided in order; times are the event loop's."""

    def __init__(
        self, workspace: str, terms: QuotaTerms, created_at: float = float("-inf")
    ) -> None:
        """Start empty; without `created_at`, as one that has been filled before."""
        self.workspace = workspace
        self._created_at = created_at
        self.queried_at = float("-inf")
        self.collected_at = float("-inf")
        # When requests no longer wait for the round in progress.
        self.waits_until = float("-inf")
        # Seconds between two rounds.
        self.interval = COLLECTION_SECONDS
        self._terms = terms
        self._pool = Pool()
        self._waiting: deque[tuple[int, asyncio.Future[Decision]]] = deque()
        # The units that the last round asked for, and received.
        self._wanted = 0.0
        self._received = 0.0

    def apply(self, terms: QuotaTerms) -> None:
        """Put terms in force; if they are lower than before, units over the capacity are lost."""
        self._terms = terms
        self._pool.limit(terms)

    def count_units(self, now: float) -> float:
        """Return the units that can be granted; below 0 if there is a debt."""
        return min(0.0, self._pool.units) if self._is_outdated(now) else self._pool.units

    def is_in_use(self, hold_seconds: float, now: float) -> bool:
        """Return whether there was a request in the last `hold_seconds`, or there is a debt.

        A debt is paid also while there are no requests: the next one is to find it paid.
        """
        recently_queried = now - self.queried_at <= hold_seconds
        return recently_queried or self._pool.units < 0 or bool(self._waiting)

    # Rounds.

    def is_due(self, now: float) -> bool:
        """Return whether a round is to be started for this pool, if it is in use."""
        is_low = self._pool.is_low(self._terms, now)
        return is_low or now - self.collected_at > self._terms.pool_ttl * CONFIRM_PART

    def may_be_filled_early(self, cost: int, now: float) -> bool:
        """Return whether an early round may let a request pass that does not fit."""
        if self._pool.fits(cost, self._terms, now):
            return False
        if self._is_outdated(now) or now - self._created_at < TAKEOVER_SECONDS:
            return True
        return self._received >= self._wanted * EMPTY_SHARES_PART

    def begin_round(self, hosts: int, now: float) -> int:
        """Confirm the pool; return the units to ask each host for, 0 for none."""
        self._pool.note_collection(now)
        self.collected_at = now
        # A request larger than the capacity passes only while nothing is missing.
        missing = self._terms.capacity - self._pool.units
        wanted = max(0, math.ceil(missing / hosts))
        self._wanted, self._received = float(wanted * hosts), 0.0
        return wanted

    def collect(self, units: float, now: float) -> None:
        """Add what a host hands over, and grant what fits."""
        self._received += units
        self.give_back(units, now)

    def give_back(self, units: float, now: float) -> None:
        """Add units up to the capacity, and grant what fits."""
        self._pool.deposit(units, self._terms)
        self._take_fitting(now)

    # Requests.

    def submit(self, cost: int, decided: "asyncio.Future[Decision]", now: float) -> None:
        """Decide on a request, at once or at the end of the round in progress."""
        self._waiting.append((cost, decided))
        if self.waits_until > now:
            self._take_fitting(now)
        else:
            self.end_wait(now)

    def end_wait(self, now: float) -> None:
        """Decide on all waiting requests."""
        self.waits_until = float("-inf")
        while self._waiting:
            self._decide_next(now)

    def grant_all(self) -> None:
        """Grant all waiting requests, as there is no quota any more."""
        while self._waiting:
            _, decided = self._waiting.popleft()
            if not decided.done():
                decided.set_result(GRANTED)

    def _take_fitting(self, now: float) -> None:
        """Grant the first waiting requests that fit; later ones must not overtake a large one."""
        while self._waiting:
            cost, decided = self._waiting[0]
            if not decided.done() and not self._pool.fits(cost, self._terms, now):
                return
            self._decide_next(now)

    def _decide_next(self, now: float) -> None:
        cost, decided = self._waiting.popleft()
        # It is done if its caller has gone.
        if not decided.done():
            decision = self._pool.take(cost, self._terms, now)
            if decision.seconds > 0:
                decision = replace(decision, seconds=self._find_return(decision.seconds, now))
            decided.set_result(decision)

    def _find_return(self, seconds: float, now: float) -> float:
        """Return the seconds until a round has collected what accrues in `seconds`.

        Between two rounds the pool does not grow, so that an earlier return would be in vain.
        """
        rounds = math.ceil(seconds / self.interval)
        collected_at = self.collected_at + rounds * self.interval + ROUND_MARGIN_SECONDS
        return max(seconds, collected_at - now)

    def _is_outdated(self, now: float) -> bool:
        """Return whether what the pool holds is too old to be granted."""
        return now - self.collected_at > self._terms.pool_ttl
