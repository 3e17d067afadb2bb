"""Assigns engines to the hosts that schedule them, by rendezvous hashing."""

from collections.abc import Sequence
from dataclasses import dataclass

from swifttrestle.internal.policy.distance import NO_REGIONS, Distance, Topology
from swifttrestle.internal.policy.placement import rank
from swifttrestle.internal.policy.role_split import MIN_ENGINES_PER_GROUP
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.members import Member

# Maximum number of hosts in a fleet that books without schedulers: so few hosts report open work to
# each other often enough for each to book engines locally. With 16 hosts the reports are 42 ms
# apart, about as long as the prefill of one long prompt.
SMALL_FLEET_HOSTS = 16
# Zone aggregators: hosts that watch the discovery list and receive heartbeats for their zone. The
# loss of one is tolerated.
AGGREGATORS_PER_ZONE = 2
# Maximum wait at another zone's engine, as a share of that in the request's zone: its load is known
# less precisely, and its cache is less likely to have the shared parts.
OTHER_ZONE_WAIT_SHARE = 0.5


@dataclass(frozen=True)
class SearchStep:
    """Engines that are considered together for a prefill.

    The maximum wait there is `wait_share` of that at the nearest ones, and `extra_seconds` shorter.
    """

    engines: list[Instance]
    wait_share: float = 1.0
    extra_seconds: float = 0.0


def is_large_fleet(members: int) -> bool:
    """Return whether a fleet of so many hosts books engines through schedulers."""
    return members > SMALL_FLEET_HOSTS


def list_aggregators(members: Sequence[Member], zone: str) -> list[Member]:
    """Return the aggregators of a zone."""
    candidates = [item for item in members if item.zone == zone]
    return sorted(
        candidates, key=lambda item: (item.link_mbps, rank(f"list|{zone}", item.host)), reverse=True
    )[:AGGREGATORS_PER_ZONE]


def find_scheduling_group(engines: Sequence[Instance], zone: str) -> str:
    """Return the group of engines that serves a host of `zone`: that zone, or "" for all zones.

    A zone is a group of its own if it has enough engines to keep both roles when one is lost.
    """
    near = sum(1 for item in engines if item.record.zone == zone)
    return zone if near >= MIN_ENGINES_PER_GROUP else ""


def list_search_steps(
    engines: Sequence[Instance], zone: str, topology: Topology = NO_REGIONS
) -> list[SearchStep]:
    """Return the engines for a request of a zone, nearest first.

    First those of its scheduling group, then those of its region, then those of other regions.
    """
    group = find_scheduling_group(engines, zone)
    own_group: list[Instance] = []
    other_zones: list[Instance] = []
    other_regions: list[Instance] = []
    for item in engines:
        if not topology.is_same_region(zone, item.record.zone):
            other_regions.append(item)
        elif group in ("", item.record.zone):
            own_group.append(item)
        else:
            other_zones.append(item)
    return [
        SearchStep(own_group),
        SearchStep(other_zones, OTHER_ZONE_WAIT_SHARE),
        SearchStep(other_regions, OTHER_ZONE_WAIT_SHARE, Distance.OTHER_REGION.round_trip_seconds),
    ]


def list_scheduler_candidates(
    members: Sequence[Member], group: str, zone: str, topology: Topology
) -> Sequence[Member]:
    """Return the hosts of which one schedules a group for the hosts of a zone.

    The group of all zones has a scheduler in each region, so that no query leaves it.
    """
    if group:
        return members
    return [item for item in members if topology.is_same_region(zone, item.zone)]


def find_scheduler(members: Sequence[Member], service: str, group: str) -> Member | None:
    """Return the host that schedules a service's engines of a group.

    It is one of those with the fastest link: on a slow one its replies would be delayed by the
    bodies of requests.
    """
    candidates = [item for item in members if group in ("", item.zone)]
    fastest = max((item.link_mbps for item in candidates), default=0.0)
    fast = [item for item in candidates if item.link_mbps == fastest]
    return max(fast, key=lambda item: rank(f"{service}|{group}", item.host), default=None)


def list_schedulers(
    members: Sequence[Member],
    service: str,
    engines: Sequence[Instance],
    topology: Topology = NO_REGIONS,
) -> set[str]:
    """Return the hosts that schedule a service's engines, one for each group."""
    # A zone of each group and region, since the group of all zones has a scheduler in each region.
    groups = {}
    for zone in {item.zone for item in members}:
        group = find_scheduling_group(engines, zone)
        groups[group, "" if group else topology.find_region(zone)] = zone
    found = (
        find_scheduler(list_scheduler_candidates(members, group, zone, topology), service, group)
        for (group, _), zone in groups.items()
    )
    return {item.host for item in found if item is not None}
