"""Books engines through schedulers in large fleets.

The more hosts there are, the less often they report open work to each other, and the more prompts
they could send to an engine between two reports. In large fleets one host of each availability
zone, the scheduler, therefore books the zone's engines for all hosts. A prompt with a long shared
part goes to the scheduler of the part's home zone (see `policy.home_zones`), any other one to that
of its caller's zone. All hosts find the same scheduler by rendezvous hashing over the live hosts.
A scheduler keeps no state that must survive it, so another one can take over at any time.

A host that gets no reply asks the scheduler of the next zone, and then books locally, as in a small
fleet.
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
    list_scheduler_candidates,
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

# Timeout for a scheduler's first reply, which grants engines or states that the request waits: some
# round trips between availability zones, plus queueing on the hosts' links. A scheduler in another
# region has the longer round trip in addition.
REPLY_TIMEOUT_SECONDS = 0.05
# Consecutive missing replies after which a scheduler is not asked for some seconds. A single
# datagram may be lost, and booking locally uses outdated load reports.
MISSED_REPLIES_TO_SUSPEND = 2
SUSPEND_SECONDS = 0.5
# Seconds after a request's maximum wait at which this host stops waiting for the scheduler.
GRACE_SECONDS = 0.05
# Seconds for which the home zones of a service are cached. A change of engines in between moves few
# parts, and the zone's scheduler knows of it at once. Finding them takes 0.9 ms with 900 engines in
# 13 zones.
HOME_ZONES_TTL_SECONDS = 1.0
# Bits of the random number of a host's first query.
NUMBER_BITS = 40


@dataclass(frozen=True)
class _HomeZones:
    """The zones that may be home zones of a service's parts, and its fastest prefill rate.

    Cached until `until`, in the loop's time.
    """

    until: float
    weights: dict[str, int]
    effective_read_rate: float


class ScheduledBooker(Booker):
    """Asks schedulers for engines, and answers other hosts where this one is a scheduler."""

    def __init__(
        self,
        local: LocalBooker,
        state: GatewayState,
        socket: PeerSocket,
        host: str,
        list_members: Callable[[], Sequence[Member]],
    ) -> None:
        """Book through `local` where no other host schedules."""
        self._local = local
        self._state = state
        self._socket = socket
        self._host = host
        self._list_members = list_members
        # Starts at a random number, so that a restarted host does not reuse numbers.
        self._numbers = itertools.count(state.rng.getrandbits(NUMBER_BITS))
        self._pending: dict[int, asyncio.Queue[Message]] = {}
        self._missed_replies: dict[str, int] = {}
        self._suspended_until: dict[str, float] = {}
        self._home_zones: dict[str, _HomeZones] = {}
        # Cached schedulers by service, group and region, valid for these members. Finding one takes
        # 0.5 ms with 790 hosts.
        self._schedulers: dict[tuple[str, str, str], Member | None] = {}
        self._members: tuple[Member, ...] = ()
        self._scheduler = Scheduler(local, state, self._send, list_members)
        socket.set_receiver(DatagramKind.BOOKING, self._receive)

    def serve_queues(self) -> None:
        """Book engines for waiting requests."""
        self._local.serve_queues()

    async def book(self, request: BookingRequest) -> Booking | NoCapacity:
        """Book through a scheduler, or locally if none of them replies."""
        for zone, scheduler in self._choose_schedulers(request):
            zone_request = replace(request, zone=zone)
            if scheduler.host == self._host:
                return await self._local.book(zone_request)
            asked_at = _now()
            found = await self._ask(scheduler, zone_request)
            if found is not None:
                return found
            request = _reduce_times(request, _now() - asked_at)
        return await self._local.book(request)

    async def _ask(self, scheduler: Member, request: BookingRequest) -> Booking | NoCapacity | None:
        """Return what the scheduler replied; None without a reply or with unusable engines."""
        number = next(self._numbers)
        replies: asyncio.Queue[Message] = asyncio.Queue()
        self._pending[number] = replies
        found: Booking | NoCapacity | None = None
        try:
            self._send(scheduler.ip, BookingQuery(number, self._exclude_unusable(request)))
            found = await self._await_reply(scheduler, replies, request)
            self._missed_replies.pop(scheduler.host, None)
        except TimeoutError:
            self._record_missed_reply(scheduler)
        finally:
            del self._pending[number]
            if found is None:
                # The reply may still be in flight; releases what was booked.
                self._cancel(scheduler.ip, number)
        return found

    def _exclude_unusable(self, request: BookingRequest) -> BookingRequest:
        """Exclude engines that this host cannot use, as the scheduler may not know of them."""
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

    async def _await_reply(
        self, scheduler: Member, replies: "asyncio.Queue[Message]", request: BookingRequest
    ) -> Booking | NoCapacity | None:
        """Return the scheduler's reply; None if it names engines that this host cannot use."""
        distance = self._state.fleet.topology.measure(self._state.zone, scheduler.zone)
        timeout_seconds = REPLY_TIMEOUT_SECONDS + distance.extra_seconds
        while True:
            async with asyncio.timeout(timeout_seconds):
                reply = await replies.get()
            match reply:
                case Wait():
                    timeout_seconds = max(request.longest_wait, request.max_wait) + GRACE_SECONDS
                case Refuse(_, waiting, next_free_seconds):
                    return NoCapacity(waiting, next_free_seconds)
                case Grant():
                    return self._read_grant(scheduler, reply, request)

    def _read_grant(
        self, scheduler: Member, grant: Grant, request: BookingRequest
    ) -> Booking | None:
        reader = self._state.fleet.instances.get(grant.reader)
        decoder = self._state.fleet.instances.get(grant.decoder)
        # The scheduler's discovery list may be older than this host's.
        if any(engine is None or engine.record.leaving for engine in (reader, decoder)):
            log_event("booking not used", reader=grant.reader, decoder=grant.decoder)
            return None
        assert reader is not None and decoder is not None
        reference = BookingReference(scheduler.host, grant.number, scheduler.ip)
        return Booking(
            reader,
            decoder,
            grant.tokens,
            grant.tokens_ahead,
            grant.wait,
            reference,
            source=self._state.fleet.instances.get(grant.source),
            fetch_seconds=grant.fetch_seconds,
        )

    def end(self, booking: Booking, stage: Stage, outcome: Outcome, seconds: float) -> None:
        """End one stage of a booking, at the scheduler that made it."""
        if booking.reference is None:
            self._local.end(booking, stage, outcome, seconds)
            return
        if stage is Stage.READ and outcome is Outcome.DONE and not booking.direct:
            booking.reader.update_read_rate(booking.tokens_ahead, seconds - booking.fetch_seconds)
        self._send(booking.reference.ip, End(booking.reference.number, stage, outcome, seconds))

    def list_schedulers(self) -> set[str]:
        """Return the hosts that schedule any service's engines."""
        members = self._list_members()
        if not is_large_fleet(len(members)):
            return set()
        found: set[str] = set()
        for service in self._state.fleet.list_engine_services():
            engines = self._state.fleet.list_service(service)
            found |= list_schedulers(members, service, engines, self._state.fleet.topology)
        return found

    def schedules_engines(self) -> bool:
        """Return whether this host itself chooses engines, for its own callers or for others."""
        return not is_large_fleet(len(self._list_members())) or self._host in self.list_schedulers()

    async def run(self) -> None:
        """Run the scheduler until cancelled."""
        await self._scheduler.run()

    # Client side.

    def _find_home_zones(self, service: str) -> _HomeZones:
        known = self._home_zones.get(service)
        if known is None or _now() >= known.until:
            engines = self._state.fleet.list_service(service)
            zones = {item.zone for item in self._list_members()}
            weights = count_engines_by_zone(engines, zones)
            effective_read_rate = max((item.effective_read_rate for item in engines), default=0.0)
            known = _HomeZones(_now() + HOME_ZONES_TTL_SECONDS, weights, effective_read_rate)
            self._home_zones[service] = known
        return known

    def _choose_schedulers(self, request: BookingRequest) -> Iterator[tuple[str, Member]]:
        """Yield the schedulers to ask in turn, each with its zone."""
        if not is_large_fleet(len(self._list_members())):
            return
        home_zones = self._find_home_zones(request.service)
        for zone in list_home_zones(
            request.parts,
            home_zones.weights,
            home_zones.effective_read_rate,
            request.zone,
            self._state.fleet.topology,
        ):
            group = zone if zone in home_zones.weights else ""
            found = self._find_scheduler(request.service, group, zone)
            if found is not None and _now() >= self._suspended_until.get(found.host, 0.0):
                yield zone, found

    def _find_scheduler(self, service: str, group: str, zone: str) -> Member | None:
        """Return the host that schedules a service's engines of a group for a zone, or None."""
        topology = self._state.fleet.topology
        key = service, group, "" if group else topology.find_region(zone)
        members = tuple(self._list_members())
        if members != self._members:
            self._members = members
            self._schedulers.clear()
        if key not in self._schedulers:
            candidates = list_scheduler_candidates(members, group, zone, topology)
            self._schedulers[key] = find_scheduler(candidates, service, group)
        return self._schedulers[key]

    def _record_missed_reply(self, scheduler: Member) -> None:
        """Count a missing reply; suspend the scheduler after several in a row."""
        missed_replies = self._missed_replies.get(scheduler.host, 0) + 1
        log_event("scheduler silent", scheduler=scheduler.host, in_a_row=missed_replies)
        if missed_replies >= MISSED_REPLIES_TO_SUSPEND:
            self._suspended_until[scheduler.host] = _now() + SUSPEND_SECONDS
            missed_replies = 0
        self._missed_replies[scheduler.host] = missed_replies

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
                replies = self._pending.get(message.number)
                if replies is not None:
                    replies.put_nowait(message)
                elif isinstance(message, Grant):
                    self._cancel(ip, message.number)


def _reduce_times(request: BookingRequest, waited: float) -> BookingRequest:
    """Return the request with its times reduced by the seconds that have passed."""
    return replace(
        request,
        longest_wait=max(0.0, request.longest_wait - waited),
        remaining_seconds=max(0.0, request.remaining_seconds - waited),
        max_wait=max(0.0, request.max_wait - waited),
    )


def _now() -> float:
    return asyncio.get_running_loop().time()
