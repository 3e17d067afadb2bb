"""An event loop whose time jumps to the next timer, so that tests of seconds take none."""

import asyncio
import selectors


class _JumpingSelector(selectors.DefaultSelector):
    """Passes the time that it is asked to wait for at once."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("nothing is left that could wake the test")
        if not ready:
            self.now += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop without waits; it serves timers, not other processes."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now


def run_in_virtual_time(work):
    """Run a coroutine to its end; return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(work)
