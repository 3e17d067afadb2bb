"""Books engines for requests: one for prefill and one for decode."""

import asyncio
import math
from abc import ABC, abstractmethod
from collections import defaultdict
from dataclasses import replace

from swifttrestle.internal.forward.engine_finder import EngineFinder
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.forward.wait_prediction import WaitPredictor
from swifttrestle.internal.policy.queueing import AdmissionQueue
from swifttrestle.internal.state.bookings import Booking, BookingRequest, NoCapacity, Outcome, Stage
from swifttrestle.internal.state.fleet import Instance, OpenWork

# Maximum wait of a late request at a prefill engine, as a share of that of one in time: keeps the
# engines' queues short for the others.
LATE_PREFILL_WAIT_SHARE = 0.1


class Booker(ABC):
    """Books engines for requests and releases them."""

    @abstractmethod
    async def book(self, request: BookingRequest) -> Booking | NoCapacity:
        """Return the engines booked for a request, or NoCapacity after its maximum wait."""

    @abstractmethod
    def end(self, booking: Booking, stage: Stage, outcome: Outcome, seconds: float) -> None:
        """End one stage of a booking, which took `seconds`; each booking has both stages."""

    @abstractmethod
    def serve_queues(self) -> None:
        """Book engines for waiting requests; called when a slot may have become free."""


class LocalBooker(Booker):
    """Books engines by the open work that this host knows of."""

    def __init__(self, state: GatewayState) -> None:
        """Use the host's shared state."""
        self._state = state
        self._finder = EngineFinder(state)
        self._wait_predictor = WaitPredictor(state)
        # Short prompts need only a decode engine, so they do not wait behind long ones.
        self._queues: dict[tuple[str, bool], AdmissionQueue[Booking]] = defaultdict(AdmissionQueue)
        # Requests that cannot meet their latency objective; served while no other request waits.
        self._late_queues: dict[tuple[str, bool], AdmissionQueue[Booking]] = defaultdict(
            AdmissionQueue
        )

    def serve_queues(self) -> None:
        """Book engines for waiting requests."""
        for queue in (*self._queues.values(), *self._late_queues.values()):
            queue.serve()

    async def book(self, request: BookingRequest) -> Booking | NoCapacity:
        """Book engines at once, or as soon as some are free."""
        started_at = _now()
        queue_key = request.service, self._finder.is_short(request)
        queue = self._queues[queue_key]
        longest_wait = max(0.0, min(request.longest_wait, request.remaining_seconds))
        waiting = len(queue)
        requests_ahead = queue.count_before(request.priority, started_at + longest_wait)
        if (
            requests_ahead
            and self._wait_predictor.predict_queue_wait(request, requests_ahead) > longest_wait
        ):
            longest_wait = 0.0
        booking = await queue.wait(
            lambda: self._finder.find(request, _now() - started_at),
            self.release,
            request.priority,
            started_at + longest_wait,
            longest_wait,
        )
        if booking is None:
            booking = await self._wait_late(queue_key, request, started_at)
        if booking is not None:
            return booking
        return NoCapacity(waiting, self._wait_predictor.predict_first_free(request.service))

    async def _wait_late(
        self, queue_key: tuple[str, bool], request: BookingRequest, started_at: float
    ) -> Booking | None:
        """Wait for capacity that requests in time do not need; return None if it comes too late."""
        longest_wait = min(request.max_wait, request.remaining_seconds) - (_now() - started_at)
        queue = self._late_queues[queue_key]
        if (
            longest_wait <= 0
            or self._wait_predictor.predict_late_wait(request, len(queue) + 1) > longest_wait
        ):
            return None
        return await queue.wait(
            lambda: (
                None
                if len(self._queues[queue_key])
                else self._finder.find(self._shorten_prefill_wait(request))
            ),
            self.release,
            request.priority,
            started_at + request.max_wait,
            longest_wait,
        )

    def _shorten_prefill_wait(self, request: BookingRequest) -> BookingRequest:
        """Return the request with the shorter wait for prefill that late requests are allowed."""
        longest_wait = request.max_prefill_wait * LATE_PREFILL_WAIT_SHARE
        return replace(request, max_prefill_wait=longest_wait, latest_read=math.inf)

    def book_now(self, request: BookingRequest) -> Booking | None:
        """Book engines if some are free and no waiting request has precedence, else return None."""
        queue = self._queues[request.service, self._finder.is_short(request)]
        return queue.take(lambda: self._finder.find(request), request.priority)

    def end(self, booking: Booking, stage: Stage, outcome: Outcome, seconds: float) -> None:
        """Release an engine, and learn its prefill rate from a prompt that it has prefilled."""
        if stage is Stage.READ:
            if outcome is Outcome.DONE:
                self._state.note_prompt(booking.reader, booking.parts, read=True)
                if not booking.direct:
                    booking.reader.update_read_rate(
                        booking.tokens_ahead, seconds - booking.fetch_seconds
                    )
            else:
                booking.reader.cache.drop(booking.unread)
            self._release(booking.reader, OpenWork(booking.tokens, 0 if booking.direct else 1))
        else:
            if outcome is Outcome.DONE and not booking.direct:
                # The decode engine has fetched the prompt's KV cache and caches it as well.
                self._state.note_prompt(booking.decoder, booking.parts, read=True)
            self._release(booking.decoder, OpenWork(0, 1))

    def release(self, booking: Booking) -> None:
        """Release a booking that is not used."""
        self.end(booking, Stage.READ, Outcome.CANCELLED, 0.0)
        self.end(booking, Stage.DECODE, Outcome.CANCELLED, 0.0)

    def _release(self, engine: Instance, work: OpenWork) -> None:
        engine.own = engine.own.minus(work)
        self.serve_queues()


def _now() -> float:
    return asyncio.get_running_loop().time()
