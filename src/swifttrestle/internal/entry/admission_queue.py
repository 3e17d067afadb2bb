"""Queue of requests that wait for capacity: urgent ones first, then by deadline.

A request is refused as soon as it can no longer be answered before its deadline.
"""

import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.entry.requests import RequestTerms
from swifttrestle.internal.policy.admission import Admission, Decision
from swifttrestle.internal.policy.routing import URGENT, Candidate, RequestEstimate

POLL_INTERVAL_SECONDS = 0.05
DECISION_INTERVAL_SECONDS = 1.0
# Factor by which the queue lengthens the deadlines of background requests when it sorts.
BACKGROUND_DEADLINE_FACTOR = 3.0
# Share of a planned stop's time in which requests that may outlast the process still wait.
MAX_STOP_WAIT_SHARE = 0.5
# Retry-After, in seconds, of a stopping entry: another one may serve the request at once.
STOPPING_RETRY_SECONDS = 0.0
Find = Callable[[], list[Candidate]]
Take = Callable[[tuple[Candidate, ...]], bool]


@dataclass(frozen=True, order=True)
class QueueEntry:
    """The position of a request, sorted by rank, deadline and order of arrival."""

    rank: int
    due: float
    number: int


@dataclass(frozen=True)
class AdmissionRequest:
    """A request that needs capacity at an upstream.

    `find` returns the current candidates, `take` counts the request on one of those with capacity
    or returns False, and `limit` is the largest number of requests that may wait before it.
    """

    terms: RequestTerms
    work: RequestEstimate
    admission: Admission
    limit: int
    find: Find
    take: Take


@dataclass(frozen=True)
class Stop:
    """The times of the last wait and of the process's end, by the clock of the queue."""

    last_wait: float
    end: float

    def refuses(self, now: float, remaining: float) -> bool:
        """Return whether a request that waits with so many seconds left may outlast the process."""
        return now >= self.last_wait and now + remaining > self.end


class BlockingAdmissionQueue:
    """The waiting requests of one entry, in one queue per group of upstreams."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._entries: dict[str, list[QueueEntry]] = {}
        self._numbers = itertools.count()
        self._stop: Stop | None = None

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return sum(len(entries) for entries in self._entries.values())

    def notify(self) -> None:
        """Wake the waiting requests, since capacity may have become available."""
        with self._changed:
            self._changed.notify_all()

    def stop(self, seconds: float) -> None:
        """Begin a planned stop, after which the process ends within so many seconds."""
        now = self._clock.now()
        with self._changed:
            self._stop = Stop(now + seconds * MAX_STOP_WAIT_SHARE, now + seconds)
            self._changed.notify_all()

    def admit(self, group: str, request: AdmissionRequest) -> None:
        """Wait until the request is counted on a candidate; raise RefusedError."""
        terms = request.terms
        factor = BACKGROUND_DEADLINE_FACTOR if terms.priority == "background" else 1.0
        due = terms.started + terms.deadline * factor
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
            remaining = request.terms.remaining(now)
            if remaining <= 0:
                raise RefusedError(Code.DEADLINE_PASSED, "the deadline passed in the queue")
            if self._stop is not None and self._stop.refuses(now, remaining):
                raise RefusedError(
                    Code.STOPPING, "this entry stops before the answer", STOPPING_RETRY_SECONDS
                )
            ahead = entries.index(entry)
            # Only the first request can be admitted, so it is decided at each wake-up. The others
            # are decided less often, since a decision reads the state of every upstream.
            if not ahead or now - decided_at >= DECISION_INTERVAL_SECONDS:
                decided_at = now
                candidates = request.find()
                result = request.admission.decide(
                    candidates, request.work, remaining, ahead, request.limit
                )
                if result.decision is Decision.GO and request.take(result.available):
                    return
                if result.decision is Decision.REFUSE:
                    _refuse(candidates, ahead, request.limit, result.retry_after)
            self._changed.wait(min(remaining, POLL_INTERVAL_SECONDS))


def _refuse(candidates: list[Candidate], ahead: int, limit: int, retry_after: float) -> None:
    if not candidates:
        raise RefusedError(Code.NO_UPSTREAM, "no upstream can take this request now", retry_after)
    if ahead >= limit:
        raise RefusedError(Code.OVERLOADED, f"{ahead} requests already wait", retry_after)
    raise RefusedError(
        Code.DEADLINE_UNREACHABLE, "the response would come after the deadline", retry_after
    )
