"""A cache of some kinds of objects, filled by one listing for each kind and one watch for all.

A watch counts as one call for any number of kinds, so a process keeps a single one. After a failure
it reconnects with random backoff, so that processes do not all list at once after an outage.
"""

import random
import threading
from collections.abc import Callable

from swifttrestle.errors import NotFoundError, PlatformUnavailableError
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.logs import log_info, log_warning
from swifttrestle.internal.policy.backoff import draw_backoff
from swifttrestle.internal.protocol.platform import ObjectApi, StoredObject

FIRST_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 5.0
Listener = Callable[[StoredObject, bool], None]


class ObjectCache:
    """Copies of objects by kind and name, each with the local time its version was first seen."""

    def __init__(self, api: ObjectApi, kinds: tuple[str, ...], clock: Clock, seed: int) -> None:
        """Set up a cache of `kinds`; `start` fills it."""
        self._api = api
        self._kinds = kinds
        self._clock = clock
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._objects: dict[tuple[str, str], tuple[StoredObject, float]] = {}
        self._listeners: list[Listener] = []
        self._stopped = threading.Event()
        self.synced = threading.Event()
        self.connected = False
        self.listings = 0

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each changed object and whether it was deleted."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start a thread that lists and watches objects."""
        threading.Thread(target=self._follow, name="watch", daemon=True).start()

    def stop(self) -> None:
        """Stop listing and watching."""
        self._stopped.set()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the copy of an object, or None if the cache has none."""
        with self._lock:
            found = self._objects.get((kind, name))
        return found[0] if found else None

    def unchanged_since(self, kind: str, name: str) -> float:
        """Return the local time since which an object has had its current version.

        The time is reset when a broken watch reconnects, so that a lease's holder that could not
        renew in an outage can do so before a challenger takes the lease.
        """
        with self._lock:
            found = self._objects.get((kind, name))
        return found[1] if found else self._clock.now()

    def all(self, kind: str) -> list[StoredObject]:
        """Return the copies of all objects of a kind."""
        with self._lock:
            return [item for (k, _), (item, _) in self._objects.items() if k == kind]

    def _follow(self) -> None:
        failures = 0
        while not self._stopped.is_set():
            try:
                since = self._list_all()
                failures = 0
                self._watch(since)
            except (PlatformUnavailableError, NotFoundError) as error:
                if self.connected:
                    log_warning("object API unavailable", reason=str(error))
                self.connected = False
            failures += 1
            self._stopped.wait(
                draw_backoff(self._random, failures, FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
            )

    def _list_all(self) -> int:
        since: int | None = None
        for kind in self._kinds:
            listing = self._api.list(kind)
            # The watch starts at the earliest listing, so that no change is missed.
            since = listing.version if since is None else min(since, listing.version)
            self._replace(kind, listing.items)
        self.listings += 1
        self.connected = True
        self.synced.set()
        log_info("object API listed, watch starts", since=since)
        return since or 0

    def _replace(self, kind: str, items: tuple[StoredObject, ...]) -> None:
        names = {item.name for item in items}
        for stale in self.all(kind):
            if stale.name not in names:
                self._apply(stale, deleted=True)
        now = self._clock.now()
        for item in items:
            self._apply(item, deleted=False)
            with self._lock:
                self._objects[kind, item.name] = (item, now)

    def _watch(self, since: int) -> None:
        for event in self._api.watch(self._kinds, since):
            if self._stopped.is_set():
                return
            if event.stored is not None:
                self._apply(event.stored, event.deleted)

    def _apply(self, item: StoredObject, deleted: bool) -> None:
        key = (item.kind, item.name)
        with self._lock:
            known = self._objects.get(key)
            if known and known[0].version >= item.version and not deleted:
                return
            if deleted:
                self._objects.pop(key, None)
            else:
                self._objects[key] = (item, self._clock.now())
        for listener in self._listeners:
            listener(item, deleted)

    def apply_own_write(self, item: StoredObject) -> None:
        """Store an object that this process has just written."""
        self._apply(item, deleted=False)
