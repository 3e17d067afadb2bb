"""Event streams: passed on as they come, and joined from whole events where resumed."""

from swifttrestle.errors import UpstreamBrokenError
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.transport.messages import Body, Framing, ResponseHead
from swifttrestle.platform.wire import strip_answer_headers

_END_OF_EVENT = b"\n\n"
_ID_FIELD = b"id:"


class EventRelay:
    """One answer's events, from one upstream or, where it may be resumed, from several.

    Only whole events reach the caller of a resumable stream, so that a broken one can go on
    after the last of them. The answer keeps the head of its first upstream.
    """

    def __init__(self, resumable: bool, longest_pause: float) -> None:
        """Take a pause over `longest_pause` seconds of a resumable stream as a broken one."""
        self._resumable = resumable
        self._longest_pause = longest_pause
        self.last_event: bytes | None = None
        self.events = 0
        self.started = False

    async def pass_on(self, ctx: Context, head: ResponseHead, body: Body) -> None:
        """Pass one upstream's stream on to its end; raise UpstreamBrokenError."""
        if not self.started:
            self.started = True
            await ctx.reply.start(
                head.status, strip_answer_headers(head.headers), Framing.CHUNKED, 0
            )
        if self._resumable:
            await self._pass_whole_events(ctx, body)
        else:
            async for chunk in body.chunks():
                ctx.note_first_byte()
                await ctx.reply.send(chunk)
        await ctx.reply.end()

    async def _pass_whole_events(self, ctx: Context, body: Body) -> None:
        pending = b""
        async for chunk in body.chunks(self._longest_pause):
            pending += chunk
            end = pending.rfind(_END_OF_EVENT)
            if end >= 0:
                whole = pending[: end + len(_END_OF_EVENT)]
                pending = pending[end + len(_END_OF_EVENT) :]
                self._note_ids(whole)
                ctx.note_first_byte()
                await ctx.reply.send(whole)
        if pending:
            raise UpstreamBrokenError("the stream ended inside an event", sent=True)

    def _note_ids(self, whole: bytes) -> None:
        for line in whole.split(b"\n"):
            if line.startswith(_ID_FIELD):
                self.last_event = line[len(_ID_FIELD) :].strip()
                self.events += 1
