"""Resources of a small fleet, for benchmarks and tests."""

import hashlib
from pathlib import Path
from typing import Any

import yaml

from swifttrestle_standins.fleet import Fleet

KEY = "bench-key-of-loopback-only"


def make_resources(
    engines: dict[str, str], zone: str = "a", fencing: str = "checked", **policy: Any
) -> list[dict]:
    """Return resources of one model, one chat service and `engines` (name to address)."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    found = [
        {"kind": "Workspace", "name": "bench", "spec": {"key_sha256": [digest]}},
        {"kind": "Model", "name": "small", "spec": {"versions": ["v1"], "version": "v1"}},
        {"kind": "Policy", "name": "default", "spec": {"urgent_reserve": 0, **policy}},
        {"kind": "Service", "name": "chat",
         "spec": {"type": "model", "model": "small", "max_tokens": 100_000}},
    ]  # fmt: skip
    for name, address in engines.items():
        spec = {"type": "engine", "address": address, "zone": zone, "model": "small",
                "fencing": fencing}  # fmt: skip
        found.append({"kind": "Upstream", "name": name, "spec": spec})
    return found


def declare_fleet(fleet: Fleet, folder: Path, engines: dict[str, str], **policy: Any) -> None:
    """Apply the resources and wait until they are in force."""
    file = folder / "fleet.yaml"
    file.write_text(yaml.safe_dump_all(make_resources(engines, **policy)))
    done = fleet.ctl("apply", str(file), "--wait=30")
    if done.returncode:
        raise RuntimeError(done.stderr)
