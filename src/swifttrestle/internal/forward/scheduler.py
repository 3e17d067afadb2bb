"""Books engines for the hosts of a zone, and keeps each booking until it is given back."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from swifttrestle.errors import FrameError
from swifttrestle.internal.forward.booking import LocalBooker
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.protocol.bookings import BookingQuery, End, Grant, Message, Refuse, Wait
from swifttrestle.internal.state.bookings import (
    Booking,
    BookingReference,
    BookingRequest,
    NoCapacity,
    Outcome,
    Stage,
)
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.members import Member

# Seconds after a request's deadline at which its booking ends where nothing was heard: the
# datagram that gave it back may be lost.
EXPIRY_SECONDS = 0.5
# Seconds after which a prompt counts as read where nothing was heard.
LONGEST_READ_SECONDS = 2.0
# Seconds between two looks for bookings that have expired.
SWEEP_SECONDS = 0.25


@dataclass
class _Kept:
    """A booking that this host keeps for another one, with the loop's times of its ends."""

    booking: Booking
    host: str
    read_until: float
    decode_until: float
    reading: bool = True
    decoding: bool = True


class Scheduler:
    """This host's part as a scheduler; what it has booked counts as its own open work."""

    def __init__(
        self,
        local: LocalBooker,
        parts: GatewayState,
        send: Callable[[str, Message], None],
        list_members: Callable[[], Sequence[Member]],
    ) -> None:
        """Book by `local`; answer hosts by `send`, which takes an IP and a message."""
        self._local = local
        self._state = parts
        self._send = send
        self._list_members = list_members
        self._kept: dict[BookingReference, _Kept] = {}
        self._serving: dict[BookingReference, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Drop expired bookings for as long as the process lives."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep(_now())

    def serve(self, host: str, ip: str, ask: BookingQuery) -> None:
        """Answer a host with engines, or with the word that its request waits.

        Raises FrameError for a booking that is known already.
        """
        reference = BookingReference(host, ask.number)
        if reference in self._serving or reference in self._kept:
            raise FrameError(f"booking {ask.number} of {host} was asked for twice")
        booking = self._local.book_now(ask.request)
        if booking is not None:
            self._keep(reference, ip, ask.request, booking)
            return
        self._send(ip, Wait(ask.number))
        task = asyncio.ensure_future(self._serve_waiting(reference, ip, ask))
        self._serving[reference] = task
        task.add_done_callback(lambda _: self._serving.pop(reference, None))

    async def _serve_waiting(self, reference: BookingReference, ip: str, ask: BookingQuery) -> None:
        found = await self._local.book(ask.request)
        if isinstance(found, NoCapacity):
            self._send(ip, Refuse(ask.number, found.waiting, found.next_free_seconds))
            return
        self._keep(reference, ip, ask.request, found)

    def _keep(
        self, reference: BookingReference, ip: str, request: BookingRequest, booking: Booking
    ) -> None:
        now = _now()
        decode_until = now + request.left + EXPIRY_SECONDS
        read_until = min(decode_until, now + booking.wait + LONGEST_READ_SECONDS)
        kept = _Kept(booking, reference.host, read_until, decode_until)
        self._kept[reference] = kept
        reader, decoder = booking.reader.name, booking.decoder.name
        grant = Grant(
            reference.number,
            reader,
            decoder,
            booking.ahead,
            booking.wait,
            booking.tokens,
            booking.source.name if booking.source else "",
            booking.fetch_seconds,
        )
        self._send(ip, grant)

    def end(self, host: str, end: End) -> None:
        """Take back an engine of a host's booking, or its waiting request."""
        reference = BookingReference(host, end.number)
        task = self._serving.get(reference)
        if task is not None:
            task.cancel()
        kept = self._kept.get(reference)
        if kept is None:
            return
        self._end_stage(kept, end.stage, end.outcome, end.seconds)
        if not kept.reading and not kept.decoding:
            del self._kept[reference]

    def _end_stage(self, kept: _Kept, stage: Stage, outcome: Outcome, seconds: float) -> None:
        if stage is Stage.READ and kept.reading:
            kept.reading = False
            self._note_outcome(kept.booking.reader, outcome)
            self._local.end(kept.booking, stage, outcome, seconds)
        if stage is Stage.DECODE and kept.decoding:
            kept.decoding = False
            self._note_outcome(kept.booking.decoder, outcome)
            self._local.end(kept.booking, stage, outcome, seconds)

    def _note_outcome(self, engine: Instance, outcome: Outcome) -> None:
        match outcome:
            case Outcome.DONE:
                self._state.ejector.note_success(engine.name, _now())
            case Outcome.REFUSED:
                self._state.note_refusal(engine, _now())
            case Outcome.BROKEN:
                self._state.note_failure(engine, _now(), "a peer found it broken")
            case Outcome.GONE | Outcome.CANCELLED:
                # That it is gone, the discovery list tells; a wrong word must not drop it.
                pass

    def sweep(self, now: float) -> None:
        """Drop the bookings of lost hosts and those whose end was never heard of."""
        members = {member.host for member in self._list_members()}
        for reference, kept in list(self._kept.items()):
            lost = kept.host not in members
            if kept.reading and (lost or now > kept.read_until):
                self._end_stage(kept, Stage.READ, Outcome.CANCELLED, 0.0)
            if kept.decoding and (lost or now > kept.decode_until):
                self._end_stage(kept, Stage.DECODE, Outcome.CANCELLED, 0.0)
            if not kept.reading and not kept.decoding:
                del self._kept[reference]


def _now() -> float:
    return asyncio.get_running_loop().time()
