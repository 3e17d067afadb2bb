"""Splits a service's engines into prefill and decode engines.

Without known load most engines prefill: prefill uses all of an engine's compute, while decode is
batched. After that the split follows the offered work, and minimizes the load of the busier role.
"""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, replace

from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.demand import Demand
from swifttrestle.internal.state.fleet import Instance

# Share of a service's engines that decode while no load is known.
DEFAULT_DECODE_SHARE = 1 / 3
# Minimum number of decode engines, to tolerate the loss of one, for services with at least
# MIN_ENGINES_PER_GROUP.
MIN_DECODERS = 2
MIN_ENGINES_PER_GROUP = 4
# Share of an engine's slots, or of its prefill rate, that plans use.
PLANNED_SHARE = 0.85
# A split is changed only while the load of its busier role exceeds BUSY_SHARE, and only if that
# lowers the load below IMPROVEMENT_FACTOR times its value: a change makes an engine unavailable for
# seconds.
BUSY_SHARE = 0.95
IMPROVEMENT_FACTOR = 0.85


@dataclass(frozen=True)
class RoleChange:
    """A role change of one engine, with its reason.

    It is `urgent` where no load is known yet, or where there are too few decode engines to
    tolerate the loss of one.
    """

    engine: Instance
    role: Role
    reason: str
    urgent: bool = False


def count_default_decoders(engines: int) -> int:
    """Return the number of decode engines while no load is known."""
    if engines <= 1:
        return engines
    return max(find_min_decoders(engines), math.ceil(engines * DEFAULT_DECODE_SHARE))


def find_min_decoders(engines: int) -> int:
    """Return the minimum number of decode engines."""
    return MIN_DECODERS if engines >= MIN_ENGINES_PER_GROUP else 1


def measure_split_load(engines: Sequence[Instance], decoders: int, demand: Demand) -> float:
    """Return the load of the busier role; 1 is all planned capacity."""
    prefill_engines = len(engines) - decoders
    slots = sum(item.record.slots for item in engines) / len(engines)
    mean_read_rate = sum(item.read_rate for item in engines) / len(engines)
    read_rate = prefill_engines * mean_read_rate * PLANNED_SHARE
    # Prompts beyond the prefill capacity hold no decode slots.
    decode = demand.count_slots(read_rate) / max(1e-9, decoders * slots * PLANNED_SHARE)
    return max(decode, demand.read_tokens / max(1e-9, read_rate))


def find_best_decode_count(
    engines: Sequence[Instance], current: int, demand: Demand, minimum: int | None = None
) -> int:
    """Return the best number of decode engines; `current` where no change is worth its cost.

    `minimum` defaults to that for the number of engines.
    """
    engine_count = len(engines)
    minimum = find_min_decoders(engine_count) if minimum is None else minimum
    if demand == Demand():
        return max(minimum, count_default_decoders(engine_count))
    current_load = (
        measure_split_load(engines, current, demand) if 0 < current < engine_count else math.inf
    )
    choices = range(minimum, engine_count)
    if not choices:
        return current
    best = min(choices, key=lambda count: (measure_split_load(engines, count, demand), count))
    best_load = measure_split_load(engines, best, demand)
    if current < minimum or current_load == math.inf:
        return best
    return (
        best
        if current_load > BUSY_SHARE and best_load < current_load * IMPROVEMENT_FACTOR
        else current
    )


def plan_change(
    engines: Sequence[Instance],
    pending: Mapping[str, Role],
    demand: Demand,
    broken: Collection[str] = (),
) -> RoleChange | None:
    """Return the next role change; None if there is none.

    `pending` holds ordered roles that engines may not report yet; they count as done, and these
    engines get no other order. Engines that are `broken` get none either and add no capacity.
    Broken decode engines still count towards the minimum number: most recover before another
    engine could take their role.
    """

    def role_of(item: Instance) -> Role:
        return pending.get(item.name, item.role)

    broken_decoders = [
        item for item in engines if item.name in broken and role_of(item) is Role.DECODE
    ]
    engines = [item for item in engines if item.name not in broken]
    decoders = [item for item in engines if role_of(item) is Role.DECODE]
    prefill_engines = [item for item in engines if role_of(item) is Role.PREFILL]
    if not engines:
        return None
    unknown = demand == Demand()
    # Open requests reflect long answers sooner than learned hold times, which are updated only
    # when answers end.
    open_requests = sum(item.total.requests for item in decoders)
    demand = replace(demand, decode_slots=max(demand.decode_slots, open_requests))
    minimum = max(1, find_min_decoders(len(engines) + len(broken_decoders)) - len(broken_decoders))
    # Keeps enough decode engines for the open requests, regardless of the prefill load.
    slots = sum(item.record.slots for item in engines) / len(engines)
    minimum = max(minimum, min(len(decoders), math.ceil(open_requests / (slots * PLANNED_SHARE))))
    wanted = find_best_decode_count(engines, len(decoders), demand, minimum)
    reason = (
        f"{len(decoders)} of {len(engines)} decode, {wanted} wanted, "
        f"{demand.read_tokens:.0f} tokens/s and {demand.decode_slots:.0f} slots offered"
    )
    if len(decoders) > wanted:
        return _choose_engine(decoders, decoders, pending, Role.PREFILL, reason, urgent=unknown)
    if len(decoders) < wanted and len(prefill_engines) > 1:
        urgent = unknown or len(decoders) < find_min_decoders(len(engines))
        return _choose_engine(
            prefill_engines, decoders, pending, Role.DECODE, reason, urgent=urgent
        )
    return None


def _choose_engine(
    group: Sequence[Instance],
    decoders: Sequence[Instance],
    excluded: Collection[str],
    role: Role,
    reason: str,
    urgent: bool,
) -> RoleChange | None:
    allowed = [item for item in group if item.name not in excluded]
    if not allowed:
        return None
    # A broken stream continues only at a decode engine of its software version.
    decode_builds = [item.record.build for item in decoders]
    preference = 1 if role is Role.PREFILL else -1
    # Takes the engine from the zone that has most of its role, to keep zones balanced.
    zones = [item.record.zone for item in group]
    chosen = max(
        allowed,
        key=lambda item: (
            preference * decode_builds.count(item.record.build),
            zones.count(item.record.zone),
            -item.total.requests,
            item.name,
        ),
    )
    return RoleChange(chosen, role, reason, urgent)
