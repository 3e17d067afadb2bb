"""Booking where many hosts share engines: hosts ask the scheduler of a zone.

Open work that hosts report to each other is as old as the pause between two reports, and
that pause grows with their number. From some number of hosts on, more prompts are sent to
an engine within one pause than it reads in that time. One host of each availability zone, the
scheduler, then books the zone's engines for all hosts and so knows what is open there. A prompt
that shares a long part goes to the scheduler of the zone that keeps it (see `policy.homes`), any
other one to that of its caller's zone. Every host finds the same scheduler by a hash over those
that live; it keeps nothing that must last, so the next one takes over as soon as the first is
silent.

A host that gets no answer asks the zone that is next by the hash, and then books by its own
knowledge, as a small fleet does.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.booking import Booker, LocalBooker
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.forward.scheduler import Scheduler
from swifttrestle.internal.policy.home_zones import count_engines_by_zone, list_home_zones
from swifttrestle.internal.policy.scheduling import (
    find_scheduler,
    is_large_fleet,
    list_schedulers,
)
from swifttrestle.internal.protocol.bookings import (
    BookingQuery,
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
    BookingReference,
    BookingRequest,
    NoCapacity,
    Outcome,
    Stage,
)
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket

# Seconds in which a scheduler must answer, with engines or with the word that the request
# waits: some round trips between availability zones, and what two hosts' links may hold up
# behind the bodies of requests.
ANSWER_SECONDS = 0.05
# Missing answers in a row after which a scheduler is not asked for a while, and that while in
# seconds: a single datagram may be lost, and what a host knows by itself is old.
SILENCES_TO_PAUSE = 2
SILENT_SECONDS = 0.5
# Seconds beyond the longest wait after which a waiting request is given up here as well.
GRACE_SECONDS = 0.05
# Seconds for which the homes of a service are kept: 11 services of 900 engines then cost a host
# under a hundredth of a core. An engine that comes or goes in between moves few parts, and the
# scheduler of its zone knows of it at once.
HOMES_SECONDS = 1.0
# Bits of the number at which a host starts to count what it asks other hosts.
NUMBER_BITS = 40


@dataclass(frozen=True)
class _Homes:
    """The zones that may be homes of a service's parts, and the pace of its fastest engine.

    They are kept until a time, since to find them takes nine tenths of a millisecond with 900
    engines in 13 zones.
    """

    until: float
    weights: dict[str, int]
    effective_read_rate: float


class ScheduledBooker(Booker):
    """Asks the scheduler of this host's zone, and schedules for others where it is the one."""

    def __init__(
        self,
        local: LocalBooker,
        parts: GatewayState,
        socket: PeerSocket,
        host: str,
        list_members: Callable[[], Sequence[Member]],
        is_in_same_region: Callable[[str], bool] = lambda zone: True,
    ) -> None:
        """Book by `local` wherever no other host schedules.

        `is_in_same_region` tells whether a zone is in this host's region: prompts have their homes
        there.
        """
        self._is_near = is_in_same_region
        self._local = local
        self._state = parts
        self._socket = socket
        self._host = host
        self._list_members = list_members
        # A host that starts anew must not meet the numbers of its former life.
        self._numbers = itertools.count(parts.rng.getrandbits(NUMBER_BITS))
        self._asked: dict[int, asyncio.Queue[Message]] = {}
        self._silences: dict[str, int] = {}
        self._silent_until: dict[str, float] = {}
        self._homes: dict[str, _Homes] = {}
        # The schedulers of services' engines by group, found among these members: each takes half a
        # millisecond at 790 hosts.
        self._schedulers: dict[tuple[str, str], Member | None] = {}
        self._members: tuple[Member, ...] = ()
        self._scheduler = Scheduler(local, parts, self._send, list_members)
        socket.receive(DatagramKind.BOOKING, self._receive)

    def serve_queues(self) -> None:
        """Look at the waiting requests."""
        self._local.serve_queues()

    async def book(self, request: BookingRequest) -> Booking | NoCapacity:
        """Book by a scheduler, or by this host's own knowledge where all of them are silent."""
        for zone, scheduler in self._choose_schedulers(request):
            placed = replace(request, zone=zone)
            if scheduler.host == self._host:
                return await self._local.book(placed)
            began = _now()
            found = await self._ask(scheduler, placed)
            if found is not None:
                return found
            request = _shorten(request, _now() - began)
        return await self._local.book(request)

    async def _ask(self, scheduler: Member, request: BookingRequest) -> Booking | NoCapacity | None:
        """Return the scheduler's answer; None where none came that can be used."""
        number = next(self._numbers)
        answers: asyncio.Queue[Message] = asyncio.Queue()
        self._asked[number] = answers
        found: Booking | NoCapacity | None = None
        try:
            self._send(scheduler.ip, BookingQuery(number, self._exclude_broken(request)))
            found = await self._await_answer(scheduler, answers, request)
            self._silences.pop(scheduler.host, None)
        except TimeoutError:
            self._note_silent(scheduler)
        finally:
            del self._asked[number]
            if found is None:
                # The answer may still be on its way: whatever was booked is not used.
                self._cancel(scheduler.ip, number)
        return found

    def _exclude_broken(self, request: BookingRequest) -> BookingRequest:
        """Name the engines that this host cannot use now; the scheduler may not know of them."""
        now = _now()
        engines = self._state.fleet.list_service(request.service)
        names = {
            item.name
            for item in engines
            if self._state.ejector.is_ejected(item.name, now) or now < item.refused_until
        }
        if len(names) == len(engines):
            names = set()
        names |= {
            item.name
            for item in engines
            if self._state.conditions.find_wait_seconds(item, now, request.urgent)
        }
        names |= self._state.fleet.list_leaving(request.service)
        return replace(request, excluded=request.excluded | names) if names else request

    async def _await_answer(
        self, scheduler: Member, answers: "asyncio.Queue[Message]", request: BookingRequest
    ) -> Booking | NoCapacity | None:
        """Return the scheduler's answer; None for engines that are not known here."""
        max_wait = ANSWER_SECONDS
        while True:
            async with asyncio.timeout(max_wait):
                answer = await answers.get()
            match answer:
                case Wait():
                    max_wait = max(request.longest_wait, request.max_wait) + GRACE_SECONDS
                case Refuse(_, waiting, next_free_seconds):
                    return NoCapacity(waiting, next_free_seconds)
                case Grant():
                    return self._read_grant(scheduler, answer, request)

    def _read_grant(
        self, scheduler: Member, grant: Grant, request: BookingRequest
    ) -> Booking | None:
        reader = self._state.fleet.instances.get(grant.reader)
        decoder = self._state.fleet.instances.get(grant.decoder)
        # The scheduler's list may be older than this host's, where it cannot reach the store.
        if any(engine is None or engine.record.leaving for engine in (reader, decoder)):
            log_event("booking not used", reader=grant.reader, decoder=grant.decoder)
            return None
        assert reader is not None and decoder is not None
        reference = BookingReference(scheduler.host, grant.number, scheduler.ip)
        return Booking(
            reader,
            decoder,
            grant.tokens,
            grant.ahead,
            grant.wait,
            reference,
            source=self._state.fleet.instances.get(grant.source),
            fetch_seconds=grant.fetch_seconds,
        )

    def end(self, booking: Booking, stage: Stage, outcome: Outcome, seconds: float) -> None:
        """Give an engine back, to the scheduler that keeps the booking."""
        if booking.reference is None:
            self._local.end(booking, stage, outcome, seconds)
            return
        if stage is Stage.READ and outcome is Outcome.DONE and not booking.direct:
            booking.reader.update_read_rate(booking.ahead, seconds - booking.fetch_seconds)
        self._send(booking.reference.ip, End(booking.reference.number, stage, outcome, seconds))

    def list_schedulers(self) -> set[str]:
        """Return the hosts that schedule engines of any service."""
        members = self._list_members()
        if not is_large_fleet(len(members)):
            return set()
        found: set[str] = set()
        for service in self._state.fleet.list_engine_services():
            engines = self._state.fleet.list_service(service)
            found |= list_schedulers(members, service, engines)
        return found

    def schedules_engines(self) -> bool:
        """Return whether this host chooses engines itself, for its own callers or for others."""
        return not is_large_fleet(len(self._list_members())) or self._host in self.list_schedulers()

    async def run(self) -> None:
        """Schedule for others for as long as the process lives."""
        await self._scheduler.run()

    # As a caller of the scheduler.

    def _find_homes(self, service: str) -> _Homes:
        known = self._homes.get(service)
        if known is None or _now() >= known.until:
            engines = self._state.fleet.list_service(service)
            zones = {item.zone for item in self._list_members() if self._is_near(item.zone)}
            weights = count_engines_by_zone(engines, zones)
            effective_read_rate = max((item.effective_read_rate for item in engines), default=0.0)
            known = _Homes(_now() + HOMES_SECONDS, weights, effective_read_rate)
            self._homes[service] = known
        return known

    def _choose_schedulers(self, request: BookingRequest) -> Iterator[tuple[str, Member]]:
        """Yield the schedulers to ask in turn, each with the zone to book in."""
        if not is_large_fleet(len(self._list_members())):
            return
        homes = self._find_homes(request.service)
        for zone in list_home_zones(
            request.parts, homes.weights, homes.effective_read_rate, request.zone
        ):
            found = self._find_scheduler(request.service, zone if zone in homes.weights else "")
            if found is not None and _now() >= self._silent_until.get(found.host, 0.0):
                yield zone, found

    def _find_scheduler(self, service: str, group: str) -> Member | None:
        """Return the host that schedules a service's engines of a group; None if it has none."""
        members = tuple(self._list_members())
        if members != self._members:
            self._members = members
            self._schedulers.clear()
        if (service, group) not in self._schedulers:
            self._schedulers[service, group] = find_scheduler(members, service, group)
        return self._schedulers[service, group]

    def _note_silent(self, scheduler: Member) -> None:
        """Count a missing answer; leave the scheduler alone for a while after some in a row."""
        silences = self._silences.get(scheduler.host, 0) + 1
        log_event("scheduler silent", scheduler=scheduler.host, in_a_row=silences)
        if silences >= SILENCES_TO_PAUSE:
            self._silent_until[scheduler.host] = _now() + SILENT_SECONDS
            silences = 0
        self._silences[scheduler.host] = silences

    def _cancel(self, ip: str, number: int) -> None:
        for stage in Stage:
            self._send(ip, End(number, stage, Outcome.CANCELLED, 0.0))

    def _send(self, ip: str, message: Message) -> None:
        self._socket.send(ip, DatagramKind.BOOKING, pack_message(self._host, message))

    # Called by the socket.

    def _receive(self, data: bytes, ip: str) -> None:
        host, message = unpack_message(data)
        match message:
            case BookingQuery():
                self._scheduler.serve(host, ip, message)
            case End():
                self._scheduler.end(host, message)
            case _:
                waiting = self._asked.get(message.number)
                if waiting is not None:
                    waiting.put_nowait(message)
                elif isinstance(message, Grant):
                    self._cancel(ip, message.number)


def _shorten(request: BookingRequest, waited: float) -> BookingRequest:
    """Return a request of which so many seconds have passed."""
    return replace(
        request,
        longest_wait=max(0.0, request.longest_wait - waited),
        left=max(0.0, request.left - waited),
        max_wait=max(0.0, request.max_wait - waited),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
