"""Counters and gauges of one process, exported in the Prometheus text format.

aioprometheus is not thread-safe and its counters are slow, so the hot path counts in plain numbers
under one lock, which are copied when the page is rendered.
"""

import threading
from collections import defaultdict
from collections.abc import Callable

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.formats import text

# Upper bounds of the histogram buckets, from one network hop to the longest deadlines.
BUCKET_BOUNDS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """All counters and gauges of one process."""

    def __init__(self) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._counts: dict[tuple[str, Labels], float] = defaultdict(float)
        self._gauges: dict[str, tuple[str, Callable[[], float]]] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter; the name ends in its unit, such as `_total` or `_bytes_total`."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counts[key] += amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        for bound in BUCKET_BOUNDS_SECONDS:
            if seconds <= bound:
                self.count(f"{name}_bucket", 1, le=f"{bound:g}", **labels)
        self.count(f"{name}_bucket", 1, le="+Inf", **labels)
        self.count(f"{name}_sum", seconds, **labels)
        self.count(f"{name}_count", 1, **labels)

    def add_gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Export the value that `read` returns when the page is rendered."""
        self._gauges[name] = (doc, read)

    def total(self, name: str) -> float:
        """Return a counter summed over its labels."""
        with self._lock:
            return sum(value for (key, _), value in self._counts.items() if key == name)

    def snapshot(self) -> dict[str, float]:
        """Return all counters, with the labels as part of the name."""
        with self._lock:
            items = list(self._counts.items())
        return {_format_name(name, labels): value for (name, labels), value in items}

    def render(self) -> bytes:
        """Return the page in the Prometheus text format."""
        registry = Registry()
        counters: dict[str, Counter] = {}
        with self._lock:
            items = list(self._counts.items())
        for (name, labels), value in items:
            if name not in counters:
                counters[name] = Counter(f"swifttrestle_{name}", name, registry=registry)
            counters[name].set(dict(labels), value)
        for name, (doc, read) in self._gauges.items():
            Gauge(f"swifttrestle_{name}", doc, registry=registry).set({}, read())
        return text.TextFormatter().marshall(registry)


def _format_name(name: str, labels: Labels) -> str:
    if not labels:
        return name
    return name + "{" + ",".join(f"{key}={value}" for key, value in labels) + "}"
