"""Tries several ways of connecting, each a little after the one before; the first one wins."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.transport.upstream import UpstreamConnection


@dataclass(frozen=True)
class Way:
    """One way of connecting; it starts `delay` seconds after the one before, or once all failed."""

    delay: float
    connect: Callable[[], Coroutine[Any, Any, UpstreamConnection]]


class NoWayError(Exception):
    """All ways have failed; `errors` has their errors in order."""

    def __init__(self, errors: Sequence[UpstreamUnreachedError]) -> None:
        """Store the errors."""
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = tuple(errors)


async def connect_by_first(ways: Sequence[Way]) -> UpstreamConnection:
    """Return the connection of the way that succeeds first; raise NoWayError if none does."""
    tasks: list[asyncio.Task[UpstreamConnection]] = []
    try:
        for number, way in enumerate(ways):
            tasks.append(asyncio.ensure_future(way.connect()))
            delay = ways[number + 1].delay if number + 1 < len(ways) else None
            winner = await _wait_for_winner(tasks, delay)
            if winner is not None:
                return winner
        raise NoWayError([_get_error(task) for task in tasks])
    finally:
        for task in tasks:
            _give_up(task)


async def _wait_for_winner(
    tasks: Sequence["asyncio.Task[UpstreamConnection]"], delay: float | None
) -> UpstreamConnection | None:
    """Return the first success; None after `delay` seconds, or once all tasks have failed."""
    loop = asyncio.get_running_loop()
    end = None if delay is None else loop.time() + delay
    while True:
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is None:
                return task.result()
        waiting = [task for task in tasks if not task.done()]
        timeout = None if end is None else end - loop.time()
        if not waiting or (timeout is not None and timeout <= 0):
            return None
        await asyncio.wait(waiting, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)


def _get_error(task: "asyncio.Task[UpstreamConnection]") -> UpstreamUnreachedError:
    """Return the error of a failed way; raise any other exception of it."""
    error = task.exception()
    if not isinstance(error, UpstreamUnreachedError):
        assert error is not None
        raise error
    return error


def _give_up(task: "asyncio.Task[UpstreamConnection]") -> None:
    """Cancel a task; close its connection if it succeeds too late."""
    task.cancel()
    task.add_done_callback(_close_unused)


def _close_unused(task: "asyncio.Task[UpstreamConnection]") -> None:
    if not task.cancelled() and task.exception() is None:
        connection = task.result()
        if not connection.claimed:
            connection.close()
