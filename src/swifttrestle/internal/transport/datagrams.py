"""The datagram socket between gateways; the first byte of a datagram is its kind."""

import asyncio
from collections.abc import Callable
from enum import IntEnum

from swifttrestle.errors import FrameError
from swifttrestle.internal.event_log import log_event

Receiver = Callable[[bytes, str], None]


class DatagramKind(IntEnum):
    """The content of a datagram."""

    REPORT = 1
    BOOKING = 2
    LISTING = 3
    ROSTER = 4
    CRASHES = 5
    FRESHNESS = 6
    USAGE = 7
    PERMIT = 8
    STREAM = 9
    QUOTA = 10


class PeerSocket(asyncio.DatagramProtocol):
    """Sends datagrams to peers and passes received ones to the receiver of their kind."""

    def __init__(self, ip: str, port: int) -> None:
        """Use an address; all hosts use the same port."""
        self.ip = ip
        self.port = port
        self._receivers: dict[int, Receiver] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def set_receiver(self, kind: DatagramKind, receiver: Receiver) -> None:
        """Pass datagrams of a kind, with their sender's IP, to `receiver`.

        The receiver raises FrameError for a malformed datagram.
        """
        self._receivers[kind] = receiver

    async def open(self) -> None:
        """Bind the socket; raise OSError."""
        loop = asyncio.get_running_loop()
        address = (self.ip, self.port)
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def send(self, ip: str, kind: DatagramKind, data: bytes) -> None:
        """Send a datagram if the socket is open."""
        if self._transport is not None:
            self._transport.sendto(bytes((kind,)) + data, (ip, self.port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    # Called by the event loop.

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatch a datagram; a malformed one is logged and skipped."""
        try:
            receiver = self._receivers.get(data[0]) if data else None
            if receiver is None:
                raise FrameError(f"datagram of an unknown kind: {data[:1]!r}")
            receiver(data[1:], addr[0])
        except FrameError as error:
            log_event("datagram skipped", sender=addr[0], reason=str(error))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of unreachable peers, which failure detection handles."""
