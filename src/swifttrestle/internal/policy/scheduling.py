"""Which host schedules which engines: every host finds the same one by a hash."""

from collections.abc import Sequence

from swifttrestle.internal.policy.placement import rank
from swifttrestle.internal.policy.role_split import ENOUGH_ENGINES
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.members import Member

# Hosts up to which each books by its own knowledge: at this number reports of open work are
# 42 ms apart, about as long as an engine takes to read one long prompt.
SMALL_FLEET_HOSTS = 16
# Hosts of a zone that represent it: they watch the discovery list for all of it, and hear its
# hosts' heartbeats. One may be lost unnoticed.
REPRESENTATIVES = 2


def is_large_fleet(members: int) -> bool:
    """Return whether so many hosts book through schedulers."""
    return members > SMALL_FLEET_HOSTS


def list_representatives(members: Sequence[Member], zone: str) -> list[Member]:
    """Return the hosts of a zone that watch the list and hear heartbeats for the others."""
    candidates = [item for item in members if item.zone == zone]
    return sorted(
        candidates, key=lambda item: (item.link_mbps, rank(f"list|{zone}", item.host)), reverse=True
    )[:REPRESENTATIVES]


def find_scheduling_group(engines: Sequence[Instance], zone: str) -> str:
    """Return the zone whose engines serve a host of `zone`, or "" for those of all zones.

    A zone is on its own where it has engines enough to keep both roles when one is lost.
    """
    near = sum(1 for item in engines if item.record.zone == zone)
    return zone if near >= ENOUGH_ENGINES else ""


def find_scheduler(members: Sequence[Member], service: str, group: str) -> Member | None:
    """Return the host that schedules a service's engines of a group.

    It is one of those with the fastest link: on a slow one its answers would wait behind the
    bodies of requests.
    """
    candidates = [item for item in members if group in ("", item.zone)]
    fastest = max((item.link_mbps for item in candidates), default=0.0)
    fast = [item for item in candidates if item.link_mbps == fastest]
    return max(fast, key=lambda item: rank(f"{service}|{group}", item.host), default=None)


def list_schedulers(
    members: Sequence[Member], service: str, engines: Sequence[Instance]
) -> set[str]:
    """Return the hosts that schedule a service's engines, one for each group of them."""
    groups = {find_scheduling_group(engines, item.zone) for item in members}
    found = (find_scheduler(members, service, group) for group in groups)
    return {item.host for item in found if item is not None}
