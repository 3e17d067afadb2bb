"""Relays event streams to callers, and resumes broken ones at another upstream."""

import asyncio

from swifttrestle.errors import UpstreamBrokenError
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.transport.messages import Body, Framing, ResponseHead
from swifttrestle.internal.transport.silence import SilenceLimit
from swifttrestle.platform.wire import strip_answer_headers

_END_OF_EVENT = b"\n\n"
_ID_FIELD = b"id:"
_DATA_FIELD = b"data:"


class EventRelay:
    """Relays the events of one answer, from several upstreams in turn if it is resumable.

    A resumable stream is relayed in complete events only, so that another upstream can continue
    after the last one. The answer keeps the head from its first upstream.
    """

    def __init__(self, resumable: bool) -> None:
        """Start without events."""
        self._resumable = resumable
        # When a resumable stream without data counts as broken; None if never.
        self.silence: SilenceLimit | None = None
        self.last_event: bytes | None = None
        self.events = 0
        self.started = False
        # The event loop's time of the last bytes that went to the caller.
        self.progress_at = float("-inf")
        # Attempts to continue the answer since then.
        self.resumes = 0

    async def relay(self, ctx: Context, head: ResponseHead, body: Body) -> None:
        """Relay one upstream's stream to its end; raise UpstreamBrokenError if it is cut."""
        if not self.started:
            self.started = True
            self._note_progress()
            await ctx.reply.start(
                head.status, strip_answer_headers(head.headers), Framing.CHUNKED, 0
            )
        if self._resumable:
            await self._relay_complete_events(ctx, body)
        else:
            async for chunk in body.chunks():
                ctx.note_first_byte()
                await ctx.reply.send(chunk)
        await ctx.reply.end()

    async def _relay_complete_events(self, ctx: Context, body: Body) -> None:
        pending = b""
        async for chunk in body.chunks(self.silence):
            pending += chunk
            end = pending.rfind(_END_OF_EVENT)
            if end >= 0:
                complete_events = pending[: end + len(_END_OF_EVENT)]
                pending = pending[end + len(_END_OF_EVENT) :]
                self._record_ids(complete_events)
                ctx.note_first_byte()
                self._note_progress()
                await ctx.reply.send(complete_events)
        if pending:
            raise UpstreamBrokenError(
                f"the stream ended with {len(pending)} bytes of an incomplete event", sent=True
            )

    def _note_progress(self) -> None:
        self.progress_at = asyncio.get_running_loop().time()
        self.resumes = 0

    def _record_ids(self, complete_events: bytes) -> None:
        for event in complete_events.split(_END_OF_EVENT):
            lines = event.split(b"\n")
            # An id whose data has not come names an event that the caller has not got.
            if not any(line.startswith(_DATA_FIELD) for line in lines):
                continue
            for line in lines:
                if line.startswith(_ID_FIELD):
                    self.last_event = line[len(_ID_FIELD) :].strip()
                    self.events += 1
