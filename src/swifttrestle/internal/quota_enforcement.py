"""Connects the quotas of the configuration in force with the limiter and the request handler."""

import random
from collections.abc import Callable, Sequence

from swifttrestle.internal.coordination.quotas.limiter import QuotaLimiter
from swifttrestle.internal.forward.quota_charges import QuotaCharger
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quotas import QuotaTerms, find_terms
from swifttrestle.internal.state.declared import QuotaTolerance
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.routes import RouteTable
from swifttrestle.internal.transport.datagrams import PeerSocket


class QuotaEnforcement:
    """The quotas of one host: who charges requests, and by which terms."""

    def __init__(
        self,
        tolerance: QuotaTolerance,
        host: str,
        socket: PeerSocket,
        list_members: Callable[[], Sequence[Member]],
        reaches_store: Callable[[], bool],
        find_table: Callable[[], RouteTable | None],
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        """Create the limiter of `host`, one of those that `list_members` returns.

        `find_table` returns the route table in force, `reaches_store` whether the store answers
        this host.
        """
        self._tolerance = tolerance
        self._find_table = find_table
        # The terms that were looked up in one table.
        self._table: RouteTable | None = None
        self._terms: dict[str, QuotaTerms] = {}
        self.limiter = QuotaLimiter(
            socket, host, list_members, reaches_store, self.find_terms, rng, metrics
        )
        self.charger = QuotaCharger(self.limiter, host, lambda: self._tolerance, metrics)

    def find_terms(self, workspace: str) -> QuotaTerms | None:
        """Return how the quota in force of a workspace is applied; None if it has none.

        The result is kept for each table, as each request needs it several times.
        """
        table = self._find_table()
        if table is not self._table:
            self._table = table
            self._terms.clear()
        if table is None:
            return None
        terms = self._terms.get(workspace)
        if terms is None and (quota := table.find_quota(workspace)) is not None:
            terms = self._terms[workspace] = find_terms(quota, self._tolerance)
        return terms

    def change_tolerance(self, tolerance: QuotaTolerance) -> None:
        """Apply another tolerance."""
        self._tolerance = tolerance
        self._terms.clear()
