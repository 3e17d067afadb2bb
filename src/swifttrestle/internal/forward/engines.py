"""Requests to model engines: a place to make tokens first, then the prompt, then the stream."""

import asyncio
import contextlib
from collections import defaultdict
from dataclasses import dataclass

from swifttrestle.codes import Code
from swifttrestle.errors import (
    RefusedError,
    UpstreamBrokenError,
    UpstreamBusyError,
    UpstreamLeavingError,
)
from swifttrestle.internal.forward.attempt import AttemptPlan, build_request, make_attempt
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.events import EventRelay
from swifttrestle.internal.forward.parts import Parts
from swifttrestle.internal.lines import log_decision
from swifttrestle.internal.policy.placement import pick_decoder, pick_reader
from swifttrestle.internal.policy.queueing import WAIT_SHARE, AdmissionQueue
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance, OpenWork
from swifttrestle.internal.transport.messages import Framing
from swifttrestle.internal.transport.upstream import OutgoingRequest, call_once
from swifttrestle.platform.engine import (
    KvHandle,
    handle_path,
    name_engine,
    name_handle_source,
    read_handle,
)
from swifttrestle.platform.wire import Forwarding, read_answer_facts

# Share of the objective that a prompt may wait behind others at an engine; the rest is for
# its own reading, the copy of its KV cache and the first token.
READ_WAIT_SHARE = 0.5
# Share of what is left that a request whose reading was lost may wait again: it is too late
# for an early refusal, so a late answer serves its caller better.
LATE_WAIT_SHARE = 0.3
# A decoding engine reads a prompt itself where that takes no longer than this, in seconds:
# less than the two hops and the copy that another engine's reading costs.
DIRECT_READ_SECONDS = 0.008
# An engine that has not read a prompt after this many times the predicted time is given up
# on; no sooner than LEAST_READ_SECONDS.
READ_PATIENCE = 4.0
LEAST_READ_SECONDS = 1.0
# Prompt readings of one request, the first included, and attempts to make its tokens.
MOST_READS = 2
MOST_DECODES = 3
# Share of what is left that a repeatable request waits for its first token at one engine.
FIRST_TOKEN_SHARE = 0.5
# Seconds in which a freed handle's call must be answered.
FREE_SECONDS = 1.0
# Bounds of the time to come back, in seconds.
LEAST_RETRY_AFTER = 0.05
# Seconds after which a caller may come back where no engine is listed: about one heartbeat.
NO_ENGINE_RETRY_AFTER = 0.5
MOST_RETRY_AFTER = 3.0
# Callers wait as told up to a third of the time that they have left; a little less is asked.
HONOURED_SHARE = 0.32
# Share of the longest time to come back at which the first of the refused callers returns.
SOONEST_RETURN = 0.6
SMALL_ANSWER_BYTES = 64 * 1024


@dataclass(frozen=True)
class Booking:
    """The engines of one request: the one that reads its prompt and the one that decodes.

    Both are the same where the decoding engine reads the prompt itself.
    """

    reader: Instance
    decoder: Instance
    tokens: int

    @property
    def direct(self) -> bool:
        """Whether one engine does both."""
        return self.reader is self.decoder


class EngineForwarder:
    """Serves the requests of all model services."""

    def __init__(self, parts: Parts) -> None:
        """Use the host's shared parts."""
        self._parts = parts
        self._queues: dict[str, AdmissionQueue] = defaultdict(AdmissionQueue)
        self._background: set[asyncio.Task[None]] = set()

    def serve_queues(self) -> None:
        """Give engines to waiters; called when room may have come."""
        for queue in self._queues.values():
            queue.serve()

    async def serve(self, ctx: Context) -> None:
        """Serve one request; raise RefusedError where it is given up on."""
        self._note_arrival(ctx, asyncio.get_running_loop().time())
        relay = EventRelay(ctx.route.resumable, self._longest_pause(ctx))
        for number in range(MOST_READS):
            booking = await self._book(ctx, first=number == 0)
            handle: KvHandle | None = None
            try:
                if not booking.direct:
                    handle = await self._read_prompt(ctx, booking)
                    if handle is None:
                        continue
                await self._decode(ctx, booking, handle, relay)
                return
            finally:
                self._release(booking.decoder, OpenWork(0, 1))
                if booking.direct:
                    self._release(booking.decoder, OpenWork(booking.tokens, 0))
        raise ctx.refuse(Code.NO_UPSTREAM, "no engine read the prompt", LEAST_RETRY_AFTER)

    # Booking.

    async def _book(self, ctx: Context, first: bool) -> Booking:
        found: list[Booking] = []

        def find() -> Instance | None:
            booking = self._find(ctx)
            if booking is None:
                return None
            found.append(booking)
            return booking.reader

        def release(_: Instance) -> None:
            self._release_whole(found[-1])

        queue = self._queues[ctx.service.name]
        longest = ctx.route.objective * WAIT_SHARE - ctx.age
        if not first:
            longest = ctx.left * LATE_WAIT_SHARE
        longest = max(0.0, min(longest, ctx.left))
        waiting = len(queue)
        reader = await queue.wait(find, release, ctx.route.priority, ctx.deadline, longest)
        if reader is None:
            raise self._refuse_for_load(ctx, waiting)
        booking = found[-1]
        self._parts.metrics.observe("gateway_queue_seconds", ctx.age)
        ctx.note(
            f"reader {booking.reader.name} wait={booking.reader.predict_wait() * 1000:.0f}ms "
            f"decoder {booking.decoder.name} open={booking.decoder.total.requests}"
        )
        return booking

    def _find(self, ctx: Context) -> Booking | None:
        now = asyncio.get_running_loop().time()
        engines = self._parts.list_usable(ctx.service.name, now)
        tokens = ctx.facts.prompt_tokens
        decoder = self._pick_decoder(ctx, engines, self._parts.zone)
        if decoder is None:
            return None
        readers = any(item.role is Role.PREFILL for item in engines)
        if not readers or self._is_short(ctx, engines):
            return self._take(Booking(decoder, decoder, tokens))
        longest = max(0.0, ctx.route.objective * READ_WAIT_SHARE - ctx.age)
        if ctx.lost_reads:
            longest = ctx.left * LATE_WAIT_SHARE
        affinity = find_affinity(ctx)
        reader = pick_reader(engines, tokens, affinity, ctx.excluded, now, longest)
        if reader is None:
            return None
        if reader.record.role is Role.DECODE:
            return self._take(Booking(reader, reader, tokens))
        decoder = self._pick_decoder(ctx, engines, reader.record.zone)
        return self._take(Booking(reader, decoder, tokens)) if decoder else None

    def _pick_decoder(self, ctx: Context, engines: list[Instance], near: str) -> Instance | None:
        now = asyncio.get_running_loop().time()
        return pick_decoder(engines, near, ctx.excluded, now, urgent=ctx.urgent)

    def _is_short(self, ctx: Context, engines: list[Instance]) -> bool:
        """Return whether a decoding engine reads the prompt itself as soon as another would."""
        paces = [item.pace for item in engines if item.role is Role.DECODE]
        return bool(paces) and ctx.facts.prompt_tokens / max(paces) <= DIRECT_READ_SECONDS

    def _note_arrival(self, ctx: Context, now: float) -> None:
        self._parts.budgets.find(ctx.service.name).note_request(now)
        engines = self._parts.fleet.list_service(ctx.service.name)
        tokens = 0 if self._is_short(ctx, engines) else ctx.facts.prompt_tokens
        self._parts.demand.note_arrival(ctx.service.name, ctx.route.name, tokens, now)

    def _take(self, booking: Booking) -> Booking:
        decoder, reader = booking.decoder, booking.reader
        decoder.own = decoder.own.plus(OpenWork(0, 1))
        requests = 0 if booking.direct else 1
        reader.own = reader.own.plus(OpenWork(booking.tokens, requests))
        return booking

    def _release_whole(self, booking: Booking) -> None:
        self._release(booking.decoder, OpenWork(0, 1))
        self._release(booking.reader, OpenWork(booking.tokens, 0 if booking.direct else 1))

    def _release(self, engine: Instance, work: OpenWork) -> None:
        engine.own = engine.own.minus(work)
        self.serve_queues()

    def _refuse_for_load(self, ctx: Context, waiting: int) -> RefusedError:
        engines = self._parts.fleet.list_service(ctx.service.name)
        if not engines:
            return ctx.refuse(Code.NO_UPSTREAM, "no engine is listed", NO_ENGINE_RETRY_AFTER)
        soonest = min(item.predict_wait() for item in engines)
        retry = self._choose_retry_after(ctx, soonest)
        reason = (
            f"no engine has room: {waiting} wait, {len(engines)} engines, "
            f"soonest free in {soonest * 1000:.0f} ms"
        )
        return ctx.refuse(Code.OVERLOADED, reason, retry)

    def _choose_retry_after(self, ctx: Context, soonest: float) -> float:
        """Return when a caller that was refused for load is to come back, in seconds.

        Engines that are full now stay so for as long as the swing lasts, so the later a caller
        comes back the better it fares. Those that are refused together come back apart.
        """
        longest = min(HONOURED_SHARE * ctx.left, MOST_RETRY_AFTER)
        spread = SOONEST_RETURN + (1 - SOONEST_RETURN) * self._parts.rng.random()
        return max(LEAST_RETRY_AFTER, soonest, longest * spread)

    # The prompt.

    async def _read_prompt(self, ctx: Context, booking: Booking) -> KvHandle | None:
        """Have the prompt read; None where the engine refused or failed."""
        reader, loop = booking.reader, asyncio.get_running_loop()
        ahead, began = reader.total.tokens, loop.time()
        limit = max(LEAST_READ_SECONDS, READ_PATIENCE * ahead / reader.pace)
        try:
            handle = await self._call_reader(ctx, reader, min(limit, max(0.0, ctx.left)))
        except UpstreamLeavingError as error:
            self._parts.note_gone(reader)
            self._note_lost_reading(ctx, reader, str(error))
            return None
        except UpstreamBusyError as error:
            self._parts.note_refusal(reader, loop.time())
            self._note_lost_reading(ctx, reader, str(error))
            return None
        except UpstreamBrokenError as error:
            self._parts.note_broken(ctx, reader, loop.time(), str(error))
            self._note_lost_reading(ctx, reader, str(error))
            return None
        finally:
            self._release(reader, OpenWork(booking.tokens, 1))
        seconds = loop.time() - began
        reader.learn(ahead, seconds)
        self._parts.metrics.observe("gateway_read_seconds", seconds)
        ctx.note(f"read {handle.tokens} tokens")
        return handle

    def _note_lost_reading(self, ctx: Context, reader: Instance, reason: str) -> None:
        ctx.lost_reads += 1
        ctx.excluded.add(reader.name)
        ctx.note(f"reader {reader.name} failed: {reason}")
        now = asyncio.get_running_loop().time()
        if not self._parts.budgets.find(ctx.service.name).take(now):
            raise ctx.refuse(Code.UPSTREAM_REFUSED, reason, LEAST_RETRY_AFTER)

    async def _call_reader(self, ctx: Context, reader: Instance, limit: float) -> KvHandle:
        added = Forwarding(reader.name, ctx.left, ctx.route.priority, prefill_only=True)
        try:
            async with asyncio.timeout(limit):
                head, content = await call_once(
                    self._parts.pool,
                    reader.name,
                    reader.record.address,
                    build_request(ctx, added),
                    SMALL_ANSWER_BYTES,
                )
        except TimeoutError:
            raise UpstreamBrokenError("the prompt was not read in time") from None
        facts = read_answer_facts(head.status, head.headers, reader.name)
        if facts.not_run:
            if facts.replaced:
                raise UpstreamLeavingError(f"{reader.name} takes no prompts at its address")
            raise UpstreamBusyError(f"{reader.name} refused with {head.status}")
        if head.status != 200 or facts.request_id not in (b"", ctx.facts.request_id):
            raise UpstreamBrokenError(f"{reader.name} answered {head.status}")
        return read_handle(content)

    # The tokens.

    async def _decode(
        self, ctx: Context, booking: Booking, handle: KvHandle | None, relay: EventRelay
    ) -> None:
        source = name_handle_source(booking.reader.record.address, handle) if handle else ""
        decoder = booking.decoder
        try:
            for number in range(MOST_DECODES):
                try:
                    await self._try_decoder(ctx, decoder, source, relay)
                    source = ""
                    return
                except UpstreamLeavingError as error:
                    self._parts.note_gone(decoder)
                    reason = str(error)
                except UpstreamBusyError as error:
                    self._parts.note_refusal(decoder, asyncio.get_running_loop().time())
                    reason = str(error)
                except UpstreamBrokenError as error:
                    ctx.runs += 1
                    now = asyncio.get_running_loop().time()
                    self._parts.note_broken(ctx, decoder, now, str(error))
                    reason = str(error)
                    # The handle was taken by the run that broke.
                    if error.sent:
                        self._free(booking.reader, handle)
                        source, handle = "", None
                ctx.note(f"decoder {decoder.name} failed: {reason}")
                ctx.excluded.add(decoder.name)
                decoder = self._next_decoder(ctx, relay, reason, number)
        finally:
            if source:
                self._free(booking.reader, handle)

    def _next_decoder(self, ctx: Context, relay: EventRelay, reason: str, number: int) -> Instance:
        """Return another engine for the same answer; raise RefusedError where none may run."""
        now = asyncio.get_running_loop().time()
        allowed = number + 1 < MOST_DECODES and ctx.runs < ctx.route.max_attempts
        allowed = allowed and (ctx.repeatable or not ctx.may_have_run)
        engines = self._parts.list_usable(ctx.service.name, now)
        decoder = self._pick_decoder(ctx, engines, self._parts.zone)
        budget = self._parts.budgets.find(ctx.service.name)
        if not allowed or decoder is None or not budget.take(now):
            raise ctx.refuse(Code.UPSTREAM_REFUSED, reason, LEAST_RETRY_AFTER)
        ctx.note(f"decoder {decoder.name} after event {relay.last_event!r}")
        return decoder

    async def _try_decoder(
        self, ctx: Context, decoder: Instance, source: str, relay: EventRelay
    ) -> None:
        patience = ctx.left
        if ctx.repeatable and ctx.runs + 1 < ctx.route.max_attempts:
            patience *= FIRST_TOKEN_SHARE
        added = Forwarding(
            decoder.name,
            ctx.left,
            ctx.route.priority,
            kv_source=source,
            last_event=relay.last_event,
        )
        began = asyncio.get_running_loop().time()
        await make_attempt(ctx, self._parts.pool, AttemptPlan(decoder, added, patience), relay)
        now = asyncio.get_running_loop().time()
        self._parts.demand.note_hold(ctx.route.name, now - began)
        self._parts.ejector.note_success(decoder.name, now)

    def _longest_pause(self, ctx: Context) -> float:
        # Callers give a stream up after two seconds or four objectives; half of that leaves
        # time to go on elsewhere.
        return max(1.0, 2 * ctx.route.objective, 4 * ctx.route.gap_objective)

    # Handles.

    def _free(self, reader: Instance, handle: KvHandle | None) -> None:
        """Free a handle in the background: its memory is of use to others."""
        if handle is None or reader.gone:
            return
        task = asyncio.ensure_future(self._call_free(reader, handle))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _call_free(self, reader: Instance, handle: KvHandle) -> None:
        request = OutgoingRequest(
            b"DELETE", handle_path(handle), name_engine(reader.name), Framing.NONE, 0, None
        )
        with contextlib.suppress(TimeoutError):
            try:
                async with asyncio.timeout(FREE_SECONDS):
                    await call_once(
                        self._parts.pool,
                        reader.name,
                        reader.record.address,
                        request,
                        SMALL_ANSWER_BYTES,
                    )
            except UpstreamBrokenError as error:
                log_decision("handle not freed", engine=reader.name, reason=str(error))


def find_affinity(ctx: Context) -> str:
    """Return the id of the last part that other requests share, or of the whole request."""
    parts = ctx.facts.parts
    if len(parts) >= 2:
        return parts[-2].part
    return parts[-1].part if parts else ctx.facts.request_id.decode("latin-1")
