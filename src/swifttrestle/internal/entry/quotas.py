"""Quotas of workspaces at one entry, by an equal share for each live entry.

Entries exchange no messages about quotas. Each one accrues its part of a workspace's rate in a pool
of its own and grants requests from it. The sum over all entries therefore keeps to the rate, also
while they don't reach each other, and a workspace can use its whole quota only where its callers
spread their requests over all entries.
"""

import threading
from collections.abc import Callable, Collection, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from swifttrestle.codes import Code, Ran
from swifttrestle.errors import RefusedError
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.coordination.quotas.recent_counts import WINDOW_SECONDS, RecentCounts
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quotas import GRANTED, Decision, Pool, QuotaTerms, find_terms
from swifttrestle.internal.state.declared import Quota, QuotaTolerance, QuotaUnit
from swifttrestle.internal.workspace_quota import WorkspaceQuota
from swifttrestle.resources import Workspace

# Seconds between two accruals. A pool without one for longer is emptied by the policy, so that
# this is well below any such time also where the thread is late.
ACCRUAL_SECONDS = 0.2
# Seconds between two counts of the live entries.
COUNT_SECONDS = 0.5
# Seconds for which a new account has accrued at its begin: about as long as the start of an entry
# takes, in which it grants nothing, so that restarts hardly add to a quota.
INITIAL_SECONDS = 1.0
# Highest Retry-After, a day. It is also that of a request that can never fit, as a later
# configuration may have another quota.
MAX_RETRY_AFTER_SECONDS = 86_400.0


def make_quota(declared: WorkspaceQuota | None) -> Quota | None:
    """Return the quota that an operator declared, or None if it sets no limit."""
    if declared is None or not declared.rate_per_s:
        return None
    return Quota(declared.rate_per_s, declared.burst, QuotaUnit(declared.unit))


def divide_terms(quota: Quota, entries: int) -> QuotaTerms:
    """Return the terms of one of so many entries.

    The pools of all entries together hold the whole burst, as there are no other accounts.
    """
    terms = find_terms(quota, QuotaTolerance())
    capacity = max(terms.capacity, quota.burst)
    return replace(terms, rate=terms.rate / entries, capacity=capacity / entries)


@dataclass
class _Account:
    """What this entry may grant of one quota; times are the clock's."""

    quota: Quota
    pool: Pool
    accrued_until: float
    counts: RecentCounts

    def take(self, cost: int, entries: int, now: float) -> Decision:
        """Decide on a request, and count it.

        One that the quota allows at no time is refused; it would use up the quota for long.
        """
        terms = self.accrue(entries, now)
        limit = QuotaTolerance().find_limit(self.quota)
        if cost > limit:
            decision = Decision(MAX_RETRY_AFTER_SECONDS, cost - limit)
        else:
            decision = self.pool.take(cost, terms, now)
        self.counts.add(cost, decision is GRANTED, now)
        return decision

    def give_back(self, cost: int, entries: int, now: float) -> None:
        """Take back what a request was charged."""
        self.pool.deposit(cost, self.accrue(entries, now))
        self.counts.add(-cost, admitted=True, now=now)

    def accrue(self, entries: int, now: float) -> QuotaTerms:
        """Accrue until now as one of so many entries; return the terms of this entry."""
        terms = divide_terms(self.quota, entries)
        self.pool.note_collection(now)
        self.pool.deposit((now - self.accrued_until) * terms.rate, terms)
        self.accrued_until = now
        return terms


class EntryQuotas:
    """Charges requests to the quotas of their workspaces; thread-safe."""

    def __init__(
        self,
        entry: str,
        clock: Clock,
        metrics: Metrics,
        list_entries: Callable[[], Collection[str]],
    ) -> None:
        """Enforce one share for each of the entries that `list_entries` names, and this one."""
        self._entry = entry
        self._clock = clock
        self._metrics = metrics
        self._list_entries = list_entries
        self._lock = threading.Lock()
        self._accounts: dict[str, _Account] = {}
        self._entries = 1
        self._counted_at = float("-inf")

    @property
    def are_in_force(self) -> bool:
        """Whether any workspace has a quota."""
        return bool(self._accounts)

    @property
    def entries(self) -> int:
        """The number of entries, as last counted."""
        return self._entries

    def configure(self, workspaces: Mapping[str, Workspace]) -> None:
        """Put the declared quotas in force; an account stays while the unit of its quota does."""
        quotas = {name: make_quota(item.quota) for name, item in workspaces.items()}
        with self._lock:
            now = self._clock.now()
            self._accounts = {
                name: self._update_account(name, quota, now)
                for name, quota in quotas.items()
                if quota is not None
            }

    def _update_account(self, name: str, quota: Quota, now: float) -> _Account:
        account = self._accounts.get(name)
        if account is None or account.quota.unit is not quota.unit:
            return _Account(quota, Pool(), now - INITIAL_SECONDS, RecentCounts())
        account.accrue(self._entries, now)
        # The next accrual cuts the pool to the new capacity.
        account.quota = quota
        return account

    def accrue(self) -> None:
        """Accrue in all accounts; called every ACCRUAL_SECONDS."""
        if not self.are_in_force:
            return
        self._count_entries()
        with self._lock:
            now = self._clock.now()
            for account in self._accounts.values():
                account.accrue(self._entries, now)

    @contextmanager
    def charge(self, workspace: str, tokens: int) -> Iterator[None]:
        """Charge a request once; give the charge back if the `with` block refuses it unsent.

        Raises RefusedError if the request is over the quota.
        """
        if workspace not in self._accounts:
            yield
            return
        cost = self._take(workspace, tokens)
        try:
            yield
        except RefusedError as error:
            if error.ran is Ran.NOT_RUN:
                self._give_back(workspace, cost)
            raise

    def _take(self, workspace: str, tokens: int) -> int:
        """Return what a request was charged, 0 if its quota was just removed."""
        self._count_entries()
        with self._lock:
            now = self._clock.now()
            account = self._accounts.get(workspace)
            if account is None:
                return 0
            cost = account.quota.find_cost(tokens)
            decision = account.take(cost, self._entries, now)
            unit = account.quota.unit.value
        if decision is GRANTED:
            self._metrics.count("quota_admitted_tokens_total", cost, workspace=workspace)
            return cost
        self._metrics.count("quota_refused_total", workspace=workspace)
        message = f"over the quota of {workspace} by {decision.missing:.0f} {unit} at {self._entry}"
        seconds = min(decision.seconds, MAX_RETRY_AFTER_SECONDS)
        raise RefusedError(Code.QUOTA_EXCEEDED, message, seconds)

    def _give_back(self, workspace: str, cost: int) -> None:
        with self._lock:
            now = self._clock.now()
            account = self._accounts.get(workspace)
            if account is None or not cost:
                return
            account.give_back(cost, self._entries, now)
        self._metrics.count("quota_returned_tokens_total", cost, workspace=workspace)

    def _count_entries(self) -> None:
        """Count the live entries, at most once every COUNT_SECONDS."""
        now = self._clock.now()
        if now - self._counted_at < COUNT_SECONDS:
            return
        self._counted_at = now
        self._entries = len({*self._list_entries(), self._entry})

    def describe(self) -> dict[str, dict[str, Any]]:
        """Return, by workspace, the quota and what was done in the last window, for operators."""
        with self._lock:
            now = self._clock.now()
            return {name: self._describe(item, now) for name, item in self._accounts.items()}

    def _describe(self, account: _Account, now: float) -> dict[str, Any]:
        account.accrue(self._entries, now)
        admitted, refused = account.counts.sum(now)
        return {
            "rate_per_s": account.quota.rate,
            "burst": account.quota.burst,
            "unit": account.quota.unit.value,
            "entries": self._entries,
            "available": round(account.pool.units),
            "window_seconds": WINDOW_SECONDS,
            # What was given back may have been admitted before the window.
            "admitted": max(0, admitted),
            "refused": refused,
        }
