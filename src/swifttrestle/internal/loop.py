"""The event loop of a gateway: its time goes on while the machine is suspended."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from swifttrestle.internal.clock import read_boottime_seconds

T = TypeVar("T")


class SteadyLoop(asyncio.SelectorEventLoop):
    """A loop whose timers, time-outs and ages count suspended seconds."""

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return read_boottime_seconds()


def run_in_loop(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in such a loop; return its result."""
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        return runner.run(work)
