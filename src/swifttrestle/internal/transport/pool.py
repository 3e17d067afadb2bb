"""A pool of connections to upstreams and to the store, each in use for one exchange at a time."""

import asyncio
import contextlib
import functools
from collections import defaultdict, deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

from swifttrestle.errors import UpstreamLimitError, UpstreamUnreachedError
from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.transport.dialer import UNACKNOWLEDGED_MS, Dialer
from swifttrestle.internal.transport.messages import ResponseHead
from swifttrestle.internal.transport.upstream import Address, OutgoingRequest, UpstreamConnection

# Minimum time between two closures of all idle connections because one was silent: the fault may
# be that of a single upstream.
DROP_INTERVAL_SECONDS = 2.0
# An idle connection is dropped this long before its upstream would close it, so that no request
# races with the close.
IDLE_MARGIN_SECONDS = 0.7
# Idle time after which a connection is not reused, for upstreams that send no Keep-Alive timeout.
DEFAULT_IDLE_SECONDS = 4.0


Connect = Callable[[str, Address], Awaitable[UpstreamConnection]]


def _allow(_: str, __: str) -> bool:
    return True


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
        self.dialer = Dialer(unacknowledged_ms)
        # Connects to an instance at an address; raises UpstreamUnreachedError.
        self.connect: Connect = self.connect_directly
        # Returns whether an unused connection to an instance through a peer may be kept.
        self.may_keep_relayed: Callable[[str, str], bool] = _allow
        self._idle: dict[str, deque[UpstreamConnection]] = defaultdict(deque)
        self._in_use: dict[str, set[UpstreamConnection]] = defaultdict(set)
        self._next_drop_at = float("-inf")
        self.opened = 0
        # Called with the instance, the head of each of its responses and the event loop's time at
        # which the request was sent, before the response is processed.
        self.on_answer: Callable[[str, ResponseHead, float], None] = do_nothing
        # Called with the instance for each response that exceeds a limit.
        self.on_limit: Callable[[str, UpstreamLimitError], None] = do_nothing
        # Called with the instance for each connection that was not established.
        self.on_unreached: Callable[[str, UpstreamUnreachedError], None] = do_nothing

    @contextlib.asynccontextmanager
    async def acquire(self, instance: str, address: Address) -> AsyncIterator[UpstreamConnection]:
        """Yield a connection, which is kept afterwards only if `mark_reusable` was called."""
        connection = self._take_idle(instance) or await self._connect(instance, address)
        self._in_use[instance].add(connection)
        connection.on_head = functools.partial(self.on_answer, instance)
        try:
            yield connection
        except BaseException as error:
            connection.close()
            if connection.is_silent():
                self._drop_idle()
            if isinstance(error, UpstreamLimitError):
                self.on_limit(instance, error)
            raise
        finally:
            self._discard_in_use(instance, connection)
            if self._may_reuse(instance, connection, asyncio.get_running_loop().time()):
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

    def close_unusable(self) -> None:
        """Close the idle connections that no request may use any more."""
        now = asyncio.get_running_loop().time()
        for instance in list(self._idle):
            self._close_unusable(instance, now)

    def _close_unusable(self, instance: str, now: float) -> None:
        idle = self._idle[instance]
        usable = deque(item for item in idle if self._may_reuse(instance, item, now))
        for connection in set(idle) - set(usable):
            connection.close()
        if usable:
            self._idle[instance] = usable
        else:
            del self._idle[instance]

    def list_silent(self, now: float, seconds: float) -> list[str]:
        """Return the instances all of whose open requests have got no byte for `seconds`."""
        return [
            instance
            for instance, connections in self._in_use.items()
            if connections
            and all(item.count_silent_seconds(now) >= seconds for item in connections)
        ]

    def keep(self, instance: str, connection: UpstreamConnection) -> None:
        """Keep an unused connection for the next request, unless there is another one."""
        connection.claimed = True
        now = asyncio.get_running_loop().time()
        connection.idle_until = now + DEFAULT_IDLE_SECONDS - IDLE_MARGIN_SECONDS
        self._close_unusable(instance, now)
        if instance in self._idle or not self._may_reuse(instance, connection, now):
            connection.close()
            return
        self._idle[instance].append(connection)

    def abort_all(self, instance: str) -> None:
        """Close all connections to an instance that has ended, including those in use."""
        self.close_idle_connections(instance)
        for connection in list(self._in_use.get(instance, ())):
            connection.close()

    async def probe(self, instance: str, address: Address, hold_seconds: float = 0.0) -> None:
        """Open a connection to an instance and keep it for the next request.

        Raises UpstreamUnreachedError, whose `refused` is true if the connection was refused, also
        where it does not stay open for `hold_seconds`.
        """
        connection = await self._connect(instance, address)
        if hold_seconds:
            await self._hold(connection, hold_seconds)
        self.keep(instance, connection)

    @staticmethod
    async def _hold(connection: UpstreamConnection, seconds: float) -> None:
        """Wait; raise UpstreamUnreachedError if the connection is lost meanwhile."""
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            connection.close()
            raise
        if not connection.usable:
            raise UpstreamUnreachedError("the connection was lost at once", refused=False)

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
            if self._may_reuse(instance, connection, now):
                connection.idle_until = 0.0
                return connection
            connection.close()
        return None

    def _may_reuse(self, instance: str, connection: UpstreamConnection, now: float) -> bool:
        if connection.relay and not self.may_keep_relayed(instance, connection.relay):
            return False
        return connection.usable and now < connection.idle_until

    async def _connect(self, instance: str, address: Address) -> UpstreamConnection:
        try:
            connection = await self.connect(instance, address)
        except UpstreamUnreachedError as error:
            self.on_unreached(instance, error)
            raise
        connection.claimed = True
        self.opened += 1
        return connection

    async def connect_directly(self, _: str, address: Address) -> UpstreamConnection:
        """Connect without a peer between; raise UpstreamUnreachedError."""
        return await self.dialer.dial(address)


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
