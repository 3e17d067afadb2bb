"""Answers of the object store that end inside their head or their body are no answers."""

import asyncio
import re

import pytest

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.transport.pool import ConnectionPool
from swifttrestle.platform.store import ObjectStore

CONTENT = b'{"metadata": {"name": "n", "revision": 7}, "spec": {"a": 1}, "status": null}'
OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % len(CONTENT)
ANSWERS = {
    "length": OK + LENGTH + CONTENT,
    "chunks": OK
    + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(CONTENT), CONTENT),
    "behind 103": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + OK + LENGTH + CONTENT,
}
CALLS = {
    "read": lambda store: store.get("k", "n"),
    "write": lambda store: store.replace("k", "n", {"a": 1}, None),
}


class CuttingStore:
    """Answers whole so many times on a connection, then sends a part of an answer and ends it."""

    def __init__(self, answer, size, whole):
        self._parts = [answer] * whole + [answer[:size]]
        self.calls = 0

    async def serve(self, reader, writer):
        for part in self._parts:
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            await reader.readexactly(int(length[1]) if length else 0)
            self.calls += 1
            writer.write(part)
        writer.close()


async def call_cutting_store(call, answer, size, whole):
    """Return the number of calls that a store got, and whether the last one got an answer."""
    cutting = CuttingStore(answer, size, whole)
    server = await asyncio.start_server(cutting.serve, "127.0.0.1", 0)
    store = ObjectStore(server.sockets[0].getsockname()[:2], ConnectionPool())
    try:
        for _ in range(whole):
            assert (await call(store)).spec == {"a": 1}
        await call(store)
    except PlatformUnavailableError:
        return cutting.calls, False
    finally:
        server.close()
    return cutting.calls, True


@pytest.mark.parametrize("whole", [0, 1], ids=["new connection", "reused connection"])
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS.keys())
def test_a_store_answer_that_is_cut_is_an_error_and_the_call_is_not_repeated(call, answer, whole):
    async def run():
        for size in range(len(answer)):
            outcome = await call_cutting_store(call, answer, size, whole)
            assert (size, *outcome) == (size, whole + 1, False)
        assert await call_cutting_store(call, answer, len(answer), whole) == (whole + 1, True)

    asyncio.run(run())
