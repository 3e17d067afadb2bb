"""Validation of operators' objects and their division into shards of accepted configuration.

The holder of the configuration lease validates what operators wrote and writes accepted shards
with increasing epochs. An invalid edit leaves the accepted resource in place. Where that resource
conflicts with other edits, no edit is accepted until the conflict is resolved.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Success

from swifttrestle.internal.coordination.store.conditional_writes import strip_nonce
from swifttrestle.internal.protocol.platform import StoredObject
from swifttrestle.resources import (
    KINDS,
    FieldFault,
    Resource,
    find_reference_errors,
    group_resources,
    parse_resource,
)

WORKSPACE_SHARD_COUNT = 8
MAX_SHARD_BYTES = 900_000


@dataclass(frozen=True)
class AcceptanceResult:
    """The accepted resources by key, and the faults of the rejected ones."""

    accepted: dict[str, Resource]
    faults: tuple[FieldFault, ...]


def decide_acceptance(
    stored: Iterable[StoredObject], accepted: dict[str, Resource]
) -> AcceptanceResult:
    """Return what to accept, given operators' objects and the resources accepted so far."""
    wanted: dict[str, Resource] = {}
    faults: list[FieldFault] = []
    for item in stored:
        key = f"{item.kind}/{item.name}"
        match parse_resource(item.kind, item.name, strip_nonce(item)):
            case Success(resource):
                wanted[key] = resource
            case Failure(found):
                faults.extend(found)
                if key in accepted:
                    wanted[key] = accepted[key]
    for _ in range(len(KINDS)):
        conflicts = find_reference_errors(group_resources(wanted.values()))
        if not conflicts:
            return AcceptanceResult(wanted, tuple(faults))
        faults.extend(conflict for conflict in conflicts if conflict not in faults)
        _revert({conflict.resource for conflict in conflicts}, wanted, accepted)
    return AcceptanceResult(dict(accepted), tuple(faults))


def _revert(keys: set[str], wanted: dict[str, Resource], accepted: dict[str, Resource]) -> None:
    for key in keys:
        if key in accepted and wanted.get(key) != accepted[key]:
            wanted[key] = accepted[key]
        elif key in accepted:
            # The resource itself is unchanged, so one that it refers to was changed or deleted.
            _restore_missing(accepted, wanted)
        else:
            wanted.pop(key, None)


def _restore_missing(accepted: dict[str, Resource], wanted: dict[str, Resource]) -> None:
    for key, resource in accepted.items():
        if key not in wanted:
            wanted[key] = resource


def shard_of(resource: Resource) -> str:
    """Return the name of the shard that holds a resource."""
    if resource.KIND == "Workspace":
        return f"workspaces.{zlib.crc32(resource.name.encode()) % WORKSPACE_SHARD_COUNT}"
    if resource.KIND in ("Upstream", "Drain"):
        # Drains have a shard of their own: they change often and are few.
        return "drains" if resource.KIND == "Drain" else f"upstreams.{_zone(resource)}"
    return "fleet"


def _zone(resource: Resource) -> str:
    return str(getattr(resource, "zone", ""))


def split_shards(accepted: dict[str, Resource]) -> dict[str, list[dict[str, Any]]]:
    """Return the resources of each shard in stored form, sorted by key."""
    shards: dict[str, list[dict[str, Any]]] = {}
    for key in sorted(accepted):
        resource = accepted[key]
        entry = {"kind": resource.KIND, "name": resource.name, "spec": resource.spec()}
        shards.setdefault(shard_of(resource), []).append(entry)
    return shards
