"""HTTP messages: heads, streamed bodies and their encoding."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

from swifttrestle.errors import (
    ResponseLimit,
    UpstreamLimitError,
    UpstreamSilentError,
    copy_error,
)
from swifttrestle.internal.state.body_memory import BodyReservation
from swifttrestle.internal.transport.silence import SilenceLimit, limit_silence

Header = tuple[bytes, bytes]

# Unread bytes of a body above which reading from its sender pauses. Two of the usual socket reads.
HIGH_WATER_BYTES = 128 * 1024


FIRST_REDIRECTION_STATUS = 300


class Framing(Enum):
    """How the end of a body is determined."""

    NONE = "no body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "end of the connection"


@dataclass(frozen=True)
class RequestHead:
    """The head of a request; `headers` have the caller's spelling and order.

    `http_1_0` is whether the caller speaks HTTP/1.0, which has no chunks and no interim answers.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    framing: Framing
    length: int = 0
    http_1_0: bool = False

    def find(self, name: bytes) -> bytes:
        """Return a header's value, or the empty string; `name` is in lower case."""
        return find_header(self.headers, name)


@dataclass(frozen=True)
class ResponseHead:
    """The head of an upstream's response.

    `closes` is true if the connection ends after it. `keep_alive_seconds` is the timeout in its
    Keep-Alive header, or None.
    """

    status: int
    headers: tuple[Header, ...]
    framing: Framing
    length: int = 0
    closes: bool = False
    keep_alive_seconds: float | None = None


def is_success(status: int) -> bool:
    """Return whether a final status says that the request succeeded."""
    return status < FIRST_REDIRECTION_STATUS


class Body:
    """The body of one message, which can be read while it arrives.

    With `keep`, all bytes stay in memory, so that they can be sent to another upstream in a retry;
    without it, bytes are dropped once they have been read.
    """

    def __init__(self, keep: bool = True) -> None:
        self.keep = keep
        self.size = 0
        self._chunks: deque[bytes] = deque()
        # Bytes that have not been read; only counted without `keep`.
        self._unread = 0
        self._dropped = 0
        self._drops_all = False
        self._ended = False
        self._error: Exception | None = None
        self._changed = asyncio.Event()
        self.resume_reading = _do_nothing
        # The memory of a caller's body; None if that is not bounded.
        self.reservation: BodyReservation | None = None

    @classmethod
    def from_bytes(cls, content: bytes) -> "Body":
        """Return a body that is already complete."""
        body = cls()
        body.feed(content)
        body.end()
        return body

    @property
    def complete(self) -> bool:
        """Whether the whole body has arrived."""
        return self._ended and self._error is None

    @property
    def broken(self) -> bool:
        """Whether the rest of the body will not arrive."""
        return self._error is not None

    @property
    def above_high_water(self) -> bool:
        """Whether reading from the sender should pause."""
        return not self.keep and self._unread > HIGH_WATER_BYTES

    @property
    def has_memory(self) -> bool:
        """Whether there is memory for more of the body."""
        return self.reservation is None or self.reservation.readable

    def list_kept(self) -> tuple[bytes, ...]:
        """Return the kept bytes, as received."""
        return tuple(self._chunks)

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.size += len(data)
        if self._drops_all:
            return
        self._chunks.append(data)
        self._unread += len(data)
        self._changed.set()

    def end(self) -> None:
        """Mark the body as complete."""
        self._ended = True
        self._changed.set()

    def fail(self, error: Exception) -> None:
        """Mark the body as broken, unless it has ended."""
        if not self._ended:
            self._error = error
            self._ended = True
            self._changed.set()

    def drop(self, reason: Exception) -> "Body":
        """Break this body for its readers and drop its bytes; return one that drops the rest."""
        self.fail(reason)
        self._chunks.clear()
        self._unread = 0
        rest = Body(keep=False)
        rest.size = self.size
        rest._drops_all = True
        return rest

    async def wait_for_end(self) -> None:
        """Wait until the body is complete or broken."""
        while not self._ended:
            self._changed.clear()
            await self._changed.wait()

    async def chunks(self, silence: SilenceLimit | None = None) -> AsyncIterator[bytes]:
        """Yield the body from its start, or its unread rest without `keep`; raise its error.

        With `silence`, raise UpstreamSilentError once that limit is reached.
        """
        index = 0
        while True:
            while index - self._dropped < len(self._chunks):
                if self.keep:
                    yield self._chunks[index]
                    index += 1
                else:
                    data = self._chunks.popleft()
                    self._unread -= len(data)
                    self._dropped += 1
                    index = self._dropped
                    self.resume_reading()
                    yield data
            if self._ended:
                break
            self._changed.clear()
            if silence is None:
                # A timeout would add overhead to each wait.
                await self._changed.wait()
            else:
                await self._wait_for_more(silence)
        if self._error is not None:
            # The traceback of a raised error refers to its readers, and they to this body.
            raise copy_error(self._error)

    async def _wait_for_more(self, silence: SilenceLimit) -> None:
        try:
            async with limit_silence(silence):
                await self._changed.wait()
        except TimeoutError:
            message = f"no byte for {silence.seconds:g} s after {self.size} bytes of a body"
            raise UpstreamSilentError(message) from None

    async def read_whole(self, limit: int, byte_seconds: float | None = None) -> bytes:
        """Return the complete body; raise UpstreamLimitError if it exceeds `limit` bytes.

        With `byte_seconds`, raise UpstreamSilentError after that time without a byte.
        """
        parts = []
        size = 0
        silence = None if byte_seconds is None else SilenceLimit(byte_seconds)
        async for chunk in self.chunks(silence):
            size += len(chunk)
            if size > limit:
                raise UpstreamLimitError(ResponseLimit.BODY, limit)
            parts.append(chunk)
        return b"".join(parts)


def _do_nothing() -> None:
    return None


def find_header(headers: Sequence[Header], name: bytes) -> bytes:
    """Return the first value of a header, or the empty string; `name` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""


def write_request_head(
    method: bytes, target: bytes, headers: Sequence[Header], framing: Framing, length: int
) -> bytes:
    """Return the bytes of a request's head."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    lines += _write_framing(framing, length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def write_response_head(
    status: int, headers: Sequence[Header], framing: Framing, length: int, keep_alive: bool
) -> bytes:
    """Return the bytes of a response's head."""
    lines = [f"HTTP/1.1 {status} {find_reason_phrase(status)}".encode()]
    lines += [name + b": " + value for name, value in headers]
    lines += _write_framing(framing, length)
    if not keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def write_chunk(data: bytes) -> bytes:
    """Return data encoded as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def find_reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"


def _write_framing(framing: Framing, length: int) -> list[bytes]:
    if framing is Framing.LENGTH:
        return [b"Content-Length: %d" % length]
    if framing is Framing.CHUNKED:
        return [b"Transfer-Encoding: chunked"]
    return []
