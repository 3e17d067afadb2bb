"""The parts of a gateway's state dump on upstreams and quarantined requests."""

from typing import Any

from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.state.fleet import Fleet, Instance


def describe_fleet(fleet: Fleet) -> dict[str, dict[str, Any]]:
    """Return the known instances by name; `declared` is set if the service is configured."""
    return {name: _describe(fleet, item) for name, item in fleet.instances.items()}


def describe_quarantine(quarantine: Quarantine, now: float) -> dict[str, dict[str, Any]]:
    """Return, by fingerprint, the crashes and the seconds to the next trial of each request."""
    return {
        str(record.name): {
            "crashes": [crash.start for crash in record.crashes],
            "seconds": round(quarantine.find_wait(record.name, now), 1),
        }
        for record in quarantine.list_quarantined()
    }


def _describe(fleet: Fleet, item: Instance) -> dict[str, Any]:
    record = item.record
    return {
        "instance": record.instance,
        "born": record.born,
        "service": record.service,
        "zone": record.zone,
        "region": fleet.topology.find_region(record.zone),
        "declared": fleet.is_declared(record.service),
        "role": item.role.value,
        "leaving": record.leaving,
        "own": vars(item.own),
        "peers": vars(item.peers),
        "read_rate": item.read_rate,
    }
