"""Quarantine of requests that crash upstreams, at an entry."""

import random
import socket

import pytest

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError, UpstreamBrokenError, UpstreamBusyError
from swifttrestle.internal.entry import crash_guard
from swifttrestle.internal.entry.crash_guard import EntryCrashGuard, make_fingerprint
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quarantine_periods import (
    CRASHES_TO_QUARANTINE,
    FIRST_QUARANTINE_SECONDS,
)
from tests.common.fakes import FakeClock

FINGERPRINT = make_fingerprint("w1", "/v1/chat/completions", b"{}")
BROKEN = UpstreamBrokenError("connection lost", sent=True)


@pytest.fixture
def guard():
    return EntryCrashGuard(FakeClock(), Metrics(), random.Random(1).random())


@pytest.fixture
def listening():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield "{}:{}".format(*server.getsockname())


@pytest.fixture
def closed():
    """Return an address without a listener; it is bound, so that no other process can use it."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield "{}:{}".format(*bound.getsockname())


def crash(guard, address, error=BROKEN, count=CRASHES_TO_QUARANTINE, request_id="r1"):
    for number in range(count):
        guard.record_failure(request_id, f"e{number}", address, error)


def test_a_request_that_crashed_upstreams_is_refused_under_another_id(guard, closed):
    guard.begin("r1", FINGERPRINT)
    crash(guard, closed)
    for request_id, act in (
        ("r1", guard.check),
        ("r2", lambda other_id: guard.begin(other_id, FINGERPRINT)),
    ):
        with pytest.raises(RefusedError) as refusal:
            act(request_id)
        assert refusal.value.code is Code.QUARANTINED
        assert refusal.value.retry_after >= FIRST_QUARANTINE_SECONDS
    assert guard.list_quarantined() == [str(FINGERPRINT)]


def test_an_open_request_is_known_as_quarantined_once_it_crashed_upstreams(guard, closed):
    guard.begin("r1", FINGERPRINT)
    assert not guard.is_quarantined("r1")
    crash(guard, closed)
    assert guard.is_quarantined("r1")
    assert not guard.is_quarantined("r2")


@pytest.mark.parametrize(
    "fingerprint",
    [
        make_fingerprint("w2", "/v1/chat/completions", b"{}"),
        make_fingerprint("w1", "/v1/completions", b"{}"),
        make_fingerprint("w1", "/v1/chat/completions", b"[]"),
    ],
    ids=["workspace", "path", "body"],
)
def test_other_requests_are_not_refused(guard, closed, fingerprint):
    guard.begin("r1", FINGERPRINT)
    crash(guard, closed)
    guard.begin("r2", fingerprint)
    guard.check("r2")


@pytest.mark.parametrize(
    "error",
    [UpstreamBusyError("busy"), UpstreamBrokenError("not reached", sent=False)],
    ids=["busy", "not sent"],
)
def test_a_call_that_did_not_reach_the_upstream_counts_no_crash(guard, closed, error):
    guard.begin("r1", FINGERPRINT)
    crash(guard, closed, error)
    guard.check("r1")


def test_an_upstream_that_still_listens_has_not_crashed(guard, listening):
    guard.begin("r1", FINGERPRINT)
    crash(guard, listening)
    guard.check("r1")


def test_an_upstream_that_closes_its_port_shortly_after_its_connections_has_crashed(
    guard, monkeypatch
):
    """Guards against missing a crash because the port of an exiting engine is still open."""
    server = socket.create_server(("127.0.0.1", 0))
    address = "{}:{}".format(*server.getsockname())
    # The port is closed between the first probe and the next one.
    monkeypatch.setattr(crash_guard.time, "sleep", lambda _: server.close())
    guard.begin("r1", FINGERPRINT)
    crash(guard, address)
    with pytest.raises(RefusedError):
        guard.check("r1")


def test_a_response_clears_the_crashes_of_its_request(guard, closed):
    guard.begin("r1", FINGERPRINT)
    crash(guard, closed, count=1)
    guard.end("r1", answered=True)
    guard.begin("r2", FINGERPRINT)
    crash(guard, closed, count=1, request_id="r2")
    guard.check("r2")


def test_no_state_is_kept_of_requests_that_ended_without_a_crash(guard):
    for number in range(1000):
        guard.begin(f"r{number}", FINGERPRINT)
        guard.end(f"r{number}", answered=bool(number % 2))
    assert (guard._fingerprints, guard.list_quarantined()) == ({}, [])


def make_body(number):
    """Return a request whose prompt begins like the others and differs in its last words."""
    prompt = " ".join([f"word{position}" for position in range(640)] + [f"own{number}"] * 64)
    return b'{"messages":[{"role":"user","content":"%s"}]}' % prompt.encode()


def test_requests_whose_prompts_begin_alike_are_refused_once_they_crashed_engines(guard, closed):
    names = [make_fingerprint("w1", "/v1/chat/completions", make_body(n)) for n in range(6)]
    for number, fingerprint in enumerate(names[:5]):
        guard.begin(f"r{number}", fingerprint)
        guard.record_failure(f"r{number}", f"e{number}", closed, BROKEN)
        guard.end(f"r{number}", answered=False)
    with pytest.raises(RefusedError):
        guard.begin("r5", names[5])
