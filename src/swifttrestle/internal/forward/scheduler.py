"""The scheduler's side of scheduled bookings: books engines for the other hosts of a zone."""

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

# Seconds after a request's deadline at which its booking expires: the datagram that ends it may be
# lost.
EXPIRY_SECONDS = 0.5
# Seconds after its predicted start at which a prefill expires.
MAX_PREFILL_SECONDS = 2.0
# Seconds between checks for expired bookings.
EXPIRY_INTERVAL_SECONDS = 0.25


@dataclass
class _HostBooking:
    """A booking of another host, with the loop's times at which its stages expire."""

    booking: Booking
    host: str
    prefill_expires_at: float
    decode_expires_at: float
    prefilling: bool = True
    decoding: bool = True


class Scheduler:
    """Books engines for other hosts; the bookings count as this host's own open work."""

    def __init__(
        self,
        local: LocalBooker,
        state: GatewayState,
        send: Callable[[str, Message], None],
        list_members: Callable[[], Sequence[Member]],
    ) -> None:
        """Book through `local`; reply through `send`, which takes an IP and a message."""
        self._local = local
        self._state = state
        self._send = send
        self._list_members = list_members
        self._bookings: dict[BookingReference, _HostBooking] = {}
        self._waiting: dict[BookingReference, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Drop expired bookings until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            self.drop_expired(_now())

    def serve(self, host: str, ip: str, query: BookingQuery) -> None:
        """Reply to a host with booked engines, or with a notice that its request waits.

        Raises FrameError for a duplicate query.
        """
        reference = BookingReference(host, query.number)
        if reference in self._waiting or reference in self._bookings:
            raise FrameError(f"booking {query.number} of host {host} was requested twice")
        booking = self._local.book_now(query.request)
        if booking is not None:
            self._grant(reference, ip, query.request, booking)
            return
        self._send(ip, Wait(query.number))
        task = asyncio.ensure_future(self._serve_waiting(reference, ip, query))
        self._waiting[reference] = task
        task.add_done_callback(lambda _: self._waiting.pop(reference, None))

    async def _serve_waiting(
        self, reference: BookingReference, ip: str, query: BookingQuery
    ) -> None:
        found = await self._local.book(query.request)
        if isinstance(found, NoCapacity):
            self._send(ip, Refuse(query.number, found.waiting, found.next_free_seconds))
            return
        self._grant(reference, ip, query.request, found)

    def _grant(
        self, reference: BookingReference, ip: str, request: BookingRequest, booking: Booking
    ) -> None:
        now = _now()
        decode_expires_at = now + request.remaining_seconds + EXPIRY_SECONDS
        prefill_expires_at = min(decode_expires_at, now + booking.wait + MAX_PREFILL_SECONDS)
        host_booking = _HostBooking(booking, reference.host, prefill_expires_at, decode_expires_at)
        self._bookings[reference] = host_booking
        reader, decoder = booking.reader.name, booking.decoder.name
        grant = Grant(
            reference.number,
            reader,
            decoder,
            booking.tokens_ahead,
            booking.wait,
            booking.tokens,
            booking.source.name if booking.source else "",
            booking.fetch_seconds,
        )
        self._send(ip, grant)

    def end(self, host: str, end: End) -> None:
        """End one stage of a host's booking, or cancel its waiting request."""
        reference = BookingReference(host, end.number)
        task = self._waiting.get(reference)
        if task is not None:
            task.cancel()
        host_booking = self._bookings.get(reference)
        if host_booking is None:
            return
        self._end_stage(host_booking, end.stage, end.outcome, end.seconds)
        if not host_booking.prefilling and not host_booking.decoding:
            del self._bookings[reference]

    def _end_stage(
        self, host_booking: _HostBooking, stage: Stage, outcome: Outcome, seconds: float
    ) -> None:
        if stage is Stage.READ and host_booking.prefilling:
            host_booking.prefilling = False
            self._record_outcome(host_booking.booking.reader, outcome)
            self._local.end(host_booking.booking, stage, outcome, seconds)
        if stage is Stage.DECODE and host_booking.decoding:
            host_booking.decoding = False
            self._record_outcome(host_booking.booking.decoder, outcome)
            self._local.end(host_booking.booking, stage, outcome, seconds)

    def _record_outcome(self, engine: Instance, outcome: Outcome) -> None:
        match outcome:
            case Outcome.DONE:
                self._state.ejector.note_success(engine.name, _now())
            case Outcome.REFUSED:
                self._state.note_refusal(engine, _now())
            case Outcome.BROKEN:
                self._state.note_failure(engine, _now(), "failure reported by a peer")
            case Outcome.GONE | Outcome.CANCELLED:
                # Only the discovery list removes engines: a peer may be wrong.
                pass

    def drop_expired(self, now: float) -> None:
        """Drop expired bookings, and those of hosts that are not listed."""
        members = {member.host for member in self._list_members()}
        for reference, host_booking in list(self._bookings.items()):
            is_unlisted = host_booking.host not in members
            if host_booking.prefilling and (is_unlisted or now > host_booking.prefill_expires_at):
                self._end_stage(host_booking, Stage.READ, Outcome.CANCELLED, 0.0)
            if host_booking.decoding and (is_unlisted or now > host_booking.decode_expires_at):
                self._end_stage(host_booking, Stage.DECODE, Outcome.CANCELLED, 0.0)
            if not host_booking.prefilling and not host_booking.decoding:
                del self._bookings[reference]


def _now() -> float:
    return asyncio.get_running_loop().time()
