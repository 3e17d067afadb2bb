"""Whether a request goes now, waits or is refused at once, and when to come back.

Room is looked at on each upstream: a share of its slots is kept for urgent requests, so that
a burst of chat or of long prompts never stands before an alert.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from swifttrestle.internal.policy.routing import URGENT, Candidate, RequestEstimate, predict_finish

URGENT_OVERFLOW = 1.5
LEAST_RETRY_AFTER = 1.0
MOST_RETRY_AFTER = 30.0


class Decision(Enum):
    """What becomes of a request now."""

    GO = "go"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True)
class AdmissionResult:
    """A decision with the candidates that have room, and seconds until room is expected."""

    decision: Decision
    available: tuple[Candidate, ...]
    retry_after: float


class Admission(ABC):
    """Decides on requests by the candidates of this moment."""

    @abstractmethod
    def decide(
        self,
        candidates: Sequence[Candidate],
        work: RequestEstimate,
        left: float,
        ahead: int,
        limit: int,
    ) -> AdmissionResult:
        """Decide on one request.

        `left` is the seconds to its deadline, `ahead` the requests that wait before it, and
        `limit` the most that may wait.
        """


class AdmitAll(Admission):
    """Baseline: everything goes at once, whatever the load."""

    def decide(
        self,
        candidates: Sequence[Candidate],
        work: RequestEstimate,
        left: float,
        ahead: int,
        limit: int,
    ) -> AdmissionResult:
        """Let the request go."""
        decision = Decision.GO if candidates else Decision.REFUSE
        return AdmissionResult(decision, tuple(candidates), LEAST_RETRY_AFTER)


class DeadlineAdmission(Admission):
    """Admits what has room and is predicted to finish in time; refuses at once what cannot."""

    def __init__(self, urgent_reserve: float) -> None:
        """Keep a share of each upstream's slots for urgent requests."""
        self._reserve = urgent_reserve

    def decide(
        self,
        candidates: Sequence[Candidate],
        work: RequestEstimate,
        left: float,
        ahead: int,
        limit: int,
    ) -> AdmissionResult:
        """Judge one request by room, predicted finish and the line before it."""
        if not candidates:
            return AdmissionResult(Decision.REFUSE, (), LEAST_RETRY_AFTER)
        in_time = [c for c in candidates if predict_finish(c, work) <= left]
        available = tuple(c for c in in_time if self.has_room(c, work.priority))
        if available and not ahead:
            return AdmissionResult(Decision.GO, available, 0.0)
        wait = self._predict_wait(candidates, work, ahead)
        fastest = min(predict_finish(c, work) for c in candidates)
        if ahead >= limit or wait + fastest > left:
            return AdmissionResult(Decision.REFUSE, (), self._bound(wait))
        return AdmissionResult(Decision.WAIT, available, self._bound(wait))

    def has_room(self, candidate: Candidate, priority: str) -> bool:
        """Return whether an upstream has room for one more request of a priority."""
        if priority == URGENT:
            return candidate.inflight < candidate.slots * URGENT_OVERFLOW
        return candidate.inflight < max(1.0, candidate.slots * (1 - self._reserve))

    def _predict_wait(
        self, candidates: Sequence[Candidate], work: RequestEstimate, ahead: int
    ) -> float:
        """Return the seconds until a request behind `ahead` others finds room."""
        # Requests of the same shape end at this rate over all upstreams together.
        ends = sum(c.slots / max(predict_finish(c, work), 0.001) for c in candidates)
        over = sum(max(0.0, c.inflight - c.slots * (1 - self._reserve)) for c in candidates)
        return (ahead + over) / ends

    def _bound(self, seconds: float) -> float:
        return min(MOST_RETRY_AFTER, max(LEAST_RETRY_AFTER, seconds))
