"""Keeps the fleet current from the discovery list, through cuts and outages of the store."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.errors import HistoryGoneError, PlatformUnavailableError
from swifttrestle.internal.coordination.entries import SkippedEntries, UpstreamEntries
from swifttrestle.internal.coordination.listing_relay import ListingRelay
from swifttrestle.internal.coordination.removals import Removals
from swifttrestle.internal.coordination.restored_entries import CopiedEntries
from swifttrestle.internal.coordination.store_availability import StoreAvailability
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.policy.backoff import draw_backoff
from swifttrestle.internal.protocol.listings import ListingChanges, join_changes
from swifttrestle.internal.state.declared import UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.store_epochs import NO_REVISION, StoreRevision
from swifttrestle.platform.objects import Change, MalformedObject, Snapshot, StoredObject
from swifttrestle.platform.records import UPSTREAM_KIND
from swifttrestle.platform.store import ObjectStore

# Least seconds between the starts of two calls. Each change of any record ends a waiting watch, so
# in a release or while roles change a watch without a pause would be a call for each of them; this
# pace is well under the time in which a leaving upstream must get no new work.
MIN_CALL_INTERVAL_SECONDS = 0.8
# Seconds from the end of one watch to that of the next, pause and wait together: so short that a
# path which is broken in silence is noticed in time, also with the store client's margin and the
# list that follows (docs/INVARIANTS.md adds them up).
WATCH_SECONDS = 1.6
# The same for a host that tells others what it sees: they take its silence for a fault.
RELAYING_WATCH_SECONDS = MIN_CALL_INTERVAL_SECONDS
# First and longest pause after a failed call, in seconds. All of it delays the moment from which
# removals count again after an outage.
FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.1, 0.4
# Seconds of silence after which a host that hears of changes from others reads the list
# itself: one and a half times the pace, so that a leaving upstream gets no new work after the
# two seconds promised, also where the host that told of it is gone.
RELAY_TIMEOUT_SECONDS = 1.2
# Seconds over which hosts spread what they read after a return of the store from a copy, where
# nothing else has them read at different moments.
RESTORE_SPREAD_SECONDS = 0.4
# Failed calls in a row after which the store counts as away: a single one may be a cut watch.
FAILURES_FOR_OUTAGE = 2


@dataclass(frozen=True)
class _Taken:
    """What became of an entry: whether it names an instance, and its record if that changed."""

    listed: bool
    changed: UpstreamRecord | None = None


class Discovery:
    """One task that lists and watches upstreams."""

    def __init__(
        self,
        store: ObjectStore,
        fleet: Fleet,
        rng: random.Random,
        relay: ListingRelay,
        changed: Callable[[], None],
        find_up_since: Callable[[], float],
        skipped: SkippedEntries,
    ) -> None:
        """Write into a fleet; `changed` is called after each change.

        `find_up_since` returns the loop's time since when the store has answered some peer.
        """
        self._relay = relay
        self._told = asyncio.Event()
        # Whether the list is to be read anew, and not only watched from the last revision.
        self._stale = True
        # Seconds to wait before that, so that not all read it at once.
        self._spread = 0.0
        self._told_at = float("-inf")
        # What this host told others last.
        self._last_told = ListingChanges(NO_REVISION, NO_REVISION, 0.0)
        self._store = store
        self._fleet = fleet
        self._entries = UpstreamEntries(fleet, skipped)
        self._rng = rng
        self._changed = changed
        self._revision = NO_REVISION
        # Seconds of the pause before the call that is under way.
        self._paused = 0.0
        self._failures = 0
        self._away = False
        # Outages that are over: a short one may come and go between two looks at
        # `store_unreachable`.
        self.store_returns = 0
        self._contact = StoreAvailability()
        self.removals = Removals(fleet, changed, find_up_since)
        self._copied = CopiedEntries(fleet)
        self.removals.note_dropped = lambda name: self._copied.note_withdrawn(name, self._now())
        self.known = False
        relay.receive(self._take_told)

    @property
    def store_unreachable(self) -> bool:
        """Whether the store has not answered this host's latest calls."""
        return self._away

    def count_store_seconds(self) -> float:
        """Return for how many seconds the store has answered this host without a break."""
        return self._contact.find_available_seconds(self._now())

    async def run(self) -> None:
        """List, then watch, for as long as the process lives."""
        while True:
            began = self._now()
            try:
                if self._stale:
                    await self._wait_turn()
                    await self._list()
                elif self._follows():
                    await self._follow()
                    continue
                else:
                    await self._watch()
                self._note_answer()
                self._paused = max(0.0, MIN_CALL_INTERVAL_SECONDS - (self._now() - began))
                await asyncio.sleep(self._paused)
            except HistoryGoneError:
                log_event("discovery history gone", revision=str(self._revision))
                self._stale = True
                if self._store.epochs.current == self._revision.epoch:
                    await asyncio.sleep(self._rng.random() * MIN_CALL_INTERVAL_SECONDS / 2)
            except PlatformUnavailableError as error:
                await self._wait_out(error)

    async def _wait_turn(self) -> None:
        seconds, self._spread = self._spread, 0.0
        await asyncio.sleep(seconds)

    async def _list(self) -> None:
        snapshot = await self._store.list(UPSTREAM_KIND)
        self._note_answer()
        self._stale = False
        same_epoch = snapshot.revision.epoch == self._revision.epoch
        if same_epoch and snapshot.revision < self._revision:
            # Another host has told of what is newer in the meantime.
            dropped, known = str(snapshot.revision), str(self._revision)
            log_event("older list dropped", revision=dropped, known=known)
            return
        if not same_epoch and self.known:
            self._begin_epoch(snapshot)
        self._revision = snapshot.revision
        listed = {item.name for item in snapshot.items if self._take(item).listed}
        for malformed in snapshot.malformed:
            self._take(malformed)
        if snapshot.complete:
            for name in self._fleet.list_names() - listed:
                self._remove(name)
        self.known = True
        self._changed()
        # What changed before this list was read is not known one by one.
        self._tell(self._revision, (), ())

    def _begin_epoch(self, snapshot: Snapshot) -> None:
        """Take the first list after a return of the store for the old copy that it is."""
        now = self._now()
        self._contact.record_outage()
        self._contact.record_answer(now)
        self.removals.note_epoch(now)
        left_aside = self._copied.begin(snapshot, now)
        log_event(
            "list of a returned store",
            revision=str(snapshot.revision),
            known=str(self._revision),
            left_aside=left_aside,
            missing=sorted(self._fleet.list_names() - {item.name for item in snapshot.items}),
        )

    async def _watch(self) -> None:
        longest = WATCH_SECONDS - self._paused
        wait = RELAYING_WATCH_SECONDS if self._relay.should_relay() else longest
        since = self._revision
        seen = await self._store.watch(UPSTREAM_KIND, since, wait)
        self._note_answer()
        if self._copied.drop_due(self._now()):
            self._stale = True
        if seen.revision < self._revision:
            # Another host has told of what is newer in the meantime.
            return
        self._revision = seen.revision
        records: dict[str, UpstreamRecord] = {}
        removed: set[str] = set()
        for change in seen.changes:
            # Only what holds at the end is told: an instance may go and come back in between.
            name = change.item.name
            taken = self._apply(change)
            if taken.changed is not None:
                records[name] = taken.changed
                removed.discard(name)
            elif name and not taken.listed:
                records.pop(name, None)
                removed.add(name)
        if seen.changes:
            self._changed()
        self._tell(since, tuple(records.values()), tuple(removed))

    def _apply(self, change: Change) -> _Taken:
        """Take one change over."""
        if not change.removed:
            return self._take(change.item)
        self._entries.forget(change.item.name)
        self._remove(change.item.name)
        return _Taken(listed=False)

    def _take(self, item: StoredObject | MalformedObject) -> _Taken:
        """Take one entry over; one that names no instance to use counts as gone."""
        record = self._entries.read(item)
        if record is not None:
            record = self._copied.judge(item, record)
        if record is None:
            self._remove(item.name)
            return _Taken(listed=False)
        changed = self._put_record(record, self._revision, "store")
        return _Taken(listed=True, changed=record if changed else None)

    def _put_record(self, record: UpstreamRecord, revision: StoreRevision, source: str) -> bool:
        if self._fleet.is_stale_record(record):
            return False
        was_missing = self.removals.restore(record.instance)
        self._copied.note_listed(record.instance)
        if not self._fleet.put(record):
            return was_missing
        log_event(
            "instance listed",
            instance=record.start,
            service=record.service,
            role=record.role.value,
            leaving=record.leaving,
            revision=str(revision),
            source=source,
        )
        return True

    # Changes that other hosts tell of.

    def _tell(
        self,
        since: StoreRevision,
        records: tuple[UpstreamRecord, ...],
        removed: tuple[str, ...],
    ) -> None:
        if not self._relay.should_relay():
            return
        removal_distrust_seconds = max(0.0, self.removals.find_trusted_from() - self._now())
        changes = ListingChanges(since, self._revision, removal_distrust_seconds, records, removed)
        # Each message repeats the one before, so that a lost one costs its hearers a pace, and
        # not a pace and a list that all of them ask for.
        self._relay.send(join_changes(self._last_told, changes))
        self._last_told = changes

    def _follows(self) -> bool:
        """Return whether another host watches for this one, and is heard."""
        return (
            self._now() - self._told_at < RELAY_TIMEOUT_SECONDS and not self._relay.should_watch()
        )

    async def _follow(self) -> None:
        """Wait for the next word of another host; read the list itself where none comes."""
        self._contact.record_outage()
        self._told.clear()
        try:
            async with asyncio.timeout(
                max(0.0, self._told_at + RELAY_TIMEOUT_SECONDS - self._now())
            ):
                await self._told.wait()
        except TimeoutError:
            log_event("list watcher silent", revision=str(self._revision))
            self._stale = True

    def _take_told(self, changes: ListingChanges) -> None:
        """Take over what another host has seen; read the list where something is missing.

        A host that cannot reach the store itself stays up to date by this. What the teller takes
        for withdrawn is gone here too, whatever this host, or another teller, has lost since.
        """
        if changes.revision < self._revision:
            return
        self._told_at = self._now()
        if changes.since > self._revision:
            self._stale = True
            if self.known and changes.since.epoch != self._revision.epoch:
                self._spread = self._rng.random() * RESTORE_SPREAD_SECONDS
        else:
            self._fleet.confirmed_at = self._told_at
            self._revision = changes.revision
            for record in changes.records:
                self._put_record(record, changes.revision, "peer")
            for name in changes.removed:
                self.removals.remove(
                    name, self._told_at + changes.removal_distrust_seconds, changes.revision
                )
        if changes.records or changes.removed:
            self._changed()
        self._told.set()

    def _remove(self, name: str) -> None:
        self.removals.remove(name, self.removals.find_trusted_from(), self._revision)

    def _note_answer(self) -> None:
        self._failures = 0
        now = self._now()
        self._fleet.confirmed_at = now
        self._contact.record_answer(now)
        if self._away:
            self._away = False
            self.store_returns += 1
            self.removals.note_return(now)
            log_event("store regained", by="discovery")

    async def _wait_out(self, error: PlatformUnavailableError) -> None:
        # As for the configuration, only a fresh list tells what changed behind a cut watch.
        self._stale = True
        if not self._failures:
            self.removals.note_loss(self._contact.answered_at)
        self._contact.record_outage()
        self._failures += 1
        if self._failures >= FAILURES_FOR_OUTAGE and not self._away:
            self._away = True
            log_event("store lost", by="discovery", reason=str(error))
        await asyncio.sleep(
            draw_backoff(self._rng, self._failures, FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
