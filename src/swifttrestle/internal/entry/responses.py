"""Writes a response to a caller's socket that was detached from the HTTP server."""

import contextlib
import math
import socket
from collections.abc import Generator

import orjson

from swifttrestle.codes import TABLE, Code
from swifttrestle.errors import CallerGoneError, RefusedError
from swifttrestle.internal.protocol.tokens import read_text
from swifttrestle.internal.transport.stream_relay import WaitFor

ERROR_WRITE_TIMEOUT_SECONDS = 5.0
STREAM_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n"
    b"Transfer-Encoding: chunked\r\nConnection: close\r\nX-Request-Id: %s\r\n\r\n"
)
JSON_RESPONSE_HEAD = (
    b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
    b"Connection: close\r\nX-Request-Id: %s\r\n%s\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


def make_error_body(error: RefusedError, request_id: str) -> dict:
    """Return the JSON body of a refusal or failure."""
    body = {
        "code": int(error.code),
        "name": error.code.name,
        "ran": error.ran.value,
        "message": error.message,
        "request_id": request_id,
    }
    if error.retry_after is not None:
        body["retry_after"] = math.ceil(error.retry_after)
    return {"error": body}


def make_error_headers(error: RefusedError) -> tuple[tuple[str, str], ...]:
    """Return the Retry-After header of a refusal, if it has one."""
    if error.retry_after is None:
        return ()
    return (("Retry-After", str(math.ceil(error.retry_after))),)


class CallerResponse:
    """Writes one response, streamed or as one JSON object, to a non-blocking socket."""

    def __init__(self, sock: socket.socket, request_id: str, caller_id: str, stream: bool) -> None:
        """Write to a caller's socket; `caller_id` is the caller's own id for the request."""
        self.sock = sock
        self._request_id = request_id
        self._caller_id = caller_id or request_id
        self._stream = stream
        self._head_sent = False
        self._buffered: list[bytes] = []
        self._unsent = b""

    def write(self, events: bytes) -> Generator[WaitFor, None, None]:
        """Write checked events to a stream, or buffer them; yield while the socket is full."""
        if not self._stream:
            self._buffered.append(events)
            return
        data = b"%x\r\n%s\r\n" % (len(events), events)
        if not self._head_sent:
            self._head_sent = True
            data = STREAM_RESPONSE_HEAD % self._caller_id.encode() + data
        yield from self._send(data)

    def end(self, tokens: int) -> Generator[WaitFor, None, None]:
        """Complete the response, which has `tokens` output tokens."""
        if self._stream:
            yield from self._send(LAST_CHUNK)
            return
        text = read_text(b"".join(self._buffered))
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "text": text,
            "finish_reason": "stop",
        }
        body = orjson.dumps(
            {
                "id": self._request_id,
                "choices": [choice],
                "usage": {"completion_tokens": tokens},
            }
        )
        yield from self._send(self._make_head(200, body, b"") + body)

    def fail(self, error: RefusedError) -> None:
        """Send an error to the caller and close the connection."""
        body = orjson.dumps(make_error_body(error, self._caller_id))
        if self._stream and self._head_sent:
            event = b"event: error\ndata: " + body + b"\n\n"
            # An error event and no finish event mark the response as incomplete.
            data = b"%x\r\n%s\r\n" % (len(event), event) + LAST_CHUNK
        else:
            lines = "".join(f"{name}: {value}\r\n" for name, value in make_error_headers(error))
            data = self._make_head(TABLE[error.code].status, body, lines.encode()) + body
        with contextlib.suppress(OSError):
            self.sock.settimeout(ERROR_WRITE_TIMEOUT_SECONDS)
            self.sock.sendall(self._unsent + data)
        self.close()

    def close(self) -> None:
        """Close the connection once the sent bytes are delivered."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        self.sock.close()

    def _make_head(self, status: int, body: bytes, lines: bytes) -> bytes:
        reason = Code.OK.name.encode() if status == TABLE[Code.OK].status else b"Error"
        return JSON_RESPONSE_HEAD % (status, reason, len(body), self._caller_id.encode(), lines)

    def _send(self, data: bytes) -> Generator[WaitFor, None, None]:
        # Bytes that the socket did not accept are kept here, so that a stream that is resumed on
        # another engine continues exactly where the caller's bytes end.
        self._unsent += data
        while self._unsent:
            try:
                sent = self.sock.send(self._unsent)
            except BlockingIOError:
                sent = 0
            except OSError:
                raise CallerGoneError("the caller's connection broke") from None
            self._unsent = self._unsent[sent:]
            if self._unsent:
                yield WaitFor.WRITABLE
