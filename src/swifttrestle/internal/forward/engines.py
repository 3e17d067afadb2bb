"""Requests to model engines: a place to make tokens first, then the prompt, then the stream."""

import asyncio
import math

from swifttrestle.codes import Code
from swifttrestle.errors import (
    RefusedError,
    UpstreamBrokenError,
    UpstreamBusyError,
    UpstreamHeldError,
    UpstreamLeavingError,
)
from swifttrestle.internal.forward.attempt import AttemptPlan, make_attempt
from swifttrestle.internal.forward.booking import Booker
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.events import EventRelay
from swifttrestle.internal.forward.finding import LATE_WAIT_SHARE, reads_soon
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.forward.reading import (
    DirectReading,
    PromptReader,
    Use,
    find_source_address,
)
from swifttrestle.internal.policy.placement import pick_decoder
from swifttrestle.internal.policy.waiting import (
    LATE_SHARE,
    PREFILL_DEADLINE_SHARE,
    WAIT_SHARE,
    find_patience,
)
from swifttrestle.internal.state.bookings import Booking, BookingRequest, NoCapacity, Outcome, Stage
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.prompt_cache import PromptPart
from swifttrestle.platform.engine import KvHandle, format_kv_source
from swifttrestle.platform.wire import ForwardingHeaders

# Prompt readings of one request, the first included, and attempts to make its tokens.
MOST_READS = 2
MOST_DECODES = 3
# Bookings of one request whose engines took nothing, each the word of another host: more mean that
# the limits leave nothing for it.
MOST_HELD = 8
# Share of what is left that a repeatable request waits for its first token at one engine.
FIRST_TOKEN_SHARE = 0.5
# Bounds of the time to come back, in seconds.
LEAST_RETRY_AFTER = 0.05
# Seconds after which a caller may come back where no engine is listed: about one heartbeat.
NO_ENGINE_RETRY_AFTER = 0.5
MOST_RETRY_AFTER = 3.0
# Callers wait as told up to a third of the time that they have left; a little less is asked.
HONOURED_SHARE = 0.32
# Share of the longest time to come back at which the first of the refused callers returns.
SOONEST_RETURN = 0.6


class EngineForwarder:
    """Serves the requests of all model services."""

    def __init__(self, parts: GatewayState, booker: Booker) -> None:
        """Use the host's shared parts, and engines that `booker` finds."""
        self._state = parts
        self._booker = booker
        self._reader = PromptReader(parts, booker)

    async def serve(self, ctx: Context) -> None:
        """Serve one request; raise RefusedError where it is given up on."""
        self._note_arrival(ctx, asyncio.get_running_loop().time())
        relay = EventRelay(ctx.route.resumable, self._longest_pause(ctx))
        reads = held = 0
        while reads < MOST_READS and held < MOST_HELD:
            booking = await self._book(ctx, first=reads == 0)
            use = Use(asyncio.get_running_loop().time())
            reading = DirectReading(booking, self._booker)
            ctx.on_first_byte = reading.end
            try:
                handle = await self._read(ctx, booking)
                if handle is not None or booking.direct:
                    await self._decode(ctx, booking, use, handle, relay)
                    return
                reads += 1
            except UpstreamHeldError as error:
                ctx.note(str(error))
                held += 1
            finally:
                reading.cancel()
                seconds = asyncio.get_running_loop().time() - use.began
                self._booker.end(booking, Stage.DECODE, use.outcome, seconds)
        raise ctx.refuse(Code.NO_UPSTREAM, "no engine read the prompt", LEAST_RETRY_AFTER)

    async def _read(self, ctx: Context, booking: Booking) -> KvHandle | None:
        """Have the prompt read where another engine does so; raise UpstreamHeldError."""
        if booking.direct:
            await self._state.permits.reserve(ctx, booking.decoder)
            return None
        return await self._reader.read(ctx, booking)

    # Booking.

    async def _book(self, ctx: Context, first: bool) -> Booking:
        latest_read = ctx.route.objective * PREFILL_DEADLINE_SHARE - ctx.age
        longest = ctx.route.objective * WAIT_SHARE - ctx.age
        if not first:
            longest = ctx.left * LATE_WAIT_SHARE
        request = BookingRequest(
            service=ctx.service.name,
            zone=self._state.zone,
            tokens=ctx.facts.prompt_tokens,
            affinity=find_affinity(ctx),
            priority=ctx.priority,
            urgent=ctx.urgent,
            left=ctx.left,
            longest_wait=max(0.0, min(longest, ctx.left)),
            longest_read_wait=latest_read,
            latest_read=latest_read if first else math.inf,
            late=ctx.lost_reads > 0,
            excluded=frozenset(ctx.excluded),
            parts=name_parts(ctx),
            max_wait=min(ctx.left, find_patience(ctx.route) - ctx.age) * LATE_SHARE,
        )
        self._check_holds(ctx, request)
        found = await self._booker.book(request)
        if isinstance(found, NoCapacity):
            raise self._refuse_for_load(ctx, found)
        self._state.metrics.observe("gateway_queue_seconds", ctx.age)
        if not found.direct:
            self._state.demand.note_read(ctx.service.name, request.tokens, found.tokens)
        ctx.note(
            f"reader {found.reader.name} wait={found.wait * 1000:.0f}ms unread={found.tokens} "
            f"from {found.source.name if found.source else 'none'} "
            f"decoder {found.decoder.name} open={found.decoder.total.requests} "
            f"by {found.reference.host if found.reference else 'this host'}"
        )
        return found

    def _check_holds(self, ctx: Context, request: BookingRequest) -> None:
        """Refuse a request at once that would wait in vain for engines that take nothing now."""
        hold = self._find_hold(ctx)
        if hold > max(request.longest_wait, request.max_wait):
            reason = "the engines take nothing now by their own word"
            raise ctx.refuse(Code.UPSTREAMS_HELD, reason, max(LEAST_RETRY_AFTER, hold))

    def _find_hold(self, ctx: Context) -> float:
        """Return the seconds until engines of each role that it needs take a request."""
        service, now = ctx.service.name, asyncio.get_running_loop().time()
        engines = self._state.fleet.list_service(service)
        short = reads_soon(ctx.facts.prompt_tokens, engines)
        roles = (Role.DECODE,) if short else (Role.DECODE, Role.PREFILL)
        return self._state.find_wait_seconds(service, now, roles, ctx.urgent)

    def _note_arrival(self, ctx: Context, now: float) -> None:
        self._state.budgets.find(ctx.service.name).note_request(now)
        engines = self._state.fleet.list_service(ctx.service.name)
        tokens = ctx.facts.prompt_tokens
        tokens = 0 if reads_soon(tokens, engines) else tokens
        self._state.demand.note_arrival(ctx.service.name, ctx.route.name, tokens, now)

    def _refuse_for_load(self, ctx: Context, found: NoCapacity) -> RefusedError:
        engines = self._state.fleet.list_service(ctx.service.name)
        if not engines:
            return ctx.refuse(Code.NO_UPSTREAM, "no engine is listed", NO_ENGINE_RETRY_AFTER)
        hold = self._find_hold(ctx)
        retry = self._choose_retry_after(ctx, max(hold, found.next_free_seconds))
        reason = (
            f"no engine has room: {found.waiting} wait, {len(engines)} engines, "
            f"soonest free in {found.next_free_seconds * 1000:.0f} ms"
        )
        return ctx.refuse(Code.UPSTREAMS_HELD if hold else Code.OVERLOADED, reason, retry)

    def _choose_retry_after(self, ctx: Context, next_free_seconds: float) -> float:
        """Return when a caller that was refused for load is to come back, in seconds.

        Engines that are full now stay so for as long as the swing lasts, so the later a caller
        comes back the better it fares. Those that are refused together come back apart.
        """
        longest = min(HONOURED_SHARE * ctx.left, MOST_RETRY_AFTER)
        spread = SOONEST_RETURN + (1 - SOONEST_RETURN) * self._state.rng.random()
        return max(LEAST_RETRY_AFTER, next_free_seconds, longest * spread)

    # The tokens.

    async def _decode(
        self,
        ctx: Context,
        booking: Booking,
        use: Use,
        handle: KvHandle | None,
        relay: EventRelay,
    ) -> None:
        if booking.reader.replaced:
            # What its former start kept is gone: the engine that makes the tokens reads all itself.
            handle = None
        source = format_kv_source(booking.reader.record.address, handle) if handle else ""
        fetch_from = find_source_address(booking) if booking.direct else None
        try:
            decoder = self._confirm_decoder(ctx, booking.decoder)
            number = 0
            while True:
                try:
                    await self._try_decoder(ctx, decoder, source, relay, fetch_from)
                    source = ""
                    if decoder is booking.decoder:
                        use.outcome = Outcome.DONE
                    return
                except UpstreamHeldError as error:
                    # Nothing was sent, so that the next engine is not paid for.
                    ctx.note(str(error))
                    decoder = self._pick_decoder(ctx, str(error), _now())
                    continue
                except (UpstreamLeavingError, UpstreamBusyError, UpstreamBrokenError) as error:
                    outcome = self._state.note_failed_use(ctx, decoder, error)
                    if decoder is booking.decoder:
                        use.outcome = outcome
                    reason = str(error)
                    if isinstance(error, UpstreamBrokenError):
                        ctx.runs += 1
                        # The handle was taken by the run that broke.
                        if error.sent:
                            self._reader.free(booking.reader, handle)
                            source, handle = "", None
                ctx.note(f"decoder {decoder.name} failed: {reason}")
                ctx.excluded.add(decoder.name)
                decoder = self._next_decoder(ctx, relay, reason, number)
                number += 1
        finally:
            if source:
                self._reader.free(booking.reader, handle)

    def _confirm_decoder(self, ctx: Context, decoder: Instance) -> Instance:
        """Return the booked engine, or another one where it takes no new work any more.

        It was chosen before the prompt was read, which may take seconds.
        """
        now = asyncio.get_running_loop().time()
        if decoder.takes_work(Role.DECODE, now):
            return decoder
        ctx.note(f"decoder {decoder.name} leaves or changes")
        ctx.excluded.add(decoder.name)
        return self._pick_decoder(ctx, "the engine that was to make the tokens leaves", now)

    def _pick_decoder(self, ctx: Context, reason: str, now: float) -> Instance:
        """Return an engine to make the tokens; raise RefusedError where there is none."""
        engines = self._state.list_usable(ctx.service.name, now, ctx.urgent)
        decoder = pick_decoder(engines, self._state.zone, ctx.excluded, now, urgent=ctx.urgent)
        if decoder is None:
            hold = self._state.find_wait_seconds(ctx.service.name, now, (Role.DECODE,), ctx.urgent)
            code = Code.UPSTREAMS_HELD if hold else Code.UPSTREAM_REFUSED
            raise ctx.refuse(code, reason, max(LEAST_RETRY_AFTER, hold))
        return decoder

    def _next_decoder(self, ctx: Context, relay: EventRelay, reason: str, number: int) -> Instance:
        """Return another engine for the same answer; raise RefusedError where none may run."""
        now = asyncio.get_running_loop().time()
        allowed = number + 1 < MOST_DECODES and ctx.runs < ctx.route.max_attempts
        allowed = allowed and (ctx.repeatable or not ctx.may_have_run)
        if not allowed:
            raise ctx.refuse(Code.UPSTREAM_REFUSED, reason, LEAST_RETRY_AFTER)
        decoder = self._pick_decoder(ctx, reason, now)
        if not self._state.budgets.find(ctx.service.name).take(now):
            raise ctx.refuse(Code.UPSTREAM_REFUSED, reason, LEAST_RETRY_AFTER)
        ctx.note(f"decoder {decoder.name} after event {relay.last_event!r}")
        return decoder

    async def _try_decoder(
        self,
        ctx: Context,
        decoder: Instance,
        source: str,
        relay: EventRelay,
        fetch_from: tuple[str, int] | None,
    ) -> None:
        max_wait = ctx.left
        if ctx.repeatable and ctx.runs + 1 < ctx.route.max_attempts:
            max_wait *= FIRST_TOKEN_SHARE
        added = ForwardingHeaders(
            decoder.record.instance,
            ctx.left,
            ctx.priority,
            kv_source=source,
            last_event=relay.last_event,
            fetch_from=fetch_from,
        )
        began = asyncio.get_running_loop().time()
        plan = AttemptPlan(decoder, added, max_wait)
        async with self._state.attempt(ctx, decoder):
            await make_attempt(ctx, self._state.pool, plan, relay)
        now = asyncio.get_running_loop().time()
        self._state.demand.note_hold(ctx.route.name, now - began)
        self._state.ejector.note_success(decoder.name, now)

    def _longest_pause(self, ctx: Context) -> float:
        # Callers give a stream up after two seconds or four objectives; half of that leaves
        # time to go on elsewhere.
        return max(1.0, 2 * ctx.route.objective, 4 * ctx.route.gap_objective)


def _now() -> float:
    return asyncio.get_running_loop().time()


def name_parts(ctx: Context) -> tuple[PromptPart, ...]:
    """Return the prompt's parts under names that other models' parts do not have."""
    facts = ctx.facts
    return tuple(PromptPart(f"{facts.model}/{item.part}", item.tokens) for item in facts.parts)


def find_affinity(ctx: Context) -> str:
    """Return the id of the last part that other requests share, or of the whole request."""
    parts = ctx.facts.parts
    if len(parts) >= 2:
        return parts[-2].part
    return parts[-1].part if parts else ctx.facts.request_id.decode("latin-1")
