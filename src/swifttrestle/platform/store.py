"""The client of the platform's object store: lists, watches and conditional writes.

A call that got no answer may have been done, or may be done seconds later. Such a call
raises PlatformUnavailableError, and whoever wrote reads back before it acts on the write.

A store may come back from a copy and give its revisions out again. So each revision is one of an
epoch: what was known of an epoch before is neither watched from nor written over.
"""

import asyncio
from typing import Any
from urllib.parse import quote

import orjson

from swifttrestle.errors import (
    ConflictError,
    HistoryGoneError,
    NotFoundError,
    OldEpochError,
    PlatformUnavailableError,
    RateLimitedError,
    UpstreamBrokenError,
)
from swifttrestle.internal.state.store_epochs import StoreEpochs, StoreRevision
from swifttrestle.internal.transport.messages import Body, Framing, ResponseHead, find_header
from swifttrestle.internal.transport.pool import CallTimeouts, ConnectionPool, call_once
from swifttrestle.internal.transport.upstream import Address, OutgoingRequest
from swifttrestle.platform.objects import (
    Changes,
    MalformedObject,
    Snapshot,
    StoredObject,
    decode_answer,
    read_changes,
    read_object,
    read_page,
)

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
# The header in which all answers of the store name its epoch.
EPOCH_HEADER = b"store-era"
# Digits that an epoch may have: fencing tokens are made of it and must fit 64 bits.
LONGEST_EPOCH = 10
# Bytes that one page of a list, or one object, may have.
LARGEST_ANSWER = 16 * 1024 * 1024


class ObjectStore:
    """Calls to the store over kept connections."""

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        """Talk to the store at an address."""
        self._address = address
        self._pool = pool
        self.calls = 0
        self.epochs = StoreEpochs()

    async def list(self, kind: str) -> Snapshot:
        """Return all objects of a kind, read page by page.

        Raises OldEpochError where the store came back from a copy between two pages.
        """
        items: list[StoredObject] = []
        malformed: list[MalformedObject] = []
        first: StoreRevision | None = None
        after = ""
        while True:
            query = f"?after={quote(after)}" if after else ""
            raw = await self._call(b"GET", f"/v1/objects/{kind}{query}", None, READ_SECONDS)
            page = read_page(kind, raw, self.epochs.current)
            items += page.items
            malformed += page.malformed
            # The oldest page's revision is safe to watch from: nothing after it is missed.
            first = first or page.revision
            if first.epoch != page.revision.epoch:
                raise OldEpochError(f"{kind}: the first page is of {first}")
            complete = not page.more
            if complete or page.last in ("", after):
                return Snapshot(tuple(items), first, tuple(malformed), complete)
            after = page.last

    async def watch(self, kind: str, since: StoreRevision, seconds: float) -> Changes:
        """Wait for changes after a revision; raise HistoryGoneError where they are forgotten.

        That is also where the answer is of another epoch: a store that has passed the number again
        takes the watch, and tells nothing of what it has written before it.
        """
        path = f"/v1/objects/{kind}?watch={since.number}&waitMs={int(seconds * 1000)}"
        raw = await self._call(b"GET", path, None, seconds + WATCH_MARGIN_SECONDS)
        seen = read_changes(kind, raw, self.epochs.current)
        _check_epoch(since, seen.revision, path)
        return seen

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return one object; raise NotFoundError."""
        path = f"/v1/objects/{kind}/{quote(name)}"
        raw = await self._call(b"GET", path, None, READ_SECONDS)
        return read_object(kind, raw, self.epochs.current)

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Make an object; raise ConflictError where it is there."""
        body = {"metadata": {"name": name}, "spec": spec}
        raw = await self._call(b"POST", f"/v1/objects/{kind}", body)
        return read_object(kind, raw, self.epochs.current)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: StoreRevision | None
    ) -> StoredObject:
        """Replace an object at a revision; raise ConflictError where it is at another.

        A revision of another epoch is another one: the write is not sent, or, where only its answer
        tells of the return, it may have been done and counts as not done. Without a revision
        whatever stands there is replaced.
        """
        metadata: dict[str, Any] = {"name": name}
        if revision is not None:
            if revision.epoch != self.epochs.current:
                raise ConflictError(f"{kind}/{name}: {revision} is of another epoch")
            metadata["revision"] = revision.number
        body = {"metadata": metadata, "spec": spec}
        raw = await self._call(b"PUT", f"/v1/objects/{kind}/{quote(name)}", body)
        stored = read_object(kind, raw, self.epochs.current)
        if revision is not None and revision.epoch != stored.revision.epoch:
            raise ConflictError(f"{kind}/{name}: {revision} is of another epoch")
        return stored

    async def _call(
        self, method: bytes, path: str, body: Any, seconds: float = CALL_SECONDS
    ) -> Any:
        self.calls += 1
        request = self._build(method, path, body)
        timeouts = CallTimeouts(seconds, BYTE_SECONDS)
        try:
            head, content = await call_once(
                self._pool, POOL_NAME, self._address, request, LARGEST_ANSWER, timeouts
            )
        except (UpstreamBrokenError, TimeoutError) as error:
            raise PlatformUnavailableError(f"{method.decode()} {path}: {error!r}") from None
        self._note_epoch(head)
        check_status(head.status, path)
        return decode_answer(path, content)

    def _note_epoch(self, head: ResponseHead) -> None:
        """Take over the epoch that an answer names; raise OldEpochError."""
        text = find_header(head.headers, EPOCH_HEADER)
        named = _read_epoch(text)
        if named is None and text:
            self.epochs.note_unreadable(text.decode("latin-1"))
        self.epochs.take(named, asyncio.get_running_loop().time())

    def _build(self, method: bytes, path: str, body: Any) -> OutgoingRequest:
        host = f"{self._address[0]}:{self._address[1]}".encode()
        headers = [(b"Host", host)]
        if body is None:
            return OutgoingRequest(method, path.encode(), headers, Framing.NONE, 0, None)
        content = orjson.dumps(body)
        sent = Body.from_bytes(content)
        headers.append((b"Content-Type", b"application/json"))
        return OutgoingRequest(method, path.encode(), headers, Framing.LENGTH, len(content), sent)


def _read_epoch(text: bytes) -> int | None:
    """Return the epoch of a header, or None where it names none that can be read."""
    if not text.isdigit() or len(text) > LONGEST_EPOCH:
        return None
    return int(text)


def _check_epoch(since: StoreRevision, answered: StoreRevision, path: str) -> None:
    """Raise HistoryGoneError where an answer is of another epoch than what it follows."""
    if since.epoch != answered.epoch:
        raise HistoryGoneError(f"{path}: {since} is of another epoch than {answered}")


def check_status(status: int, path: str) -> None:
    """Raise the error of an answer that is none to work with."""
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
