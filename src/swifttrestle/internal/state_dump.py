"""What a gateway knows of its upstreams, as its state dump shows it."""

from typing import Any

from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.state.fleet import Fleet, Instance


def describe_fleet(fleet: Fleet) -> dict[str, dict[str, Any]]:
    """Return the starts in use by name; `declared` is false for those that are kept aside."""
    return {name: _describe(fleet, item) for name, item in fleet.instances.items()}


def describe_quarantine(quarantine: Quarantine, now: float) -> dict[str, dict[str, Any]]:
    """Return the quarantined requests by name: the crashes, and the seconds until a next try."""
    return {
        str(case.name): {
            "crashes": [crash.start for crash in case.crashes],
            "seconds": round(quarantine.find_wait(case.name, now), 1),
        }
        for case in quarantine.list_quarantined()
    }


def _describe(fleet: Fleet, item: Instance) -> dict[str, Any]:
    record = item.record
    return {
        "instance": record.instance,
        "born": record.born,
        "service": record.service,
        "declared": fleet.is_declared(record.service),
        "role": item.role.value,
        "leaving": record.leaving,
        "own": vars(item.own),
        "peers": vars(item.peers),
        "read_rate": item.read_rate,
    }
