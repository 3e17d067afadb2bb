"""Distributed rate limiter: takes a permit for each request to a rate-limited upstream.

One host, the owner, counts the permits of an upstream for all hosts. A host that cannot reach it
asks the second owner, and without either keeps to an equal share of the limit. Whoever grants a
permit tells the owners, since one that is late, and not gone, counts on.
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace

from swifttrestle.errors import UpstreamHeldError
from swifttrestle.internal.eviction import make_room
from swifttrestle.internal.forward.conditions import UpstreamConditionTable
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.owner_queries import (
    LATE_REPLY_SECONDS,
    AbandonedQuery,
    OwnerQueries,
)
from swifttrestle.internal.policy.distance import NO_REGIONS, Topology
from swifttrestle.internal.policy.rate_limits import find_owners
from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle.internal.protocol.permits import (
    LeavingUpdate,
    Message,
    PermitCount,
    PermitReply,
    PermitRequest,
    RateLimitUpdate,
    TrialNotice,
    TrialRequest,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.state.fingerprints import Fingerprint
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.permit_buckets import TRIAL_SECONDS, PermitBuckets, TrialTimes
from swifttrestle.internal.state.upstream_conditions import RateLimit
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket

# Seconds for which a permit is valid: covers the prefill of a long prompt before the request
# reaches the decode engine.
PERMIT_SECONDS = LATE_REPLY_SECONDS
# Seconds after which an announcement is repeated, in case the datagram was lost.
REPEAT_SECONDS = 0.5
# Maximum number of peers' queries whose results are kept, in case they are repeated.
MAX_RESULTS = 1000
# Who gave a permit: the owners in order, as a metric label.
OWNER_LABELS = ("first", "second")
SHARE = "share"
LATE = "late"

PermitQuery = PermitRequest | TrialRequest


class RateLimiter(ABC):
    """Provides the permits that requests to rate-limited upstreams need."""

    @abstractmethod
    async def reserve(self, ctx: Context, *instances: Instance) -> None:
        """Take permits for a request that is sent to some upstreams within PERMIT_SECONDS.

        Raises UpstreamHeldError if one of them accepts none at the moment.
        """

    @abstractmethod
    def ask_ahead(self, ctx: Context, instances: Sequence[Instance]) -> list[Instance]:
        """Return those of some upstreams that a request may be sent to at once.

        Asks for a permit of one of the others, which may be among them a little later.
        """

    @abstractmethod
    async def use(self, ctx: Context, instance: Instance) -> None:
        """Use the permit of a request that is sent now, or take one.

        Raises UpstreamHeldError if the upstream accepts none at the moment.
        """


class NoRateLimits(RateLimiter):
    """Applies no rate limits: for hosts without peers."""

    async def reserve(self, ctx: Context, *instances: Instance) -> None:
        """Allow the request."""

    def ask_ahead(self, ctx: Context, instances: Sequence[Instance]) -> list[Instance]:
        """Return all upstreams."""
        return list(instances)

    async def use(self, ctx: Context, instance: Instance) -> None:
        """Allow the request."""


class DistributedRateLimiter(RateLimiter):
    """Asks the owners of rate limits for permits, and grants those of the limits it owns."""

    def __init__(
        self,
        conditions: UpstreamConditionTable,
        socket: PeerSocket,
        host: str,
        list_members: Callable[[], Sequence[Member]],
        first_number: int = 0,
        topology: Topology = NO_REGIONS,
    ) -> None:
        """Create the limiter of `host`, one of those that `list_members` returns.

        Queries are numbered from `first_number` on, which must differ at each start of the process
        so that numbers are not reused.
        """
        self._conditions = conditions
        self._socket = socket
        self._host = host
        self._list_members = list_members
        self._topology = topology
        self._queries: OwnerQueries[PermitQuery, PermitReply] = OwnerQueries(
            self._send, self._keep_late_permit, first_number
        )
        # The ends of the permits that came late and are unused, by upstream.
        self._late_permits: dict[str, list[float]] = defaultdict(list)
        # Cached owners of limits, valid for these members.
        self._owners: dict[tuple[str, str], list[Member]] = {}
        self._members: Sequence[Member] = ()
        self._buckets = PermitBuckets(first_number)
        self._trials = TrialTimes()
        # The results of peers' last queries, by IP and number.
        self._results: dict[tuple[str, int], float] = {}
        conditions.announce_limit = self._announce_limit
        conditions.announce_leaving = self._announce_leaving
        socket.set_receiver(DatagramKind.PERMIT, self._receive)

    async def reserve(self, ctx: Context, *instances: Instance) -> None:
        """Take permits for a request that is sent to some upstreams within PERMIT_SECONDS.

        Raises UpstreamHeldError if one of them accepts none at the moment.
        """
        for instance in instances:
            self._conditions.check(instance, ctx.urgent)
        for instance in instances:
            if self._conditions.find_rate_limit(instance.name).rate is not None:
                ctx.permits[instance.name] = await self._take_permit(instance, ctx.urgent)

    def ask_ahead(self, ctx: Context, instances: Sequence[Instance]) -> list[Instance]:
        """Return those of some upstreams that a request may be sent to at once.

        Asks for a permit of one of the others, which may be among them a little later.
        """
        now = _now()
        open_to_request: list[Instance] = []
        held: list[Instance] = []
        for item in instances:
            limited = self._conditions.find_rate_limit(item.name).rate is not None
            permitted = not limited or ctx.permits.get(item.name, 0.0) > now
            (open_to_request if permitted else held).append(item)
        if held and not open_to_request and ctx.permit_query is None:
            ctx.permit_query = asyncio.ensure_future(self._reserve_first(ctx, held))
        return open_to_request

    async def _reserve_first(self, ctx: Context, instances: Sequence[Instance]) -> None:
        """Take a permit of the first upstream that gives one."""
        try:
            for instance in instances:
                with contextlib.suppress(UpstreamHeldError):
                    await self.reserve(ctx, instance)
                    break
        finally:
            ctx.permit_query = None

    async def use(self, ctx: Context, instance: Instance) -> None:
        """Use the permit of a request that is sent now, or take one.

        Raises UpstreamHeldError if the upstream accepts none at the moment.
        """
        if ctx.permits.pop(instance.name, 0.0) > _now():
            self._conditions.check(instance, ctx.urgent, permitted=True)
            return
        await self.reserve(ctx, instance)
        ctx.permits.pop(instance.name, None)

    async def _take_permit(self, instance: Instance, urgent: bool) -> float:
        """Return the end of a permit, in the loop's time; raise UpstreamHeldError."""
        start = instance.name
        late = self._take_late_permit(start)
        if late is not None:
            self._conditions.note_permit(LATE)
            return late
        seconds, giver = await self._ask_owners(start, instance.record.zone, urgent)
        if seconds > 0:
            self._conditions.deny(start, seconds, urgent)
            raise UpstreamHeldError(
                f"the rate limit of {start} allows no request for {seconds:.2f} s", seconds
            )
        self._conditions.note_permit(giver)
        return _now() + PERMIT_SECONDS

    async def _ask_owners(self, start: str, zone: str, urgent: bool) -> tuple[float, str]:
        """Ask the owners of a limit in turn, or take from this host's share if none replies.

        Returns 0, or the seconds after which to ask again, and who decided.
        """
        for owner, giver in zip(self._find_owners(start, zone), OWNER_LABELS, strict=False):
            seconds = await self._ask_owner(owner, start, urgent)
            if seconds is not None:
                self._buckets.drop_share(start)
                return seconds, giver
        rate, hosts = self._conditions.find_rate_limit(start).rate, len(self._list_members())
        if rate is None:
            return 0.0, SHARE
        seconds = self._buckets.take_share(start, rate, urgent, hosts, _now())
        if seconds == 0:
            self._report_count(start)
        return seconds, SHARE

    async def _ask_owner(self, owner: Member, start: str, urgent: bool) -> float | None:
        """Return 0, or the seconds after which to ask again; None if the owner does not reply."""
        if owner.host == self._host:
            return self._grant(start, urgent)
        reply = await self._queries.ask(
            owner,
            lambda number: PermitRequest(
                number, start, urgent, self._conditions.find_rate_limit(start)
            ),
        )
        return None if reply is None else reply.seconds

    def _keep_late_permit(self, reply: PermitReply, abandoned: AbandonedQuery[PermitQuery]) -> None:
        """Keep a permit whose request no longer waits for it, for the next one."""
        for start, ends in list(self._late_permits.items()):
            if ends[-1] <= _now():
                del self._late_permits[start]
        if reply.seconds == 0 and self._conditions.find_rate_limit(reply.start).rate is not None:
            self._late_permits[reply.start].append(abandoned.asked_at + PERMIT_SECONDS)

    def _take_late_permit(self, start: str) -> float | None:
        """Return the end of an unused permit that came late; None if there is none."""
        valid = [end for end in self._late_permits.pop(start, ()) if end > _now()]
        if not valid:
            return None
        end = valid.pop(0)
        if valid:
            self._late_permits[start] = valid
        return end

    # Trials.

    async def request_trial(self, fingerprint: Fingerprint) -> float:
        """Return 0 if this host may try a quarantined request, or the seconds to wait.

        Only one host at a time may, so that only the first owner allows trials, and a host that
        does not reach it waits. If each host tried one copy, as many copies as hosts would be sent
        before the first one has crashed its upstream.
        """
        key = str(fingerprint)
        for owner in self._find_owners(key, "")[:1]:
            if owner.host == self._host:
                return self._allow_trial(key)
            reply = await self._queries.ask(owner, lambda number: TrialRequest(number, key))
            if reply is not None:
                return reply.seconds
        return TRIAL_SECONDS

    def _allow_trial(self, key: str) -> float:
        """Allow the next trial of a request; return 0, or the seconds until one is allowed."""
        seconds = self._trials.allow(key, _now())
        if seconds == 0:
            self._send_to_owners(TrialNotice(key), "")
        return seconds

    # As an owner.

    def _grant(self, start: str, urgent: bool) -> float:
        """Take a permit as an owner; return 0, or the seconds after which to ask again."""
        rate = self._conditions.find_rate_limit(start).rate
        if rate is None:
            self._buckets.drop(start)
            return 0.0
        seconds = self._buckets.take(start, rate, urgent, len(self._list_members()), _now())
        if seconds == 0:
            self._report_count(start)
        return seconds

    def _report_count(self, start: str) -> None:
        """Tell the owners of a limit how many permits this host has granted."""
        count = self._buckets.count_granted(start)
        self._send_to_owners(PermitCount(count, start), self._conditions.find_zone(start))

    def _send_to_owners(self, message: PermitCount | TrialNotice, zone: str) -> None:
        for owner in self._find_owners(message.start, zone):
            if owner.host != self._host:
                self._send(owner.ip, message)

    def _answer(self, request: PermitQuery, ip: str) -> None:
        """Answer a peer's query; a repeated one gets the same result."""
        start, result_key = request.start, (ip, request.number)
        seconds = self._results.get(result_key)
        if seconds is None:
            match request:
                case PermitRequest():
                    seconds = self._grant(start, request.urgent)
                case TrialRequest():
                    seconds = self._allow_trial(start)
            make_room(self._results, result_key, MAX_RESULTS)
            self._results[result_key] = seconds
        rate_limit = self._conditions.find_rate_limit(start)
        self._send(ip, PermitReply(request.number, start, seconds, rate_limit))

    def _find_owners(self, key: str, zone: str) -> list[Member]:
        """Return the owners of a limit or trial; cached while the members stay the same.

        With 790 hosts the search takes 0.8 ms, and each request needs it.
        """
        members = self._list_members()
        if members is not self._members:
            self._members = members
            self._owners.clear()
        if (key, zone) not in self._owners:
            self._owners[key, zone] = find_owners(members, key, zone, self._topology)
        return self._owners[key, zone]

    # Announcements.

    def _announce_limit(self, start: str, _: RateLimit) -> None:
        self._announce_twice(
            lambda: RateLimitUpdate(start, self._conditions.find_rate_limit(start), relay=True)
        )

    def _announce_leaving(self, start: str) -> None:
        self._announce_twice(lambda: LeavingUpdate(start, relay=True))

    def _announce_twice(self, make_message: Callable[[], RateLimitUpdate | LeavingUpdate]) -> None:
        """Announce what `make_message` returns, now and after REPEAT_SECONDS."""
        self._announce(make_message())
        asyncio.get_running_loop().call_later(
            REPEAT_SECONDS, lambda: self._announce(make_message())
        )

    def _announce(self, message: RateLimitUpdate | LeavingUpdate) -> None:
        """Send a message to all hosts; in a large fleet through the owners, which forward it."""
        members = self._list_members()
        owners = self._find_owners(message.start, "")
        if not is_large_fleet(len(members)) or self._host in (item.host for item in owners):
            self._broadcast(message)
            return
        for owner in owners:
            self._send(owner.ip, message)

    def _broadcast(self, message: RateLimitUpdate | LeavingUpdate) -> None:
        for member in self._list_members():
            if member.host != self._host:
                self._send(member.ip, replace(message, relay=False))

    def _send(self, ip: str, message: Message) -> None:
        self._socket.send(ip, DatagramKind.PERMIT, pack_message(message, _now()))

    # Called by the socket.

    def _receive(self, data: bytes, ip: str) -> None:
        """Handle a peer's message; raise FrameError for a malformed one."""
        message = unpack_message(data, _now())
        match message:
            case PermitRequest(rate_limit=rate_limit):
                self._conditions.apply_rate_limit(message.start, rate_limit, ip)
                self._answer(message, ip)
            case TrialRequest():
                self._answer(message, ip)
            case PermitReply(rate_limit=rate_limit):
                self._conditions.apply_rate_limit(message.start, rate_limit, ip)
                self._queries.receive(message)
            case PermitCount(count, start):
                rate = self._conditions.find_rate_limit(start).rate
                if rate is not None:
                    self._buckets.note_count(start, ip, count, rate, _now())
            case TrialNotice(start):
                self._trials.note(start, _now())
            case RateLimitUpdate(start, rate_limit, relay):
                if self._conditions.apply_rate_limit(start, rate_limit, ip) and relay:
                    self._broadcast(message)
            case LeavingUpdate(start, relay):
                if self._conditions.apply_leaving(start, ip) and relay:
                    self._broadcast(message)


def _now() -> float:
    return asyncio.get_running_loop().time()
