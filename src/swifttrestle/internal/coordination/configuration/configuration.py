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
from swifttrestle.internal.coordination.store.entries import SkippedEntries
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

# Initial and maximum backoff after a failed call, in seconds. A change must be in force within two
# seconds once the store can be reached.
FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.05, 0.5
# Maximum seconds of a watch, for each live host. Some host then makes a new call about once a
# second and reports a new version to its peers, even if no open watch responds.
WATCH_SECONDS_PER_HOST = 1.0
MIN_WATCH_SECONDS = 2.0
# Seconds between checks of whether peers still keep this host up to date.
FOLLOW_POLL_SECONDS = 0.1
# Minimum length of a watch as a share of the maximum; the length is drawn at random between them.
MIN_WATCH_SHARE = 0.3


class ConfigurationWatcher:
    """Keeps the newest known version in force; its number only rises."""

    def __init__(
        self,
        store: ObjectStore,
        rng: random.Random,
        changed: Callable[[], None],
        count_hosts: Callable[[], int],
        skipped: SkippedEntries,
    ) -> None:
        """Watch `store`; `changed` is called after each change of the version in force."""
        self._count_hosts = count_hosts
        self._skipped = skipped
        self._store = store
        self._rng = rng
        self._changed = changed
        self._revision = NO_REVISION
        self._failures = 0
        # The call to the store that is in progress.
        self._call: asyncio.Future[None] | None = None
        # The revision and version of the entry that was last read to confirm freshness.
        self._last_confirmed: tuple[StoreRevision, int] = (NO_REVISION, 0)
        self.table: RouteTable | None = None
        self.raw: Any = None
        self.freshness = ConfigurationFreshness(lambda: self.version)
        # Returns whether peers with fresh confirmations keep this host up to date.
        self.relies_on_peers: Callable[[], bool] = lambda: False

    @property
    def version(self) -> int:
        """The version in force, 0 where none is known."""
        return self.table.configuration.version if self.table else 0

    def apply(self, raw: Any, source: str) -> bool:
        """Put a version in force if it is newer; return whether it was."""
        before = self.version
        try:
            self._read_version(raw, source)
        except BadEntryError:
            # The entry was logged and counted; the version in force stays.
            return False
        return self.version > before

    def _read_version(self, raw: Any, source: str) -> int:
        """Put a version in force if it is newer; return its number.

        Logs and counts a version that cannot be read, then raises BadEntryError.
        """
        began = read_boottime_seconds()
        try:
            configuration = read_configuration(raw)
        except BadEntryError as error:
            self._skipped.skip(CONFIG_KIND, CONFIG_NAME, error, raw)
            raise
        if configuration.version > self.version:
            self._put_in_force(configuration, raw, source, began)
        return configuration.version

    def _put_in_force(
        self, configuration: Configuration, raw: Any, source: str, began: float
    ) -> None:
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

    def apply_copy(self, copy: ConfigurationCopy, source: str) -> None:
        """Put a peer's copy in force if it is newer, and cancel a pending call to the store.

        The store's uncompressed response would delay requests on a slow link. With 4,249 routes it
        takes two seconds over 5 Mbit/s; a peer's copy has an eleventh of its bytes.
        """
        if not self.apply(copy.raw, source) or copy.revision <= self._revision:
            return
        if self._call is not None:
            self._revision = copy.revision
            self._call.cancel()

    def reload_after_restore(self) -> None:
        """Read again after a restore of the store, which a pending watch may not notice."""
        watching = self._revision != NO_REVISION
        self._revision = NO_REVISION
        if self._call is not None and watching:
            self._call.cancel()

    async def run(self) -> None:
        """Read, then watch, until cancelled."""
        while True:
            try:
                await self._wait_while_peers_report()
                await self._call_store()
            except HistoryGoneError:
                log_event("configuration history gone", revision=str(self._revision))
                self._revision = NO_REVISION
                await asyncio.sleep(self._rng.random() * MAX_BACKOFF_SECONDS / 2)
            except PlatformUnavailableError as error:
                await self._back_off(error)

    def note_failure(self) -> None:
        """Read the whole entry next: after an error, changes may have been missed."""
        self._revision = NO_REVISION

    async def _wait_while_peers_report(self) -> None:
        """Make no calls while peers keep this host up to date; read again after that.

        Otherwise each new version would end and restart the watches of all hosts at once.
        """
        if not self.table or not self.relies_on_peers():
            return
        while self.relies_on_peers():
            await asyncio.sleep(FOLLOW_POLL_SECONDS)
        self._revision = NO_REVISION

    async def _call_store(self) -> None:
        """Make one call, which is cancelled if a peer's copy makes it unnecessary."""
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
        """Confirm by one read of the store which version is the newest.

        A watch is not sufficient: one that is accepted while the store drops its history misses
        changes made meanwhile. Raises PlatformUnavailableError or NotFoundError where the entry
        cannot be read, and BadEntryError where it is not a valid configuration.
        """
        asked_at = asyncio.get_running_loop().time()
        self._note_confirmed(await self._store.get(CONFIG_KIND, CONFIG_NAME), asked_at)

    def _note_confirmed(self, item: StoredObject, asked_at: float) -> None:
        """Record that an entry was the newest one at a time; raise BadEntryError if invalid."""
        if item.revision != self._last_confirmed[0]:
            self._last_confirmed = (item.revision, self._read_version(item.spec, "store"))
        self.freshness.note(self._last_confirmed[1], asked_at)

    async def _read(self) -> None:
        asked_at = asyncio.get_running_loop().time()
        snapshot = await self._store.list(CONFIG_KIND)
        for item in snapshot.items:
            if item.name == CONFIG_NAME:
                self._note_listed(item, asked_at)
        for malformed in snapshot.malformed:
            self._apply_item(malformed)
        self._revision = snapshot.revision

    def _note_listed(self, item: StoredObject, asked_at: float) -> None:
        try:
            self._note_confirmed(item, asked_at)
        except BadEntryError:
            # The entry was logged and counted; it confirms nothing.
            return

    async def _watch(self) -> None:
        seen = await self._store.watch(CONFIG_KIND, self._revision, self._choose_watch_seconds())
        for change in seen.changes:
            if not change.removed:
                self._apply_item(change.item)
        self._revision = seen.revision

    def _apply_item(self, item: StoredObject | MalformedObject) -> None:
        """Put the version of a configuration entry in force; log malformed ones, ignore others."""
        if isinstance(item, MalformedObject):
            self._skipped.skip(item.kind, item.name, item.error, item.content)
        elif item.name == CONFIG_NAME:
            self.apply(item.spec, "store")

    def _choose_watch_seconds(self) -> float:
        """Return the length of the next watch in seconds."""
        max_seconds = WATCH_SECONDS_PER_HOST * self._count_hosts()
        max_seconds = min(WATCH_SECONDS, max(MIN_WATCH_SECONDS, max_seconds))
        return max_seconds * (MIN_WATCH_SHARE + (1 - MIN_WATCH_SHARE) * self._rng.random())

    async def _back_off(self, error: PlatformUnavailableError) -> None:
        # After an interrupted watch, the store may have dropped the changes made since. A new watch
        # would miss them, so the entry is read again.
        self._revision = NO_REVISION
        self._failures += 1
        if self._failures == 2:
            log_event("store lost", by="configuration", reason=str(error))
        await asyncio.sleep(
            draw_backoff(self._rng, self._failures, FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        )
