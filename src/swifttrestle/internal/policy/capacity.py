"""Capacity planning: how many upstreams of each kind a service needs in each availability zone.

Load can swing by two thirds within three seconds, and rise faster than an upstream starts, so the
plan covers the highest need of the last minute. The platform may reclaim all reclaimable (spot)
upstreams of a zone at a few seconds' notice and offer none there for a while, so the plan also
covers the loss of the reclaimable upstreams of the zone that has most of them. The planned
upstreams must suffice while the store or the platform is unavailable, since none can be ordered
then.
"""

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from swifttrestle.internal.checks import MAX_NEED
from swifttrestle.internal.policy.role_split import MIN_DECODERS, PLANNED_SHARE
from swifttrestle.internal.state.declared import Scaling
from swifttrestle.internal.state.demand import Demand
from swifttrestle.internal.state.fleet import DEFAULT_READ_RATE, Instance

# Seconds for which a need counts towards the peak. It covers several load swings of a few seconds
# each.
PEAK_WINDOW_SECONDS = 60.0
# A plan is lowered only once it exceeds the need by this factor: an upstream that is added again
# starts with a cold cache and needs a role order.
SCALE_DOWN_FACTOR = 1.25
# Non-reclaimable upstreams to keep in each zone, which can lose all its reclaimable ones at once.
MIN_NON_RECLAIMABLE_PER_ZONE = 1
# Reclaimable upstreams are used only up to this share of a non-reclaimable one's price, since
# tolerating the loss of a zone takes more of them. With three zones it takes half as many again.
MAX_RECLAIMABLE_PRICE_SHARE = 0.6


@dataclass(frozen=True)
class ZoneUpstreams:
    """The upstreams that serve in a zone, neither starting nor draining.

    `lasting` is the number of non-reclaimable ones. `reclaimable_unavailable` is set while the
    platform has no reclaimable upstreams there.
    `limit_includes_existing` is set where the platform counts existing upstreams of the other kind,
    not the planned number, towards the maximum.
    """

    zone: str
    lasting: int
    reclaimable: int
    reclaimable_unavailable: bool = False
    limit_includes_existing: bool = False


@dataclass(frozen=True)
class ZonePlan:
    """The target number of upstreams of each kind in a zone; `lasting` ones are non-reclaimable."""

    zone: str
    lasting: int
    reclaimable: int


def count_after_zone_loss(zones: Sequence[ZoneUpstreams | ZonePlan]) -> int:
    """Return how many upstreams remain if the zone with most reclaimable ones loses them."""
    lasting = sum(item.lasting for item in zones)
    reclaimable = [item.reclaimable for item in zones]
    return lasting + sum(reclaimable) - max(reclaimable, default=0)


def estimate_need(engines: Sequence[Instance], demand: Demand) -> int:
    """Return how many engines the offered work needs, for prefill and decode together.

    Uses the highest learned prefill rate: estimates start low and rise with each observed prefill,
    so a new engine's is still too low. The result is at most MAX_NEED.
    """
    prefill_rate = max((item.read_rate for item in engines), default=0.0) * PLANNED_SHARE
    if prefill_rate <= DEFAULT_READ_RATE * PLANNED_SHARE or demand == Demand():
        return 0
    slots = sum(item.record.slots for item in engines) / len(engines) * PLANNED_SHARE
    prefill_engines = demand.read_tokens / max(1e-9, prefill_rate)
    decode_engines = max(MIN_DECODERS, demand.decode_slots / max(1e-9, slots))
    return min(MAX_NEED, _round_up(prefill_engines) + _round_up(decode_engines))


def _round_up(engines: float) -> int:
    """Return a whole number of at most MAX_NEED; 0 for what is no number."""
    return 0 if math.isnan(engines) else math.ceil(min(engines, MAX_NEED))


class PeakNeed:
    """The highest need within a sliding window, with hysteresis for lowering it."""

    def __init__(self) -> None:
        """Start empty."""
        self._needs: deque[tuple[float, int]] = deque()
        self._planned = 0

    def note(self, need: int, now: float) -> int:
        """Record the current need; return the one to plan for."""
        self._needs.append((now, need))
        while now - self._needs[0][0] > PEAK_WINDOW_SECONDS:
            self._needs.popleft()
        highest = max(item for _, item in self._needs)
        if highest > self._planned or highest * SCALE_DOWN_FACTOR < self._planned:
            self._planned = highest
        return self._planned


class CapacityPolicy(ABC):
    """Divides the needed capacity over zones and kinds of upstreams."""

    @abstractmethod
    def plan(
        self, scaling: Scaling, zones: Sequence[ZoneUpstreams], need: int
    ) -> tuple[ZonePlan, ...]:
        """Return the plan for each zone; `need` is how many upstreams must serve."""


class UnchangedCapacity(CapacityPolicy):
    """Keeps the current capacity."""

    def plan(
        self, scaling: Scaling, zones: Sequence[ZoneUpstreams], need: int
    ) -> tuple[ZonePlan, ...]:
        """Return the current number of upstreams."""
        return tuple(ZonePlan(item.zone, item.lasting, item.reclaimable) for item in zones)


class NonReclaimableCapacity(CapacityPolicy):
    """Non-reclaimable (on-demand) upstreams only, spread evenly over zones."""

    def plan(
        self, scaling: Scaling, zones: Sequence[ZoneUpstreams], need: int
    ) -> tuple[ZonePlan, ...]:
        """Return an even share of the need for each zone; cheaper zones take the remainder."""
        by_price = sorted(zones, key=lambda item: (scaling.prices.get(item.zone, 1.0), item.zone))
        counts = {
            item.zone: need // len(zones) + (place < need % len(zones))
            for place, item in enumerate(by_price)
        }
        return tuple(ZonePlan(item.zone, _clamp(counts[item.zone], scaling), 0) for item in zones)


class ZoneRedundantCapacity(CapacityPolicy):
    """Reclaimable upstreams, enough to lose those of one zone, plus some non-reclaimable ones."""

    def plan(
        self, scaling: Scaling, zones: Sequence[ZoneUpstreams], need: int
    ) -> tuple[ZonePlan, ...]:
        """Return the plan; keeps non-reclaimable upstreams until reclaimable ones replace them."""
        base = MIN_NON_RECLAIMABLE_PER_ZONE
        # The other zones must cover the need if one loses its reclaimable upstreams.
        others = len(zones) - 1
        reclaimable = math.ceil(max(0, need - base * len(zones)) / others)
        lasting = self._plan_non_reclaimable(zones, need, base, scaling.max_upstreams)
        plans = []
        for item in zones:
            counted_non_reclaimable = (
                max(base, lasting[item.zone]) if item.limit_includes_existing else base
            )
            count = min(reclaimable, max(0, scaling.max_upstreams - counted_non_reclaimable))
            non_reclaimable = max(lasting[item.zone], scaling.min_upstreams - count)
            plans.append(ZonePlan(item.zone, non_reclaimable, count))
        return tuple(plans)

    @staticmethod
    def _plan_non_reclaimable(
        zones: Sequence[ZoneUpstreams], need: int, base: int, most: int
    ) -> Mapping[str, int]:
        serving = [
            ZoneUpstreams(item.zone, min(base, item.lasting), item.reclaimable) for item in zones
        ]
        missing = max(0, need - count_after_zone_loss(serving))
        # Non-reclaimable upstreams take longer to start than most shortages last, so orders new
        # ones only if no zone can get reclaimable ones.
        all_unavailable = all(item.reclaimable_unavailable for item in zones)
        spare = {
            item.zone: max(0, item.lasting - base, most - base if all_unavailable else 0)
            for item in zones
        }
        return {name: base + count for name, count in spread_evenly(spare, missing).items()}


def spread_evenly(spare: Mapping[str, int], missing: int) -> dict[str, int]:
    """Return how many of `missing` each zone adds, of at most what it has to spare.

    Earlier zones add the rest that cannot be divided. Takes one step for each zone, not for each
    upstream.
    """
    counts = dict.fromkeys(spare, 0)
    while open_zones := [name for name, most in spare.items() if counts[name] < most]:
        smallest = min(spare[name] - counts[name] for name in open_zones)
        step = min(smallest, missing // len(open_zones))
        if not step:
            for name in open_zones[:missing]:
                counts[name] += 1
            break
        for name in open_zones:
            counts[name] += step
        missing -= step * len(open_zones)
    return counts


def choose_capacity_policy(scaling: Scaling, zones: int) -> CapacityPolicy:
    """Return the policy for a service's prices and number of zones.

    A single zone gets no reclaimable upstreams, since it could lose all of them at once.
    """
    if zones > 1 and scaling.reclaimable_price <= MAX_RECLAIMABLE_PRICE_SHARE:
        return ZoneRedundantCapacity()
    return NonReclaimableCapacity()


def _clamp(count: int, scaling: Scaling) -> int:
    return max(scaling.min_upstreams, min(scaling.max_upstreams, count))
