"""Admits requests of model services: books engines, or refuses with a Retry-After."""

import asyncio
import math

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.forward.booking import Booker
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.engine_finder import RETRY_WAIT_SHARE, is_short_prompt
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.policy.waiting import (
    IN_TIME_WAIT_SHARE,
    LATE_WAIT_LIMIT_SHARE,
    PREFILL_DEADLINE_SHARE,
    find_caller_timeout,
)
from swifttrestle.internal.state.bookings import Booking, BookingRequest, NoCapacity
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.prompt_cache import PromptPart

# Retry-After: its minimum, its value where no engine is listed (about one heartbeat), its maximum.
MIN_RETRY_AFTER_SECONDS = 0.05
NO_ENGINE_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 3.0
# Callers honour Retry-After up to a third of the time to their deadline; this stays below that.
MAX_RETRY_AFTER_SHARE = 0.32
# Retry-After is drawn between this share of its maximum and the maximum.
MIN_RETRY_AFTER_FRACTION = 0.6


class EngineAdmission:
    """Books engines for the requests of all model services."""

    def __init__(self, state: GatewayState, booker: Booker) -> None:
        """Use the host's shared state, and engines that `booker` finds."""
        self._state = state
        self._booker = booker

    def refuse_too_large(self, ctx: Context) -> None:
        """Raise RefusedError for a prompt that is larger than the memory of the service's engines.

        It would wait for capacity that does not come, and count as load for which others are
        planned. A later configuration may declare a larger memory.
        """
        metadata, traits = ctx.request_metadata, ctx.service.engine
        tokens = max(metadata.prompt_tokens, sum(item.tokens for item in metadata.parts))
        if traits is not None and 0 < traits.kv_tokens < tokens:
            reason = f"the prompt has {tokens} tokens; the engines hold {traits.kv_tokens}"
            raise ctx.refuse(Code.REQUEST_TOO_LARGE, reason, MAX_RETRY_AFTER_SECONDS)

    async def book(self, ctx: Context, first: bool) -> Booking:
        """Return the engines for a request; raise RefusedError if they are not free in time.

        `first` is false for a booking after a failed prefill.
        """
        latest_read = ctx.route.objective * PREFILL_DEADLINE_SHARE - ctx.age
        longest_wait = ctx.route.objective * IN_TIME_WAIT_SHARE - ctx.age
        if not first:
            longest_wait = ctx.seconds_left * RETRY_WAIT_SHARE
        request = BookingRequest(
            service=ctx.service.name,
            zone=self._state.zone,
            tokens=ctx.request_metadata.prompt_tokens,
            affinity=find_affinity(ctx),
            priority=ctx.priority,
            urgent=ctx.urgent,
            remaining_seconds=ctx.seconds_left,
            longest_wait=max(0.0, min(longest_wait, ctx.seconds_left)),
            max_prefill_wait=latest_read,
            latest_read=latest_read if first else math.inf,
            late=ctx.failed_prefills > 0,
            excluded=frozenset(ctx.excluded),
            parts=qualify_parts(ctx),
            max_wait=min(ctx.seconds_left, find_caller_timeout(ctx.route) - ctx.age)
            * LATE_WAIT_LIMIT_SHARE,
        )
        self._refuse_if_unavailable(ctx, request)
        booked = await self._booker.book(request)
        if isinstance(booked, NoCapacity):
            raise self._refuse_for_load(ctx, booked)
        self._state.metrics.observe("gateway_queue_seconds", ctx.age)
        if not booked.direct:
            self._state.demand.note_read(ctx.service.name, request.tokens, booked.tokens)
        ctx.note(
            f"reader {booked.reader.name} {self._state.measure(booked.reader).value} "
            f"wait={booked.wait * 1000:.0f}ms unread={booked.tokens} "
            f"from {booked.source.name if booked.source else 'none'} "
            f"decoder {booked.decoder.name} ({booked.decoder.record.build}) "
            f"{self._state.measure(booked.decoder).value} "
            f"open={booked.decoder.total.requests} "
            f"by {booked.reference.host if booked.reference else 'this host'}"
        )
        return booked

    def _refuse_if_unavailable(self, ctx: Context, request: BookingRequest) -> None:
        """Refuse a request if engines accept none for longer than it may wait."""
        wait_seconds = self._find_wait_seconds(ctx)
        if wait_seconds > max(request.longest_wait, request.max_wait):
            reason = f"the engines accept no requests for another {wait_seconds:.1f} s"
            raise ctx.refuse(
                Code.UPSTREAMS_HELD, reason, max(MIN_RETRY_AFTER_SECONDS, wait_seconds)
            )

    def _find_wait_seconds(self, ctx: Context) -> float:
        """Return the seconds until engines of each role that the request needs accept one."""
        service, now = ctx.service.name, asyncio.get_running_loop().time()
        engines = self._state.fleet.list_service(service)
        short = is_short_prompt(ctx.request_metadata.prompt_tokens, engines)
        roles = (Role.DECODE,) if short else (Role.DECODE, Role.PREFILL)
        return self._state.find_wait_seconds(service, now, roles, ctx.urgent)

    def note_arrival(self, ctx: Context, now: float) -> None:
        """Count a request as offered work."""
        self._state.budgets.find(ctx.service.name).note_request(now)
        engines = self._state.fleet.list_service(ctx.service.name)
        tokens = ctx.request_metadata.prompt_tokens
        tokens = 0 if is_short_prompt(tokens, engines) else tokens
        self._state.demand.note_arrival(ctx.service.name, ctx.route.name, tokens, now)

    def _refuse_for_load(self, ctx: Context, no_capacity: NoCapacity) -> RefusedError:
        engines = self._state.fleet.list_service(ctx.service.name)
        if not engines:
            return ctx.refuse(
                Code.NO_UPSTREAM,
                f"service {ctx.service.name} has no engines",
                NO_ENGINE_RETRY_AFTER_SECONDS,
            )
        wait_seconds = self._find_wait_seconds(ctx)
        retry = self._choose_retry_after(ctx, max(wait_seconds, no_capacity.next_free_seconds))
        reason = (
            f"no engine is free: {no_capacity.waiting} requests waiting, {len(engines)} engines, "
            f"first engine free in {no_capacity.next_free_seconds * 1000:.0f} ms"
        )
        return ctx.refuse(Code.UPSTREAMS_HELD if wait_seconds else Code.OVERLOADED, reason, retry)

    def _choose_retry_after(self, ctx: Context, next_free_seconds: float) -> float:
        """Return Retry-After, in seconds, for a caller that was refused for load.

        Load peaks last for some time, so this is close to the maximum that the caller honours, with
        jitter so that callers do not retry all at once.
        """
        longest_wait = min(MAX_RETRY_AFTER_SHARE * ctx.seconds_left, MAX_RETRY_AFTER_SECONDS)
        jitter_factor = (
            MIN_RETRY_AFTER_FRACTION + (1 - MIN_RETRY_AFTER_FRACTION) * self._state.rng.random()
        )
        return max(MIN_RETRY_AFTER_SECONDS, next_free_seconds, longest_wait * jitter_factor)


def qualify_parts(ctx: Context) -> tuple[PromptPart, ...]:
    """Return the prompt's parts with names that are unique among models."""
    request_metadata = ctx.request_metadata
    return tuple(
        PromptPart(f"{request_metadata.model}/{item.part}", item.tokens)
        for item in request_metadata.parts
    )


def find_affinity(ctx: Context) -> str:
    """Return the id of the last shared part of the prompt, or of the request if there is none."""
    parts = ctx.request_metadata.parts
    if len(parts) >= 2:
        return parts[-2].part
    return parts[-1].part if parts else ctx.request_metadata.request_id.decode("latin-1")
