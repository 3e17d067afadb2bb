"""What a service's upstreams cost and how much work they miss, by the way of ordering them.

A model in simulated time, driven by the policies in use: callers' work swings as waves and bursts;
upstreams come up after a boot time; the platform reclaims a zone's reclaimable upstreams at the
peak and has none there for a while. Work beyond what serves in a second is missed. What is left
out: roles, prompts that are kept, and the seconds in which a lowered upstream is still paid.
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

# Simulated seconds of a run, and between two looks.
RUN_SECONDS = 300
ZONES = ("a", "b", "c")
PRICES = {"a": 0.85, "b": 1.2, "c": 1.0}


class UnreservedCapacity(CapacityPolicy):
    """Reclaimable upstreams for the need alone, over the same lasting base: the way not in use."""

    def plan(
        self, scaling: Scaling, zones: Sequence[ZoneUpstreams], need: int
    ) -> tuple[ZonePlan, ...]:
        """Return the need divided evenly; lasting ones go as reclaimable ones serve."""
        reclaimable = math.ceil(max(0, need - len(zones)) / len(zones))
        missing = need - len(zones) - sum(item.reclaimable for item in zones)
        kept = max(0, math.ceil(missing / len(zones)))
        return tuple(
            ZonePlan(item.zone, 1 + min(kept, max(0, item.lasting - 1)), reclaimable)
            for item in zones
        )


POLICIES: dict[str, CapacityPolicy] = {
    "as it stands": UnchangedCapacity(),
    "lasting alone": NonReclaimableCapacity(),
    "reclaimable, no reserve": UnreservedCapacity(),
    "reclaimable, reserve for a zone": ZoneRedundantCapacity(),
}


@dataclass(frozen=True)
class Load:
    """A load and what happens to the service; times in seconds, work in upstreams.

    `reclaims` are the times at which the fullest zone's reclaimable upstreams are taken away, for
    `dry_seconds` in which none can be had there.
    """

    name: str
    work: float = 14.0
    swing: float = 0.27
    burst: float = 1.7
    boot_seconds: int = 4
    standing: tuple[int, int, int] = (10, 10, 9)
    reclaims: tuple[int, ...] = (63,)
    dry_seconds: int = 9
    reclaimable_price: float = 0.15

    def offered(self, at: int) -> float:
        """Return the work of a second: a wave of 11 s, and a burst of 3 s in each 20 s."""
        wave = 1 + self.swing * math.sin(2 * math.pi * at / 11)
        return self.work * wave * (self.burst if at % 20 < 3 else 1.0)


LOADS = (
    Load("bursts, a zone reclaimed at the peak"),
    Load("nothing reclaimed", reclaims=()),
    Load("reclaimed three times", reclaims=(63, 122, 203)),
    Load("boots of 1 s", boot_seconds=1),
    Load("boots of 60 s", boot_seconds=60, reclaims=(123,)),
    Load("load that grows fourfold", work=9.0, burst=4.0, standing=(4, 4, 4)),
    Load("reclaimable ones are dear", reclaimable_price=0.9),
)


@dataclass
class Zone:
    """One zone's upstreams; `coming` are orders that boot, as the time they serve and the kind."""

    lasting: int
    reclaimable: int = 0
    coming: list[tuple[int, bool]] = field(default_factory=list)
    dry_until: int = 0

    def count(self, reclaimable: bool) -> int:
        """Return what serves or boots of a kind."""
        booting = sum(1 for _, kind in self.coming if kind is reclaimable)
        return booting + (self.reclaimable if reclaimable else self.lasting)


@dataclass(frozen=True)
class Outcome:
    """Price a second, and the share of offered work that found no upstream, whole and at worst."""

    price: float
    missed: float
    worst: float


def play(load: Load, policy: CapacityPolicy) -> Outcome:
    """Play one load under one way."""
    scaling = Scaling(1, 40, load.boot_seconds, PRICES, load.reclaimable_price)
    zones = {name: Zone(count) for name, count in zip(ZONES, load.standing, strict=True)}
    memory = PeakNeed()
    memory.note(count_after_zone_loss(_list_standing(zones, 0)), 0.0)
    paid = missed = offered = 0.0
    windows: list[float] = []
    for now in range(RUN_SECONDS):
        _come_up(zones, now)
        if now in load.reclaims:
            _reclaim(zones, now + load.dry_seconds)
        work = load.offered(now)
        serving = sum(zone.lasting + zone.reclaimable for zone in zones.values())
        lost = max(0.0, work - serving)
        missed, offered = missed + lost, offered + work
        windows.append(lost / work)
        paid += _price(zones, scaling)
        need = memory.note(math.ceil(work), float(now))
        for plan in policy.plan(scaling, _list_standing(zones, now), need):
            _order(zones[plan.zone], plan, now, load.boot_seconds)
    return Outcome(paid / RUN_SECONDS, missed / offered, max(windows))


def _list_standing(zones: dict[str, Zone], now: int) -> list[ZoneUpstreams]:
    return [
        ZoneUpstreams(name, zone.lasting, zone.reclaimable, zone.dry_until > now)
        for name, zone in zones.items()
    ]


def _come_up(zones: dict[str, Zone], now: int) -> None:
    for zone in zones.values():
        served = [kind for at, kind in zone.coming if at <= now]
        zone.reclaimable += served.count(True)
        zone.lasting += served.count(False)
        zone.coming = [item for item in zone.coming if item[0] > now]


def _reclaim(zones: dict[str, Zone], dry_until: int) -> None:
    fullest = max(zones.values(), key=lambda zone: zone.reclaimable)
    fullest.reclaimable = 0
    fullest.coming = [item for item in fullest.coming if not item[1]]
    fullest.dry_until = dry_until


def _order(zone: Zone, plan: ZonePlan, now: int, boot_seconds: int) -> None:
    for reclaimable, wanted in ((True, plan.reclaimable), (False, plan.lasting)):
        more = wanted - zone.count(reclaimable)
        if more > 0 and not (reclaimable and zone.dry_until > now):
            zone.coming += [(now + boot_seconds, reclaimable)] * more
        if more < 0 and reclaimable:
            zone.reclaimable = max(0, zone.reclaimable + more)
        if more < 0 and not reclaimable:
            zone.lasting = max(0, zone.lasting + more)


def _price(zones: dict[str, Zone], scaling: Scaling) -> float:
    return sum(
        zone.lasting * scaling.find_price(name, reclaimable=False)
        + zone.reclaimable * scaling.find_price(name, reclaimable=True)
        for name, zone in zones.items()
    )


def compare() -> Iterator[tuple[str, str, Outcome]]:
    """Yield each load's outcome under each way."""
    for load in LOADS:
        for name, policy in POLICIES.items():
            yield load.name, name, play(load, policy)


def measure() -> Iterator[str]:
    """Return the table of all loads and ways."""
    yield "| load | way | price a second | missed | worst second |"
    yield "|---|---|---|---|---|"
    for load, way, outcome in compare():
        yield (
            f"| {load} | {way} | {outcome.price:.1f} | {100 * outcome.missed:.1f} % "
            f"| {100 * outcome.worst:.0f} % |"
        )


def main() -> None:
    """Print the table."""
    print("\n".join(measure()))
