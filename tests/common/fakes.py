"""In-process fakes: a clock and an object API with faults."""

from swifttrestle.errors import ConflictError, NotFoundError, PlatformUnavailableError
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.coordination.store.entries import SkippedEntries
from swifttrestle.internal.protocol.platform import Listing, ObjectApi, StoredObject


class FakeClock(Clock):
    """A clock that only the test advances."""

    def __init__(self):
        self.time = 1000.0

    def now(self):
        return self.time


class FakeApi(ObjectApi):
    """Objects in memory; `lose` is the number of writes to apply without an answer."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.lose = 0
        self.down = False
        self.writes = 0

    def list(self, kind):
        self._check()
        items = tuple(o for (k, _), o in self.objects.items() if k == kind)
        return Listing(self.version, items)

    def read(self, kind, name):
        self._check()
        if (kind, name) not in self.objects:
            raise NotFoundError(name)
        return self.objects[kind, name]

    def write(self, kind, name, spec, version):
        self._check()
        current = self.objects.get((kind, name))
        if (current.version if current else 0) != version:
            raise ConflictError(name)
        self.version += 1
        self.writes += 1
        self.objects[kind, name] = StoredObject(kind, name, self.version, spec)
        if self.lose:
            self.lose -= 1
            raise PlatformUnavailableError("fault: the answer to the write was lost")
        return self.objects[kind, name]

    def delete(self, kind, name, version):
        self._check()
        del self.objects[kind, name]

    def watch(self, kinds, since):
        raise PlatformUnavailableError("the fake object API has no watches")

    def _check(self):
        if self.down:
            raise PlatformUnavailableError("fault: the object API is down")


class FakeCache:
    """The interface of an object cache that leases use, reading the fake API directly."""

    def __init__(self, api, clock):
        self._api = api
        self._clock = clock
        self._seen = {}
        self.connected = True

    class _Synced:
        def is_set(self):
            return True

    synced = _Synced()

    def get(self, kind, name):
        found = self._api.objects.get((kind, name))
        if found and self._seen.get((kind, name), (0, 0))[0] != found.version:
            self._seen[kind, name] = (found.version, self._clock.now())
        return found

    def unchanged_since(self, kind, name):
        self.get(kind, name)
        return self._seen[kind, name][1]

    def apply_own_write(self, item):
        self.get(item.kind, item.name)


def make_skipped_entries():
    """Return a counter of skipped entries without a metric."""
    return SkippedEntries(lambda kind, field: None)
