"""A copy of some kinds of objects, kept by one listing a kind and one watch for all.

A waiting watch counts as one call whatever it covers, so a process keeps a single one. When
the watch breaks, its return is spread over a random pause, so that an outage's end brings
no storm of listings.
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
    """Copies of objects by kind and name, each with the local time it was first seen."""

    def __init__(self, api: ObjectApi, kinds: tuple[str, ...], clock: Clock, seed: int) -> None:
        """Prepare to follow some kinds; `start` begins."""
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
        """Call the listener with each change: the object, and whether it was deleted."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Follow in a thread of its own."""
        threading.Thread(target=self._follow, name="watch", daemon=True).start()

    def stop(self) -> None:
        """Follow no longer."""
        self._stopped.set()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the copy of one object."""
        with self._lock:
            found = self._objects.get((kind, name))
        return found[0] if found else None

    def unchanged_since(self, kind: str, name: str) -> float:
        """Return the local time since which this version stands while the watch lives.

        The time starts anew when a broken watch comes back: a holder that could not renew
        in an outage gets its turn before a challenger does.
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
                    log_warning("object API lost", reason=str(error))
                self.connected = False
            failures += 1
            self._stopped.wait(
                draw_backoff(self._random, failures, FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
            )

    def _list_all(self) -> int:
        since: int | None = None
        for kind in self._kinds:
            listing = self._api.list(kind)
            # The watch starts from the oldest listing, so no change falls between two.
            since = listing.version if since is None else min(since, listing.version)
            self._replace(kind, listing.items)
        self.listings += 1
        self.connected = True
        self.synced.set()
        log_info("object API followed", since=since)
        return since or 0

    def _replace(self, kind: str, items: tuple[StoredObject, ...]) -> None:
        names = {item.name for item in items}
        for stale in self.all(kind):
            if stale.name not in names:
                self._note(stale, deleted=True)
        now = self._clock.now()
        for item in items:
            self._note(item, deleted=False)
            with self._lock:
                self._objects[kind, item.name] = (item, now)

    def _watch(self, since: int) -> None:
        for event in self._api.watch(self._kinds, since):
            if self._stopped.is_set():
                return
            if event.stored is not None:
                self._note(event.stored, event.deleted)

    def _note(self, item: StoredObject, deleted: bool) -> None:
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
        """Take over an object that this process has just written."""
        self._note(item, deleted=False)
