"""Stores this host's notes of where streams began, for hosts that start without any knowledge."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.errors import (
    BadEntryError,
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
)
from swifttrestle.internal.coordination.store.entries import SkippedEntries
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.protocol.stream_records import (
    NOTES_PREFIX,
    STREAM_KIND,
    StoredNotes,
    format_notes,
    parse_notes,
)
from swifttrestle.internal.state.store_epochs import StoreRevision
from swifttrestle.internal.state.stream_builds import MEMORY_SECONDS, StreamOrigin
from swifttrestle.platform.objects import StoredObject
from swifttrestle.platform.store import ObjectStore

# Longest time, in seconds, for which a stream's first event waits until its note is stored.
KEEP_SECONDS = 0.5
# Seconds until a failed write is tried again, and the maximum jitter added.
RETRY_SECONDS = 0.2
# Seconds between two looks at notes that are no longer needed.
EXPIRY_CHECK_SECONDS = MEMORY_SECONDS / 4
# Writes that may follow each other at once.
WRITE_BURST = 5
# Notes of one host; the oldest are dropped. Half a megabyte with the longest ids.
MAX_NOTES = 2000


@dataclass(frozen=True)
class _Note:
    """Where a stream began, and the event loop's time at which that was noted."""

    origin: StreamOrigin
    noted_at: float


class StreamNotes:
    """The notes of this host, in one object that only this host writes."""

    def __init__(
        self,
        store: ObjectStore,
        host: str,
        find_write_interval: Callable[[], float],
        metrics: Metrics,
        skipped: SkippedEntries,
        rng: random.Random,
    ) -> None:
        """Store the notes of `host`, at most once in `find_write_interval()` seconds."""
        self._store = store
        self._name = NOTES_PREFIX + host
        self._find_write_interval = find_write_interval
        self._metrics = metrics
        self._skipped = skipped
        self._rng = rng
        # The oldest first.
        self._notes: dict[bytes, _Note] = {}
        # Until when a stream whose note was dropped may be taken up.
        self._incomplete_until = float("-inf")
        # Whether the object's state is known: whether it exists, and its revision if it is valid.
        self._loaded = self._exists = False
        self._revision: StoreRevision | None = None
        self._changed = asyncio.Event()
        # Those that wait for the next write.
        self._waiting: list[asyncio.Future[None]] = []
        # Whether the last write was done in time.
        self.available = True
        # When the next write would be made if writes were spread evenly.
        self._next_write_at = float("-inf")

    def __contains__(self, stream: bytes) -> bool:
        """Return whether there is a note of a stream."""
        return stream in self._notes

    async def keep(self, stream: bytes, origin: StreamOrigin) -> bool:
        """Store where a stream began; return whether it is stored, without waiting for long."""
        self._note(stream, origin)
        self._changed.set()
        result = await self._wait_for_write() if self.available else "unavailable"
        self._metrics.count("gateway_stream_notes_total", result=result)
        return result == "stored"

    def note_restored(self) -> None:
        """Write again, since the store was restored from a backup."""
        self._loaded = False
        if self._notes:
            self._changed.set()

    async def run(self) -> None:
        """Write changes until cancelled."""
        self._loaded = False
        if self._notes:
            self._changed.set()
        with contextlib.suppress(PlatformUnavailableError):
            # The first note then takes one call.
            await self._load()
        while True:
            await self._wait_for_change()
            if self._expire():
                self._changed.set()
            if self._changed.is_set():
                await self._write_changes()

    async def _wait_for_write(self) -> str:
        written: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(written)
        await asyncio.wait((written,), timeout=KEEP_SECONDS)
        # Other streams don't wait while the store is slow.
        self.available = written.done()
        return "stored" if written.done() else "late"

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(EXPIRY_CHECK_SECONDS):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _write_changes(self) -> None:
        await self._wait_for_turn()
        self._changed.clear()
        waiting, self._waiting = self._waiting, []
        try:
            await self._write()
        except (PlatformUnavailableError, ConflictError, NotFoundError) as error:
            self._loaded = self.available = False
            self._waiting = waiting + self._waiting
            self._changed.set()
            log_event("streams not kept", streams=len(self._notes), reason=str(error))
            await asyncio.sleep(RETRY_SECONDS * (1 + self._rng.random()))
            return
        self.available = True
        for item in waiting:
            if not item.done():
                item.set_result(None)

    async def _wait_for_turn(self) -> None:
        """Wait until the rate of writes allows another one; some may follow each other at once."""
        interval = self._find_write_interval()
        earliest = _now() - WRITE_BURST * interval
        self._next_write_at = max(self._next_write_at, earliest) + interval
        await asyncio.sleep(self._next_write_at - _now())

    async def _write(self) -> None:
        if not self._loaded:
            await self._load()
        origins = {stream: note.origin for stream, note in self._notes.items()}
        spec = format_notes(StoredNotes(origins, _now() >= self._incomplete_until))
        if self._exists:
            stored = await self._store.replace(STREAM_KIND, self._name, spec, self._revision)
        else:
            stored = await self._store.create(STREAM_KIND, self._name, spec)
        self._exists, self._revision = True, stored.revision

    async def _load(self) -> None:
        """Read the object, which may have notes of this host before its last start."""
        self._exists, self._revision = True, None
        try:
            stored = await self._store.get(STREAM_KIND, self._name)
        except NotFoundError:
            self._exists = False
        except BadEntryError as error:
            # Another writer stored it; it is overwritten.
            self._skipped.skip(STREAM_KIND, self._name, error, None)
        else:
            self._revision = stored.revision
            self._merge(stored)
        self._loaded = True

    def _merge(self, stored: StoredObject) -> None:
        try:
            notes = parse_notes(stored.spec)
        except BadEntryError as error:
            self._skipped.skip(STREAM_KIND, self._name, error, stored.spec)
            return
        if not notes.complete:
            self._incomplete_until = _now() + MEMORY_SECONDS
        former = {
            stream: _Note(origin, _now())
            for stream, origin in notes.origins.items()
            if stream not in self._notes
        }
        self._notes = former | self._notes
        self._drop_oldest()

    def _note(self, stream: bytes, origin: StreamOrigin) -> None:
        self._notes.pop(stream, None)
        self._notes[stream] = _Note(origin, _now())
        self._drop_oldest()

    def _drop_oldest(self) -> None:
        while len(self._notes) > MAX_NOTES:
            del self._notes[next(iter(self._notes))]
            self._incomplete_until = _now() + MEMORY_SECONDS

    def _expire(self) -> bool:
        """Forget old notes; return whether none are left of some."""
        had_notes = bool(self._notes)
        expired_at = _now() - MEMORY_SECONDS
        self._notes = {
            stream: note for stream, note in self._notes.items() if note.noted_at > expired_at
        }
        return had_notes and not self._notes


def _now() -> float:
    return asyncio.get_running_loop().time()
