"""The accepted configuration that is in force in one process.

Shards arrive from the platform or from peers, in any order and possibly more than once. A shard
comes into force only if its epoch is higher than the current one, so that none ever reverts.
"""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from returns.result import Failure, Success

from swifttrestle.internal.logs import log_info, log_warning
from swifttrestle.internal.protocol.peers import ShardCopy
from swifttrestle.resources import Resource, ResourceSet, group_resources, parse_resource

ACCEPTED = "Accepted"
Listener = Callable[[ResourceSet], None]


class ConfigStore:
    """The accepted shards in force and their merged resources."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._shards: dict[str, ShardCopy] = {}
        self._parsed: dict[str, tuple[Resource, ...]] = {}
        self._listeners: list[Listener] = []
        self.current = ResourceSet()

    def subscribe(self, listener: Listener) -> None:
        """Call the listener with each new configuration, in the order of coming into force."""
        self._listeners.append(listener)

    def apply(self, shards: Iterable[ShardCopy]) -> bool:
        """Put newer shards in force; return whether anything changed."""
        with self._lock:
            changed = [shard for shard in shards if shard.epoch > self._epoch_of(shard.name)]
            if not changed:
                return False
            for shard in changed:
                self._shards[shard.name] = shard
                self._parsed[shard.name] = _parse_all(shard)
            resources = (item for part in self._parsed.values() for item in part)
            self.current = group_resources(resources)
            for listener in self._listeners:
                listener(self.current)
        for shard in changed:
            log_info("configuration in force", shard=shard.name, epoch=shard.epoch)
        return True

    def _epoch_of(self, name: str) -> int:
        shard = self._shards.get(name)
        return shard.epoch if shard else 0

    def epochs(self) -> dict[str, int]:
        """Return the epoch in force of each shard."""
        with self._lock:
            return {name: shard.epoch for name, shard in self._shards.items()}

    def copies(self, names: Iterable[str]) -> list[ShardCopy]:
        """Return those of the named shards that are in force here."""
        with self._lock:
            return [self._shards[name] for name in names if name in self._shards]

    def find_outdated(self, epochs: dict[str, int]) -> tuple[str, ...]:
        """Return the names of shards for which another process has a higher epoch."""
        with self._lock:
            return tuple(name for name, epoch in epochs.items() if epoch > self._epoch_of(name))


def read_shard(name: str, spec: dict[str, Any]) -> ShardCopy | None:
    """Return the shard of a stored object, or None if it is malformed."""
    epoch, resources = spec.get("epoch"), spec.get("resources")
    if not isinstance(epoch, int) or not isinstance(resources, list):
        log_warning("accepted shard malformed", shard=name)
        return None
    if not all(isinstance(item, dict) for item in resources):
        log_warning("accepted shard malformed", shard=name)
        return None
    return ShardCopy(name, epoch, resources)


def _parse_all(shard: ShardCopy) -> tuple[Resource, ...]:
    parsed = []
    for item in shard.resources:
        match parse_resource(str(item.get("kind")), item.get("name"), item.get("spec")):
            case Success(resource):
                parsed.append(resource)
            case Failure(faults):
                # During a rolling upgrade a newer process may write fields that this one does not
                # know: the rest of the shard stays usable.
                log_warning("accepted resource skipped", fault=str(faults[0]))
    return tuple(parsed)
