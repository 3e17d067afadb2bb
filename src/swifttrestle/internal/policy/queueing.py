"""Priority queue of requests that wait for an engine."""

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
    """Waiters for one kind of slot, by priority and then by deadline."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: list[_Waiter[T]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return sum(1 for waiter in self._waiters if not waiter.granted.done())

    def count_before(self, priority: int, deadline: float) -> int:
        """Return the number of waiters before one of a priority and deadline."""
        return sum(
            1
            for waiter in self._waiters
            if not waiter.granted.done()
            and (waiter.priority, waiter.deadline) <= (priority, deadline)
        )

    def take(self, find: Callable[[], T | None], priority: int) -> T | None:
        """Return the result of `find`, or None while requests of this or a higher priority wait."""
        return None if self._has_waiter_before(priority) else find()

    async def wait(
        self,
        find: Callable[[], T | None],
        release: Callable[[T], None],
        priority: int,
        deadline: float,
        longest_wait: float,
    ) -> T | None:
        """Return a slot as soon as `find` returns one, or None after `longest_wait` seconds.

        `find` must book the slot that it returns; `release` undoes that where the waiter is
        cancelled at the same time. A new request goes behind waiters of the same priority even if
        a slot is free.
        """
        found = self.take(find, priority)
        if found is not None or longest_wait <= 0:
            return found
        granted: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(priority, deadline, next(self._numbers), find, granted)
        heapq.heappush(self._waiters, waiter)
        try:
            async with asyncio.timeout(longest_wait):
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
        """Assign free slots to waiters; called when a slot may have become free."""
        while self._waiters:
            waiter = self._waiters[0]
            if not waiter.granted.done():
                found = waiter.find()
                if found is None:
                    return
                waiter.granted.set_result(found)
            heapq.heappop(self._waiters)

    def _has_waiter_before(self, priority: int) -> bool:
        while self._waiters and self._waiters[0].granted.done():
            heapq.heappop(self._waiters)
        return bool(self._waiters) and self._waiters[0].priority <= priority
