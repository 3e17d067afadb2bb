"""Scaling of services by the holder of the duty lease: each order is recorded before it is sent."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from swifttrestle.errors import LeaseLostError
from swifttrestle.internal.checks import MAX_NEED
from swifttrestle.internal.coordination.duties.duty_lease import DutyLeaseManager
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.capacity import (
    PeakNeed,
    ZonePlan,
    ZoneUpstreams,
    choose_capacity_policy,
    count_after_zone_loss,
    estimate_need,
)
from swifttrestle.internal.state.declared import Configuration, Scaling
from swifttrestle.internal.state.demand import DemandMeter
from swifttrestle.internal.state.duties import DutyLease, RecordedCapacity
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.platform.duties import CallOutcome, DutyApiClient, LeaseCredentials

PLAN_INTERVAL_SECONDS = 0.5
# Time beyond a service's declared boot time after which an order without effect is retried.
BOOT_GRACE_SECONDS = 3.0
# Share of the planned reclaimable upstreams that must run before roles are planned. Zones may
# lack capacity for the others, and load may arrive meanwhile.
SETTLED_SHARE = 0.8
# Time beyond the declared boot time within which most new upstreams are listed.
LISTING_DELAY_SECONDS = 1.2
# Time for which the number of listed upstreams must not grow before the list counts as complete.
# Until then no upstream is released, since a plan based on part of the list would release too many.
# About one and a half heartbeats.
STABLE_LIST_SECONDS = 2.0
# Time before an order that was refused or not answered is retried.
RETRY_SECONDS = 2.0
# Time for which a zone counts as out of capacity after the platform reported so.
OUT_OF_CAPACITY_SECONDS = 5.0

# Service, zone, and whether the upstreams are reclaimable.
OrderKey = tuple[str, str, bool]


@dataclass
class SentOrder:
    """The last order for a service, zone and kind; `sent_at` is in seconds of the loop's clock."""

    count: int
    sent_at: float
    outcome: CallOutcome


class CapacityDuty:
    """Plans and orders upstreams while this host holds the duty lease."""

    def __init__(
        self,
        lease: DutyLeaseManager,
        api_client: DutyApiClient | None,
        fleet: Fleet,
        demand: DemandMeter,
        find_configuration: Callable[[], Configuration | None],
        holds_lease: Callable[[], bool],
        is_store_unreachable: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        """Set up; nothing is ordered if `api_client` is None."""
        self._lease = lease
        self._api_client = api_client
        self._fleet = fleet
        self._demand = demand
        self._find_configuration = find_configuration
        self._holds_lease = holds_lease
        self._is_store_unreachable = is_store_unreachable
        self._metrics = metrics
        self._needs: dict[str, PeakNeed] = {}
        self._sent: dict[OrderKey, SentOrder] = {}
        self._out_of_capacity_until: dict[tuple[str, str], float] = {}
        # Services for which the platform counts non-reclaimable upstreams against the limit of
        # reclaimable ones.
        self._shared_limits: set[str] = set()
        # The highest number of listed upstreams before a service's first plan, and since when.
        self._listed: dict[str, tuple[int, float]] = {}
        # When the upstreams ordered last are expected to be listed, by service.
        self._settled_at: dict[str, float] = {}
        # The last plan and need of each service, shown to operators.
        self.plans: dict[str, tuple[ZonePlan, ...]] = {}
        self.needs: dict[str, int] = {}

    async def run(self) -> None:
        """Plan and order periodically until cancelled; return at once without a client."""
        if self._api_client is None:
            return
        while True:
            await asyncio.sleep(PLAN_INTERVAL_SECONDS)
            configuration = self._find_configuration()
            if configuration is None or self._lease.lease is None or not self._holds_lease():
                # Another holder may have sent later orders, so this state is outdated.
                self._sent.clear()
                self._needs.clear()
                self._listed.clear()
                self.plans.clear()
                continue
            if self._is_store_unreachable():
                continue
            try:
                await self._scale_services(configuration, self._api_client)
            except LeaseLostError as error:
                log_event("orders of upstreams wait", reason=str(error))

    async def _scale_services(
        self, configuration: Configuration, api_client: DutyApiClient
    ) -> None:
        for service in configuration.services.values():
            if service.scaling is not None:
                await self._scale_service(service.name, service.scaling, api_client)

    async def _scale_service(
        self, service: str, scaling: Scaling, api_client: DutyApiClient
    ) -> None:
        instances = self._fleet.list_service(service)
        zones = self._list_zones(service, instances)
        if not zones:
            return
        now = _now()
        need = self._find_need(service, instances, zones, now)
        plans = choose_capacity_policy(scaling, len(zones)).plan(scaling, zones, need)
        self._store_plans(service, plans, need)
        self._count_cost(service, scaling, zones)
        current_by_zone = {item.zone: item for item in zones}
        for plan in plans:
            current = current_by_zone[plan.zone]
            await self._order(
                service, plan.zone, True, plan.reclaimable, current.reclaimable, scaling, api_client
            )
            # While the list still grows, no non-reclaimable upstream is released.
            if service in self._needs:
                await self._order(
                    service, plan.zone, False, plan.lasting, current.lasting, scaling, api_client
                )

    def _find_need(
        self, service: str, instances: list[Instance], zones: list[ZoneUpstreams], now: float
    ) -> int:
        """Return the number of upstreams to plan for; store it once the list is complete."""
        peak = self._needs.get(service)
        if peak is None:
            initial_need, is_complete = self._find_initial_need(service, zones, now)
            if not is_complete:
                return initial_need
            peak = self._needs[service] = PeakNeed()
            peak.note(initial_need, now)
        return peak.note(estimate_need(instances, self._demand.total(service, now)), now)

    def _find_initial_need(
        self, service: str, zones: list[ZoneUpstreams], now: float
    ) -> tuple[int, bool]:
        """Return the initial need, and whether it is based on a complete list.

        A need that a former holder recorded takes precedence. Otherwise the need is the number of
        running upstreams, which operators chose, and the list is complete once that number has
        stopped growing. If orders are recorded, reclaimable upstreams are not counted, since they
        may be new or reclaimed.
        """
        ordered = [item for item in self._require_lease().capacity if item.service == service]
        need = min(MAX_NEED, max((item.need for item in ordered), default=0))
        if need:
            return need, True
        running = sum(item.lasting for item in zones) if ordered else count_after_zone_loss(zones)
        highest, since = self._listed.get(service, (0, now))
        if running > highest:
            highest, since = self._listed[service] = (running, now)
        return highest, now - since >= STABLE_LIST_SECONDS

    def is_settling(self, service: str) -> bool:
        """Return whether a service's upstreams are still starting or not yet all listed.

        Roles that are planned meanwhile would not fit the upstreams that serve later.
        """
        if service in self._listed and service not in self._needs:
            return True
        if _now() >= self._settled_at.get(service, float("-inf")):
            return False
        instances = self._fleet.list_service(service)
        running = sum(1 for item in instances if item.record.reclaimable)
        planned = sum(plan.reclaimable for plan in self.plans.get(service, ()))
        return running < planned * SETTLED_SHARE

    def _require_lease(self) -> DutyLease:
        """Return the lease; raise LeaseLostError if another duty has found it lost meanwhile."""
        if self._lease.lease is None:
            raise LeaseLostError("this host does not hold the duty lease")
        return self._lease.lease

    def _list_zones(self, service: str, instances: list[Instance]) -> list[ZoneUpstreams]:
        """Return the zones in which the service runs or for which upstreams were ordered."""
        now = _now()
        ordered = {item.zone for item in self._require_lease().capacity if item.service == service}
        zones = sorted({item.record.zone for item in instances} | ordered)
        found = []
        for zone in zones:
            is_out_of_capacity = self._out_of_capacity_until.get((service, zone), 0.0) > now
            includes_existing = service in self._shared_limits
            found.append(
                ZoneUpstreams(
                    zone, *_count_kinds(instances, zone), is_out_of_capacity, includes_existing
                )
            )
        return found

    def _count_cost(self, service: str, scaling: Scaling, zones: list[ZoneUpstreams]) -> None:
        """Count upstream seconds and their price for one interval."""
        for item in zones:
            for reclaimable, count in ((False, item.lasting), (True, item.reclaimable)):
                labels = {
                    "service": service,
                    "zone": item.zone,
                    "kind": _get_kind_label(reclaimable),
                }
                seconds = count * PLAN_INTERVAL_SECONDS
                paid = seconds * scaling.find_price(item.zone, reclaimable)
                self._metrics.count("capacity_upstream_seconds_total", seconds, **labels)
                self._metrics.count("capacity_paid_total", paid, **labels)

    def describe(self) -> dict[str, Any]:
        """Return the need, running and planned upstreams, and price of each service and zone.

        Only the holder of the duty lease plans; other hosts return no plans or outdated ones.
        """
        configuration = self._find_configuration()
        services = configuration.services if configuration else {}
        return {
            name: self._describe(name, services[name].scaling, plans)
            for name, plans in self.plans.items()
            if name in services
        }

    def _describe(
        self, service: str, scaling: Scaling | None, plans: tuple[ZonePlan, ...]
    ) -> dict[str, Any]:
        instances = self._fleet.list_service(service)
        zones = {}
        for plan in plans:
            lasting, reclaimable = _count_kinds(instances, plan.zone)
            price = 0.0
            if scaling is not None:
                price += lasting * scaling.find_price(plan.zone, reclaimable=False)
                price += reclaimable * scaling.find_price(plan.zone, reclaimable=True)
            zones[plan.zone] = {
                "lasting": {"standing": lasting, "planned": plan.lasting},
                "reclaimable": {"standing": reclaimable, "planned": plan.reclaimable},
                "none_to_be_had": self._out_of_capacity_until.get((service, plan.zone), 0.0)
                > _now(),
                "price_per_second": round(price, 3),
            }
        return {"need": self.needs.get(service, 0), "zones": zones}

    def _store_plans(self, service: str, plans: tuple[ZonePlan, ...], need: int) -> None:
        if self.plans.get(service) != plans:
            log_event(
                "capacity planned",
                service=service,
                need=need,
                zones={item.zone: [item.lasting, item.reclaimable] for item in plans},
            )
        self.plans[service] = plans
        self.needs[service] = need

    async def _order(
        self,
        service: str,
        zone: str,
        reclaimable: bool,
        wanted: int,
        running: int,
        scaling: Scaling,
        api_client: DutyApiClient,
    ) -> None:
        """Order `wanted` upstreams, unless they run or an order for them is in progress."""
        key = (service, zone, reclaimable)
        last = self._sent.get(key)
        if last is None and wanted == running and not self._is_recorded(key):
            return
        if last is not None and last.count == wanted and not self._is_due(last, running, scaling):
            return
        # A need from an incomplete list must not become the next holder's first need.
        need = self.needs[service] if service in self._needs else 0
        record = RecordedCapacity(service, zone, reclaimable, wanted, need)
        until = await self._lease.write_change(lambda held: held.with_capacity(record))
        lease, now = self._lease.lease, _now()
        if lease is None or now > until:
            log_event(
                "order of upstreams not sent",
                zone=zone,
                reason="lease lost or last written too long ago",
            )
            return
        credentials = LeaseCredentials(lease.holder, lease.token)
        outcome = await api_client.order_upstreams(credentials, service, zone, wanted, reclaimable)
        self._sent[key] = SentOrder(wanted, now, outcome)
        last_reclaimable = self._sent.get((service, zone, True))
        if not reclaimable and wanted < running and last_reclaimable is not None:
            # Retries the reclaimable order, for which the limit leaves more capacity now.
            last_reclaimable.sent_at = float("-inf")
        if wanted > running:
            self._settled_at[service] = now + scaling.boot_seconds + LISTING_DELAY_SECONDS
        if outcome is CallOutcome.REFUSED and reclaimable:
            self._shared_limits.add(service)
        if outcome is CallOutcome.NONE_TO_BE_HAD:
            self._out_of_capacity_until[service, zone] = now + OUT_OF_CAPACITY_SECONDS
        kind = _get_kind_label(reclaimable)
        self._metrics.count("capacity_orders_total", kind=kind, outcome=outcome.value)
        log_event(
            "upstreams ordered",
            service=service,
            zone=zone,
            kind=kind,
            count=wanted,
            standing=running,
            token=lease.token,
            outcome=outcome.value,
        )

    def _is_recorded(self, key: OrderKey) -> bool:
        lease = self._lease.lease
        recorded = lease.capacity if lease else ()
        return any((i.service, i.zone, i.reclaimable) == key for i in recorded)

    @staticmethod
    def _is_due(last: SentOrder, running: int, scaling: Scaling) -> bool:
        """Return whether to retry an order that was not accepted or has had no effect."""
        elapsed_seconds = _now() - last.sent_at
        if last.outcome is not CallOutcome.TAKEN:
            return elapsed_seconds >= RETRY_SECONDS
        return (
            running != last.count and elapsed_seconds >= scaling.boot_seconds + BOOT_GRACE_SECONDS
        )


def _count_kinds(instances: list[Instance], zone: str) -> tuple[int, int]:
    """Return the numbers of non-reclaimable and of reclaimable upstreams in a zone."""
    kinds = [item.record.reclaimable for item in instances if item.record.zone == zone]
    return kinds.count(False), kinds.count(True)


def _get_kind_label(reclaimable: bool) -> str:
    return "reclaimable" if reclaimable else "lasting"


def _now() -> float:
    return asyncio.get_running_loop().time()
