"""The duties: tasks that one host at a time performs for the whole fleet, under one lease."""

from collections.abc import Callable
from typing import Any

from swifttrestle.internal.background_tasks import BackgroundTasks
from swifttrestle.internal.coordination.configuration.freshness_monitor import FreshnessMonitor
from swifttrestle.internal.coordination.discovery.discovery import Discovery
from swifttrestle.internal.coordination.duties.capacity import CapacityDuty
from swifttrestle.internal.coordination.duties.duty_lease import DutyLeaseManager
from swifttrestle.internal.coordination.duties.roles import RoleDuty
from swifttrestle.internal.coordination.duties.usage import UsageDuty
from swifttrestle.internal.coordination.membership.gossip import Gossip
from swifttrestle.internal.coordination.store.entries import SkippedEntries
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.state.declared import Configuration
from swifttrestle.internal.state.median_clock import MedianClock
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import PeerSocket
from swifttrestle.internal.transport.pool import ConnectionPool
from swifttrestle.platform.duties import DutyApiClient
from swifttrestle.platform.settings import HostSettings
from swifttrestle.platform.store import ObjectStore

# Hosts that collect all hosts' usage counts: the holder of the duty lease and two standbys.
COLLECTOR_COUNT = 3


class Duties:
    """This host's duties: planning of roles, ordering of upstreams, and usage reports."""

    def __init__(
        self,
        settings: HostSettings,
        incarnation: int,
        store: ObjectStore,
        socket: PeerSocket,
        state: GatewayState,
        gossip: Gossip,
        discovery: Discovery,
        freshness_monitor: FreshnessMonitor,
        clock: MedianClock,
        find_configuration: Callable[[], Configuration | None],
        skipped: SkippedEntries,
        reaches_engines: Callable[[], bool],
    ) -> None:
        """Create the duties, which `start` runs.

        `reaches_engines` returns whether this host can send orders to any engine.
        """
        self._host = settings.host
        self._gossip = gossip
        bounds, duty_settings = settings.bounds, settings.duties
        api_client = (
            DutyApiClient(duty_settings.address, ConnectionPool()) if duty_settings else None
        )
        # The IP distinguishes machines of the same name.
        holder = f"{settings.host}@{settings.ip}"
        self.lease = DutyLeaseManager(store, "roles", holder, incarnation, bounds.lease, skipped)
        self.usage = UsageDuty(
            f"{settings.host} {incarnation}",
            socket,
            self.lease,
            api_client if duty_settings and duty_settings.usage else None,
            self._list_collectors,
            self._holds_lease,
            freshness_monitor.requires_keys,
            clock,
            bounds.usage_window_seconds,
            state.metrics,
        )
        self.capacity = CapacityDuty(
            self.lease,
            api_client if duty_settings and duty_settings.scaling else None,
            state.fleet,
            state.demand,
            find_configuration,
            self._holds_lease,
            lambda: discovery.store_unreachable,
            state.metrics,
        )

        self.roles = RoleDuty(
            self.lease,
            state.fleet,
            state.demand,
            state.ejector,
            state.direct_pool,
            gossip,
            find_configuration,
            lambda: discovery.store_unreachable,
            lambda: discovery.store_recoveries,
            self.capacity.is_settling,
            reaches_engines,
        )

    def start(self, tasks: BackgroundTasks) -> None:
        """Run the duties; a host whose planning of roles fails gives all of them up for a while."""
        tasks.start_restarting("roles", self.roles.run, self.roles.stand_down)
        tasks.start_restarting("usage", self.usage.run)
        tasks.start_restarting("capacity", self.capacity.run)

    def describe(self) -> dict[str, Any]:
        """Return the candidates and the state of scaling and usage, for the state dump."""
        return {
            "held_here": self._holds_lease(),
            "candidates": self._gossip.candidates.list_candidates()[:COLLECTOR_COUNT],
            "capacity": self.capacity.describe(),
            "usage": self.usage.describe(),
        }

    def _holds_lease(self) -> bool:
        return self._gossip.candidates.holds_duty_lease

    def _list_collectors(self) -> list[Member]:
        """Return the other hosts that collect usage counts, the holder first."""
        hosts = self._gossip.candidates.list_candidates()[:COLLECTOR_COUNT]
        members = {member.host: member for member in self._gossip.list_members()}
        return [members[host] for host in hosts if host in members and host != self._host]
