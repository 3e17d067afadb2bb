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


@contextlib.asynccontextmanager
async def limit_silence(silence: SilenceLimit) -> AsyncIterator[None]:
    """Raise TimeoutError in the block once the limit is reached."""
    loop = asyncio.get_running_loop()
    timer: asyncio.TimerHandle | None = None
    given_up = False

    def check() -> None:
        nonlocal timer, given_up
        given_up = silence.may_give_up()
        if given_up:
            timeout.reschedule(loop.time())
        else:
            timer = loop.call_later(RECHECK_SECONDS, check)

    async with asyncio.timeout(None) as timeout:
        timer = loop.call_later(silence.seconds, check)
        try:
            yield
        finally:
            timer.cancel()
    if given_up:
        silence.withdraw()
