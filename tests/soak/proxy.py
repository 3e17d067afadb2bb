"""A loopback proxy between gateways and one stand-in, which delays, holds or resets."""

import asyncio
import contextlib
from enum import Enum


class Way(Enum):
    """How the proxy treats bytes now."""

    PASS = "pass"
    DELAY = "delay"
    HOLD_REQUESTS = "hold requests"
    HOLD_ANSWERS = "hold answers"
    SILENT = "silent"


HELD = {
    True: (Way.HOLD_REQUESTS, Way.SILENT),
    False: (Way.HOLD_ANSWERS, Way.SILENT),
}
DELAY_SECONDS = 0.15
CHUNK_BYTES = 65536


class Proxy:
    """Passes connections on to one address; its way may change at any moment."""

    def __init__(self, target):
        self._target = target
        self._way = Way.PASS
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def open(self, port=0):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def set_way(self, way):
        self._way = way
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def shut(self):
        """Refuse new connections and reset those that are open, as a process that ends does."""
        self._server.close()
        self.reset()

    def close(self):
        self.shut()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            self._writers.add(far_writer)
            await asyncio.gather(
                self._pump(reader, far_writer, requests=True),
                self._pump(far_reader, writer, requests=False),
            )
            self._writers.discard(far_writer)
        except (OSError, asyncio.CancelledError):
            # The stand-in is down, so that the gateway sees its connection reset; or the round
            # is over.
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _pump(self, reader, writer, requests):
        try:
            while data := await reader.read(CHUNK_BYTES):
                while self._way in HELD[requests]:
                    await self._changed.wait()
                if self._way is Way.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                writer.write(data)
                await writer.drain()
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
        except OSError:
            writer.transport.abort()
