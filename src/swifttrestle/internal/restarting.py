"""Runs again after a failure the background tasks without which a host serves as well."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.metrics import Metrics

# Seconds after which a failed task runs again.
RESTART_SECONDS = 1.0


async def run_restarting(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], metrics: Metrics
) -> None:
    """Run a task until it returns or is cancelled; after any exception it runs again.

    `name` is the task's in log lines and metrics.
    """
    while True:
        try:
            await run()
        except Exception as error:
            log_event("task restarted", task=name, error=repr(error))
            metrics.count("tasks_restarted_total", task=name)
        else:
            return
        await asyncio.sleep(RESTART_SECONDS)
