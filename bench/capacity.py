"""Price and missed work of a service's upstreams under different capacity policies.

A simulation in virtual time that runs the production policies. Offered work varies in waves and
bursts, upstreams serve after a boot time, and the platform reclaims a zone's reclaimable upstreams
at the peak and has no capacity there for a while. Work beyond the serving upstreams is missed.
Not modelled: roles, cached prompts, and the price of upstreams that are shutting down.
"""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from swifttrestle.internal.policy.capacity import (
    CapacityPolicy,
    NonReclaimableCapacity,
    PeakNeed,
    UnchangedCapacity,
    ZonePlan,
    ZoneRedundantCapacity,
    ZoneUpstreams,
    count_after_zone_loss,
)
from swifttrestle.internal.state.declared import Scaling

# Simulated seconds of a run.
RUN_SECONDS = 300
ZONES = ("a", "b", "c")
# Price of a non-reclaimable upstream, by zone.
PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}


class UnreservedCapacity(CapacityPolicy):
    """Baseline: reclaimable upstreams for the need only, without a reserve for a lost zone."""

    def plan(
        self, scaling: Scaling, zones: Sequence[ZoneUpstreams], need: int
    ) -> tuple[ZonePlan, ...]:
        """Divide the need evenly; non-reclaimable upstreams stop once reclaimable ones serve."""
        reclaimable = math.ceil(max(0, need - len(zones)) / len(zones))
        missing = need - len(zones) - sum(item.reclaimable for item in zones)
        kept = max(0, math.ceil(missing / len(zones)))
        return tuple(
            ZonePlan(item.zone, 1 + min(kept, max(0, item.lasting - 1)), reclaimable)
            for item in zones
        )


POLICIES: dict[str, CapacityPolicy] = {
    "unchanged": UnchangedCapacity(),
    "lasting alone": NonReclaimableCapacity(),
    "reclaimable, no reserve": UnreservedCapacity(),
    "reclaimable, reserve for a zone": ZoneRedundantCapacity(),
}


@dataclass(frozen=True)
class Load:
    """A load and the reclaims during it; times in seconds, work in upstreams.

    At each time of `reclaims`, the zone with the most reclaimable upstreams loses them, and is out
    of reclaimable capacity for `unavailable_seconds`.
    """

    name: str
    work: float = 14.0
    swing: float = 0.27
    burst: float = 1.7
    boot_seconds: int = 4
    initial_counts: tuple[int, int, int] = (10, 10, 9)
    reclaims: tuple[int, ...] = (63,)
    unavailable_seconds: int = 9
    reclaimable_price: float = 0.15

    def offered(self, at: int) -> float:
        """Return the work offered in second `at`: a sine wave with periodic bursts."""
        wave = 1 + self.swing * math.sin(2 * math.pi * at / 11)
        return self.work * wave * (self.burst if at % 20 < 3 else 1.0)


LOADS = (
    Load("bursts, a zone reclaimed at the peak"),
    Load("nothing reclaimed", reclaims=()),
    Load("reclaimed three times", reclaims=(63, 122, 203)),
    Load("boots of 1 s", boot_seconds=1),
    Load("boots of 60 s", boot_seconds=60, reclaims=(123,)),
    Load("load that grows fourfold", work=9.0, burst=4.0, initial_counts=(4, 4, 4)),
    Load("expensive reclaimable ones", reclaimable_price=0.9),
)


@dataclass
class Zone:
    """The upstreams of one zone.

    `pending_boots` holds, per booting upstream, when it serves and whether it is reclaimable.
    """

    lasting: int
    reclaimable: int = 0
    pending_boots: list[tuple[int, bool]] = field(default_factory=list)
    unavailable_until: int = 0

    def count(self, reclaimable: bool) -> int:
        """Return the number of serving and booting upstreams of a kind."""
        booting = sum(1 for _, kind in self.pending_boots if kind is reclaimable)
        return booting + (self.reclaimable if reclaimable else self.lasting)


@dataclass(frozen=True)
class Outcome:
    """Price per second, and the missed share of offered work: overall and in the worst second."""

    price: float
    missed: float
    worst: float


def play(load: Load, policy: CapacityPolicy) -> Outcome:
    """Simulate one load under one policy."""
    scaling = Scaling(1, 40, load.boot_seconds, PRICES, load.reclaimable_price)
    zones = {name: Zone(count) for name, count in zip(ZONES, load.initial_counts, strict=True)}
    peak_need = PeakNeed()
    peak_need.note(count_after_zone_loss(_list_upstreams(zones, 0)), 0.0)
    paid = missed = offered = 0.0
    missed_shares: list[float] = []
    for now in range(RUN_SECONDS):
        _finish_boots(zones, now)
        if now in load.reclaims:
            _reclaim(zones, now + load.unavailable_seconds)
        work = load.offered(now)
        serving = sum(zone.lasting + zone.reclaimable for zone in zones.values())
        lost = max(0.0, work - serving)
        missed, offered = missed + lost, offered + work
        missed_shares.append(lost / work)
        paid += _sum_price(zones, scaling)
        need = peak_need.note(math.ceil(work), float(now))
        for plan in policy.plan(scaling, _list_upstreams(zones, now), need):
            _order(zones[plan.zone], plan, now, load.boot_seconds)
    return Outcome(paid / RUN_SECONDS, missed / offered, max(missed_shares))


def _list_upstreams(zones: dict[str, Zone], now: int) -> list[ZoneUpstreams]:
    return [
        ZoneUpstreams(name, zone.lasting, zone.reclaimable, zone.unavailable_until > now)
        for name, zone in zones.items()
    ]


def _finish_boots(zones: dict[str, Zone], now: int) -> None:
    for zone in zones.values():
        booted = [kind for at, kind in zone.pending_boots if at <= now]
        zone.reclaimable += booted.count(True)
        zone.lasting += booted.count(False)
        zone.pending_boots = [item for item in zone.pending_boots if item[0] > now]


def _reclaim(zones: dict[str, Zone], unavailable_until: int) -> None:
    fullest = max(zones.values(), key=lambda zone: zone.reclaimable)
    fullest.reclaimable = 0
    fullest.pending_boots = [item for item in fullest.pending_boots if not item[1]]
    fullest.unavailable_until = unavailable_until


def _order(zone: Zone, plan: ZonePlan, now: int, boot_seconds: int) -> None:
    for reclaimable, wanted in ((True, plan.reclaimable), (False, plan.lasting)):
        difference = wanted - zone.count(reclaimable)
        if difference > 0 and not (reclaimable and zone.unavailable_until > now):
            zone.pending_boots += [(now + boot_seconds, reclaimable)] * difference
        if difference < 0 and reclaimable:
            zone.reclaimable = max(0, zone.reclaimable + difference)
        if difference < 0 and not reclaimable:
            zone.lasting = max(0, zone.lasting + difference)


def _sum_price(zones: dict[str, Zone], scaling: Scaling) -> float:
    return sum(
        zone.lasting * scaling.find_price(name, reclaimable=False)
        + zone.reclaimable * scaling.find_price(name, reclaimable=True)
        for name, zone in zones.items()
    )


def compare() -> Iterator[tuple[str, str, Outcome]]:
    """Yield the name of the load, the name of the policy and the outcome of each pair."""
    for load in LOADS:
        for name, policy in POLICIES.items():
            yield load.name, name, play(load, policy)


def measure() -> Iterator[str]:
    """Yield the lines of the table of all loads and policies."""
    yield "| load | policy | price a second | missed | worst second |"
    yield "|---|---|---|---|---|"
    for load, policy, outcome in compare():
        yield (
            f"| {load} | {policy} | {outcome.price:.1f} | {100 * outcome.missed:.1f} % "
            f"| {100 * outcome.worst:.0f} % |"
        )


def main() -> None:
    """Print the table."""
    print("\n".join(measure()))
