"""Finds outdated entries of the discovery list after the store was restored from an older copy.

The copy may hold an upstream that has been withdrawn since, or show one as ready that has announced
since that it is draining. What this host knew takes precedence over such an entry until its
upstream writes it again, which changes its revision. A live upstream may also check in without
changing its entry, so an entry that is still listed after it would have expired is used as well.
"""

from dataclasses import dataclass, replace

from swifttrestle.internal.state.declared import UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.store_epochs import StoreRevision
from swifttrestle.platform.objects import MalformedObject, Snapshot, StoredObject

# Seconds for which a withdrawn instance is remembered: the maximum age of a copy, plus the time for
# which the store may be unreachable.
WITHDRAWN_MEMORY_SECONDS = 30.0
# Seconds after a restore by which the platform has removed the entry of an upstream that no longer
# checks in. The platform removes it after three silences of 1.2 s, the first of which may begin two
# seconds after the restore.
EXPIRY_SECONDS = 6.0


@dataclass(frozen=True)
class _OutdatedEntry:
    """An outdated entry as it was restored; `until` is in the event loop's time."""

    revision: StoreRevision
    withdrawn: bool
    until: float


class RestoredEntries:
    """Compares the entries of a restored store with what was known of their instances before."""

    def __init__(self, fleet: Fleet) -> None:
        """Compare with the instances that `fleet` uses."""
        self._fleet = fleet
        self._withdrawn: dict[str, float] = {}
        self._outdated: dict[str, _OutdatedEntry] = {}

    def note_withdrawn(self, name: str, now: float) -> None:
        """Record that an instance is no longer used, since the list lacks it."""
        self._withdrawn = {
            item: at for item, at in self._withdrawn.items() if now - at < WITHDRAWN_MEMORY_SECONDS
        }
        self._withdrawn[name] = now

    def note_listed(self, name: str) -> None:
        """Record that an instance is used again."""
        self._withdrawn.pop(name, None)

    def record_restored_list(self, snapshot: Snapshot, now: float) -> list[str]:
        """Record the first list after a restore; return the names of its outdated entries."""
        self._outdated.clear()
        for item in snapshot.items:
            if now - self._withdrawn.get(item.name, float("-inf")) < WITHDRAWN_MEMORY_SECONDS:
                self._outdated[item.name] = _OutdatedEntry(
                    item.revision, True, now + EXPIRY_SECONDS
                )
            elif self._is_leaving(item.name):
                self._outdated[item.name] = _OutdatedEntry(item.revision, False, float("inf"))
        return sorted(self._outdated)

    def drop_expired(self, now: float) -> bool:
        """Discard entries that would have expired by now; return whether to read the list again."""
        before = len(self._outdated)
        self._outdated = {name: item for name, item in self._outdated.items() if now < item.until}
        return len(self._outdated) < before

    def resolve(
        self, item: StoredObject | MalformedObject, record: UpstreamRecord
    ) -> UpstreamRecord | None:
        """Return the record to use for an entry, or None if its instance is not to be used."""
        outdated = self._outdated.get(item.name)
        if outdated is None or not isinstance(item, StoredObject):
            return record
        if item.revision != outdated.revision:
            del self._outdated[item.name]
            return record
        return None if outdated.withdrawn else replace(record, leaving=True)

    def _is_leaving(self, name: str) -> bool:
        known = self._fleet.find_current_incarnation(name)
        return known is not None and known.record.leaving
