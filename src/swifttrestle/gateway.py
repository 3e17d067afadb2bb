"""The gateway: the process on each platform host that forwards callers' requests to upstreams."""

import asyncio
import gc
import os
import random
import signal
import sys
import time
from pathlib import Path

from swifttrestle.errors import InvalidSettingError
from swifttrestle.internal.background_tasks import BackgroundTasks
from swifttrestle.internal.boottime_loop import run_in_loop
from swifttrestle.internal.coordination.configuration.configuration import ConfigurationWatcher
from swifttrestle.internal.coordination.configuration.freshness_monitor import FreshnessMonitor
from swifttrestle.internal.coordination.discovery.discovery import RESTORE_SPREAD_SECONDS, Discovery
from swifttrestle.internal.coordination.discovery.listing_relay import ListingRelay
from swifttrestle.internal.coordination.discovery.observed_freshness import ObservedFreshness
from swifttrestle.internal.coordination.duties.duties import Duties
from swifttrestle.internal.coordination.membership.gossip import Gossip
from swifttrestle.internal.coordination.sharing.prompt_cache_loader import PromptCacheLoader
from swifttrestle.internal.coordination.sharing.quarantine_relay import QuarantineRelay
from swifttrestle.internal.coordination.sharing.quarantine_store import QuarantineStore
from swifttrestle.internal.coordination.sharing.relaying import Relaying
from swifttrestle.internal.coordination.sharing.stream_archive import StoreArchive
from swifttrestle.internal.coordination.store.entries import SkippedEntries
from swifttrestle.internal.event_log import WRITER, log_event
from swifttrestle.internal.forward.booking import LocalBooker
from swifttrestle.internal.forward.gateway_state import GatewayState, RetryBudgets
from swifttrestle.internal.forward.handler import GatewayHandler
from swifttrestle.internal.forward.open_requests import plan_stop
from swifttrestle.internal.forward.rate_limiter import DistributedRateLimiter
from swifttrestle.internal.forward.scheduled_booking import NUMBER_BITS, ScheduledBooker
from swifttrestle.internal.forward.stream_directory import SharedStreamDirectory
from swifttrestle.internal.listeners import Listeners
from swifttrestle.internal.loop_lag import LoadMonitor
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.operator_pages import READY_PATH, OperatorPages
from swifttrestle.internal.pages import PageHandler
from swifttrestle.internal.policy.distance import Topology
from swifttrestle.internal.quota_enforcement import QuotaEnforcement
from swifttrestle.internal.settings_file import watch_settings_file
from swifttrestle.internal.settings_reload import SettingsReloader
from swifttrestle.internal.state.body_memory import BodyMemory
from swifttrestle.internal.state.declared import Configuration, Route
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
from swifttrestle.platform.store import UNACKNOWLEDGED_MS, ObjectStore

EXIT_BAD_SETTING = 2
# The port that deploy/system.toml declares to the platform.
METRICS_PORT = 9464
# Allocations between garbage collections; more than Python's default to save processor time. The
# default of 700 costs a noticeable share of a small host's processor.
GC_THRESHOLD = 50_000


class Gateway:
    """The components of one gateway process."""

    def __init__(
        self,
        settings: HostSettings,
        metrics_port: int = METRICS_PORT,
        incarnation: int | None = None,
    ) -> None:
        """Create the components; `run` starts them.

        `incarnation` distinguishes this start from others of the host; default: the current time.
        """
        self._settings = settings
        self._metrics_port = metrics_port
        incarnation = incarnation or time.time_ns()
        rng = self._rng = random.Random(f"{settings.host} {incarnation}")
        bounds = settings.bounds
        self._metrics = Metrics()
        self._fleet = Fleet(Topology(settings.regions))
        self._budgets = RetryBudgets(
            bounds.retry_share, bounds.retry_extra, bounds.retry_window_seconds
        )
        self._state = GatewayState(settings.zone, self._fleet, self._budgets, self._metrics, rng)
        self._skipped_entries = SkippedEntries(self._count_skipped_entry)
        store_pool = ConnectionPool(UNACKNOWLEDGED_MS)
        self._store_pool = store_pool
        self._store = ObjectStore(settings.store, store_pool)
        store_pool.on_limit = self._state.limit_reporter.report
        self._store.epochs.on_restore = self._handle_store_restore
        self._configuration = ConfigurationWatcher(
            self._store,
            rng,
            self._apply_configuration,
            lambda: len(self._gossip.live_hosts()),
            self._skipped_entries,
        )
        socket = PeerSocket(settings.ip, settings.internal_port)
        own_member = Member(settings.host, settings.ip, settings.zone, settings.link_mbps)
        self._gossip = Gossip(
            own_member,
            incarnation,
            socket,
            self._fleet,
            self._state.demand,
            self._state.sent_prompts,
            self._configuration,
            rng,
            self._handle_peer_change,
        )
        listing_relay = ListingRelay(
            socket,
            settings.host,
            self._gossip.list_members,
            lambda: self._gossip.candidates.holds_duty_lease,
        )
        self._discovery = Discovery(
            self._store,
            self._fleet,
            rng,
            listing_relay,
            self._serve_queues,
            self._gossip.find_store_up_since,
            self._skipped_entries,
        )
        self._relaying = Relaying(
            own_member,
            settings.internal_port,
            self._gossip.listener,
            self._state,
            self._gossip.list_members,
            rng,
        )
        self._gossip.count_store_seconds = self._discovery.count_store_seconds
        self._booker = ScheduledBooker(
            LocalBooker(self._state),
            self._state,
            socket,
            settings.host,
            self._gossip.list_members,
        )
        self._gossip.recipients.list_schedulers = self._booker.list_schedulers
        self._quarantine_store = QuarantineStore(
            self._store,
            self._state.guard,
            settings.host,
            self._gossip.list_members,
            rng,
            self._skipped_entries,
        )
        self._quarantine_relay = QuarantineRelay(
            socket,
            settings.host,
            self._state.guard,
            self._gossip.list_members,
            rng,
            self._quarantine_store.note_change,
        )
        self._median_clock = MedianClock()
        self._freshness_monitor = FreshnessMonitor(
            self._configuration,
            socket,
            own_member,
            self._gossip.list_members,
            self._gossip.fetch_later,
            self._median_clock,
            bounds.revocation_seconds,
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
            self._median_clock,
            self._get_configuration,
            self._skipped_entries,
            self._relaying.own.reaches_engines,
        )
        self._quotas = QuotaEnforcement(
            bounds.quota,
            settings.host,
            socket,
            self._gossip.list_members,
            lambda: not self._discovery.store_unreachable,
            lambda: self._configuration.table,
            rng,
            self._metrics,
        )
        self._reloader = SettingsReloader(settings, self._budgets, self._gossip, self._quotas)
        self._handler = GatewayHandler(
            self._state,
            self._booker,
            self._quotas.charger,
            lambda: self._configuration.table,
            lambda: self._configuration.freshness.confirmed_at,
            bounds.revocation_seconds,
            self._duties.usage.count_request,
        )
        self._state.permits = permits = DistributedRateLimiter(
            self._state.conditions,
            socket,
            settings.host,
            self._gossip.list_members,
            rng.getrandbits(NUMBER_BITS),
            self._fleet.topology,
        )
        self._state.guard.request_trial = permits.request_trial
        self._stream_archive = StoreArchive(
            self._store,
            settings.store_writes_per_second,
            self._fleet,
            settings.host,
            self._list_routes,
            self._gossip.list_members,
            settings.first_start,
            self._metrics,
            self._skipped_entries,
            rng,
        )
        self._state.streams = self._streams = SharedStreamDirectory(
            socket,
            settings.host,
            self._fleet,
            self._gossip.list_members,
            rng.getrandbits(NUMBER_BITS),
            settings.first_start,
            self._stream_archive,
            ObservedFreshness(
                self._fleet, self._gossip.peers, lambda: self._discovery.store_unreachable
            ),
        )
        self._state.conditions.on_capacity = self._serve_queues
        self._prompt_cache_loader = PromptCacheLoader(
            settings.zone, self._fleet, self._state.pool, self._booker.schedules_engines, rng
        )
        self._load_monitor = LoadMonitor(self._metrics)
        self._body_memory = BodyMemory(settings.memory_bytes)
        self._listeners = Listeners(self._load_monitor.admits_connection, self._body_memory)
        # Whether the newest configuration version of the peers has been in force here.
        self._caught_up = False
        self._stopping = asyncio.Event()
        self._tasks = BackgroundTasks(self._metrics)
        self._operator_pages = OperatorPages(
            settings.host,
            self.is_ready,
            self._state,
            self._configuration,
            self._gossip,
            self._discovery,
            self._duties,
            self._store,
            self._relaying,
            self._quotas.limiter,
            self._body_memory,
        )

    async def run(self) -> None:
        """Serve until a graceful shutdown has ended."""
        settings = self._settings
        # Before any connection from this host's address, which might get one of these ports.
        await self._open_listeners()
        await self._gossip.start([seed[0] for seed in settings.seeds])
        self._tasks.start_restarting(
            "configuration", self._configuration.run, self._configuration.note_failure
        )
        self._tasks.start_restarting("discovery", self._discovery.run, self._discovery.note_failure)
        self._tasks.start_restarting("reports to peers", self._gossip.run)
        self._tasks.start_restarting(
            "registration", lambda: self._gossip.register(self._store, self._skipped_entries)
        )
        self._tasks.start_restarting("expired bookings", self._booker.run)
        self._tasks.start_restarting("loop lag", self._load_monitor.run)
        self._tasks.start_restarting("upstream conditions", self._state.conditions.run)
        self._tasks.start_restarting("quotas", self._quotas.limiter.run)
        self._tasks.start_restarting("stream versions", self._streams.run)
        self._tasks.start_restarting("stream notes", self._stream_archive.notes.run)
        self._tasks.start_restarting("stream defaults", self._stream_archive.defaults.run)
        self._tasks.start_restarting("path checks", self._relaying.own.run)
        self._tasks.start_restarting("prompt cache queries", self._prompt_cache_loader.run)
        self._tasks.start_restarting("stored quarantine", self._quarantine_store.run)
        self._tasks.start_restarting("shared quarantine", self._quarantine_relay.run)
        self._tasks.start_restarting("key confirmations", self._freshness_monitor.run)
        self._duties.start(self._tasks)
        settings_path = Path(os.environ.get(PATH_VARIABLE, ""))
        self._tasks.start_restarting(
            "settings file", lambda: watch_settings_file(settings_path, self.reload)
        )
        log_event("started", ip=settings.ip, zone=settings.zone)
        try:
            await self._stopping.wait()
            await self._stop()
        finally:
            self._close()

    async def _open_listeners(self) -> None:
        settings = self._settings
        await self._listeners.open_for_callers(settings.callers, self._handler)
        readiness_handler = PageHandler({READY_PATH: self._operator_pages.make_readiness_page})
        await self._listeners.open(settings.readiness, readiness_handler)
        operator_handler = self._operator_pages.make_handler()
        await self._listeners.open((settings.ip, self._metrics_port), operator_handler)
        self._listeners.complete = True

    @property
    def config_version(self) -> int:
        """The configuration version in force, or 0 if there is none."""
        return self._configuration.version

    def list_instances(self) -> dict[str, Instance]:
        """Return the known upstream instances by name."""
        return self._fleet.instances

    def knows_instance(self, name: str) -> bool:
        """Return whether an upstream instance is in use."""
        return self._fleet.knows(name)

    def is_ejected(self, name: str) -> bool:
        """Return whether an instance is ejected as broken."""
        return self._state.ejector.is_ejected(name, asyncio.get_running_loop().time())

    def count_open_requests(self) -> int:
        """Return the number of this host's open requests at all upstreams."""
        return sum(item.own.requests for item in self._fleet.instances.values())

    def count_peer_requests(self) -> int:
        """Return the number of the peers' open requests at all upstreams, as last reported."""
        return sum(item.peers.requests for item in self._fleet.instances.values())

    def live_hosts(self) -> list[str]:
        """Return the hosts with a live gateway, including this one."""
        return self._gossip.live_hosts()

    def list_members(self) -> list[Member]:
        """Return the live hosts with their addresses and zones."""
        return list(self._gossip.list_members())

    @property
    def upstream_pool(self) -> ConnectionPool:
        """The connections to upstreams."""
        return self._state.pool

    @property
    def store_pool(self) -> ConnectionPool:
        """The connections to the store."""
        return self._store_pool

    def count_opened_connections(self) -> int:
        """Return the number of connections to upstreams that were opened since the start."""
        return self._state.pool.opened

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        self._stopping.set()

    def _close(self) -> None:
        self._tasks.cancel()
        self._listeners.close()
        self._relaying.server.close()
        self._gossip.close()

    async def _stop(self) -> None:
        """Wait for the load balancer, close idle connections and work off the open requests."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        times = plan_stop(started_at, self._settings.bounds.stop)
        log_event("stopping", open=self._listeners.count_busy())
        self._gossip.announce_leaving()
        self._relaying.server.stop()
        self._handler.open_requests.begin_stop(times)
        await self._listeners.finish(times, self._handler.open_requests.work_off)
        await self._relaying.server.finish(times.end)
        seconds = round(loop.time() - started_at, 2)
        log_event("stopped", cut=self._listeners.count_busy(), seconds=seconds)

    def _serve_queues(self) -> None:
        self._booker.serve_queues()

    def _apply_configuration(self) -> None:
        table = self._configuration.table
        if table is not None:
            configuration = table.configuration
            self._fleet.declared = frozenset(configuration.services)
            self._fleet.gap_objectives = table.find_gap_objectives()
            self._fleet.traits = {
                name: service.engine
                for name, service in configuration.services.items()
                if service.engine is not None
            }
        self._serve_queues()

    def _count_skipped_entry(self, kind: str, field: str) -> None:
        self._metrics.count("entries_skipped_total", kind=kind, field=field)

    def _handle_peer_change(self) -> None:
        live_hosts = self._gossip.live_hosts()
        if len(live_hosts) > self._budgets.hosts:
            # After a partition, hosts may have missed each other's crash reports.
            self._quarantine_relay.request_sync()
        self._budgets.hosts = len(live_hosts)
        self._serve_queues()

    def _handle_store_restore(self) -> None:
        """After a restore of the store from a backup, read it and write own entries again."""
        delay = self._rng.random() * RESTORE_SPREAD_SECONDS
        asyncio.get_running_loop().call_later(delay, self._configuration.reload_after_restore)
        self._quarantine_store.note_change()
        self._stream_archive.note_restored()
        self._tasks.start_restarting(
            "restored registration", lambda: self._gossip.restore_registration(self._store)
        )

    def _list_routes(self) -> tuple[Route, ...]:
        configuration = self._get_configuration()
        return configuration.routes if configuration else ()

    def _get_configuration(self) -> Configuration | None:
        table = self._configuration.table
        return table.configuration if table else None

    def reload(self) -> None:
        """Read the settings file again."""
        self._reloader.reload()

    # Readiness.

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this host."""
        ready = self._configuration.table is not None and self._discovery.known
        ready = ready and self._listeners.complete
        self._caught_up = self._caught_up or (ready and self._gossip.has_caught_up())
        ready = ready and self._caught_up
        # A host that cannot confirm keys would refuse all callers.
        ready = ready and self._freshness_monitor.is_fresh()
        return ready and not self._stopping.is_set()


def main() -> None:
    """Run a gateway; an invalid setting is printed and exits with status 2."""
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
