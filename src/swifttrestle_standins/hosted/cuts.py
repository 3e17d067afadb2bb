"""Cuts one gateway's paths to upstreams, while peers, store and callers still reach it."""

import asyncio
from collections.abc import Collection
from enum import Enum
from typing import Any

from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.transport.dialer import CONNECT_TIMEOUT_SECONDS, Dialer
from swifttrestle.internal.transport.upstream import Address, UpstreamConnection


class Cut(Enum):
    """What a cut does to open connections and to new ones."""

    HANG = "open and new connections carry nothing"
    RESET = "open connections are reset, new ones are refused"
    REFUSE = "open connections live on, new ones are refused"


class _CuttableTransport(asyncio.Transport):
    """Drops what is written while the paths hang, and what is received."""

    def __init__(
        self, inner: asyncio.Transport, dialer: "CuttableDialer", address: Address
    ) -> None:
        """Wrap the transport of a connection to an address."""
        super().__init__()
        self._inner = inner
        self._dialer = dialer
        self.address = address

    def write(self, data: Any) -> None:
        """Send data, unless the paths hang."""
        if not self._hangs():
            self._inner.write(data)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the wrapped transport's information."""
        return self._inner.get_extra_info(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Pass received bytes to another protocol."""
        self._inner.set_protocol(protocol)

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the operating system has not taken yet."""
        return self._inner.get_write_buffer_size()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set when the protocol is told to pause and to resume writing."""
        self._inner.set_write_buffer_limits(high, low)

    def is_closing(self) -> bool:
        """Return whether the connection is closing."""
        return self._inner.is_closing()

    def abort(self) -> None:
        """Close the connection at once."""
        self._inner.abort()

    def close(self) -> None:
        """Close the connection."""
        self._inner.close()

    def pause_reading(self) -> None:
        """Pause reading."""
        self._inner.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading, unless the paths hang."""
        if not self._hangs():
            self._inner.resume_reading()

    def _hangs(self) -> bool:
        return self._dialer.find_cut(self.address) is Cut.HANG


def make_cut_error(address: Address, cut: Cut) -> UpstreamUnreachedError:
    """Return the error of a connection that a cut prevents."""
    return UpstreamUnreachedError(f"cannot connect to {address}: cut", refused=cut is not Cut.HANG)


class CuttableDialer(Dialer):
    """Opens direct connections that can be cut, all at once or those to some addresses."""

    def __init__(self) -> None:
        """Start uncut."""
        super().__init__()
        self.cut: Cut | None = None
        # The addresses whose paths are cut; None for all.
        self._cut_addresses: Collection[Address] | None = None
        self._transports: set[_CuttableTransport] = set()

    async def dial(self, address: Address) -> UpstreamConnection:
        """Connect, unless the paths are cut."""
        if self.find_cut(address) is Cut.HANG:
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
        cut = self.find_cut(address)
        if cut is not None:
            raise make_cut_error(address, cut)
        connection = await super().dial(address)
        inner = connection.transport
        assert isinstance(inner, asyncio.Transport)
        transport = _CuttableTransport(inner, self, address)
        connection.connection_made(transport)
        self._transports.add(transport)
        return connection

    def find_cut(self, address: Address) -> Cut | None:
        """Return the cut of the path to an address, or None."""
        known = self._cut_addresses
        return self.cut if known is None or address in known else None

    def start_cut(self, cut: Cut, addresses: Collection[Address] | None = None) -> None:
        """Cut all paths, or those to some addresses."""
        self.cut = cut
        self._cut_addresses = addresses
        for transport in self._list_open():
            if self.find_cut(transport.address) is None:
                continue
            if cut is Cut.RESET:
                transport.abort()
            if cut is Cut.HANG:
                transport.pause_reading()

    def heal(self) -> None:
        """End the cut; what was written on open connections meanwhile is lost."""
        was_hanging = self.cut is Cut.HANG
        self.cut = None
        for transport in self._list_open():
            if was_hanging:
                transport.resume_reading()

    def _list_open(self) -> list[_CuttableTransport]:
        self._transports = {item for item in self._transports if not item.is_closing()}
        return list(self._transports)
