"""HTTP servers based on cheroot and clients based on urllib3.

`Exchange.detach_socket` lets a worker thread pass on the caller's socket once a response has begun,
so that an open stream occupies no thread; see docs/design/relay.md.
"""

import socket
from abc import ABC, abstractmethod
from typing import Any
from urllib.parse import parse_qs

import orjson
import urllib3
from cheroot.server import Gateway, HTTPServer

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.transport.bounded_responses import BoundedConnectionPool

LISTEN_BACKLOG = 1024
REQUEST_TIMEOUT_SECONDS = 10
DEFAULT_MAX_BODY_BYTES = 4_000_000
DEFAULT_MAX_HEADER_BYTES = 32_768
JSON = "application/json"


class Exchange:
    """One request of a caller and its response."""

    def __init__(self, request: Any) -> None:
        """Wrap a request of cheroot."""
        self._request = request
        self.method: str = request.method.decode("latin-1")
        self.path: str = request.path.decode("latin-1")
        self.query = {
            key: values[-1] for key, values in parse_qs(request.qs.decode("latin-1")).items()
        }
        self.replied = False
        self._body_read = False

    def header(self, name: str) -> str:
        """Return a header's value, or the empty string."""
        value = self._request.inheaders.get(name.title().encode("latin-1"), b"")
        return value.decode("latin-1")

    def read_body(self) -> bytes:
        """Return the complete body, whose length the server limits."""
        self._body_read = True
        return self._request.rfile.read()

    def discard_body(self) -> None:
        """Read an unread body, so that the connection can be reused."""
        if not self._body_read:
            self.read_body()

    def reply(
        self,
        status: int,
        body: bytes,
        content_type: str = JSON,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Send a complete response."""
        self.replied = True
        request = self._request
        request.status = f"{status} {_REASONS.get(status, 'Status')}".encode()
        request.outheaders = [
            (b"Content-Type", content_type.encode()),
            (b"Content-Length", str(len(body)).encode()),
            *((name.encode(), value.encode("latin-1")) for name, value in headers),
        ]
        request.ensure_headers_sent()
        request.write(body)

    def reply_json(
        self, status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Send a complete response in JSON."""
        self.reply(status, orjson.dumps(value, default=str), JSON, headers)

    def detach_socket(self) -> socket.socket:
        """Detach the caller's socket from the server; the caller of this method sends the response.

        The server's socket object is left without a descriptor, and `linger` keeps cheroot from
        shutting the connection down when it drops that object.
        """
        self.replied = True
        request = self._request
        request.sent_headers = True
        request.chunked_write = False
        request.close_connection = True
        request.conn.linger = True
        return socket.socket(fileno=request.conn.socket.detach())


_REASONS = {
    200: "OK", 400: "Bad Request", 401: "Unauthorized", 404: "Not Found", 409: "Conflict",
    410: "Gone", 413: "Content Too Large", 429: "Too Many Requests", 500: "Internal Error",
    502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip


class Handler(ABC):
    """Handles the requests of one HTTP server; called in the server's worker threads."""

    @abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Respond to one request by `reply`, or take its socket by `detach_socket`."""


class _Gateway(Gateway):
    def __init__(self, request: Any, handler: Handler) -> None:
        super().__init__(request)
        self._handler = handler

    def respond(self) -> None:
        exchange = Exchange(self.req)
        self._handler.handle(exchange)
        if not exchange.replied:
            exchange.reply_json(500, {"error": {"message": "the handler sent no response"}})


def make_server(
    address: tuple[str, int],
    handler: Handler,
    threads: int,
    max_body: int = DEFAULT_MAX_BODY_BYTES,
    max_header: int = DEFAULT_MAX_HEADER_BYTES,
) -> HTTPServer:
    """Return a bound server, to be run by `serve()` in a thread and ended by `stop()`."""
    server = HTTPServer(address, lambda request: _Gateway(request, handler), minthreads=threads)
    server.max_request_body_size = max_body
    server.max_request_header_size = max_header
    server.request_queue_size = LISTEN_BACKLOG
    server.timeout = REQUEST_TIMEOUT_SECONDS
    server.shutdown_timeout = 1
    server.prepare()
    return server


def server_address(server: HTTPServer) -> str:
    """Return the address to which a server is bound, as HOST:PORT."""
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Parse a JSON object; raise RefusedError with BAD_REQUEST for anything else."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise RefusedError(Code.BAD_REQUEST, f"the body is not JSON: {error}") from None
    if not isinstance(value, dict):
        raise RefusedError(Code.BAD_REQUEST, "the body is not a JSON object")
    return value


def make_client(timeout: float, connections: int = 4) -> urllib3.PoolManager:
    """Return a client with pooled connections that neither retries nor follows redirects."""
    client = urllib3.PoolManager(
        num_pools=64,
        maxsize=connections,
        retries=urllib3.Retry(0, redirect=0, raise_on_redirect=False),
        timeout=urllib3.Timeout(connect=min(timeout, 2.0), read=timeout),
    )
    client.pool_classes_by_scheme = {
        **client.pool_classes_by_scheme,
        "http": BoundedConnectionPool,
    }
    return client
