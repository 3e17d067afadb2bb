"""Forwards requests to model engines: has the prompt prefilled, and relays the answer."""

import asyncio
import functools

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
from swifttrestle.internal.forward.decode_engines import DecodeEngines
from swifttrestle.internal.forward.engine_admission import (
    MIN_RETRY_AFTER_SECONDS,
    EngineAdmission,
)
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
from swifttrestle.internal.policy.waiting import find_caller_timeout
from swifttrestle.internal.state.bookings import Booking, Outcome, Stage
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance
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


class EngineForwarder:
    """Serves the requests of all model services."""

    def __init__(self, state: GatewayState, booker: Booker) -> None:
        """Use the host's shared state, and engines that `booker` finds."""
        self._state = state
        self._booker = booker
        self._admission = EngineAdmission(state, booker)
        self._prefiller = PromptPrefiller(state, booker)
        self._decode_engines = DecodeEngines(state)

    async def serve(self, ctx: Context) -> None:
        """Serve one request; raise RefusedError if it cannot be served."""
        self._admission.refuse_too_large(ctx)
        self._admission.note_arrival(ctx, asyncio.get_running_loop().time())
        relay = EventRelay(
            ctx.route.resumable,
            self._state.metrics,
            self._state.streams,
            functools.partial(self._decode_engines.can_begin, ctx),
        )
        if ctx.build is not None:
            # No prompt is prefilled for a stream that no engine of its version would continue.
            reason = f"no decode engine of the version {ctx.build} is available"
            await self._decode_engines.take(ctx, reason)
        prefills = held_bookings = 0
        # One more where a silent engine was given up and the next one may have refused.
        while prefills < MAX_PREFILLS + ctx.silent_prefills and held_bookings < MAX_HELD_BOOKINGS:
            booking = await self._admission.book(ctx, first=prefills == 0)
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
            decoder = await self._confirm_decoder(ctx, booking.decoder)
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
                    # Without its traceback, which refers to this frame.
                    reason, failure = str(error), error.with_traceback(None)
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

    async def _confirm_decoder(self, ctx: Context, decoder: Instance) -> Instance:
        """Return the booked engine, or another one if it no longer accepts requests.

        It was chosen before the prefill, which may take seconds.
        """
        now = asyncio.get_running_loop().time()
        fits = decoder.may_continue(ctx.build)
        if fits and decoder.takes_work(Role.DECODE, now):
            return decoder
        if fits:
            ctx.note(f"decoder {decoder.name} is draining or changing its role")
            ctx.excluded.add(decoder.name)
        return await self._decode_engines.take(
            ctx, f"decode engine {decoder.name} is no longer available"
        )

    async def _replace_decoder(
        self, ctx: Context, relay: EventRelay, reason: str, attempt: int
    ) -> Instance:
        """Return another engine to continue the answer; raise RefusedError if none may.

        An answer that has begun waits for an engine for as long as its caller waits for an event,
        and so does a stream that is taken up, if it has not run.
        """
        while True:
            try:
                return self._find_replacement(ctx, relay, reason, attempt)
            except RefusedError:
                seconds = FIRST_RESUME_SECONDS * 2**relay.resumes
                if not self._allows(ctx, attempt) or not self._may_wait(ctx, relay, seconds):
                    raise
            relay.resumes += 1
            await asyncio.sleep(seconds)
            # Engines that failed or refused may have recovered.
            ctx.excluded.clear()

    async def _replace_held(
        self, ctx: Context, relay: EventRelay, failure: UpstreamError
    ) -> Instance:
        """Return an engine in place of one that got no request; raise RefusedError.

        An answer that has begun, or a stream that is taken up, waits for one as after a refusal,
        and any other one while a path to it may be found in time.
        """
        while True:
            try:
                return self._decode_engines.pick(ctx, str(failure), _now())
            except RefusedError:
                waits = self._may_wait(ctx, relay, FIRST_RESUME_SECONDS)
                if not waits and not waits_for_path(ctx, failure):
                    raise
            await asyncio.sleep(FIRST_RESUME_SECONDS if waits else RETRY_SECONDS)
            ctx.excluded.clear()

    def _find_replacement(
        self, ctx: Context, relay: EventRelay, reason: str, attempt: int
    ) -> Instance:
        """Return another engine to continue the answer; raise RefusedError if there is none now."""
        now = _now()
        if not self._allows(ctx, attempt):
            raise ctx.refuse(Code.UPSTREAM_REFUSED, reason, MIN_RETRY_AFTER_SECONDS)
        decoder = self._decode_engines.pick(ctx, reason, now)
        reserved = ctx.use_reserved_retry()
        if not reserved and not self._state.budgets.find(ctx.service.name).take(now):
            raise ctx.refuse(Code.UPSTREAM_REFUSED, reason, MIN_RETRY_AFTER_SECONDS)
        ctx.note(
            f"decoder {decoder.name} ({decoder.record.build}) after event {relay.last_event!r} "
            f"of {ctx.build}"
        )
        return decoder

    def _may_wait(self, ctx: Context, relay: EventRelay, seconds: float) -> bool:
        """Return whether a request's caller waits for so long until its next event.

        If all engines of its version have restarted, only an answer that has begun waits.
        """
        if not ctx.answer.begun and self._decode_engines.have_all_restarted(ctx):
            return False
        give_up_at = relay.progress_at + find_caller_timeout(ctx.route)
        return _now() + seconds < give_up_at or self._decode_engines.may_wait(ctx, seconds)

    def _allows(self, ctx: Context, attempt: int) -> bool:
        """Return whether another attempt may follow `attempt`, the last one's number."""
        allowed = attempt + 1 < MAX_DECODE_ATTEMPTS or ctx.answer.begun
        return allowed and self._may_repeat(ctx)

    @staticmethod
    def _may_repeat(ctx: Context) -> bool:
        """Return whether the route and the answer allow another attempt after those so far."""
        if ctx.runs >= ctx.route.max_attempts or not ctx.answer.accepts_run:
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
        has_other = functools.partial(self._decode_engines.has_other, ctx)
        return self._state.reserve_takeover(ctx, decoder, has_other)

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
