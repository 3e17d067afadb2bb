"""Connections to upstreams: reusable, one exchange at a time, strict parsing of responses."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import httptools

from swifttrestle.errors import ResponseLimit, UpstreamBrokenError, UpstreamLimitError
from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.transport.messages import (
    LAST_CHUNK,
    Body,
    Framing,
    Header,
    ResponseHead,
    find_header,
    write_chunk,
    write_request_head,
)

Address = tuple[str, int]

# Time without a byte of a response after which a reused connection counts as silent.
SILENT_SECONDS = 0.4
# Maximum bytes before the end of a response's head, interim responses included.
MAX_HEAD_BYTES = 64 * 1024
# Maximum bytes of a body's framing between two pieces of its content: chunk sizes, trailers.
MAX_FRAMING_BYTES = 16 * 1024
# Bytes that are received and parsed at once.
RECEIVE_BYTES = 64 * 1024
# The same for a response that comes in more than `MAX_PIECES` pieces in that many bytes, so that
# its framing does not occupy the event loop.
FRAGMENTED_RECEIVE_BYTES = 4 * 1024
MAX_PIECES = 1024

# All connections of the event loop receive into this buffer and copy from it at once.
_RECEIVE_BUFFER = memoryview(bytearray(RECEIVE_BYTES))


@dataclass(frozen=True)
class OutgoingRequest:
    """One request as it is sent to an upstream; `on_sent` is called as its first byte is sent."""

    method: bytes
    target: bytes
    headers: Sequence[Header]
    framing: Framing
    length: int
    body: Body | None
    on_sent: Callable[[], None] = do_nothing


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection; `exchange` sends a request and returns the response's head and body."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._head: asyncio.Future[ResponseHead] | None = None
        self._response: ResponseHead | None = None
        self._body: Body | None = None
        self._sender: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._method = b""
        self._informational = False
        self._broken = False
        self.sent = False
        self._sent_at = 0.0
        self._exchanges = 0
        self.reusable = True
        self.idle_until = 0.0
        # The peer that relays this connection; empty if it is direct.
        self.relay = ""
        # Whether its upstream has said that it is the start that the list shows.
        self.start_confirmed = False
        # Whether it has been handed to its user.
        self.claimed = False
        self._received_at = 0.0
        self._receive_bytes = RECEIVE_BYTES
        # Pieces of the body that the parser has found in the bytes received last.
        self._pieces: list[bytes] = []
        # Bytes received since the request was sent, or since the last piece of its body.
        self._framing_bytes = 0
        # Called with each response head and the event loop's time at which its request was sent.
        self.on_head: Callable[[ResponseHead, float], None] = do_nothing

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, _: int) -> memoryview:
        """Return the buffer to receive into."""
        return _RECEIVE_BUFFER[: self._receive_bytes]

    def buffer_updated(self, size: int) -> None:
        """Parse received bytes; close the connection if no request awaits them."""
        self._received_at = asyncio.get_running_loop().time()
        if self._broken:
            return
        if self._head is None and self._body is None:
            self._fail(UpstreamBrokenError("bytes received without a request", sent=True))
            return
        self._framing_bytes += size
        try:
            self._parser.feed_data(_RECEIVE_BUFFER[:size])
        except httptools.HttpParserError as error:
            self._feed_body()
            self._fail(UpstreamBrokenError(f"response malformed: {error}", sent=True))
            return
        self._feed_body()
        self._check_limits()

    def _feed_body(self) -> None:
        """Pass on the pieces of the body that were received together, as one."""
        if not self._pieces:
            return
        content = b"".join(self._pieces)
        fragmented = len(self._pieces) > MAX_PIECES * self._receive_bytes // RECEIVE_BYTES
        self._receive_bytes = FRAGMENTED_RECEIVE_BYTES if fragmented else RECEIVE_BYTES
        self._pieces.clear()
        self._framing_bytes = 0
        if self._body is None or self._body.complete:
            return
        self._body.feed(content)
        if self._body.above_high_water and self._transport is not None:
            self._transport.pause_reading()

    def _check_limits(self) -> None:
        """Fail a response that has more of a head or of framing than one that comes to its end."""
        if self._response is None:
            limit, max_bytes = ResponseLimit.HEAD, MAX_HEAD_BYTES
        else:
            limit, max_bytes = ResponseLimit.FRAMING, MAX_FRAMING_BYTES
        if self._framing_bytes > max_bytes:
            self._fail(UpstreamLimitError(limit, max_bytes))

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection; fail any other one."""
        if self._response is not None and self._response.framing is Framing.CLOSE and self._body:
            self._body.end()
            self.reusable = False
            return False
        self._fail(UpstreamBrokenError("the upstream closed the connection", sent=self.sent))
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange in progress."""
        self._fail(UpstreamBrokenError(f"connection lost: {error}", sent=self.sent))

    def pause_writing(self) -> None:
        """Pause sending of the request's body."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume sending of the request's body."""
        self._writable.set()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a new head; fail on a second response to the same request."""
        if self._response is not None:
            self._fail(UpstreamBrokenError("bytes after a complete response", sent=True))
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Deliver the head, unless the response is informational."""
        status = self._parser.get_status_code()
        self._informational = status < 200
        if self._informational or self._response is not None:
            return
        self._response = self._build_head(status)
        self._framing_bytes = 0
        self._body = Body(keep=False)
        self._body.resume_reading = self._resume_reading
        self.on_head(self._response, self._sent_at)
        if self._head is not None and not self._head.done():
            self._head.set_result(self._response)
        if self._response.framing is Framing.NONE:
            self._finish_response()

    def on_body(self, data: bytes) -> None:
        """Append bytes to the response's body."""
        if self._body is None or self._body.complete:
            # Bytes of a second response, received together with the first one, are dropped.
            return
        self._pieces.append(data)

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self._informational:
            return
        if self._response is not None and self._response.framing is not Framing.CLOSE:
            self._finish_response()

    # Called by the request's task.

    @property
    def transport(self) -> asyncio.Transport | None:
        """The connection's transport, once it is established."""
        return self._transport

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on this connection."""
        alive = self._transport is not None and not self._transport.is_closing()
        return alive and self.reusable and not self._broken

    async def exchange(self, request: OutgoingRequest) -> tuple[ResponseHead, Body]:
        """Send a request; return the response's head, and its body as it arrives.

        Raises UpstreamBrokenError, whose `sent` is true if any byte may have been sent.
        """
        if not self.usable:
            raise UpstreamBrokenError("connection closed", sent=False)
        self._response, self._body = None, None
        self._framing_bytes = 0
        self._method = request.method
        self._head = asyncio.get_running_loop().create_future()
        assert self._transport is not None
        self.sent = True
        request.on_sent()
        self._sent_at = asyncio.get_running_loop().time()
        self._exchanges += 1
        self._transport.write(
            write_request_head(
                request.method, request.target, request.headers, request.framing, request.length
            )
        )
        if request.body is not None and request.framing is not Framing.NONE:
            self._sender = asyncio.ensure_future(self._send_body(request))
        try:
            head = await self._head
        finally:
            # An error refers to the frames that it has passed, with the request's body in them.
            self._head = None
        assert self._body is not None
        return head, self._body

    async def finish(self, timeout_seconds: float) -> bool:
        """Finish an exchange; return whether the connection may be reused.

        An upstream may respond before it has read the whole request. The rest is then sent for up
        to `timeout_seconds`. If that does not suffice, the connection is not reused, because the
        upstream would read the next request as the rest of this one.
        """
        if self._sender is not None:
            # `asyncio.wait_for` would swallow a cancellation that coincides with the sender's end.
            if not self._sender.done():
                await asyncio.wait((self._sender,), timeout=timeout_seconds)
            if not _has_ended(self._sender):
                self._sender.cancel()
                self.reusable = False
            self._sender = None
        complete = self._body is not None and self._body.complete
        self._response, self._body, self._head = None, None, None
        return complete and self.usable

    def is_silent(self) -> bool:
        """Return whether this connection was reused and nothing was received since then."""
        received = self._received_at > self._sent_at
        waited = asyncio.get_running_loop().time() - self._sent_at
        return self._exchanges > 1 and not received and waited >= SILENT_SECONDS

    def count_silent_seconds(self, now: float) -> float:
        """Return for how long nothing was received since the request was sent."""
        return now - max(self._sent_at, self._received_at)

    def close(self) -> None:
        """Abort the connection, by which the upstream detects that the request is abandoned."""
        self.reusable = False
        if self._sender is not None:
            self._sender.cancel()
            self._sender = None
        if self._transport is not None:
            self._transport.abort()

    async def _send_body(self, request: OutgoingRequest) -> None:
        assert request.body is not None and self._transport is not None
        chunked = request.framing is Framing.CHUNKED
        try:
            async for chunk in request.body.chunks():
                await self._writable.wait()
                if self._transport.is_closing():
                    return
                self._transport.write(write_chunk(chunk) if chunked else chunk)
            if chunked:
                self._transport.write(LAST_CHUNK)
        except UpstreamBrokenError:
            # The request's body is broken; the upstream must not take it for complete.
            self.close()

    def _finish_response(self) -> None:
        self._feed_body()
        if self._body is not None:
            self._body.end()

    def _build_head(self, status: int) -> ResponseHead:
        headers = tuple(self._headers)
        framing, length = self._find_framing(status, headers)
        connection = find_header(headers, b"connection").lower()
        closes = b"close" in connection or framing is Framing.CLOSE
        closes = closes or not self._parser.should_keep_alive()
        # The parser waits for the body whose length such a head states.
        closes = closes or self._method == b"HEAD"
        if closes:
            self.reusable = False
        return ResponseHead(
            status, headers, framing, length, closes, _read_keep_alive_seconds(headers)
        )

    def _find_framing(self, status: int, headers: Sequence[Header]) -> tuple[Framing, int]:
        if status in (204, 304) or self._method == b"HEAD":
            return Framing.NONE, 0
        if find_header(headers, b"transfer-encoding"):
            return Framing.CHUNKED, 0
        length = find_header(headers, b"content-length")
        if length:
            return Framing.LENGTH, int(length)
        return Framing.CLOSE, 0

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _fail(self, error: Exception) -> None:
        self._broken = True
        self.reusable = False
        if self._head is not None and not self._head.done():
            self._head.set_exception(error)
        if self._body is not None:
            self._body.fail(error)
        if self._sender is not None:
            self._sender.cancel()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()


def _read_keep_alive_seconds(headers: Sequence[Header]) -> float | None:
    for part in find_header(headers, b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None


def _has_ended(sender: "asyncio.Future[None]") -> bool:
    """Return whether a sender has ended on its own; its error is handled elsewhere."""
    if not sender.done() or sender.cancelled():
        return False
    sender.exception()
    return True
