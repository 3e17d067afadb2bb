"""A pool of connections to upstreams and to the store, each in use for one exchange at a time."""

import asyncio
import contextlib
import functools
import socket
from collections import defaultdict, deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.transport.messages import ResponseHead
from swifttrestle.internal.transport.upstream import Address, OutgoingRequest, UpstreamConnection

# Connection timeout, shorter than TCP's first SYN retransmission, so that another upstream is tried
# instead. Hosts of the same region answer within milliseconds; the retransmission comes after a
# second.
CONNECT_TIMEOUT_SECONDS = 0.3
# TCP keepalive: idle time before the first probe and between probes, and the number of probes
# without a response after which the kernel breaks the connection. A silent connection ends within
# three seconds. A connection may become silent while new ones work.
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
# Time for which sent data may stay unacknowledged before the kernel breaks the connection.
UNACKNOWLEDGED_MS = 3000
# Minimum time between two closures of all idle connections because one was silent: the fault may
# be that of a single upstream.
DROP_INTERVAL_SECONDS = 2.0
# An idle connection is dropped this long before its upstream would close it, so that no request
# races with the close.
IDLE_MARGIN_SECONDS = 0.7
# Idle time after which a connection is not reused, for upstreams that send no Keep-Alive timeout.
DEFAULT_IDLE_SECONDS = 4.0


@dataclass(frozen=True)
class CallTimeouts:
    """Timeouts of a call in seconds: until the response's head, and between bytes of its body.

    None is no timeout, for code that limits the whole call itself.
    """

    head: float | None = None
    between_bytes: float | None = None


UNBOUNDED = CallTimeouts()


class ConnectionPool:
    """Connections to upstreams; reuses the most recently used one, so that surplus ones expire."""

    def __init__(self, unacknowledged_ms: int = UNACKNOWLEDGED_MS) -> None:
        """Break connections whose data stays unacknowledged for `unacknowledged_ms`."""
        self._unacknowledged_ms = unacknowledged_ms
        self._idle: dict[str, deque[UpstreamConnection]] = defaultdict(deque)
        self._in_use: dict[str, set[UpstreamConnection]] = defaultdict(set)
        self._next_drop_at = float("-inf")
        self.opened = 0
        # Called with the instance, the head of each of its responses and the event loop's time at
        # which the request was sent, before the response is processed.
        self.on_answer: Callable[[str, ResponseHead, float], None] = do_nothing

    @contextlib.asynccontextmanager
    async def acquire(self, instance: str, address: Address) -> AsyncIterator[UpstreamConnection]:
        """Yield a connection, which is kept afterwards only if `mark_reusable` was called."""
        connection = self._take_idle(instance) or await self._connect(address)
        self._in_use[instance].add(connection)
        connection.on_head = functools.partial(self.on_answer, instance)
        try:
            yield connection
        except BaseException:
            connection.close()
            if connection.is_silent():
                self._drop_idle()
            raise
        finally:
            self._discard_in_use(instance, connection)
            if connection.usable and connection.idle_until:
                self._idle[instance].append(connection)
            else:
                connection.close()

    async def mark_reusable(self, connection: UpstreamConnection, head: ResponseHead) -> None:
        """Mark a connection for reuse after its response has been read completely."""
        if not await connection.finish(timeout_seconds=0.0 if head.closes else 0.5):
            connection.close()
            return
        seconds = (
            DEFAULT_IDLE_SECONDS if head.keep_alive_seconds is None else head.keep_alive_seconds
        )
        idle_seconds = seconds - IDLE_MARGIN_SECONDS
        now = asyncio.get_running_loop().time()
        connection.idle_until = now + idle_seconds if idle_seconds > 0 else 0.0

    def close_idle_connections(self, instance: str) -> None:
        """Close all idle connections to an instance."""
        for connection in self._idle.pop(instance, ()):
            connection.close()

    def abort_all(self, instance: str) -> None:
        """Close all connections to an instance that has ended, including those in use."""
        self.close_idle_connections(instance)
        for connection in list(self._in_use.get(instance, ())):
            connection.close()

    async def probe(self, instance: str, address: Address) -> None:
        """Open a connection to an instance and keep it for the next request.

        Raises UpstreamUnreachedError, whose `refused` is true if the connection was refused.
        """
        connection = await self._connect(address)
        now = asyncio.get_running_loop().time()
        connection.idle_until = now + DEFAULT_IDLE_SECONDS - IDLE_MARGIN_SECONDS
        self._idle[instance].append(connection)

    def _discard_in_use(self, instance: str, connection: UpstreamConnection) -> None:
        in_use = self._in_use[instance]
        in_use.discard(connection)
        if not in_use:
            del self._in_use[instance]

    def _drop_idle(self) -> None:
        """Close all idle connections, as one in use was silent; at most once per interval."""
        now = asyncio.get_running_loop().time()
        if now < self._next_drop_at:
            return
        self._next_drop_at = now + DROP_INTERVAL_SECONDS
        for instance in list(self._idle):
            self.close_idle_connections(instance)

    def _take_idle(self, instance: str) -> UpstreamConnection | None:
        now = asyncio.get_running_loop().time()
        idle = self._idle[instance]
        while idle:
            connection = idle.pop()
            if connection.usable and now < connection.idle_until:
                connection.idle_until = 0.0
                return connection
            connection.close()
        return None

    async def _connect(self, address: Address) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                transport, protocol = await loop.create_connection(UpstreamConnection, *address)
        except (OSError, TimeoutError) as error:
            raise UpstreamUnreachedError(
                f"cannot connect to {address[0]}:{address[1]}: {error!r}",
                refused=isinstance(error, ConnectionRefusedError),
            ) from None
        self.opened += 1
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            _set_tcp_timeouts(sock, self._unacknowledged_ms)
        return protocol


def _set_tcp_timeouts(sock: socket.socket, unacknowledged_ms: int) -> None:
    """Have the kernel break a connection whose other end no longer responds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


async def call_once(
    pool: ConnectionPool,
    instance: str,
    address: Address,
    request: OutgoingRequest,
    limit: int,
    timeouts: CallTimeouts = UNBOUNDED,
) -> tuple[ResponseHead, bytes]:
    """Send one request and return the complete response.

    Raises UpstreamBrokenError, and TimeoutError if no head arrives in time.
    """
    async with pool.acquire(instance, address) as connection:
        async with asyncio.timeout(timeouts.head):
            head, body = await connection.exchange(request)
        content = await body.read_whole(limit, timeouts.between_bytes)
        await pool.mark_reusable(connection, head)
    return head, content
