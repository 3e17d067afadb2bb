"""`swifttrestle-controller`: competes for leases, accepts configuration and manages pools."""

import threading
import zlib
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import fire
import pykka

from swifttrestle.internal.coordination.configuration.config_authority import ConfigAuthority
from swifttrestle.internal.coordination.duties.leases import LEASE, Holder, LeaseManager
from swifttrestle.internal.coordination.membership.hosts import HostTracker
from swifttrestle.internal.coordination.membership.membership import OpenRequestCounter
from swifttrestle.internal.coordination.pools.actors import (
    ConfigActor,
    PoolActor,
    Release,
    StatusActor,
    StepActor,
    Tick,
)
from swifttrestle.internal.coordination.pools.engine_views import PoolStatus
from swifttrestle.internal.coordination.pools.orders import ORDER, OrderLog
from swifttrestle.internal.coordination.pools.pools import (
    EngineFactory,
    Pool,
    make_http_engine,
)
from swifttrestle.internal.policy.roles import CostAwareRoles, RolePlanner
from swifttrestle.internal.process import Process, run_program, wants_help
from swifttrestle.internal.protocol.peers import CONTROLLER, ENTRY
from swifttrestle.internal.settings import ControllerSettings
from swifttrestle.internal.state.closings import ClosingTable
from swifttrestle.resources import KINDS

PROGRAM = "swifttrestle-controller"
CONFIG_LEASE = "config"
# Processes wait 0 to LEASE_RANKS - 1 ticks before they take a lease, by a hash of their name.
LEASE_RANKS = 4
RELEASE_TIMEOUT_SECONDS = 5.0


@dataclass(frozen=True)
class TickedActor:
    """An actor that is driven by ticks; `tick_pending` is set while a tick is not processed."""

    ref: pykka.ActorRef
    tick_pending: threading.Event

    def send(self, tick: Tick) -> None:
        """Send a tick unless the last one is not processed yet."""
        if not self.tick_pending.is_set():
            self.tick_pending.set()
            self.ref.tell(tick)


def start_ticked_actor(actor_class: type[StepActor], *args: Any) -> TickedActor:
    """Start an actor that is driven by ticks."""
    tick_pending = threading.Event()
    return TickedActor(actor_class.start(tick_pending, *args), tick_pending)


class Controller:
    """The actors of one controller process."""

    def __init__(
        self,
        settings: ControllerSettings,
        make_engine: EngineFactory = make_http_engine,
        make_planner: Callable[[], RolePlanner] = CostAwareRoles,
    ) -> None:
        """Create the components; `run` starts them."""
        self._settings = settings
        self._make_engine = make_engine
        self._make_planner = make_planner
        self.process = Process(
            settings, CONTROLLER, (*KINDS, LEASE, ORDER), OpenRequestCounter(), ClosingTable()
        )
        self._hosts = HostTracker(self.process.api, self.process.clock, settings.host_lag_seconds)
        self._authority = self._make_authority()
        self._actors: dict[str, TickedActor] = {}
        self._pool_status: dict[str, PoolStatus | None] = {}
        self.process.add_dump("status", self._collect_status)

    def run(self) -> None:
        """Run until a graceful shutdown has ended."""
        self.process.start()
        threading.Thread(target=self._run_ticks, daemon=True).start()
        self.process.run_until_stopped({}, self._release_all)

    def _make_authority(self) -> ConfigAuthority:
        process = self.process
        lease = self._make_lease(CONFIG_LEASE)
        return ConfigAuthority(process.api, process.cache, lease, process.config, process.metrics)

    def _make_lease(self, name: str) -> LeaseManager:
        """Return the manager of a lease; the delay by rank spreads leases over processes."""
        settings, process = self._settings, self.process
        rank = zlib.crc32(f"{name}/{settings.name}".encode()) % LEASE_RANKS
        return LeaseManager(
            process.api,
            process.cache,
            name,
            Holder(settings.name, settings.host, process.identity.incarnation),
            process.clock,
            duration=settings.lease_seconds,
            margin=settings.lease_margin_seconds,
            delay=rank * settings.tick_seconds,
        )

    def _run_ticks(self) -> None:
        """Send ticks to all actors until the process stops."""
        settings = self._settings
        process = self.process
        config_actor = start_ticked_actor(ConfigActor, self._authority)
        status_actor = start_ticked_actor(StatusActor, process.api, self._collect_status)
        self._actors["(config)"] = config_actor
        next_status_at = 0.0
        while not process.stopping.wait(settings.tick_seconds):
            tick = Tick(process.config.current)
            self._start_pools()
            for actor in list(self._actors.values()):
                actor.send(tick)
            if process.clock.now() >= next_status_at:
                next_status_at = process.clock.now() + settings.status_seconds
                self._hosts.refresh()
                if self._authority.lease.held:
                    process.membership.delete_gone_members(self._hosts.is_gone)
                status_actor.send(tick)

    def _start_pools(self) -> None:
        upstreams = self.process.config.current.upstreams.values()
        for name in sorted({u.pool for u in upstreams if u.type == "engine"}):
            if name not in self._actors:
                self._actors[name] = start_ticked_actor(
                    PoolActor, self._make_pool(name), self._publish
                )

    def _make_pool(self, name: str) -> Pool:
        process = self.process
        return Pool(
            name,
            self._make_lease(f"pool.{name}"),
            log=OrderLog(process.api, process.cache),
            cache=process.cache,
            membership=process.membership,
            closings=process.closings,
            hosts=self._hosts,
            planner=self._make_planner(),
            clock=process.clock,
            metrics=process.metrics,
            make_engine=self._make_engine,
        )

    def _publish(self, name: str, status: PoolStatus | None) -> None:
        self._pool_status[name] = status

    def _collect_status(self) -> dict[str, dict]:
        """Return the status objects of the pools and leases that this process holds."""
        statuses = {
            f"pool.{name}": asdict(status)
            for name, status in list(self._pool_status.items())
            if status is not None
        }
        if self._authority.lease.held:
            statuses["config"] = self._describe_config()
        return statuses

    def _describe_config(self) -> dict:
        epochs = self.process.config.epochs()
        members = self.process.membership.members(ENTRY)
        views = [self.process.membership.view(name) for name in members]
        in_force = {
            shard: sum(1 for view in views if view and view.epochs.get(shard, 0) >= epoch)
            for shard, epoch in epochs.items()
        }
        return {
            "holder": self._settings.name,
            "epochs": epochs,
            "entries": len(members),
            "in_force": in_force,
            "not_accepted": [vars(fault) for fault in self._authority.faults],
        }

    def _release_all(self) -> None:
        """Release every lease, so that another controller can take over at once."""
        futures = [actor.ref.ask(Release(), block=False) for actor in self._actors.values()]
        for future in futures:
            try:
                future.get(timeout=RELEASE_TIMEOUT_SECONDS)
            except pykka.Timeout:
                continue


def run(settings: ControllerSettings) -> None:
    """Run a controller until SIGTERM or SIGINT."""
    Controller(settings).run()


def main() -> None:
    """Run the console script."""
    if not wants_help(PROGRAM, ControllerSettings):
        fire.Fire(
            lambda **flags: run_program(PROGRAM, ControllerSettings, flags, run), name=PROGRAM
        )
