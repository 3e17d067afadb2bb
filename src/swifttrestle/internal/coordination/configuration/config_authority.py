"""Validates operators' objects and writes accepted shards, under the configuration lease."""

from swifttrestle.errors import ConflictError, LeaseLostError, PlatformUnavailableError
from swifttrestle.internal.coordination.configuration.acceptance import (
    decide_acceptance,
    split_shards,
)
from swifttrestle.internal.coordination.duties.leases import LeaseManager
from swifttrestle.internal.coordination.store.conditional_writes import read_or_none, write_once
from swifttrestle.internal.coordination.store.object_cache import ObjectCache
from swifttrestle.internal.logs import log_info, log_warning
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.protocol.platform import ObjectApi
from swifttrestle.internal.state.config import ACCEPTED, ConfigStore, read_shard
from swifttrestle.resources import KINDS, FieldFault, Resource, ResourceSet


class ConfigAuthority:
    """Accepts configuration while it holds the lease. Not thread-safe."""

    def __init__(
        self,
        api: ObjectApi,
        cache: ObjectCache,
        lease: LeaseManager,
        store: ConfigStore,
        metrics: Metrics,
    ) -> None:
        self.lease = lease
        self._api = api
        self._cache = cache
        self._store = store
        self._metrics = metrics
        self._term = 0
        self._processed_versions: dict[str, int] = {}
        self.faults: tuple[FieldFault, ...] = ()

    def tick(self) -> None:
        """Renew or contend for the lease; as its holder, accept operators' changes."""
        self.lease.tick()
        if not self.lease.held:
            self._term = 0
            return
        try:
            if self._term != self.lease.check():
                self._begin_term()
            if self._cache.connected:
                self._accept()
        except (ConflictError, PlatformUnavailableError, LeaseLostError) as error:
            self._metrics.count("accept_waits_total", reason=error.code.name)
            self._processed_versions = {}

    def _begin_term(self) -> None:
        """Read the accepted shards from the platform, since the cache may be behind."""
        listing = self._api.list(ACCEPTED)
        copies = [read_shard(item.name, item.spec) for item in listing.items]
        self._store.apply(copy for copy in copies if copy is not None)
        self._processed_versions = {}
        self._term = self.lease.check()

    def _accept(self) -> None:
        stored = [item for kind in KINDS for item in self._cache.all(kind)]
        versions = {f"{item.kind}/{item.name}": item.version for item in stored}
        if versions == self._processed_versions:
            return
        accepted = list_resources(self._store.current)
        result = decide_acceptance(stored, accepted)
        if result.faults != self.faults:
            for fault in result.faults:
                log_warning("resource not accepted", fault=str(fault))
        self.faults = result.faults
        if result.accepted != accepted:
            self._write_shards(result.accepted, accepted)
        self._processed_versions = versions

    def _write_shards(self, wanted: dict[str, Resource], before: dict[str, Resource]) -> None:
        shards = split_shards(wanted)
        old = split_shards(before)
        # Resources that others refer to are in `fleet`, which is written first.
        for name in sorted({*shards, *old}, key=lambda n: (n != "fleet", n)):
            resources = shards.get(name, [])
            if resources == old.get(name, []):
                continue
            self.lease.check()
            self._write_shard(name, resources)

    def _write_shard(self, name: str, resources: list[dict]) -> None:
        stored = read_or_none(self._api, ACCEPTED, name)
        epoch = int(stored.spec["epoch"]) + 1 if stored else 1
        spec = {"epoch": epoch, "token": self.lease.check(), "resources": resources}
        written = write_once(self._api, ACCEPTED, name, spec, stored.version if stored else 0)
        self._cache.apply_own_write(written)
        log_info("configuration accepted", shard=name, epoch=epoch)


def list_resources(current: ResourceSet) -> dict[str, Resource]:
    """Return all resources of a set by key."""
    groups = vars(current).values()
    return {item.key: item for group in groups for item in group.values()}
