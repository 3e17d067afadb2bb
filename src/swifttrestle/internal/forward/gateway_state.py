"""The state that all request forwarders of a host share."""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import AsyncIterator, Callable, Collection
from dataclasses import dataclass, field

from swifttrestle.errors import (
    FailedByUpstreamError,
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
from swifttrestle.internal.forward.limit_reporter import LimitReporter
from swifttrestle.internal.forward.rate_limiter import NoRateLimits, RateLimiter
from swifttrestle.internal.forward.reachability import ReachabilityProber
from swifttrestle.internal.forward.stream_directory import LocalStreamDirectory, StreamDirectory
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.distance import Distance
from swifttrestle.internal.policy.ejection import (
    CONNECT_TIMEOUT_WEIGHT,
    REFUSED_CONNECTION_WEIGHT,
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

# Seconds for which an instance that refused a request is avoided. It gets requests in that time
# only where no other instance can take them.
REFUSAL_BACKOFF_SECONDS = 0.25
# Share of a service's instances that may be ejected at once.
MAX_EJECTED_SHARE = 0.5
# Seconds over which an instance ramps up after its ejection.
RAMP_UP_SECONDS = 2.0
# Seconds for which data that an instance sent before it stopped may still arrive. Some round trips,
# plus queueing on a slow link.
LATE_DATA_SECONDS = 0.25
# Maximum number of prompts that wait to be reported to peers; the oldest are dropped.
MAX_UNREPORTED_PROMPTS = 64


def _count_one() -> int:
    return 1


@dataclass
class RetryBudgets:
    """The retry budgets of all services.

    `hosts` is the number of live hosts, and `count_sharing` returns the number of those that may
    spend a part of the budget: a host that is not heard may serve on.
    """

    share: float
    extra: float
    window: float
    hosts: int = 1
    count_sharing: Callable[[], int] = _count_one
    _services: dict[str, WindowedRetryBudget] = field(default_factory=dict)

    def change(self, share: float, extra: float, window: float) -> None:
        """Apply new limits; keeps the counts if they are unchanged."""
        if (share, extra, window) != (self.share, self.extra, self.window):
            self.share, self.extra, self.window = share, extra, window
            self._services.clear()

    def find(self, service: str) -> WindowedRetryBudget:
        """Return the budget of a service."""
        budget = self._services.get(service)
        if budget is None:
            budget = WindowedRetryBudget(self.share, self.extra, self.window)
            self._services[service] = budget
        budget.hosts = max(self.hosts, self.count_sharing())
        return budget


class GatewayState:
    """The shared state of one host's request path; used only from the event loop."""

    def __init__(
        self, zone: str, fleet: Fleet, budgets: RetryBudgets, metrics: Metrics, rng: random.Random
    ) -> None:
        """Create the state for a host in `zone`."""
        self.zone = zone
        self.fleet = fleet
        self.pool = ConnectionPool()
        self.budgets = budgets
        self.metrics = metrics
        self.rng = rng
        self.demand = DemandMeter()
        # Prompts that have not been reported to peers yet.
        self.sent_prompts: deque[SentPrompt] = deque(maxlen=MAX_UNREPORTED_PROMPTS)
        self.ejector = Ejector(MAX_EJECTED_SHARE, RAMP_UP_SECONDS)
        self.guard = CrashGuard(self.pool, Quarantine(rng.random()), metrics)
        self.crash_detector = self.guard.detector
        self.guard.is_last = self._is_last
        self.prober = ReachabilityProber(self.pool)
        self.conditions = UpstreamConditionTable(fleet, metrics)
        # For orders to engines, which must arrive from the host that holds the lease: no peer
        # relays its connections.
        self.direct_pool = ConnectionPool()
        self.limit_reporter = LimitReporter(metrics)
        for pool in (self.pool, self.direct_pool):
            pool.on_answer = self.conditions.record_answer
            pool.on_unreached = self._count_unreached
            pool.on_limit = self.limit_reporter.report
        self.permits: RateLimiter = NoRateLimits()
        self.streams: StreamDirectory = LocalStreamDirectory(fleet)
        fleet.on_replaced = self._end_incarnation
        fleet.on_removed = self.crash_detector.note_unlisted

    @contextlib.asynccontextmanager
    async def attempt(
        self, ctx: Context, instance: Instance, *, is_final_answer: bool = True
    ) -> AsyncIterator[None]:
        """Guard one request that is sent to an upstream, prefill included, and count it.

        Raises RefusedError for a quarantined request, and UpstreamHeldError where the upstream
        accepts no requests at the moment. `is_final_answer` is whether an attempt that ends
        without an error answers the request.
        """
        async with self.guard.attempt(ctx, instance, is_final_answer=is_final_answer):
            await self.permits.use(ctx, instance)
            self.conditions.note_sent(instance)
            self.metrics.count(
                "gateway_requests_by_distance_total", distance=self.measure(instance).value
            )
            with ctx.record_call():
                yield

    def measure(self, instance: Instance) -> Distance:
        """Return the distance from this host to an instance."""
        return self.fleet.topology.measure(self.zone, instance.record.zone)

    def list_usable(
        self, service: str, now: float, urgent: bool = False, build: str | None = None
    ) -> list[Instance]:
        """Return a service's instances that accept requests and are not ejected.

        With `build`, only those of that software version. If all that accept requests are ejected,
        returns these instead.
        """
        accepting = self.list_accepting(service, now, urgent, build)
        usable = [item for item in accepting if not self.ejector.is_ejected(item.name, now)]
        return usable or accepting

    def list_accepting(
        self, service: str, now: float, urgent: bool = False, build: str | None = None
    ) -> list[Instance]:
        """Return a service's instances that accept requests, ejected ones included.

        With `build`, only those of that software version.
        """
        return [
            item
            for item in self.fleet.list_service(service)
            if item.may_continue(build) and not self.conditions.find_wait_seconds(item, now, urgent)
        ]

    def reserve_takeover(
        self,
        ctx: Context,
        silent: Instance,
        has_other: Callable[[list[Instance], Collection[str]], bool],
    ) -> bool:
        """Return whether another instance takes over from a silent one, and reserve its retry.

        `has_other` returns whether one of the usable instances, without those of the given names,
        can take the request.
        """
        now = asyncio.get_running_loop().time()
        excluded = ctx.excluded | {silent.name}
        usable = self.list_usable(ctx.service.name, now, ctx.urgent)
        others = [item for item in usable if has_other([item], excluded)]
        # One that its rate limit holds cannot take over.
        if not self.permits.ask_ahead(ctx, others):
            return False
        return ctx.reserve_retry(self.budgets.find(ctx.service.name))

    def _count_unreached(self, instance: str, error: UpstreamUnreachedError) -> None:
        result = "refused" if error.refused else "timeout"
        self.metrics.count("upstream_connects_failed_total", instance=instance, result=result)

    def _is_last(self, instance: Instance, crashed: Collection[str]) -> bool:
        """Return whether no other instance could take over for this one.

        Instances in `crashed` count as unavailable.
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
        """Return the seconds until instances of all these roles accept requests; 0 if they do."""
        listed = self.fleet.list_service(service)
        return max(
            self.conditions.find_shortest_wait(
                [item for item in listed if item.role is role], now, urgent
            )
            for role in roles
        )

    def note_prompt(
        self, engine: Instance, parts: tuple[PromptPart, ...], read: bool = False
    ) -> None:
        """Record that an engine caches a prompt's parts, and report it to peers."""
        if parts:
            prompt = SentPrompt(engine.name, parts, read)
            self.fleet.note_prompt(prompt)
            self.sent_prompts.append(prompt)

    def note_refusal(self, instance: Instance, now: float) -> None:
        """Avoid an instance for REFUSAL_BACKOFF_SECONDS after a refusal."""
        instance.refused_until = now + REFUSAL_BACKOFF_SECONDS

    def remove_replaced(self, instance: Instance) -> None:
        """Remove an instance that another one has replaced at its address."""
        if instance.leaving:
            # Already known to drain; its open requests continue.
            return
        if self.fleet.instances.get(instance.name) is instance:
            self.fleet.remove(instance.record.instance)
        for pool in (self.pool, self.direct_pool):
            pool.close_idle_connections(instance.name)
        log_event("instance replaced", instance=instance.name, source="its address")

    def _end_incarnation(self, former: Instance) -> None:
        """End the open requests of an instance that was restarted.

        After a power loss no connection is closed, so they would wait for their deadlines.
        """
        log_event("instance started anew", former=former.name)
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_DATA_SECONDS, self._close_connections, former)

    def _close_connections(self, former: Instance) -> None:
        for pool in (self.pool, self.direct_pool):
            pool.abort_all(former.name)
        # The requests notice their lost connections only in later iterations of the loop.
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_DATA_SECONDS, self.crash_detector.note_replaced, former)

    def note_failed_use(self, ctx: Context, engine: Instance, error: UpstreamError) -> Outcome:
        """Record an engine's failure; return it as the outcome of its booking."""
        now = asyncio.get_running_loop().time()
        match error:
            case UpstreamLeavingError():
                self.remove_replaced(engine)
                return Outcome.GONE
            case UpstreamBusyError():
                self.note_refusal(engine, now)
                return Outcome.REFUSED
            case FailedByUpstreamError():
                # The engine is sound; it is this run that failed.
                return Outcome.BROKEN
        self.note_broken(ctx, engine, now, error)
        return Outcome.CANCELLED if ctx.request.body.broken else Outcome.BROKEN

    def note_broken(
        self, ctx: Context, instance: Instance, now: float, error: UpstreamError
    ) -> None:
        """Record a failure, which may eject the instance.

        Ignores failures of requests that the caller itself broke off.
        """
        if ctx.request.body.broken:
            return
        match error:
            case UpstreamSilentError():
                self.crash_detector.note_timeout(instance, ctx.describe_open())
            case UpstreamError(sent=True):
                self.crash_detector.note_broken(instance, ctx.describe_open())
        self.note_failure(instance, now, str(error), get_failure_weight(error))

    def note_failure(self, instance: Instance, now: float, reason: str, weight: int = 1) -> None:
        """Record a failure of an instance, which may eject it."""
        group = [item.name for item in self.fleet.list_service(instance.record.service)]
        if self.ejector.note_failure(instance.name, group, now, weight):
            log_event("instance left out", instance=instance.name, reason=reason)


def get_failure_weight(error: UpstreamError) -> int:
    """Return the number of failures that an error counts for in ejection."""
    if not isinstance(error, UpstreamUnreachedError):
        return 1
    return CONNECT_TIMEOUT_WEIGHT if error.may_be_path else REFUSED_CONNECTION_WEIGHT
