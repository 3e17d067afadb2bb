"""Stand-ins for a model engine with roles and for a plain service, in the platform's protocol."""

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

BODY_LIMIT = 4 * 1024 * 1024
SIGNATURE = (b"X-Server-Signature", b"stand-in")
# A request whose body begins with this crashes each upstream that begins to run it.
DEADLY = b"deadly"
# One whose body begins with this crashes each engine that begins to read its prompt.
DEADLY_PROMPT = b"deadly prompt"


@dataclass
class Script:
    """How the next requests fail, oldest first; an empty script means that all goes well.

    Steps: busy, reset, reset-after, silent, crossed, unsigned, fail, cut (in a stream, after
    its second event).
    """

    steps: deque[str] = field(default_factory=deque)

    def take(self) -> str:
        """Return the next step, or the empty string."""
        return self.steps.popleft() if self.steps else ""


class _SpeakingReply(ResponseWriter):
    """Adds what an upstream says of itself to all of its answers."""

    def __init__(self, reply: ResponseWriter, upstream: "StandInUpstream") -> None:
        """Write to `reply` for an upstream."""
        self._reply = reply
        self._upstream = upstream

    async def send_whole(self, status: int, headers: Sequence[Header], content: bytes) -> None:
        """Send a whole answer."""
        self.started = True
        await self._reply.send_whole(status, self._add(status, headers), content)

    async def start(
        self, status: int, headers: Sequence[Header], framing: Framing, length: int
    ) -> None:
        """Send the head of an answer whose body follows."""
        self.started = True
        await self._reply.start(status, self._add(status, headers), framing, length)

    async def send(self, data: bytes) -> None:
        """Send bytes of the body."""
        await self._reply.send(data)

    async def end(self) -> None:
        """End the answer as whole."""
        await self._reply.end()

    def abort(self) -> None:
        """Reset the connection."""
        self._reply.abort()

    def _add(self, status: int, headers: Sequence[Header]) -> list[Header]:
        rest = self._upstream.rest
        asked = [(b"Retry-After", rest)] if rest and status == 503 else []
        return [*headers, *self._upstream.says, *asked]


class StandInUpstream(RequestHandler):
    """What all upstreams share: one instance id, records of runs, a script of failures."""

    def __init__(self, instance: str, service: str, zone: str, slots: int = 8) -> None:
        """Stand for one start of an upstream."""
        self.instance = instance
        self.service = service
        self.zone = zone
        self.slots = slots
        # When it started, in Unix milliseconds; 0 for one that does not tell it.
        self.born = 0
        self.script = Script()
        self.seconds = 0.005
        self.runs: dict[str, int] = defaultdict(int)
        self.cancelled: list[str] = []
        self.arrivals: list[tuple[str, dict[str, str]]] = []
        # Headers that all of its answers carry, from now on.
        self.says: list[Header] = []
        # What its refusals ask for as time of rest, in seconds; while there is one, it refuses all.
        self.rest = b""
        # The loop's time of each arrival.
        self.arrived_at: list[float] = []
        self.hold = asyncio.Event()
        self.hold.set()
        # Called with the body of a request in the place of a run that crashes the upstream; without
        # it nothing is deadly.
        self.crash: Callable[[bytes], None] | None = None

    def limits(self) -> Limits:
        """Return limits that no call here meets."""
        return Limits(header_seconds=60, idle_seconds=600)

    def record(self, address: str, state: str = "ready") -> dict[str, Any]:
        """Return the discovery record."""
        return {
            **self.tell_born(),
            "service": self.service,
            "address": address,
            "zone": self.zone,
            "slots": self.slots,
            "state": state,
            "seq": 1,
        }

    def tell_born(self) -> dict[str, int]:
        """Return the field that tells its start, or none."""
        return {"born": self.born} if self.born else {}

    def restart(self, born: int) -> None:
        """Start again under the same instance at a time, knowing nothing of before.

        What the former start held stays held for ever; the next start holds nothing.
        """
        self.born = born
        self.hold = asyncio.Event()
        self.hold.set()
        self.script.steps.clear()

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Check the instance, then fail as told or run the request."""
        reply = _SpeakingReply(reply, self)
        headers = read_headers(request)
        name = headers.get("x-request-id", "")
        content = await request.body.read_whole(BODY_LIMIT)
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
        if self.crash is not None and content.startswith(self.find_deadly(headers)):
            await asyncio.sleep(self.seconds)
            self.crash(content)
            return
        try:
            await self.run(name, headers, step, request, reply)
        except asyncio.CancelledError:
            self.cancelled.append(name)
            raise

    def find_deadly(self, headers: dict[str, str]) -> bytes:
        """Return how a body begins that crashes the upstream with such headers."""
        return DEADLY

    async def run(
        self,
        name: str,
        headers: dict[str, str],
        step: str,
        request: IncomingRequest,
        reply: ResponseWriter,
    ) -> None:
        """Run one request as a plain service does."""
        self.runs[name] += 1
        await self.hold.wait()
        if step == "silent":
            await asyncio.sleep(3600)
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
    """An engine that reads prompts or makes tokens, and takes orders to change its role."""

    def __init__(self, instance: str, service: str, zone: str, role: str, slots: int = 8) -> None:
        """Start in a role."""
        super().__init__(instance, service, zone, slots)
        self.role = role
        # Whether the platform may take it away, and in how many ms it does once it leaves.
        self.reclaimable = False
        self.leaves_ms = 0
        self.events = 4
        self.handles: dict[str, str] = {}
        self.freed: list[str] = []
        # Tokens of the prompt parts of model "m" that it keeps, by the part's id.
        self.kept: dict[str, int] = {}
        # Orders that arrived, and those that were carried out.
        self.arrived_orders: list[dict[str, Any]] = []
        self.orders: list[dict[str, Any]] = []
        self.apply_orders = True
        self.on_role_change: Any = None
        self.answer_orders = True
        self._numbers = itertools.count(1)

    def restart(self, born: int) -> None:
        """Start again: no memory, no handles, and orders are counted anew."""
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
        """Answer the calls of the system itself, or a request."""
        path = request.head.target.decode()
        if path == "/v1/report":
            await self._report(reply)
        elif path == "/v1/order":
            await self._order(request, reply)
        elif path == "/v1/kv-list":
            held = [["", part, tokens, "m"] for part, tokens in self.kept.items()]
            answer = {"epoch": 1, "nextPageToken": 0, "held": held, **self.tell_born()}
            await reply.send_whole(200, (), orjson.dumps(answer))
        elif path.startswith("/v1/kv-handle/"):
            name = path.rpartition("/")[2]
            self.freed.append(name)
            self.handles.pop(name, None)
            await reply.send_whole(200, (), b"")
        else:
            await super().handle(request, reply)

    def find_deadly(self, headers: dict[str, str]) -> bytes:
        """Return how a body begins that crashes the engine, in the reading or in the stream."""
        return DEADLY_PROMPT if headers.get("x-stage") == "prefill" else DEADLY

    async def run(
        self,
        name: str,
        headers: dict[str, str],
        step: str,
        request: IncomingRequest,
        reply: ResponseWriter,
    ) -> None:
        """Read a prompt, or stream an answer."""
        reading = headers.get("x-stage") == "prefill"
        if self.role != ("prefill" if reading else "decode"):
            await reply.send_whole(421, [(b"X-Instance-Id", self.instance.encode())], b"")
            return
        if reading:
            await self._read(name, headers, reply)
            return
        source = headers.get("x-kv-source", "")
        if source and not fetch_handle(source, name):
            await reply.send_whole(503, [(b"X-Not-Executed", b"1")], b"")
            return
        await self._stream(name, headers, step, reply)

    async def _read(self, name: str, headers: dict[str, str], reply: ResponseWriter) -> None:
        await self.hold.wait()
        await asyncio.sleep(self.seconds)
        handle = f"{self.instance}-h{next(self._numbers)}"
        self.handles[handle] = name
        HANDLES[handle] = self
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
        head = [
            (b"X-Request-Id", name.encode()),
            SIGNATURE,
            (b"Content-Type", b"text/event-stream"),
        ]
        await reply.start(200, head, Framing.CHUNKED, 0)
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            if step == "cut" and number == first + 2:
                await reply.send(make_event(name, number)[:5])
                reply.abort()
                return
            await asyncio.sleep(self.seconds)
            await reply.send(make_event(name, number))
        await reply.end()

    async def _report(self, reply: ResponseWriter) -> None:
        report = {"phase": self.role, "busy": False, "seq": len(self.orders), "queued": 0,
                  "running": 0, **self.tell_born()}  # fmt: skip
        await reply.send_whole(200, (), orjson.dumps(report))

    async def _order(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        order = orjson.loads(await request.body.read_whole(BODY_LIMIT))
        self.arrived_orders.append(order)
        if not self.apply_orders:
            # As an engine that would carry it out seconds later, without an answer.
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


# The engines of one process by the handles they made, in place of the links between them.
HANDLES: dict[str, StandInEngine] = {}


def fetch_handle(source: str, request: str) -> bool:
    """Take a handle from the engine that holds it; False where it is not this request's."""
    name = source.rpartition("/")[2]
    engine = HANDLES.get(name)
    return engine is not None and engine.handles.pop(name, None) == request


def read_headers(request: IncomingRequest) -> dict[str, str]:
    """Return the headers by lower-case name."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in request.head.headers
    }


def make_content(name: str) -> bytes:
    """Return the whole answer of a plain service to a request."""
    return f"answer to {name}".encode()


def make_event(name: str, number: int) -> bytes:
    """Return one event of the answer to a request."""
    return f"id: {number}\ndata: {name} {number}\n\n".encode()
