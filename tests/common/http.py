"""A raw HTTP client, so that tests control every byte."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Answer:
    """One response; `whole` is False if the connection ended before its end."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = True

    @property
    def retry_after(self):
        return float(self.headers["retry-after"])


class RawCaller:
    """One client connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address, source=None):
        """Connect, from the IP `source` if given."""
        local = None if source is None else (source, 0)
        return cls(*await asyncio.open_connection(*address, local_addr=local))

    def send(self, data):
        self.writer.write(data)

    def close(self):
        self.writer.close()

    def reset(self):
        self.writer.transport.abort()

    async def read_answer(self):
        """Read one response; the status is 0 if the connection ended before its head."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(0, whole=False)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(": ")
            if name:
                headers[name.lower()] = value
        answer = Answer(int(lines[0].split()[1]), headers)
        try:
            await self._read_body(answer)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            answer.body += getattr(error, "partial", b"")
            answer.whole = False
        return answer

    async def _read_body(self, answer):
        if "content-length" in answer.headers:
            answer.body = await self.reader.readexactly(int(answer.headers["content-length"]))
            return
        while True:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            chunk = await self.reader.readexactly(size + 2)
            if size == 0:
                return
            answer.body += chunk[:-2]


def write_request(path, request_id, method="POST", body=b"", **headers):
    """Return the bytes of a valid request; in keyword headers, _ stands for -."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: site.example",
        f"X-Request-Id: {request_id}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def ask(address, path, request_id, source=None, **changes):
    """Send one request on a new connection and return the response."""
    caller = await RawCaller.connect(address, source)
    caller.send(write_request(path, request_id, **changes))
    try:
        return await caller.read_answer()
    finally:
        caller.close()
