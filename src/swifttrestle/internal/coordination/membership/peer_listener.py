"""Listens for TCP streams of peers, each opened by a line that names its use."""

import asyncio
from collections.abc import Awaitable, Callable

from swifttrestle.internal.event_log import log_event

# Timeout in seconds of connecting, and of each read or write. The whole transfer has a longer one,
# so that slow links can complete it.
IO_TIMEOUT_SECONDS = 1.0

# Serves one stream: the rest of its first line, and both directions.
StreamHandler = Callable[[bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class PeerListener:
    """Passes each stream to the handler of its first word; all hosts use the same port."""

    def __init__(self, ip: str, port: int) -> None:
        """Listen at an address once opened."""
        self._ip = ip
        self._port = port
        self._handlers: dict[bytes, StreamHandler] = {}
        self._server: asyncio.Server | None = None

    def set_handler(self, word: bytes, handler: StreamHandler) -> None:
        """Serve the streams whose first line begins with `word`."""
        self._handlers[word] = handler

    async def open(self) -> None:
        """Listen; raise OSError."""
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(IO_TIMEOUT_SECONDS):
                line = await reader.readline()
            if not line.endswith(b"\n"):
                # The beginning of a name may be another one.
                return
            word, _, argument = line.rstrip(b"\n").partition(b" ")
            handler = self._handlers.get(word)
            if handler is not None:
                await handler(argument, reader, writer)
        except (OSError, TimeoutError, ValueError) as error:
            log_event("stream of a peer failed", reason=repr(error))
            writer.transport.abort()
        finally:
            writer.close()
