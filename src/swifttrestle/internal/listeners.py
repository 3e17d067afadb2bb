"""The addresses of a gateway that take connections, from the start to the end of a planned stop."""

import asyncio

from swifttrestle.internal.transport.caller import (
    CallerConnection,
    ConnectionSet,
    RequestHandler,
)
from swifttrestle.internal.transport.upstream import Address

# Connections that may wait to be accepted.
BACKLOG = 1024
# Seconds after a planned stop begins before idle connections are closed: the balancer asks
# once a second and takes a host out after two misses.
LEARN_SECONDS = 2.5
# Seconds between looks at open work while stopping.
STOP_LOOK_SECONDS = 0.05


class Listeners:
    """Callers' connections, and those of the balancer and of operators."""

    def __init__(self) -> None:
        """Start without an address."""
        self._callers = ConnectionSet()
        self._others = ConnectionSet()
        self._servers: list[asyncio.Server] = []
        # Whether all addresses take connections: readiness promises that to whoever asks.
        self.complete = False

    async def open_for_callers(self, address: Address, handler: RequestHandler) -> None:
        """Take callers' connections at an address; raise OSError."""
        await self._open(address, handler, self._callers)

    async def open(self, address: Address, handler: RequestHandler) -> None:
        """Take other connections at an address; raise OSError."""
        await self._open(address, handler, self._others)

    def count_busy(self) -> int:
        """Return the callers' connections that wait for an answer."""
        return self._callers.count_busy()

    async def wait_for_learning(self, longest: float) -> None:
        """Answer callers for the last time on each connection, until nobody new is sent here.

        Answers from now on end their connections, so that callers go elsewhere.
        """
        self._callers.closing = True
        await asyncio.sleep(min(LEARN_SECONDS, longest))

    async def finish(self, end: float) -> None:
        """Close what is idle, and wait for open requests until the loop's time `end`."""
        loop = asyncio.get_running_loop()
        self._callers.close_idle()
        while self.count_busy() and loop.time() < end:
            await asyncio.sleep(STOP_LOOK_SECONDS)

    def close(self) -> None:
        """Take no connections any more."""
        for server in self._servers:
            server.close()

    async def _open(
        self, address: Address, handler: RequestHandler, connections: ConnectionSet
    ) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(handler, connections), *address, backlog=BACKLOG
        )
        self._servers.append(server)
