"""Keeps the fleet current from the discovery list, also across outages of the store."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.errors import HistoryGoneError, PlatformUnavailableError
from swifttrestle.internal.coordination.discovery.listing_relay import ListingRelay
from swifttrestle.internal.coordination.discovery.removals import Removals
from swifttrestle.internal.coordination.discovery.restored_entries import RestoredEntries
from swifttrestle.internal.coordination.store.entries import SkippedEntries, UpstreamEntries
from swifttrestle.internal.coordination.store.store_availability import StoreAvailability
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.policy.backoff import draw_backoff
from swifttrestle.internal.protocol.listings import ListingChanges, join_changes
from swifttrestle.internal.state.declared import UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.store_epochs import NO_REVISION, StoreRevision
from swifttrestle.platform.objects import Change, MalformedObject, Snapshot, StoredObject
from swifttrestle.platform.records import UPSTREAM_KIND
from swifttrestle.platform.store import ObjectStore

# Minimum seconds between the starts of two calls. Without it every change of a record would cost a
# call, since each change ends a pending watch. During a release or role changes there are many. The
# interval is well below the time in which a draining upstream must stop getting new work.
MIN_CALL_INTERVAL_SECONDS = 0.8
# Seconds from the end of one watch to the end of the next, including the pause between them. Bounds
# the time in which a silently broken path to the store is noticed (see docs/INVARIANTS.md).
WATCH_SECONDS = 1.6
# Seconds of a watch on a relaying host, whose peers treat its silence as a fault.
RELAYING_WATCH_SECONDS = MIN_CALL_INTERVAL_SECONDS
# Initial and maximum backoff after a failed call, in seconds. They delay the time from which
# removals are trusted again after an outage.
FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.1, 0.4
# Seconds without a relayed message after which a host reads the list itself. Must be less than the
# time in which a draining upstream must stop getting new work. One and a half times
# MIN_CALL_INTERVAL_SECONDS, so that this also holds where the relaying host is gone.
RELAY_TIMEOUT_SECONDS = 1.2
# Seconds over which hosts spread their reads after a restore of the store.
RESTORE_SPREAD_SECONDS = 0.4
# Consecutive failed calls after which the store counts as unreachable; a single failure may be a
# broken watch.
FAILURES_FOR_OUTAGE = 2


@dataclass(frozen=True)
class _EntryResult:
    """Result of applying an entry: whether it names an instance, and its record if changed."""

    listed: bool
    changed: UpstreamRecord | None = None


class Discovery:
    """Lists and watches the upstreams, or follows another host that does."""

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

        `find_up_since` returns since when, in the loop's time, the store has answered some peer
        without interruption.
        """
        self._relay = relay
        self._relayed = asyncio.Event()
        # Whether the whole list must be read again before the next watch.
        self._must_list = True
        # Seconds to wait before that read, so that hosts do not all read at once.
        self._spread_seconds = 0.0
        self._relayed_at = float("-inf")
        # The changes that this host relayed last.
        self._last_sent = ListingChanges(NO_REVISION, NO_REVISION, 0.0)
        self._store = store
        self._fleet = fleet
        self._entries = UpstreamEntries(fleet, skipped)
        self._rng = rng
        self._changed = changed
        self._revision = NO_REVISION
        # Seconds of the pause before the current call.
        self._pause_seconds = 0.0
        self._failures = 0
        self._is_store_unreachable = False
        # Number of outages that are over. A short one may pass between two reads of
        # `store_unreachable`.
        self.store_recoveries = 0
        self._availability = StoreAvailability()
        self.removals = Removals(fleet, changed, find_up_since)
        self._restored_entries = RestoredEntries(fleet)
        self.removals.on_dropped = lambda name: self._restored_entries.note_withdrawn(
            name, self._now()
        )
        self.known = False
        relay.set_receiver(self._apply_relayed)

    @property
    def store_unreachable(self) -> bool:
        """Whether this host's latest calls to the store failed."""
        return self._is_store_unreachable

    def count_store_seconds(self) -> float:
        """Return for how many seconds the store has answered this host without interruption."""
        return self._availability.find_available_seconds(self._now())

    async def run(self) -> None:
        """List, then watch or follow, until cancelled."""
        while True:
            began = self._now()
            try:
                if self._must_list:
                    await self._wait_spread()
                    await self._list()
                elif self._relies_on_relay():
                    await self._wait_for_relayed()
                    continue
                else:
                    await self._watch()
                self._pause_seconds = max(0.0, MIN_CALL_INTERVAL_SECONDS - (self._now() - began))
                await asyncio.sleep(self._pause_seconds)
            except HistoryGoneError:
                log_event("discovery history gone", revision=str(self._revision))
                self._must_list = True
                if self._store.epochs.current == self._revision.epoch:
                    await asyncio.sleep(self._rng.random() * MIN_CALL_INTERVAL_SECONDS / 2)
            except PlatformUnavailableError as error:
                await self._back_off(error)

    def note_failure(self) -> None:
        """Count the store as unreachable until it has been read again: the list may be outdated."""
        self._note_outage(FAILURES_FOR_OUTAGE, "the list could not be applied")

    async def _wait_spread(self) -> None:
        seconds, self._spread_seconds = self._spread_seconds, 0.0
        await asyncio.sleep(seconds)

    async def _list(self) -> None:
        asked_at = self._now()
        snapshot = await self._store.list(UPSTREAM_KIND)
        self._note_answer(asked_at)
        self._must_list = False
        same_epoch = snapshot.revision.epoch == self._revision.epoch
        if same_epoch and snapshot.revision < self._revision:
            # Another host has relayed newer changes in the meantime.
            dropped, known = str(snapshot.revision), str(self._revision)
            log_event("older list dropped", revision=dropped, known=known)
            return
        if not same_epoch and self.known:
            self._begin_epoch(snapshot)
        self._revision = snapshot.revision
        listed = {item.name for item in snapshot.items if self._apply_entry(item).listed}
        for malformed in snapshot.malformed:
            self._apply_entry(malformed)
        if snapshot.complete:
            for name in self._fleet.list_names() - listed:
                self._remove(name)
        self.known = True
        self._changed()
        # The individual changes before this list are not known.
        self._relay_changes(self._revision, (), ())

    def _begin_epoch(self, snapshot: Snapshot) -> None:
        """Prepare for the first list after a restore of the store; the list may be outdated."""
        now = self._now()
        self._availability.record_outage()
        self._availability.record_answer(now)
        self.removals.note_restore(now)
        left_aside = self._restored_entries.record_restored_list(snapshot, now)
        log_event(
            "list of a returned store",
            revision=str(snapshot.revision),
            known=str(self._revision),
            left_aside=left_aside,
            missing=sorted(self._fleet.list_names() - {item.name for item in snapshot.items}),
        )

    async def _watch(self) -> None:
        max_seconds = WATCH_SECONDS - self._pause_seconds
        watch_seconds = RELAYING_WATCH_SECONDS if self._relay.should_relay() else max_seconds
        asked_at = self._now()
        seen = await self._store.watch(UPSTREAM_KIND, self._revision, watch_seconds)
        self._note_answer(asked_at)
        if self._restored_entries.drop_expired(self._now()):
            self._must_list = True
        if seen.revision < self._revision:
            # Another host has relayed newer changes in the meantime.
            return
        # The changes below lack those that another host has relayed during the watch.
        since, self._revision = self._revision, seen.revision
        records: dict[str, UpstreamRecord] = {}
        removed: set[str] = set()
        for change in seen.changes:
            # Only the final state is relayed: an instance may be removed and listed again.
            name = change.item.name
            result = self._apply_change(change)
            if result.changed is not None:
                records[name] = result.changed
                removed.discard(name)
            elif name and not result.listed:
                records.pop(name, None)
                removed.add(name)
        if seen.changes:
            self._changed()
        self._relay_changes(since, tuple(records.values()), tuple(removed))

    def _apply_change(self, change: Change) -> _EntryResult:
        """Apply one change."""
        if not change.removed:
            return self._apply_entry(change.item)
        self._entries.discard(change.item.name)
        self._remove(change.item.name)
        return _EntryResult(listed=False)

    def _apply_entry(self, item: StoredObject | MalformedObject) -> _EntryResult:
        """Apply one entry; an instance whose entry is not usable is removed."""
        record = self._entries.read(item)
        if record is not None:
            record = self._restored_entries.resolve(item, record)
        if record is None:
            self._remove(item.name)
            return _EntryResult(listed=False)
        changed = self._put_record(record, self._revision, "store")
        return _EntryResult(listed=True, changed=record if changed else None)

    def _put_record(self, record: UpstreamRecord, revision: StoreRevision, source: str) -> bool:
        if self._fleet.is_stale_record(record):
            return False
        was_missing = self.removals.cancel(record.instance)
        self._restored_entries.note_listed(record.instance)
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

    # Relayed changes.

    def _relay_changes(
        self,
        since: StoreRevision,
        records: tuple[UpstreamRecord, ...],
        removed: tuple[str, ...],
    ) -> None:
        if not self._relay.should_relay():
            return
        removal_distrust_seconds = max(0.0, self.removals.find_trusted_at() - self._now())
        changes = ListingChanges(since, self._revision, removal_distrust_seconds, records, removed)
        # Each message repeats the previous one, so that recipients need not read the list after
        # a single lost message.
        self._relay.send(join_changes(self._last_sent, changes))
        self._last_sent = changes

    def _relies_on_relay(self) -> bool:
        """Return whether another host relays changes to this one and has done so recently."""
        return (
            self._now() - self._relayed_at < RELAY_TIMEOUT_SECONDS
            and not self._relay.should_watch()
        )

    async def _wait_for_relayed(self) -> None:
        """Wait for the next relayed message; schedule a read of the list if none arrives."""
        self._availability.record_outage()
        self._relayed.clear()
        try:
            async with asyncio.timeout(
                max(0.0, self._relayed_at + RELAY_TIMEOUT_SECONDS - self._now())
            ):
                await self._relayed.wait()
        except TimeoutError:
            log_event("list watcher silent", revision=str(self._revision))
            self._must_list = True

    def _apply_relayed(self, changes: ListingChanges) -> None:
        """Apply changes that another host relays; schedule a read of the list after a gap.

        Keeps a host up to date that cannot reach the store itself. The sender decides from when a
        removal is trusted, whatever this host or another sender has missed.
        """
        if changes.revision < self._revision:
            return
        self._relayed_at = self._now()
        if changes.since > self._revision:
            self._must_list = True
            if self.known and changes.since.epoch != self._revision.epoch:
                self._spread_seconds = self._rng.random() * RESTORE_SPREAD_SECONDS
        else:
            self._fleet.confirmed_at = self._relayed_at
            self._revision = changes.revision
            for record in changes.records:
                self._put_record(record, changes.revision, "peer")
            for name in changes.removed:
                self.removals.remove(
                    name, self._relayed_at + changes.removal_distrust_seconds, changes.revision
                )
        if changes.records or changes.removed:
            self._changed()
        self._relayed.set()

    def _remove(self, name: str) -> None:
        self.removals.remove(name, self.removals.find_trusted_at(), self._revision)

    def _note_answer(self, asked_at: float) -> None:
        """Record that the store has answered; the answer may have waited while this host stood."""
        self._failures = 0
        now = self._now()
        self._fleet.confirmed_at = max(self._fleet.confirmed_at, asked_at)
        self._availability.record_answer(now)
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            self.store_recoveries += 1
            self.removals.note_outage_end(now)
            log_event("store regained", by="discovery")

    def _note_outage(self, failures: int, reason: str) -> None:
        """Count `failures` more failures of the store's list."""
        # A new watch could miss changes since the broken one: read the list again.
        self._must_list = True
        if not self._failures:
            self.removals.note_outage(self._availability.last_answer_at)
        self._availability.record_outage()
        self._failures += failures
        if self._failures >= FAILURES_FOR_OUTAGE and not self._is_store_unreachable:
            self._is_store_unreachable = True
            log_event("store lost", by="discovery", reason=reason)

    async def _back_off(self, error: PlatformUnavailableError) -> None:
        self._note_outage(1, str(error))
        await asyncio.sleep(
            draw_backoff(self._rng, self._failures, FIRST_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS)
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
