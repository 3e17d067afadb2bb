"""Requests to upstreams: streamed calls to engines and calls to plain services.

The field `sent` of an error is true if the upstream may have executed the request; it decides
whether the call may be retried.
"""

import socket
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any

import orjson
from urllib3 import BaseHTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from swifttrestle.errors import (
    UpstreamBrokenError,
    UpstreamBusyError,
    UpstreamError,
    UpstreamLeavingError,
)
from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.transport.bounded_responses import BoundedConnection, read_bounded
from swifttrestle.internal.transport.keepalive import set_keepalive

READ_BYTES = 65536
# Largest accepted response body of a plain service, in bytes.
MAX_RESPONSE_BYTES = 16_000_000
STATUS_OK, STATUS_UNAVAILABLE, STATUS_TOO_MANY = 200, 503, 429
# Reasons of refusals by upstreams that currently serve no requests of this kind.
UNAVAILABLE_REASONS = ("leaving", "away", "model", "role", "changing", "cut")
# Longer times in a Retry-After header are ignored.
MAX_RETRY_AFTER_SECONDS = 60.0
# Bytes of a refusal's body that are read.
MAX_REFUSAL_BYTES = 4096
# A machine that is gone is noticed after 10 s, the default of `stall_seconds`.
PROBE_IDLE_SECONDS = 4
PROBE_INTERVAL_SECONDS = 2
MAX_PROBES = 3


@dataclass(frozen=True)
class EngineCall:
    """One attempt at an engine, for the tokens from `offset` up to `max_tokens`."""

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
        """Return the body as JSON."""
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
    """A streamed response that has begun: its socket and the body bytes received so far."""

    sock: socket.socket
    first: bytes


class _StreamConnection(BoundedConnection):
    """Uses HTTP/1.0, so that the body ends with the connection and is not chunked.

    The relay can then forward what it reads without decoding chunks. The final event marks a
    complete response, so that chunks are not needed for that.
    """

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


def open_stream(
    address: str, call: EngineCall, connect_seconds: float, first_seconds: float
) -> OpenStream:
    """Start a streamed call and wait for its first body bytes; raise UpstreamError."""
    connection = _connect(_StreamConnection, address, connect_seconds)
    try:
        connection.timeout = first_seconds
        if connection.sock is not None:
            connection.sock.settimeout(first_seconds)
            _probe_when_idle(connection.sock)
        connection.request(
            "POST", "/v1/stream", body=call.body(), preload_content=False,
            headers={"Content-Type": "application/json"},
        )  # fmt: skip
        response = connection.getresponse()
        if response.status != STATUS_OK:
            _raise_refusal(response.status, response.headers, response.read(MAX_REFUSAL_BYTES))
        return _take_stream(response)
    except (HTTPError, HTTPException, OSError, ValueError) as error:
        raise UpstreamBrokenError(f"{address}: {type(error).__name__}", sent=True) from None
    finally:
        connection.close()


def _take_stream(response: BaseHTTPResponse) -> OpenStream:
    """Wait for the first body bytes, and take the response's socket over."""
    # A response that is read to its end has no socket any more.
    sock = socket.socket(fileno=socket.dup(response.fileno()))
    try:
        first = response.read1(READ_BYTES)
    except BaseException:
        sock.close()
        raise
    response.close()
    return OpenStream(sock, first)


def _probe_when_idle(sock: socket.socket) -> None:
    """Have the kernel end a connection whose machine is gone; a silent engine's stays."""
    set_keepalive(sock, PROBE_IDLE_SECONDS, PROBE_INTERVAL_SECONDS, MAX_PROBES)


def cancel_stream(address: str, request_id: str, attempt: int, seconds: float) -> None:
    """Ask an engine to cancel a request.

    Failures are ignored, because the engine also sees that the request's socket was closed.
    """
    body = orjson.dumps({"id": request_id, "attempt": attempt})
    try:
        call_plain(address, "/v1/cancel", body, {}, connect_seconds=seconds, seconds=seconds)
    except UpstreamError:
        return


def start_prefill(address: str, call: EngineCall, connect: float, seconds: float) -> str:
    """Have an engine prefill a prompt; return the handle of the KV cache."""
    response = call_plain(
        address, "/v1/prefill", call.body(), {}, connect_seconds=connect, seconds=seconds
    )
    try:
        return str(orjson.loads(response.body)["handle"])
    except (orjson.JSONDecodeError, KeyError, TypeError):
        raise UpstreamBrokenError(f"{address}: no handle in the response", sent=True) from None


@dataclass(frozen=True)
class PlainResponse:
    """The complete response of a plain service."""

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
) -> PlainResponse:
    """Make one call and return the complete response; raise UpstreamError."""
    connection = _connect(BoundedConnection, address, connect_seconds)
    try:
        if connection.sock is not None:
            connection.sock.settimeout(seconds)
        connection.request(
            "POST", path, body=body, headers={"Content-Type": "application/json", **headers},
            preload_content=False,
        )  # fmt: skip
        response = connection.getresponse()
        if response.status in (STATUS_UNAVAILABLE, STATUS_TOO_MANY):
            _raise_refusal(response.status, response.headers, response.read(MAX_REFUSAL_BYTES))
        if response.status < STATUS_OK:
            raise UpstreamBrokenError(f"{address}: status {response.status}", sent=True)
        data = read_bounded(response, MAX_RESPONSE_BYTES, seconds)
        return PlainResponse(response.status, response.headers.get("Content-Type", ""), data)
    except (HTTPError, HTTPException, OSError, ValueError) as error:
        raise UpstreamBrokenError(f"{address}: {type(error).__name__}", sent=True) from None
    finally:
        connection.close()


def _connect(kind: type[HTTPConnection], address: str, seconds: float) -> HTTPConnection:
    host, port = parse_address(address)
    connection = kind(host, port, timeout=seconds)
    try:
        connection.connect()
    except (HTTPError, OSError) as error:
        # No byte of the request has been sent.
        raise UpstreamBrokenError(f"{address}: {type(error).__name__}", sent=False) from None
    return connection


def _raise_refusal(status: int, headers: Any, body: bytes) -> None:
    """Raise the error of a response whose status is not 200."""
    try:
        reason = str(orjson.loads(body).get("reason", ""))
    except (orjson.JSONDecodeError, AttributeError):
        reason = ""
    retry_after = read_retry_after(headers.get("Retry-After", ""))
    message = f"status {status} {reason}"
    if status not in (STATUS_UNAVAILABLE, STATUS_TOO_MANY):
        raise UpstreamBrokenError(message, sent=True)
    if reason in UNAVAILABLE_REASONS:
        raise UpstreamLeavingError(message, sent=False, retry_after=retry_after)
    raise UpstreamBusyError(message, sent=False, retry_after=retry_after)


def read_retry_after(value: str) -> float:
    """Return the seconds of a Retry-After header, 0 if it is invalid."""
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if 0 <= seconds <= MAX_RETRY_AFTER_SECONDS else 0.0
