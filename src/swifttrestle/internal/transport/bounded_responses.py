"""Responses to the own interface's blocking clients, bounded in bytes and in time.

http.client bounds the lines of a head, but no interim responses, bodies or trailers.
"""

import http.client

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.connectionpool import HTTPConnectionPool

from swifttrestle.errors import ResponseLimit, UpstreamLimitError, UpstreamSilentError
from swifttrestle.internal.clock import read_boottime_seconds

# Maximum number of interim responses before a response.
MAX_INTERIM_RESPONSES = 8
# Maximum number of lines behind a body in chunks, and bytes of each.
MAX_TRAILER_LINES = 100
MAX_LINE_BYTES = 16 * 1024
_LAST_LINES = (b"\r\n", b"\n", b"")
# Bytes of a body that are read at once.
READ_BYTES = 64 * 1024


class BoundedResponse(http.client.HTTPResponse):
    """A response whose interim responses and trailers are bounded."""

    _status_lines = 0

    def _read_status(self) -> tuple[str, int, str]:
        self._status_lines += 1
        if self._status_lines > MAX_INTERIM_RESPONSES + 1:
            raise http.client.HTTPException("too many interim responses")
        return super()._read_status()  # type: ignore[misc]

    def _read_and_discard_trailer(self) -> None:
        for _ in range(MAX_TRAILER_LINES):
            if self.fp.readline(MAX_LINE_BYTES) in _LAST_LINES:
                return
        raise http.client.HTTPException("too many trailers")


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
