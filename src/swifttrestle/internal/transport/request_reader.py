"""Reads the requests of one connection; what the end of a request is, is decided here alone.

A request ends where its own framing says: at its head, its length or its last chunk. An offer to go
on in another protocol is not taken up and changes nothing. CONNECT alone turns the rest of a
connection into other bytes; these are not read as requests.
"""

from abc import ABC, abstractmethod
from typing import NoReturn

import httptools

from swifttrestle.internal.state.declared import Limits
from swifttrestle.internal.transport.messages import (
    Body,
    Framing,
    Header,
    RequestHead,
    write_request_head,
)
from swifttrestle.internal.transport.targets import TargetError, read_absolute_target, set_host

BAD_REQUEST = 400
BODY_TOO_LARGE = 413
HEADER_TOO_LARGE = 431
CONNECT = b"CONNECT"
HTTP_1_0 = "1.0"
# Bytes of a header line beside its name and its value: the colon, a space and the line's end.
HEADER_MARKS_BYTES = 4


class RequestError(Exception):
    """What was received is not read any further; `status` is that of the refusal."""

    def __init__(self, status: int) -> None:
        """Store the status."""
        super().__init__(f"refused with status {status}")
        self.status = status


class RequestReceiver(ABC):
    """Gets the requests of a connection as they are read."""

    @abstractmethod
    def take_request(self, head: RequestHead, body: Body, keep_alive: bool) -> None:
        """Take a request whose head is complete; its body may follow later.

        `keep_alive` is whether the request lets the connection go on after its answer.
        """

    @abstractmethod
    def note_body_read(self, body: Body) -> None:
        """Note that the current request's body has grown."""

    @abstractmethod
    def note_body_end(self, body: Body) -> None:
        """Note that the current request's body is complete."""


class RequestReader:
    """Parses the bytes of one connection."""

    def __init__(self, receiver: RequestReceiver) -> None:
        """Pass requests to `receiver`."""
        self._receiver = receiver
        self._parser = httptools.HttpRequestParser(self)
        # The limits on the request that is being read.
        self.limits = Limits()
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._target = b""
        self._framing = Framing.NONE
        self._length = 0
        # Whether the parser has stopped at the head of a request that offers another protocol.
        self._offered = False
        # Whether the parser reads a head that only tells it the framing of the body to come.
        self._repeats_head = False
        self._refusal = BAD_REQUEST
        # Whether what follows is not read.
        self.ended = False
        # Whether a part of a head was read.
        self.reading_head = False
        # The body that is being read; None between requests.
        self.body: Body | None = None

    def begin_head(self, limits: Limits) -> None:
        """Expect a head, under these limits."""
        self.reading_head = True
        self.limits = limits

    def feed(self, data: bytes | memoryview) -> None:
        """Read received bytes; raise RequestError if they are no request that may be read."""
        while data and not self.ended:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as stop:
                data = data[stop.args[0] :]
                self._decline_offer()
            except httptools.HttpParserError:
                raise RequestError(self._refusal) from None

    def close(self) -> None:
        """Read nothing more, and hold no body."""
        self.ended = True
        self.body = None

    def _decline_offer(self) -> None:
        """Go on behind the head at which the parser stopped, by the framing that it states."""
        self._offered = False
        self._header_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._repeats_head = True
        self._parser.feed_data(write_request_head(b"POST", b"/", (), self._framing, self._length))

    # Called by the parser.

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url
        self._header_bytes += len(url)
        if self._header_bytes > self.limits.header_bytes:
            self._refuse(HEADER_TOO_LARGE)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name, value))
        self._header_bytes += len(name) + len(value) + HEADER_MARKS_BYTES
        if self._header_bytes > self.limits.header_bytes:
            self._refuse(HEADER_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Pass on the request; its body may follow later."""
        if self._repeats_head:
            self._repeats_head = False
            return
        self.reading_head = False
        self._offered = self._parser.should_upgrade()
        method = self._parser.get_method()
        self._framing, self._length = self._find_framing(method)
        if self._length > self.limits.body_bytes:
            self._refuse(BODY_TOO_LARGE)
        target, headers = self._target, tuple(self._headers)
        if not target.startswith(b"/"):
            target, headers = self._read_other_target(target, headers)
        http_1_0 = self._parser.get_http_version() == HTTP_1_0
        if http_1_0 and self._framing is Framing.CHUNKED:
            self._refuse(BAD_REQUEST)
        head = RequestHead(method, target, headers, self._framing, self._length, http_1_0)
        self.ended = method == CONNECT
        self.body = Body()
        keep_alive = self._parser.should_keep_alive() and not self.ended
        self._receiver.take_request(head, self.body, keep_alive)

    def on_body(self, data: bytes) -> None:
        """Append bytes to the request's body."""
        assert self.body is not None
        if self.body.size + len(data) > self.limits.body_bytes:
            self._refuse(BODY_TOO_LARGE)
        self.body.feed(data)
        self._receiver.note_body_read(self.body)

    def on_message_complete(self) -> None:
        """Complete the body and prepare for the next request."""
        if self._offered and not self.ended:
            # The parser takes the body for the other protocol.
            return
        if self.body is not None:
            self.body.end()
            self._receiver.note_body_end(self.body)
        self.body = None
        self._target = b""
        self._headers = []
        self._header_bytes = 0

    def _read_other_target(
        self, target: bytes, headers: tuple[Header, ...]
    ) -> tuple[bytes, tuple[Header, ...]]:
        """Return the path and the headers of a request whose target is no path."""
        try:
            absolute = read_absolute_target(target)
        except TargetError:
            self._refuse(BAD_REQUEST)
        if absolute is None:
            return target, headers
        host, path = absolute
        return path, set_host(headers, host)

    def _find_framing(self, method: bytes) -> tuple[Framing, int]:
        lengths, codings = [], []
        for name, value in self._headers:
            lower_name = name.lower()
            if lower_name == b"content-length":
                lengths.append(value)
            elif lower_name == b"transfer-encoding":
                codings.append(value)
        if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
            self._refuse(BAD_REQUEST)
        if method == CONNECT:
            return Framing.NONE, 0
        if codings:
            if codings[0].strip().lower() != b"chunked":
                self._refuse(BAD_REQUEST)
            return Framing.CHUNKED, 0
        if lengths:
            if not lengths[0].isdigit():
                self._refuse(BAD_REQUEST)
            return Framing.LENGTH, int(lengths[0])
        return Framing.NONE, 0

    def _refuse(self, status: int) -> NoReturn:
        """Stop the parser."""
        self._refusal = status
        raise RequestError(status)
