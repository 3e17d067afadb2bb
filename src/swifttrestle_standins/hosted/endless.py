"""An upstream whose responses have no end: it sends until its caller closes the connection."""

import asyncio
import itertools
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson

BLOCK_BYTES = 16 * 1024
CONTROL_PATHS = ("/v1/report", "/v1/order", "/v1/kv-")
CHUNKED = "Transfer-Encoding: chunked"


@dataclass(frozen=True)
class EndlessResponse:
    """A response: its head, unless that has no end itself, and the bytes that follow for ever."""

    block: bytes
    # Fields of the head after the status line; None for a response that begins with the block.
    fields: tuple[str, ...] | None = ()
    status: str = "200 OK"

    def write_head(self, request: str) -> bytes:
        """Return the head of the response to a request."""
        if self.fields is None:
            return b""
        lines = [f"HTTP/1.1 {self.status}", f"X-Request-Id: {request}"]
        lines += ["X-Server-Signature: endless", *self.fields]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _fill(piece: bytes) -> bytes:
    return piece * (BLOCK_BYTES // len(piece) + 1)


# The head has no end, or the bytes are no response at all.
HEADS = {
    "noise": EndlessResponse(bytes(range(256)) * (BLOCK_BYTES // 256), fields=None),
    "line breaks": EndlessResponse(_fill(b"\r\n"), fields=None),
    "interim responses": EndlessResponse(_fill(b"HTTP/1.1 102 Processing\r\n\r\n"), fields=None),
    "continue responses": EndlessResponse(_fill(b"HTTP/1.1 100 Continue\r\n\r\n"), fields=None),
    "one letter": EndlessResponse(_fill(b"H"), fields=None),
}
OPEN_HEADS = {
    "header lines": _fill(b"X-Field: value\r\n"),
    "one header": _fill(b"v"),
}
# The body has no end and gives its reader nothing.
FRAMINGS = {
    "a chunk's extension": EndlessResponse(b"1;" + _fill(b"e"), (CHUNKED,)),
    "a chunk's size": EndlessResponse(_fill(b"0"), (CHUNKED,)),
    "trailers": EndlessResponse(_fill(b"X-Trailer: value\r\n"), (CHUNKED,)),
    "no chunk": EndlessResponse(_fill(b"zz\r\n"), (CHUNKED,)),
}
# The body has no end, and its framing is sound.
BODIES = {
    "chunks of one byte": EndlessResponse(_fill(b"1\r\nx\r\n"), (CHUNKED,)),
    "large chunks": EndlessResponse(
        b"%x\r\n%b\r\n" % (BLOCK_BYTES, b"x" * BLOCK_BYTES), (CHUNKED,)
    ),
    "a body without a frame": EndlessResponse(_fill(b"x")),
    "a refusal": EndlessResponse(
        _fill(b"4\r\nbusy\r\n"), (CHUNKED, "X-Not-Executed: 1"), "503 Service Unavailable"
    ),
    "a failure": EndlessResponse(_fill(b"4\r\nfail\r\n"), (CHUNKED,), "500 Failed"),
}
RESPONSES = {**HEADS, **FRAMINGS, **BODIES}
KINDS = (*RESPONSES, *OPEN_HEADS)


@dataclass
class EndlessUpstream:
    """An upstream that answers requests with one kind of response, or only its control calls."""

    instance: str
    service: str
    kind: str
    # The role of a model engine; empty for a plain service.
    role: str = ""
    # Whether control calls get the endless response, and requests a short one.
    in_control_calls: bool = False
    sent_bytes: int = 0
    # Endless responses that were begun, and those that their caller has closed.
    begun: int = 0
    closed: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def record(self, address: str) -> dict[str, Any]:
        """Return the discovery record."""
        record = {
            "service": self.service,
            "address": address,
            "zone": "hall-a",
            "slots": 8,
            "state": "ready",
            "seq": 1,
        }
        return {**record, "phase": self.role} if self.role else record

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                path, request = await _read_request(reader)
                is_control = path.startswith(CONTROL_PATHS)
                if is_control == self.in_control_calls:
                    await self._send_endlessly(request, writer)
                elif is_control:
                    _write_json(writer, {"phase": self.role, "seq": 0, "busy": False, "held": []})
                else:
                    _write_json(writer, {}, request)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _send_endlessly(self, request: str, writer: asyncio.StreamWriter) -> None:
        self.begun += 1
        try:
            for data in self._make_response(request):
                writer.write(data)
                self.sent_bytes += len(data)
                await writer.drain()
                # `drain` alone lets nothing else run while the caller reads.
                await asyncio.sleep(0)
        finally:
            self.closed += 1

    def _make_response(self, request: str) -> Iterator[bytes]:
        if self.kind in OPEN_HEADS:
            yield b"HTTP/1.1 200 OK\r\nX-Open: "
            yield from itertools.repeat(OPEN_HEADS[self.kind])
        response = RESPONSES[self.kind]
        yield response.write_head(request)
        if self.kind == "trailers":
            yield b"0\r\n"
        yield from itertools.repeat(response.block)


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, str]:
    """Read one request; return its path and its id."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(": ") for line in lines[1:])
    headers = {name.lower(): value for name, _, value in pairs}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0].split()[1], headers.get("x-request-id", "")


def _write_json(writer: asyncio.StreamWriter, value: Any, request: str = "") -> None:
    content = orjson.dumps(value)
    head = f"HTTP/1.1 200 OK\r\nX-Server-Signature: endless\r\nContent-Length: {len(content)}\r\n"
    if request:
        head += f"X-Request-Id: {request}\r\n"
    writer.write(head.encode() + b"\r\n" + content)


async def _run(kind: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    upstream = EndlessUpstream("endless", "bad", kind)
    server = await asyncio.start_server(upstream.serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_run(*sys.argv[1:]))
