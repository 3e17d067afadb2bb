"""The waiting line: requests that found no room, urgent first, then the earliest deadline.

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
from swifttrestle.internal.policy.routing import URGENT, Candidate, Work

LOOK_AGAIN_SECONDS = 0.05
REJUDGE_SECONDS = 1.0
BACKGROUND_SLACK = 3.0
Find = Callable[[], list[Candidate]]
Take = Callable[[tuple[Candidate, ...]], bool]


@dataclass(frozen=True, order=True)
class Place:
    """A request's place: rank, then deadline, then order of arrival."""

    rank: int
    due: float
    number: int


@dataclass(frozen=True)
class Wish:
    """What a request wants of the line.

    `find` returns the candidates of this moment, `take` counts the request on one of the
    roomy ones or returns False, and `limit` is the most requests that may wait before it.
    """

    terms: Terms
    work: Work
    admission: Admission
    limit: int
    find: Find
    take: Take


class WaitingLine:
    """All requests of one entry that wait for room, one line a group of upstreams."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self._clock = clock
        self._changed = threading.Condition()
        self._places: dict[str, list[Place]] = {}
        self._numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Requests that wait now."""
        return sum(len(places) for places in self._places.values())

    def notify(self) -> None:
        """Room may have come free."""
        with self._changed:
            self._changed.notify_all()

    def admit(self, group: str, wish: Wish) -> None:
        """Return once the wish has taken one of the roomy candidates; raise RefusedError."""
        terms = wish.terms
        slack = BACKGROUND_SLACK if terms.priority == "background" else 1.0
        due = terms.started + terms.deadline * slack
        rank = 0 if terms.priority == URGENT else 1
        place = Place(rank, due, next(self._numbers))
        with self._changed:
            places = self._places.setdefault(group, [])
            places.append(place)
            places.sort()
            try:
                self._wait(places, place, wish)
            finally:
                places.remove(place)
                self._changed.notify_all()

    def _wait(self, places: list[Place], place: Place, wish: Wish) -> None:
        judged_at = float("-inf")
        while True:
            now = self._clock.now()
            left = wish.terms.left(now)
            if left <= 0:
                raise RefusedError(Code.DEADLINE_PASSED, "the deadline passed in the line")
            ahead = places.index(place)
            # The first in line is judged at each look; the rest now and then, since each
            # judgement costs a look at every upstream and none of them could go.
            if not ahead or now - judged_at >= REJUDGE_SECONDS:
                judged_at = now
                candidates = wish.find()
                judged = wish.admission.judge(candidates, wish.work, left, ahead, wish.limit)
                if judged.decision is Decision.GO and wish.take(judged.roomy):
                    return
                if judged.decision is Decision.REFUSE:
                    _refuse(candidates, ahead, wish.limit, judged.retry_after)
            self._changed.wait(min(left, LOOK_AGAIN_SECONDS))


def _refuse(candidates: list[Candidate], ahead: int, limit: int, retry_after: float) -> None:
    if not candidates:
        raise RefusedError(Code.NO_UPSTREAM, "no upstream can take this now", retry_after)
    if ahead >= limit:
        raise RefusedError(Code.OVERLOADED, f"{ahead} requests wait already", retry_after)
    raise RefusedError(
        Code.DEADLINE_UNREACHABLE, "the answer would come after the deadline", retry_after
    )
