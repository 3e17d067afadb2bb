"""`swifttrestle-entry`: admits, routes and relays callers' requests."""

import random
import threading
import zlib
from collections.abc import Collection
from concurrent.futures import ThreadPoolExecutor

import fire

from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.clock import MonotonicClock, read_boottime_seconds
from swifttrestle.internal.entry.admission_queue import BlockingAdmissionQueue
from swifttrestle.internal.entry.attempts import Attempts
from swifttrestle.internal.entry.crash_guard import EntryCrashGuard
from swifttrestle.internal.entry.handler import EntryHandler
from swifttrestle.internal.entry.idempotency import IdempotencyRecords
from swifttrestle.internal.entry.quota_reporter import QuotaReporter
from swifttrestle.internal.entry.quotas import ACCRUAL_SECONDS, EntryQuotas
from swifttrestle.internal.entry.relay import RelayContext
from swifttrestle.internal.entry.report_reader import ReportReader
from swifttrestle.internal.policy.routing import LeastPredicted
from swifttrestle.internal.process import Process, run_program, wants_help
from swifttrestle.internal.protocol.peers import ENTRY
from swifttrestle.internal.settings import EntrySettings
from swifttrestle.internal.state.closings import ClosingTable
from swifttrestle.internal.state.upstreams import UpstreamTable
from swifttrestle.internal.transport.http import make_server, server_address
from swifttrestle.internal.transport.stream_relay import StreamRelay

PROGRAM = "swifttrestle-entry"
RESUME_THREADS = 16


class Entry:
    """The components of one entry process."""

    def __init__(self, settings: EntrySettings) -> None:
        """Bind the callers' port; `run` starts serving."""
        self._settings = settings
        closings = ClosingTable()
        self.table = UpstreamTable(settings.zone, closings, MonotonicClock())
        self.process = Process(settings, ENTRY, (), self.table, closings)
        seed = settings.seed or zlib.crc32(settings.name.encode())
        self.queue = BlockingAdmissionQueue(self.process.clock)
        attempts = Attempts(
            self.table,
            LeastPredicted(),
            random.Random(seed),
            self.process.metrics,
            EntryCrashGuard(self.process.clock, self.process.metrics, random.random()),
            connect_seconds=settings.connect_seconds,
            name=settings.name,
        )
        self._attempts = attempts
        self.stream_relay = StreamRelay()
        relay_context = RelayContext(
            self.stream_relay,
            attempts,
            ThreadPoolExecutor(RESUME_THREADS, thread_name_prefix="resume"),
            self.process.metrics,
            settings.stall_seconds,
        )
        self.quotas = EntryQuotas(
            settings.name, self.process.clock, self.process.metrics, self._list_entries
        )
        self.quota_reporter = QuotaReporter(self.process.api, settings.name, self.quotas)
        self.handler = EntryHandler(
            config=self.process.config,
            table=self.table,
            queue=self.queue,
            relay_context=relay_context,
            claims=IdempotencyRecords(self.process.api, settings.name),
            quotas=self.quotas,
            metrics=self.process.metrics,
            threads=settings.threads,
            max_streams=settings.max_streams,
            connect_seconds=settings.connect_seconds,
        )
        self.reports = ReportReader(
            self.table, self.queue, self.process.metrics, settings.report_seconds
        )
        self.server = make_server(
            parse_address(settings.listen),
            self.handler,
            settings.threads,
            settings.max_body_bytes,
            settings.max_header_bytes,
        )
        self._add_state()

    def _add_state(self) -> None:
        """Add the entry's state to the state dump and the metrics."""
        process = self.process
        process.add_dump("upstreams", self.table.dump)
        process.add_dump("quarantine", self._attempts.guard.list_quarantined)
        process.add_dump("quotas", self.quotas.describe)
        process.add_dump("open_requests", lambda: self.handler.open_requests)
        process.metrics.add_gauge(
            "open_requests", "Requests taken and not ended", lambda: self.handler.open_requests
        )
        process.metrics.add_gauge(
            "open_streams", "Streams in the relay pump", lambda: self.stream_relay.open_streams
        )
        process.metrics.add_gauge(
            "waiting_requests", "Requests waiting for room", lambda: self.queue.waiting
        )

    def run(self) -> None:
        """Serve until a graceful shutdown has ended."""
        self.process.start()
        self.stream_relay.start()
        self.reports.start()
        self.quota_reporter.start()
        threading.Thread(target=self._announce_idle_upstreams, daemon=True).start()
        threading.Thread(target=self._accrue_quotas, name="quotas", daemon=True).start()
        threading.Thread(target=self.server.serve, name="callers", daemon=True).start()
        listen = server_address(self.server)
        self.process.run_until_stopped({"listen": listen}, self._stop)

    def _list_entries(self) -> Collection[str]:
        return self.process.membership.members(ENTRY)

    def _accrue_quotas(self) -> None:
        while not self.process.stopping.wait(ACCRUAL_SECONDS):
            self.quotas.accrue()

    def _announce_idle_upstreams(self) -> None:
        """Notify the peers at once when the last request on a closed upstream has ended."""
        while True:
            self._attempts.closed_upstream_idle.wait()
            self._attempts.closed_upstream_idle.clear()
            self.process.membership.announce()

    def _stop(self) -> None:
        """Refuse new requests, then wait up to `stop_seconds` for the open ones."""
        self.handler.stopping = True
        self.queue.stop(self._settings.stop_seconds)
        deadline = read_boottime_seconds() + self._settings.stop_seconds
        with self.handler.request_ended:
            while self.handler.open_requests and read_boottime_seconds() < deadline:
                self.handler.request_ended.wait(0.2)
        self.reports.stop()
        self.quota_reporter.stop()
        self.server.stop()


def run(settings: EntrySettings) -> None:
    """Run an entry until SIGTERM or SIGINT."""
    Entry(settings).run()


def main() -> None:
    """Run the console script."""
    if not wants_help(PROGRAM, EntrySettings):
        fire.Fire(lambda **flags: run_program(PROGRAM, EntrySettings, flags, run), name=PROGRAM)
