"""The entry's relay and engines that send nothing for a second or so and then go on."""

import random
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from swifttrestle.codes import Code
from swifttrestle.errors import UpstreamLeavingError
from swifttrestle.internal.entry import relay as relay_module
from swifttrestle.internal.entry.attempts import Attempts
from swifttrestle.internal.entry.relay import Relay, RelayContext
from swifttrestle.internal.entry.responses import CallerResponse
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.routing import LeastPredicted
from swifttrestle.internal.protocol import calls
from swifttrestle.internal.state.closings import ClosingTable
from swifttrestle.internal.state.upstreams import UpstreamRequirements, UpstreamTable
from swifttrestle.internal.transport.stream_relay import StreamRelay
from swifttrestle.resources import ResourceSet, Service, Upstream
from tests.common.fakes import FakeClock

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

    def can_resume(self, attempt):
        return False

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


class OtherEngine(OnlyEngine):
    """The attempts of an entry with another engine, which takes over once."""

    def __init__(self, attempt):
        super().__init__()
        self.attempt = attempt
        self.resumed_at = None

    def can_resume(self, attempt):
        return True

    def resume(self, attempt, offset, failed):
        self.resumed_at = time.monotonic()
        return self.attempt


class RaisingEngine(OnlyEngine):
    """The attempts of an entry that fail to say whether another engine takes over."""

    def can_resume(self, attempt):
        raise RuntimeError("a fault in the question")


class Streaming:
    """One stream whose engine has sent its first token."""

    def __init__(self, attempts, repeatable=True, relay_thread=None):
        self.engine, engine_socket = socket.socketpair()
        self.caller, caller_socket = socket.socketpair()
        self.started_at = time.monotonic()
        self.ended_at = None
        self.error = None
        self._ended = threading.Event()
        self.relay_thread = relay_thread or StreamRelay()
        if relay_thread is None:
            self.relay_thread.start()
        context = RelayContext(
            self.relay_thread, attempts, ThreadPoolExecutor(1), Metrics(), STALL_SECONDS
        )
        answer = CallerResponse(caller_socket, "r", "r", True)
        attempt = make_attempt(engine_socket, make_token(0), attempt=1, offset=0)
        Relay(context, answer, attempt, repeatable, self._done).start()

    def _done(self, error):
        self.ended_at = time.monotonic()
        self.error = error
        self._ended.set()

    def wait(self, seconds):
        """Wait for the stream's end; return the seconds that it took."""
        assert self._ended.wait(seconds)
        self.caller.close()
        return self.ended_at - self.started_at


def make_attempt(sock, first, attempt, offset):
    return SimpleNamespace(
        call=SimpleNamespace(request_id="r", attempt=attempt, offset=offset),
        upstream=f"e{attempt}",
        address="127.0.0.1:1",
        stream=SimpleNamespace(sock=sock, first=first),
    )


def test_a_stream_of_a_silent_engine_is_taken_over_where_another_can():
    other, other_socket = socket.socketpair()
    last = make_token(1, last=True).replace(b'"attempt":1', b'"attempt":2')
    attempts = OtherEngine(
        make_attempt(other_socket, last + b"data: [DONE]\n\n", attempt=2, offset=1)
    )
    stream = Streaming(attempts)
    stream.wait(STALL_SECONDS + 1)
    assert stream.error is None
    assert STALL_SECONDS <= attempts.resumed_at - stream.started_at < STALL_SECONDS + 0.6
    assert stream.engine.recv(1) == b""
    other.close()


def test_a_stream_that_may_not_be_repeated_is_not_taken_over():
    attempts = OtherEngine(None)
    stream = Streaming(attempts, repeatable=False)
    time.sleep(STALL_SECONDS + 0.4)
    stream.engine.sendall(make_token(1, last=True) + b"data: [DONE]\n\n")
    stream.wait(2)
    assert (stream.error, attempts.resumed_at) == (None, None)


@pytest.mark.parametrize("repeatable", [False, True])
def test_a_caller_does_not_wait_for_a_silent_engine_without_end(repeatable, monkeypatch):
    monkeypatch.setattr(relay_module, "RESUME_TIMEOUT_SECONDS", 0.5)
    stream = Streaming(OnlyEngine(), repeatable)
    seconds = stream.wait(STALL_SECONDS + 2)
    assert stream.error.code is Code.STREAM_BROKEN
    assert STALL_SECONDS + 0.5 <= seconds < STALL_SECONDS + 1.2


def test_a_dead_connection_ends_the_wait_for_a_silent_engine():
    stream = Streaming(OnlyEngine(), repeatable=False)
    time.sleep(STALL_SECONDS + 0.4)
    stream.engine.close()
    assert stream.wait(1) < STALL_SECONDS + 0.9
    assert stream.error.code is Code.STREAM_BROKEN


def test_a_fault_in_the_question_does_not_end_the_thread_of_all_streams(monkeypatch):
    monkeypatch.setattr(relay_module, "RESUME_TIMEOUT_SECONDS", 0.5)
    stream = Streaming(RaisingEngine())
    assert stream.wait(STALL_SECONDS + 2) < STALL_SECONDS + 1.2
    assert stream.error.code is Code.STREAM_BROKEN
    assert stream.relay_thread.open_streams == 0
    later = Streaming(OnlyEngine(), relay_thread=stream.relay_thread)
    later.engine.sendall(make_token(1, last=True) + b"data: [DONE]\n\n")
    later.wait(1)
    assert later.error is None


SERVICE = Service(name="s", type="plain")


@pytest.mark.parametrize(
    ("names", "quarantined", "expected"),
    [
        (("e1", "e2"), False, True),
        (("e1", "e2"), True, False),
        (("e1",), False, False),
        (("e2",), False, True),
        ((), False, False),
    ],
)
def test_only_another_upstream_that_is_usable_now_takes_over(names, quarantined, expected):
    table = UpstreamTable("a", ClosingTable(), FakeClock())
    upstreams = {
        name: Upstream(name=name, type="plain", address="127.0.0.1:1", zone="a", services=("s",))
        for name in names
    }
    table.configure(ResourceSet(upstreams=upstreams))
    guard = SimpleNamespace(is_quarantined=lambda _: quarantined)
    attempts = Attempts(
        table, LeastPredicted(), random.Random(1), Metrics(), guard, connect_seconds=1, name="e"
    )
    attempt = SimpleNamespace(
        call=SimpleNamespace(request_id="r", version=""),
        upstream="e1",
        requirements=UpstreamRequirements(SERVICE),
    )
    assert attempts.can_resume(attempt) is expected


def test_the_kernel_probes_the_machine_of_a_silent_engine():
    with socket.socket() as sock:
        calls._probe_when_idle(sock)
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        idle = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        probes = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
    assert idle + probes * interval <= 10
