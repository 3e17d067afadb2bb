"""Tries several ways of connecting, each a little after the one before; the first one wins."""

import asyncio
import math
from collections.abc import Callable, Coroutine, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.transport.upstream import UpstreamConnection


@dataclass(frozen=True)
class Way:
    """One way of connecting; the next one starts `seconds` later, or once all so far failed."""

    seconds: float
    connect: Callable[[], Coroutine[Any, Any, UpstreamConnection]]


class NoWayError(Exception):
    """No way succeeded; `errors` has the errors of the failed ones in order.

    `undecided` is whether any still tried when the time was over.
    """

    def __init__(self, errors: Sequence[UpstreamUnreachedError], undecided: bool) -> None:
        """Store the errors."""
        super().__init__("; ".join(str(error) for error in errors))
        self.errors = tuple(errors)
        self.undecided = undecided


class LateWays:
    """Ways that go on for a while after their race is lost, so that slow ones are found too."""

    def __init__(self, seconds: float, maximum: int) -> None:
        """Cancel a way after `seconds`; let `maximum` go on at once."""
        self._seconds = seconds
        self._maximum = maximum
        self._tasks: set[asyncio.Task[UpstreamConnection]] = set()

    def add(
        self,
        task: "asyncio.Task[UpstreamConnection]",
        keep: Callable[[UpstreamConnection], None],
    ) -> bool:
        """Let a way go on, and pass its connection to `keep`; return whether there is room."""
        if len(self._tasks) >= self._maximum:
            return False
        self._tasks.add(task)
        timer = asyncio.get_running_loop().call_later(self._seconds, task.cancel)

        def end(task: "asyncio.Task[UpstreamConnection]") -> None:
            timer.cancel()
            self._tasks.discard(task)
            if task.cancelled():
                return
            error = task.exception()
            if error is None:
                keep(task.result())
            elif not isinstance(error, UpstreamUnreachedError):
                log_event("late connection failed", error=repr(error))

        task.add_done_callback(end)
        return True


class Race:
    """Tries ways in turn until one succeeds, all have failed or the time is over."""

    def __init__(
        self,
        seconds: float,
        let_go_on: Callable[["asyncio.Task[UpstreamConnection]"], bool] = lambda _: False,
    ) -> None:
        """End after `seconds` at the latest.

        `let_go_on` is called with each way that still tries when the race is lost, and returns
        whether it takes the way over; the others are cancelled.
        """
        self._end = asyncio.get_running_loop().time() + seconds
        self._let_go_on = let_go_on
        self._tasks: list[asyncio.Task[UpstreamConnection]] = []

    def shorten(self, seconds: float) -> None:
        """End within `seconds` from now."""
        self._end = min(self._end, asyncio.get_running_loop().time() + seconds)

    async def run(self, ways: Iterator[Way]) -> UpstreamConnection:
        """Return the connection of the way that succeeds first; raise NoWayError.

        Takes the next way only when it starts.
        """
        try:
            for way in ways:
                self._tasks.append(asyncio.ensure_future(way.connect()))
                winner = await self._wait_for_winner(way.seconds)
                if winner is not None:
                    return winner
                if asyncio.get_running_loop().time() >= self._end:
                    break
            winner = await self._wait_for_winner(math.inf)
            if winner is not None:
                return winner
            errors = [_get_error(task) for task in self._tasks if task.done()]
            undecided = len(errors) < len(self._tasks)
            self._tasks = [task for task in self._tasks if task.done() or not self._let_go_on(task)]
            raise NoWayError(errors, undecided)
        finally:
            for task in self._tasks:
                _give_up(task)

    async def _wait_for_winner(self, seconds: float) -> UpstreamConnection | None:
        """Return the first success; None after `seconds`, or once all tasks have failed."""
        loop = asyncio.get_running_loop()
        next_at = loop.time() + seconds
        while True:
            for task in self._tasks:
                if task.done() and not task.cancelled() and task.exception() is None:
                    return task.result()
            waiting = [task for task in self._tasks if not task.done()]
            timeout = min(next_at, self._end) - loop.time()
            if not waiting or timeout <= 0:
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
