"""CPU and memory of accepting and applying configuration, for several fleet sizes."""

import hashlib
import time

import orjson
import psutil

from swifttrestle.internal.coordination.configuration.acceptance import (
    decide_acceptance,
    split_shards,
)
from swifttrestle.internal.logs import setup_logs
from swifttrestle.internal.protocol.peers import ShardCopy
from swifttrestle.internal.protocol.platform import StoredObject
from swifttrestle.internal.state.config import ConfigStore
from swifttrestle.resources import Resource

# Numbers of upstreams and of workspaces.
SIZES = ((1000, 31), (3000, 93), (10_000, 310))
MODELS, ZONES = 11, 13


def make_objects(upstreams: int, workspaces: int) -> list[StoredObject]:
    """Return the operators' objects of a fleet."""
    found = []
    for n in range(MODELS):
        spec = {"versions": ["v1"], "version": "v1"}
        found.append(StoredObject("Model", f"model-{n}", 1, spec))
    for n in range(workspaces):
        digest = hashlib.sha256(str(n).encode()).hexdigest()
        found.append(StoredObject("Workspace", f"workspace-{n}", 1, {"key_sha256": [digest]}))
    for n in range(upstreams):
        upstream = {
            "type": "engine", "address": f"10.{n % 250}.{n // 250}.1:8000",
            "zone": f"zone-{n % ZONES}", "model": f"model-{n % MODELS}", "fencing": "checked",
        }  # fmt: skip
        found.append(StoredObject("Upstream", f"worker-{n}", 1, upstream))
    return found


def main() -> None:
    """Print the table; times in CPU seconds of this process."""
    setup_logs("bench", "text", "ERROR")
    print("| upstreams | workspaces | accept one edit s | split s | apply all s | "
          "largest shard kB | apply one shard s | memory MB |")  # fmt: skip
    print("|" + "---|" * 8)
    for upstreams, workspaces in SIZES:
        objects = make_objects(upstreams, workspaces)
        accepted: dict[str, Resource] = decide_acceptance(objects, {}).accepted
        began = time.process_time()
        decide_acceptance(objects, accepted)
        decided = time.process_time()
        shards = split_shards(accepted)
        split = time.process_time()
        store = ConfigStore()
        store.apply([ShardCopy(name, 1, items) for name, items in shards.items()])
        applied = time.process_time()
        name = max(shards, key=lambda n: len(shards[n]))
        store.apply([ShardCopy(name, 2, shards[name])])
        shard_applied = time.process_time()
        largest = len(orjson.dumps(shards[name])) / 1000
        memory = psutil.Process().memory_info().rss / 1e6
        print(
            f"| {upstreams} | {workspaces} | {decided - began:.2f} | {split - decided:.2f} | "
            f"{applied - split:.2f} | {largest:.0f} | {shard_applied - applied:.3f} | "
            f"{memory:.0f} |"
        )


if __name__ == "__main__":
    main()
