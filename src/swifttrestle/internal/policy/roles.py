"""Plans role changes of a pool's engines from its prefill and decode load.

A role change makes an engine unavailable for seconds, so planners may decide to change nothing,
and never act on missing or outdated reports.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from swifttrestle.resources import Policy

# Seconds for which an engine that changes its role is unavailable.
ROLE_CHANGE_SECONDS = 3.0
# Time constant of the smoothed load.
SMOOTHING_SECONDS = 4.0
# Age from which reports are not acted on.
STALE_SECONDS = 5.0
# Assumed prefill rate of an engine, in tokens a second.
PREFILL_TOKENS_PER_SECOND = 10_000.0
# Seconds of queued prefill work below which no engine is changed to prefill.
MIN_BACKLOG_SECONDS = 0.5
# Shares of decode slots in use above and below which decode counts as busy and as idle.
BUSY_DECODE_SHARE = 0.85
IDLE_DECODE_SHARE = 0.5
# Extra seconds for which a change must be wanted, at a weight of one.
PERSISTENCE_SECONDS = 30.0


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
    """An engine's new role, and the reason."""

    engine: str
    role: str
    reason: str


@dataclass(frozen=True)
class PoolLoad:
    """A pool's load: seconds of queued prefill work, and the share of decode slots in use."""

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
    """Baseline: follows the current load, without smoothing, dwell time or cost."""

    def plan(self, loads: Sequence[EngineLoad], policy: Policy, now: float) -> RoleChange | None:
        """Return the change that the current load calls for."""
        pool_load = measure_pool_load(loads)
        if pool_load.backlog > MIN_BACKLOG_SECONDS and pool_load.decode < BUSY_DECODE_SHARE:
            return _find_change(loads, "prefill", policy.role_floor, "prefill backlog is high")
        if pool_load.backlog < MIN_BACKLOG_SECONDS:
            return _find_change(loads, "mixed", policy.role_floor, "no prefill backlog")
        return None


class CostAwareRoles(RolePlanner):
    """Changes a role only where that saves more than it costs.

    The cost of a change is the engine's unavailability, twice: for the change and for changing it
    back. The backlog must exceed that cost, multiplied according to the declared weight, and must
    last for some time.
    """

    def __init__(self) -> None:
        """Start without load history."""
        self._smoothed = PoolLoad(0.0, 0.0)
        self._updated_at: float | None = None
        self._reported_at = 0.0
        self._wanted_since: dict[str, float] = {}
        self._changed_at = float("-inf")

    def plan(self, loads: Sequence[EngineLoad], policy: Policy, now: float) -> RoleChange | None:
        """Return the change to make now, or None."""
        if not loads or not self._update_load(loads, now):
            return None
        if now - self._changed_at < policy.role_dwell_seconds / max(1, len(loads)):
            return None
        change = self._find_saving_change(loads, policy, now)
        if change is not None:
            self._changed_at = now
            self._wanted_since.clear()
        return change

    def _update_load(self, loads: Sequence[EngineLoad], now: float) -> bool:
        """Update the smoothed load; return False if reports are missing or outdated."""
        newest = max(load.at for load in loads)
        if newest > self._reported_at:
            self._reported_at = newest
            elapsed = 0.0 if self._updated_at is None else now - self._updated_at
            smoothing_factor = min(1.0, elapsed / SMOOTHING_SECONDS)
            current = measure_pool_load(loads)
            self._smoothed = PoolLoad(
                self._smoothed.backlog
                + smoothing_factor * (current.backlog - self._smoothed.backlog),
                self._smoothed.decode + smoothing_factor * (current.decode - self._smoothed.decode),
            )
            self._updated_at = now
        oldest = min(load.at for load in loads)
        return (
            self._updated_at is not None
            and now - self._updated_at < STALE_SECONDS > newest - oldest
        )

    def _find_saving_change(
        self, loads: Sequence[EngineLoad], policy: Policy, now: float
    ) -> RoleChange | None:
        smoothed = self._smoothed
        weight = policy.role_change_weight
        ready = {load.name for load in loads if now - load.changed_at >= policy.role_dwell_seconds}
        # Twice the cost, for changing back as well.
        cost_seconds = 2 * ROLE_CHANGE_SECONDS * (1 + 4 * weight) / max(1, len(loads))
        if (
            smoothed.backlog > MIN_BACKLOG_SECONDS + cost_seconds
            and smoothed.decode < IDLE_DECODE_SHARE
        ):
            if self._has_lasted("prefill", now, weight):
                return _find_change(
                    loads, "prefill", policy.role_floor, "prefill backlog persists", ready
                )
        else:
            self._wanted_since.pop("prefill", None)
        if smoothed.backlog < MIN_BACKLOG_SECONDS / 2 and smoothed.decode > BUSY_DECODE_SHARE:
            if self._has_lasted("mixed", now, weight):
                return _find_change(
                    loads, "mixed", policy.role_floor, "decode is overloaded", ready
                )
        else:
            self._wanted_since.pop("mixed", None)
        return None

    def _has_lasted(self, role: str, now: float, weight: float) -> bool:
        since = self._wanted_since.setdefault(role, now)
        return now - since >= ROLE_CHANGE_SECONDS + weight * PERSISTENCE_SECONDS


def measure_pool_load(loads: Sequence[EngineLoad]) -> PoolLoad:
    """Return the pool's load by its engines' reports."""
    prefill_engines = [load for load in loads if load.role != "decode"]
    backlog = sum(load.waiting_tokens for load in prefill_engines) / (
        PREFILL_TOKENS_PER_SECOND * max(1, len(prefill_engines))
    )
    decode_engines = [load for load in loads if load.role != "prefill"]
    slots = sum(load.slots for load in decode_engines)
    return PoolLoad(backlog, sum(load.decoding for load in decode_engines) / max(1, slots))


def _find_change(
    loads: Sequence[EngineLoad], new: str, floor: int, reason: str, ready: set[str] | None = None
) -> RoleChange | None:
    """Return the change of the least busy ready engine, unless too few decode engines remain."""
    old = "mixed" if new == "prefill" else "prefill"
    decode_engines = sum(1 for load in loads if load.role != "prefill")
    if new == "prefill" and decode_engines - 1 < floor:
        return None
    found = [x for x in loads if x.role == old and (ready is None or x.name in ready)]
    if not found:
        return None
    # The least busy engine drains soonest.
    chosen = min(found, key=lambda load: (load.decoding + load.waiting, load.name))
    return RoleChange(chosen.name, new, reason)
