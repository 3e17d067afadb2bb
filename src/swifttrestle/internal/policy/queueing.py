"""Requests that wait for an engine: the most urgent first, refused early where hopeless."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from swifttrestle.internal.state.fleet import Instance

# Share of the objective after which a request that found no engine is refused: an early
# refusal lets its caller come back in time.
WAIT_SHARE = 0.2


@dataclass(order=True)
class _Waiter:
    priority: int
    deadline: float
    number: int
    find: Callable[[], Instance | None] = field(compare=False)
    granted: asyncio.Future[Instance] = field(compare=False)


class AdmissionQueue:
    """Waiters for one service's engines, by priority and then by deadline."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        """Return the requests that wait."""
        return sum(1 for waiter in self._waiters if not waiter.granted.done())

    async def wait(
        self,
        find: Callable[[], Instance | None],
        release: Callable[[Instance], None],
        priority: int,
        deadline: float,
        longest: float,
    ) -> Instance | None:
        """Return an engine as soon as `find` gives one, or None after `longest` seconds.

        `find` must book the engine that it returns; `release` undoes that where the waiter
        left in the same moment. A request that finds one at once still goes behind those
        that wait and are as urgent.
        """
        if not self._has_before(priority):
            found = find()
            if found is not None or longest <= 0:
                return found
        granted: asyncio.Future[Instance] = asyncio.get_running_loop().create_future()
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
        """Give engines to waiters while there are any; called when room may have come."""
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
