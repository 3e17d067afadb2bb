"""Requests that wait for an engine: the most urgent first, refused early where hopeless."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(order=True)
class _Waiter(Generic[T]):
    priority: int
    deadline: float
    number: int
    find: Callable[[], T | None] = field(compare=False)
    granted: asyncio.Future[T] = field(compare=False)


class AdmissionQueue(Generic[T]):
    """Waiters for one kind of place at engines, by priority and then by deadline."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: list[_Waiter[T]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Return the requests that wait."""
        return sum(1 for waiter in self._waiters if not waiter.granted.done())

    def count_before(self, priority: int, deadline: float) -> int:
        """Return the waiters that would be served before another one."""
        return sum(
            1
            for waiter in self._waiters
            if not waiter.granted.done()
            and (waiter.priority, waiter.deadline) <= (priority, deadline)
        )

    def take(self, find: Callable[[], T | None], priority: int) -> T | None:
        """Return what `find` gives, unless requests wait that go first."""
        return None if self._has_before(priority) else find()

    async def wait(
        self,
        find: Callable[[], T | None],
        release: Callable[[T], None],
        priority: int,
        deadline: float,
        longest: float,
    ) -> T | None:
        """Return a place as soon as `find` gives one, or None after `longest` seconds.

        `find` must book the place that it returns; `release` undoes that where the waiter
        left in the same moment. A request that finds one at once still goes behind those
        that wait and are as urgent.
        """
        found = self.take(find, priority)
        if found is not None or longest <= 0:
            return found
        granted: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(priority, deadline, next(self._numbers), find, granted)
        heapq.heappush(self._waiters, waiter)
        try:
            async with asyncio.timeout(longest):
                return await asyncio.shield(granted)
        except TimeoutError:
            return granted.result() if granted.done() else None
        except asyncio.CancelledError:
            if granted.done():
                release(granted.result())
            raise
        finally:
            granted.cancel()

    def serve(self) -> None:
        """Give places to waiters while there are any; called when room may have come."""
        while self._waiters:
            waiter = self._waiters[0]
            if not waiter.granted.done():
                found = waiter.find()
                if found is None:
                    return
                waiter.granted.set_result(found)
            heapq.heappop(self._waiters)

    def _has_before(self, priority: int) -> bool:
        while self._waiters and self._waiters[0].granted.done():
            heapq.heappop(self._waiters)
        return bool(self._waiters) and self._waiters[0].priority <= priority
