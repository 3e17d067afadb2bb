"""Whether an instance lives on after an answer that ended with its connection.

The connections of a process that is killed end in order, like those behind such an answer.
"""

import asyncio

from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.forward.crash_detection import PROBE_DELAY_SECONDS
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.transport.pool import ConnectionPool

# Seconds for which a new connection must stay open: a process that ends may accept one and reset
# it.
HOLD_SECONDS = 0.01
# Attempts to connect. One that is reset may also mean that the upstream has too many connections.
ATTEMPTS = 2


async def lives_on(pool: ConnectionPool, instance: Instance) -> bool:
    """Return whether an instance's address is still open after a connection of it has ended.

    A new connection takes the place of the one that has ended.
    """
    for _ in range(ATTEMPTS):
        await asyncio.sleep(PROBE_DELAY_SECONDS)
        try:
            await pool.probe(instance.name, instance.record.address, HOLD_SECONDS)
        except UpstreamUnreachedError as error:
            if error.refused:
                return False
            continue
        break
    if instance.gone:
        # No more requests are sent to this instance.
        pool.close_idle_connections(instance.name)
    return True
