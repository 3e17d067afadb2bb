"""Work on the store that is tried again until it is done, at different moments on each host."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from swifttrestle.errors import ConflictError, PlatformUnavailableError
from swifttrestle.internal.event_log import log_event

# Least seconds between two tries, and the most that chance adds to them: a store that comes back
# must not meet all hosts at once.
RETRY_SECONDS = 1.0


async def retry_until_done(
    act: Callable[[], Awaitable[None]], event: str, rng: random.Random
) -> None:
    """Do `act`, and again with a line of `event` where the store, or another write, kept it off."""
    while True:
        try:
            await act()
            return
        except (PlatformUnavailableError, ConflictError) as error:
            log_event(event, reason=str(error))
            await asyncio.sleep(RETRY_SECONDS * (1 + rng.random()))
