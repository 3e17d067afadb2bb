"""Requests that found no room and wait: urgent first, then the earliest deadline.

A request waits only while it can still be answered in time. The moment that it cannot, it
gets its refusal; it is never held back to keep its caller quiet.
"""

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.entry.requests import Terms
from swifttrestle.internal.policy.admission import Admission, Decision
from swifttrestle.internal.policy.routing import URGENT, Candidate, RequestEstimate

LOOK_AGAIN_SECONDS = 0.05
DECIDE_AGAIN_SECONDS = 1.0
BACKGROUND_SLACK = 3.0
Find = Callable[[], list[Candidate]]
Take = Callable[[tuple[Candidate, ...]], bool]


@dataclass(frozen=True, order=True)
class QueueEntry:
    """A request's entry: rank, then deadline, then order of arrival."""

    rank: int
    due: float
    number: int


@dataclass(frozen=True)
class AdmissionRequest:
    """What a request that needs room brings along.

    `find` returns the candidates of this moment, `take` counts the request on one of the
    roomy ones or returns False, and `limit` is the most requests that may wait before it.
    """

    terms: Terms
    work: RequestEstimate
    admission: Admission
    limit: int
    find: Find
    take: Take


class BlockingAdmissionQueue:
    """All requests of one entry that wait for room, one queue a group of upstreams."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._changed = threading.Condition()
        self._entries: dict[str, list[QueueEntry]] = {}
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Requests that wait now."""
        return sum(len(entries) for entries in self._entries.values())

    def notify(self) -> None:
        """Room may have come free."""
        with self._changed:
            self._changed.notify_all()

    def admit(self, group: str, request: AdmissionRequest) -> None:
        """Return once the request has taken one of the roomy candidates; raise RefusedError."""
        terms = request.terms
        slack = BACKGROUND_SLACK if terms.priority == "background" else 1.0
        due = terms.started + terms.deadline * slack
        rank = 0 if terms.priority == URGENT else 1
        entry = QueueEntry(rank, due, next(self._numbers))
        with self._changed:
            entries = self._entries.setdefault(group, [])
            entries.append(entry)
            entries.sort()
            try:
                self._wait(entries, entry, request)
            finally:
                entries.remove(entry)
                self._changed.notify_all()

    def _wait(
        self, entries: list[QueueEntry], entry: QueueEntry, request: AdmissionRequest
    ) -> None:
        decided_at = float("-inf")
        while True:
            now = self._clock.now()
            left = request.terms.left(now)
            if left <= 0:
                raise RefusedError(Code.DEADLINE_PASSED, "the deadline passed in the queue")
            ahead = entries.index(entry)
            # The first is decided on at each look; the rest now and then, since each
            # decision costs a look at every upstream and none of them could go.
            if not ahead or now - decided_at >= DECIDE_AGAIN_SECONDS:
                decided_at = now
                candidates = request.find()
                result = request.admission.decide(
                    candidates, request.work, left, ahead, request.limit
                )
                if result.decision is Decision.GO and request.take(result.available):
                    return
                if result.decision is Decision.REFUSE:
                    _refuse(candidates, ahead, request.limit, result.retry_after)
            self._changed.wait(min(left, LOOK_AGAIN_SECONDS))


def _refuse(candidates: list[Candidate], ahead: int, limit: int, retry_after: float) -> None:
    if not candidates:
        raise RefusedError(Code.NO_UPSTREAM, "no upstream can take this now", retry_after)
    if ahead >= limit:
        raise RefusedError(Code.OVERLOADED, f"{ahead} requests wait already", retry_after)
    raise RefusedError(
        Code.DEADLINE_UNREACHABLE, "the answer would come after the deadline", retry_after
    )
