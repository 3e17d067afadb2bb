"""Keeps the newest configuration in force, from the store or from a peer that has it."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from swifttrestle.errors import (
    BadEntryError,
    HistoryGoneError,
    PlatformUnavailableError,
)
from swifttrestle.internal.clock import read_boottime_seconds
from swifttrestle.internal.coordination.entries import SkippedEntries
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.policy.backoff import draw_backoff
from swifttrestle.internal.protocol.copies import ConfigurationCopy
from swifttrestle.internal.state.config_freshness import ConfigurationFreshness
from swifttrestle.internal.state.declared import Configuration
from swifttrestle.internal.state.routes import RouteTable
from swifttrestle.internal.state.store_epochs import NO_REVISION, StoreRevision
from swifttrestle.platform.objects import MalformedObject, StoredObject
from swifttrestle.platform.records import CONFIG_KIND, CONFIG_NAME, read_configuration
from swifttrestle.platform.store import WATCH_SECONDS, ObjectStore

# First and longest pause after a failed call, in seconds; a change must be in force within
# two seconds of its acknowledgement once the store can be reached.
FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.05, 0.5
# Seconds of a watch for each live host: watches that end at different moments have some host
# ask the store about each second, and the others hear of what it learns. A watch may wait on a
# connection that has fallen silent, and all of a fleet's connections may do so at once.
WATCH_SECONDS_PER_HOST = 1.0
LEAST_WATCH_SECONDS = 2.0
# Seconds between two looks at whether others still keep this host up to date.
FOLLOW_POLL_SECONDS = 0.1
# Share of that below which no watch is, so that they do not all end together.
LEAST_WATCH_SHARE = 0.3


class ConfigurationWatcher:
    """The version in force; it only rises."""

    def __init__(
        self,
        store: ObjectStore,
        rng: random.Random,
        changed: Callable[[], None],
        count_hosts: Callable[[], int],
        skipped: SkippedEntries,
    ) -> None:
        """Read from the store; `changed` is called after each change."""
        self._count_hosts = count_hosts
        self._skipped = skipped
        self._store = store
        self._rng = rng
        self._changed = changed
        self._revision = NO_REVISION
        self._failures = 0
        # The call to the store that is under way.
        self._call: asyncio.Future[None] | None = None
        # The revision and version of the entry that was last read to prove the version in force.
        self._confirmed: tuple[StoreRevision, int] = (NO_REVISION, 0)
        self.table: RouteTable | None = None
        self.raw: Any = None
        self.freshness = ConfigurationFreshness(lambda: self.version)
        # Tells whether others keep this host up to date, by words that are proved to be young.
        self.follows: Callable[[], bool] = lambda: False

    @property
    def version(self) -> int:
        """The version in force, 0 where none is known."""
        return self.table.configuration.version if self.table else 0

    def take(self, raw: Any, source: str) -> bool:
        """Put a version in force if it is newer; return whether it was."""
        before = self.version
        try:
            self._read_version(raw, source)
        except BadEntryError:
            # It was skipped and counted; the version in force holds.
            return False
        return self.version > before

    def _read_version(self, raw: Any, source: str) -> int:
        """Put a version in force if it is newer; return its number.

        Raises BadEntryError for one that cannot be read, after it was skipped.
        """
        began = read_boottime_seconds()
        try:
            configuration = read_configuration(raw)
        except BadEntryError as error:
            self._skipped.skip(CONFIG_KIND, CONFIG_NAME, error, raw)
            raise
        if configuration.version > self.version:
            self._put(configuration, raw, source, began)
        return configuration.version

    def _put(self, configuration: Configuration, raw: Any, source: str, began: float) -> None:
        before = self.version
        self.table = RouteTable(configuration)
        log_event(
            "configuration in force",
            version=configuration.version,
            before=before,
            source=source,
            routes=len(configuration.routes),
            index_ms=round((read_boottime_seconds() - began) * 1000, 1),
        )
        self.raw = raw
        self._changed()

    def copy(self) -> ConfigurationCopy | None:
        """Return the version in force for a peer, or None where none is known."""
        return ConfigurationCopy(self._revision, self.raw) if self.table else None

    def take_copy(self, copy: ConfigurationCopy, source: str) -> None:
        """Put a peer's copy in force if it is newer, and spare the link what it makes needless.

        Over 5 Mbit/s the store's own answer with 4,249 routes takes two seconds in which requests
        wait behind it; a peer's copy has an eleventh of its bytes.
        """
        if not self.take(copy.raw, source) or copy.revision <= self._revision:
            return
        if self._call is not None:
            self._revision = copy.revision
            self._call.cancel()

    def reload_after_restore(self) -> None:
        """Read anew: the store came back from a copy, and a waiting watch may hear nothing."""
        watching = self._revision != NO_REVISION
        self._revision = NO_REVISION
        if self._call is not None and watching:
            self._call.cancel()

    async def run(self) -> None:
        """Read, then watch, for as long as the process lives."""
        while True:
            try:
                await self._follow()
                await self._ask_store()
            except HistoryGoneError:
                log_event("configuration history gone", revision=str(self._revision))
                self._revision = NO_REVISION
                await asyncio.sleep(self._rng.random() * MAX_BACKOFF_SECONDS / 2)
            except PlatformUnavailableError as error:
                await self._wait_out(error)

    async def _follow(self) -> None:
        """Ask nothing while others keep this host up to date; read anew after that.

        With each version all watches of a fleet end and begin again: 83 calls to the store each.
        """
        if not self.table or not self.follows():
            return
        while self.follows():
            await asyncio.sleep(FOLLOW_POLL_SECONDS)
        self._revision = NO_REVISION

    async def _ask_store(self) -> None:
        """Make one call, unless a peer's copy makes it needless while it is under way."""
        call = self._read() if self._revision == NO_REVISION else self._watch()
        self._call = asyncio.ensure_future(call)
        try:
            await asyncio.wait((self._call,))
            if not self._call.cancelled():
                self._call.result()
                self._failures = 0
        finally:
            self._call.cancel()
            self._call = None

    async def confirm(self) -> None:
        """Prove by one read of the store which version is the newest.

        A watch proves nothing: one that was taken while the store forgets its history hears
        nothing of what is changed meanwhile. Raises PlatformUnavailableError or NotFoundError
        where there is no proof, and BadEntryError where the entry is none.
        """
        asked_at = asyncio.get_running_loop().time()
        self._note_proof(await self._store.get(CONFIG_KIND, CONFIG_NAME), asked_at)

    def _note_proof(self, item: StoredObject, asked_at: float) -> None:
        """Take over that an entry was the newest one at a time; one that is not taken is none."""
        if item.revision != self._confirmed[0]:
            self._confirmed = (item.revision, self._read_version(item.spec, "store"))
        self.freshness.note(self._confirmed[1], asked_at)

    async def _read(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        snapshot = await self._store.list(CONFIG_KIND)
        for item in snapshot.items:
            if item.name == CONFIG_NAME:
                self._note_listed(item, asked_at)
        for malformed in snapshot.malformed:
            self._take_item(malformed)
        self._revision = snapshot.revision

    def _note_listed(self, item: StoredObject, asked_at: float) -> None:
        try:
            self._note_proof(item, asked_at)
        except BadEntryError:
            # It was skipped and counted as it was taken; it proves nothing.
            return

    async def _watch(self) -> None:
        seen = await self._store.watch(CONFIG_KIND, self._revision, self._choose_wait())
        for change in seen.changes:
            if not change.removed:
                self._take_item(change.item)
        self._revision = seen.revision

    def _take_item(self, item: StoredObject | MalformedObject) -> None:
        """Put the version of an entry in force; whatever else is there changes nothing."""
        if isinstance(item, MalformedObject):
            self._skipped.skip(item.kind, item.name, item.error, item.content)
        elif item.name == CONFIG_NAME:
            self.take(item.spec, "store")

    def _choose_wait(self) -> float:
        """Return the seconds of the next watch."""
        longest = WATCH_SECONDS_PER_HOST * self._count_hosts()
        longest = min(WATCH_SECONDS, max(LEAST_WATCH_SECONDS, longest))
        return longest * (LEAST_WATCH_SHARE + (1 - LEAST_WATCH_SHARE) * self._rng.random())

    async def _wait_out(self, error: PlatformUnavailableError) -> None:
        # A watch after a cut one may be taken by a store that has forgotten what lay between,
        # and then hear nothing: only a fresh read tells what is there.
        self._revision = NO_REVISION
        self._failures += 1
        if self._failures == 2:
            log_event("store lost", by="configuration", reason=str(error))
        await asyncio.sleep(
            draw_backoff(self._rng, self._failures, FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        )
