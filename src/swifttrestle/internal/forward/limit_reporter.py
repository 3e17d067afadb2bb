"""Reports which upstream sent a response without end, by a counter and a log line."""

import asyncio

from swifttrestle.errors import ResponseLimit, UpstreamLimitError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.metrics import Metrics

# Minimum time between two log lines about the same limit of the same upstream.
LOG_INTERVAL_SECONDS = 10.0


class LimitReporter:
    """Counts and logs the responses that exceed a limit."""

    def __init__(self, metrics: Metrics) -> None:
        """Count in `metrics`."""
        self._metrics = metrics
        self._logged_at: dict[tuple[str, ResponseLimit], float] = {}

    def report(self, upstream: str, error: UpstreamLimitError) -> None:
        """Count one response, and log it unless the same was logged a moment ago."""
        self._metrics.count(
            "upstream_limits_exceeded_total", instance=upstream, limit=error.limit.value
        )
        now = asyncio.get_running_loop().time()
        self._forget_before(now - LOG_INTERVAL_SECONDS)
        if (upstream, error.limit) not in self._logged_at:
            self._logged_at[upstream, error.limit] = now
            log_event(
                "response without end",
                instance=upstream,
                limit=error.limit.value,
                max_bytes=error.max_bytes,
            )

    def _forget_before(self, earliest: float) -> None:
        self._logged_at = {key: at for key, at in self._logged_at.items() if at > earliest}
