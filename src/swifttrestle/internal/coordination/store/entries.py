"""Validates entries of the store; logs each invalid one once and continues with the others."""

import zlib
from collections import OrderedDict
from collections.abc import Callable

from swifttrestle.errors import BadEntryError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.declared import UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.platform.objects import MalformedObject, StoredObject
from swifttrestle.platform.records import UPSTREAM_KIND, read_upstream

# Maximum number of logged entries that are remembered, so that each is logged only once. Some 200
# bytes each; a fleet of 10,000 upstreams hardly has more invalid entries at a time.
MAX_REMEMBERED_ENTRIES = 1000

CountSkipped = Callable[[str, str], None]


class SkippedEntries:
    """Logs and counts invalid entries, once for each content."""

    def __init__(self, count: CountSkipped) -> None:
        """Call `count` with the kind and the field of each skipped entry."""
        self._count = count
        self._logged: OrderedDict[tuple[str, str], int] = OrderedDict()

    def skip(self, kind: str, name: str, error: BadEntryError, content: object) -> None:
        """Log and count an invalid entry; `name` is empty if it cannot be read."""
        digest = zlib.crc32(repr(content).encode("utf-8", "replace"))
        # Entries without a name are identified by their content.
        key = (kind, name or str(digest))
        if self._logged.get(key) == digest:
            return
        self._logged[key] = digest
        self._logged.move_to_end(key)
        if len(self._logged) > MAX_REMEMBERED_ENTRIES:
            self._logged.popitem(last=False)
        self._count(kind, error.field)
        log_event("entry skipped", kind=kind, name=name, field=error.field, reason=str(error))

    def clear(self, kind: str, name: str) -> None:
        """Record that an entry is valid, so that it is logged if it becomes invalid again."""
        self._logged.pop((kind, name), None)


class UpstreamEntries:
    """Reads the entries of the discovery list and checks their start times."""

    def __init__(self, fleet: Fleet, skipped: SkippedEntries) -> None:
        """Report invalid entries to `skipped`."""
        self._fleet = fleet
        self._skipped = skipped
        # The latest start time that each listed instance has written.
        self._latest_start: dict[str, int] = {}

    def read(self, item: StoredObject | MalformedObject) -> UpstreamRecord | None:
        """Return the record of an entry, or None if the entry is invalid."""
        if isinstance(item, MalformedObject):
            self._skipped.skip(item.kind, item.name, item.error, item.content)
            return None
        try:
            record = read_upstream(item.name, item.spec)
            self._check_start(record)
        except BadEntryError as error:
            self._skipped.skip(item.kind, item.name, error, item.spec)
            return None
        self._skipped.clear(UPSTREAM_KIND, item.name)
        return record

    def discard(self, name: str) -> None:
        """Record that an instance is not listed; its next record may have any start time."""
        self._latest_start.pop(name, None)
        self._skipped.clear(UPSTREAM_KIND, name)

    def _check_start(self, record: UpstreamRecord) -> None:
        """Raise BadEntryError if the start time is missing although it was written before."""
        known = self._latest_start.get(record.instance, 0)
        if known and not record.born:
            what = f"record of {record.instance}"
            raise BadEntryError(what, "born", None, f"it is missing, but was {known}")
        if record.born:
            self._latest_start[record.instance] = max(known, record.born)
