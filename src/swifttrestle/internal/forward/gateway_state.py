"""What the forwarders share: the fleet, the connections, the budget and the ejector."""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import AsyncIterator, Collection
from dataclasses import dataclass, field

from swifttrestle.errors import (
    UpstreamBusyError,
    UpstreamError,
    UpstreamLeavingError,
    UpstreamSilentError,
    UpstreamUnreachedError,
)
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.conditions import UpstreamConditionTable
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.crash_guard import CrashGuard
from swifttrestle.internal.forward.rate_limiter import NoLimits, PermitSource
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.ejection import (
    REFUSED_CONNECTION_WEIGHT,
    SILENT_CONNECTION_WEIGHT,
    Ejector,
)
from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.policy.retry_window import WindowedRetryBudget
from swifttrestle.internal.state.bookings import Outcome
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.demand import DemandMeter
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.internal.state.prompt_cache import PromptPart, SentPrompt
from swifttrestle.internal.transport.pool import ConnectionPool

# Seconds for which an instance that refused gets no more work where others can take it.
REFUSED_SECONDS = 0.25
# Share of a service's instances that may be left out as broken at once.
EJECTION_CAP = 0.5
# Seconds over which a broken instance comes back to its full share.
RETURN_SECONDS = 2.0
# Seconds for which what a start sent before its end may still arrive: some round trips, and what
# waits on a thin link.
LAST_BYTES_SECONDS = 0.25
# Prompts that may wait to be told of; older ones are of no use to peers any more.
MOST_UNTOLD_PROMPTS = 64


@dataclass
class RetryBudgets:
    """One budget for each service."""

    share: float
    extra: float
    window: float
    hosts: int = 1
    _services: dict[str, WindowedRetryBudget] = field(default_factory=dict)

    def change(self, share: float, extra: float, window: float) -> None:
        """Put other bounds in force; what was counted under the same ones stays."""
        if (share, extra, window) != (self.share, self.extra, self.window):
            self.share, self.extra, self.window = share, extra, window
            self._services.clear()

    def find(self, service: str) -> WindowedRetryBudget:
        """Return a service's budget."""
        budget = self._services.get(service)
        if budget is None:
            budget = WindowedRetryBudget(self.share, self.extra, self.window)
            self._services[service] = budget
        budget.hosts = self.hosts
        return budget


class GatewayState:
    """The shared state of one host's request path; used from the event loop alone."""

    def __init__(
        self, zone: str, fleet: Fleet, budgets: RetryBudgets, metrics: Metrics, rng: random.Random
    ) -> None:
        """Put the parts together."""
        self.zone = zone
        self.fleet = fleet
        self.pool = ConnectionPool()
        self.budgets = budgets
        self.metrics = metrics
        self.rng = rng
        self.demand = DemandMeter()
        # Prompts that peers have not been told of yet.
        self.sent_prompts: deque[SentPrompt] = deque(maxlen=MOST_UNTOLD_PROMPTS)
        self.ejector = Ejector(EJECTION_CAP, RETURN_SECONDS)
        self.guard = CrashGuard(self.pool, Quarantine(rng.random()), metrics)
        self.crashes = self.guard.watch
        self.guard.is_last = self._is_last
        self.conditions = UpstreamConditionTable(fleet, metrics)
        self.pool.on_answer = self.conditions.record_answer
        self.permits: PermitSource = NoLimits()
        fleet.on_replaced = self._end_start
        fleet.on_removed = self.crashes.note_withdrawn

    @contextlib.asynccontextmanager
    async def attempt(
        self, ctx: Context, instance: Instance, *, acquits: bool = True
    ) -> AsyncIterator[None]:
        """Send a request to an upstream, for a prompt's reading too; all go through here.

        Raises RefusedError where the request is kept from upstreams, and UpstreamHeldError where
        this one takes nothing now. Where it `acquits`, its end without an error means that the
        request got its own answer.
        """
        async with self.guard.attempt(ctx, instance, acquits=acquits):
            await self.permits.use(ctx, instance)
            self.conditions.note_sent(instance)
            yield

    def list_usable(self, service: str, now: float, urgent: bool = False) -> list[Instance]:
        """Return a service's instances that are neither leaving nor left out as broken.

        Where all are left out as broken they are tried all the same; those that take nothing now by
        their own word are not.
        """
        listed = [
            item
            for item in self.fleet.list_service(service)
            if not self.conditions.find_wait_seconds(item, now, urgent)
        ]
        usable = [item for item in listed if not self.ejector.is_ejected(item.name, now)]
        return usable or listed

    def _is_last(self, instance: Instance, crashed: Collection[str]) -> bool:
        """Return whether no other instance could take this one's work now.

        Starts that have `crashed` could not, though this host may not have found that out itself.
        """
        now = asyncio.get_running_loop().time()
        listed = self.fleet.list_service(instance.record.service)
        return not any(
            item is not instance
            and item.name not in crashed
            and item.role is instance.role
            and now >= item.role_changing_until
            and not self.ejector.is_ejected(item.name, now)
            for item in listed
        )

    def find_wait_seconds(
        self, service: str, now: float, roles: Collection[Role], urgent: bool
    ) -> float:
        """Return the seconds until an instance of each role takes a request; 0 where some do."""
        listed = self.fleet.list_service(service)
        return max(
            self.conditions.find_shortest_hold(
                [item for item in listed if item.role is role], now, urgent
            )
            for role in roles
        )

    def note_prompt(
        self, engine: Instance, parts: tuple[PromptPart, ...], read: bool = False
    ) -> None:
        """Take an engine as keeping a prompt's parts, and have peers told of it."""
        if parts:
            prompt = SentPrompt(engine.name, parts, read)
            self.fleet.note_prompt(prompt)
            self.sent_prompts.append(prompt)

    def note_refusal(self, instance: Instance, now: float) -> None:
        """Leave an instance alone for a moment."""
        instance.refused_until = now + REFUSED_SECONDS

    def note_gone(self, instance: Instance) -> None:
        """Drop an instance that another one has replaced at its address."""
        if instance.leaving:
            # The list says so already; what is open there goes on.
            return
        if self.fleet.instances.get(instance.name) is instance:
            self.fleet.remove(instance.record.instance)
        self.pool.forget(instance.name)
        log_event("instance replaced", instance=instance.name, source="its address")

    def _end_start(self, former: Instance) -> None:
        """End what is open at a start that a later one has replaced.

        A host that lost power says nothing: without this a request there waits for its deadline.
        """
        log_event("instance started anew", former=former.name)
        loop = asyncio.get_running_loop()
        loop.call_later(LAST_BYTES_SECONDS, self._break_off, former)

    def _break_off(self, former: Instance) -> None:
        self.pool.abort_all(former.name)
        # The requests that this breaks off notice it in the loop's next turns.
        loop = asyncio.get_running_loop()
        loop.call_later(LAST_BYTES_SECONDS, self.crashes.note_replaced, former)

    def note_failed_use(self, ctx: Context, engine: Instance, error: UpstreamError) -> Outcome:
        """Remember an engine's failure; return it as an outcome of its use."""
        now = asyncio.get_running_loop().time()
        match error:
            case UpstreamLeavingError():
                self.note_gone(engine)
                return Outcome.GONE
            case UpstreamBusyError():
                self.note_refusal(engine, now)
                return Outcome.REFUSED
        self.note_broken(ctx, engine, now, error)
        return Outcome.CANCELLED if ctx.request.body.broken else Outcome.BROKEN

    def note_broken(
        self, ctx: Context, instance: Instance, now: float, error: UpstreamError
    ) -> None:
        """Count a failure; the instance may be left out from now on.

        Where the caller broke its own request off, the instance is not to blame.
        """
        if ctx.request.body.broken:
            return
        match error:
            case UpstreamSilentError():
                self.crashes.note_silent(instance, ctx.name)
            case UpstreamError(sent=True):
                self.crashes.note_broken(instance, ctx.name)
        self.note_failure(instance, now, str(error), weigh_failure(error))

    def note_failure(self, instance: Instance, now: float, reason: str, weight: int = 1) -> None:
        """Count a failure of an instance; it may be left out from now on."""
        group = [item.name for item in self.fleet.list_service(instance.record.service)]
        if self.ejector.note_failure(instance.name, group, now, weight):
            log_event("instance left out", instance=instance.name, reason=reason)


def weigh_failure(error: UpstreamError) -> int:
    """Return how much a failure speaks for an upstream's being down."""
    if not isinstance(error, UpstreamUnreachedError):
        return 1
    return REFUSED_CONNECTION_WEIGHT if error.refused else SILENT_CONNECTION_WEIGHT
