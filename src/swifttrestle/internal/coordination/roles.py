"""The duty of planning engines' roles: one gateway at a time, by leased and recorded orders."""

import asyncio
import contextlib
from collections.abc import Callable

from swifttrestle.errors import (
    LeaseLostError,
    NotFoundError,
    PlatformUnavailableError,
    UpstreamBrokenError,
)
from swifttrestle.internal.coordination.duty_lease import DutyLeaseManager
from swifttrestle.internal.coordination.gossip import Gossip
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

# Seconds between two looks at the roles.
TICK_SECONDS = 0.5
# Share of a service's engines that may be ordered in one look, at least one: a large fleet
# follows a swing as fast as a small one does.
TICK_SHARE = 0.1
# Seconds for which a host whose calls on the lease failed leaves the planning to others.
STORE_LOST_SECONDS = 3.0
# Seconds between two looks at the lease by the host that is next in line.
STAND_BY_SECONDS = 5.0
# Seconds for one call to an engine.
CALL_SECONDS = 1.0
# Seconds after which an order without an answer cannot be carried out any more; engines may
# do so until twelve seconds after it.
UNANSWERED_SECONDS = 14.0
# Seconds beyond the declared time of a role change before the engine may be ordered again.
SETTLE_SECONDS = 3.0
# Seconds before an engine that refused an order is looked at again.
REFUSED_SECONDS = 1.0
# Seconds for which an engine that could not be asked counts as broken.
UNREACHED_SECONDS = 5.0
# Bytes that an engine's answer to a call of the system may have.
SMALL_ANSWER_BYTES = 64 * 1024


class RoleDuty:
    """Plans and orders while this host is the first of those that live."""

    def __init__(
        self,
        lease: DutyLeaseManager,
        fleet: Fleet,
        demand: DemandMeter,
        ejector: Ejector,
        pool: ConnectionPool,
        gossip: Gossip,
        find_configuration: Callable[[], Configuration | None],
        is_store_away: Callable[[], bool],
        count_store_returns: Callable[[], int],
        is_settling: Callable[[str], bool] = lambda _: False,
    ) -> None:
        """Prepare; the gossip tells which host is to plan.

        While a service `is_settling`, most of its engines are still to come or to go.
        """
        self._is_settling = is_settling
        self._is_store_away = is_store_away
        self._count_store_returns = count_store_returns
        self._lease = lease
        self._fleet = fleet
        self._demand = demand
        self._ejector = ejector
        self._pool = pool
        self._gossip = gossip
        self._candidates = gossip.candidates
        self._find_configuration = find_configuration
        self._unsettled: dict[str, tuple[float, Role]] = {}
        # Until when an order that was not answered may still be carried out, by the id of its
        # engine: a start that follows under the same id may be met by it.
        self._unanswered: dict[str, float] = {}
        self._unreached: dict[str, float] = {}
        self._look_at = 0.0
        self._seen_returns = 0
        self._delay = RoleChangeDelay()

    async def run(self) -> None:
        """Look at the roles for as long as the process lives."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            try:
                await self._tick()
            except (PlatformUnavailableError, LeaseLostError) as error:
                # Should the lease still be this host's, the next write on it will show that.
                self._candidates.holds_duty_lease = False
                self._gossip.mark_store_unreachable(STORE_LOST_SECONDS)
                log_event("role planning waits", reason=str(error))
                await asyncio.sleep(TICK_SECONDS)

    async def _tick(self) -> None:
        self._note_store()
        configuration = self._find_configuration()
        if configuration is None:
            return
        if self._candidates.holds_duty_lease and self._is_store_away():
            # Orders could not be written down, and the list here is an old one.
            raise PlatformUnavailableError("the store is away")
        reclaims = self._lease.reclaims() and not self._candidates.leaving
        if not reclaims and not self._candidates.is_candidate():
            await self._stand_by()
            return
        # The lease is held before it is needed: a takeover waits for seconds, in which the
        # last decoding engine may leave and the store may go away.
        before = self._candidates.holds_duty_lease
        self._candidates.holds_duty_lease = await self._lease.campaign()
        if not self._candidates.holds_duty_lease:
            return
        if not before:
            self._take_over_orders()
        for service in configuration.services.values():
            if service.engine is not None:
                await self._plan_service(service.name, service.engine)

    def _note_store(self) -> None:
        """Plan again as soon as the store is back, and not when the pause is over."""
        returns = self._count_store_returns()
        if returns != self._seen_returns:
            self._candidates.note_store_back()
        self._seen_returns = returns

    async def _stand_by(self) -> None:
        """Look at the lease from time to time, so that a takeover need not wait it out."""
        now = asyncio.get_running_loop().time()
        if now < self._look_at or not self._candidates.is_next_candidate():
            return
        self._look_at = now + STAND_BY_SECONDS
        with contextlib.suppress(NotFoundError):
            await self._lease.observe()

    async def _plan_service(self, service: str, traits: EngineTraits) -> None:
        """Order what the plan wants: more at once where there are many engines.

        Before any load is known, a service that settles is left alone: orders would go to engines
        that leave, and for others than those which come.
        """
        now = asyncio.get_running_loop().time()
        if self._is_settling(service) and self._demand.total(service, now) == Demand():
            return
        engines = len(self._fleet.list_service(service))
        # Without load no request misses the engines that are away.
        idle = self._demand.total(service, now) == Demand()
        for _ in range(engines if idle else max(1, int(engines * TICK_SHARE))):
            change = self._plan(service)
            now = asyncio.get_running_loop().time()
            allowed = self._delay.allows(service, change, traits.role_change_seconds, now)
            if change is None or not allowed:
                return
            await self._order(change, traits)

    def _take_over_orders(self) -> None:
        """Count the last order of each engine as open where its role does not show it.

        A former holder wrote it down and may have sent it; it may still be carried out.
        """
        assert self._lease.lease is not None
        until = asyncio.get_running_loop().time() + UNANSWERED_SECONDS
        for order in self._lease.lease.orders:
            engine = self._fleet.instances.get(order.engine)
            if engine is None:
                continue
            self._unsettled.pop(order.engine, None)
            if engine.role.value != order.role:
                self._unsettled[order.engine] = (until, Role(order.role))

    def _plan(self, service: str) -> RoleChange | None:
        now = asyncio.get_running_loop().time()
        self._unsettled = {
            name: (until, role) for name, (until, role) in self._unsettled.items() if until > now
        }
        self._unanswered = {name: until for name, until in self._unanswered.items() if until > now}
        pending = {name: role for name, (_, role) in self._unsettled.items()}
        engines = self._fleet.list_service(service)
        for item in engines:
            # An order that its former start left unanswered may still come to this one, and is
            # refused there only where the counts of orders differ.
            if self._unanswered.get(item.record.instance, 0.0) > now:
                pending.setdefault(item.name, item.role)
        broken = [
            item.name
            for item in engines
            if self._ejector.is_ejected(item.name, now) or self._unreached.get(item.name, 0.0) > now
        ]
        return plan_change(engines, pending, self._demand.total(service, now), broken)

    async def _order(self, change: RoleChange, traits: EngineTraits) -> None:
        engine = change.engine
        report = await self._ask(engine)
        if report is None:
            self._unreached[engine.name] = asyncio.get_running_loop().time() + UNREACHED_SECONDS
            return
        if report.changing or report.role is change.role:
            return
        order, until = await self._lease.record(engine.name, change.role.value)
        now = asyncio.get_running_loop().time()
        held = self._lease.lease
        assert held is not None
        if now > until or engine.gone:
            reason = "its engine is gone" if engine.gone else "its time was over"
            log_event("order not sent", number=order.number, reason=reason)
            return
        sent = RoleOrder(change.role, held.holder, held.token, report.orders_taken)
        status = await self._send(engine, sent)
        settle = traits.role_change_seconds + SETTLE_SECONDS
        if status is None:
            settle = UNANSWERED_SECONDS
            self._unanswered[engine.record.instance] = now + settle
        if status in (200, 202):
            ready_at = now + traits.role_change_seconds
            self._gossip.note_order(engine.name, change.role, ready_at)
        elif status is not None:
            settle = REFUSED_SECONDS
        self._unsettled[engine.name] = (now + settle, change.role)
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

    async def _ask(self, engine: Instance) -> EngineReport | None:
        headers = build_engine_headers(engine.record.instance)
        request = OutgoingRequest(b"GET", REPORT_PATH, headers, Framing.NONE, 0, None)
        answer = await self._call(engine, request)
        if answer is None or answer[0] != 200:
            return None
        try:
            report = read_report(answer[1])
        except UpstreamBrokenError as error:
            log_event("report skipped", engine=engine.name, reason=str(error))
            return None
        if is_other_incarnation(report.born, engine.record.born):
            # Its count of orders is not that of the start which the order would be meant for.
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
            async with asyncio.timeout(CALL_SECONDS):
                head, content = await call_once(
                    self._pool, engine.name, engine.record.address, request, SMALL_ANSWER_BYTES
                )
                return head.status, content
        except (UpstreamBrokenError, TimeoutError) as error:
            log_event("engine not reached", engine=engine.name, reason=repr(error))
            return None
