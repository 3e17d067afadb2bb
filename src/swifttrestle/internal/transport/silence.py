"""Limits on the time for which a silent upstream is waited for."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from swifttrestle.internal.callbacks import do_nothing

# Seconds between two questions whether a silent upstream may be given up.
RECHECK_SECONDS = 0.1


def _always() -> bool:
    return True


@dataclass(frozen=True)
class SilenceLimit:
    """After `seconds` of silence an upstream is given up as soon as `may_give_up` returns true.

    `may_give_up` may reserve what the next attempt needs; `withdraw` is called if the upstream
    sent something in that very moment, so that there is no next attempt.
    """

    seconds: float
    may_give_up: Callable[[], bool] = _always
    withdraw: Callable[[], None] = do_nothing


class _Watch:
    """Watches one wait; it refers to itself only while its timer runs.

    A function that refers to itself would stay in memory with all that its limit refers to, such as
    a request's body, until a garbage collection.
    """

    def __init__(self, silence: SilenceLimit, timeout: asyncio.Timeout) -> None:
        """Start to watch; end `timeout` once the limit is reached."""
        self._silence = silence
        self._timeout = timeout
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(silence.seconds, self._check)
        self.given_up = False

    def stop(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _check(self) -> None:
        self.given_up = self._silence.may_give_up()
        if self.given_up:
            self._timeout.reschedule(self._loop.time())
        else:
            self._timer = self._loop.call_later(RECHECK_SECONDS, self._check)


@contextlib.asynccontextmanager
async def limit_silence(silence: SilenceLimit) -> AsyncIterator[None]:
    """Raise TimeoutError in the block once the limit is reached."""
    async with asyncio.timeout(None) as timeout:
        watch = _Watch(silence, timeout)
        try:
            yield
        finally:
            watch.stop()
    if watch.given_up:
        silence.withdraw()
