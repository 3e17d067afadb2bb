"""The duty of ordering upstreams: one gateway at a time, each order written down before it goes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from swifttrestle.errors import LeaseLostError
from swifttrestle.internal.coordination.duty_lease import DutyLeaseManager
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

# Seconds between two looks.
POLL_SECONDS = 0.5
# Seconds beyond the declared time of a start until which an order may still be on its way.
SETTLE_SECONDS = 3.0
# Share of the planned reclaimable upstreams that stand from which on roles are planned: the last
# ones are asked for again and again, and the load may come meanwhile.
SETTLED_SHARE = 0.8
# Seconds beyond it after which most of what was ordered is listed: a heartbeat.
SHOWN_SECONDS = 1.2
# Seconds for which the list must have brought no more upstreams before what stands is taken for the
# operators' own estimate, and any of it is given up: a heartbeat and a half. A plan by the first
# nine of 29 that were listed lowered them to one in each zone.
LISTED_SECONDS = 2.0
# Seconds before an order is made again for which none could be had, or that was not answered.
AGAIN_SECONDS = 2.0
# Seconds for which a zone in which none could be had counts as such.
DRY_SECONDS = 5.0

Subject = tuple[str, str, bool]


@dataclass
class SentOrder:
    """The last order of a service, zone and kind; times are the loop's."""

    count: int
    sent_at: float
    outcome: CallOutcome


class CapacityDuty:
    """Plans and orders while this host holds the lease of the duties."""

    def __init__(
        self,
        lease: DutyLeaseManager,
        calls: DutyApiClient | None,
        fleet: Fleet,
        demand: DemandMeter,
        find_configuration: Callable[[], Configuration | None],
        holds_duties: Callable[[], bool],
        is_store_away: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        """Prepare; without `calls` nothing is ordered."""
        self._lease = lease
        self._calls = calls
        self._fleet = fleet
        self._demand = demand
        self._find_configuration = find_configuration
        self._holds_duties = holds_duties
        self._is_store_away = is_store_away
        self._metrics = metrics
        self._needs: dict[str, PeakNeed] = {}
        self._sent: dict[Subject, SentOrder] = {}
        self._dry_until: dict[tuple[str, str], float] = {}
        # Services whose orders the platform refuses for what stands of the other kind.
        self._counts_standing: set[str] = set()
        # The most upstreams that were listed of a service before its first plan, and since when.
        self._listed: dict[str, tuple[int, float]] = {}
        # When the upstreams that were ordered last will serve, by service.
        self._settled_at: dict[str, float] = {}
        # What was planned last, by service, for operators.
        self.plans: dict[str, tuple[ZonePlan, ...]] = {}
        self.needs: dict[str, int] = {}

    async def run(self) -> None:
        """Look for as long as the process lives."""
        if self._calls is None:
            return
        while True:
            await asyncio.sleep(POLL_SECONDS)
            configuration = self._find_configuration()
            if configuration is None or self._lease.lease is None or not self._holds_duties():
                # Another host's orders may have followed; what was sent from here is of no use.
                self._sent.clear()
                self._needs.clear()
                self._listed.clear()
                self.plans.clear()
                continue
            if self._is_store_away():
                continue
            try:
                await self._look(configuration, self._calls)
            except LeaseLostError as error:
                log_event("orders of upstreams wait", reason=str(error))

    async def _look(self, configuration: Configuration, calls: DutyApiClient) -> None:
        for service in configuration.services.values():
            if service.scaling is not None:
                await self._look_at(service.name, service.scaling, calls)

    async def _look_at(self, service: str, scaling: Scaling, calls: DutyApiClient) -> None:
        instances = self._fleet.list_service(service)
        zones = self._list_zones(service, instances)
        if not zones:
            return
        now = _now()
        need = self._find_need(service, instances, zones, now)
        plans = choose_capacity_policy(scaling, len(zones)).plan(scaling, zones, need)
        self._note_plans(service, plans, need)
        self._count_paid(service, scaling, zones)
        standing = {item.zone: item for item in zones}
        for plan in plans:
            here = standing[plan.zone]
            await self._order(
                service, plan.zone, True, plan.reclaimable, here.reclaimable, scaling, calls
            )
            # While the list still grows, nothing that stands is given up.
            if service in self._needs:
                await self._order(
                    service, plan.zone, False, plan.lasting, here.lasting, scaling, calls
                )

    def _find_need(
        self, service: str, instances: list[Instance], zones: list[ZoneUpstreams], now: float
    ) -> int:
        """Return the need to plan for; it is remembered once all that stands has been listed."""
        memory = self._needs.get(service)
        if memory is None:
            first, whole = self._find_first_need(service, zones, now)
            if not whole:
                return first
            memory = self._needs[service] = PeakNeed()
            memory.note(first, now)
        return memory.note(estimate_need(instances, self._demand.total(service, now)), now)

    def _find_first_need(
        self, service: str, zones: list[ZoneUpstreams], now: float
    ) -> tuple[int, bool]:
        """Return the need to begin with, and whether it is the whole one.

        That is a former holder's; where nothing was ordered yet, what stands is the operators' own
        estimate, which is whole once the list has stopped growing. What stands later may just be
        coming up or have been taken away.
        """
        ordered = [item for item in self._find_lease().capacity if item.service == service]
        need = max((item.need for item in ordered), default=0)
        if need:
            return need, True
        standing = sum(item.lasting for item in zones) if ordered else count_after_zone_loss(zones)
        most, since = self._listed.get(service, (0, now))
        if standing > most:
            most, since = self._listed[service] = (standing, now)
        return most, now - since >= LISTED_SECONDS

    def is_settling(self, service: str) -> bool:
        """Return whether most of a service's upstreams are still to come or to go.

        Roles that are planned before that are planned for others than those which serve.
        """
        if service in self._listed and service not in self._needs:
            return True
        if _now() >= self._settled_at.get(service, float("-inf")):
            return False
        instances = self._fleet.list_service(service)
        standing = sum(1 for item in instances if item.record.reclaimable)
        planned = sum(plan.reclaimable for plan in self.plans.get(service, ()))
        return standing < planned * SETTLED_SHARE

    def _find_lease(self) -> DutyLease:
        """Return the lease; raise LeaseLostError where another duty has found it lost meanwhile."""
        if self._lease.lease is None:
            raise LeaseLostError("the lease is not held")
        return self._lease.lease

    def _list_zones(self, service: str, instances: list[Instance]) -> list[ZoneUpstreams]:
        """Return the zones in which the service runs, or was ordered to."""
        now = _now()
        ordered = {item.zone for item in self._find_lease().capacity if item.service == service}
        zones = sorted({item.record.zone for item in instances} | ordered)
        found = []
        for zone in zones:
            dry = self._dry_until.get((service, zone), 0.0) > now
            counts = service in self._counts_standing
            found.append(ZoneUpstreams(zone, *_count_kinds(instances, zone), dry, counts))
        return found

    def _count_paid(self, service: str, scaling: Scaling, zones: list[ZoneUpstreams]) -> None:
        """Count what stands and what it costs, for the time since the last look."""
        for item in zones:
            for reclaimable, count in ((False, item.lasting), (True, item.reclaimable)):
                labels = {"service": service, "zone": item.zone, "kind": _name_kind(reclaimable)}
                seconds = count * POLL_SECONDS
                paid = seconds * scaling.find_price(item.zone, reclaimable)
                self._metrics.count("capacity_upstream_seconds_total", seconds, **labels)
                self._metrics.count("capacity_paid_total", paid, **labels)

    def describe(self) -> dict[str, Any]:
        """Return for each service and zone what stands, what is planned and why, and its price.

        Only the holder of the duties plans; at another host the plans are those of its last time.
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
                "none_to_be_had": self._dry_until.get((service, plan.zone), 0.0) > _now(),
                "price_per_second": round(price, 3),
            }
        return {"need": self.needs.get(service, 0), "zones": zones}

    def _note_plans(self, service: str, plans: tuple[ZonePlan, ...], need: int) -> None:
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
        standing: int,
        scaling: Scaling,
        calls: DutyApiClient,
    ) -> None:
        """Order a number unless it stands, or an order of it is on its way."""
        subject = (service, zone, reclaimable)
        last = self._sent.get(subject)
        if last is None and wanted == standing and not self._is_recorded(subject):
            return
        if last is not None and last.count == wanted and not self._is_due(last, standing, scaling):
            return
        # What is ordered while the list still grows is no need for the next holder to keep to.
        need = self.needs[service] if service in self._needs else 0
        record = RecordedCapacity(service, zone, reclaimable, wanted, need)
        until = await self._lease.write_down(lambda held: held.with_capacity(record))
        lease, now = self._lease.lease, _now()
        if lease is None or now > until:
            log_event("order of upstreams not sent", zone=zone, reason="its time was over")
            return
        authority = LeaseCredentials(lease.holder, lease.token)
        outcome = await calls.order_upstreams(authority, service, zone, wanted, reclaimable)
        self._sent[subject] = SentOrder(wanted, now, outcome)
        beside = self._sent.get((service, zone, True))
        if not reclaimable and wanted < standing and beside is not None:
            # The platform may have started fewer reclaimable ones beside these; it can do so now.
            beside.sent_at = float("-inf")
        if wanted > standing:
            self._settled_at[service] = now + scaling.boot_seconds + SHOWN_SECONDS
        if outcome is CallOutcome.REFUSED and reclaimable:
            self._counts_standing.add(service)
        if outcome is CallOutcome.NONE_TO_BE_HAD:
            self._dry_until[service, zone] = now + DRY_SECONDS
        kind = _name_kind(reclaimable)
        self._metrics.count("capacity_orders_total", kind=kind, outcome=outcome.value)
        log_event(
            "upstreams ordered",
            service=service,
            zone=zone,
            kind=kind,
            count=wanted,
            standing=standing,
            token=lease.token,
            outcome=outcome.value,
        )

    def _is_recorded(self, subject: Subject) -> bool:
        lease = self._lease.lease
        recorded = lease.capacity if lease else ()
        return any((i.service, i.zone, i.reclaimable) == subject for i in recorded)

    @staticmethod
    def _is_due(last: SentOrder, standing: int, scaling: Scaling) -> bool:
        """Return whether an order is to be made again: it was not taken, or does not show."""
        since = _now() - last.sent_at
        if last.outcome is not CallOutcome.TAKEN:
            return since >= AGAIN_SECONDS
        return standing != last.count and since >= scaling.boot_seconds + SETTLE_SECONDS


def _count_kinds(instances: list[Instance], zone: str) -> tuple[int, int]:
    """Return how many lasting and how many reclaimable upstreams serve in a zone."""
    kinds = [item.record.reclaimable for item in instances if item.record.zone == zone]
    return kinds.count(False), kinds.count(True)


def _name_kind(reclaimable: bool) -> str:
    return "reclaimable" if reclaimable else "lasting"


def _now() -> float:
    return asyncio.get_running_loop().time()
