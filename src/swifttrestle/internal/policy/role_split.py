"""How many of a service's engines read prompts and how many make tokens.

Before any load is known the start comes from what engines are: reading takes an engine's
whole compute while making tokens is shared by a batch, so most engines read. Then offered
work decides: the split whose busier side has the most room.
"""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace

from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.demand import Demand
from swifttrestle.internal.state.fleet import Instance

# Share of a service's engines that make tokens before any load is known.
FIRST_DECODE_SHARE = 1 / 3
# Engines that make tokens at least, where there are enough: one may be lost at any moment.
LEAST_DECODERS = 2
ENOUGH_ENGINES = 4
# Share of an engine's slots, or of its reading pace, that can be planned on.
PLANNED_SHARE = 0.85
# A split is changed only while its busier side is loaded over this share, and only for one
# whose busier side is lighter by this factor: a change takes an engine away for seconds.
BUSY_SHARE = 0.95
BETTER_FACTOR = 0.85


@dataclass(frozen=True)
class RoleChange:
    """One engine's change of role, and the figures that decided it.

    It is `urgent` where no load is known yet, or too few engines make tokens to lose one.
    """

    engine: Instance
    role: Role
    reason: str
    urgent: bool = False


def count_decoders(engines: int) -> int:
    """Return how many of so many engines make tokens before any load is known."""
    if engines <= 1:
        return engines
    return max(least_decoders(engines), math.ceil(engines * FIRST_DECODE_SHARE))


def least_decoders(engines: int) -> int:
    """Return how many engines make tokens at least."""
    return LEAST_DECODERS if engines >= ENOUGH_ENGINES else 1


def measure_load(engines: Sequence[Instance], decoders: int, demand: Demand) -> float:
    """Return the load of the busier side, 1 for all that can be planned on."""
    readers = len(engines) - decoders
    slots = sum(item.record.slots for item in engines) / len(engines)
    pace = sum(item.read_rate for item in engines) / len(engines)
    read_rate = readers * pace * PLANNED_SHARE
    # Prompts that are not read need no slot: more of these must not keep engines from reading.
    decode = demand.count_slots(read_rate) / max(1e-9, decoders * slots * PLANNED_SHARE)
    return max(decode, demand.read_tokens / max(1e-9, read_rate))


def find_best_count(
    engines: Sequence[Instance], current: int, demand: Demand, least: int | None = None
) -> int:
    """Return how many engines are to make tokens; `current` where no change is worth it.

    `least` is how many do so at least, by default as many as the number of engines asks for.
    """
    number = len(engines)
    least = least_decoders(number) if least is None else least
    if demand == Demand():
        return max(least, count_decoders(number))
    now = measure_load(engines, current, demand) if 0 < current < number else math.inf
    choices = range(least, number)
    if not choices:
        return current
    best = min(choices, key=lambda count: (measure_load(engines, count, demand), count))
    load = measure_load(engines, best, demand)
    if current < least or now == math.inf:
        return best
    return best if now > BUSY_SHARE and load < now * BETTER_FACTOR else current


def plan_change(
    engines: Sequence[Instance],
    pending: Mapping[str, Role],
    demand: Demand,
    broken: Collection[str] = (),
) -> RoleChange | None:
    """Return the next change, or None.

    `pending` holds the roles that engines have been ordered to and may not show yet; they
    count as done, and these engines get no other order. Engines that are `broken` get none
    either and bring no capacity; but most are back sooner than another could take their
    role, so one that makes tokens still counts towards the least number of those.
    """

    def role_of(item: Instance) -> Role:
        return pending.get(item.name, item.role)

    away = [item for item in engines if item.name in broken and role_of(item) is Role.DECODE]
    engines = [item for item in engines if item.name not in broken]
    decoders = [item for item in engines if role_of(item) is Role.DECODE]
    readers = [item for item in engines if role_of(item) is Role.PREFILL]
    if not engines:
        return None
    unknown = demand == Demand()
    # What is open now tells of long answers sooner than hold times, which are learned only
    # as answers end.
    held = sum(item.total.requests for item in decoders)
    demand = replace(demand, decode_slots=max(demand.decode_slots, held))
    least = max(1, least_decoders(len(engines) + len(away)) - len(away))
    # What is being made is not to be crowded onto fewer engines, however much waits to be read.
    slots = sum(item.record.slots for item in engines) / len(engines)
    least = max(least, min(len(decoders), math.ceil(held / (slots * PLANNED_SHARE))))
    wanted = find_best_count(engines, len(decoders), demand, least)
    reason = (
        f"{len(decoders)} of {len(engines)} decode, {wanted} wanted, "
        f"{demand.read_tokens:.0f} tokens/s and {demand.decode_slots:.0f} slots offered"
    )
    if len(decoders) > wanted:
        return _change(decoders, pending, Role.PREFILL, reason, urgent=unknown)
    if len(decoders) < wanted and len(readers) > 1:
        urgent = unknown or len(decoders) < least_decoders(len(engines))
        return _change(readers, pending, Role.DECODE, reason, urgent=urgent)
    return None


def _change(
    group: Sequence[Instance], excluded: Collection[str], role: Role, reason: str, urgent: bool
) -> RoleChange | None:
    allowed = [item for item in group if item.name not in excluded]
    if not allowed:
        return None
    # Zones keep their share: the engine leaves the zone that has most of its role.
    zones = [item.record.zone for item in group]
    chosen = max(
        allowed,
        key=lambda item: (zones.count(item.record.zone), -item.total.requests, item.name),
    )
    return RoleChange(chosen, role, reason, urgent)
