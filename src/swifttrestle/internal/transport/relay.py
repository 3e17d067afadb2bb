"""Connections to upstreams through a peer: both ends, and the peer that copies the bytes."""

import asyncio
import contextlib
import socket
import struct

from swifttrestle.codes import Code
from swifttrestle.errors import FrameError, RelayRefusedError, UpstreamUnreachedError
from swifttrestle.internal.protocol.relays import (
    MAX_REPLY_BYTES,
    read_relay_reply,
    write_relay_request,
)
from swifttrestle.internal.transport.dialer import UNACKNOWLEDGED_MS, set_tcp_timeouts
from swifttrestle.internal.transport.upstream import Address, UpstreamConnection


class _Handshake(asyncio.Protocol):
    """Waits for a peer's reply; then the connection is an upstream's."""

    def __init__(self, instance: str) -> None:
        self.connection: asyncio.Future[UpstreamConnection] = (
            asyncio.get_running_loop().create_future()
        )
        self._instance = instance
        self._transport: asyncio.Transport | None = None
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(write_relay_request(self._instance))

    def data_received(self, data: bytes) -> None:
        """Read the reply, and hand the connection over after a positive one."""
        self._received += data
        line, newline, rest = self._received.partition(b"\n")
        if not newline and len(line) <= MAX_REPLY_BYTES:
            return
        try:
            code = read_relay_reply(line)
        except FrameError as error:
            self._fail(UpstreamUnreachedError(str(error), refused=False))
            return
        if code is not Code.OK or rest:
            self._fail(RelayRefusedError(self._instance, code))
            return
        self._hand_over()

    def connection_lost(self, error: Exception | None) -> None:
        """Fail if no reply has come."""
        message = f"the relay for {self._instance} closed the connection: {error}"
        self._fail(UpstreamUnreachedError(message, refused=False))

    def _hand_over(self) -> None:
        assert self._transport is not None
        connection = UpstreamConnection()
        connection.connection_made(self._transport)
        self._transport.set_protocol(connection)
        if self.connection.done():
            connection.close()
        else:
            self.connection.set_result(connection)

    def _fail(self, error: UpstreamUnreachedError) -> None:
        if not self.connection.done():
            self.connection.set_exception(error)
        if self._transport is not None:
            self._transport.abort()


async def dial_through(ip: str, relay: Address, instance: str) -> UpstreamConnection:
    """Connect to an instance through the peer at `relay`, from this host's address `ip`.

    Raises UpstreamUnreachedError, whose `refused` is true if the instance refused the peer.
    """
    loop = asyncio.get_running_loop()
    handshake = _Handshake(instance)
    try:
        transport, _ = await loop.create_connection(lambda: handshake, *relay, local_addr=(ip, 0))
    except asyncio.CancelledError:
        # The connection may be made already; nobody waits for its error.
        handshake.connection.cancel()
        raise
    except OSError as error:
        raise UpstreamUnreachedError(
            f"cannot connect to the relay {relay[0]}: {error!r}", refused=False
        ) from None
    with contextlib.suppress(OSError):
        set_tcp_timeouts(transport.get_extra_info("socket"), UNACKNOWLEDGED_MS)
    try:
        return await handshake.connection
    except BaseException:
        handshake.connection.cancel()
        transport.abort()
        raise


class RelayedPair:
    """Two connections whose bytes are copied to each other until either ends."""

    def __init__(self, caller: asyncio.Transport, upstream: asyncio.Transport) -> None:
        """Copy between a peer's connection and an upstream's."""
        # Done once both connections are closed, and what was to be sent on them has left.
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._transports = (caller, upstream)
        self._open = len(self._transports)
        for transport in self._transports:
            # If this process is killed, neither end takes what it got for complete.
            _set_reset_on_close(transport, True)
        sides = _Side(self, caller), _Side(self, upstream)
        for side, other in (sides, sides[::-1]):
            side.connect(other)

    def close(self) -> None:
        """Reset both connections."""
        for transport in self._transports:
            reset_connection(transport)

    def note_closed(self) -> None:
        """Record that one of the connections is closed."""
        self._open -= 1
        if not self._open and not self.ended.done():
            self.ended.set_result(None)


class _Side(asyncio.Protocol):
    """Receives on one connection of a pair and sends on the other."""

    def __init__(self, pair: RelayedPair, transport: asyncio.Transport) -> None:
        self._pair = pair
        self._transport = transport
        self._other: _Side | None = None
        # Whether the connection ends in order once what was received for it has left.
        self._ending = False

    def connect(self, other: "_Side") -> None:
        """Send what this side receives on the other one from now on."""
        self._other = other
        self._transport.set_protocol(self)

    def data_received(self, data: bytes) -> None:
        """Send the bytes on."""
        assert self._other is not None
        self._other._transport.write(data)

    def pause_writing(self) -> None:
        """Stop reading the other connection, since this one does not take its bytes."""
        assert self._other is not None
        with contextlib.suppress(RuntimeError):
            self._other._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read the other connection again, or end this one behind its last bytes."""
        assert self._other is not None
        if self._ending:
            self._close()
            return
        with contextlib.suppress(RuntimeError):
            self._other._transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """End the other connection in the same way: in order, or by a reset."""
        assert self._other is not None
        if error is None:
            self._other.end_in_order()
        else:
            reset_connection(self._other._transport)
        self._pair.note_closed()

    def end_in_order(self) -> None:
        """Close the connection once the kernel has all of its bytes.

        Until then it is reset if this process is killed, since the bytes that the process holds are
        lost with it.
        """
        if self._transport.is_closing() or not self._transport.get_write_buffer_size():
            self._close()
            return
        self._ending = True
        # Has `resume_writing` called as soon as the buffer is empty.
        self._transport.set_write_buffer_limits(0)

    def _close(self) -> None:
        _set_reset_on_close(self._transport, False)
        self._transport.close()


def reset_connection(transport: asyncio.Transport) -> None:
    """Reset a connection, so that its other end does not take what it got for complete."""
    _set_reset_on_close(transport, True)
    transport.abort()


def _set_reset_on_close(transport: asyncio.Transport, reset: bool) -> None:
    """Choose whether the kernel resets a connection that is closed, or ends it in order."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", reset, 0))
