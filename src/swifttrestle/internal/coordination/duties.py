"""The duties that one host at a time has for the whole fleet, put together on their one lease."""

from collections.abc import Callable, Coroutine
from typing import Any

from swifttrestle.internal.coordination.capacity import CapacityDuty
from swifttrestle.internal.coordination.discovery import Discovery
from swifttrestle.internal.coordination.duty_lease import DutyLeaseManager
from swifttrestle.internal.coordination.entries import SkippedEntries
from swifttrestle.internal.coordination.freshness_monitor import FreshnessMonitor
from swifttrestle.internal.coordination.gossip import Gossip
from swifttrestle.internal.coordination.roles import RoleDuty
from swifttrestle.internal.coordination.usage import UsageDuty
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.state.declared import Configuration
from swifttrestle.internal.state.median_clock import MedianClock
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import PeerSocket
from swifttrestle.internal.transport.pool import ConnectionPool
from swifttrestle.platform.duties import DutyApiClient
from swifttrestle.platform.settings import HostSettings
from swifttrestle.platform.store import ObjectStore

# Hosts that gather what all hosts count for workspaces: the holder of the duty, and two that would
# follow it.
COLLECTORS = 3


class Duties:
    """This host's part in the planning of roles, the ordering of upstreams, and usage reports."""

    def __init__(
        self,
        settings: HostSettings,
        incarnation: int,
        store: ObjectStore,
        socket: PeerSocket,
        parts: GatewayState,
        gossip: Gossip,
        discovery: Discovery,
        freshness_monitor: FreshnessMonitor,
        true_time: MedianClock,
        find_configuration: Callable[[], Configuration | None],
        skipped: SkippedEntries,
    ) -> None:
        """Share the host's parts; `run` of each duty starts it."""
        self._host = settings.host
        self._gossip = gossip
        bounds, wanted = settings.bounds, settings.duties
        calls = DutyApiClient(wanted.address, ConnectionPool()) if wanted else None
        # Another machine of the same name is another holder.
        holder = f"{settings.host}@{settings.ip}"
        self.lease = DutyLeaseManager(store, "roles", holder, incarnation, bounds.lease, skipped)
        self.usage = UsageDuty(
            f"{settings.host} {incarnation}",
            socket,
            self.lease,
            calls if wanted and wanted.usage else None,
            self._list_collectors,
            self._holds,
            freshness_monitor.requires_keys,
            true_time,
            bounds.usage_window_seconds,
            parts.metrics,
        )
        self.capacity = CapacityDuty(
            self.lease,
            calls if wanted and wanted.scaling else None,
            parts.fleet,
            parts.demand,
            find_configuration,
            self._holds,
            lambda: discovery.store_unreachable,
            parts.metrics,
        )

        self.roles = RoleDuty(
            self.lease,
            parts.fleet,
            parts.demand,
            parts.ejector,
            parts.pool,
            gossip,
            find_configuration,
            lambda: discovery.store_unreachable,
            lambda: discovery.store_returns,
            self.capacity.is_settling,
        )

    def list_tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return what is to run for as long as the process lives."""
        return [self.roles.run(), self.usage.run(), self.capacity.run()]

    def describe(self) -> dict[str, Any]:
        """Return what operators ask of the duties: who holds them, capacity, and usage."""
        return {
            "held_here": self._holds(),
            "candidates": self._gossip.candidates.list_order()[:COLLECTORS],
            "capacity": self.capacity.describe(),
            "usage": self.usage.describe(),
        }

    def _holds(self) -> bool:
        return self._gossip.candidates.holds_duty_lease

    def _list_collectors(self) -> list[Member]:
        """Return the other hosts that gather what is counted, the holder first."""
        order = self._gossip.candidates.list_order()[:COLLECTORS]
        members = {member.host: member for member in self._gossip.list_members()}
        return [members[host] for host in order if host in members and host != self._host]
