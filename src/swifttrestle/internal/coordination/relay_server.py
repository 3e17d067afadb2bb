"""Relays connections to upstreams for peers whose own paths to them are cut."""

import asyncio
from collections.abc import Callable, Sequence

from swifttrestle.codes import Code
from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.protocol.relays import write_relay_reply
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.dialer import Dialer
from swifttrestle.internal.transport.relay import RelayedPair
from swifttrestle.internal.transport.upstream import UpstreamConnection

# Seconds between checks for relayed connections during the shutdown.
STOP_POLL_SECONDS = 0.05
# Maximum number of connections that this host relays at once.
MAX_RELAYED = 512


class RelayServer:
    """Connects peers to listed upstreams, directly and never through a further peer."""

    def __init__(
        self,
        fleet: Fleet,
        find_dialer: Callable[[], Dialer],
        is_cut: Callable[[str], bool],
        list_members: Callable[[], Sequence[Member]],
        metrics: Metrics,
    ) -> None:
        """Dial instances of `fleet`, unless this host's own path to them is cut."""
        self._fleet = fleet
        self._find_dialer = find_dialer
        self._is_cut = is_cut
        self._list_members = list_members
        self._metrics = metrics
        self._pairs: set[RelayedPair] = set()
        self._stopping = False

    @property
    def open(self) -> int:
        """The number of connections that are relayed now."""
        return len(self._pairs)

    def stop(self) -> None:
        """Relay no further connections; the open ones go on."""
        self._stopping = True

    async def finish(self, end: float) -> None:
        """Wait until no connection is relayed, or until the loop time `end`."""
        loop = asyncio.get_running_loop()
        while self._pairs and loop.time() < end:
            await asyncio.sleep(STOP_POLL_SECONDS)

    def close(self) -> None:
        """Reset all relayed connections."""
        for pair in list(self._pairs):
            pair.close()

    async def serve(self, argument: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer one request, and relay its connection until it ends."""
        code, upstream = await self._connect(argument.decode("latin-1"), writer)
        self._metrics.count("peer_relays_total", code=code.name)
        writer.write(write_relay_reply(code))
        if upstream is None or upstream.transport is None:
            return
        transport = writer.transport
        assert isinstance(transport, asyncio.Transport)
        if transport.is_closing():
            upstream.close()
            return
        pair = RelayedPair(transport, upstream.transport)
        self._pairs.add(pair)
        try:
            await pair.ended
        finally:
            self._pairs.discard(pair)

    async def _connect(
        self, name: str, writer: asyncio.StreamWriter
    ) -> tuple[Code, UpstreamConnection | None]:
        """Return the result, and the connection if there is one."""
        ip = writer.get_extra_info("peername")[0]
        if all(item.ip != ip for item in self._list_members()):
            return Code.PEER_UNKNOWN, None
        if self._stopping or len(self._pairs) >= MAX_RELAYED:
            return Code.STOPPING, None
        instance = self._fleet.instances.get(name)
        if instance is None or instance.leaving:
            return Code.UPSTREAM_LEAVING, None
        if self._is_cut(name):
            return Code.UPSTREAM_BROKEN, None
        try:
            connection = await self._find_dialer().dial(instance.record.address)
        except UpstreamUnreachedError as error:
            return Code.CONNECTION_REFUSED if error.refused else Code.UPSTREAM_BROKEN, None
        return Code.OK, connection
