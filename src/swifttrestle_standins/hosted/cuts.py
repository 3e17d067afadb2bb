"""Cuts one gateway's paths to all upstreams, while peers, store and callers still reach it."""

import asyncio
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

    def __init__(self, inner: asyncio.Transport, dialer: "CuttableDialer") -> None:
        """Wrap a connection's transport."""
        super().__init__()
        self._inner = inner
        self._dialer = dialer

    def write(self, data: Any) -> None:
        """Send data, unless the paths hang."""
        if self._dialer.cut is not Cut.HANG:
            self._inner.write(data)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the wrapped transport's information."""
        return self._inner.get_extra_info(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Pass received bytes to another protocol."""
        self._inner.set_protocol(protocol)

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
        if self._dialer.cut is not Cut.HANG:
            self._inner.resume_reading()


def make_cut_error(address: Address, cut: Cut) -> UpstreamUnreachedError:
    """Return the error of a connection that a cut prevents."""
    return UpstreamUnreachedError(f"cannot connect to {address}: cut", refused=cut is not Cut.HANG)


class CuttableDialer(Dialer):
    """Opens direct connections that can be cut, all at once."""

    def __init__(self) -> None:
        """Start uncut."""
        super().__init__()
        self.cut: Cut | None = None
        self._transports: set[_CuttableTransport] = set()

    async def dial(self, address: Address) -> UpstreamConnection:
        """Connect, unless the paths are cut."""
        if self.cut is Cut.HANG:
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
        if self.cut is not None:
            raise make_cut_error(address, self.cut)
        connection = await super().dial(address)
        inner = connection.transport
        assert isinstance(inner, asyncio.Transport)
        transport = _CuttableTransport(inner, self)
        connection.connection_made(transport)
        self._transports.add(transport)
        return connection

    def start_cut(self, cut: Cut) -> None:
        """Cut all paths."""
        self.cut = cut
        for transport in self._list_open():
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
