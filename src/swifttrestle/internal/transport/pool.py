"""Kept connections to upstreams and to the store, lent for one exchange at a time."""

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

# Seconds to connect. A host in the same region answers in milliseconds; one lost opening
# packet is sent again after a second, and waiting for that costs more than another upstream.
CONNECT_SECONDS = 0.3
# A connection may fall silent without a word while new ones work. The kernel probes one on which
# nothing was heard for this many seconds, again after as many, and breaks it off after so many
# probes without an answer: sooner than the three seconds after which a host counts as sound.
PROBE_SECONDS = 1
PROBES = 2
# Milliseconds that sent data may stay unacknowledged before the kernel breaks the connection.
UNACKNOWLEDGED_MS = 3000
# Seconds between two times at which all idle connections are closed for one that is silent: its
# upstream alone may be at fault, and new connections cost.
DROP_SECONDS = 2.0
# A kept connection is dropped this long before its upstream would close it, in seconds, so
# that no request crosses the close.
IDLE_MARGIN_SECONDS = 0.7
# Idle time after which a connection is not reused where its upstream names no time, seconds.
DEFAULT_IDLE_SECONDS = 4.0


@dataclass(frozen=True)
class CallTimeouts:
    """How long a call may take: seconds to its answer's head, and between bytes of its body.

    None is no bound: for callers that bound the whole call themselves.
    """

    head: float | None = None
    between_bytes: float | None = None


UNBOUNDED = CallTimeouts()


class ConnectionPool:
    """Kept connections to each instance of an upstream; newest first, so that few stay warm."""

    def __init__(self, unacknowledged_ms: int = UNACKNOWLEDGED_MS) -> None:
        """Start empty; break connections whose data stays unacknowledged for so long."""
        self._unacknowledged_ms = unacknowledged_ms
        self._idle: dict[str, deque[UpstreamConnection]] = defaultdict(deque)
        self._lent: dict[str, set[UpstreamConnection]] = defaultdict(set)
        self._drop_at = float("-inf")
        self.opened = 0
        # Called with the instance, the head of each of its answers and the loop's time at which
        # the request was sent, before anybody else gets the answer.
        self.on_answer: Callable[[str, ResponseHead, float], None] = do_nothing

    @contextlib.asynccontextmanager
    async def acquire(self, instance: str, address: Address) -> AsyncIterator[UpstreamConnection]:
        """Lend a connection; it is kept only where `mark_reusable` says so before the end."""
        connection = self._take_idle(instance) or await self._connect(address)
        self._lent[instance].add(connection)
        connection.on_head = functools.partial(self.on_answer, instance)
        try:
            yield connection
        except BaseException:
            connection.close()
            if connection.is_silent():
                self._drop_idle()
            raise
        finally:
            self._take_back(instance, connection)
            if connection.usable and connection.idle_until:
                self._idle[instance].append(connection)
            else:
                connection.close()

    async def mark_reusable(self, connection: UpstreamConnection, head: ResponseHead) -> None:
        """Mark a connection whose answer has been read whole for reuse."""
        if not await connection.finish(patience=0.0 if head.closes else 0.5):
            connection.close()
            return
        seconds = DEFAULT_IDLE_SECONDS if head.keep_seconds is None else head.keep_seconds
        keep = seconds - IDLE_MARGIN_SECONDS
        now = asyncio.get_running_loop().time()
        connection.idle_until = now + keep if keep > 0 else 0.0

    def forget(self, instance: str) -> None:
        """Close all idle connections to an instance: it is gone, or they are silent."""
        for connection in self._idle.pop(instance, ()):
            connection.close()

    def abort_all(self, instance: str) -> None:
        """Break all connections to an instance that has ended: no answer comes there any more."""
        self.forget(instance)
        for connection in list(self._lent.get(instance, ())):
            connection.close()

    async def probe(self, instance: str, address: Address) -> None:
        """Open a connection to an instance, and keep it for the next request.

        Raises UpstreamUnreachedError, whose `refused` says that nobody listens there.
        """
        connection = await self._connect(address)
        now = asyncio.get_running_loop().time()
        connection.idle_until = now + DEFAULT_IDLE_SECONDS - IDLE_MARGIN_SECONDS
        self._idle[instance].append(connection)

    def _take_back(self, instance: str, connection: UpstreamConnection) -> None:
        lent = self._lent[instance]
        lent.discard(connection)
        if not lent:
            del self._lent[instance]

    def _drop_idle(self) -> None:
        """Close all idle connections: they may have fallen silent with one that was in use."""
        now = asyncio.get_running_loop().time()
        if now < self._drop_at:
            return
        self._drop_at = now + DROP_SECONDS
        for instance in list(self._idle):
            self.forget(instance)

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
            async with asyncio.timeout(CONNECT_SECONDS):
                transport, protocol = await loop.create_connection(UpstreamConnection, *address)
        except (OSError, TimeoutError) as error:
            raise UpstreamUnreachedError(
                f"{address[0]}:{address[1]} cannot be connected to: {error!r}",
                refused=isinstance(error, ConnectionRefusedError),
            ) from None
        self.opened += 1
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            _bound_silence(sock, self._unacknowledged_ms)
        return protocol


def _bound_silence(sock: socket.socket, unacknowledged_ms: int) -> None:
    """Have the kernel break a connection whose other end is not heard any more."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


async def call_once(
    pool: ConnectionPool,
    instance: str,
    address: Address,
    request: OutgoingRequest,
    limit: int,
    timeouts: CallTimeouts = UNBOUNDED,
) -> tuple[ResponseHead, bytes]:
    """Send one request and return the whole answer.

    Raises UpstreamBrokenError, and TimeoutError where no head comes within `timeouts`.
    """
    async with pool.acquire(instance, address) as connection:
        async with asyncio.timeout(timeouts.head):
            head, body = await connection.exchange(request)
        content = await body.read_whole(limit, timeouts.between_bytes)
        await pool.mark_reusable(connection, head)
    return head, content
