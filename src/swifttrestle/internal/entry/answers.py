"""The answer's bytes towards a caller, after its socket was taken from the HTTP server."""

import contextlib
import math
import socket
from collections.abc import Generator

import orjson

from swifttrestle.codes import TABLE, Code
from swifttrestle.errors import CallerGoneError, RefusedError
from swifttrestle.internal.protocol.tokens import read_text
from swifttrestle.internal.transport.pump import WaitFor

LAST_WRITE_SECONDS = 5.0
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n"
    b"Transfer-Encoding: chunked\r\nConnection: close\r\nX-Request-Id: %s\r\n\r\n"
)
WHOLE_HEAD = (
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
    """Return the headers of a refusal: when to come back, where that is known."""
    if error.retry_after is None:
        return ()
    return (("Retry-After", str(math.ceil(error.retry_after))),)


class CallerAnswer:
    """Writes one answer, streamed or whole, to a caller's socket that does not block."""

    def __init__(self, sock: socket.socket, request_id: str, caller_id: str, stream: bool) -> None:
        """Take a caller's socket; `caller_id` is the caller's own id for the request."""
        self.sock = sock
        self._request_id = request_id
        self._caller_id = caller_id or request_id
        self._stream = stream
        self._begun = False
        self._held: list[bytes] = []
        self._unsent = b""

    def write(self, events: bytes) -> Generator[WaitFor, None, None]:
        """Deliver checked events, waiting for room as long as it takes."""
        if not self._stream:
            self._held.append(events)
            return
        data = b"%x\r\n%s\r\n" % (len(events), events)
        if not self._begun:
            self._begun = True
            data = STREAM_HEAD % self._caller_id.encode() + data
        yield from self._send(data)

    def end(self, tokens: int) -> Generator[WaitFor, None, None]:
        """End a whole answer."""
        if self._stream:
            yield from self._send(LAST_CHUNK)
            return
        text = read_text(b"".join(self._held))
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
        """Tell the caller that the answer will not become whole, and close."""
        body = orjson.dumps(make_error_body(error, self._caller_id))
        if self._stream and self._begun:
            event = b"event: error\ndata: " + body + b"\n\n"
            # No finish mark and an error event: the answer cannot be taken for a whole one.
            data = b"%x\r\n%s\r\n" % (len(event), event) + LAST_CHUNK
        else:
            lines = "".join(f"{name}: {value}\r\n" for name, value in make_error_headers(error))
            data = self._make_head(TABLE[error.code].status, body, lines.encode()) + body
        with contextlib.suppress(OSError):
            self.sock.settimeout(LAST_WRITE_SECONDS)
            self.sock.sendall(self._unsent + data)
        self.close()

    def close(self) -> None:
        """Close the caller's connection after what was sent."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        self.sock.close()

    def _make_head(self, status: int, body: bytes, lines: bytes) -> bytes:
        reason = Code.OK.name.encode() if status == TABLE[Code.OK].status else b"Error"
        return WHOLE_HEAD % (status, reason, len(body), self._caller_id.encode(), lines)

    def _send(self, data: bytes) -> Generator[WaitFor, None, None]:
        # What a full socket did not take is kept here, so that a stream which is resumed
        # on another engine meanwhile goes on exactly where the caller's bytes end.
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
