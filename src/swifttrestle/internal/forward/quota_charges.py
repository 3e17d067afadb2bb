"""Charges callers' requests to the quotas of their workspaces."""

import contextlib
import dataclasses
import math
from collections.abc import AsyncIterator, Callable

from swifttrestle.codes import Code
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.quotas import Admission, QuotaCharge, QuotaGate
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.state.declared import Quota, QuotaTolerance, Workspace
from swifttrestle.internal.state.routes import RouteTable

# Highest charge. It exceeds what any quota allows, so that higher costs need not be told apart.
MAX_COST = 2**60
# Highest Retry-After, in seconds: a day. It is also that of a request that can never fit, as a
# later configuration may have another quota.
MAX_RETRY_AFTER_SECONDS = 86_400.0
# The metric label of decisions on requests that can never fit; those of the limiter have others.
IMPOSSIBLE = "impossible"


class QuotaCharger:
    """Charges each request once, and gives the charge back if no upstream can have run it."""

    def __init__(
        self,
        gate: QuotaGate,
        host: str,
        find_tolerance: Callable[[], QuotaTolerance],
        metrics: Metrics,
    ) -> None:
        """Charge by `gate`; `host` is this host, `find_tolerance` returns what is in force."""
        self._metrics = metrics
        self._gate = gate
        self._host = host
        self._find_tolerance = find_tolerance

    @contextlib.asynccontextmanager
    async def charge(self, ctx: Context, table: RouteTable) -> AsyncIterator[None]:
        """Charge a request before it is served in this context.

        Raises RefusedError if it does not fit the quota of its workspace.
        """
        workspace = ctx.workspace
        quota = table.find_quota(workspace.name) if workspace is not None else None
        if workspace is None or quota is None:
            yield
            return
        cost = find_cost(ctx, quota)
        admission = self._refuse_impossible(workspace, cost, quota)
        if admission is None:
            admission = await self._gate.admit(workspace, cost)
        charge = QuotaCharge(workspace.name, cost, admission.decided_by, admission.missing)
        ctx.quota_charge = charge
        if not admission.is_granted:
            reason = f"over the workspace's quota by {admission.missing} {quota.unit.value}"
            raise ctx.refuse(Code.QUOTA_EXCEEDED, reason, round_retry_after(admission.seconds))
        try:
            yield
        finally:
            if not ctx.calls_sent:
                self._gate.give_back(workspace, admission)
                ctx.quota_charge = dataclasses.replace(charge, given_back=True)

    def _refuse_impossible(self, workspace: Workspace, cost: int, quota: Quota) -> Admission | None:
        """Return the refusal of a request that the quota allows at no time, None for others.

        Admitted, it would use up the quota of its workspace for a long time.
        """
        limit = self._find_tolerance().find_limit(quota)
        if cost <= limit:
            return None
        self._metrics.count("quota_refused_total", workspace=workspace.name)
        self._metrics.count("quota_decisions_total", by=IMPOSSIBLE)
        return Admission(MAX_RETRY_AFTER_SECONDS, math.ceil(cost - limit), self._host)


def find_cost(ctx: Context, quota: Quota) -> int:
    """Return the units that a request costs."""
    metadata = ctx.request_metadata
    return min(MAX_COST, quota.find_cost(metadata.prompt_tokens + metadata.output_tokens))


def round_retry_after(seconds: float) -> float:
    """Return a Retry-After in whole milliseconds, rounded up so that no caller is early."""
    return math.ceil(min(seconds, MAX_RETRY_AFTER_SECONDS) * 1000) / 1000
