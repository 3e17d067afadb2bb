"""One read of the store for all that ask for it in the meantime."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class SharedRead(Generic[T]):
    """Reads for several callers at once; each gets a result that was read after it had asked."""

    def __init__(
        self, read: Callable[[], Awaitable[T]], find_interval: Callable[[], float]
    ) -> None:
        """Read by `read`, at least `find_interval()` seconds after the last read began."""
        self._read = read
        self._find_interval = find_interval
        self._began_at = float("-inf")
        self._next: asyncio.Task[T] | None = None

    async def get(self) -> T:
        """Return the result of a read that begins from now on."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._read_later())
            # Its error is the callers' business, also once all of them have left.
            self._next.add_done_callback(lambda task: task.cancelled() or task.exception())
        # A caller that leaves does not end the read for the others.
        return await asyncio.shield(self._next)

    async def _read_later(self) -> T:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._began_at + self._find_interval() - loop.time())
        self._began_at = loop.time()
        self._next = None
        return await self._read()
