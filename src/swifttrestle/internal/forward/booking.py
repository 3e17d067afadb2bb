"""Books engines for requests: one to read the prompt and one to make the tokens."""

import asyncio
import math
from abc import ABC, abstractmethod
from collections import defaultdict
from dataclasses import replace

from swifttrestle.internal.forward.parts import Parts
from swifttrestle.internal.policy.fetching import FetchPlan, list_sources, plan_fetch
from swifttrestle.internal.policy.placement import pick_decoder, pick_reader
from swifttrestle.internal.policy.queueing import AdmissionQueue
from swifttrestle.internal.policy.scheduling import find_group
from swifttrestle.internal.policy.waiting import Backlog, predict_late_turn
from swifttrestle.internal.state.bookings import Booking, BookingRequest, NoRoom, Outcome, Stage
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance, OpenWork

# Share of what is left that a request whose reading was lost may wait again: it is too late
# for an early refusal, so a late answer serves its caller better.
LATE_WAIT_SHARE = 0.3
# A decoding engine reads a prompt itself where that takes no longer than this, in seconds:
# less than the two hops and the copy that another engine's reading costs.
DIRECT_READ_SECONDS = 0.008
# Share of the longest wait for a reading in time that a late request may have at an engine: the
# engine's queue stays short for those that can be in time.
LATE_READ_SHARE = 0.1
# Share of the longest wait for a reading that is allowed at another zone's engine: what is
# known of its open work is older, and its cache of the request's shared parts is colder.
FAR_WAIT_SHARE = 0.5


class Booker(ABC):
    """Finds engines for requests and is told how each was used."""

    @abstractmethod
    async def book(self, request: BookingRequest) -> Booking | NoRoom:
        """Return the engines of a request, or NoRoom once its longest wait is over."""

    @abstractmethod
    def end(self, booking: Booking, stage: Stage, outcome: Outcome, seconds: float) -> None:
        """End one stage of a booking, of which each has both, after so many seconds."""

    @abstractmethod
    def serve_queues(self) -> None:
        """Look at the waiting requests; called when room may have come."""


class LocalBooker(Booker):
    """Books by this host's own knowledge of open work."""

    def __init__(self, parts: Parts) -> None:
        """Use the host's shared parts."""
        self._parts = parts
        # Short prompts wait for a decoding engine only, and so not behind long ones.
        self._queues: dict[tuple[str, bool], AdmissionQueue[Booking]] = defaultdict(AdmissionQueue)
        # Requests that cannot be in time any more, served while none of the others waits.
        self._late: dict[tuple[str, bool], AdmissionQueue[Booking]] = defaultdict(AdmissionQueue)

    def serve_queues(self) -> None:
        """Give engines to waiters."""
        for queue in (*self._queues.values(), *self._late.values()):
            queue.serve()

    async def book(self, request: BookingRequest) -> Booking | NoRoom:
        """Book at once, or as soon as engines have room."""
        began = _now()
        kind = request.service, self.is_short(request)
        queue = self._queues[kind]
        longest = max(0.0, min(request.longest_wait, request.left))
        waiting = len(queue)
        ahead = queue.count_before(request.priority, began + longest)
        if ahead and self._predict_turn(request, ahead) > longest:
            longest = 0.0
        booking = await queue.wait(
            lambda: self.find(request, _now() - began),
            self.release,
            request.priority,
            began + longest,
            longest,
        )
        if booking is None:
            booking = await self._wait_late(kind, request, began)
        if booking is not None:
            return booking
        return NoRoom(waiting, self._predict_soonest(request.service))

    async def _wait_late(
        self, kind: tuple[str, bool], request: BookingRequest, began: float
    ) -> Booking | None:
        """Wait for what requests in time leave; None at once where that comes too late."""
        longest = min(request.patience, request.left) - (_now() - began)
        queue = self._late[kind]
        if longest <= 0 or self._predict_late_turn(request, len(queue) + 1) > longest:
            return None
        return await queue.wait(
            lambda: None if len(self._queues[kind]) else self.find(self._make_late(request)),
            self.release,
            request.priority,
            began + request.patience,
            longest,
        )

    def _make_late(self, request: BookingRequest) -> BookingRequest:
        """Return the request with the wait at an engine that leaves it to others."""
        longest = request.longest_read_wait * LATE_READ_SHARE
        return replace(request, longest_read_wait=longest, latest_read=math.inf)

    def book_now(self, request: BookingRequest) -> Booking | None:
        """Book if there is room that no waiting request is to have, else return None."""
        queue = self._queues[request.service, self.is_short(request)]
        return queue.take(lambda: self.find(request), request.priority)

    def end(self, booking: Booking, stage: Stage, outcome: Outcome, seconds: float) -> None:
        """Take an engine's work off, and learn its speed from a prompt that it has read."""
        if stage is Stage.READ:
            if outcome is Outcome.DONE:
                self._parts.note_prompt(booking.reader, booking.parts, read=True)
                if not booking.direct:
                    booking.reader.learn(booking.ahead, seconds - booking.fetch_seconds)
            else:
                booking.reader.cache.forget(booking.unread)
            self._release(booking.reader, OpenWork(booking.tokens, 0 if booking.direct else 1))
        else:
            if outcome is Outcome.DONE and not booking.direct:
                # It has fetched what the reader read, and keeps that like its own.
                self._parts.note_prompt(booking.decoder, booking.parts, read=True)
            self._release(booking.decoder, OpenWork(0, 1))

    def release(self, booking: Booking) -> None:
        """Undo a booking that nobody will use."""
        self.end(booking, Stage.READ, Outcome.CANCELLED, 0.0)
        self.end(booking, Stage.DECODE, Outcome.CANCELLED, 0.0)

    def find(self, request: BookingRequest, waited: float = 0.0) -> Booking | None:
        """Return engines with room, booked, or None; the request has waited for so long."""
        now = _now()
        engines = self._parts.list_usable(request.service, now)
        decoder = self._pick_decoder(request, engines, request.zone)
        if decoder is None:
            return None
        plan = self._find_plan(request, engines)
        readers = any(item.role is Role.PREFILL for item in engines)
        if not readers or reads_soon(request.tokens, engines):
            return self._take(decoder, decoder, request, plan)
        longest = max(0.0, request.longest_read_wait - waited)
        if request.late:
            longest = (request.left - waited) * LATE_WAIT_SHARE
        request = replace(request, latest_read=request.latest_read - waited)
        reader = self._pick_reader(request, engines, longest, plan)
        if reader is None:
            return None
        if reader.record.role is Role.DECODE:
            return self._take(reader, reader, request, plan)
        decoder = self._pick_decoder(request, engines, reader.record.zone)
        return self._take(reader, decoder, request, plan) if decoder else None

    def _pick_reader(
        self,
        request: BookingRequest,
        engines: list[Instance],
        longest: float,
        plan: FetchPlan,
    ) -> Instance | None:
        """Return a reader of the request's group, or one of another where that is at rest."""
        group = find_group(engines, request.zone)
        near = [item for item in engines if group in ("", item.record.zone)]
        far = [item for item in engines if group not in ("", item.record.zone)]
        for choice, limit in ((near, longest), (far, longest * FAR_WAIT_SHARE)):
            reader = pick_reader(
                choice,
                request.tokens,
                request.affinity,
                request.excluded,
                _now(),
                limit,
                request.parts,
                plan,
                request.latest_read,
            )
            if reader is not None:
                return reader
        return None

    def is_short(self, request: BookingRequest) -> bool:
        """Return whether a decoding engine reads the prompt itself as soon as another would."""
        return reads_soon(request.tokens, self._parts.fleet.list_service(request.service))

    def _predict_soonest(self, service: str) -> float:
        """Return the seconds until the first reader has read all that is open there."""
        engines = self._parts.fleet.list_service(service)
        readers = [item for item in engines if item.role is Role.PREFILL] or engines
        return min((item.predict_wait() for item in readers), default=0.0)

    def _predict_turn(self, request: BookingRequest, ahead: int) -> float:
        """Return the seconds until so many waiting requests like this one have been placed.

        A request that would wait longer than it may is better refused at once: its caller
        then has more time for another try.
        """
        engines = self._parts.list_usable(request.service, _now())
        group = find_group(engines, request.zone)
        paces = [
            item.pace
            for item in engines
            if item.role is Role.PREFILL and group in ("", item.record.zone)
        ]
        tokens = request.tokens * self._parts.demand.read_share(request.service)
        return ahead * tokens / sum(paces) if paces else 0.0

    def _predict_late_turn(self, request: BookingRequest, waiting: int) -> float:
        """Return the seconds until the last of so many late requests is read."""
        service, now = request.service, _now()
        readers = [
            item
            for item in self._parts.list_usable(service, now)
            if item.role is Role.PREFILL and now >= item.role_changing_until
        ]
        if not readers:
            return math.inf
        share = self._parts.demand.read_share(service)
        return predict_late_turn(
            Backlog(
                tokens=waiting * request.tokens * share,
                capacity=sum(item.pace for item in readers),
                offered=self._parts.demand.total(service, now).read_tokens * share,
                share=1.0 / max(1, self._parts.budgets.hosts),
                open=sum(item.total.tokens for item in readers),
            )
        )

    def _pick_decoder(
        self, request: BookingRequest, engines: list[Instance], near: str
    ) -> Instance | None:
        return pick_decoder(engines, near, request.excluded, _now(), urgent=request.urgent)

    def _take(
        self, reader: Instance, decoder: Instance, request: BookingRequest, plan: FetchPlan
    ) -> Booking:
        wait = reader.predict_wait()
        kept = reader.cache.count(request.parts)
        fetch = plan(reader, kept)
        tokens = max(0, request.tokens - kept - (fetch.tokens if fetch else 0))
        unread = reader.cache.list_unread(request.parts)
        self._parts.note_prompt(reader, request.parts)
        for engine in (reader, decoder):
            self._parts.ejector.note_use(engine.name, _now())
        decoder.own = decoder.own.plus(OpenWork(0, 1))
        reader.own = reader.own.plus(OpenWork(tokens, 0 if reader is decoder else 1))
        return Booking(
            reader,
            decoder,
            tokens,
            reader.total.tokens,
            wait,
            parts=request.parts,
            unread=unread,
            source=fetch.source if fetch else None,
            fetch_seconds=fetch.seconds if fetch else 0.0,
        )

    def _find_plan(self, request: BookingRequest, engines: list[Instance]) -> FetchPlan:
        """Return how any of the engines would fetch what others have read of the prompt."""
        sources = list_sources(engines, request.parts, request.excluded)
        traits = self._parts.fleet.traits.get(request.service)
        return lambda reader, kept: plan_fetch(reader, kept, sources, traits)

    def _release(self, engine: Instance, work: OpenWork) -> None:
        engine.own = engine.own.minus(work)
        self.serve_queues()


def reads_soon(tokens: int, engines: list[Instance]) -> bool:
    """Return whether a decoding engine reads so many tokens as soon as another would."""
    paces = [item.pace for item in engines if item.role is Role.DECODE]
    return bool(paces) and tokens / max(paces) <= DIRECT_READ_SECONDS


def _now() -> float:
    return asyncio.get_running_loop().time()
