"""Operators' objects become the accepted configuration, or are refused with a reason.

The holder of the configuration lease validates what operators wrote and writes accepted
shards with rising epochs. A faulty edit leaves the accepted resource in its place; where
even that does not fit with the other edits, nothing is taken over until it is mended.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Success

from swifttrestle.internal.coordination.conditional_writes import strip_nonce
from swifttrestle.internal.protocol.platform import StoredObject
from swifttrestle.resources import (
    KINDS,
    FieldFault,
    Resource,
    find_faults,
    group_resources,
    parse_resource,
)

WORKSPACE_SHARDS = 8
MAX_SHARD_BYTES = 900_000


@dataclass(frozen=True)
class Verdict:
    """What is accepted now, and why the rest is not."""

    accepted: dict[str, Resource]
    faults: tuple[FieldFault, ...]


def decide_acceptance(stored: Iterable[StoredObject], accepted: dict[str, Resource]) -> Verdict:
    """Return what to accept, given operators' objects and what was accepted before."""
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
        clashes = find_faults(group_resources(wanted.values()))
        if not clashes:
            return Verdict(wanted, tuple(faults))
        faults.extend(clash for clash in clashes if clash not in faults)
        _put_back({clash.resource for clash in clashes}, wanted, accepted)
    return Verdict(dict(accepted), tuple(faults))


def _put_back(keys: set[str], wanted: dict[str, Resource], accepted: dict[str, Resource]) -> None:
    for key in keys:
        if key in accepted and wanted.get(key) != accepted[key]:
            wanted[key] = accepted[key]
        elif key in accepted:
            # It stood well before: what it needs was changed or deleted, so bring that back.
            _restore_needed(accepted, wanted)
        else:
            wanted.pop(key, None)


def _restore_needed(accepted: dict[str, Resource], wanted: dict[str, Resource]) -> None:
    for key, resource in accepted.items():
        if key not in wanted:
            wanted[key] = resource


def shard_of(resource: Resource) -> str:
    """Return the name of the shard that holds a resource."""
    if resource.KIND == "Workspace":
        return f"workspaces.{zlib.crc32(resource.name.encode()) % WORKSPACE_SHARDS}"
    if resource.KIND in ("Upstream", "Drain"):
        # Drains are kept apart from upstreams: they change often and stay few.
        return "drains" if resource.KIND == "Drain" else f"upstreams.{_zone(resource)}"
    return "fleet"


def _zone(resource: Resource) -> str:
    return str(getattr(resource, "zone", ""))


def split_shards(accepted: dict[str, Resource]) -> dict[str, list[dict[str, Any]]]:
    """Return the plain resources of each shard, in a fixed order."""
    shards: dict[str, list[dict[str, Any]]] = {}
    for key in sorted(accepted):
        resource = accepted[key]
        plain = {"kind": resource.KIND, "name": resource.name, "spec": resource.spec()}
        shards.setdefault(shard_of(resource), []).append(plain)
    return shards
