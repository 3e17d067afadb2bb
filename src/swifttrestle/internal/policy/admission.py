"""Admission control: decides whether a request is sent, queued or refused.

Each upstream reserves a share of its slots for urgent requests, so that bursts of other traffic
do not delay them.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from swifttrestle.internal.policy.routing import URGENT, Candidate, RequestEstimate, predict_finish

# Urgent requests may exceed an upstream's slots by this factor.
URGENT_SLOT_FACTOR = 1.5
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class Decision(Enum):
    """What to do with a request."""

    GO = "go"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True)
class AdmissionResult:
    """A decision, the candidates with a free slot, and the seconds until one is expected."""

    decision: Decision
    available: tuple[Candidate, ...]
    retry_after: float


class Admission(ABC):
    """Decides on requests by the current state of the candidates."""

    @abstractmethod
    def decide(
        self,
        candidates: Sequence[Candidate],
        work: RequestEstimate,
        seconds_left: float,
        queued_ahead: int,
        queue_limit: int,
    ) -> AdmissionResult:
        """Decide on one request.

        `seconds_left` is the seconds to its deadline, `queued_ahead` the number of requests queued
        before it, and `queue_limit` the maximum queue length.
        """


class AdmitAll(Admission):
    """Baseline: admits every request regardless of load."""

    def decide(
        self,
        candidates: Sequence[Candidate],
        work: RequestEstimate,
        seconds_left: float,
        queued_ahead: int,
        queue_limit: int,
    ) -> AdmissionResult:
        """Admit the request if there is any candidate."""
        decision = Decision.GO if candidates else Decision.REFUSE
        return AdmissionResult(decision, tuple(candidates), MIN_RETRY_AFTER_SECONDS)


class DeadlineAdmission(Admission):
    """Admits requests that are predicted to finish in time; refuses the others immediately."""

    def __init__(self, urgent_reserve: float) -> None:
        """Reserve a share of each upstream's slots for urgent requests."""
        self._urgent_reserve = urgent_reserve

    def decide(
        self,
        candidates: Sequence[Candidate],
        work: RequestEstimate,
        seconds_left: float,
        queued_ahead: int,
        queue_limit: int,
    ) -> AdmissionResult:
        """Decide by free slots, predicted finish time and queue length."""
        if not candidates:
            return AdmissionResult(Decision.REFUSE, (), MIN_RETRY_AFTER_SECONDS)
        in_time = [c for c in candidates if predict_finish(c, work) <= seconds_left]
        available = tuple(c for c in in_time if self.has_free_slot(c, work.priority))
        if available and not queued_ahead:
            return AdmissionResult(Decision.GO, available, 0.0)
        wait = self._predict_wait(candidates, work, queued_ahead)
        fastest = min(predict_finish(c, work) for c in candidates)
        if queued_ahead >= queue_limit or wait + fastest > seconds_left:
            return AdmissionResult(Decision.REFUSE, (), self._clamp_retry_after(wait))
        return AdmissionResult(Decision.WAIT, available, self._clamp_retry_after(wait))

    def has_free_slot(self, candidate: Candidate, priority: str) -> bool:
        """Return whether an upstream has a slot for one more request of a priority."""
        if priority == URGENT:
            return candidate.inflight < candidate.slots * URGENT_SLOT_FACTOR
        return candidate.inflight < max(1.0, candidate.slots * (1 - self._urgent_reserve))

    def _predict_wait(
        self, candidates: Sequence[Candidate], work: RequestEstimate, queued_ahead: int
    ) -> float:
        """Return the seconds until a request behind `queued_ahead` others gets a slot."""
        # Requests a second that all upstreams together complete, if all are like this one.
        completions_per_second = sum(
            c.slots / max(predict_finish(c, work), 0.001) for c in candidates
        )
        excess_requests = sum(
            max(0.0, c.inflight - c.slots * (1 - self._urgent_reserve)) for c in candidates
        )
        return (queued_ahead + excess_requests) / completions_per_second

    def _clamp_retry_after(self, seconds: float) -> float:
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
