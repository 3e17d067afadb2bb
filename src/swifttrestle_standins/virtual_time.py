"""An event loop whose time jumps to the next timer, so that seconds take no time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.DefaultSelector):
    """Passes the time that it is asked to wait for at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, and let the time to wait pass where nothing is."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("nothing is left that could wake the loop")
        if not ready:
            self.now += max(0.0, timeout or 0.0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop without waits; it serves timers, not other processes."""

    def __init__(self) -> None:
        """Start at zero."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual seconds since the start."""
        return self._jumping.now


def run_in_virtual_time(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end; return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work)
