"""Retries of store operations, with jitter."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from swifttrestle.errors import ConflictError, PlatformUnavailableError
from swifttrestle.internal.event_log import log_event

# Minimum seconds between two attempts, and the maximum jitter added. Jitter keeps hosts from
# calling all at once when the store becomes available again.
RETRY_SECONDS = 1.0


async def retry_until_done(
    operation: Callable[[], Awaitable[None]], event: str, rng: random.Random
) -> None:
    """Await `operation` until it succeeds; log `event` for each failed call or write conflict."""
    while True:
        try:
            await operation()
            return
        except (PlatformUnavailableError, ConflictError) as error:
            log_event(event, reason=str(error))
            await asyncio.sleep(RETRY_SECONDS * (1 + rng.random()))
