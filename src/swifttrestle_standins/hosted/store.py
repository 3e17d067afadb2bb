"""A stand-in for the platform's object store: outages, lost responses, restores from a copy."""

import asyncio
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import orjson

from swifttrestle.internal.state.declared import Limits
from swifttrestle.internal.transport.caller import IncomingRequest, RequestHandler, ResponseWriter
from swifttrestle.internal.transport.messages import Framing, Header
from swifttrestle_standins.pieces import cut_pieces

PREFIX = "/v1/objects/"
MAX_BODY_BYTES = 4 * 1024 * 1024
PAGE_ITEMS = 50


# Key of an object whose value, if it is bytes, replaces the whole object in responses.
RAW = "raw"


def encode_answer(answer: Any) -> bytes:
    """Return the JSON of a response, with raw entries inserted as they are."""
    if isinstance(answer, dict):
        if isinstance(answer.get(RAW), bytes):
            return bytes(answer[RAW])
        pairs = (orjson.dumps(key) + b":" + encode_answer(item) for key, item in answer.items())
        return b"{" + b",".join(pairs) + b"}"
    if isinstance(answer, list):
        return b"[" + b",".join(encode_answer(item) for item in answer) + b"]"
    return orjson.dumps(answer)


@dataclass
class StoreFaults:
    """Injected faults of the store.

    `lose_answers` is the number of writes to apply without answering. With `deaf_watches`, watches
    report no change and end with status 410. Responses are sent in `pieces`, with a pause after
    each, as over a slow link. With `late_seconds`, calls wait so long before they are done. Writing
    calls beyond `writes_per_second` get 429; 0 allows all. `epoch_text` replaces the store's epoch
    in all responses; if empty, they carry none.
    """

    down: bool = False
    pieces: int = 1
    pause_seconds: float = 0.0
    late_seconds: float = 0.0
    writes_per_second: int = 0
    lose_answers: int = 0
    deaf_watches: bool = False
    epoch_text: bytes | None = None


@dataclass(frozen=True)
class _Event:
    revision: int
    kind: str
    item: dict[str, Any]
    removed: bool


@dataclass(frozen=True)
class StoreCopy:
    """A copy of the store's contents, to restore it from."""

    revision: int
    objects: Mapping[tuple[str, str], dict[str, Any]]
    events: tuple[_Event, ...]


class StandInStore(RequestHandler):
    """Objects by kind and name, with revisions, lists, watches and conditional writes."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.faults = StoreFaults()
        self.revision = 0
        self.epoch = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        # Last spec that the operator or an upstream wrote; None if removed.
        self._external_writes: dict[tuple[str, str], Any] = {}
        self.calls: list[str] = []
        self._events: list[_Event] = []
        self._discarded_through = 0
        # Times of the writing calls of the last second, while they are limited.
        self._written_at: deque[float] = deque()
        self._changed = asyncio.Event()

    def limits(self) -> Limits:
        """Return limits that calls do not reach."""
        return Limits(header_seconds=60, idle_seconds=600)

    # Interface for tests and other stand-ins, in the role of the operator or an upstream.

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object unconditionally."""
        self._external_writes[kind, name] = spec
        self._write(kind, name, spec)

    def put_raw(self, kind: str, name: str, content: bytes) -> None:
        """Store raw bytes as an entry, as a faulty writer does.

        Lists and events contain them in place of the whole object; `name` is its sort key.
        """
        self.revision += 1
        item = {"metadata": {"name": name}, "spec": None, RAW: content}
        self.objects[kind, name] = item
        self._record_event(_Event(self.revision, kind, item, False))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._external_writes[kind, name] = None
        self._remove(kind, name)

    def _remove(self, kind: str, name: str) -> None:
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._record_event(_Event(self.revision, kind, item, True))

    def discard_history(self) -> None:
        """Discard all history, so that watches from older revisions get status 410."""
        self._events.clear()
        self._discarded_through = self.revision

    def copy_contents(self) -> StoreCopy:
        """Return a copy of the current contents, to restore later."""
        return StoreCopy(self.revision, dict(self.objects), tuple(self._events))

    def restore(self, copy: StoreCopy) -> None:
        """Restore the store from a copy, losing later writes, and raise the epoch.

        Revisions continue from the copy's. Pending watches stay open and report no event until
        revisions pass theirs.
        """
        self.epoch += 1
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        self._events = list(copy.events)
        self._discarded_through = min(self._discarded_through, copy.revision)
        self.notify_watches()

    def list_written(self) -> list[tuple[str, str]]:
        """Return the kinds and names that the operator and upstreams wrote."""
        return list(self._external_writes)

    def repeat_write(self, kind: str, name: str) -> None:
        """Repeat the last write of an object by the operator or an upstream."""
        spec = self._external_writes[kind, name]
        if spec is None:
            self._remove(kind, name)
        else:
            self._write(kind, name, spec)

    def repeat_all_writes(self) -> None:
        """Repeat the last writes of the operator and of all upstreams."""
        for kind, name in self.list_written():
            self.repeat_write(kind, name)

    # The store's protocol.

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer one call, or inject a fault."""
        target = request.head.target.decode()
        self.calls.append(f"{request.head.method.decode()} {target}")
        body = await request.body.read_whole(MAX_BODY_BYTES)
        method = request.head.method.decode()
        refusal = self._find_refusal(method)
        if refusal:
            await reply.send_whole(refusal, self._build_epoch_header(), b"")
            return
        await asyncio.sleep(self.faults.late_seconds)
        path, _, query = target.partition("?")
        status, answer = await self._answer(method, path.removeprefix(PREFIX), query, body)
        if method != "GET" and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            reply.abort()
            return
        content = encode_answer(answer)
        await reply.start(status, self._build_epoch_header(), Framing.LENGTH, len(content))
        for piece in cut_pieces(content, self.faults.pieces):
            await reply.send(piece)
            await asyncio.sleep(self.faults.pause_seconds)
        await reply.end()

    def _find_refusal(self, method: str) -> int:
        """Return the status with which a call is refused, or 0; count an allowed writing call."""
        if self.faults.down:
            return 503
        if method == "GET" or not self.faults.writes_per_second:
            return 0
        now = asyncio.get_running_loop().time()
        while self._written_at and self._written_at[0] <= now - 1:
            self._written_at.popleft()
        if len(self._written_at) >= self.faults.writes_per_second:
            return 429
        self._written_at.append(now)
        return 0

    def _build_epoch_header(self) -> tuple[Header, ...]:
        epoch_text = self.faults.epoch_text
        text = str(self.epoch).encode() if epoch_text is None else epoch_text
        return ((b"Store-Era", text),) if text else ()

    async def _answer(self, method: str, path: str, query: str, body: bytes) -> tuple[int, Any]:
        kind, _, name = path.partition("/")
        queries = parse_qs(query, errors="surrogateescape")
        parameters = {key: values[0] for key, values in queries.items()}
        if method == "GET" and not name:
            if "watch" in parameters:
                return await self._watch(kind, parameters)
            return 200, self._list(kind, parameters.get("after", ""))
        if method == "GET":
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if method == "DELETE":
            self._remove(kind, name)
            return 200, {}
        raw = orjson.loads(body)
        return self._change(method, kind, name or raw["metadata"]["name"], raw)

    def _change(self, method: str, kind: str, name: str, raw: Mapping[str, Any]) -> tuple[int, Any]:
        known = self.objects.get((kind, name))
        if method == "POST" and known is not None:
            return 409, known
        if method == "PUT":
            if known is None:
                return 404, {}
            wanted = raw["metadata"].get("revision")
            if wanted is not None and wanted != known["metadata"]["revision"]:
                return 409, known
        return 200, self._write(kind, name, raw["spec"])

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        names = sorted(name for known, name in self.objects if known == kind and name > after)
        page = [self.objects[kind, name] for name in names[:PAGE_ITEMS]]
        return {"items": page, "hasMore": len(names) > PAGE_ITEMS, "timestamp": self.revision}

    async def _watch(self, kind: str, parameters: Mapping[str, str]) -> tuple[int, Any]:
        since = int(parameters["watch"])
        if since < self._discarded_through or since > self.revision:
            return 410, {}
        try:
            async with asyncio.timeout(int(parameters["waitMs"]) / 1000):
                while self.faults.deaf_watches or not self._has_events(kind, since):
                    if self.faults.down:
                        return 503, {}
                    await self._changed.wait()
        except TimeoutError:
            if self.faults.deaf_watches:
                return 410, {}
        events = [
            {"removed": event.removed, "object": event.item}
            for event in self._events
            if event.revision > since and event.kind == kind
        ]
        return 200, {"events": events, "timestamp": self.revision}

    def _has_events(self, kind: str, since: int) -> bool:
        return any(event.revision > since and event.kind == kind for event in self._events)

    def notify_watches(self) -> None:
        """Wake pending watches, so that they notice events and changed faults."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._record_event(_Event(self.revision, kind, item, False))
        return item

    def _record_event(self, event: _Event) -> None:
        self._events.append(event)
        self.notify_watches()
