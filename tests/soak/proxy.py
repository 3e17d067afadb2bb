"""A loopback proxy between gateways and one stand-in that delays, holds or resets."""

import asyncio
import contextlib
from enum import Enum


class ProxyMode(Enum):
    """What the proxy does with the bytes it receives."""

    PASS = "pass"
    DELAY = "delay"
    HOLD_REQUESTS = "hold requests"
    HOLD_ANSWERS = "hold answers"
    SILENT = "silent"


HOLDING_MODES = {
    True: (ProxyMode.HOLD_REQUESTS, ProxyMode.SILENT),
    False: (ProxyMode.HOLD_ANSWERS, ProxyMode.SILENT),
}
DELAY_SECONDS = 0.15
CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections to one address; the mode also applies to open connections."""

    def __init__(self, target):
        self._target = target
        self._mode = ProxyMode.PASS
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def open(self, port=0):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def set_mode(self, mode):
        self._mode = mode
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_accepting(self):
        """Refuse new connections and reset open ones, like a process that ends."""
        self._server.close()
        self.reset()

    def close(self):
        self.stop_accepting()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self._target)
            self._writers.add(upstream_writer)
            await asyncio.gather(
                self._forward(reader, upstream_writer, requests=True),
                self._forward(upstream_reader, writer, requests=False),
            )
            self._writers.discard(upstream_writer)
        except (OSError, asyncio.CancelledError):
            # The stand-in is down, and the gateway's connection is reset below; or the round ends.
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _forward(self, reader, writer, requests):
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self._mode in HOLDING_MODES[requests]:
                    await self._changed.wait()
                if self._mode is ProxyMode.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                writer.write(data)
                await writer.drain()
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
        except OSError:
            writer.transport.abort()
