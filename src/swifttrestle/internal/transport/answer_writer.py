"""Writes the answers to the requests of one connection, one after the other.

What may be written, and when, is decided here alone. `_begin_answer` names the request whose answer
is due, once the answer before it is complete. Only then an interim answer may be written, if the
caller waits for one with its whole body, and from then on the final answer. That has a body unless
its request or its status excludes one.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence

from swifttrestle.internal.transport.messages import (
    LAST_CHUNK,
    Body,
    Framing,
    Header,
    RequestHead,
    write_chunk,
    write_response_head,
)
from swifttrestle.internal.transport.relay import reset_connection

# Statuses whose answers end with their head.
BODILESS_STATUSES = frozenset((204, 304))
KEEP_ALIVE = (b"Connection", b"keep-alive")
CONTINUE_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


class ResponseWriter(ABC):
    """Writes the response to a request."""

    started: bool = False

    @abstractmethod
    async def send_whole(self, status: int, headers: Sequence[Header], content: bytes) -> None:
        """Send a complete response."""

    @abstractmethod
    async def start(
        self, status: int, headers: Sequence[Header], framing: Framing, length: int
    ) -> None:
        """Send the head of a response whose body follows."""

    @abstractmethod
    async def send(self, data: bytes) -> None:
        """Send bytes of the body; wait while the caller does not read."""

    @abstractmethod
    async def end(self) -> None:
        """Complete the response."""

    @abstractmethod
    def abort(self) -> None:
        """Reset the connection, so that the caller cannot take the response for complete."""


class AnswerWriter(ResponseWriter):
    """The one writer of a connection's answers."""

    def __init__(self) -> None:
        """Start without a connection."""
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._framing = Framing.NONE
        self._keep_alive = True
        self._answers_head = False
        self._http_1_0 = False
        self._has_body = True
        # Whether the caller waits to be asked for the body of its request.
        self._awaits_invitation = False

    @property
    def unsent_bytes(self) -> int:
        """The bytes of answers that the operating system has not taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    # Called by the event loop.

    def pause_writing(self) -> None:
        """Pause the writer, since the caller does not read."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume the writer."""
        self._writable.set()

    # Called by handlers.

    async def send_whole(self, status: int, headers: Sequence[Header], content: bytes) -> None:
        """Send a complete response."""
        await self.start(status, headers, Framing.LENGTH, len(content))
        await self.send(content)
        await self.end()

    async def start(
        self, status: int, headers: Sequence[Header], framing: Framing, length: int
    ) -> None:
        """Send the head of a response; its body follows, if it may have one."""
        self.started = True
        self._has_body = not self._answers_head and status not in BODILESS_STATUSES
        self._framing = self._choose_framing(status, framing)
        if self._is_last_answer() or self._framing is Framing.CLOSE:
            self._keep_alive = False
        if self._http_1_0 and self._keep_alive:
            headers = (*headers, KEEP_ALIVE)
        self._write(write_response_head(status, headers, self._framing, length, self._keep_alive))

    async def send(self, data: bytes) -> None:
        """Send bytes of the body, if there is one; wait while the caller does not read."""
        if not data or not self._has_body:
            return
        await self._writable.wait()
        self._write(write_chunk(data) if self._framing is Framing.CHUNKED else data)

    async def end(self) -> None:
        """Complete the response."""
        if self._framing is Framing.CHUNKED and self._has_body:
            self._write(LAST_CHUNK)

    def abort(self) -> None:
        """Reset the connection, so that the caller cannot take the response for complete."""
        if self._transport is None:
            return
        if self._framing is Framing.CLOSE:
            reset_connection(self._transport)
        else:
            self._transport.abort()

    # Called by the connection.

    def _begin_answer(self, head: RequestHead, body: Body, keep_alive: bool) -> None:
        """Take up the next request; `keep_alive` is whether it lets the connection go on."""
        self.started = False
        self._keep_alive = self._keep_alive and keep_alive
        self._answers_head = head.method == b"HEAD"
        self._http_1_0 = head.http_1_0
        self._awaits_invitation = _is_waited_for(head, body)
        if body.has_memory:
            self._invite_body()

    def _invite_body(self) -> None:
        """Ask for the body of the current request, if its caller waits for that."""
        if self._awaits_invitation and not self.started:
            self._write(CONTINUE_ANSWER)
        self._awaits_invitation = False

    def _choose_framing(self, status: int, framing: Framing) -> Framing:
        """Return how the end of a body is marked for this caller."""
        if status in BODILESS_STATUSES:
            return Framing.NONE
        if framing is Framing.CLOSE or framing is Framing.CHUNKED:
            # A body that ends with the upstream's connection is sent in chunks, to mark its end.
            return Framing.CLOSE if self._http_1_0 else Framing.CHUNKED
        return framing

    def _is_last_answer(self) -> bool:
        """Return whether the connection ends after the answer that begins."""
        return False

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


def _is_waited_for(head: RequestHead, body: Body) -> bool:
    """Return whether the caller waits for an interim answer before it sends its body."""
    if body.size or body.complete or body.broken or head.http_1_0:
        return False
    return head.find(b"expect").lower() == b"100-continue"
