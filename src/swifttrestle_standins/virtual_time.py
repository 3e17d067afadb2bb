"""An event loop in virtual time, which advances to the next timer instead of waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready keys; advance the time by the timeout if there are none."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled and no file descriptor is ready")
        if not ready:
            self.now += max(0.0, timeout or 0.0)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that runs timers in virtual time; it does not wait for I/O."""

    def __init__(self) -> None:
        """Create a loop at virtual time 0."""
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._time_selector.now


def run_in_virtual_time(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in a new virtual-time loop and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work)
