"""Assigns engines to the hosts that schedule them, by rendezvous hashing."""

from collections.abc import Sequence

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
    members: Sequence[Member], service: str, engines: Sequence[Instance]
) -> set[str]:
    """Return the hosts that schedule a service's engines, one for each group."""
    groups = {find_scheduling_group(engines, item.zone) for item in members}
    found = (find_scheduler(members, service, group) for group in groups)
    return {item.host for item in found if item is not None}
