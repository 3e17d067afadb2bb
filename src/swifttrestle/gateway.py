"""The gateway: one process on each host of the platform, serving callers and sharing duties."""

import asyncio
import gc
import os
import random
import signal
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from swifttrestle.errors import InvalidSettingError
from swifttrestle.internal.coordination.configuration import ConfigurationWatcher
from swifttrestle.internal.coordination.discovery import RESTORE_SPREAD_SECONDS, Discovery
from swifttrestle.internal.coordination.duties import Duties
from swifttrestle.internal.coordination.entries import SkippedEntries
from swifttrestle.internal.coordination.freshness_monitor import FreshnessMonitor
from swifttrestle.internal.coordination.gossip import Gossip
from swifttrestle.internal.coordination.listing_relay import ListingRelay
from swifttrestle.internal.coordination.prompt_cache_loader import PromptCacheLoader
from swifttrestle.internal.coordination.quarantine_relay import QuarantineRelay
from swifttrestle.internal.coordination.quarantine_store import QuarantineStore
from swifttrestle.internal.event_log import WRITER, log_event
from swifttrestle.internal.forward.booking import LocalBooker
from swifttrestle.internal.forward.gateway_state import GatewayState, RetryBudgets
from swifttrestle.internal.forward.handler import GatewayHandler
from swifttrestle.internal.forward.rate_limiter import DistributedRateLimiter
from swifttrestle.internal.forward.scheduled_booking import NUMBER_BITS, ScheduledBooker
from swifttrestle.internal.listeners import Listeners
from swifttrestle.internal.loop import run_in_loop
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.operator_pages import READY_PATH, OperatorPages
from swifttrestle.internal.pages import PageHandler
from swifttrestle.internal.settings_file import watch_settings_file
from swifttrestle.internal.state.declared import Configuration
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.internal.state.median_clock import MedianClock
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import PeerSocket
from swifttrestle.internal.transport.pool import ConnectionPool
from swifttrestle.platform.settings import (
    PATH_VARIABLE,
    HostSettings,
    load_host_settings,
)
from swifttrestle.platform.store import SILENCE_MS, ObjectStore

EXIT_BAD_SETTING = 2
# The port that deploy/system.toml names to the platform.
METRICS_PORT = 9464
# Seconds before the platform's hard stop at which the process ends in any case.
END_MARGIN_SECONDS = 0.4
# Objects that may be made between two collections of garbage; the default of 700 costs a
# noticeable share of a small host's processor.
GC_THRESHOLD = 50_000


class Gateway:
    """All parts of one process."""

    def __init__(
        self,
        settings: HostSettings,
        metrics_port: int = METRICS_PORT,
        incarnation: int | None = None,
    ) -> None:
        """Put the parts together; `run` starts them.

        The incarnation tells this start from others of the same host, by default by the time.
        """
        self._settings = settings
        self._metrics_port = metrics_port
        incarnation = incarnation or time.time_ns()
        rng = self._rng = random.Random(f"{settings.host} {incarnation}")
        bounds = settings.bounds
        self._metrics = Metrics()
        self._fleet = Fleet()
        self._budgets = RetryBudgets(bounds.retry_share, bounds.retry_extra, bounds.retry_window)
        self._state = GatewayState(settings.zone, self._fleet, self._budgets, self._metrics, rng)
        self._skipped = SkippedEntries(self._count_skipped)
        self._store = ObjectStore(settings.store, ConnectionPool(SILENCE_MS))
        self._store.epochs.on_return = self._note_store_return
        self._configuration = ConfigurationWatcher(
            self._store,
            rng,
            self._note_configuration,
            lambda: len(self._gossip.live_hosts()),
            self._skipped,
        )
        socket = PeerSocket(settings.ip, settings.internal_port)
        me = Member(settings.host, settings.ip, settings.zone, settings.link_mbps)
        self._gossip = Gossip(
            me,
            incarnation,
            socket,
            self._fleet,
            self._state.demand,
            self._state.sent_prompts,
            self._configuration,
            rng,
            self._note_peers,
        )
        relay = ListingRelay(
            socket,
            settings.host,
            self._gossip.list_members,
            lambda: self._gossip.candidates.holds_duty_lease,
        )
        self._discovery = Discovery(
            self._store,
            self._fleet,
            rng,
            relay,
            self._serve_queues,
            self._gossip.find_store_up_since,
            self._skipped,
        )
        self._gossip.count_store_seconds = self._discovery.count_store_seconds
        self._booker = ScheduledBooker(
            LocalBooker(self._state),
            self._state,
            socket,
            settings.host,
            self._gossip.list_members,
            settings.is_in_same_region,
        )
        self._gossip.recipients.list_schedulers = self._booker.list_schedulers
        self._quarantine = QuarantineStore(
            self._store,
            self._state.guard,
            settings.host,
            self._gossip.list_members,
            rng,
            self._skipped,
        )
        self._crashes = QuarantineRelay(
            socket,
            settings.host,
            self._state.guard,
            self._gossip.list_members,
            rng,
            self._quarantine.note_change,
        )
        self._true_time = MedianClock()
        self._freshness_monitor = FreshnessMonitor(
            self._configuration,
            socket,
            me,
            self._gossip.list_members,
            self._gossip.fetch_later,
            self._true_time,
            bounds.revocation,
            rng,
        )
        self._duties = Duties(
            settings,
            incarnation,
            self._store,
            socket,
            self._state,
            self._gossip,
            self._discovery,
            self._freshness_monitor,
            self._true_time,
            self._find_configuration,
            self._skipped,
        )
        self._handler = GatewayHandler(
            self._state,
            self._booker,
            lambda: self._configuration.table,
            lambda: self._configuration.freshness.confirmed_at,
            bounds.revocation,
            self._duties.usage.count_request,
        )
        self._state.permits = permits = DistributedRateLimiter(
            self._state.conditions,
            socket,
            settings.host,
            self._gossip.list_members,
            rng.getrandbits(NUMBER_BITS),
        )
        self._state.guard.request_trial = permits.request_trial
        self._state.conditions.on_room = self._serve_queues
        self._prompt_cache_loader = PromptCacheLoader(
            settings.zone, self._fleet, self._state.pool, self._booker.schedules_engines, rng
        )
        self._listeners = Listeners()
        # Whether this process has had the newest version of its peers in force.
        self._caught_up = False
        self._stopping = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._operators = OperatorPages(
            settings.host,
            self.is_ready,
            self._state,
            self._configuration,
            self._gossip,
            self._discovery,
            self._duties,
            self._store,
        )

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        settings = self._settings
        await self._gossip.start([seed[0] for seed in settings.seeds])
        self._start(self._configuration.run())
        self._start(self._discovery.run())
        self._start(self._gossip.run())
        self._start(self._gossip.register(self._store, self._skipped))
        self._start(self._booker.run())
        self._start(self._state.conditions.run())
        self._start(self._prompt_cache_loader.run())
        self._start(self._quarantine.run())
        self._start(self._crashes.run())
        self._start(self._freshness_monitor.run())
        for task in self._duties.list_tasks():
            self._start(task)
        self._start(watch_settings_file(Path(os.environ.get(PATH_VARIABLE, "")), self.reload))
        await self._listeners.open_for_callers(settings.callers, self._handler)
        ready = PageHandler({READY_PATH: self._operators.make_ready})
        await self._listeners.open(settings.readiness, ready)
        pages = self._operators.make_handler()
        await self._listeners.open((settings.ip, self._metrics_port), pages)
        self._listeners.complete = True
        log_event("started", ip=settings.ip, zone=settings.zone)
        try:
            await self._stopping.wait()
            await self._stop()
        finally:
            self._close()

    @property
    def config_version(self) -> int:
        """The configuration version in force, 0 where none is known."""
        return self._configuration.version

    def list_instances(self) -> dict[str, Instance]:
        """Return the upstreams that are known now, by instance."""
        return self._fleet.instances

    def knows_instance(self, name: str) -> bool:
        """Return whether an upstream's instance is in use."""
        return self._fleet.knows(name)

    def is_ejected(self, name: str) -> bool:
        """Return whether an instance is left out as broken now."""
        return self._state.ejector.is_ejected(name, asyncio.get_running_loop().time())

    def count_open_requests(self) -> int:
        """Return this host's open requests at all upstreams."""
        return sum(item.own.requests for item in self._fleet.instances.values())

    def count_peer_requests(self) -> int:
        """Return the peers' open requests at all upstreams, as they last reported them."""
        return sum(item.peers.requests for item in self._fleet.instances.values())

    def live_hosts(self) -> list[str]:
        """Return the hosts whose gateways live, this one among them."""
        return self._gossip.live_hosts()

    def list_members(self) -> list[Member]:
        """Return the live hosts with their addresses and zones."""
        return list(self._gossip.list_members())

    def count_opened_connections(self) -> int:
        """Return the connections to upstreams that were opened since the start."""
        return self._state.pool.opened

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stopping.set()

    def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._listeners.close()
        self._gossip.close()

    async def _stop(self) -> None:
        """Let the balancer learn, close politely, and wait for open requests."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        end = began + self._settings.bounds.stop - END_MARGIN_SECONDS
        log_event("stopping", open=self._listeners.count_busy())
        self._gossip.announce_leaving()
        await self._listeners.wait_for_learning(self._settings.bounds.stop / 2)
        self._handler.stops_at = end
        await self._listeners.finish(end)
        seconds = round(loop.time() - began, 2)
        log_event("stopped", cut=self._listeners.count_busy(), seconds=seconds)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_ended)

    def _note_ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # A duty that ended by a fault of the program must not fail in silence.
            log_event("task failed", error=repr(task.exception()))
            WRITER.flush()
            self._stopping.set()

    def _serve_queues(self) -> None:
        self._booker.serve_queues()

    def _note_configuration(self) -> None:
        configuration = self._find_configuration()
        if configuration is not None:
            self._fleet.declared = frozenset(configuration.services)
            self._fleet.traits = {
                name: service.engine
                for name, service in configuration.services.items()
                if service.engine is not None
            }
        self._serve_queues()

    def _count_skipped(self, kind: str, field: str) -> None:
        self._metrics.count("entries_skipped_total", kind=kind, field=field)

    def _note_peers(self) -> None:
        live = self._gossip.live_hosts()
        if len(live) > self._budgets.hosts:
            # Hosts that lost each other may each have missed what the others know.
            self._crashes.request_sync()
        self._budgets.hosts = len(live)
        self._serve_queues()

    def _note_store_return(self) -> None:
        """Take over that the store came back: read it anew, and write own entries again."""
        later = self._rng.random() * RESTORE_SPREAD_SECONDS
        asyncio.get_running_loop().call_later(later, self._configuration.reload_after_restore)
        self._quarantine.note_change()
        self._start(self._gossip.restore_registration(self._store))

    def _find_configuration(self) -> Configuration | None:
        table = self._configuration.table
        return table.configuration if table else None

    # Reload.

    def reload(self) -> None:
        """Read the settings file again."""
        try:
            settings = load_host_settings()
            log_event("settings read again", source="signal or changed file")
            self._apply(settings)
        except InvalidSettingError as error:
            # The process goes on with the settings that it has.
            log_event("settings not taken", reason=str(error))

    def _apply(self, settings: HostSettings) -> None:
        """Take over what may change while running: the bounds of repeats, and the seeds.

        Addresses cannot change under open connections; they count from the next start.
        """
        if settings.callers != self._settings.callers or settings.store != self._settings.store:
            log_event("settings kept", names=["listen", "platform"], reason="need a restart")
        bounds = settings.bounds
        self._budgets.change(bounds.retry_share, bounds.retry_extra, bounds.retry_window)
        self._gossip.add_seeds([seed[0] for seed in settings.seeds])

    # Pages.

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        known = self._configuration.table is not None and self._discovery.known
        known = known and self._listeners.complete
        self._caught_up = self._caught_up or (known and self._gossip.has_caught_up())
        known = known and self._caught_up
        # One that may not take keys would turn all of its callers away.
        known = known and self._freshness_monitor.is_fresh()
        return known and not self._stopping.is_set()


def main() -> None:
    """Run a gateway; a wrong setting ends it with its name, value and mend."""
    try:
        settings = load_host_settings()
    except InvalidSettingError as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(EXIT_BAD_SETTING)
    gc.set_threshold(GC_THRESHOLD)
    WRITER.start(settings.host)
    run_in_loop(_run(settings))
    WRITER.flush()


async def _run(settings: HostSettings) -> None:
    gateway = Gateway(settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, gateway.stop)
    loop.add_signal_handler(signal.SIGINT, gateway.stop)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.run()
