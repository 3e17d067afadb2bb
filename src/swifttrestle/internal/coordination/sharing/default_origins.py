"""Keeps routes' default origins, which say where streams began that have no note.

One object has the defaults of all routes, by their locations: callers that take a stream up name
its location, and no route. One host, found by a hash, writes it; the others read it when the
upstreams that a route leads to change their versions.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from swifttrestle.errors import (
    BadEntryError,
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
)
from swifttrestle.internal.coordination.store.entries import SkippedEntries
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.policy.default_origins import (
    TRUST_SECONDS,
    DefaultOrigin,
    RouteObservation,
    choose_default,
)
from swifttrestle.internal.policy.placement import is_ranked_first
from swifttrestle.internal.protocol.stream_records import (
    DEFAULTS_NAME,
    STREAM_KIND,
    StoredDefaults,
    format_defaults,
    parse_defaults,
)
from swifttrestle.internal.state.declared import Route
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.store_epochs import StoreRevision
from swifttrestle.internal.state.stream_builds import MEMORY_SECONDS, StreamOrigin
from swifttrestle.platform.store import ObjectStore

# Seconds between two looks at the upstreams of routes.
OBSERVE_SECONDS = 1.0
# Seconds between two reads while a route has no default, while one changes, and while streams begin
# at defaults.
MISSING_READ_SECONDS = 2.0
CHANGING_READ_SECONDS = 10.0
TRUSTED_READ_SECONDS = TRUST_SECONDS / 2
# Seconds without a look after which changes may have been missed, for instance in a suspension.
MAX_GAP_SECONDS = 5.0
# Seconds until a failed call is made again, and the maximum jitter added.
RETRY_SECONDS = 0.5


class DefaultOrigins:
    """The default origins of resumable routes."""

    def __init__(
        self,
        store: ObjectStore,
        fleet: Fleet,
        host: str,
        list_routes: Callable[[], Iterable[Route]],
        list_members: Callable[[], Sequence[Member]],
        first_start: bool,
        skipped: SkippedEntries,
        rng: random.Random,
    ) -> None:
        """Keep the defaults of the routes of `list_routes` that are resumable.

        `first_start` is whether no stream can have begun before this process.
        """
        self._store = store
        self._fleet = fleet
        self._host = host
        self._list_routes = list_routes
        self._list_members = list_members
        self._skipped = skipped
        self._rng = rng
        # The following are by location: what this host knows, and what the store showed at the last
        # read if that holds.
        self._defaults: dict[str, DefaultOrigin] = {}
        self._stored: dict[str, DefaultOrigin] = {}
        # The origins that a route's streams could have at the last read.
        self._confirmed: dict[str, frozenset[StreamOrigin]] = {}
        # Since when no upstream of a listed route has its default origin.
        self._absent_since: dict[str, float] = {}
        # Since when a default is not settled.
        self._unsettled_since: dict[str, float] = {}
        # Since when a route is listed. Those of the first start's first look always were.
        self._listed_since: dict[str, float] = {}
        self._looks_first = first_start
        self._observed_at = float("-inf")
        self._restored_at = float("-inf")
        self._read_at = float("-inf")
        # Whether a stream has begun since the last read that needs no note.
        self._used = False
        self._wanted = asyncio.Event()
        # Whether the stored object exists, and its revision if it is valid.
        self._exists = False
        self._revision: StoreRevision | None = None

    def covers(self, route: Route, origin: StreamOrigin) -> bool:
        """Return whether a stream that begins at an origin now needs no note."""
        possible = frozenset(self._count_upstreams(route))
        outdated = _now() - self._read_at > TRUST_SECONDS
        if outdated or self._confirmed.get(route.location) != possible:
            self._wanted.set()
            return False
        self._used = True
        return origin in possible and self._stored.get(route.location) == DefaultOrigin(origin)

    def find_present(self, route: Route) -> StreamOrigin | None:
        """Return a route's default origin if upstreams have it, else None."""
        default = self._defaults.get(route.location)
        if default is None or default.origin not in self._count_upstreams(route):
            return None
        return default.origin

    def is_original(self, route: Route) -> bool:
        """Return whether no stream at a route's location can have begun unseen by this host."""
        return self._looks_first or self._listed_since.get(route.location) == float("-inf")

    def note_restored(self) -> None:
        """Have the defaults written again, since the store was restored from a backup.

        They hold again once no stream is left whose note it has lost.
        """
        self._restored_at = _now()
        self._stored = {}
        self._wanted.set()

    async def run(self) -> None:
        """Observe the routes' upstreams, and read and write the defaults, until cancelled."""
        while True:
            self._observe()
            try:
                await self._synchronize()
            except (PlatformUnavailableError, ConflictError, NotFoundError) as error:
                log_event("stream defaults not kept", reason=str(error))
                await asyncio.sleep(RETRY_SECONDS * (1 + self._rng.random()))
                continue
            await self._wait()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(OBSERVE_SECONDS):
                await self._wanted.wait()
        except TimeoutError:
            return

    def _list_resumable(self) -> list[Route]:
        return [route for route in self._list_routes() if route.resumable]

    def _count_upstreams(self, route: Route) -> Counter[StreamOrigin]:
        """Return the number of upstreams at which streams of a route may begin, by origin."""
        return Counter(
            StreamOrigin(target.service, item.record.build)
            for target in route.targets
            for item in self._fleet.list_service(target.service)
        )

    def _observe(self) -> None:
        """Record since when routes are listed, and their defaults absent or not settled."""
        now = _now()
        if now - self._observed_at > MAX_GAP_SECONDS:
            self._absent_since.clear()
            self._unsettled_since.clear()
            self._listed_since.clear()
        self._observed_at = now
        routes = {route.location: route for route in self._list_resumable()}
        self._listed_since = {
            location: self._listed_since.get(location, float("-inf") if self._looks_first else now)
            for location in routes
        }
        self._looks_first = self._looks_first and not routes
        for location, default in self._defaults.items():
            listed = location in routes
            present = listed and default.origin in self._count_upstreams(routes[location])
            _note_since(self._absent_since, location, now, not present)
            _note_since(self._unsettled_since, location, now, not default.settled)

    async def _synchronize(self) -> None:
        routes = self._list_resumable()
        if not routes:
            self._wanted.clear()
            return
        if self._wanted.is_set() or self._needs_read(routes):
            await self._read(routes)
        if self._is_writer() and self._needs_write():
            await self._write()

    def _needs_read(self, routes: Sequence[Route]) -> bool:
        age = _now() - self._read_at
        if any(route.location not in self._stored for route in routes):
            return age >= MISSING_READ_SECONDS
        if any(route.location in self._absent_since for route in routes):
            return age >= CHANGING_READ_SECONDS
        return self._used and age >= TRUSTED_READ_SECONDS

    async def _read(self, routes: Sequence[Route]) -> None:
        self._wanted.clear()
        self._used = False
        possible = {route.location: frozenset(self._count_upstreams(route)) for route in routes}
        read_at = _now()
        self._exists, self._revision = True, None
        shown: dict[str, DefaultOrigin] = {}
        try:
            stored = await self._store.get(STREAM_KIND, DEFAULTS_NAME)
            self._revision = stored.revision
            read = parse_defaults(stored.spec)
            # A restored store has an older state than this host.
            if read.epoch == stored.revision.epoch:
                shown = dict(read.defaults)
                self._defaults = dict(read.defaults)
        except NotFoundError:
            self._exists = False
        except BadEntryError as error:
            self._skipped.skip(STREAM_KIND, DEFAULTS_NAME, error, None)
        self._stored, self._confirmed, self._read_at = shown, possible, read_at

    def _choose_all(self) -> dict[str, DefaultOrigin]:
        """Return the defaults that the store should have."""
        chosen = dict(self._defaults)
        for location in self._list_forgotten():
            del chosen[location]
        for route in self._list_resumable():
            default = choose_default(self._defaults.get(route.location), self._observe_route(route))
            if default is not None:
                chosen[route.location] = default
        return chosen

    def _observe_route(self, route: Route) -> RouteObservation:
        now = _now()
        return RouteObservation(
            self._count_upstreams(route),
            absent=now - self._absent_since.get(route.location, now),
            unsettled=now - self._unsettled_since.get(route.location, now),
            listed=now - self._listed_since.get(route.location, now),
        )

    def _is_writer(self) -> bool:
        """Return whether this host writes the object; all hosts find the same one by a hash."""
        hosts = (item.host for item in self._list_members())
        return is_ranked_first(STREAM_KIND, self._host, hosts)

    def _needs_write(self) -> bool:
        """Return whether the store should have other defaults; not soon after a restore of it."""
        restoring = _now() - self._restored_at < MEMORY_SECONDS
        return not restoring and self._choose_all() != self._stored

    async def _write(self) -> None:
        """Read once more, and write what the store should have, at the revision that was read."""
        await self._read(self._list_resumable())
        self._observe()
        if not self._needs_write():
            return
        chosen = self._choose_all()
        spec = format_defaults(StoredDefaults(chosen, self._store.epochs.current))
        if self._exists:
            await self._store.replace(STREAM_KIND, DEFAULTS_NAME, spec, self._revision)
        else:
            await self._store.create(STREAM_KIND, DEFAULTS_NAME, spec)
        self._defaults, self._stored = chosen, dict(chosen)
        log_event(
            "stream defaults kept",
            defaults={name: f"{item.origin} {item.settled}" for name, item in chosen.items()},
        )

    def _list_forgotten(self) -> list[str]:
        """Return the locations whose streams can no longer be taken up, as no route has them."""
        expired_at = _now() - MEMORY_SECONDS
        return [
            location
            for location in self._defaults
            if location not in self._listed_since
            and self._absent_since.get(location, _now()) <= expired_at
        ]


def _note_since(since: dict[str, float], key: str, now: float, holds: bool) -> None:
    """Record since when something holds without a gap."""
    if holds:
        since.setdefault(key, now)
    else:
        since.pop(key, None)


def _now() -> float:
    return asyncio.get_running_loop().time()
