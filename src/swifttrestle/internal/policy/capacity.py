"""How many upstreams of each kind a service is to have in each availability zone.

Load pattern: callers' work swings by two thirds within three seconds, an upstream takes longer
than that to come up, and the platform takes all reclaimable upstreams of a zone away at a few
seconds' notice, at the peak too, and has none there for a while. So what the highest swing of the
last minute needs has to stand before the next one comes, and has to be there still when the fullest
zone's reclaimable upstreams are gone. Nothing can be ordered while the store or the platform is
away; what stands then has to bear it.
"""

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from swifttrestle.internal.policy.role_split import LEAST_DECODERS, PLANNED_SHARE
from swifttrestle.internal.state.declared import Scaling
from swifttrestle.internal.state.demand import Demand
from swifttrestle.internal.state.fleet import DEFAULT_READ_RATE, Instance

# Seconds for which the highest need counts: some swings of a few seconds, and a wave of eleven.
PEAK_WINDOW_SECONDS = 60.0
# A plan is lowered only where it is over the need by this factor: each upstream that comes back
# later is cold, and costs an order of its role.
SCALE_DOWN_FACTOR = 1.25
# Lasting upstreams of a zone beside its reclaimable ones: all of these go at once.
LASTING_PER_ZONE = 1
# A reclaimable upstream is worth its risk only below this share of a lasting one's price: half as
# many again have to stand for the loss of one zone of three.
RECLAIMABLE_PRICE = 0.6


@dataclass(frozen=True)
class ZoneUpstreams:
    """What serves in a zone now, neither leaving nor coming, and whether more can be had there.

    `limit_includes_existing` says that the platform has refused an order over the most for what
    stands of
    the other kind, and not for what is to stay of it.
    """

    zone: str
    lasting: int
    reclaimable: int
    dry: bool = False
    limit_includes_existing: bool = False


@dataclass(frozen=True)
class ZonePlan:
    """How many upstreams of each kind a zone is to have."""

    zone: str
    lasting: int
    reclaimable: int


def count_after_zone_loss(zones: Sequence[ZoneUpstreams | ZonePlan]) -> int:
    """Return how many upstreams are left when the fullest zone's reclaimable ones are gone."""
    lasting = sum(item.lasting for item in zones)
    reclaimable = [item.reclaimable for item in zones]
    return lasting + sum(reclaimable) - max(reclaimable, default=0)


def estimate_need(engines: Sequence[Instance], demand: Demand) -> int:
    """Return how many engines the offered work needs, those that make tokens among them.

    The pace is that of the engine which is known best: a host learns it from below, from ten
    readings or so, and an engine that has just come has shown nothing.
    """
    pace = max((item.read_rate for item in engines), default=0.0) * PLANNED_SHARE
    if pace <= DEFAULT_READ_RATE * PLANNED_SHARE or demand == Demand():
        return 0
    slots = sum(item.record.slots for item in engines) / len(engines) * PLANNED_SHARE
    readers = demand.read_tokens / max(1e-9, pace)
    decoders = max(LEAST_DECODERS, demand.decode_slots / max(1e-9, slots))
    return math.ceil(readers) + math.ceil(decoders)


class PeakNeed:
    """The highest need of the last minute; what stood at the start counts as the first one."""

    def __init__(self) -> None:
        """Start with no need."""
        self._needs: deque[tuple[float, int]] = deque()
        self._planned = 0

    def note(self, need: int, now: float) -> int:
        """Take over the need of now; return the one to plan for."""
        self._needs.append((now, need))
        while now - self._needs[0][0] > PEAK_WINDOW_SECONDS:
            self._needs.popleft()
        highest = max(item for _, item in self._needs)
        if highest > self._planned or highest * SCALE_DOWN_FACTOR < self._planned:
            self._planned = highest
        return self._planned


class CapacityPolicy(ABC):
    """One way to divide a need over zones and kinds."""

    @abstractmethod
    def plan(
        self, scaling: Scaling, zones: Sequence[ZoneUpstreams], need: int
    ) -> tuple[ZonePlan, ...]:
        """Return what each zone is to have; `need` is how many upstreams have to serve."""


class UnchangedCapacity(CapacityPolicy):
    """All as it stands."""

    def plan(
        self, scaling: Scaling, zones: Sequence[ZoneUpstreams], need: int
    ) -> tuple[ZonePlan, ...]:
        """Return what serves now."""
        return tuple(ZonePlan(item.zone, item.lasting, item.reclaimable) for item in zones)


class NonReclaimableCapacity(CapacityPolicy):
    """Lasting upstreams alone, spread evenly: where reclaimable ones are none, or are dear."""

    def plan(
        self, scaling: Scaling, zones: Sequence[ZoneUpstreams], need: int
    ) -> tuple[ZonePlan, ...]:
        """Return an even share of the need for each zone; cheaper zones take what is over."""
        by_price = sorted(zones, key=lambda item: (scaling.prices.get(item.zone, 1.0), item.zone))
        counts = {
            item.zone: need // len(zones) + (place < need % len(zones))
            for place, item in enumerate(by_price)
        }
        return tuple(ZonePlan(item.zone, _clamp(counts[item.zone], scaling), 0) for item in zones)


class ZoneRedundantCapacity(CapacityPolicy):
    """Reclaimable upstreams with a reserve for the loss of any one zone, over a lasting base."""

    def plan(
        self, scaling: Scaling, zones: Sequence[ZoneUpstreams], need: int
    ) -> tuple[ZonePlan, ...]:
        """Return the plan; lasting upstreams go only as reclaimable ones serve in their place."""
        base = LASTING_PER_ZONE
        # Without its fullest zone, the rest has to hold the need.
        others = len(zones) - 1
        reclaimable = math.ceil(max(0, need - base * len(zones)) / others)
        lasting = self._plan_lasting(zones, need, base)
        plans = []
        for item in zones:
            beside = max(base, lasting[item.zone]) if item.limit_includes_existing else base
            count = min(reclaimable, max(0, scaling.most - beside))
            least = max(lasting[item.zone], scaling.least - count)
            plans.append(ZonePlan(item.zone, least, count))
        return tuple(plans)

    @staticmethod
    def _plan_lasting(zones: Sequence[ZoneUpstreams], need: int, base: int) -> Mapping[str, int]:
        serving = [
            ZoneUpstreams(item.zone, min(base, item.lasting), item.reclaimable) for item in zones
        ]
        missing = max(0, need - count_after_zone_loss(serving))
        # Lasting ones take longer to come than most shortages last: none are ordered anew unless
        # no reclaimable one can be had anywhere.
        dry = all(item.dry for item in zones)
        spare = {item.zone: missing if dry else max(0, item.lasting - base) for item in zones}
        lasting = dict.fromkeys(spare, base)
        while missing and any(spare.values()):
            zone = min((name for name in spare if spare[name]), key=lambda name: lasting[name])
            lasting[zone] += 1
            spare[zone] -= 1
            missing -= 1
        return lasting


def choose_capacity_policy(scaling: Scaling, zones: int) -> CapacityPolicy:
    """Return the way that fits a service's prices and the number of its zones.

    In a single zone all reclaimable upstreams go at once, and nothing is left in their place.
    """
    if zones > 1 and scaling.reclaimable_price <= RECLAIMABLE_PRICE:
        return ZoneRedundantCapacity()
    return NonReclaimableCapacity()


def _clamp(count: int, scaling: Scaling) -> int:
    return max(scaling.least, min(scaling.most, count))
