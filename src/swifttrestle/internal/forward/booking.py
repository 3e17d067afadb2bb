"""Books engines for requests: one to read the prompt and one to make the tokens."""

import asyncio
import math
from abc import ABC, abstractmethod
from collections import defaultdict
from dataclasses import replace

from swifttrestle.internal.forward.finding import EngineFinder
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.forward.turns import TurnPredictor
from swifttrestle.internal.policy.queueing import AdmissionQueue
from swifttrestle.internal.state.bookings import Booking, BookingRequest, NoCapacity, Outcome, Stage
from swifttrestle.internal.state.fleet import Instance, OpenWork

# Share of the longest wait for a reading in time that a late request may have at an engine: the
# engine's queue stays short for those that can be in time.
LATE_READ_SHARE = 0.1


class Booker(ABC):
    """Finds engines for requests and is told how each was used."""

    @abstractmethod
    async def book(self, request: BookingRequest) -> Booking | NoCapacity:
        """Return the engines of a request, or NoRoom once its longest wait is over."""

    @abstractmethod
    def end(self, booking: Booking, stage: Stage, outcome: Outcome, seconds: float) -> None:
        """End one stage of a booking, of which each has both, after so many seconds."""

    @abstractmethod
    def serve_queues(self) -> None:
        """Look at the waiting requests; called when room may have come."""


class LocalBooker(Booker):
    """Books by this host's own knowledge of open work."""

    def __init__(self, parts: GatewayState) -> None:
        """Use the host's shared parts."""
        self._state = parts
        self._finder = EngineFinder(parts)
        self._turns = TurnPredictor(parts)
        # Short prompts wait for a decoding engine only, and so not behind long ones.
        self._queues: dict[tuple[str, bool], AdmissionQueue[Booking]] = defaultdict(AdmissionQueue)
        # Requests that cannot be in time any more, served while none of the others waits.
        self._late: dict[tuple[str, bool], AdmissionQueue[Booking]] = defaultdict(AdmissionQueue)

    def serve_queues(self) -> None:
        """Give engines to waiters."""
        for queue in (*self._queues.values(), *self._late.values()):
            queue.serve()

    async def book(self, request: BookingRequest) -> Booking | NoCapacity:
        """Book at once, or as soon as engines have room."""
        began = _now()
        kind = request.service, self._finder.is_short(request)
        queue = self._queues[kind]
        longest = max(0.0, min(request.longest_wait, request.left))
        waiting = len(queue)
        ahead = queue.count_before(request.priority, began + longest)
        if ahead and self._turns.predict_in_time(request, ahead) > longest:
            longest = 0.0
        booking = await queue.wait(
            lambda: self._finder.find(request, _now() - began),
            self.release,
            request.priority,
            began + longest,
            longest,
        )
        if booking is None:
            booking = await self._wait_late(kind, request, began)
        if booking is not None:
            return booking
        return NoCapacity(waiting, self._turns.predict_soonest(request.service))

    async def _wait_late(
        self, kind: tuple[str, bool], request: BookingRequest, began: float
    ) -> Booking | None:
        """Wait for what requests in time leave; None at once where that comes too late."""
        longest = min(request.max_wait, request.left) - (_now() - began)
        queue = self._late[kind]
        if longest <= 0 or self._turns.predict_late(request, len(queue) + 1) > longest:
            return None
        return await queue.wait(
            lambda: (
                None if len(self._queues[kind]) else self._finder.find(self._make_late(request))
            ),
            self.release,
            request.priority,
            began + request.max_wait,
            longest,
        )

    def _make_late(self, request: BookingRequest) -> BookingRequest:
        """Return the request with the wait at an engine that leaves it to others."""
        longest = request.longest_read_wait * LATE_READ_SHARE
        return replace(request, longest_read_wait=longest, latest_read=math.inf)

    def book_now(self, request: BookingRequest) -> Booking | None:
        """Book if there is room that no waiting request is to have, else return None."""
        queue = self._queues[request.service, self._finder.is_short(request)]
        return queue.take(lambda: self._finder.find(request), request.priority)

    def end(self, booking: Booking, stage: Stage, outcome: Outcome, seconds: float) -> None:
        """Take an engine's work off, and learn its speed from a prompt that it has read."""
        if stage is Stage.READ:
            if outcome is Outcome.DONE:
                self._state.note_prompt(booking.reader, booking.parts, read=True)
                if not booking.direct:
                    booking.reader.update_read_rate(booking.ahead, seconds - booking.fetch_seconds)
            else:
                booking.reader.cache.forget(booking.unread)
            self._release(booking.reader, OpenWork(booking.tokens, 0 if booking.direct else 1))
        else:
            if outcome is Outcome.DONE and not booking.direct:
                # It has fetched what the reader read, and keeps that like its own.
                self._state.note_prompt(booking.decoder, booking.parts, read=True)
            self._release(booking.decoder, OpenWork(0, 1))

    def release(self, booking: Booking) -> None:
        """Undo a booking that nobody will use."""
        self.end(booking, Stage.READ, Outcome.CANCELLED, 0.0)
        self.end(booking, Stage.DECODE, Outcome.CANCELLED, 0.0)

    def _release(self, engine: Instance, work: OpenWork) -> None:
        engine.own = engine.own.minus(work)
        self.serve_queues()


def _now() -> float:
    return asyncio.get_running_loop().time()
