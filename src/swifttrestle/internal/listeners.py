"""The listening sockets of a gateway, up to the end of a graceful shutdown."""

import asyncio
from collections.abc import Callable

from swifttrestle.internal.forward.open_requests import StopTimes
from swifttrestle.internal.state.body_memory import BodyMemory
from swifttrestle.internal.transport.caller import (
    CallerConnection,
    ConnectionSet,
    RequestHandler,
)
from swifttrestle.internal.transport.upstream import Address

# Maximum number of connections that wait to be accepted.
BACKLOG = 1024
# Seconds between checks for open requests during the shutdown.
STOP_POLL_SECONDS = 0.05


class Listeners:
    """Accepts connections of callers, and those of the load balancer and of operators."""

    def __init__(self, admits_caller: Callable[[], bool], memory: BodyMemory) -> None:
        """Start without listening; `admits_caller` is asked about each connection of a caller.

        The bodies of callers' requests share `memory`.
        """
        self._callers = ConnectionSet(admits_caller, memory)
        self._others = ConnectionSet()
        self._servers: list[asyncio.Server] = []
        # Whether all addresses accept connections; a host is not ready before.
        self.complete = False

    async def open_for_callers(self, address: Address, handler: RequestHandler) -> None:
        """Listen for callers at an address; raise OSError."""
        await self._open(address, handler, self._callers)

    async def open(self, address: Address, handler: RequestHandler) -> None:
        """Listen for other connections at an address; raise OSError."""
        await self._open(address, handler, self._others)

    def count_busy(self) -> int:
        """Return the number of callers' connections that wait for a response."""
        return self._callers.count_busy()

    async def finish(self, times: StopTimes, work_off: Callable[[float], None]) -> None:
        """Answer the open requests and close all connections, until `times.end` at the latest.

        `work_off` ends those that can no longer be served at a time of the loop. Each response
        closes its connection, so that callers connect elsewhere.
        """
        loop = asyncio.get_running_loop()
        self._callers.closing = True
        while (now := loop.time()) < times.last_wait:
            work_off(now)
            await asyncio.sleep(STOP_POLL_SECONDS)
        self._callers.close_idle()
        while self.count_busy() and (now := loop.time()) < times.end:
            work_off(now)
            await asyncio.sleep(STOP_POLL_SECONDS)

    def close(self) -> None:
        """Stop accepting connections."""
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
