"""Booking where many hosts share engines: one host schedules the engines of each zone.

Open work that hosts report to each other is as old as the pause between two reports, and
that pause grows with their number. From some number of hosts on, more prompts are sent to
an engine within one pause than it reads in that time. The hosts of an availability zone
then ask one of themselves, the scheduler, which books for all of them and so knows what is
open. Every host finds the same scheduler by a hash over those that live; it keeps nothing
that must last, so the next one takes over as soon as the first is silent.

A host that gets no answer books by its own knowledge, as a small fleet does.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from swifttrestle.errors import FrameError
from swifttrestle.internal.forward.booking import Booker, LocalBooker
from swifttrestle.internal.forward.parts import Parts
from swifttrestle.internal.lines import log_decision
from swifttrestle.internal.policy.scheduling import (
    find_group,
    find_scheduler,
    is_large,
    list_schedulers,
)
from swifttrestle.internal.protocol.bookings import (
    Ask,
    End,
    Grant,
    Message,
    Refuse,
    Wait,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.state.bookings import (
    Booking,
    BookingRequest,
    NoRoom,
    Outcome,
    Stage,
    Ticket,
)
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket

# Seconds in which a scheduler must answer, with engines or with the word that the request
# waits: some round trips between availability zones, and what two hosts' links may hold up
# behind the bodies of requests.
ANSWER_SECONDS = 0.05
# Seconds for which a scheduler that did not answer is not asked.
SILENT_SECONDS = 0.5
# Seconds beyond the longest wait after which a waiting request is given up here as well.
GRACE_SECONDS = 0.03
# Seconds after a request's deadline at which its booking ends where nothing was heard: the
# datagram that gave it back may be lost.
EXPIRY_SECONDS = 0.5
# Seconds after which a prompt counts as read where nothing was heard.
LONGEST_READ_SECONDS = 2.0
# Seconds for which a choice of the scheduler is kept: it costs half a millisecond at 790 hosts,
# and one that is gone shows by its silence.
CHOICE_SECONDS = 0.2
# Bits of the number at which a host starts to count its bookings.
NUMBER_BITS = 40
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


class SharedBooker(Booker):
    """Asks the scheduler of this host's zone, and schedules for others where it is the one."""

    def __init__(
        self,
        local: LocalBooker,
        parts: Parts,
        socket: PeerSocket,
        host: str,
        list_members: Callable[[], Sequence[Member]],
    ) -> None:
        """Book by `local` wherever no other host schedules."""
        self._local = local
        self._parts = parts
        self._socket = socket
        self._host = host
        self._list_members = list_members
        # A host that starts anew must not meet the numbers of its former life.
        self._numbers = itertools.count(parts.rng.getrandbits(NUMBER_BITS))
        self._asked: dict[int, asyncio.Queue[Message]] = {}
        self._silent_until: dict[str, float] = {}
        self._schedulers: dict[str, tuple[float, Member | None]] = {}
        self._kept: dict[Ticket, _Kept] = {}
        self._serving: dict[Ticket, asyncio.Task[None]] = {}
        socket.receive(DatagramKind.BOOKING, self._receive)

    def serve_queues(self) -> None:
        """Look at the waiting requests."""
        self._local.serve_queues()

    async def book(self, request: BookingRequest) -> Booking | NoRoom:
        """Book by the scheduler, or by this host's own knowledge where that is silent."""
        scheduler = self._find_scheduler(request)
        if scheduler is None:
            return await self._local.book(request)
        began = _now()
        number = next(self._numbers)
        answers: asyncio.Queue[Message] = asyncio.Queue()
        self._asked[number] = answers
        booking: Booking | None = None
        answered = False
        try:
            self._send(scheduler.ip, Ask(number, self._exclude_broken(request)))
            found = await self._await_answer(scheduler, answers, request)
            answered = True
            if isinstance(found, Booking):
                booking = found
        except TimeoutError:
            found = None
        finally:
            del self._asked[number]
            if booking is None and not (answered and found is not None):
                # The answer may still be on its way: whatever was booked is not used.
                self._cancel(scheduler, number)
        if found is not None:
            return found
        if not answered:
            self._note_silent(scheduler)
        waited = _now() - began
        longest = max(0.0, request.longest_wait - waited)
        left = max(0.0, request.left - waited)
        return await self._local.book(replace(request, longest_wait=longest, left=left))

    def _exclude_broken(self, request: BookingRequest) -> BookingRequest:
        """Name the engines that this host cannot use now; the scheduler may not know of them."""
        now = _now()
        engines = self._parts.fleet.list_service(request.service)
        names = {
            item.name
            for item in engines
            if self._parts.ejector.is_out(item.name, now) or now < item.refused_until
        }
        if not names or len(names) == len(engines):
            return request
        return replace(request, excluded=request.excluded | names)

    async def _await_answer(
        self, scheduler: Member, answers: "asyncio.Queue[Message]", request: BookingRequest
    ) -> Booking | NoRoom | None:
        """Return the scheduler's answer; None for engines that are not known here."""
        patience = ANSWER_SECONDS
        while True:
            async with asyncio.timeout(patience):
                answer = await answers.get()
            match answer:
                case Wait():
                    patience = request.longest_wait + GRACE_SECONDS
                case Refuse(_, waiting, soonest):
                    return NoRoom(waiting, soonest)
                case Grant():
                    return self._read_grant(scheduler, answer, request)

    def _read_grant(
        self, scheduler: Member, grant: Grant, request: BookingRequest
    ) -> Booking | None:
        reader = self._parts.fleet.instances.get(grant.reader)
        decoder = self._parts.fleet.instances.get(grant.decoder)
        if reader is None or decoder is None:
            log_decision("booking unknown here", reader=grant.reader, decoder=grant.decoder)
            return None
        ticket = Ticket(scheduler.host, grant.number, scheduler.ip)
        return Booking(reader, decoder, request.tokens, grant.ahead, grant.wait, ticket)

    def end(self, booking: Booking, stage: Stage, outcome: Outcome, seconds: float) -> None:
        """Give an engine back, to the scheduler that keeps the booking."""
        if booking.ticket is None:
            self._local.end(booking, stage, outcome, seconds)
            return
        if stage is Stage.READ and outcome is Outcome.DONE:
            booking.reader.learn(booking.ahead, seconds)
        self._send(booking.ticket.ip, End(booking.ticket.number, stage, outcome, seconds))

    def list_other_schedulers(self) -> set[str]:
        """Return the other schedulers of the services that this host schedules engines of."""
        members = self._list_members()
        if not is_large(len(members)):
            return set()
        others: set[str] = set()
        for service in self._parts.fleet.list_engine_services():
            engines = self._parts.fleet.list_service(service)
            schedulers = list_schedulers(members, service, engines)
            if self._host in schedulers:
                others |= schedulers
        return others - {self._host}

    async def run(self) -> None:
        """Drop bookings whose end was never heard of, for as long as the process lives."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self._sweep(_now())

    # As a caller of the scheduler.

    def _find_scheduler(self, request: BookingRequest) -> Member | None:
        """Return the scheduler to ask, or None where this host books by itself."""
        now = _now()
        until, found = self._schedulers.get(request.service, (0.0, None))
        if now >= until:
            found = self._choose_scheduler(request)
            self._schedulers[request.service] = (now + CHOICE_SECONDS, found)
        if found is None or found.host == self._host:
            return None
        return found if now >= self._silent_until.get(found.host, 0.0) else None

    def _choose_scheduler(self, request: BookingRequest) -> Member | None:
        members = self._list_members()
        if not is_large(len(members)):
            return None
        engines = self._parts.fleet.list_service(request.service)
        return find_scheduler(members, request.service, find_group(engines, request.zone))

    def _note_silent(self, scheduler: Member) -> None:
        log_decision("scheduler silent", scheduler=scheduler.host, pause_s=SILENT_SECONDS)
        self._silent_until[scheduler.host] = _now() + SILENT_SECONDS

    def _cancel(self, scheduler: Member, number: int) -> None:
        for stage in Stage:
            self._send(scheduler.ip, End(number, stage, Outcome.CANCELLED, 0.0))

    def _send(self, ip: str, message: Message) -> None:
        self._socket.send(ip, DatagramKind.BOOKING, pack_message(self._host, message))

    # Called by the socket.

    def _receive(self, data: bytes, ip: str) -> None:
        host, message = unpack_message(data)
        match message:
            case Ask():
                self._start_serving(host, ip, message)
            case End():
                self._end_kept(Ticket(host, message.number), message)
            case _:
                waiting = self._asked.get(message.number)
                if waiting is not None:
                    waiting.put_nowait(message)
                elif isinstance(message, Grant):
                    self._send(ip, End(message.number, Stage.READ, Outcome.CANCELLED, 0.0))
                    self._send(ip, End(message.number, Stage.DECODE, Outcome.CANCELLED, 0.0))

    # As the scheduler.

    def _start_serving(self, host: str, ip: str, ask: Ask) -> None:
        ticket = Ticket(host, ask.number)
        if ticket in self._serving or ticket in self._kept:
            raise FrameError(f"booking {ask.number} of {host} was asked for twice")
        booking = self._local.book_now(ask.request)
        if booking is not None:
            self._keep(ticket, ip, ask.request, booking)
            return
        self._send(ip, Wait(ask.number))
        task = asyncio.ensure_future(self._serve(ticket, ip, ask))
        self._serving[ticket] = task
        task.add_done_callback(lambda _: self._serving.pop(ticket, None))

    async def _serve(self, ticket: Ticket, ip: str, ask: Ask) -> None:
        found = await self._local.book(ask.request)
        if isinstance(found, NoRoom):
            self._send(ip, Refuse(ask.number, found.waiting, found.soonest))
            return
        self._keep(ticket, ip, ask.request, found)

    def _keep(self, ticket: Ticket, ip: str, request: BookingRequest, booking: Booking) -> None:
        now = _now()
        decode_until = now + request.left + EXPIRY_SECONDS
        read_until = min(decode_until, now + booking.wait + LONGEST_READ_SECONDS)
        kept = _Kept(booking, ticket.host, read_until, decode_until, reading=not booking.direct)
        self._kept[ticket] = kept
        reader, decoder = booking.reader.name, booking.decoder.name
        self._send(ip, Grant(ticket.number, reader, decoder, booking.ahead, booking.wait))

    def _end_kept(self, ticket: Ticket, end: End) -> None:
        task = self._serving.get(ticket)
        if task is not None:
            task.cancel()
        kept = self._kept.get(ticket)
        if kept is None:
            return
        self._end_stage(kept, end.stage, end.outcome, end.seconds)
        if not kept.reading and not kept.decoding:
            del self._kept[ticket]

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
                self._parts.ejector.note_success(engine.name, _now())
            case Outcome.REFUSED:
                self._parts.note_refusal(engine, _now())
            case Outcome.BROKEN:
                self._parts.note_failure(engine, _now(), "a peer found it broken")
            case Outcome.GONE | Outcome.CANCELLED:
                # That it is gone, the discovery list tells; a wrong word must not drop it.
                pass

    def _sweep(self, now: float) -> None:
        members = {member.host for member in self._list_members()}
        for ticket, kept in list(self._kept.items()):
            lost = kept.host not in members
            if kept.reading and (lost or now > kept.read_until):
                self._end_stage(kept, Stage.READ, Outcome.CANCELLED, 0.0)
            if kept.decoding and (lost or now > kept.decode_until):
                self._end_stage(kept, Stage.DECODE, Outcome.CANCELLED, 0.0)
            if not kept.reading and not kept.decoding:
                del self._kept[ticket]


def _now() -> float:
    return asyncio.get_running_loop().time()
