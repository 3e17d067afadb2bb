"""Responses without end to the own interface's blocking clients."""

import asyncio
import time

import pytest

from swifttrestle.errors import UpstreamError
from swifttrestle.internal.protocol.calls import EngineCall, call_plain, open_stream, start_prefill
from swifttrestle.internal.protocol.engine import HttpEngine
from swifttrestle.internal.protocol.tokens import TokenChecker
from swifttrestle_standins.hosted.endless import KINDS, EndlessUpstream

TIMEOUT_SECONDS = 2.0
# An answer of 16 MB in chunks of one byte takes its whole timeout, and a busy machine longer.
MAX_SECONDS = 15.0
CALL = EngineCall("r1", 1, 0, 10, "m", "v", "", "hello", "normal")


def read_plain(address):
    call_plain(address, "/a", b"", {}, connect_seconds=1.0, seconds=TIMEOUT_SECONDS)


def read_prefill(address):
    start_prefill(address, CALL, 1.0, TIMEOUT_SECONDS)


def read_report(address):
    HttpEngine(address).read_load()


def read_stream(address):
    stream = open_stream(address, CALL, 1.0, TIMEOUT_SECONDS)
    stream.sock.settimeout(TIMEOUT_SECONDS)
    checker = TokenChecker("r1", 1, 0)
    data = stream.first
    try:
        while data:
            checker.take(data)
            if checker.fault is not None:
                raise checker.fault
            data = stream.sock.recv(65536)
    finally:
        stream.sock.close()


@pytest.mark.parametrize("read", [read_plain, read_prefill, read_report, read_stream])
@pytest.mark.parametrize("kind", KINDS)
def test_a_response_without_end_is_given_up(kind, read):
    async def run():
        endless = EndlessUpstream("endless", "s", kind)
        server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        began = time.monotonic()
        with pytest.raises(UpstreamError):
            await asyncio.to_thread(read, f"{host}:{port}")
        assert time.monotonic() - began < MAX_SECONDS
        server.close()

    asyncio.run(run())
