"""The background tasks of a process, and what happens when one of them fails."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from swifttrestle.internal.event_log import WRITER, log_event
from swifttrestle.internal.metrics import Metrics

# Seconds after which a failed task that may be restarted runs again.
RESTART_SECONDS = 1.0


class BackgroundTasks:
    """Tasks that run until they are cancelled together."""

    def __init__(self, metrics: Metrics, stop: Callable[[], None]) -> None:
        """Call `stop` when a task fails without which the process must not go on."""
        self._metrics = metrics
        self._stop = stop
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a task whose failure stops the process, which would act on stale state."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)

    def start_restarting(self, name: str, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a task without which the process serves as well; after a failure it runs again.

        `name` is the task's in log lines and metrics.
        """
        self.start(self._run_restarting(name, run))

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run_restarting(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await run()
            except Exception as error:
                log_event("task restarted", task=name, error=repr(error))
                self._metrics.count("tasks_restarted_total", task=name)
            else:
                return
            await asyncio.sleep(RESTART_SECONDS)

    def _handle_end(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("task failed", error=repr(task.exception()))
            WRITER.flush()
            self._stop()
