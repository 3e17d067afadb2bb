"""Distributed rate limiter: takes a permit for each request to a rate-limited upstream.

One host, the owner, counts the permits of an upstream for all hosts. A host that cannot reach it
asks the second owner, and without either keeps to an equal share of the limit.
"""

import asyncio
import itertools
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import replace

from swifttrestle.errors import UpstreamHeldError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.conditions import UpstreamConditionTable
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.policy.rate_limits import (
    ASK_ATTEMPTS,
    MIN_REQUESTS_PER_SECOND,
    TokenBucket,
    find_max_retry_seconds,
    find_owners,
)
from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle.internal.protocol.permits import (
    LeavingUpdate,
    Message,
    PermitReply,
    PermitRequest,
    RateLimitUpdate,
    TrialRequest,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint
from swifttrestle.internal.state.upstream_conditions import NEVER, RateLimit
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket

# Timeout for an owner's reply: some round trips between zones and an iteration of its event loop.
REPLY_TIMEOUT_SECONDS = 0.05
# Seconds for which an owner that did not reply is not asked.
OWNER_SUSPEND_SECONDS = 1.0
# Seconds for which a permit is valid: covers the prefill of a long prompt before the request
# reaches the decode engine.
PERMIT_SECONDS = 1.5
# Seconds after which an announcement is repeated, in case the datagram was lost.
REPEAT_SECONDS = 0.5
# Seconds between two trials of a quarantined request: longer than it takes until all hosts know
# whether it crashed its upstream.
TRIAL_SECONDS = 3.0
# Maximum number of upstreams, or of quarantined requests, that a host counts for. A tenth of all
# upstreams that there may be.
MAX_BUCKETS = 1000


class RateLimiter(ABC):
    """Provides the permits that requests to rate-limited upstreams need."""

    @abstractmethod
    async def reserve(self, ctx: Context, *instances: Instance) -> None:
        """Take permits for a request that is sent to some upstreams within PERMIT_SECONDS.

        Raises UpstreamHeldError if one of them accepts none at the moment.
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
    ) -> None:
        """Create the limiter of `host`, one of those that `list_members` returns.

        Queries are numbered from `first_number` on, which must differ at each start of the process
        so that numbers are not reused.
        """
        self._conditions = conditions
        self._socket = socket
        self._host = host
        self._list_members = list_members
        self._numbers = itertools.count(first_number)
        self._pending: dict[int, asyncio.Future[PermitReply]] = {}
        self._suspended_until: dict[str, float] = {}
        # Cached owners of limits, valid for these members.
        self._owners: dict[tuple[str, str], list[Member]] = {}
        self._members: Sequence[Member] = ()
        # Buckets of the limits that this host owns, and those used while it reaches no owner.
        self._owned_buckets: dict[str, TokenBucket] = {}
        self._fallback_buckets: dict[str, TokenBucket] = {}
        # When this host, as the owner, last allowed a trial of each quarantined request.
        self._trial_at: dict[str, float] = {}
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
                await self._take_permit(instance, ctx.urgent)
                ctx.permits[instance.name] = _now() + PERMIT_SECONDS

    async def use(self, ctx: Context, instance: Instance) -> None:
        """Use the permit of a request that is sent now, or take one.

        Raises UpstreamHeldError if the upstream accepts none at the moment.
        """
        if ctx.permits.pop(instance.name, 0.0) > _now():
            self._conditions.check(instance, ctx.urgent, permitted=True)
            return
        await self.reserve(ctx, instance)
        ctx.permits.pop(instance.name, None)

    async def _take_permit(self, instance: Instance, urgent: bool) -> None:
        start = instance.name
        seconds = await self._ask_owners(
            start,
            instance.record.zone,
            lambda: self._take_token(self._owned_buckets, start, urgent),
            lambda number: PermitRequest(
                number, start, urgent, self._conditions.find_rate_limit(start)
            ),
        )
        if seconds is None:
            seconds = self._take_token(
                self._fallback_buckets, start, urgent, len(self._list_members())
            )
        else:
            # Otherwise unused tokens would accumulate until the fallback is needed next.
            self._fallback_buckets.pop(start, None)
        if seconds > 0:
            self._conditions.deny(start, seconds, urgent)
            raise UpstreamHeldError(
                f"the rate limit of {start} allows no request for {seconds:.2f} s", seconds
            )

    async def request_trial(self, fingerprint: RequestFingerprint) -> float:
        """Return 0 if this host may try a quarantined request, or the seconds to wait.

        Only one host at a time may. A host that reaches no owner waits. If each host tried one
        copy, as many copies as hosts would be sent before the first one has crashed its upstream.
        """
        key = str(fingerprint)
        seconds = await self._ask_owners(
            key, "", lambda: self._allow_trial(key), lambda number: TrialRequest(number, key)
        )
        return TRIAL_SECONDS if seconds is None else seconds

    async def _ask_owners(
        self,
        key: str,
        zone: str,
        decide_locally: Callable[[], float],
        make_message: Callable[[int], PermitRequest | TrialRequest],
    ) -> float | None:
        """Return the reply of the first owner of a limit or trial that replies; None if none does.

        Calls `decide_locally` if the owner is this host.
        """
        for owner in self._find_owners(key, zone):
            if owner.host == self._host:
                return decide_locally()
            reply = await self._ask_with_retries(owner, make_message)
            if reply is not None:
                return reply.seconds
        return None

    def _find_owners(self, key: str, zone: str) -> list[Member]:
        """Return the owners of a limit or trial; cached while the members stay the same.

        With 790 hosts the search takes 0.8 ms, and each request needs it.
        """
        members = self._list_members()
        if members is not self._members:
            self._members = members
            self._owners.clear()
        if (key, zone) not in self._owners:
            self._owners[key, zone] = find_owners(members, key, zone)
        return self._owners[key, zone]

    def _allow_trial(self, key: str) -> float:
        """Allow the next trial of a request; return 0, or the seconds until one is allowed."""
        seconds = self._trial_at.get(key, NEVER) + TRIAL_SECONDS - _now()
        if seconds > 0:
            return seconds
        if len(self._trial_at) >= MAX_BUCKETS:
            del self._trial_at[next(iter(self._trial_at))]
        self._trial_at[key] = _now()
        return 0.0

    async def _ask_with_retries(
        self, owner: Member, make_message: Callable[[int], PermitRequest | TrialRequest]
    ) -> PermitReply | None:
        if self._suspended_until.get(owner.host, 0.0) > _now():
            return None
        for _ in range(ASK_ATTEMPTS):
            reply = await self._ask(owner, make_message)
            if reply is not None:
                return reply
        self._suspended_until[owner.host] = _now() + OWNER_SUSPEND_SECONDS
        log_event("keeper of a limit silent", keeper=owner.host)
        return None

    async def _ask(
        self, owner: Member, make_message: Callable[[int], PermitRequest | TrialRequest]
    ) -> PermitReply | None:
        number = next(self._numbers)
        reply: asyncio.Future[PermitReply] = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        try:
            self._send(owner.ip, make_message(number))
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._pending[number]

    def _take_token(
        self, buckets: dict[str, TokenBucket], start: str, urgent: bool, hosts: int = 1
    ) -> float:
        """Take one token of a limit, or of the equal share of one of `hosts` hosts.

        Returns 0, or the seconds after which to ask again.
        """
        rate = self._conditions.find_rate_limit(start).rate
        if rate is None:
            buckets.pop(start, None)
            return 0.0
        bucket = buckets.get(start)
        if bucket is None:
            if len(buckets) >= MAX_BUCKETS:
                # Evicts the oldest bucket: those of stopped upstreams are not removed otherwise.
                del buckets[next(iter(buckets))]
            bucket = buckets[start] = TokenBucket(_now())
        max_retry_seconds = find_max_retry_seconds(len(self._list_members()))
        return bucket.take(
            max(rate, MIN_REQUESTS_PER_SECOND) / hosts, urgent, _now(), max_retry_seconds
        )

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
        if isinstance(message, TrialRequest):
            seconds = self._allow_trial(message.start)
            self._send(ip, PermitReply(message.number, message.start, seconds, RateLimit()))
            return
        if isinstance(message, LeavingUpdate):
            is_new = self._conditions.apply_leaving(message.start, ip)
        else:
            is_new = self._conditions.apply_rate_limit(message.start, message.rate_limit, ip)
        match message:
            case PermitRequest(number, start, urgent, _):
                seconds = self._take_token(self._owned_buckets, start, urgent)
                rate_limit = self._conditions.find_rate_limit(start)
                self._send(ip, PermitReply(number, start, seconds, rate_limit))
            case PermitReply(number):
                reply = self._pending.get(number)
                if reply is not None and not reply.done():
                    reply.set_result(message)
            case RateLimitUpdate() | LeavingUpdate():
                if is_new and message.relay:
                    self._broadcast(message)


def _now() -> float:
    return asyncio.get_running_loop().time()
