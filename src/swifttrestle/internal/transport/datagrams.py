"""The one datagram socket between gateways; the first byte of a datagram tells its kind."""

import asyncio
from collections.abc import Callable
from enum import IntEnum

from swifttrestle.errors import FrameError
from swifttrestle.internal.event_log import log_event

Receiver = Callable[[bytes, str], None]


class DatagramKind(IntEnum):
    """What a datagram holds."""

    REPORT = 1
    BOOKING = 2
    LISTING = 3
    ROSTER = 4
    CRASHES = 5
    FRESHNESS = 6
    USAGE = 7
    PERMIT = 8


class PeerSocket(asyncio.DatagramProtocol):
    """Sends datagrams to peers' IPs and hands those received to the receiver of their kind."""

    def __init__(self, ip: str, port: int) -> None:
        """Use one address; all hosts use the same port."""
        self.ip = ip
        self.port = port
        self._receivers: dict[int, Receiver] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def receive(self, kind: DatagramKind, receiver: Receiver) -> None:
        """Hand datagrams of a kind, with their sender's IP, to `receiver`.

        It may raise FrameError for one that it cannot read.
        """
        self._receivers[kind] = receiver

    async def open(self) -> None:
        """Listen; raise OSError."""
        loop = asyncio.get_running_loop()
        address = (self.ip, self.port)
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def send(self, ip: str, kind: DatagramKind, data: bytes) -> None:
        """Send a datagram, if the socket is open."""
        if self._transport is not None:
            self._transport.sendto(bytes((kind,)) + data, (ip, self.port))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    # Called by the event loop.

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a datagram over; one that cannot be read is logged and skipped."""
        try:
            receiver = self._receivers.get(data[0]) if data else None
            if receiver is None:
                raise FrameError("a datagram is of no known kind")
            receiver(data[1:], addr[0])
        except FrameError as error:
            log_event("datagram skipped", sender=addr[0], reason=str(error))

    def error_received(self, exc: Exception) -> None:
        """Pass over a peer that nobody listens for; its silence says the same."""
