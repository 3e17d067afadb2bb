"""A stand-in for the platform's object store: outages, lost answers, returns from a copy."""

import asyncio
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
BODY_LIMIT = 4 * 1024 * 1024
PAGE_ITEMS = 50


# The key under which an object holds the bytes that take its place.
RAW = "raw"


def write_answer(answer: Any) -> bytes:
    """Return an answer's JSON, with the bytes of raw entries in their places."""
    if isinstance(answer, dict):
        if isinstance(answer.get(RAW), bytes):
            return bytes(answer[RAW])
        pairs = (orjson.dumps(key) + b":" + write_answer(item) for key, item in answer.items())
        return b"{" + b",".join(pairs) + b"}"
    if isinstance(answer, list):
        return b"[" + b",".join(write_answer(item) for item in answer) + b"]"
    return orjson.dumps(answer)


@dataclass
class StoreFaults:
    """How the store fails now.

    `lose_answers` counts writes to do without an answer. With `deaf_watches` a watch is taken
    and hears of no change until its end, when it is told that history is gone. Answers are sent
    in so many `pieces`, with a pause after each, as over a thin link. All answers name
    `epoch_text` as the epoch in place of the store's own one; empty, they name none.
    """

    down: bool = False
    pieces: int = 1
    pause_seconds: float = 0.0
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
    """What the store held at a moment; it may come back with that and nothing else."""

    revision: int
    objects: Mapping[tuple[str, str], dict[str, Any]]
    events: tuple[_Event, ...]


class StandInStore(RequestHandler):
    """Objects by kind and name, with revisions, lists, watches and conditional writes."""

    def __init__(self) -> None:
        """Start empty."""
        self.faults = StoreFaults()
        self.revision = 0
        self.epoch = 1
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        # What the operator and upstreams wrote last, None for what they removed.
        self._written: dict[tuple[str, str], Any] = {}
        self.calls: list[str] = []
        self._events: list[_Event] = []
        self._forgotten = 0
        self._changed = asyncio.Event()

    def limits(self) -> Limits:
        """Return limits that no call here meets."""
        return Limits(header_seconds=60, idle_seconds=600)

    # Used by tests and by other stand-ins, as the operator or an upstream would.

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object whatever its revision."""
        self._written[kind, name] = spec
        self._write(kind, name, spec)

    def put_raw(self, kind: str, name: str, content: bytes) -> None:
        """Put the bytes of an entry in the place of an object, as a faulty writer does.

        They take the place of the whole object in lists and events; `name` is where it stands.
        """
        self.revision += 1
        item = {"metadata": {"name": name}, "spec": None, RAW: content}
        self.objects[kind, name] = item
        self._note(_Event(self.revision, kind, item, False))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._written[kind, name] = None
        self._remove(kind, name)

    def _remove(self, kind: str, name: str) -> None:
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._note(_Event(self.revision, kind, item, True))

    def forget_history(self) -> None:
        """Drop all history, so that older watches are told to list anew."""
        self._events.clear()
        self._forgotten = self.revision

    def take_copy(self) -> StoreCopy:
        """Return what the store holds now, to come back from later."""
        return StoreCopy(self.revision, dict(self.objects), tuple(self._events))

    def come_back(self, copy: StoreCopy) -> None:
        """Lose all that was written since a copy; revisions go on from there, the epoch rises.

        Watches that wait are kept and hear of nothing: their revisions are still to be given out.
        """
        self.epoch += 1
        self.revision = copy.revision
        self.objects = dict(copy.objects)
        self._events = list(copy.events)
        self._forgotten = min(self._forgotten, copy.revision)
        self.wake()

    def list_written(self) -> list[tuple[str, str]]:
        """Return the kinds and names that the operator and upstreams wrote."""
        return list(self._written)

    def write_again(self, kind: str, name: str) -> None:
        """Do the last write of the operator, or of an upstream, once more."""
        spec = self._written[kind, name]
        if spec is None:
            self._remove(kind, name)
        else:
            self._write(kind, name, spec)

    def write_all_again(self) -> None:
        """Do the last writes of the operator and of all upstreams once more."""
        for kind, name in self.list_written():
            self.write_again(kind, name)

    # The protocol.

    async def handle(self, request: IncomingRequest, reply: ResponseWriter) -> None:
        """Answer one call, or fail as told."""
        target = request.head.target.decode()
        self.calls.append(f"{request.head.method.decode()} {target}")
        body = await request.body.read_whole(BODY_LIMIT)
        if self.faults.down:
            await reply.send_whole(503, self._name_epoch(), b"")
            return
        path, _, query = target.partition("?")
        method = request.head.method.decode()
        status, answer = await self._answer(method, path.removeprefix(PREFIX), query, body)
        if method != "GET" and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            reply.abort()
            return
        content = write_answer(answer)
        await reply.start(status, self._name_epoch(), Framing.LENGTH, len(content))
        for piece in cut_pieces(content, self.faults.pieces):
            await reply.send(piece)
            await asyncio.sleep(self.faults.pause_seconds)
        await reply.end()

    def _name_epoch(self) -> tuple[Header, ...]:
        named = self.faults.epoch_text
        text = str(self.epoch).encode() if named is None else named
        return ((b"Store-Era", text),) if text else ()

    async def _answer(self, method: str, path: str, query: str, body: bytes) -> tuple[int, Any]:
        kind, _, name = path.partition("/")
        asked = {key: values[0] for key, values in parse_qs(query).items()}
        if method == "GET" and not name:
            if "watch" in asked:
                return await self._watch(kind, asked)
            return 200, self._list(kind, asked.get("after", ""))
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

    async def _watch(self, kind: str, asked: Mapping[str, str]) -> tuple[int, Any]:
        since = int(asked["watch"])
        if since < self._forgotten or since > self.revision:
            return 410, {}
        try:
            async with asyncio.timeout(int(asked["waitMs"]) / 1000):
                while self.faults.deaf_watches or not self._has_news(kind, since):
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

    def _has_news(self, kind: str, since: int) -> bool:
        return any(event.revision > since and event.kind == kind for event in self._events)

    def wake(self) -> None:
        """Have waiting watches look again, as after a change of faults."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._note(_Event(self.revision, kind, item, False))
        return item

    def _note(self, event: _Event) -> None:
        self._events.append(event)
        self.wake()
