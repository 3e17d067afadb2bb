"""Transfers configuration versions between hosts over TCP, since they exceed a datagram."""

import asyncio

from swifttrestle.errors import FrameError
from swifttrestle.internal.coordination.configuration.configuration import ConfigurationWatcher
from swifttrestle.internal.coordination.membership.peer_listener import (
    IO_TIMEOUT_SECONDS,
    PeerListener,
)
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.protocol.copies import MAX_CONFIGURATION_BYTES, pack_copy, unpack_copy
from swifttrestle.internal.state.store_epochs import NO_REVISION, StoreRevision

# Seconds to wait for this host's own watch before a newer configuration is fetched from a peer.
CONFIG_WAIT_SECONDS = 0.15
# Timeout in seconds of a whole fetch, so that a peer that sends single bytes does not keep this
# host from trying another one. The largest version, uncompressed, takes 6.7 s over 5 Mbit/s.
FETCH_TIMEOUT_SECONDS = 10.0
# Bytes read from or written to a stream at a time.
CHUNK_BYTES = 64 * 1024

CONFIGURATION_WORD = b"configuration"
CONFIGURATION_REQUEST = CONFIGURATION_WORD + b"\n"


class ConfigurationExchange:
    """Serves and fetches configuration versions; all hosts use the same port."""

    def __init__(
        self, listener: PeerListener, port: int, configuration: ConfigurationWatcher
    ) -> None:
        """Serve what `configuration` holds, and update it from peers."""
        self._port = port
        self._configuration = configuration
        listener.set_handler(CONFIGURATION_WORD, self._serve)
        self._fetching: asyncio.Task[None] | None = None
        # The last packed copy with its version and revision, since many hosts request it at once.
        self._packed: tuple[int, StoreRevision, bytes] = (0, NO_REVISION, b"")

    def fetch_later(self, host: str, ip: str, version: int) -> None:
        """Fetch a version from a peer, unless the watch of the store delivers it first."""
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch(host, ip, version))

    async def _fetch(self, host: str, ip: str, version: int) -> None:
        if self._configuration.version:
            await asyncio.sleep(CONFIG_WAIT_SECONDS)
        if version <= self._configuration.version:
            return
        content = bytearray()
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_SECONDS):
                await self._read_copy(ip, content)
            self._configuration.apply_copy(unpack_copy(bytes(content)), f"peer {host}")
        except (OSError, TimeoutError, FrameError) as error:
            log_event(
                "configuration not fetched", peer=host, reason=repr(error), bytes=len(content)
            )

    async def _read_copy(self, ip: str, content: bytearray) -> None:
        """Read a peer's whole response into `content`."""
        async with asyncio.timeout(IO_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(ip, self._port)
        try:
            writer.write(CONFIGURATION_REQUEST)
            while len(content) <= MAX_CONFIGURATION_BYTES:
                async with asyncio.timeout(IO_TIMEOUT_SECONDS):
                    chunk = await reader.read(CHUNK_BYTES)
                if not chunk:
                    return
                content += chunk
        finally:
            writer.close()

    async def _serve(
        self, _: bytes, __: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._write_copy(writer)

    async def _write_copy(self, writer: asyncio.StreamWriter) -> None:
        content = self._pack()
        for start in range(0, len(content), CHUNK_BYTES):
            writer.write(content[start : start + CHUNK_BYTES])
            async with asyncio.timeout(IO_TIMEOUT_SECONDS):
                await writer.drain()

    def _pack(self) -> bytes:
        copy = self._configuration.copy()
        if copy is None:
            return b""
        version = self._configuration.version
        if self._packed[:2] != (version, copy.revision):
            self._packed = (version, copy.revision, pack_copy(copy))
        return self._packed[2]
