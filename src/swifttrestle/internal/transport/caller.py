"""Connections of callers: one task per connection, which answers its requests in turn.

A request's handler runs in the connection's task. If the caller closes the connection, the task is
cancelled, so that the handler releases its resources at once.
"""

import asyncio
import contextlib
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.errors import UpstreamBrokenError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.body_memory import BodyMemory
from swifttrestle.internal.state.declared import Limits
from swifttrestle.internal.transport.answer_writer import AnswerWriter, ResponseWriter
from swifttrestle.internal.transport.messages import (
    Body,
    Framing,
    RequestHead,
    write_response_head,
)
from swifttrestle.internal.transport.request_reader import (
    RequestError,
    RequestReader,
    RequestReceiver,
)

REQUEST_TIMEOUT = 408
# Pipelined requests that may wait behind the current one before reading from the connection pauses.
PIPELINE_DEPTH = 1
# Seconds for which what a caller still sends is read and dropped once its answer is written:
# closing with unread bytes resets the connection, which may cost the caller that answer.
LINGER_SECONDS = 2.0
# Bytes that are received at once, and so the most that is read of a body before it has its memory.
RECEIVE_BYTES = 64 * 1024

# All connections of the event loop receive into this buffer and copy from it at once.
_RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BYTES))


@dataclass(frozen=True)
class IncomingRequest:
    """One request of a caller; `received` is the event loop's time when its head was complete."""

    head: RequestHead
    body: Body
    received: float


class RequestHandler(ABC):
    """Handles the requests of callers."""

    @abstractmethod
    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Respond to one request; cancelled if the caller disconnects."""

    @abstractmethod
    def limits(self) -> Limits:
        """Return the current limits on requests."""


def _admit_all() -> bool:
    return True


class ConnectionSet:
    """All open connections of a listener, which it closes gracefully at a planned stop."""

    def __init__(
        self, admits: Callable[[], bool] = _admit_all, memory: BodyMemory | None = None
    ) -> None:
        """Accept a new connection if `admits` returns true, and close it unread otherwise.

        The bodies of its requests share `memory`, which is unlimited by default.
        """
        self.admits = admits
        self.memory = memory or BodyMemory()
        self.open: set[CallerConnection] = set()
        self.closing = False

    def close_idle(self) -> None:
        """Close connections without a request; the others close after their response."""
        self.closing = True
        for connection in list(self.open):
            connection.close_if_idle()

    def count_busy(self) -> int:
        """Return the number of connections on which an answer is owed or still being sent."""
        return sum(1 for connection in self.open if connection.busy or connection.unsent_bytes)


class CallerConnection(AnswerWriter, RequestReceiver, asyncio.BufferedProtocol):
    """One connection of a caller: its queue of requests, its task and its timers."""

    def __init__(self, handler: RequestHandler, connections: ConnectionSet) -> None:
        """Pass requests to a handler."""
        super().__init__()
        self._handler = handler
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._reader = RequestReader(self)
        self._requests: deque[tuple[IncomingRequest, bool]] = deque()
        self._request_arrived = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._refusal = 0
        self.busy = False

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task, unless the connection is not accepted."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._connections.admits():
            transport.abort()
            return
        self._connections.open.add(self)
        self._task = asyncio.ensure_future(self._serve())
        self._start_idle_timer()

    def get_buffer(self, _: int) -> memoryview:
        """Return the buffer to receive into."""
        return _RECEIVE_BUFFER

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes."""
        if self._refusal or self._reader.ended:
            return
        begins = not self._reader.reading_head and self._reader.body is None
        if begins:
            self._reader.begin_head(self._handler.limits())
        try:
            self._reader.feed(_RECEIVE_BUFFER[:size])
        except RequestError as error:
            self._refuse(error.status)
            return
        # Most heads come whole, and need no timer.
        if begins and self._reader.reading_head:
            self._start_timer(self._reader.limits.header_seconds, self._refuse_slow_head)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed.

        Its caller does not wait for the answer.
        """
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request in progress."""
        self._connections.open.discard(self)
        self._stop_timer()
        self._break_body("caller disconnected during its request")
        # The reader, the queue and the task refer to this connection, and hold bodies.
        self._reader.close()
        for request, _ in self._requests:
            self._release_memory(request.body)
        self._requests.clear()
        if self._task is not None:
            self._task.cancel()
            self._task = None

    # Called by the reader of requests.

    def take_request(self, head: RequestHead, body: Body, keep_alive: bool) -> None:
        """Queue a request; its body may follow later."""
        self._stop_timer()
        body.resume_reading = self._resume_reading
        now = self._loop.time()
        self._reserve_memory(head, body, now)
        self._requests.append((IncomingRequest(head, body, now), keep_alive))
        self._request_arrived.set()
        self._pause_reading_if_full()

    def note_body_read(self, body: Body) -> None:
        """Pause reading if enough of the body waits."""
        if body.reservation is not None:
            body.reservation.note_read(body.size)
        self._pause_reading_if_full()

    def note_body_end(self, body: Body) -> None:
        """Reserve no more memory for the body than it needs."""
        if body.reservation is not None:
            body.reservation.note_end(body.size, self._loop.time())

    # Used by the set of connections.

    def close_if_idle(self) -> None:
        """Close unless a request is in progress; otherwise close after its response."""
        self._keep_alive = False
        if not self.busy and not self._requests and not self._reader.reading_head:
            self._close()

    def _is_last_answer(self) -> bool:
        return self._connections.closing

    # The connection's task.

    async def _serve(self) -> None:
        goes_on = True
        # Only the end of the connection cancels this task. A task that ends as cancelled refers to
        # the frames of its handler, and they to the task: a cycle with the request's body in it.
        with contextlib.suppress(asyncio.CancelledError):
            while goes_on:
                while not self._requests:
                    self._request_arrived.clear()
                    await self._request_arrived.wait()
                goes_on = await self._answer_next()

    async def _answer_next(self) -> bool:
        """Answer the next request; return whether the connection goes on.

        A function of its own, since an idle connection must not hold the last request's body.
        """
        request, keep_alive = self._requests.popleft()
        self.busy = True
        try:
            self._begin_answer(request.head, request.body, keep_alive)
            await self._handler.handle(request, self)
        except Exception as error:
            # After an unexpected exception, the caller must see a broken response, not a hang.
            log_event("request handler failed", error=repr(error))
            self.abort()
            return False
        finally:
            self._release_memory(request.body)
        if request.body.broken:
            self._linger()
            return False
        # The rest of an incomplete request must not be parsed as the next one.
        arrived = request.body.complete or await self._drop_rest(request.body)
        self.busy = False
        if not arrived or not self._keep_alive:
            self._close()
            return False
        if self._refusal and not self._requests:
            self._write_refusal()
            self._linger()
            return False
        self._resume_reading()
        self._start_idle_timer()
        return True

    async def _drop_rest(self, body: Body) -> bool:
        """Drop the rest of an answered request's body; return whether its end came in time."""
        rest = body.drop(UpstreamBrokenError("answered before its body's end", sent=True))
        self._reader.body = rest
        self._resume_reading()
        try:
            async with asyncio.timeout(LINGER_SECONDS):
                await rest.wait_for_end()
        except TimeoutError:
            return False
        return rest.complete

    def _linger(self) -> None:
        """Close once the caller has closed too, so that it gets what was written to it."""
        if self._transport is None or self._transport.is_closing():
            return
        # A planned stop does not take the connection for an idle one.
        self.busy = True
        self._transport.write_eof()
        self._resume_reading()
        self._start_timer(LINGER_SECONDS, self._close)

    def _refuse_slow_head(self) -> None:
        self._refuse(REQUEST_TIMEOUT)

    def _start_idle_timer(self) -> None:
        if not self._reader.reading_head and not self._requests:
            self._start_timer(self._handler.limits().idle_seconds, self.close_if_idle)

    def _refuse(self, status: int) -> None:
        """Respond with an error status after all earlier responses, and close."""
        self._refusal = status
        self._stop_timer()
        self._break_body(f"request refused with status {status}")
        if not self.busy and not self._requests:
            self._write_refusal()
            self._linger()

    def _break_body(self, reason: str) -> None:
        if self._reader.body is not None:
            self._reader.body.fail(UpstreamBrokenError(reason, sent=True))

    def _write_refusal(self) -> None:
        self._write(write_response_head(self._refusal, (), Framing.LENGTH, 0, keep_alive=False))

    def _reserve_memory(self, head: RequestHead, body: Body, now: float) -> None:
        """Reserve the memory of a body, if the request has one."""
        known = head.framing is not Framing.CHUNKED
        needed = head.length if known else self._reader.limits.body_bytes
        if needed:
            memory = self._connections.memory
            body.reservation = memory.reserve(needed, known, now, self._read_granted_body)

    def _read_granted_body(self) -> None:
        """Read on, since there is memory for the body now."""
        if self.busy and not self._requests and self._reader.body is not None:
            self._invite_body()
        self._resume_reading()

    def _release_memory(self, body: Body) -> None:
        if body.reservation is not None:
            body.reservation.release(self._loop.time())

    def _pause_reading_if_full(self) -> None:
        body = self._reader.body
        full = body is not None and (body.above_high_water or not body.has_memory)
        if (full or len(self._requests) > PIPELINE_DEPTH) and self._transport is not None:
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._reader.body is None or self._reader.body.has_memory:
            self._transport.resume_reading()

    def _start_timer(self, seconds: float, callback: object) -> None:
        self._stop_timer()
        assert callable(callback)
        self._timer = self._loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()
