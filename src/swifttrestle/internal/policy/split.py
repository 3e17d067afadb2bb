"""How many of a service's engines read prompts and how many make tokens.

The start comes from what engines are: reading a prompt takes an engine's whole compute,
while making tokens is shared by a batch, so most engines read. The load then corrects it.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance

# Share of a service's engines that make tokens before any load is known.
FIRST_DECODE_SHARE = 1 / 3
# Engines that make tokens at least, where there are enough: one may be lost at any moment.
LEAST_DECODERS = 2
ENOUGH_ENGINES = 4
# Share of the decoders' slots in use over which one more engine is to make tokens.
BUSY_DECODE = 0.7


@dataclass(frozen=True)
class RoleChange:
    """One engine's change of role, and the figures that decided it."""

    engine: Instance
    role: Role
    reason: str


def count_decoders(engines: int) -> int:
    """Return how many of so many engines make tokens before any load is known."""
    if engines <= 1:
        return engines
    least = LEAST_DECODERS if engines >= ENOUGH_ENGINES else 1
    return max(least, math.ceil(engines * FIRST_DECODE_SHARE))


def plan_change(engines: Sequence[Instance], pending: Mapping[str, Role]) -> RoleChange | None:
    """Return the next change, or None.

    `pending` holds the roles that engines have been ordered to and may not show yet; they
    count as done, and these engines get no other order.
    """

    def role_of(item: Instance) -> Role:
        return pending.get(item.name, item.record.role)

    decoders = [item for item in engines if role_of(item) is Role.DECODE]
    readers = [item for item in engines if role_of(item) is Role.PREFILL]
    wanted = count_decoders(len(engines))
    slots = sum(item.record.slots for item in decoders)
    used = sum(item.total.requests for item in decoders)
    if slots and used > BUSY_DECODE * slots:
        wanted = max(wanted, len(decoders) + 1)
    reason = f"{len(decoders)} of {len(engines)} decode, {wanted} wanted, {used}/{slots} in use"
    if len(decoders) > wanted:
        return _change(decoders, pending, Role.PREFILL, reason)
    if len(decoders) < wanted and len(readers) > 1:
        return _change(readers, pending, Role.DECODE, reason)
    return None


def _change(
    group: Sequence[Instance], pending: Mapping[str, Role], role: Role, reason: str
) -> RoleChange | None:
    allowed = [item for item in group if item.name not in pending]
    if not allowed:
        return None
    # Zones keep their share: the engine leaves the zone that has most of its role.
    zones = [item.record.zone for item in group]
    chosen = max(
        allowed,
        key=lambda item: (zones.count(item.record.zone), -item.total.requests, item.name),
    )
    return RoleChange(chosen, role, reason)
