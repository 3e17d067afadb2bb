"""Reads load reports and cache events of engines, in one thread per engine."""

import threading

import orjson
from urllib3.exceptions import HTTPError

from swifttrestle.errors import UpstreamError
from swifttrestle.internal.entry.admission_queue import BlockingAdmissionQueue
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.protocol.engine import HttpEngine
from swifttrestle.internal.state.upstreams import UpstreamTable
from swifttrestle.internal.transport.bounded_responses import read_bounded
from swifttrestle.internal.transport.http import make_client

READ_TIMEOUT_SECONDS = 1.0
# Factor by which engines without requests of this entry are read less often.
IDLE_INTERVAL_FACTOR = 4
# Maximum bytes of the events of one engine's cache.
MAX_EVENTS_BYTES = 4 * 1024 * 1024


class ReportReader:
    """Keeps the load reports and cached prefixes of the upstream table up to date."""

    def __init__(
        self, table: UpstreamTable, queue: BlockingAdmissionQueue, metrics: Metrics, interval: float
    ) -> None:
        """Read each engine's report every `interval` seconds."""
        self._table = table
        self._queue = queue
        self._metrics = metrics
        self._interval = interval
        self._stopped = threading.Event()
        self._readers: set[tuple[str, str]] = set()

    def start(self) -> None:
        """Start reading the reports of the table's engines."""
        threading.Thread(target=self._start_readers, name="reports", daemon=True).start()

    def stop(self) -> None:
        """Stop reading."""
        self._stopped.set()

    def _start_readers(self) -> None:
        while not self._stopped.wait(0.1):
            for name_and_address in self._table.addresses().items():
                if name_and_address not in self._readers:
                    self._readers.add(name_and_address)
                    threading.Thread(
                        target=self._read_engine, args=name_and_address, daemon=True
                    ).start()

    def _read_engine(self, name: str, address: str) -> None:
        client = make_client(READ_TIMEOUT_SECONDS, connections=1)
        engine = HttpEngine(address, client)
        next_event = 0
        boot = ""
        while not self._stopped.is_set() and self._table.addresses().get(name) == address:
            try:
                report = engine.read_load()
                if report.state.boot != boot:
                    boot, next_event = report.state.boot, 0
                self._table.note_report(name, report)
                self._queue.notify()
                if not self._table.is_in_use(name):
                    self._stopped.wait(self._interval * IDLE_INTERVAL_FACTOR)
                    continue
                response = client.request(
                    "GET",
                    f"http://{address}/cache-events?since={next_event}",
                    preload_content=False,
                )
                content = read_bounded(response, MAX_EVENTS_BYTES, READ_TIMEOUT_SECONDS)
                next_event = self._take_events(name, content, next_event)
            except (UpstreamError, HTTPError, OSError) as error:
                self._metrics.count("reports_lost_total", reason=type(error).__name__)
            self._stopped.wait(self._interval)
        self._readers.discard((name, address))

    def _take_events(self, name: str, data: bytes, next_event: int) -> int:
        """Apply cache events and return the next event's number.

        Missed events leave outdated prefixes in the table, which are only hints.
        """
        try:
            value = orjson.loads(data)
            for _, change, block in value["events"]:
                if change == "stored":
                    self._table.prefixes.note_stored(name, (int(block),))
                else:
                    self._table.prefixes.note_dropped(name, int(block))
            return int(value["next"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            self._metrics.count("cache_events_unreadable_total")
            return next_event
