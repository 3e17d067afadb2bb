"""Measures by how much the event loop is late, and limits new connections by that."""

import asyncio

from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.connection_admission import (
    LAG_INTERVAL_SECONDS,
    ConnectionAdmission,
)


class LoadMonitor:
    """Measures the loop's lag, and decides on new connections of callers."""

    def __init__(self, metrics: Metrics) -> None:
        """Start without a limit."""
        self._metrics = metrics
        self._admission = ConnectionAdmission()
        self._limited = False

    def admits_connection(self) -> bool:
        """Return whether a new connection is accepted, and count one that is not."""
        if self._admission.admits(_now()):
            return True
        self._metrics.count("gateway_connections_closed_unread_total")
        return False

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            before = _now()
            await asyncio.sleep(LAG_INTERVAL_SECONDS)
            now = _now()
            lag = max(0.0, now - before - LAG_INTERVAL_SECONDS)
            self._metrics.count("gateway_loop_late_seconds_total", lag)
            self._admission.note_lag(lag, now)
            self._log_change(lag)

    def _log_change(self, lag: float) -> None:
        rate = self._admission.rate
        if (rate is not None) is self._limited:
            return
        self._limited = rate is not None
        log_event(
            "new connections limited" if self._limited else "new connections not limited",
            rate=None if rate is None else round(rate, 1),
            lag_ms=round(lag * 1000),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
