"""The client of the platform's object store: lists, watches and conditional writes.

A call that got no answer may have been done, or may be done seconds later. Such a call
raises PlatformUnavailableError, and whoever wrote reads back before it acts on the write.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import orjson

from swifttrestle.errors import (
    BadPlatformAnswerError,
    ConflictError,
    HistoryGoneError,
    NotFoundError,
    PlatformUnavailableError,
    RateLimitedError,
    UpstreamBrokenError,
)
from swifttrestle.internal.transport.messages import Body, Framing
from swifttrestle.internal.transport.pool import ConnectionPool, Patience, call_once
from swifttrestle.internal.transport.upstream import Address, OutgoingRequest

POOL_NAME = "store"
# Seconds in which a write must be answered: far over the usual milliseconds, under the shortest
# lease.
CALL_SECONDS = 2.0
# The same for a read, which may be made again at any time: twice what a slow store takes. One that
# was lost in an outage delays the next one, which may find the store back, by as much.
READ_SECONDS = 1.0
# Seconds without a byte after which an answer that has begun counts as broken off: more than TCP
# takes to send a lost packet again. There is no bound for the whole, since a link that needs
# longer than that for a large object would never read it to its end.
BYTE_SECONDS = 2.0
# Seconds that a watch waits for a change; the store's own bound.
WATCH_SECONDS = 30.0
# Seconds beyond that in which a watch must be answered: four times what a slow store takes. One
# that is not answered may wait on a connection that has fallen silent.
WATCH_MARGIN_SECONDS = 0.8
# Milliseconds after which a silent connection to the store is broken: with the time to read
# anew, less than the three seconds after which a host must know what it says.
SILENCE_MS = 2000
# Bytes that one page of a list, or one object, may have.
LARGEST_ANSWER = 16 * 1024 * 1024


@dataclass(frozen=True)
class StoredObject:
    """One object; `revision` is that of its last change."""

    kind: str
    name: str
    revision: int
    spec: Any


@dataclass(frozen=True)
class Change:
    """One change that a watch saw."""

    item: StoredObject
    removed: bool


@dataclass(frozen=True)
class Snapshot:
    """All objects of a kind, and the store's revision from which a watch goes on."""

    items: tuple[StoredObject, ...]
    revision: int


@dataclass(frozen=True)
class Changes:
    """What a watch returned, and the revision from which the next one goes on."""

    changes: tuple[Change, ...]
    revision: int


class ObjectStore:
    """Calls to the store over kept connections."""

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        """Talk to the store at an address."""
        self._address = address
        self._pool = pool
        self.calls = 0

    async def list(self, kind: str) -> Snapshot:
        """Return all objects of a kind, read page by page."""
        items: list[StoredObject] = []
        revision = 0
        async for page in self._pages(kind):
            items += [_read_object(kind, raw) for raw in page["items"]]
            # The oldest page's revision is safe to watch from: nothing after it is missed.
            revision = revision or int(page["timestamp"])
        return Snapshot(tuple(items), revision)

    async def watch(self, kind: str, revision: int, seconds: float) -> Changes:
        """Wait for changes after a revision; raise HistoryGoneError where they are forgotten."""
        path = f"/v1/objects/{kind}?watch={revision}&waitMs={int(seconds * 1000)}"
        raw = await self._call(b"GET", path, None, seconds + WATCH_MARGIN_SECONDS)
        try:
            changes = [
                Change(_read_object(kind, event["object"]), bool(event["removed"]))
                for event in raw["events"]
            ]
            return Changes(tuple(changes), int(raw["timestamp"]))
        except (KeyError, TypeError, ValueError) as error:
            raise BadPlatformAnswerError(f"a watch cannot be read: {error!r}") from None

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return one object; raise NotFoundError."""
        path = f"/v1/objects/{kind}/{name}"
        return _read_object(kind, await self._call(b"GET", path, None, READ_SECONDS))

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Make an object; raise ConflictError where it is there."""
        body = {"metadata": {"name": name}, "spec": spec}
        return _read_object(kind, await self._call(b"POST", f"/v1/objects/{kind}", body))

    async def replace(self, kind: str, name: str, spec: Any, revision: int) -> StoredObject:
        """Replace an object at a revision; raise ConflictError where it is at another."""
        body = {"metadata": {"name": name, "revision": revision}, "spec": spec}
        raw = await self._call(b"PUT", f"/v1/objects/{kind}/{name}", body)
        return _read_object(kind, raw)

    async def _pages(self, kind: str) -> AsyncIterator[Any]:
        path = f"/v1/objects/{kind}"
        while True:
            page = await self._call(b"GET", path, None, READ_SECONDS)
            try:
                more = bool(page.get("hasMore")) and bool(page["items"])
                last = page["items"][-1]["metadata"]["name"] if more else ""
                int(page["timestamp"])
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise BadPlatformAnswerError(f"a list cannot be read: {error!r}") from None
            yield page
            if not more:
                return
            path = f"/v1/objects/{kind}?after={last}"

    async def _call(
        self, method: bytes, path: str, body: Any, seconds: float = CALL_SECONDS
    ) -> Any:
        self.calls += 1
        request = self._build(method, path, body)
        patience = Patience(seconds, BYTE_SECONDS)
        try:
            head, content = await call_once(
                self._pool, POOL_NAME, self._address, request, LARGEST_ANSWER, patience
            )
        except (UpstreamBrokenError, TimeoutError) as error:
            raise PlatformUnavailableError(f"{method.decode()} {path}: {error!r}") from None
        _check_status(head.status, path)
        try:
            return orjson.loads(content) if content else None
        except orjson.JSONDecodeError as error:
            raise BadPlatformAnswerError(f"{path}: the answer is not JSON: {error}") from None

    def _build(self, method: bytes, path: str, body: Any) -> OutgoingRequest:
        host = f"{self._address[0]}:{self._address[1]}".encode()
        headers = [(b"Host", host)]
        if body is None:
            return OutgoingRequest(method, path.encode(), headers, Framing.NONE, 0, None)
        content = orjson.dumps(body)
        sent = Body.from_bytes(content)
        headers.append((b"Content-Type", b"application/json"))
        return OutgoingRequest(method, path.encode(), headers, Framing.LENGTH, len(content), sent)


def _check_status(status: int, path: str) -> None:
    if status < 300:
        return
    if status == 404:
        raise NotFoundError(path)
    if status == 409:
        raise ConflictError(path)
    if status == 410:
        raise HistoryGoneError(path)
    if status == 429:
        raise RateLimitedError(path)
    raise PlatformUnavailableError(f"{path}: status {status}")


def _read_object(kind: str, raw: Any) -> StoredObject:
    try:
        metadata = raw["metadata"]
        return StoredObject(
            kind,
            str(metadata["name"]),
            int(metadata["revision"]),
            raw.get("spec"),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise BadPlatformAnswerError(f"an object cannot be read: {error!r}") from None
