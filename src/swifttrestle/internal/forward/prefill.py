"""Has prompts prefilled by engines, and manages the handles of their KV caches."""

import asyncio
import contextlib
import functools
from collections.abc import Collection
from dataclasses import dataclass

from swifttrestle.codes import Code
from swifttrestle.errors import (
    UpstreamBrokenError,
    UpstreamBusyError,
    UpstreamLeavingError,
    UpstreamSilentError,
)
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.attempt import build_request
from swifttrestle.internal.forward.booking import Booker
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.forward.path_waiting import waits_for_path
from swifttrestle.internal.state.bookings import Booking, Outcome, Stage
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.transport.messages import Framing
from swifttrestle.internal.transport.pool import call_once
from swifttrestle.internal.transport.silence import SilenceLimit, limit_silence
from swifttrestle.internal.transport.upstream import OutgoingRequest
from swifttrestle.platform.engine import (
    KvHandle,
    build_engine_headers,
    build_handle_path,
    read_handle,
)
from swifttrestle.platform.wire import ForwardingHeaders, read_response_metadata

# Maximum prefill attempts of one request, the first one included.
MAX_PREFILLS = 2
# Timeout of a prefill, as a multiple of its predicted duration, and its minimum.
PREFILL_TIMEOUT_FACTOR = 4.0
MIN_PREFILL_TIMEOUT_SECONDS = 1.0
# Timeout of the call that frees a handle.
FREE_TIMEOUT_SECONDS = 1.0
# Retry-After where no engine prefilled the prompt.
RETRY_AFTER_SECONDS = 0.05
MAX_ANSWER_BYTES = 64 * 1024


@dataclass
class EngineUse:
    """The use of one booked engine; `started_at` is in the loop's time."""

    started_at: float
    outcome: Outcome = Outcome.CANCELLED


class DirectPrefill:
    """The prefill of a prompt by its decode engine, which ends with the first token."""

    def __init__(self, booking: Booking, booker: Booker) -> None:
        """Start now; has no effect for a booking with a separate prefill engine."""
        self._booking = booking
        self._booker = booker
        self._started_at = asyncio.get_running_loop().time()
        self._active = booking.direct

    def end(self) -> None:
        """Record that the prompt has been prefilled."""
        self._end(Outcome.DONE)

    def cancel(self) -> None:
        """Record that the prefill was abandoned, unless it has ended."""
        self._end(Outcome.CANCELLED)

    def _end(self, outcome: Outcome) -> None:
        if self._active:
            self._active = False
            seconds = asyncio.get_running_loop().time() - self._started_at
            self._booker.end(self._booking, Stage.READ, outcome, seconds)


class PromptPrefiller:
    """Has prompts prefilled by the engines that were booked for that."""

    def __init__(self, state: GatewayState, booker: Booker) -> None:
        """Use the host's shared state; release engines to `booker`."""
        self._state = state
        self._booker = booker
        self._background: set[asyncio.Task[None]] = set()

    async def prefill(self, ctx: Context, booking: Booking) -> KvHandle | None:
        """Have the prompt prefilled; return None if the engine refused or failed.

        Raises RefusedError if no other engine may be tried, UpstreamHeldError if either of the
        booked engines accepts no requests at the moment, and UpstreamUnreachedError if a path to
        the engine may be found a little later.
        """
        reader, loop = booking.reader, asyncio.get_running_loop()
        use = EngineUse(loop.time())
        expected = (
            booking.wait + booking.fetch_seconds + booking.tokens / reader.effective_read_rate
        )
        silence = SilenceLimit(
            max(MIN_PREFILL_TIMEOUT_SECONDS, PREFILL_TIMEOUT_FACTOR * expected),
            functools.partial(self._reserve_replacement, ctx, reader),
            ctx.withdraw_retry,
        )
        try:
            # Both engines, so that no prompt is prefilled for an engine that then decodes nothing.
            await self._state.permits.reserve(ctx, reader, booking.decoder)
            async with self._state.attempt(ctx, reader, is_final_answer=False):
                handle = await self._request_prefill(ctx, booking, silence)
            use.outcome = Outcome.DONE
            self._state.ejector.note_success(reader.name, loop.time())
        except (UpstreamLeavingError, UpstreamBusyError, UpstreamBrokenError) as error:
            use.outcome = self._state.note_failed_use(ctx, reader, error)
            if waits_for_path(ctx, error):
                # Nothing was sent, so the next engine is no repeat.
                ctx.excluded.add(reader.name)
                raise
            if isinstance(error, UpstreamSilentError):
                ctx.silent_prefills += 1
            self._record_failure(ctx, reader, use.outcome, str(error))
            return None
        finally:
            seconds = loop.time() - use.started_at
            self._booker.end(booking, Stage.READ, use.outcome, seconds)
        self._state.metrics.observe("gateway_read_seconds", seconds)
        ctx.note(f"read {handle.tokens} tokens")
        return handle

    def free(self, reader: Instance, handle: KvHandle | None) -> None:
        """Free a handle in the background, so that the engine can reuse its memory."""
        if handle is None or reader.gone:
            return
        task = asyncio.ensure_future(self._free_handle(reader, handle))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _record_failure(
        self, ctx: Context, reader: Instance, outcome: Outcome, reason: str
    ) -> None:
        """Record a failed prefill; raise RefusedError if it may not be repeated.

        A rejection itself counts against the retry budget, and the attempt after it does not. After
        any other failure, the next attempt counts.
        """
        ctx.failed_prefills += 1
        ctx.excluded.add(reader.name)
        ctx.note(f"reader {reader.name} failed: {reason}")
        now = asyncio.get_running_loop().time()
        budget = self._state.budgets.find(ctx.service.name)
        if outcome in (Outcome.REFUSED, Outcome.GONE):
            budget.note_repeat(now)
            allowed = budget.allows(now)
            if ctx.silent_prefills:
                # The engine that was silent may go on by now.
                ctx.excluded.clear()
        else:
            allowed = ctx.use_reserved_retry() or budget.take(now)
        if not allowed:
            raise ctx.refuse(Code.UPSTREAM_REFUSED, reason, RETRY_AFTER_SECONDS)

    def _reserve_replacement(self, ctx: Context, reader: Instance) -> bool:
        """Return whether another engine takes over from a silent one, and reserve its retry."""
        if ctx.failed_prefills + 1 >= MAX_PREFILLS:
            return False
        has_other = functools.partial(has_other_of_role, reader.role)
        return self._state.reserve_takeover(ctx, reader, has_other)

    async def _request_prefill(
        self, ctx: Context, booking: Booking, silence: SilenceLimit
    ) -> KvHandle:
        reader = booking.reader
        forwarding = ForwardingHeaders(
            reader.record.instance,
            ctx.seconds_left,
            ctx.priority,
            prefill_only=True,
            fetch_from=find_source_address(booking),
        )
        try:
            async with limit_silence(silence):
                head, content = await call_once(
                    self._state.pool,
                    reader.name,
                    reader.record.address,
                    build_request(ctx, forwarding),
                    MAX_ANSWER_BYTES,
                )
        except TimeoutError:
            raise UpstreamSilentError(
                f"no prefill within {silence.seconds:.2f} s by {reader.name}"
            ) from None
        metadata = read_response_metadata(head.status, head.headers, reader.record.instance)
        if metadata.not_run:
            ctx.note_call_not_run()
            if metadata.replaced:
                raise UpstreamLeavingError(f"{reader.name} was replaced at its address")
            raise UpstreamBusyError(f"{reader.name} refused with {head.status}")
        if head.status != 200 or metadata.request_id not in (b"", ctx.request_metadata.request_id):
            raise UpstreamBrokenError(f"{reader.name} answered {head.status}")
        return read_handle(content)

    async def _free_handle(self, reader: Instance, handle: KvHandle) -> None:
        request = OutgoingRequest(
            b"DELETE",
            build_handle_path(handle),
            build_engine_headers(reader.record.instance),
            Framing.NONE,
            0,
            None,
        )
        with contextlib.suppress(TimeoutError):
            try:
                async with asyncio.timeout(FREE_TIMEOUT_SECONDS):
                    await call_once(
                        self._state.pool,
                        reader.name,
                        reader.record.address,
                        request,
                        MAX_ANSWER_BYTES,
                    )
            except UpstreamBrokenError as error:
                log_event("handle not freed", engine=reader.name, reason=str(error))


def has_other_of_role(role: Role, usable: list[Instance], excluded: Collection[str]) -> bool:
    """Return whether one of the usable engines has a role and is not excluded."""
    return any(item.role is role and item.name not in excluded for item in usable)


def find_source_address(booking: Booking) -> tuple[str, int] | None:
    """Return the address to fetch KV cache from; None if there is nothing to fetch."""
    source = booking.source
    return None if source is None or source.leaving else source.record.address
