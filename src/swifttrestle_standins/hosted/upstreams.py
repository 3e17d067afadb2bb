"""Stand-ins for model engines with roles and for plain services, in the platform's protocol."""

import asyncio
import itertools
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson

from swifttrestle.internal.state.declared import Limits
from swifttrestle.internal.transport.caller import IncomingRequest, RequestHandler, ResponseWriter
from swifttrestle.internal.transport.messages import Framing, Header

MAX_BODY_BYTES = 4 * 1024 * 1024
SIGNATURE = (b"X-Server-Signature", b"stand-in")
# Body prefix of requests that crash each upstream that starts to run them.
DEADLY = b"deadly"
# Body prefix of requests that crash each engine that starts to prefill their prompt.
DEADLY_PROMPT = b"deadly prompt"
# Whole events of a stream before it breaks inside the next one, by step.
EVENTS_BEFORE_BREAK = {"cut-early": 1, "cut": 2, "end-inside": 2}
# Status of an engine's whole answer that is no stream, by step.
WHOLE_ANSWERS = {"fail": 500, "reject": 400}
# Whole pieces of an answer in plain text before it is reset, by step.
TEXT_PIECES_BEFORE_BREAK = {"cut-early": 1, "cut": 2, "pause-and-cut": 2}


@dataclass
class Script:
    """Faults of the next requests, one step per request; without steps, requests succeed.

    Steps: busy, reset, reset-after, silent, crossed, unsigned, fail, cut (in a stream, after
    its second event), cut-early (after its first one), pause (in a stream, after its second event),
    pause-and-cut (both, in an answer in plain text), text (an engine's answer in plain text),
    reject (an engine's answer 400), empty (an engine's answer 204),
    end-inside and end-empty (a stream that ends in order inside its third event, or before its
    first one).
    """

    steps: deque[str] = field(default_factory=deque)

    def take(self) -> str:
        """Return the next step, or the empty string."""
        return self.steps.popleft() if self.steps else ""


class _HeaderAddingReply(ResponseWriter):
    """Adds the upstream's own headers to all of its responses."""

    def __init__(self, reply: ResponseWriter, upstream: "StandInUpstream") -> None:
        """Wrap `reply` for an upstream."""
        self._reply = reply
        self._upstream = upstream

    async def send_whole(self, status: int, headers: Sequence[Header], content: bytes) -> None:
        """Send a complete response."""
        self.started = True
        await self._reply.send_whole(status, self._add_headers(status, headers), content)

    async def start(
        self, status: int, headers: Sequence[Header], framing: Framing, length: int
    ) -> None:
        """Send the head of a response whose body follows."""
        self.started = True
        await self._reply.start(status, self._add_headers(status, headers), framing, length)

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._reply.send(data)

    async def end(self) -> None:
        """Mark the response as complete."""
        await self._reply.end()

    def abort(self) -> None:
        """Reset the connection."""
        self._reply.abort()

    def _add_headers(self, status: int, headers: Sequence[Header]) -> list[Header]:
        rest = self._upstream.rest
        retry_after = [(b"Retry-After", rest)] if rest and status == 503 else []
        return [*headers, *self._upstream.extra_headers, *retry_after]


class StandInUpstream(RequestHandler):
    """A plain upstream with an instance id, records of its runs and scripted faults."""

    def __init__(self, instance: str, service: str, zone: str, slots: int = 8) -> None:
        """Create an upstream; `slots` is the number of requests that it runs at once."""
        self.instance = instance
        self.service = service
        self.zone = zone
        self.slots = slots
        # Time of its start in Unix milliseconds; 0 if it does not report it.
        self.born = 0
        # The version of its software; empty if it does not report it.
        self.build = ""
        self.script = Script()
        # Duration of a run, or of each event of a stream, in seconds.
        self.seconds = 0.005
        # Seconds for which the step pause sends nothing.
        self.pause_seconds = 1.3
        self.runs: dict[str, int] = defaultdict(int)
        self.cancelled: list[str] = []
        self.arrivals: list[tuple[str, dict[str, str]]] = []
        # Headers that are added to all of its responses.
        self.extra_headers: list[Header] = []
        # Retry-After value in seconds; while it is set, all requests are refused as busy.
        self.rest = b""
        # Time of each arrival, in seconds of the event loop's clock.
        self.arrived_at: list[float] = []
        self.hold = asyncio.Event()
        self.hold.set()
        # Called with the body of a deadly request instead of running it; None disables crashes.
        self.crash: Callable[[bytes], None] | None = None
        # Prompt parts that crash the upstream as it begins to write an answer on them, and the
        # number of events that it writes before.
        self.deadly_parts: frozenset[str] = frozenset()
        self.events_before_crash = 0

    def limits(self) -> Limits:
        """Return limits that calls do not reach."""
        return Limits(header_seconds=60, idle_seconds=600)

    def record(self, address: str, state: str = "ready") -> dict[str, Any]:
        """Return the discovery record."""
        return {
            **self.build_born_field(),
            "service": self.service,
            "address": address,
            "zone": self.zone,
            "slots": self.slots,
            "state": state,
            "seq": 1,
            **({"version": self.build} if self.build else {}),
        }

    def build_born_field(self) -> dict[str, int]:
        """Return the field with the time of its start, or nothing if it does not report it."""
        return {"born": self.born} if self.born else {}

    def restart(self, born: int) -> None:
        """Restart with the same instance id and the start time `born` (Unix ms), without state.

        Requests held before the restart never continue.
        """
        self.born = born
        self.hold = asyncio.Event()
        self.hold.set()
        self.script.steps.clear()

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Check the expected instance, then inject a fault or run the request."""
        reply = _HeaderAddingReply(reply, self)
        headers = read_headers(request)
        name = headers.get("x-request-id", "")
        content = await request.body.read_whole(MAX_BODY_BYTES)
        if headers.get("x-expect-instance", self.instance) != self.instance:
            await reply.send_whole(421, [(b"X-Instance-Id", self.instance.encode())], b"")
            return
        self.arrivals.append((name, headers))
        self.arrived_at.append(asyncio.get_running_loop().time())
        step = self.script.take()
        if self.rest:
            step = "busy"
        if step == "busy":
            await reply.send_whole(503, [(b"X-Not-Executed", b"1")], b"")
            return
        if step == "reset":
            reply.abort()
            return
        if self.crash is not None and content.startswith(self.find_deadly_prefix(headers)):
            await asyncio.sleep(self.seconds)
            self.crash(content)
            return
        try:
            await self.run(name, headers, step, request, reply)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise

    def find_deadly_prefix(self, headers: dict[str, str]) -> bytes:
        """Return the body prefix that crashes the upstream, given the headers."""
        return DEADLY

    async def run(
        self,
        name: str,
        headers: dict[str, str],
        step: str,
        request: IncomingRequest,
        reply: ResponseWriter,
    ) -> None:
        """Run one request as a plain service."""
        self.runs[name] += 1
        await self.hold.wait()
        if step == "silent":
            await asyncio.sleep(3600)
        if step == "pause":
            await asyncio.sleep(self.pause_seconds)
        await asyncio.sleep(self.seconds)
        if step == "reset-after":
            reply.abort()
            return
        answered = "another" if step == "crossed" else name
        head: list[Header] = [(b"X-Request-Id", answered.encode())]
        if step == "fail":
            await reply.send_whole(500, [*head, SIGNATURE], b"failed")
            return
        if step != "unsigned":
            head.append(SIGNATURE)
        await reply.send_whole(200, head, make_content(name))


class StandInEngine(StandInUpstream):
    """An engine that prefills or decodes, and applies orders to change its role."""

    def __init__(self, instance: str, service: str, zone: str, role: str, slots: int = 8) -> None:
        """Create an engine in the role prefill or decode."""
        super().__init__(instance, service, zone, slots)
        self.role = role
        # Whether the platform may reclaim it, and the notice that it gives, in ms.
        self.reclaimable = False
        self.leaves_ms = 0
        # Number of events in a stream.
        self.events = 4
        # Whether its events name its software version.
        self.shows_build = False
        # Bytes of each piece of an answer in plain text; 0 for a stream of events.
        self.text_piece_bytes = 0
        # CHUNKED, or CLOSE for streams that end with their connection.
        self.framing = Framing.CHUNKED
        self.handles: dict[str, str] = {}
        self.freed: list[str] = []
        # Cached prompt parts of model "m": number of tokens by the part's id.
        self.kept: dict[str, int] = {}
        # Orders that were received, and those that were applied.
        self.arrived_orders: list[dict[str, Any]] = []
        self.orders: list[dict[str, Any]] = []
        self.apply_orders = True
        self.on_role_change: Any = None
        self.answer_orders = True
        self._numbers = itertools.count(1)

    def restart(self, born: int) -> None:
        """Restart without cached prompts, handles and applied orders."""
        super().restart(born)
        self.handles.clear()
        self.kept.clear()
        self.orders.clear()

    def record(self, address: str, state: str = "ready") -> dict[str, Any]:
        """Return the discovery record, with the role."""
        record = {**super().record(address, state), "phase": self.role}
        if self.reclaimable:
            record["spot"] = True
        if self.leaves_ms:
            record["leaves_ms"] = self.leaves_ms
        return record

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer the system's control calls, or run a request."""
        path = request.head.target.decode()
        if path == "/v1/report":
            await self._report(reply)
        elif path == "/v1/order":
            await self._order(request, reply)
        elif path == "/v1/kv-list":
            held = [["", part, tokens, "m"] for part, tokens in self.kept.items()]
            answer = {"epoch": 1, "nextPageToken": 0, "held": held, **self.build_born_field()}
            await reply.send_whole(200, (), orjson.dumps(answer))
        elif path.startswith("/v1/kv-handle/"):
            name = path.rpartition("/")[2]
            self.freed.append(name)
            self.handles.pop(name, None)
            await reply.send_whole(200, (), b"")
        else:
            await super().handle(request, reply)

    def find_deadly_prefix(self, headers: dict[str, str]) -> bytes:
        """Return the body prefix that crashes the engine, in prefill or in decode."""
        return DEADLY_PROMPT if headers.get("x-stage") == "prefill" else DEADLY

    async def run(
        self,
        name: str,
        headers: dict[str, str],
        step: str,
        request: IncomingRequest,
        reply: ResponseWriter,
    ) -> None:
        """Prefill a prompt, or stream a response."""
        is_prefill = headers.get("x-stage") == "prefill"
        if self.role != ("prefill" if is_prefill else "decode"):
            await reply.send_whole(421, [(b"X-Instance-Id", self.instance.encode())], b"")
            return
        if is_prefill:
            await self._prefill(name, headers, step, reply)
            return
        source = headers.get("x-kv-source", "")
        if source and not take_handle(source, name):
            await reply.send_whole(503, [(b"X-Not-Executed", b"1")], b"")
            return
        await self._stream(name, headers, step, reply)

    async def _prefill(
        self, name: str, headers: dict[str, str], step: str, reply: ResponseWriter
    ) -> None:
        await self.hold.wait()
        if step == "pause":
            await asyncio.sleep(self.pause_seconds)
        await asyncio.sleep(self.seconds)
        handle = f"{self.instance}-h{next(self._numbers)}"
        self.handles[handle] = name
        ENGINES_BY_HANDLE[handle] = self
        tokens = int(headers.get("x-token-usage", "0,0").split(",")[0])
        answer = {"kvHandle": handle, "tokens": tokens, "version": 1}
        head = [(b"X-Request-Id", name.encode())]
        await reply.send_whole(200, head, orjson.dumps(answer))

    async def _stream(
        self, name: str, headers: dict[str, str], step: str, reply: ResponseWriter
    ) -> None:
        self.runs[name] += 1
        await self.hold.wait()
        if step == "silent":
            await asyncio.sleep(3600)
        if self.text_piece_bytes or step == "text":
            await self._send_text(name, step, reply)
            return
        if step == "empty":
            await reply.start(204, [(b"X-Request-Id", name.encode()), SIGNATURE], Framing.NONE, 0)
            return
        if step in WHOLE_ANSWERS:
            head = [(b"X-Request-Id", name.encode()), SIGNATURE]
            await reply.send_whole(WHOLE_ANSWERS[step], head, b"whole")
            return
        head = [
            (b"X-Request-Id", name.encode()),
            SIGNATURE,
            (b"Content-Type", b"text/event-stream"),
        ]
        await reply.start(200, head, self.framing, 0)
        if step == "end-empty":
            await reply.end()
            return
        first = int(headers.get("last-event-id", "0")) + 1
        deadly = self.deadly_parts & read_parts(headers)
        for number in range(first, self.events + 1):
            if deadly and self.crash is not None and number - first == self.events_before_crash:
                await asyncio.sleep(self.seconds)
                if self.framing is Framing.CLOSE:
                    # A process that exits may close its connections in order.
                    await reply.end()
                self.crash(min(deadly).encode())
                return
            if number - first == EVENTS_BEFORE_BREAK.get(step):
                await reply.send(make_event(name, number)[:5])
                if step == "end-inside":
                    await reply.end()
                else:
                    reply.abort()
                return
            if step == "pause" and number == first + 2:
                await asyncio.sleep(self.pause_seconds)
            await asyncio.sleep(self.seconds)
            build = self.build if self.shows_build else ""
            await reply.send(make_event(name, number, build))
        await reply.end()

    async def _send_text(self, name: str, step: str, reply: ResponseWriter) -> None:
        head = [(b"X-Request-Id", name.encode()), SIGNATURE, (b"Content-Type", b"text/plain")]
        await reply.start(200, head, self.framing, len(self.make_text(name)))
        for number in range(1, self.events + 1):
            if number - 1 == TEXT_PIECES_BEFORE_BREAK.get(step):
                if step == "pause-and-cut":
                    await asyncio.sleep(self.pause_seconds)
                reply.abort()
                return
            await asyncio.sleep(self.seconds)
            await reply.send(self._make_text_piece(name, number))
        await reply.end()

    def make_text(self, name: str) -> bytes:
        """Return the whole answer in plain text to the request `name`."""
        numbers = range(1, self.events + 1)
        return b"".join(self._make_text_piece(name, number) for number in numbers)

    def _make_text_piece(self, name: str, number: int) -> bytes:
        return f"{self.instance} {name} {number}\n\n".encode().rjust(self.text_piece_bytes, b".")

    async def _report(self, reply: ResponseWriter) -> None:
        report = {"phase": self.role, "busy": False, "seq": len(self.orders), "queued": 0,
                  "running": 0, **self.build_born_field()}  # fmt: skip
        await reply.send_whole(200, (), orjson.dumps(report))

    async def _order(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        order = orjson.loads(await request.body.read_whole(MAX_BODY_BYTES))
        self.arrived_orders.append(order)
        if not self.apply_orders:
            # Like an engine whose response is lost and that applies the order later.
            reply.abort()
            return
        if order.get("expectedRev") not in (None, len(self.orders)):
            await reply.send_whole(409, (), b"")
            return
        self.orders.append(order)
        self.role = order["phase"]
        if self.on_role_change is not None:
            self.on_role_change(self)
        if not self.answer_orders:
            reply.abort()
            return
        await reply.send_whole(202, (), b"")


# The engines of this process by the handles they created; replaces the transfer between engines.
ENGINES_BY_HANDLE: dict[str, StandInEngine] = {}


def take_handle(source: str, request: str) -> bool:
    """Remove a handle from its engine; return whether it belongs to this request."""
    name = source.rpartition("/")[2]
    engine = ENGINES_BY_HANDLE.get(name)
    return engine is not None and engine.handles.pop(name, None) == request


def read_headers(request: IncomingRequest) -> dict[str, str]:
    """Return the headers by their lower-case names."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in request.head.headers
    }


def read_parts(headers: dict[str, str]) -> set[str]:
    """Return the names of a prompt's parts."""
    listed = headers.get("x-prompt-prefix", "").split(",")
    return {item.partition(":")[0] for item in listed}


def make_content(name: str) -> bytes:
    """Return the response body of a plain service to the request `name`."""
    return f"answer to {name}".encode()


def make_event(name: str, number: int, build: str = "") -> bytes:
    """Return one server-sent event of the response to the request `name`."""
    build_line = f"build: {build}\n" if build else ""
    return f"id: {number}\n{build_line}data: {name} {number}\n\n".encode()
