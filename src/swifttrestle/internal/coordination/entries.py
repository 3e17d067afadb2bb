"""Entries of the store that cannot be taken: each is told of once, and hides no other."""

import zlib
from collections import OrderedDict
from collections.abc import Callable

from swifttrestle.errors import BadEntryError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.declared import UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.platform.objects import MalformedObject, StoredObject
from swifttrestle.platform.records import UPSTREAM_KIND, read_upstream

# Entries that are remembered as told of: each costs some 200 bytes, and a fleet of 10,000
# upstreams has hardly more stray ones at a time.
MOST_REMEMBERED = 1000

Counter = Callable[[str, str], None]


class SkippedEntries:
    """Logs each content that cannot be taken once, and counts all by kind and field."""

    def __init__(self, count: Counter) -> None:
        """Call `count` with the kind and the field of each entry that is skipped."""
        self._count = count
        self._told: OrderedDict[tuple[str, str], int] = OrderedDict()

    def skip(self, kind: str, name: str, error: BadEntryError, content: object) -> None:
        """Note that an entry was not taken; a name that cannot be read is empty."""
        digest = zlib.crc32(repr(content).encode("utf-8", "replace"))
        # Entries without a name are told apart by their content alone.
        key = (kind, name or str(digest))
        if self._told.get(key) == digest:
            return
        self._told[key] = digest
        self._told.move_to_end(key)
        if len(self._told) > MOST_REMEMBERED:
            self._told.popitem(last=False)
        self._count(kind, error.field)
        log_event("entry skipped", kind=kind, name=name, field=error.field, reason=str(error))

    def clear(self, kind: str, name: str) -> None:
        """Note that an entry was taken: a wrong one after it is news again."""
        self._told.pop((kind, name), None)


class UpstreamEntries:
    """Reads the entries of the discovery list against what is known of their starts."""

    def __init__(self, fleet: Fleet, skipped: SkippedEntries) -> None:
        """Compare with the starts that `fleet` uses."""
        self._fleet = fleet
        self._skipped = skipped
        # The latest start that each listed instance told.
        self._born: dict[str, int] = {}

    def read(self, item: StoredObject | MalformedObject) -> UpstreamRecord | None:
        """Return the record of an entry, or None where it names no instance to use."""
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

    def forget(self, name: str) -> None:
        """Note that an instance is not listed any more; whatever is listed next counts."""
        self._born.pop(name, None)
        self._skipped.clear(UPSTREAM_KIND, name)

    def _check_start(self, record: UpstreamRecord) -> None:
        """Raise BadEntryError where a field is missing that the same upstream has told."""
        told = self._born.get(record.instance, 0)
        if told and not record.born:
            what = f"record of {record.instance}"
            raise BadEntryError(what, "born", None, f"it is missing, and was {told}")
        if record.born:
            self._born[record.instance] = max(told, record.born)
