"""Upstreams that break their responses in ways that a seed draws."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass

import orjson

from swifttrestle.internal.transport.messages import Framing
from swifttrestle.internal.transport.relay import reset_connection
from swifttrestle_standins.hosted.upstreams import make_event

EVENTS = 4
SILENCE_SECONDS = 60
DRIP_SECONDS = 0.002
NOISE = b"\x16\x03\x01 not HTTP \r\n\r\n"
SIGNATURE = "X-Server-Signature: hostile"
# Ways to break a response. Behind a body without a frame, further bytes would belong to it, and its
# end cannot be told from a break.
BREAKS = (
    "none", "reset", "silence", "noise before", "crossed", "early", "drip", "no signature",
    "no body", "failure", "refusal", "close header",
)  # fmt: skip
FRAMED_BREAKS = (*BREAKS, "end", "noise behind", "second behind", "late second")


@dataclass(frozen=True)
class Behaviour:
    """How one run of a request is answered."""

    framing: Framing
    kind: str

    @classmethod
    def draw(cls, rng: random.Random) -> "Behaviour":
        """Draw a framing, and a break that it shows."""
        framing = rng.choice((Framing.LENGTH, Framing.CHUNKED, Framing.CLOSE))
        kinds = BREAKS if framing is Framing.CLOSE else FRAMED_BREAKS
        return cls(framing, rng.choice(kinds))


class HostileUpstream:
    """One upstream; answers each run of a request by what `behaviours` has for it."""

    def __init__(self, instance, service, behaviours, role=""):
        self.instance = instance
        self.service = service
        self.role = role
        # By request, what is left to be taken, shared by all upstreams of a site.
        self.behaviours = behaviours
        self.runs = Counter()
        # The whole bodies by request.
        self.bodies = {}
        self._numbers = itertools.count()

    def record(self, address):
        """Return the discovery record."""
        record = {
            "service": self.service, "address": address, "zone": "hall-a", "slots": 8,
            "state": "ready", "seq": 1,
        }  # fmt: skip
        return {**record, "phase": self.role} if self.role else record

    async def serve(self, reader, writer):
        """Answer the requests of one connection."""
        try:
            while await self._serve_next(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_next(self, reader, writer):
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {n.lower(): v for n, _, v in (line.partition(": ") for line in lines[1:])}
        length = int(headers.get("content-length", "0"))
        name = headers.get("x-request-id", "")
        behaviour = Behaviour(Framing.LENGTH, "none")
        if name and self.behaviours.get(name):
            behaviour = self.behaviours[name].pop(0)
        if behaviour.kind != "early":
            await reader.readexactly(length)
        stopped = await self._answer(lines[0].split()[1], name, headers, behaviour, writer)
        if behaviour.kind == "early":
            await reader.readexactly(length)
        return not stopped

    async def _answer(self, path, name, headers, behaviour, writer):
        """Answer one request; return whether the connection is not used again."""
        if path.startswith("/v1/") or not name:
            report = {"phase": self.role, "seq": 0, "busy": False, "queued": 0, "running": 0}
            _write(writer, "200 OK", (), orjson.dumps({**report, "epoch": 1, "held": []}))
            return False
        if behaviour.kind == "refusal":
            _write(writer, "503 Busy", ("X-Not-Executed: 1", f"X-Request-Id: {name}"), b"busy")
            return False
        self.runs[name] += 1
        status = "500 Failed" if behaviour.kind == "failure" else "200 OK"
        content = self._make_body(name, headers)
        if status == "200 OK":
            self.bodies.setdefault(name, []).append(content)
        response = _Response(name, status, content, self.role == "decode", behaviour)
        return await response.send(writer)

    def _make_body(self, name, headers):
        if self.role == "decode" and "stream" in name:
            first = int(headers.get("last-event-id", "0")) + 1
            return b"".join(make_event(name, number) for number in range(first, EVENTS + 1))
        run = f"run {next(self._numbers)} of {name} at {self.instance}. "
        return run.encode() * 20 + b"end"


class _Response:
    """One response to be sent, and broken."""

    def __init__(self, name, status, content, is_engine, behaviour):
        self.kind = behaviour.kind
        self.framing = behaviour.framing
        self.content = content
        lines = [f"HTTP/1.1 {status}"]
        lines.append(f"X-Request-Id: {'another' if self.kind == 'crossed' else name}")
        if self.kind != "no signature":
            lines.append(SIGNATURE)
        if is_engine and "stream" in name:
            lines.append("Content-Type: text/event-stream")
        if self.kind == "close header":
            lines.append("Connection: close")
        if self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {len(content)}")
        elif self.framing is Framing.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
        self.head = "\r\n".join(lines).encode() + b"\r\n\r\n"

    def _frame(self, content):
        if self.framing is not Framing.CHUNKED:
            return content
        middle = len(content) // 2
        parts = (content[:middle], content[middle:])
        return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts if part)

    async def send(self, writer):
        """Send the response; return whether the connection is not used again."""
        body = self._frame(self.content)
        if self.framing is Framing.CHUNKED:
            body += b"0\r\n\r\n"
        if self.kind == "noise before":
            writer.write(NOISE)
            return True
        if self.kind == "drip":
            for byte in self.head + body:
                writer.write(bytes((byte,)))
                await asyncio.sleep(DRIP_SECONDS if byte % 16 == 0 else 0)
            return self.framing is Framing.CLOSE
        if self.kind in ("reset", "silence", "end", "no body"):
            return await self._break_off(writer, body)
        writer.write(self.head + body)
        if self.kind == "noise behind":
            writer.write(NOISE)
        if self.kind in ("second behind", "late second"):
            if self.kind == "late second":
                await asyncio.sleep(0.02)
            writer.write(self.head.replace(b"X-Request-Id: ", b"X-Request-Id: x") + body)
        return self.framing is Framing.CLOSE or self.kind == "close header"

    async def _break_off(self, writer, body):
        kept = 0 if self.kind == "no body" else len(body) * 2 // 3
        writer.write(self.head + body[:kept])
        await asyncio.sleep(0.02)
        if self.kind == "silence":
            await asyncio.sleep(SILENCE_SECONDS)
        if self.kind == "end":
            writer.close()
        else:
            reset_connection(writer.transport)
        return True


def _write(writer, status, fields, content):
    lines = [f"HTTP/1.1 {status}", *fields, f"Content-Length: {len(content)}"]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
