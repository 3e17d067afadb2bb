"""Relays connections to upstreams for peers whose own paths to them are cut."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from swifttrestle.codes import Code
from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.protocol.relays import write_relay_reply
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.dialer import UNACKNOWLEDGED_MS, Dialer, set_tcp_timeouts
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
        # Connections to upstreams that are being made.
        self._dialing = 0
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

    async def serve(
        self, argument: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, and relay its connection until it ends."""
        code, upstream = await self._connect(argument.decode("latin-1"), writer)
        self._metrics.count("peer_relays_total", code=code.name)
        if upstream is not None and (reader.at_eof() or writer.transport.is_closing()):
            # The peer has given up meanwhile.
            upstream.close()
            return
        writer.write(write_relay_reply(code))
        if upstream is None or upstream.transport is None:
            return
        transport = writer.transport
        assert isinstance(transport, asyncio.Transport)
        with contextlib.suppress(OSError):
            set_tcp_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_MS)
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
        peer = writer.get_extra_info("peername")
        if not peer or all(item.ip != peer[0] for item in self._list_members()):
            return Code.PEER_UNKNOWN, None
        if self._stopping or len(self._pairs) + self._dialing >= MAX_RELAYED:
            return Code.STOPPING, None
        instance = self._fleet.instances.get(name)
        if instance is None or instance.leaving:
            return Code.UPSTREAM_LEAVING, None
        if self._is_cut(name):
            return Code.NO_UPSTREAM, None
        return await self._dial(instance)

    async def _dial(self, instance: Instance) -> tuple[Code, UpstreamConnection | None]:
        self._dialing += 1
        try:
            connection = await self._find_dialer().dial(instance.record.address)
        except UpstreamUnreachedError as error:
            return Code.CONNECTION_REFUSED if error.refused else Code.UPSTREAM_BROKEN, None
        finally:
            self._dialing -= 1
        if self._stopping:
            connection.close()
            return Code.STOPPING, None
        return Code.OK, connection
