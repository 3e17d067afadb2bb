"""Fetches a newer configuration from a peer, over a stream, since it can be a megabyte."""

import asyncio

from swifttrestle.errors import FrameError
from swifttrestle.internal.coordination.configuration import ConfigurationWatcher
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.protocol.copies import LARGEST_CONFIGURATION, pack_copy, unpack_copy
from swifttrestle.internal.state.store_epochs import NO_REVISION, StoreRevision

# Seconds to wait for the store's own watch before a newer configuration is fetched elsewhere.
CONFIG_WAIT_SECONDS = 0.15
# Seconds without progress after which a stream is given up: to connect, and from byte to byte.
# With a bound for the whole, a version that takes a link longer never arrives.
PROGRESS_SECONDS = 1.0
# Seconds after which a fetch is given up all the same, so that a peer that sends a byte now and
# then does not keep this host from asking another one: the largest version, uncompressed, takes
# 6.7 s over 5 Mbit/s.
FETCH_SECONDS = 10.0
# Bytes that are read from a stream, or written to it, at a time.
PIECE_BYTES = 64 * 1024

ASK_CONFIGURATION = b"configuration\n"


class ConfigurationExchange:
    """This gateway's streams with peers; all hosts use the same port."""

    def __init__(self, ip: str, port: int, configuration: ConfigurationWatcher) -> None:
        """Give out, and bring up to date, what `configuration` keeps."""
        self._ip = ip
        self._port = port
        self._configuration = configuration
        self._server: asyncio.Server | None = None
        self._fetching: asyncio.Task[None] | None = None
        # The packed copy of a version and of the revision that it was packed with: many hosts
        # ask for the same one at once.
        self._packed: tuple[int, StoreRevision, bytes] = (0, NO_REVISION, b"")

    async def open(self) -> None:
        """Listen for peers that ask; raise OSError."""
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def fetch_later(self, host: str, ip: str, version: int) -> None:
        """Fetch a version that a peer has, unless the store's watch brings it first."""
        if self._fetching is None or self._fetching.done():
            self._fetching = asyncio.ensure_future(self._fetch(host, ip, version))

    async def _fetch(self, host: str, ip: str, version: int) -> None:
        if self._configuration.version:
            await asyncio.sleep(CONFIG_WAIT_SECONDS)
        if version <= self._configuration.version:
            return
        content = bytearray()
        try:
            async with asyncio.timeout(FETCH_SECONDS):
                await self._read_copy(ip, content)
            self._configuration.take_copy(unpack_copy(bytes(content)), f"peer {host}")
        except (OSError, TimeoutError, FrameError) as error:
            log_event(
                "configuration not fetched", peer=host, reason=repr(error), bytes=len(content)
            )

    async def _read_copy(self, ip: str, content: bytearray) -> None:
        """Read all that a peer answers into `content`."""
        async with asyncio.timeout(PROGRESS_SECONDS):
            reader, writer = await asyncio.open_connection(ip, self._port)
        try:
            writer.write(ASK_CONFIGURATION)
            while len(content) <= LARGEST_CONFIGURATION:
                async with asyncio.timeout(PROGRESS_SECONDS):
                    piece = await reader.read(PIECE_BYTES)
                if not piece:
                    return
                content += piece
        finally:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(PROGRESS_SECONDS):
                asked = await reader.readline()
            if asked == ASK_CONFIGURATION:
                await self._write_copy(writer)
        except (OSError, TimeoutError, ValueError) as error:
            log_event("peer stream ended", reason=repr(error))
            writer.transport.abort()
        finally:
            writer.close()

    async def _write_copy(self, writer: asyncio.StreamWriter) -> None:
        content = self._pack()
        for start in range(0, len(content), PIECE_BYTES):
            writer.write(content[start : start + PIECE_BYTES])
            async with asyncio.timeout(PROGRESS_SECONDS):
                await writer.drain()

    def _pack(self) -> bytes:
        copy = self._configuration.copy()
        if copy is None:
            return b""
        version = self._configuration.version
        if self._packed[:2] != (version, copy.revision):
            self._packed = (version, copy.revision, pack_copy(copy))
        return self._packed[2]
