"""The reading of a request's prompt at an engine, and the handle of what that keeps for it."""

import asyncio
import contextlib
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
from swifttrestle.internal.state.bookings import Booking, Outcome, Stage
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.transport.messages import Framing
from swifttrestle.internal.transport.pool import call_once
from swifttrestle.internal.transport.upstream import OutgoingRequest
from swifttrestle.platform.engine import (
    KvHandle,
    build_engine_headers,
    build_handle_path,
    read_handle,
)
from swifttrestle.platform.wire import ForwardingHeaders, read_response_metadata

# An engine that has not read a prompt after this many times the predicted time is given up
# on; no sooner than LEAST_READ_SECONDS.
READ_PATIENCE = 4.0
LEAST_READ_SECONDS = 1.0
# Seconds in which a freed handle's call must be answered.
FREE_SECONDS = 1.0
# Seconds after which a caller may come back whose prompt no engine read.
SOON_SECONDS = 0.05
SMALL_ANSWER_BYTES = 64 * 1024


@dataclass
class Use:
    """The use of one booked engine so far; `began` in the loop's time."""

    began: float
    outcome: Outcome = Outcome.CANCELLED


class DirectReading:
    """The reading of a prompt by the engine that makes the tokens: over with the first of these."""

    def __init__(self, booking: Booking, booker: Booker) -> None:
        """Begin now; a booking of two engines is left alone."""
        self._booking = booking
        self._booker = booker
        self._began = asyncio.get_running_loop().time()
        self._open = booking.direct

    def end(self) -> None:
        """Note that the prompt has been read."""
        self._end(Outcome.DONE)

    def cancel(self) -> None:
        """Note that the engine does not read it any more, unless it has done so."""
        self._end(Outcome.CANCELLED)

    def _end(self, outcome: Outcome) -> None:
        if self._open:
            self._open = False
            seconds = asyncio.get_running_loop().time() - self._began
            self._booker.end(self._booking, Stage.READ, outcome, seconds)


class PromptReader:
    """Has prompts read by the engines that were booked for it."""

    def __init__(self, parts: GatewayState, booker: Booker) -> None:
        """Use the host's shared parts; give readers back to `booker`."""
        self._state = parts
        self._booker = booker
        self._background: set[asyncio.Task[None]] = set()

    async def read(self, ctx: Context, booking: Booking) -> KvHandle | None:
        """Have the prompt read; None where the engine refused or failed.

        Raises RefusedError where no other engine may be tried, and UpstreamHeldError where one of
        the two takes nothing now: a prompt is not read for an engine that then makes no tokens.
        """
        reader, loop = booking.reader, asyncio.get_running_loop()
        use = Use(loop.time())
        expected = (
            booking.wait + booking.fetch_seconds + booking.tokens / reader.effective_read_rate
        )
        limit = max(LEAST_READ_SECONDS, READ_PATIENCE * expected)
        try:
            await self._state.permits.reserve(ctx, reader, booking.decoder)
            async with self._state.attempt(ctx, reader, acquits=False):
                handle = await self._call(ctx, booking, min(limit, max(0.0, ctx.left)))
            use.outcome = Outcome.DONE
            self._state.ejector.note_success(reader.name, loop.time())
        except (UpstreamLeavingError, UpstreamBusyError, UpstreamBrokenError) as error:
            use.outcome = self._state.note_failed_use(ctx, reader, error)
            self._note_lost(ctx, reader, use.outcome, str(error))
            return None
        finally:
            seconds = loop.time() - use.began
            self._booker.end(booking, Stage.READ, use.outcome, seconds)
        self._state.metrics.observe("gateway_read_seconds", seconds)
        ctx.note(f"read {handle.tokens} tokens")
        return handle

    def free(self, reader: Instance, handle: KvHandle | None) -> None:
        """Free a handle in the background: its memory is of use to others."""
        if handle is None or reader.gone:
            return
        task = asyncio.ensure_future(self._call_free(reader, handle))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _note_lost(self, ctx: Context, reader: Instance, outcome: Outcome, reason: str) -> None:
        """Count a reading that failed; raise RefusedError where none may follow.

        The first reading that an engine takes up is free, and each that is rejected counts as
        a repeat: after a rejection the next one is free again, after a broken one it counts.
        """
        ctx.lost_reads += 1
        ctx.excluded.add(reader.name)
        ctx.note(f"reader {reader.name} failed: {reason}")
        now = asyncio.get_running_loop().time()
        budget = self._state.budgets.find(ctx.service.name)
        if outcome in (Outcome.REFUSED, Outcome.GONE):
            budget.note_repeat(now)
            allowed = budget.allows(now)
        else:
            allowed = budget.take(now)
        if not allowed:
            raise ctx.refuse(Code.UPSTREAM_REFUSED, reason, SOON_SECONDS)

    async def _call(self, ctx: Context, booking: Booking, limit: float) -> KvHandle:
        reader = booking.reader
        added = ForwardingHeaders(
            reader.record.instance,
            ctx.left,
            ctx.priority,
            prefill_only=True,
            fetch_from=find_source_address(booking),
        )
        try:
            async with asyncio.timeout(limit):
                head, content = await call_once(
                    self._state.pool,
                    reader.name,
                    reader.record.address,
                    build_request(ctx, added),
                    SMALL_ANSWER_BYTES,
                )
        except TimeoutError:
            raise UpstreamSilentError("the prompt was not read in time") from None
        facts = read_response_metadata(head.status, head.headers, reader.record.instance)
        if facts.not_run:
            if facts.replaced:
                raise UpstreamLeavingError(f"{reader.name} takes no prompts at its address")
            raise UpstreamBusyError(f"{reader.name} refused with {head.status}")
        if head.status != 200 or facts.request_id not in (b"", ctx.facts.request_id):
            raise UpstreamBrokenError(f"{reader.name} answered {head.status}")
        return read_handle(content)

    async def _call_free(self, reader: Instance, handle: KvHandle) -> None:
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
                async with asyncio.timeout(FREE_SECONDS):
                    await call_once(
                        self._state.pool,
                        reader.name,
                        reader.record.address,
                        request,
                        SMALL_ANSWER_BYTES,
                    )
            except UpstreamBrokenError as error:
                log_event("handle not freed", engine=reader.name, reason=str(error))


def find_source_address(booking: Booking) -> tuple[str, int] | None:
    """Return where the reader is to fetch from; None where it reads all that it lacks."""
    source = booking.source
    return None if source is None or source.leaving else source.record.address
