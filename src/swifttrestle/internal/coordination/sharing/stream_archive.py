"""Keeps in the store where streams began, so that they go on after a loss of all hosts."""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from swifttrestle.errors import BadEntryError
from swifttrestle.internal.coordination.sharing.default_origins import DefaultOrigins
from swifttrestle.internal.coordination.sharing.stream_notes import StreamNotes
from swifttrestle.internal.coordination.store.entries import SkippedEntries
from swifttrestle.internal.coordination.store.shared_read import SharedRead
from swifttrestle.internal.forward.stream_directory import StreamArchive
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.default_origins import DefaultOrigin
from swifttrestle.internal.protocol.stream_records import (
    DEFAULTS_NAME,
    NOTES_PREFIX,
    STREAM_KIND,
    parse_defaults,
    parse_notes,
)
from swifttrestle.internal.state.declared import Route
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.stream_builds import StreamOrigin
from swifttrestle.platform.objects import StoredObject
from swifttrestle.platform.store import ObjectStore

# Share of the store's writes that the notes of all hosts may take.
WRITE_SHARE = 0.5
# Seconds for each host of the fleet between two reads of a host, up to the maximum, and between two
# of its writes where the store's limit is not known.
READ_SECONDS_PER_HOST = 0.005
MAX_READ_INTERVAL_SECONDS = 0.25
WRITE_SECONDS_PER_HOST = 0.005


@dataclass(frozen=True)
class StoredOrigins:
    """The notes of all hosts, and routes' default origins.

    Without `complete`, some notes could not be read.
    """

    notes: dict[bytes, StreamOrigin]
    defaults: dict[str, DefaultOrigin]
    complete: bool

    def find(self, stream: bytes, route: Route, url: str) -> StreamOrigin | None:
        """Return where a stream began that is taken up at a URL, or None if that is not known.

        `route` is the one that now has the URL. One that was removed may have had it before. An
        empty `stream` is an unknown one: it is known only if it had no choice.
        """
        noted = self.notes.get(stream)
        if noted is not None or not self.complete:
            return noted
        if stream:
            return self._find_default(route, url)
        default = self._find_default(route, url)
        services = {target.service for target in route.targets}
        others = {item for item in self.notes.values() if item.service in services} - {default}
        return None if others else default

    def _find_default(self, route: Route, url: str) -> StreamOrigin | None:
        """Return where streams at a URL began that have no note, or None if that is not known."""
        default = self.defaults.get(route.location)
        # While no upstream has the default, streams may have begun elsewhere without a note.
        if default is None or not default.settled:
            return None
        removed = (
            item.origin
            for location, item in self.defaults.items()
            if len(location) > len(route.location) and url.startswith(location)
        )
        return default.origin if all(origin == default.origin for origin in removed) else None


class StoreArchive(StreamArchive):
    """Notes and default origins in the platform's store."""

    def __init__(
        self,
        store: ObjectStore,
        writes_per_second: float,
        fleet: Fleet,
        host: str,
        list_routes: Callable[[], Iterable[Route]],
        list_members: Callable[[], Sequence[Member]],
        first_start: bool,
        metrics: Metrics,
        skipped: SkippedEntries,
        rng: random.Random,
    ) -> None:
        """Keep the origins of this host's streams in `store`.

        All hosts together may make `writes_per_second` writes, 0 if that is not known.
        `first_start` is whether no stream can have begun before this process.
        """
        self._store = store
        self._writes_per_second = writes_per_second
        self._list_members = list_members
        self._skipped = skipped
        self.notes = StreamNotes(store, host, self._find_write_interval, metrics, skipped, rng)
        self.defaults = DefaultOrigins(
            store, fleet, host, list_routes, list_members, first_start, skipped, rng
        )
        self._shared_read = SharedRead(self._read, self._find_read_interval)

    async def keep(self, route: Route, stream: bytes, origin: StreamOrigin) -> bool:
        """Store where a stream begins, unless that is where streams without a note began.

        Returns whether it is known to those that start after a loss of all hosts.
        """
        if self.defaults.covers(route, origin) and stream not in self.notes:
            return True
        return await self.notes.keep(stream, origin)

    def find_safe_origin(self, route: Route) -> StreamOrigin | None:
        """Return where streams of a route begin that have no note, if there are upstreams."""
        return self.defaults.find_present(route)

    @property
    def available(self) -> bool:
        """Whether notes can be stored at the moment."""
        return self.notes.available

    async def find(self, route: Route, url: str, stream: bytes) -> StreamOrigin | None:
        """Return where a stream began; raise PlatformUnavailableError."""
        stored = await self._shared_read.get()
        return stored.find(stream, route, url)

    def is_original(self, route: Route) -> bool:
        """Return whether no stream at a route's location can have begun unseen by this host."""
        return self.defaults.is_original(route)

    def note_restored(self) -> None:
        """Write again, since the store was restored from a backup."""
        self.notes.note_restored()
        self.defaults.note_restored()

    def _find_write_interval(self) -> float:
        hosts = len(self._list_members())
        if not self._writes_per_second:
            return WRITE_SECONDS_PER_HOST * hosts
        return hosts / (WRITE_SHARE * self._writes_per_second)

    def _find_read_interval(self) -> float:
        return min(MAX_READ_INTERVAL_SECONDS, READ_SECONDS_PER_HOST * len(self._list_members()))

    async def _read(self) -> StoredOrigins:
        snapshot = await self._store.list(STREAM_KIND)
        notes: dict[bytes, StreamOrigin] = {}
        defaults: dict[str, DefaultOrigin] = {}
        complete = snapshot.complete and not snapshot.malformed
        for item in snapshot.items:
            try:
                self._add(item, notes, defaults)
            except BadEntryError as error:
                self._skipped.skip(STREAM_KIND, item.name, error, item.spec)
                complete = False
        return StoredOrigins(notes, defaults, complete)

    @staticmethod
    def _add(
        item: StoredObject, notes: dict[bytes, StreamOrigin], defaults: dict[str, DefaultOrigin]
    ) -> None:
        """Add what an object has; raise BadEntryError."""
        if item.name == DEFAULTS_NAME:
            stored = parse_defaults(item.spec)
            if stored.epoch == item.revision.epoch:
                defaults.update(stored.defaults)
        elif item.name.startswith(NOTES_PREFIX):
            stored_notes = parse_notes(item.spec)
            notes.update(stored_notes.origins)
            if not stored_notes.complete:
                raise BadEntryError("notes of streams", "complete", False, "some were dropped")
