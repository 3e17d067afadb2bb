"""The request side of upstreams: one streamed call to an engine, one call to a plain service.

Each call knows how far it had come when it failed: whether the connection stood, and whether
a byte of the request may have gone out. That is what decides if it may be tried again.
"""

import socket
from dataclasses import dataclass
from typing import Any

import orjson
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from swifttrestle.errors import (
    UpstreamBrokenError,
    UpstreamBusyError,
    UpstreamError,
    UpstreamLeavingError,
)
from swifttrestle.internal.checks import parse_address

READ_BYTES = 65536
ANSWER_LIMIT = 16_000_000
STATUS_OK, STATUS_UNAVAILABLE, STATUS_TOO_MANY = 200, 503, 429
GONE_REASONS = ("leaving", "away", "model", "role", "changing", "cut")
MAX_RETRY_AFTER = 60.0
# A refused body is small; what is longer is not worth the reading.
REFUSAL_BYTES = 4096


@dataclass(frozen=True)
class EngineCall:
    """One attempt at an engine; `offset` is the first token wanted, `max_tokens` the end."""

    request_id: str
    attempt: int
    offset: int
    max_tokens: int
    model: str
    version: str
    adapter: str
    prompt: str
    priority: str
    kv_from: dict[str, str] | None = None

    def body(self) -> bytes:
        """Return the JSON body."""
        value: dict[str, Any] = {
            "id": self.request_id,
            "attempt": self.attempt,
            "offset": self.offset,
            "max_tokens": self.max_tokens,
            "model": self.model,
            "version": self.version,
            "adapter": self.adapter,
            "prompt": self.prompt,
            "priority": self.priority,
        }
        if self.kv_from:
            value["kv_from"] = self.kv_from
        return orjson.dumps(value)


@dataclass(frozen=True)
class OpenStream:
    """An engine's answer that has begun: its socket and the bytes that came with the head."""

    sock: socket.socket
    first: bytes


class _StreamConnection(HTTPConnection):
    """Asks with HTTP/1.0, so that the body ends with the connection and has no chunk frames.

    That keeps the relay to one read a token; the finish mark tells a whole answer from a
    broken one, so chunk frames would add nothing.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


def open_stream(
    address: str, call: EngineCall, connect_seconds: float, first_seconds: float
) -> OpenStream:
    """Start a streamed call and wait for its first bytes; raise UpstreamError."""
    connection = _connect(_StreamConnection, address, connect_seconds)
    try:
        connection.timeout = first_seconds
        if connection.sock is not None:
            connection.sock.settimeout(first_seconds)
        connection.request(
            "POST", "/v1/stream", body=call.body(), preload_content=False,
            headers={"Content-Type": "application/json"},
        )  # fmt: skip
        response = connection.getresponse()
        if response.status != STATUS_OK:
            _raise_refusal(response.status, response.headers, response.read(REFUSAL_BYTES))
        first = response.read1(READ_BYTES)
        sock = socket.socket(fileno=socket.dup(response.fileno()))
        response.close()
        return OpenStream(sock, first)
    except (HTTPError, OSError, ValueError) as error:
        raise UpstreamBrokenError(f"{address}: {type(error).__name__}", sent=True) from None
    finally:
        connection.close()


def cancel_stream(address: str, request_id: str, attempt: int, seconds: float) -> None:
    """Ask an engine to drop a request; what is lost here the closed socket says as well."""
    body = orjson.dumps({"id": request_id, "attempt": attempt})
    try:
        call_plain(address, "/v1/cancel", body, {}, connect_seconds=seconds, seconds=seconds)
    except UpstreamError:
        return


def start_prefill(address: str, call: EngineCall, connect: float, seconds: float) -> str:
    """Have an engine prefill a prompt; return the handle of its KV cache."""
    answer = call_plain(
        address, "/v1/prefill", call.body(), {}, connect_seconds=connect, seconds=seconds
    )
    try:
        return str(orjson.loads(answer.body)["handle"])
    except (orjson.JSONDecodeError, KeyError, TypeError):
        raise UpstreamBrokenError(f"{address}: no handle in the answer", sent=True) from None


@dataclass(frozen=True)
class PlainAnswer:
    """A plain service's whole answer."""

    status: int
    content_type: str
    body: bytes


def call_plain(
    address: str,
    path: str,
    body: bytes,
    headers: dict[str, str],
    *,
    connect_seconds: float,
    seconds: float,
) -> PlainAnswer:
    """Make one call and read its whole answer; raise UpstreamError with how far it came."""
    connection = _connect(HTTPConnection, address, connect_seconds)
    try:
        if connection.sock is not None:
            connection.sock.settimeout(seconds)
        connection.request(
            "POST", path, body=body, headers={"Content-Type": "application/json", **headers},
            preload_content=False,
        )  # fmt: skip
        response = connection.getresponse()
        if response.status in (STATUS_UNAVAILABLE, STATUS_TOO_MANY):
            _raise_refusal(response.status, response.headers, response.read(REFUSAL_BYTES))
        data = response.read(ANSWER_LIMIT)
        if len(data) >= ANSWER_LIMIT:
            raise UpstreamBrokenError(f"{address}: the answer is too long", sent=True)
        return PlainAnswer(response.status, response.headers.get("Content-Type", ""), data)
    except (HTTPError, OSError, ValueError) as error:
        raise UpstreamBrokenError(f"{address}: {type(error).__name__}", sent=True) from None
    finally:
        connection.close()


def _connect(kind: type[HTTPConnection], address: str, seconds: float) -> HTTPConnection:
    host, port = parse_address(address)
    connection = kind(host, port, timeout=seconds)
    try:
        connection.connect()
    except (HTTPError, OSError) as error:
        # No byte of the request has gone out.
        raise UpstreamBrokenError(f"{address}: {type(error).__name__}", sent=False) from None
    return connection


def _raise_refusal(status: int, headers: Any, body: bytes) -> None:
    """Raise for an answer that says the call was not run."""
    try:
        reason = str(orjson.loads(body).get("reason", ""))
    except (orjson.JSONDecodeError, AttributeError):
        reason = ""
    retry_after = read_retry_after(headers.get("Retry-After", ""))
    message = f"status {status} {reason}"
    if status not in (STATUS_UNAVAILABLE, STATUS_TOO_MANY):
        raise UpstreamBrokenError(message, sent=True)
    if reason in GONE_REASONS:
        raise UpstreamLeavingError(message, sent=False, retry_after=retry_after)
    raise UpstreamBusyError(message, sent=False, retry_after=retry_after)


def read_retry_after(value: str) -> float:
    """Return the seconds of a Retry-After header, 0 where it cannot be read."""
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if 0 <= seconds <= MAX_RETRY_AFTER else 0.0
