"""Keeps the fleet current from the discovery list, through cuts and outages of the store."""

import asyncio
import random
from collections.abc import Callable

from swifttrestle.errors import HistoryGoneError, PlatformUnavailableError
from swifttrestle.internal.lines import log_decision
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.platform.records import UPSTREAM_KIND, read_upstream
from swifttrestle.platform.store import Change, ObjectStore, StoredObject

# Seconds between two watches. Each upstream's heartbeat ends a waiting watch, so a watch
# without a pause would be a call for each heartbeat; this pace is well under the time in
# which a leaving upstream must get no new work.
PACE_SECONDS = 0.8
# Seconds a watch waits. Heartbeats end it sooner, so a longer silence means a broken path.
WAIT_SECONDS = 2.0
# First and longest pause after a failed call, in seconds.
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 0.8
# Seconds after an outage in which lapsed upstreams may come back before they count as gone;
# the platform promises about two.
RETURN_SECONDS = 2.2
# Failed calls in a row after which the store counts as away: a single one may be a cut watch.
FAILURES_FOR_OUTAGE = 2


class Discovery:
    """One task that lists and watches upstreams."""

    def __init__(
        self, store: ObjectStore, fleet: Fleet, rng: random.Random, changed: Callable[[], None]
    ) -> None:
        """Write into a fleet; `changed` is called after each change."""
        self._store = store
        self._fleet = fleet
        self._rng = rng
        self._changed = changed
        self._revision = 0
        self._failures = 0
        self._away = False
        self._trust_after = float("-inf")
        self._missing: set[str] = set()
        self.known = False

    async def run(self) -> None:
        """List, then watch, for as long as the process lives."""
        while True:
            try:
                if not self._revision:
                    await self._list()
                else:
                    await self._watch()
                self._note_answer()
                self._drop_missing()
                await asyncio.sleep(PACE_SECONDS)
            except HistoryGoneError:
                log_decision("discovery history gone", revision=self._revision)
                self._revision = 0
                await asyncio.sleep(self._rng.random() * PACE_SECONDS / 2)
            except PlatformUnavailableError as error:
                await self._wait_out(error)

    async def _list(self) -> None:
        snapshot = await self._store.list(UPSTREAM_KIND)
        self._note_answer()
        listed = {item.name for item in snapshot.items}
        for item in snapshot.items:
            self._put(item)
        for name in set(self._fleet.instances) - listed:
            self._remove(name)
        self._revision = snapshot.revision
        self.known = True
        self._changed()

    async def _watch(self) -> None:
        seen = await self._store.watch(UPSTREAM_KIND, self._revision, WAIT_SECONDS)
        self._note_answer()
        self._revision = seen.revision
        for change in seen.changes:
            self._apply(change)
        if seen.changes:
            self._changed()

    def _apply(self, change: Change) -> None:
        if change.removed:
            self._remove(change.item.name)
        else:
            self._put(change.item)

    def _put(self, item: StoredObject) -> None:
        try:
            record = read_upstream(item.name, item.spec)
        except PlatformUnavailableError as error:
            log_decision("discovery record skipped", instance=item.name, reason=str(error))
            return
        self._missing.discard(item.name)
        if self._fleet.put(record):
            log_decision(
                "instance listed",
                instance=item.name,
                service=record.service,
                role=record.role.value,
                leaving=record.leaving,
                revision=item.revision,
            )

    def _remove(self, name: str) -> None:
        if self._now() < self._trust_after:
            self._missing.add(name)
            return
        self._missing.discard(name)
        if self._fleet.remove(name):
            log_decision("instance gone", instance=name, revision=self._revision)

    def _drop_missing(self) -> None:
        if self._missing and self._now() >= self._trust_after:
            for name in list(self._missing):
                self._remove(name)
            self._changed()

    def _note_answer(self) -> None:
        self._failures = 0
        self._fleet.confirmed_at = self._now()
        if self._away:
            self._away = False
            self._trust_after = self._now() + RETURN_SECONDS
            log_decision("store regained", by="discovery")

    async def _wait_out(self, error: PlatformUnavailableError) -> None:
        # As for the configuration, only a fresh list tells what changed behind a cut watch.
        self._revision = 0
        self._failures += 1
        if self._failures >= FAILURES_FOR_OUTAGE and not self._away:
            self._away = True
            log_decision("store lost", by="discovery", reason=str(error))
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** min(self._failures - 1, 6))
        await asyncio.sleep(pause * (0.5 + self._rng.random()))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
