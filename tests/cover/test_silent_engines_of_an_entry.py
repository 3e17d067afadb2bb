"""The entry's relay and engines that send nothing for a second or so and then go on."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from swifttrestle.errors import UpstreamLeavingError
from swifttrestle.internal.entry.relay import Relay, RelayContext
from swifttrestle.internal.entry.responses import CallerResponse
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.transport.stream_relay import StreamRelay

STALL_SECONDS = 1.0


def make_token(number, last=False):
    end = '"delta":{},"finish_reason":"stop"' if last else '"delta":{"content":"x"}'
    return b'data: {"id":"r","attempt":1,"offset":%d,"choices":[{%s}]}\n\n' % (
        number,
        end.encode(),
    )


class OnlyEngine:
    """The attempts of an entry of whose engines none takes over."""

    def __init__(self):
        self.guard = SimpleNamespace(record_failure=lambda *_: None, check=lambda _: None)

    def end(self, attempt, tokens, failed):
        pass

    def resume(self, attempt, offset, failed):
        raise UpstreamLeavingError("no other engine holds this model version")


@pytest.mark.parametrize("repeatable", [False, True])
def test_a_stream_of_a_silent_engine_goes_on_where_none_takes_over(repeatable):
    engine, engine_socket = socket.socketpair()
    caller, caller_socket = socket.socketpair()
    relay_thread = StreamRelay()
    relay_thread.start()
    context = RelayContext(
        relay_thread, OnlyEngine(), ThreadPoolExecutor(1), Metrics(), STALL_SECONDS
    )
    call = SimpleNamespace(request_id="r", attempt=1, offset=0)
    attempt = SimpleNamespace(
        call=call,
        upstream="e0",
        address="127.0.0.1:1",
        stream=SimpleNamespace(sock=engine_socket, first=make_token(0)),
    )
    ended = threading.Event()
    outcomes = []

    def done(error):
        outcomes.append(error)
        ended.set()

    answer = CallerResponse(caller_socket, "r", "r", True)
    Relay(context, answer, attempt, repeatable, done).start()
    time.sleep(STALL_SECONDS + 0.4)
    try:
        engine.sendall(make_token(1) + make_token(2, last=True) + b"data: [DONE]\n\n")
    except OSError as error:
        pytest.fail(f"the engine was given up: {error!r}")
    assert ended.wait(2)
    assert outcomes == [None]
    caller.close()
