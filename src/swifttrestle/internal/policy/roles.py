"""Planning of engines' roles from the mix of waiting prefill and decode work.

A role change takes an engine away for seconds, so a planner must be able to answer that
none is best, and must never act on missing or old reports.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from swifttrestle.resources import Policy


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


class RolePlanner(ABC):
    """Decides on at most one role change at a time for a pool."""

    @abstractmethod
    def plan(self, loads: Sequence[EngineLoad], policy: Policy, now: float) -> RoleChange | None:
        """Return the change to make now, or None; `now` is in local monotonic seconds."""


class FixedRoles(RolePlanner):
    """Never changes a role: the baseline that counts no role change."""

    def plan(self, loads: Sequence[EngineLoad], policy: Policy, now: float) -> RoleChange | None:
        """Return None."""
        return None
