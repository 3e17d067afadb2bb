"""The answer of one request to its caller, which decides what may be appended to it."""

from collections.abc import Sequence

from swifttrestle.errors import AnswerBegunError
from swifttrestle.internal.transport.caller import ResponseWriter
from swifttrestle.internal.transport.messages import Framing, Header, ResponseHead, is_success


class Answer:
    """Writes the runs of one request to its caller; nothing else does once an answer has begun.

    An answer consists of the bytes of the run that began it. Only if these are whole events of a
    stream that may be resumed, another run may append its own whole events.
    """

    def __init__(self, reply: ResponseWriter) -> None:
        """Write to `reply`."""
        self._reply = reply
        self._resumable = False

    @property
    def begun(self) -> bool:
        """Whether the caller may have received a part of the answer."""
        return self._reply.started

    @property
    def accepts_run(self) -> bool:
        """Whether another run could begin the answer or continue it."""
        return self._resumable or not self.begun

    async def begin(
        self,
        status: int,
        headers: Sequence[Header],
        framing: Framing,
        length: int,
        resumable: bool = False,
    ) -> None:
        """Send the head; `resumable` is whether whole events of a stream that may resume follow.

        Raises AnswerBegunError if another run has begun the answer.
        """
        if self.begun:
            raise AnswerBegunError(f"an answer {status} does not continue the one that began")
        self._resumable = resumable
        await self._reply.start(status, headers, framing, length)

    def check_continuation(self, head: ResponseHead, whole_events: bool) -> None:
        """Raise AnswerBegunError unless another run may append its answer.

        `whole_events` is whether that is relayed in whole events.
        """
        continues = self._resumable and whole_events and head.framing is not Framing.NONE
        if not continues or not is_success(head.status):
            raise AnswerBegunError(f"an answer {head.status} does not continue the one that began")

    async def send(self, data: bytes) -> None:
        """Send bytes of the body; wait while the caller does not read."""
        await self._reply.send(data)

    async def end(self) -> None:
        """Complete the answer."""
        await self._reply.end()
