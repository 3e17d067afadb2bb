"""Entries that stand in the list again since the store came back from an older copy.

A copy may hold an upstream that was withdrawn since, and call one ready that has said since that it
leaves. What this host knew counts against such an entry until its upstream has written it again,
which shows by its revision. An upstream that lives checks in without changing its entry, so that
one which still stands when it would have lapsed names a live one.
"""

from dataclasses import dataclass, replace

from swifttrestle.internal.state.declared import UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.store_epochs import StoreRevision
from swifttrestle.platform.objects import MalformedObject, Snapshot, StoredObject

# Seconds for which a withdrawn instance is remembered: the oldest copy that a store comes back
# from, and the time for which it may be away and this host not hear of it.
WITHDRAWN_SECONDS = 30.0
# Seconds after which an entry has lapsed whose upstream does not check in: the platform takes it
# away after three silences of 1.2 s, the first of which may begin two seconds after the return.
LAPSE_SECONDS = 6.0


@dataclass(frozen=True)
class _Copied:
    """An entry that counts less than what was known, as it came back; `until` is the loop's."""

    revision: StoreRevision
    withdrawn: bool
    until: float


class CopiedEntries:
    """What was known of instances before a return, against the entries of the copy."""

    def __init__(self, fleet: Fleet) -> None:
        """Compare with the instances that `fleet` uses."""
        self._fleet = fleet
        self._withdrawn: dict[str, float] = {}
        self._copied: dict[str, _Copied] = {}

    def note_withdrawn(self, name: str, now: float) -> None:
        """Take over that an instance is not used any more, since the list lacks it."""
        self._withdrawn = {
            item: at for item, at in self._withdrawn.items() if now - at < WITHDRAWN_SECONDS
        }
        self._withdrawn[name] = now

    def note_listed(self, name: str) -> None:
        """Take over that an instance is used again."""
        self._withdrawn.pop(name, None)

    def begin(self, snapshot: Snapshot, now: float) -> list[str]:
        """Take over the first list after a return; return the names that count less than known."""
        self._copied.clear()
        for item in snapshot.items:
            if now - self._withdrawn.get(item.name, float("-inf")) < WITHDRAWN_SECONDS:
                self._copied[item.name] = _Copied(item.revision, True, now + LAPSE_SECONDS)
            elif self._is_leaving(item.name):
                self._copied[item.name] = _Copied(item.revision, False, float("inf"))
        return sorted(self._copied)

    def drop_due(self, now: float) -> bool:
        """Let go of entries that had time to lapse; return whether the list is to be read anew."""
        before = len(self._copied)
        self._copied = {name: item for name, item in self._copied.items() if now < item.until}
        return len(self._copied) < before

    def judge(
        self, item: StoredObject | MalformedObject, record: UpstreamRecord
    ) -> UpstreamRecord | None:
        """Return what counts of an entry's record: None where it names no instance to use."""
        copied = self._copied.get(item.name)
        if copied is None or not isinstance(item, StoredObject):
            return record
        if item.revision != copied.revision:
            del self._copied[item.name]
            return record
        return None if copied.withdrawn else replace(record, leaving=True)

    def _is_leaving(self, name: str) -> bool:
        known = self._fleet.find_start(name)
        return known is not None and known.record.leaving
