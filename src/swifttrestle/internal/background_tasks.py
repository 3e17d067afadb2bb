"""The background tasks of a process, and what happens when one of them fails."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from swifttrestle.internal.event_log import WRITER, log_event
from swifttrestle.internal.metrics import Metrics

# Seconds after which a failed task runs again. Peers count a host as gone only after two.
RESTART_SECONDS = 1.0

Run = Callable[[], Coroutine[Any, Any, None]]


def do_nothing() -> None:
    """Take no measure after the failure of a task, which keeps no state that others rely on."""


class BackgroundTasks:
    """Tasks that run until they are cancelled together.

    No error of a task ends the process: one cause may reach all hosts of a fleet alike, and their
    open requests would end with them. A task that keeps state on which others act has a measure
    that marks this state as outdated, as where its source does not answer.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Count failures in `metrics`."""
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()

    def start_restarting(
        self, name: str, run: Run, note_failure: Callable[[], None] = do_nothing
    ) -> None:
        """Run a task; after each failure call `note_failure`, and run it again a while later.

        `name` is the task's in log lines and metrics.
        """
        task = asyncio.create_task(self._run_restarting(name, run, note_failure), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)

    def list_running(self) -> set[str]:
        """Return the names of the tasks that have not ended."""
        return {task.get_name() for task in self._tasks}

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run_restarting(self, name: str, run: Run, note_failure: Callable[[], None]) -> None:
        while True:
            try:
                await run()
            except asyncio.CancelledError as error:
                if _is_cancelled():
                    raise
                # Something that the task waited for was cancelled, not the task.
                self._handle_failure(name, error)
            except Exception as error:
                self._handle_failure(name, error)
            else:
                return
            note_failure()
            await asyncio.sleep(RESTART_SECONDS)

    def _handle_failure(self, name: str, error: BaseException) -> None:
        log_event("task restarted", task=name, error=repr(error))
        self._metrics.count("tasks_restarted_total", task=name)

    def _handle_end(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event("task failed", task=task.get_name(), error=repr(task.exception()))
            WRITER.flush()


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
