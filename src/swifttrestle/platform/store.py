"""Client of the platform's object store: lists, watches and conditional writes.

A call without a response raises PlatformUnavailableError but may take effect, even seconds later.
Writers must read back before they rely on such a write.

A store that is restored from a backup issues revision numbers again. So a revision belongs to an
epoch, and revisions of earlier epochs are not used for watches or conditional writes.
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
from swifttrestle.internal.checks import MAX_TEXT_CHARS
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
# Timeout of writes, shorter than the shortest lease.
WRITE_TIMEOUT_SECONDS = 2.0
# Timeout of reads, which can be retried at any time. A read that is lost in an outage
# delays the next one, which may succeed, by as much.
READ_TIMEOUT_SECONDS = 1.0
# Longest time between two bytes of a response, longer than a TCP retransmission. There is no limit
# for the whole body, since a slow link could then never transfer a large object.
BYTE_TIMEOUT_SECONDS = 2.0
# Longest time that a watch waits for a change, a limit of the store.
WATCH_SECONDS = 30.0
# Time beyond the requested wait in which a watch must be answered. An unanswered one may be on
# a connection that has become silent.
WATCH_MARGIN_SECONDS = 0.8
# Time after which a connection with unacknowledged data is closed. Together with the time to read
# again, it is less than the three seconds within which a host must apply changes.
UNACKNOWLEDGED_MS = 2000
# The response header with the store's epoch.
EPOCH_HEADER = b"store-era"
# Maximum number of digits of an epoch: fencing tokens contain it and must fit 64 bits.
MAX_EPOCH_DIGITS = 10
# The character after all others in the order of names.
LAST_CHARACTER = "\U0010ffff"
# Largest page of a list or object.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class ObjectStore:
    """Client of the store over persistent connections."""

    def __init__(self, address: Address, pool: ConnectionPool) -> None:
        """Use the store at `address`."""
        self._address = address
        self._pool = pool
        self.calls = 0
        self.epochs = StoreEpochs()

    async def list(self, kind: str) -> Snapshot:
        """Return all objects of a kind, read page by page.

        Raises OldEpochError if the store was restored from a backup between two pages.
        """
        items: list[StoredObject] = []
        malformed: list[MalformedObject] = []
        first: StoreRevision | None = None
        after = ""
        passed: set[str] = set()
        while True:
            query = f"?after={after}" if after else ""
            raw = await self._call(b"GET", f"/v1/objects/{kind}{query}", None, READ_TIMEOUT_SECONDS)
            page = read_page(kind, raw, self.epochs.current)
            items += page.items
            malformed += page.malformed
            # A watch from the first page's revision misses no change.
            first = first or page.revision
            if first.epoch != page.revision.epoch:
                raise OldEpochError(
                    f"{kind}: epoch changed between pages, {first} to {page.revision}; list again"
                )
            complete = not page.more
            passed.add(after)
            after = quote_last_name(page.last)
            if complete or after in passed:
                return Snapshot(tuple(items), first, tuple(malformed), complete)

    async def watch(self, kind: str, since: StoreRevision, seconds: float) -> Changes:
        """Wait for changes after a revision; raise HistoryGoneError if they are not available.

        That includes a response of another epoch: a restored store that has reached the revision's
        number again accepts the watch, but does not return the changes before it.
        """
        path = f"/v1/objects/{kind}?watch={since.number}&waitMs={int(seconds * 1000)}"
        raw = await self._call(b"GET", path, None, seconds + WATCH_MARGIN_SECONDS)
        changes = read_changes(kind, raw, self.epochs.current)
        _check_epoch(since, changes.revision, path)
        return changes

    async def get(self, kind: str, name: str) -> StoredObject:
        """Return one object; raise NotFoundError."""
        path = f"/v1/objects/{kind}/{quote(name)}"
        raw = await self._call(b"GET", path, None, READ_TIMEOUT_SECONDS)
        return read_object(kind, raw, self.epochs.current)

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object; raise ConflictError if it exists."""
        body = {"metadata": {"name": name}, "spec": spec}
        raw = await self._call(b"POST", f"/v1/objects/{kind}", body)
        return read_object(kind, raw, self.epochs.current)

    async def replace(
        self, kind: str, name: str, spec: Any, revision: StoreRevision | None
    ) -> StoredObject:
        """Replace an object at a revision; raise ConflictError if it is at another.

        A revision of another epoch is a conflict: the write is not sent. If only the response
        shows the new epoch, the write may have taken effect although ConflictError is raised.
        Without a revision, any version is replaced.
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
        self, method: bytes, path: str, body: Any, seconds: float = WRITE_TIMEOUT_SECONDS
    ) -> Any:
        self.calls += 1
        request = self._build_request(method, path, body)
        timeouts = CallTimeouts(seconds, BYTE_TIMEOUT_SECONDS)
        try:
            head, content = await call_once(
                self._pool, POOL_NAME, self._address, request, MAX_RESPONSE_BYTES, timeouts
            )
        except (UpstreamBrokenError, TimeoutError) as error:
            raise PlatformUnavailableError(f"{method.decode()} {path}: {error!r}") from None
        self._apply_epoch(head)
        check_status(head.status, path)
        return decode_answer(path, content)

    def _apply_epoch(self, head: ResponseHead) -> None:
        """Apply the epoch of a response; raise OldEpochError."""
        text = find_header(head.headers, EPOCH_HEADER)
        epoch = _read_epoch(text)
        if epoch is None and text:
            self.epochs.note_unreadable(text.decode("latin-1"))
        self.epochs.take(epoch, asyncio.get_running_loop().time())

    def _build_request(self, method: bytes, path: str, body: Any) -> OutgoingRequest:
        host = f"{self._address[0]}:{self._address[1]}".encode()
        headers = [(b"Host", host)]
        if body is None:
            return OutgoingRequest(method, path.encode(), headers, Framing.NONE, 0, None)
        content = orjson.dumps(body)
        request_body = Body.from_bytes(content)
        headers.append((b"Content-Type", b"application/json"))
        return OutgoingRequest(
            method, path.encode(), headers, Framing.LENGTH, len(content), request_body
        )


def quote_last_name(name: str) -> str:
    """Return the form in a URL of the name after which a page begins, "" if it is empty.

    An invalid name is longer than any valid one, or has lone surrogates. A long one is cut, with
    the highest character at its end: all names that begin like it are too long themselves.
    """
    if len(name) > MAX_TEXT_CHARS:
        name = name[: MAX_TEXT_CHARS + 1] + LAST_CHARACTER
    try:
        # Such surrogates stand for bytes of the store that are not UTF-8.
        return quote(name, errors="surrogateescape")
    except UnicodeEncodeError:
        return quote(name, errors="surrogatepass")


def _read_epoch(text: bytes) -> int | None:
    """Return the epoch of a header, or None if it cannot be read."""
    if not text.isdigit() or len(text) > MAX_EPOCH_DIGITS:
        return None
    return int(text)


def _check_epoch(since: StoreRevision, received: StoreRevision, path: str) -> None:
    """Raise HistoryGoneError if a response is of another epoch than the watched revision."""
    if since.epoch != received.epoch:
        raise HistoryGoneError(f"{path}: {since} is of another epoch than {received}")


def check_status(status: int, path: str) -> None:
    """Raise the error that belongs to a response status."""
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
