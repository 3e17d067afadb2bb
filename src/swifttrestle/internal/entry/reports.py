"""Reads load reports and cache events of the upstreams, one thread an engine."""

import threading

import orjson
from urllib3.exceptions import HTTPError

from swifttrestle.errors import UpstreamError
from swifttrestle.internal.entry.waiting import BlockingAdmissionQueue
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.protocol.engine import HttpEngine
from swifttrestle.internal.state.upstreams import UpstreamTable
from swifttrestle.internal.transport.http import make_client

READ_SECONDS = 1.0
# An engine that holds its model and gets nothing from here is read this much less often.
IDLE_FACTOR = 4


class ReportReader:
    """Keeps the upstream table's reports and prefix beliefs fresh."""

    def __init__(
        self, table: UpstreamTable, line: BlockingAdmissionQueue, metrics: Metrics, pause: float
    ) -> None:
        """Read each engine's report every `pause` seconds."""
        self._table = table
        self._line = line
        self._metrics = metrics
        self._pause = pause
        self._stopped = threading.Event()
        self._readers: set[tuple[str, str]] = set()

    def start(self) -> None:
        """Follow the table's engines in threads of their own."""
        threading.Thread(target=self._follow, name="reports", daemon=True).start()

    def stop(self) -> None:
        """Read no more."""
        self._stopped.set()

    def _follow(self) -> None:
        while not self._stopped.wait(0.1):
            for item in self._table.addresses().items():
                if item not in self._readers:
                    self._readers.add(item)
                    threading.Thread(target=self._read_one, args=item, daemon=True).start()

    def _read_one(self, name: str, address: str) -> None:
        client = make_client(READ_SECONDS, connections=1)
        engine = HttpEngine(address, client)
        next_event = 0
        boot = ""
        while not self._stopped.is_set() and self._table.addresses().get(name) == address:
            try:
                report = engine.read_load()
                if report.state.boot != boot:
                    boot, next_event = report.state.boot, 0
                self._table.note_report(name, report)
                self._line.notify()
                if not self._table.is_in_use(name):
                    self._stopped.wait(self._pause * IDLE_FACTOR)
                    continue
                response = client.request(
                    "GET", f"http://{address}/cache-events?since={next_event}"
                )
                next_event = self._take_events(name, response.data, next_event)
            except (UpstreamError, HTTPError, OSError) as error:
                self._metrics.count("reports_lost_total", reason=type(error).__name__)
            self._stopped.wait(self._pause)
        self._readers.discard((name, address))

    def _take_events(self, name: str, data: bytes, next_event: int) -> int:
        """Take cache events over; a gap leaves old beliefs, which are only hints."""
        try:
            value = orjson.loads(data)
            for _, what, block in value["events"]:
                if what == "stored":
                    self._table.prefixes.note_stored(name, (int(block),))
                else:
                    self._table.prefixes.note_dropped(name, int(block))
            return int(value["next"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            self._metrics.count("cache_events_unreadable_total")
            return next_event
