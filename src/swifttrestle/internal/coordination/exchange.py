"""Fetches a newer configuration from a peer, over a stream, since it can be a megabyte."""

import asyncio

import orjson

from swifttrestle.internal.coordination.configuration import ConfigurationKeeper
from swifttrestle.internal.lines import log_decision

# Seconds to wait for the store's own watch before a newer configuration is fetched elsewhere.
CONFIG_WAIT_SECONDS = 0.15
FETCH_SECONDS = 1.0
# Bytes that a configuration may have on the stream.
LARGEST_CONFIGURATION = 4 * 1024 * 1024
# Bytes that one read from a stream returns at most.
PIECE_BYTES = 64 * 1024

ASK_CONFIGURATION = b"configuration\n"


class ConfigurationExchange:
    """This gateway's streams with peers; all hosts use the same port."""

    def __init__(self, ip: str, port: int, configuration: ConfigurationKeeper) -> None:
        """Give out, and bring up to date, what `configuration` keeps."""
        self._ip = ip
        self._port = port
        self._configuration = configuration
        self._server: asyncio.Server | None = None
        self._fetching: asyncio.Task[None] | None = None

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
                reader, writer = await asyncio.open_connection(ip, self._port)
                try:
                    writer.write(ASK_CONFIGURATION)
                    while piece := await reader.read(PIECE_BYTES):
                        content += piece
                finally:
                    writer.close()
            if len(content) <= LARGEST_CONFIGURATION:
                self._configuration.take(orjson.loads(content), f"peer {host}")
        except (OSError, TimeoutError, orjson.JSONDecodeError) as error:
            log_decision(
                "configuration not fetched", peer=host, reason=repr(error), bytes=len(content)
            )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(FETCH_SECONDS):
                asked = await reader.readline()
                if asked == ASK_CONFIGURATION and self._configuration.raw is not None:
                    writer.write(orjson.dumps(self._configuration.raw))
                    await writer.drain()
        except (OSError, TimeoutError, ValueError) as error:
            log_decision("peer stream ended", reason=repr(error))
        finally:
            writer.close()
