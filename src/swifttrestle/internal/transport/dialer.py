"""Opens connections to upstreams and to the store."""

import asyncio
import contextlib
import socket

from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.transport.keepalive import set_keepalive
from swifttrestle.internal.transport.upstream import Address, UpstreamConnection

# Connection timeout, shorter than TCP's first SYN retransmission, so that another upstream is tried
# instead. Hosts of the same region answer within milliseconds; the retransmission comes after a
# second.
CONNECT_TIMEOUT_SECONDS = 0.3
# TCP keepalive: idle time before the first probe and between probes, and the number of probes
# without a response after which the kernel breaks the connection. A connection may become silent
# while new ones work.
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 3
# Time for which sent data, or probes, may stay unacknowledged before the kernel breaks the
# connection. It overrides the number of probes, and covers three of them: an upstream whose
# machine is silent for 1.5 s misses two.
UNACKNOWLEDGED_MS = 4000


class Dialer:
    """Opens direct connections, which the kernel breaks if the other end no longer responds."""

    def __init__(self, unacknowledged_ms: int = UNACKNOWLEDGED_MS) -> None:
        """Break connections whose data stays unacknowledged for `unacknowledged_ms`."""
        self._unacknowledged_ms = unacknowledged_ms

    async def dial(self, address: Address) -> UpstreamConnection:
        """Connect to an address; raise UpstreamUnreachedError."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                transport, protocol = await loop.create_connection(UpstreamConnection, *address)
        except (OSError, TimeoutError) as error:
            raise UpstreamUnreachedError(
                f"cannot connect to {address[0]}:{address[1]}: {error!r}",
                refused=isinstance(error, ConnectionRefusedError),
            ) from None
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            set_tcp_timeouts(sock, self._unacknowledged_ms)
        return protocol


def set_tcp_timeouts(sock: socket.socket, unacknowledged_ms: int) -> None:
    """Have the kernel break a connection whose other end no longer responds."""
    set_keepalive(sock, KEEPALIVE_SECONDS, KEEPALIVE_SECONDS, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
