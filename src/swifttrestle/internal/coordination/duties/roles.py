"""Planning of engines' roles by the holder of the duty lease, which records each order first."""

import asyncio
import contextlib
from collections.abc import Callable

from swifttrestle.errors import (
    LeaseLostError,
    NotFoundError,
    PlatformUnavailableError,
    UpstreamBrokenError,
)
from swifttrestle.internal.coordination.duties.duty_lease import DutyLeaseManager
from swifttrestle.internal.coordination.membership.gossip import Gossip
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.policy.ejection import Ejector
from swifttrestle.internal.policy.role_delay import RoleChangeDelay
from swifttrestle.internal.policy.role_split import RoleChange, plan_change
from swifttrestle.internal.state.declared import Configuration, EngineTraits, Role
from swifttrestle.internal.state.demand import Demand, DemandMeter
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.internal.transport.messages import Body, Framing
from swifttrestle.internal.transport.pool import ConnectionPool, call_once
from swifttrestle.internal.transport.upstream import OutgoingRequest
from swifttrestle.platform.engine import (
    ORDER_PATH,
    REPORT_PATH,
    EngineReport,
    RoleOrder,
    build_engine_headers,
    is_other_incarnation,
    read_report,
    write_order,
)

TICK_SECONDS = 0.5
# Share of a service's engines that may be ordered to change in one tick, at least one engine. A
# share, so that a large fleet follows a load swing as fast as a small one.
MAX_CHANGE_SHARE = 0.1
# Time for which a host whose calls for the lease failed is no candidate for it.
STORE_FAILURE_BACKOFF_SECONDS = 3.0
# Time between two reads of the lease by the standby.
STANDBY_READ_SECONDS = 5.0
# Timeout of one call to an engine.
CALL_TIMEOUT_SECONDS = 1.0
# Time after which an unanswered order cannot take effect any more. Engines may apply an order up to
# 12 s after it was sent.
UNANSWERED_SECONDS = 14.0
# Time beyond the declared duration of a role change before the engine may get another order.
CHANGE_GRACE_SECONDS = 3.0
# Time before an engine that refused an order may get another one.
REFUSED_SECONDS = 1.0
# Time for which an engine that did not answer counts as broken.
UNREACHABLE_SECONDS = 5.0
MAX_ANSWER_BYTES = 64 * 1024


class RoleDuty:
    """Plans roles and orders role changes while this host holds the duty lease."""

    def __init__(
        self,
        lease: DutyLeaseManager,
        fleet: Fleet,
        demand: DemandMeter,
        ejector: Ejector,
        pool: ConnectionPool,
        gossip: Gossip,
        find_configuration: Callable[[], Configuration | None],
        is_store_unreachable: Callable[[], bool],
        count_store_recoveries: Callable[[], int],
        is_settling: Callable[[str], bool] = lambda _: False,
        reaches_engines: Callable[[], bool] = lambda: True,
    ) -> None:
        """Set up; `gossip` knows the candidates for the lease.

        `is_settling` returns whether a service's engines are still starting or not yet all listed,
        `reaches_engines` whether this host can send orders to any of them.
        """
        self._reaches_engines = reaches_engines
        self._is_settling = is_settling
        self._is_store_unreachable = is_store_unreachable
        self._count_store_recoveries = count_store_recoveries
        self._lease = lease
        self._fleet = fleet
        self._demand = demand
        self._ejector = ejector
        self._pool = pool
        self._gossip = gossip
        self._candidates = gossip.candidates
        self._find_configuration = find_configuration
        # The ordered role of each engine and the time until which the order may be in progress.
        self._pending: dict[str, tuple[float, Role]] = {}
        # The time until which an unanswered order may still take effect, by the engine's id. A
        # later incarnation under the same id may receive it.
        self._unanswered: dict[str, float] = {}
        self._unreachable_until: dict[str, float] = {}
        self._next_standby_read = 0.0
        self._seen_recoveries = 0
        self._delay = RoleChangeDelay()

    async def run(self) -> None:
        """Plan roles periodically until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            try:
                await self._tick()
            except (PlatformUnavailableError, LeaseLostError) as error:
                # If this host still holds the lease, its next write succeeds.
                self.stand_down()
                log_event("role planning waits", reason=str(error))
                await asyncio.sleep(TICK_SECONDS)

    def stand_down(self) -> None:
        """Give the duties up and leave them to another host for a while."""
        self._candidates.holds_duty_lease = False
        self._gossip.mark_store_unreachable(STORE_FAILURE_BACKOFF_SECONDS)

    async def _tick(self) -> None:
        self._check_store_recoveries()
        configuration = self._find_configuration()
        if configuration is None:
            return
        if self._candidates.holds_duty_lease and self._is_store_unreachable():
            # Orders cannot be recorded, and this host's list of engines is outdated.
            raise PlatformUnavailableError("the store is unreachable; no roles are planned")
        if not self._reaches_engines():
            # Orders do not go through peers, and other hosts reach the engines.
            raise PlatformUnavailableError("this host reaches no engine; another one plans")
        may_reclaim = self._lease.may_reclaim() and not self._candidates.leaving
        if not may_reclaim and not self._candidates.is_candidate():
            await self._stand_by()
            return
        # The lease is held even when no order is needed: a takeover takes seconds, in which the
        # last decoding engine may leave or the store may become unreachable.
        held_before = self._candidates.holds_duty_lease
        self._candidates.holds_duty_lease = await self._lease.try_acquire()
        if not self._candidates.holds_duty_lease:
            return
        if not held_before:
            self._take_over_orders()
        for service in configuration.services.values():
            if service.engine is not None:
                await self._plan_service(service.name, service.engine)

    def _check_store_recoveries(self) -> None:
        """End this host's backoff as soon as the store is available again."""
        recoveries = self._count_store_recoveries()
        if recoveries != self._seen_recoveries:
            self._candidates.mark_store_reachable()
        self._seen_recoveries = recoveries

    async def _stand_by(self) -> None:
        """Read the lease periodically, so that its age is known when a takeover is due."""
        now = asyncio.get_running_loop().time()
        if now < self._next_standby_read or not self._candidates.is_next_candidate():
            return
        self._next_standby_read = now + STANDBY_READ_SECONDS
        with contextlib.suppress(NotFoundError):
            await self._lease.observe()

    async def _plan_service(self, service: str, traits: EngineTraits) -> None:
        """Order the planned role changes, as many in one tick as the number of engines allows.

        Without known load, no changes are ordered while the service is settling: its engines are
        about to be replaced.
        """
        now = asyncio.get_running_loop().time()
        if self._is_settling(service) and self._demand.total(service, now) == Demand():
            return
        engines = len(self._fleet.list_service(service))
        # Without load, all engines may change at once.
        is_idle = self._demand.total(service, now) == Demand()
        for _ in range(engines if is_idle else max(1, int(engines * MAX_CHANGE_SHARE))):
            change = self._plan(service)
            now = asyncio.get_running_loop().time()
            allowed = self._delay.allows(service, change, traits.role_change_seconds, now)
            if change is None or not allowed:
                return
            await self._order(change, traits)

    def _take_over_orders(self) -> None:
        """Treat each recorded order as pending unless its engine already has the role.

        The former holder may have sent it, and it may still take effect.
        """
        assert self._lease.lease is not None
        until = asyncio.get_running_loop().time() + UNANSWERED_SECONDS
        for order in self._lease.lease.orders:
            engine = self._fleet.instances.get(order.engine)
            if engine is None:
                continue
            self._pending.pop(order.engine, None)
            if engine.role.value != order.role:
                self._pending[order.engine] = (until, Role(order.role))

    def _plan(self, service: str) -> RoleChange | None:
        now = asyncio.get_running_loop().time()
        self._pending = {
            name: (until, role) for name, (until, role) in self._pending.items() if until > now
        }
        self._unanswered = {name: until for name, until in self._unanswered.items() if until > now}
        pending = {name: role for name, (_, role) in self._pending.items()}
        engines = self._fleet.list_service(service)
        for item in engines:
            # An unanswered order to an earlier incarnation may still reach this one, which refuses
            # it only if the two have accepted different numbers of orders.
            if self._unanswered.get(item.record.instance, 0.0) > now:
                pending.setdefault(item.name, item.role)
        broken = [
            item.name
            for item in engines
            if self._ejector.is_ejected(item.name, now)
            or self._unreachable_until.get(item.name, 0.0) > now
        ]
        return plan_change(engines, pending, self._demand.total(service, now), broken)

    async def _order(self, change: RoleChange, traits: EngineTraits) -> None:
        engine = change.engine
        report = await self._read_report(engine)
        if report is None:
            self._unreachable_until[engine.name] = (
                asyncio.get_running_loop().time() + UNREACHABLE_SECONDS
            )
            return
        if report.changing or report.role is change.role:
            return
        order, until = await self._lease.record(engine.name, change.role.value)
        now = asyncio.get_running_loop().time()
        lease = self._lease.lease
        assert lease is not None
        if now > until or engine.gone:
            reason = "engine is gone" if engine.gone else "lease last written too long ago"
            log_event("order not sent", number=order.number, reason=reason)
            return
        sent = RoleOrder(change.role, lease.holder, lease.token, report.orders_taken)
        status = await self._send(engine, sent)
        pending_seconds = traits.role_change_seconds + CHANGE_GRACE_SECONDS
        if status is None:
            pending_seconds = UNANSWERED_SECONDS
            self._unanswered[engine.record.instance] = now + pending_seconds
        if status in (200, 202):
            ready_at = now + traits.role_change_seconds
            self._gossip.note_order(engine.name, change.role, ready_at)
        elif status is not None:
            pending_seconds = REFUSED_SECONDS
        self._pending[engine.name] = (now + pending_seconds, change.role)
        log_event(
            "role ordered",
            number=order.number,
            engine=engine.name,
            role=change.role.value,
            token=sent.fence,
            orders_taken=sent.orders_taken,
            status=status,
            reason=change.reason,
        )

    async def _read_report(self, engine: Instance) -> EngineReport | None:
        headers = build_engine_headers(engine.record.instance)
        request = OutgoingRequest(b"GET", REPORT_PATH, headers, Framing.NONE, 0, None)
        answer = await self._call(engine, request)
        if answer is None or answer[0] != 200:
            return None
        try:
            report = read_report(answer[1])
        except UpstreamBrokenError as error:
            log_event("malformed report skipped", engine=engine.name, reason=str(error))
            return None
        if is_other_incarnation(report.born, engine.record.born):
            # The report's count of accepted orders is not that of the listed incarnation.
            log_event("report of another start", engine=engine.name, born=report.born)
            return None
        return report

    async def _send(self, engine: Instance, order: RoleOrder) -> int | None:
        content = write_order(order)
        body = Body.from_bytes(content)
        headers = [
            *build_engine_headers(engine.record.instance),
            (b"Content-Type", b"application/json"),
        ]
        request = OutgoingRequest(b"POST", ORDER_PATH, headers, Framing.LENGTH, len(content), body)
        answer = await self._call(engine, request)
        return answer[0] if answer else None

    async def _call(self, engine: Instance, request: OutgoingRequest) -> tuple[int, bytes] | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                head, content = await call_once(
                    self._pool, engine.name, engine.record.address, request, MAX_ANSWER_BYTES
                )
                return head.status, content
        except (UpstreamBrokenError, TimeoutError) as error:
            log_event("engine not reached", engine=engine.name, reason=repr(error))
            return None
