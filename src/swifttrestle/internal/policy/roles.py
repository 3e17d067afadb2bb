"""Planning of engines' roles from the mix of waiting prefill and decode work.

A role change takes an engine away for seconds, so a planner must be able to answer that
none is best, and must never act on missing or old reports.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from swifttrestle.resources import Policy

AWAY_SECONDS = 3.0
SMOOTH_SECONDS = 4.0
STALE_SECONDS = 5.0
PREFILL_RATE = 10_000.0
LEAST_BACKLOG = 0.5
BUSY_DECODE = 0.85
IDLE_DECODE = 0.5
PATIENCE_SECONDS = 30.0


@dataclass(frozen=True)
class EngineLoad:
    """One engine's role and load; `at` is the report's time, `changed_at` local time."""

    name: str
    role: str
    waiting_tokens: int
    waiting: int
    decoding: int
    slots: int
    tokens_out: int
    prefilled: int
    at: float
    changed_at: float


@dataclass(frozen=True)
class RoleChange:
    """One engine's change of role and why."""

    engine: str
    role: str
    reason: str


@dataclass(frozen=True)
class Pressure:
    """A pool's work: seconds of waiting prefill, and the share of decode slots in use."""

    backlog: float
    decode: float


class RolePlanner(ABC):
    """Decides on at most one role change at a time for a pool."""

    @abstractmethod
    def plan(self, loads: Sequence[EngineLoad], policy: Policy, now: float) -> RoleChange | None:
        """Return the change to make now, or None; `now` is in local monotonic seconds."""


class FixedRoles(RolePlanner):
    """Baseline: never changes a role."""

    def plan(self, loads: Sequence[EngineLoad], policy: Policy, now: float) -> RoleChange | None:
        """Return None."""
        return None


class ThresholdRoles(RolePlanner):
    """Baseline: follows the mix of the moment, without memory, dwell or cost."""

    def plan(self, loads: Sequence[EngineLoad], policy: Policy, now: float) -> RoleChange | None:
        """Return the change that the pressure of this moment asks for."""
        pressure = measure_pressure(loads)
        if pressure.backlog > LEAST_BACKLOG and pressure.decode < BUSY_DECODE:
            return _find_change(loads, "prefill", policy.role_floor, "prefill waits")
        if pressure.backlog < LEAST_BACKLOG:
            return _find_change(loads, "mixed", policy.role_floor, "no prefill waits")
        return None


class CostAwareRoles(RolePlanner):
    """Changes a role when what it saves outweighs what it costs; used where a policy asks for it.

    The cost of a change is the engine's time away, and of its way back the same again. What
    it saves grows with the smoothed backlog for as long as that has lasted: a swing that is
    over before it has lasted as long as two changes take is not worth following. The
    declared weight sets how many times its cost a change must save.
    """

    def __init__(self) -> None:
        """Start with no memory of the pool."""
        self._smooth = Pressure(0.0, 0.0)
        self._at: float | None = None
        self._reported_at = 0.0
        self._since: dict[str, float] = {}
        self._changed_at = float("-inf")

    def plan(self, loads: Sequence[EngineLoad], policy: Policy, now: float) -> RoleChange | None:
        """Return the change to make now, or None."""
        if not loads or not self._take_reports(loads, now):
            return None
        if now - self._changed_at < policy.role_dwell_seconds / max(1, len(loads)):
            return None
        change = self._find_worthwhile(loads, policy, now)
        if change is not None:
            self._changed_at = now
            self._since.clear()
        return change

    def _take_reports(self, loads: Sequence[EngineLoad], now: float) -> bool:
        """Smooth the pressure; False where reports stand still, so that nothing is changed."""
        newest = max(load.at for load in loads)
        if newest > self._reported_at:
            self._reported_at = newest
            elapsed = 0.0 if self._at is None else now - self._at
            part = min(1.0, elapsed / SMOOTH_SECONDS)
            seen = measure_pressure(loads)
            self._smooth = Pressure(
                self._smooth.backlog + part * (seen.backlog - self._smooth.backlog),
                self._smooth.decode + part * (seen.decode - self._smooth.decode),
            )
            self._at = now
        oldest = min(load.at for load in loads)
        return self._at is not None and now - self._at < STALE_SECONDS > newest - oldest

    def _find_worthwhile(
        self, loads: Sequence[EngineLoad], policy: Policy, now: float
    ) -> RoleChange | None:
        smooth = self._smooth
        weight = policy.role_change_weight
        ready = {load.name for load in loads if now - load.changed_at >= policy.role_dwell_seconds}
        # A change must save its own cost and that of the way back, times what a change weighs.
        wanted = 2 * AWAY_SECONDS * (1 + 4 * weight) / max(1, len(loads))
        if smooth.backlog > LEAST_BACKLOG + wanted and smooth.decode < IDLE_DECODE:
            if self._has_lasted("prefill", now, weight):
                return _find_change(
                    loads, "prefill", policy.role_floor, "prefill has waited", ready
                )
        else:
            self._since.pop("prefill", None)
        if smooth.backlog < LEAST_BACKLOG / 2 and smooth.decode > BUSY_DECODE:
            if self._has_lasted("mixed", now, weight):
                return _find_change(loads, "mixed", policy.role_floor, "decode is short", ready)
        else:
            self._since.pop("mixed", None)
        return None

    def _has_lasted(self, role: str, now: float, weight: float) -> bool:
        since = self._since.setdefault(role, now)
        return now - since >= AWAY_SECONDS + weight * PATIENCE_SECONDS


def measure_pressure(loads: Sequence[EngineLoad]) -> Pressure:
    """Return the pool's pressure by its reports."""
    takers = [load for load in loads if load.role != "decode"]
    backlog = sum(load.waiting_tokens for load in takers) / (PREFILL_RATE * max(1, len(takers)))
    decoders = [load for load in loads if load.role != "prefill"]
    slots = sum(load.slots for load in decoders)
    return Pressure(backlog, sum(load.decoding for load in decoders) / max(1, slots))


def _find_change(
    loads: Sequence[EngineLoad], new: str, floor: int, reason: str, ready: set[str] | None = None
) -> RoleChange | None:
    """Return the change of the least busy ready engine, if the floor allows one."""
    old = "mixed" if new == "prefill" else "prefill"
    decoders = sum(1 for load in loads if load.role != "prefill")
    if new == "prefill" and decoders - 1 < floor:
        return None
    found = [x for x in loads if x.role == old and (ready is None or x.name in ready)]
    if not found:
        return None
    # The least busy one drains soonest.
    chosen = min(found, key=lambda load: (load.decoding + load.waiting, load.name))
    return RoleChange(chosen.name, new, reason)
