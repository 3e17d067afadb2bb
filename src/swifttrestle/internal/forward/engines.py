"""Forwards requests to model engines: books engines, has the prompt prefilled, relays tokens."""

import asyncio
import functools
import math
from collections.abc import Collection

from swifttrestle.codes import Code
from swifttrestle.errors import (
    RefusedError,
    UpstreamBrokenError,
    UpstreamBusyError,
    UpstreamError,
    UpstreamHeldError,
    UpstreamLeavingError,
    UpstreamUnreachedError,
)
from swifttrestle.internal.forward.attempt import AttemptPlan, make_attempt
from swifttrestle.internal.forward.booking import Booker
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.engine_finder import RETRY_WAIT_SHARE, is_short_prompt
from swifttrestle.internal.forward.events import EventRelay
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.forward.path_waiting import RETRY_SECONDS, waits_for_path
from swifttrestle.internal.forward.prefill import (
    MAX_PREFILLS,
    DirectPrefill,
    EngineUse,
    PromptPrefiller,
    find_source_address,
    has_other_of_role,
)
from swifttrestle.internal.policy.placement import pick_decode_engine
from swifttrestle.internal.policy.waiting import (
    IN_TIME_WAIT_SHARE,
    LATE_WAIT_LIMIT_SHARE,
    PREFILL_DEADLINE_SHARE,
    find_caller_timeout,
)
from swifttrestle.internal.state.bookings import Booking, BookingRequest, NoCapacity, Outcome, Stage
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.prompt_cache import PromptPart
from swifttrestle.internal.transport.silence import SilenceLimit
from swifttrestle.platform.engine import KvHandle, format_kv_source
from swifttrestle.platform.wire import ForwardingHeaders

# Maximum decode attempts of one request before its answer begins, the first one included.
MAX_DECODE_ATTEMPTS = 3
# Seconds until engines that refused to continue an answer are tried again; doubles each time.
FIRST_RESUME_SECONDS = 0.2
# Maximum bookings of one request whose engines turn out to accept no requests. More of them show
# that the rate limits leave no capacity for it.
MAX_HELD_BOOKINGS = 8
# Share of the time to the deadline that a repeatable request waits at an engine for its first
# token.
FIRST_TOKEN_SHARE = 0.5
# Retry-After: its minimum, its value where no engine is listed (about one heartbeat), its maximum.
MIN_RETRY_AFTER_SECONDS = 0.05
NO_ENGINE_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 3.0
# Callers honour Retry-After up to a third of the time to their deadline; this stays below that.
MAX_RETRY_AFTER_SHARE = 0.32
# Retry-After is drawn between this share of its maximum and the maximum.
MIN_RETRY_AFTER_FRACTION = 0.6


class EngineForwarder:
    """Serves the requests of all model services."""

    def __init__(self, state: GatewayState, booker: Booker) -> None:
        """Use the host's shared state, and engines that `booker` finds."""
        self._state = state
        self._booker = booker
        self._prefiller = PromptPrefiller(state, booker)

    async def serve(self, ctx: Context) -> None:
        """Serve one request; raise RefusedError if it cannot be served."""
        self._note_arrival(ctx, asyncio.get_running_loop().time())
        relay = EventRelay(ctx.route.resumable, self._state.metrics, self._state.streams)
        if ctx.build is not None:
            # No prompt is prefilled for a stream that no engine of its version would continue.
            reason = f"no decode engine of the version {ctx.build} is free"
            self._pick_decode_engine(ctx, reason, _now())
        prefills = held_bookings = 0
        # One more where a silent engine was given up and the next one may have refused.
        while prefills < MAX_PREFILLS + ctx.silent_prefills and held_bookings < MAX_HELD_BOOKINGS:
            booking = await self._book(ctx, first=prefills == 0)
            use = EngineUse(asyncio.get_running_loop().time())
            direct_prefill = DirectPrefill(booking, self._booker)
            ctx.on_first_byte = direct_prefill.end
            unreached = False
            try:
                handle = await self._prefill(ctx, booking)
                if handle is not None or booking.direct:
                    await self._decode(ctx, booking, use, handle, relay)
                    return
                prefills += 1
            except UpstreamHeldError as error:
                ctx.note(str(error))
                held_bookings += 1
            except UpstreamUnreachedError as error:
                ctx.note(str(error))
                unreached = True
            finally:
                direct_prefill.cancel()
                seconds = asyncio.get_running_loop().time() - use.started_at
                self._booker.end(booking, Stage.DECODE, use.outcome, seconds)
            if unreached:
                await self._wait_for_path(ctx, booking.reader)
        raise ctx.refuse(
            Code.NO_UPSTREAM, "no engine prefilled the prompt", MIN_RETRY_AFTER_SECONDS
        )

    async def _wait_for_path(self, ctx: Context, unreached: Instance) -> None:
        """Wait before engines are tried again, unless there is another one than those tried."""
        usable = self._state.list_usable(ctx.service.name, _now(), ctx.urgent)
        if has_other_of_role(unreached.role, usable, ctx.excluded):
            return
        await asyncio.sleep(RETRY_SECONDS)
        ctx.excluded.clear()

    async def _prefill(self, ctx: Context, booking: Booking) -> KvHandle | None:
        """Have the prompt prefilled by another engine if one is booked.

        Raises UpstreamHeldError if a booked engine accepts no requests at the moment, and
        UpstreamUnreachedError if another one may be booked once a path is found.
        """
        if booking.direct:
            await self._state.permits.reserve(ctx, booking.decoder)
            return None
        return await self._prefiller.prefill(ctx, booking)

    # Booking.

    async def _book(self, ctx: Context, first: bool) -> Booking:
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
            f"reader {booked.reader.name} wait={booked.wait * 1000:.0f}ms unread={booked.tokens} "
            f"from {booked.source.name if booked.source else 'none'} "
            f"decoder {booked.decoder.name} ({booked.decoder.record.build}) "
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

    def _note_arrival(self, ctx: Context, now: float) -> None:
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

    # Decode.

    async def _decode(
        self,
        ctx: Context,
        booking: Booking,
        use: EngineUse,
        handle: KvHandle | None,
        relay: EventRelay,
    ) -> None:
        if booking.reader.replaced:
            # The engine was restarted and lost its KV cache: the decode engine prefills the prompt.
            handle = None
        source = format_kv_source(booking.reader.record.address, handle) if handle else ""
        fetch_from = find_source_address(booking) if booking.direct else None
        try:
            decoder = self._confirm_decoder(ctx, booking.decoder)
            attempt = 0
            while True:
                try:
                    await self._attempt_decode(ctx, decoder, source, relay, fetch_from, attempt)
                    source = ""
                    if decoder is booking.decoder:
                        use.outcome = Outcome.DONE
                    return
                except UpstreamHeldError as error:
                    # Nothing was sent, so the next engine does not count as a repeat.
                    ctx.note(str(error))
                    decoder = await self._replace_held(ctx, relay, error)
                    continue
                except (UpstreamLeavingError, UpstreamBusyError, UpstreamBrokenError) as error:
                    outcome = self._state.note_failed_use(ctx, decoder, error)
                    if decoder is booking.decoder:
                        use.outcome = outcome
                    reason, failure = str(error), error
                    if isinstance(error, UpstreamBrokenError) and error.sent:
                        ctx.runs += 1
                        # The failed attempt has consumed the handle.
                        self._prefiller.free(booking.reader, handle)
                        source, handle = "", None
                ctx.note(f"decoder {decoder.name} failed: {reason}")
                ctx.excluded.add(decoder.name)
                if isinstance(failure, UpstreamUnreachedError):
                    # Nothing reached an engine, so the next one is no repeat.
                    decoder = await self._replace_held(ctx, relay, failure)
                    continue
                decoder = await self._replace_decoder(ctx, relay, reason, attempt)
                attempt += 1
        finally:
            if source:
                self._prefiller.free(booking.reader, handle)

    def _confirm_decoder(self, ctx: Context, decoder: Instance) -> Instance:
        """Return the booked engine, or another one if it no longer accepts requests.

        It was chosen before the prefill, which may take seconds.
        """
        now = asyncio.get_running_loop().time()
        fits = ctx.build in (None, decoder.record.build)
        if fits and decoder.takes_work(Role.DECODE, now):
            return decoder
        if fits:
            ctx.note(f"decoder {decoder.name} is draining or changing its role")
            ctx.excluded.add(decoder.name)
        return self._pick_decode_engine(
            ctx, f"decode engine {decoder.name} is no longer available", now
        )

    def _pick_decode_engine(self, ctx: Context, reason: str, now: float) -> Instance:
        """Return a decode engine; raise RefusedError if there is none."""
        engines = self._state.list_usable(ctx.service.name, now, ctx.urgent, ctx.build)
        decoder = pick_decode_engine(
            engines, self._state.zone, ctx.excluded, now, urgent=ctx.urgent
        )
        if decoder is None:
            wait_seconds = self._state.find_wait_seconds(
                ctx.service.name, now, (Role.DECODE,), ctx.urgent
            )
            code = Code.UPSTREAMS_HELD if wait_seconds else Code.UPSTREAM_REFUSED
            raise ctx.refuse(code, reason, max(MIN_RETRY_AFTER_SECONDS, wait_seconds))
        return decoder

    async def _replace_decoder(
        self, ctx: Context, relay: EventRelay, reason: str, attempt: int
    ) -> Instance:
        """Return another engine to continue the answer; raise RefusedError if none may.

        An answer that has begun waits for an engine for as long as its caller waits for an event.
        """
        give_up_at = relay.progress_at + find_caller_timeout(ctx.route)
        while True:
            try:
                return self._find_replacement(ctx, relay, reason, attempt)
            except RefusedError:
                seconds = FIRST_RESUME_SECONDS * 2**relay.resumes
                if not self._may_repeat(ctx) or _now() + seconds >= give_up_at:
                    raise
            relay.resumes += 1
            await asyncio.sleep(seconds)
            # Engines that failed or refused may have recovered.
            ctx.excluded.clear()

    async def _replace_held(
        self, ctx: Context, relay: EventRelay, failure: UpstreamError
    ) -> Instance:
        """Return an engine in place of one that got no request; raise RefusedError.

        An answer that has begun waits for one as after a refusal, and one that has not while a
        path to it may be found in time.
        """
        give_up_at = relay.progress_at + find_caller_timeout(ctx.route)
        while True:
            try:
                return self._pick_decode_engine(ctx, str(failure), _now())
            except RefusedError:
                waits = _now() + FIRST_RESUME_SECONDS < give_up_at
                if not waits and not waits_for_path(ctx, failure):
                    raise
            await asyncio.sleep(FIRST_RESUME_SECONDS if waits else RETRY_SECONDS)
            ctx.excluded.clear()

    def _find_replacement(
        self, ctx: Context, relay: EventRelay, reason: str, attempt: int
    ) -> Instance:
        """Return another engine to continue the answer; raise RefusedError if there is none now."""
        now = _now()
        allowed = attempt + 1 < MAX_DECODE_ATTEMPTS or relay.started
        if not allowed or not self._may_repeat(ctx):
            raise ctx.refuse(Code.UPSTREAM_REFUSED, reason, MIN_RETRY_AFTER_SECONDS)
        decoder = self._pick_decode_engine(ctx, reason, now)
        reserved = ctx.use_reserved_retry()
        if not reserved and not self._state.budgets.find(ctx.service.name).take(now):
            raise ctx.refuse(Code.UPSTREAM_REFUSED, reason, MIN_RETRY_AFTER_SECONDS)
        ctx.note(
            f"decoder {decoder.name} ({decoder.record.build}) after event {relay.last_event!r} "
            f"of {ctx.build}"
        )
        return decoder

    @staticmethod
    def _may_repeat(ctx: Context) -> bool:
        """Return whether the route allows another attempt after those that may have run."""
        if ctx.runs >= ctx.route.max_attempts:
            return False
        return ctx.repeatable or not ctx.may_have_run

    def _reserve_resumption(self, ctx: Context, decoder: Instance) -> bool:
        """Return whether another engine continues a silent one's answer, and reserve its retry.

        An engine that can still be reached goes on itself; another one might refuse.
        """
        return self._state.prober.is_unreachable(decoder) and self._reserve_replacement(
            ctx, decoder, 0
        )

    def _reserve_replacement(self, ctx: Context, decoder: Instance, attempt: int) -> bool:
        """Return whether another engine takes over from a silent one, and reserve its retry."""
        if not ctx.may_run_again or attempt + 1 >= MAX_DECODE_ATTEMPTS:
            return False
        if self._state.guard.holds_back(ctx):
            return False
        has_other = functools.partial(self._has_other_decoder, ctx)
        return self._state.reserve_takeover(ctx, decoder, has_other)

    def _has_other_decoder(
        self, ctx: Context, usable: list[Instance], excluded: Collection[str]
    ) -> bool:
        zone, now = self._state.zone, _now()
        fitting = [item for item in usable if ctx.build in (None, item.record.build)]
        return pick_decode_engine(fitting, zone, excluded, now, urgent=ctx.urgent) is not None

    async def _attempt_decode(
        self,
        ctx: Context,
        decoder: Instance,
        source: str,
        relay: EventRelay,
        fetch_from: tuple[str, int] | None,
        attempt: int,
    ) -> None:
        relay.silence = SilenceLimit(
            self._max_event_gap(ctx),
            functools.partial(self._reserve_resumption, ctx, decoder),
            ctx.withdraw_retry,
        )
        forwarding = ForwardingHeaders(
            decoder.record.instance,
            ctx.seconds_left,
            ctx.priority,
            kv_source=source,
            last_event=relay.last_event,
            fetch_from=fetch_from,
        )
        started_at = asyncio.get_running_loop().time()
        head_silence = SilenceLimit(
            ctx.seconds_left * FIRST_TOKEN_SHARE,
            functools.partial(self._reserve_replacement, ctx, decoder, attempt),
            ctx.withdraw_retry,
        )
        plan = AttemptPlan(decoder, forwarding, head_silence)
        async with self._state.attempt(ctx, decoder):
            await make_attempt(ctx, self._state.pool, plan, relay)
        now = asyncio.get_running_loop().time()
        self._state.demand.note_hold(ctx.route.name, now - started_at)
        self._state.ejector.note_success(decoder.name, now)

    def _max_event_gap(self, ctx: Context) -> float:
        # Half of the time after which callers abandon a stream (see `find_caller_timeout`), so that
        # there is time to resume it elsewhere.
        return max(1.0, 2 * ctx.route.objective, 4 * ctx.route.gap_objective)


def _now() -> float:
    return asyncio.get_running_loop().time()


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
