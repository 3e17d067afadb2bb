"""The event loop of a gateway, whose clock includes suspended time."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from swifttrestle.internal.clock import read_boottime_seconds

T = TypeVar("T")


class BoottimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers and timeouts include suspended time."""

    def time(self) -> float:
        """Return seconds since boot."""
        return read_boottime_seconds()


def run_in_loop(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in a BoottimeLoop; return its result."""
    with asyncio.Runner(loop_factory=BoottimeLoop) as runner:
        return runner.run(work)
