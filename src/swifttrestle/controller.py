"""`swifttrestle-controller`: campaigns for leases, accepts configuration, works the pools."""

import threading
import zlib
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

import fire
import pykka

from swifttrestle.internal.coordination.actors import (
    ConfigActor,
    PoolActor,
    Release,
    StatusActor,
    StepActor,
    Tick,
)
from swifttrestle.internal.coordination.config_authority import ConfigAuthority
from swifttrestle.internal.coordination.engine_views import PoolStatus
from swifttrestle.internal.coordination.hosts import HostTracker
from swifttrestle.internal.coordination.leases import LEASE, Holder, LeaseManager
from swifttrestle.internal.coordination.membership import OpenRequestCounter
from swifttrestle.internal.coordination.orders import ORDER, OrderLog
from swifttrestle.internal.coordination.pools import (
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
RANKS = 4
RELEASE_SECONDS = 5.0


@dataclass(frozen=True)
class Stepper:
    """An actor and whether a tick still waits for it."""

    ref: pykka.ActorRef
    tick_pending: threading.Event

    def send(self, tick: Tick) -> None:
        """Send a tick unless the one before is still waiting."""
        if not self.tick_pending.is_set():
            self.tick_pending.set()
            self.ref.tell(tick)


def start_stepper(kind: type[StepActor], *args: Any) -> Stepper:
    """Start an actor."""
    tick_pending = threading.Event()
    return Stepper(kind.start(tick_pending, *args), tick_pending)


class Controller:
    """All actors of one controller process."""

    def __init__(
        self,
        settings: ControllerSettings,
        make_engine: EngineFactory = make_http_engine,
        make_planner: Callable[[], RolePlanner] = CostAwareRoles,
    ) -> None:
        """Prepare; `run` begins and returns at a planned stop."""
        self._settings = settings
        self._make_engine = make_engine
        self._make_planner = make_planner
        self.process = Process(
            settings, CONTROLLER, (*KINDS, LEASE, ORDER), OpenRequestCounter(), ClosingTable()
        )
        self._hosts = HostTracker(self.process.api, self.process.clock, settings.host_lag_seconds)
        self._authority = self._make_authority()
        self._pools: dict[str, Stepper] = {}
        self._pool_status: dict[str, PoolStatus | None] = {}
        self.process.add_dump("status", self._collect_status)

    def run(self) -> None:
        """Work until a planned stop."""
        self.process.start()
        threading.Thread(target=self._tick_for_ever, daemon=True).start()
        self.process.run_until_stopped({}, self._release_all)

    def _make_authority(self) -> ConfigAuthority:
        process = self.process
        lease = self._make_lease(CONFIG_LEASE)
        return ConfigAuthority(process.api, process.cache, lease, process.config, process.metrics)

    def _make_lease(self, name: str) -> LeaseManager:
        """Spread the leases: each process leaves most of them to others for a moment."""
        settings, process = self._settings, self.process
        rank = zlib.crc32(f"{name}/{settings.name}".encode()) % RANKS
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

    def _tick_for_ever(self) -> None:
        """Give every actor a tick; one that is still at work is not given another."""
        settings = self._settings
        process = self.process
        config_actor = start_stepper(ConfigActor, self._authority)
        status_actor = start_stepper(StatusActor, process.api, self._collect_status)
        self._pools["(config)"] = config_actor
        next_slow = 0.0
        while not process.stopping.wait(settings.tick_seconds):
            tick = Tick(process.config.current)
            self._start_pools()
            for stepper in list(self._pools.values()):
                stepper.send(tick)
            if process.clock.now() >= next_slow:
                next_slow = process.clock.now() + settings.status_seconds
                self._hosts.refresh()
                if self._authority.lease.held:
                    process.membership.delete_gone_members(self._hosts.is_gone)
                status_actor.send(tick)

    def _start_pools(self) -> None:
        upstreams = self.process.config.current.upstreams.values()
        for name in sorted({u.pool for u in upstreams if u.type == "engine"}):
            if name not in self._pools:
                self._pools[name] = start_stepper(PoolActor, self._make_pool(name), self._publish)

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
        """Return the status objects of what this process holds now."""
        found = {
            f"pool.{name}": asdict(status)
            for name, status in list(self._pool_status.items())
            if status is not None
        }
        if self._authority.lease.held:
            found["config"] = self._show_config()
        return found

    def _show_config(self) -> dict:
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
        """Give up every lease, so that another controller can go on at once."""
        futures = [stepper.ref.ask(Release(), block=False) for stepper in self._pools.values()]
        for future in futures:
            try:
                future.get(timeout=RELEASE_SECONDS)
            except pykka.Timeout:
                continue


def run(settings: ControllerSettings) -> None:
    """Run a controller until it is told to stop."""
    Controller(settings).run()


def main() -> None:
    """Run the console script."""
    if not wants_help(PROGRAM, ControllerSettings):
        fire.Fire(
            lambda **flags: run_program(PROGRAM, ControllerSettings, flags, run), name=PROGRAM
        )
