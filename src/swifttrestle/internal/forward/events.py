"""Relays event streams to callers, and resumes broken ones at another upstream."""

import asyncio
from collections.abc import Awaitable, Callable

from swifttrestle.errors import MustBeginElsewhereError, UpstreamBrokenError
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.stream_directory import StreamDirectory
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.protocol.event_stream import EventScanner, split_events
from swifttrestle.internal.state.stream_builds import StreamOrigin
from swifttrestle.internal.transport.messages import Body, Framing, ResponseHead, find_header
from swifttrestle.internal.transport.silence import SilenceLimit
from swifttrestle.platform.wire import strip_answer_headers

_ID_FIELD = b"id:"
_DATA_FIELD = b"data:"
_EVENT_STREAM = b"text/event-stream"

# Returns whether an upstream lives on.
LivesOn = Callable[[], Awaitable[bool]]

# How a stream ended, for its log line and its counter.
WHOLE = "after an event"
INSIDE_EVENT = "inside an event"
WITHOUT_EVENT = "without an event"


def _no_build(_: str) -> bool:
    """Return that no other version could begin a stream."""
    return False


class EventRelay:
    """Relays the events of one answer, from several upstreams in turn if it is resumable.

    A resumable stream is relayed in complete events only, so that another upstream can continue
    after the last one. The answer keeps the head from the upstream of its first event: with another
    one's it would be of two runs, which may be of two versions.
    """

    def __init__(
        self,
        resumable: bool,
        metrics: Metrics,
        streams: StreamDirectory,
        can_begin: Callable[[str], bool] = _no_build,
    ) -> None:
        """Start without events; record in `streams` where a resumable stream begins.

        `can_begin` returns whether an upstream of another version could begin the stream now.
        """
        self._can_begin = can_begin
        self._resumable = resumable
        self._metrics = metrics
        self._streams = streams
        # When a resumable stream without data counts as broken; None if never.
        self.silence: SilenceLimit | None = None
        self.last_event: bytes | None = None
        self.events = 0
        # The event loop's time of the last bytes that went to the caller.
        self.progress_at = float("-inf")
        # Attempts to continue the answer since then.
        self.resumes = 0

    async def relay(
        self,
        ctx: Context,
        head: ResponseHead,
        body: Body,
        build: str = "",
        lives_on: LivesOn | None = None,
    ) -> None:
        """Relay the stream of an upstream of version `build` to its end.

        `lives_on` is asked about the upstream where the stream ends with its connection. Raises
        UpstreamBrokenError if it is cut.
        """
        from_first = not self.last_event and not ctx.request_metadata.last_event
        resumable = self._resumable and _is_event_stream(head)
        if ctx.answer.begun:
            ctx.answer.check_continuation(head, whole_events=resumable)
        else:
            self._note_progress()
            if not resumable:
                await _begin(ctx, head, resumable)
        scanner = EventScanner()
        if resumable:
            await self._relay_complete_events(ctx, head, body, scanner, build)
            await self._check_end(ctx, head, scanner, lives_on)
        elif ctx.route.streaming and _is_event_stream(head):
            await self._relay_bytes(ctx, body, scanner)
            await self._check_end(ctx, head, scanner, lives_on)
        else:
            await self._relay_bytes(ctx, body)
        if not ctx.answer.begun:
            # The stream has no events.
            await _begin(ctx, head, resumable)
        ctx.stream_written = from_first
        await ctx.answer.end()

    async def _relay_bytes(
        self, ctx: Context, body: Body, scanner: EventScanner | None = None
    ) -> None:
        async for chunk in body.chunks():
            if scanner is not None:
                scanner.feed(chunk)
            ctx.note_first_byte()
            await ctx.answer.send(chunk)

    async def _relay_complete_events(
        self, ctx: Context, head: ResponseHead, body: Body, scanner: EventScanner, build: str
    ) -> None:
        async for chunk in body.chunks(self.silence):
            first = not scanner.any_complete
            complete_events = scanner.feed(chunk)
            if complete_events:
                if first:
                    await self._note_build(ctx, build)
                self._record_ids(complete_events)
                ctx.note_first_byte()
                self._note_progress()
                if not ctx.answer.begun:
                    await _begin(ctx, head, resumable=True)
                await ctx.answer.send(complete_events)

    async def _note_build(self, ctx: Context, build: str) -> None:
        """Record which software version an upstream's first event comes from.

        Raises MustBeginElsewhereError for a stream that has no event yet.
        """
        metadata = ctx.request_metadata
        if ctx.build is None:
            ctx.build = build
            if metadata.last_event:
                self._metrics.count("gateway_streams_continued_total", build="unknown")
        else:
            known = "same" if ctx.build == build else "other"
            self._metrics.count("gateway_streams_continued_total", build=known)
        if metadata.stream:
            await self._begin(ctx, StreamOrigin(ctx.service.name, ctx.build))

    async def _begin(self, ctx: Context, origin: StreamOrigin) -> None:
        required = await self._streams.begin(ctx.route, ctx.request_metadata.stream, origin)
        begun = self.last_event or ctx.request_metadata.last_event
        if required is None or required.service != origin.service or begun:
            return
        if not self._can_begin(required.build):
            # The stream goes on without a note in the store rather than not at all.
            self._streams.note_begun(ctx.request_metadata.stream, origin)
            return
        ctx.build = required.build
        raise MustBeginElsewhereError(
            f"a stream begins at {required} while no note of it can be stored", sent=True
        )

    async def _check_end(
        self,
        ctx: Context,
        head: ResponseHead,
        scanner: EventScanner,
        lives_on: LivesOn | None,
    ) -> None:
        """Raise UpstreamBrokenError if a stream was broken off although its connection ended.

        An upstream that dies may close its connections in order, also between two events.
        """
        self._note_end(ctx, head, scanner)
        if scanner.incomplete_bytes:
            raise UpstreamBrokenError(
                f"the stream ended with {scanner.incomplete_bytes} bytes of an incomplete event",
                sent=True,
            )
        if head.framing is not Framing.CLOSE:
            return
        if not scanner.any_complete:
            raise UpstreamBrokenError("the stream ended without an event", sent=True)
        if lives_on is not None and not await lives_on():
            raise UpstreamBrokenError("the upstream ended with its stream", sent=True)

    def _note_end(self, ctx: Context, head: ResponseHead, scanner: EventScanner) -> None:
        """Record how a stream ended whose framing shows no break."""
        end = _describe_end(scanner)
        self._metrics.count(
            "gateway_streams_ended_total", framing=head.framing.value, end=end.replace(" ", "_")
        )
        if head.framing is Framing.CLOSE or end != WHOLE:
            ctx.note(
                f"stream ended by {head.framing.value}: {end}, "
                f"{scanner.incomplete_bytes} bytes of an incomplete event"
            )

    def _note_progress(self) -> None:
        self.progress_at = asyncio.get_running_loop().time()
        self.resumes = 0

    def _record_ids(self, complete_events: bytes) -> None:
        for event in split_events(complete_events):
            lines = event.split(b"\n")
            # An id whose data has not come names an event that the caller has not got.
            if not any(line.startswith(_DATA_FIELD) for line in lines):
                continue
            for line in lines:
                if line.startswith(_ID_FIELD):
                    self.last_event = line[len(_ID_FIELD) :].strip()
                    self.events += 1


async def _begin(ctx: Context, head: ResponseHead, resumable: bool) -> None:
    """Begin the caller's answer with an upstream's head."""
    headers = strip_answer_headers(head.headers)
    framing = Framing.NONE if head.framing is Framing.NONE else Framing.CHUNKED
    await ctx.answer.begin(head.status, headers, framing, 0, resumable)


def _is_event_stream(head: ResponseHead) -> bool:
    """Return whether an answer consists of events; one without a type does."""
    content_type = find_header(head.headers, b"content-type").lower()
    return not content_type or content_type.startswith(_EVENT_STREAM)


def _describe_end(scanner: EventScanner) -> str:
    if scanner.incomplete_bytes:
        return INSIDE_EVENT
    return WHOLE if scanner.any_complete else WITHOUT_EVENT
