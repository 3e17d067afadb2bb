"""Responses to the own interface's blocking clients, whole, and bounded in bytes and in time.

http.client bounds the lines of a head, but no interim responses, bodies or trailers. It takes the
end of a connection inside a head for the head's end, and an interim response other than 100 for the
response itself.
"""

import http.client
from http import HTTPStatus
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from swifttrestle.errors import ResponseLimit, UpstreamLimitError, UpstreamSilentError
from swifttrestle.internal.clock import read_boottime_seconds

# Maximum number of interim responses before a response.
MAX_INTERIM_RESPONSES = 8
# Maximum number of lines of an interim response, or behind a body in chunks, and bytes of each.
MAX_LINES = 100
MAX_LINE_BYTES = 16 * 1024
_LAST_LINES = (b"\r\n", b"\n")
# Bytes of a body that are read at once.
READ_BYTES = 64 * 1024


class CutLineError(http.client.HTTPException):
    """The connection ended inside a response's head, or inside the framing of its body."""


class _WholeLines:
    """The bytes of a connection, whose lines are read whole or not at all."""

    def __init__(self, reader: Any) -> None:
        """Read from `reader`, the file of a response."""
        self._reader = reader
        self._any_line = False

    def readline(self, max_bytes: int) -> bytes:
        """Return a line, or `max_bytes` of it; raise CutLineError if the connection ends before.

        A connection that ends before the first line returns no byte.
        """
        line: bytes = self._reader.readline(max_bytes)
        whole = line.endswith(b"\n") or len(line) == max_bytes
        if not whole and (line or self._any_line):
            raise CutLineError(f"the connection ended inside a line, after {line[:20]!r}")
        self._any_line = True
        return line

    def __getattr__(self, name: str) -> Any:
        """Return any other attribute of the file."""
        return getattr(self._reader, name)


class BoundedResponse(http.client.HTTPResponse):
    """A response that is whole, and whose interim responses and trailers are bounded."""

    def begin(self) -> None:
        """Read the head; raise HTTPException if it is not whole."""
        if self.headers is None:
            self.fp = _WholeLines(self.fp)
        super().begin()

    def _read_status(self) -> tuple[str, int, str]:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            version, status, reason = super()._read_status()  # type: ignore[misc]
            if not _is_interim(status):
                return version, status, reason
            self._skip_lines()
        raise http.client.HTTPException("too many interim responses")

    def _read_and_discard_trailer(self) -> None:
        self._skip_lines()

    def _skip_lines(self) -> None:
        """Read up to the next empty line."""
        for _ in range(MAX_LINES):
            if self.fp.readline(MAX_LINE_BYTES) in _LAST_LINES:
                return
        raise http.client.HTTPException(f"over {MAX_LINES} lines of an interim head or of trailers")


def _is_interim(status: int) -> bool:
    """Return whether another response follows on the same connection."""
    return status < HTTPStatus.OK and status != HTTPStatus.SWITCHING_PROTOCOLS


class BoundedConnection(HTTPConnection):
    """A connection whose responses' heads are bounded."""

    response_class = BoundedResponse


class BoundedConnectionPool(HTTPConnectionPool):
    """A pool of such connections."""

    ConnectionCls = BoundedConnection


def read_bounded(response: urllib3.BaseHTTPResponse, max_bytes: int, seconds: float) -> bytes:
    """Return the whole body of a response, and give its connection back.

    Raises UpstreamLimitError for more than `max_bytes`, and UpstreamSilentError if the body does
    not end within `seconds`.
    """
    deadline = read_boottime_seconds() + seconds
    parts: list[bytes] = []
    size = 0
    try:
        while data := response.read1(READ_BYTES):
            size += len(data)
            if size > max_bytes:
                raise UpstreamLimitError(ResponseLimit.BODY, max_bytes)
            if read_boottime_seconds() > deadline:
                raise UpstreamSilentError(f"a body had no end within {seconds:g} s")
            parts.append(data)
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return b"".join(parts)
