"""Requests that crash upstreams at one entry of the own interface."""

import random
import socket

import pytest

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError, UpstreamBrokenError, UpstreamBusyError
from swifttrestle.internal.entry import crash_guard
from swifttrestle.internal.entry.crash_guard import EntryCrashGuard, name_call
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quarantine import CRASHES_TO_QUARANTINE, FIRST_QUARANTINE_SECONDS
from tests.common.fakes import FakeClock

NAME = name_call("w1", "/v1/chat/completions", b"{}")
BROKEN = UpstreamBrokenError("broken off", sent=True)


@pytest.fixture
def guard():
    return EntryCrashGuard(FakeClock(), Metrics(), random.Random(1).random())


@pytest.fixture
def listening():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield "{}:{}".format(*server.getsockname())


@pytest.fixture
def closed():
    """Return an address at which nobody listens: it is bound, so that nobody else takes it."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield "{}:{}".format(*bound.getsockname())


def crash(guard, address, error=BROKEN, count=CRASHES_TO_QUARANTINE, request_id="r1"):
    for number in range(count):
        guard.note_failure(request_id, f"e{number}", address, error)


def test_a_request_that_crashed_upstreams_is_refused_under_another_id(guard, closed):
    guard.begin("r1", NAME)
    crash(guard, closed)
    for request_id, act in (("r1", guard.check), ("r2", lambda name: guard.begin(name, NAME))):
        with pytest.raises(RefusedError) as refusal:
            act(request_id)
        assert refusal.value.code is Code.QUARANTINED
        assert refusal.value.retry_after >= FIRST_QUARANTINE_SECONDS
    assert guard.list_names() == [str(NAME)]


@pytest.mark.parametrize(
    "name",
    [
        name_call("w2", "/v1/chat/completions", b"{}"),
        name_call("w1", "/v1/completions", b"{}"),
        name_call("w1", "/v1/chat/completions", b"[]"),
    ],
    ids=["workspace", "path", "body"],
)
def test_other_requests_go_on(guard, closed, name):
    guard.begin("r1", NAME)
    crash(guard, closed)
    guard.begin("r2", name)
    guard.check("r2")


@pytest.mark.parametrize(
    "error",
    [UpstreamBusyError("busy"), UpstreamBrokenError("not reached", sent=False)],
    ids=["busy", "not sent"],
)
def test_what_did_not_reach_an_upstream_counts_against_no_request(guard, closed, error):
    guard.begin("r1", NAME)
    crash(guard, closed, error)
    guard.check("r1")


def test_an_upstream_that_listens_still_has_not_crashed(guard, listening):
    guard.begin("r1", NAME)
    crash(guard, listening)
    guard.check("r1")


def test_an_upstream_that_closes_its_port_a_moment_after_its_connections_has_crashed(
    guard, monkeypatch
):
    """An entry looked once, and found the port of a dying engine open: it counted no crash.

    The request went on to another engine, and ended three of four in place of two; 8 of 21 runs of
    its scenario beside other work.
    """
    server = socket.create_server(("127.0.0.1", 0))
    address = "{}:{}".format(*server.getsockname())
    # The port is closed between the first look and the next one, whenever that is.
    monkeypatch.setattr(crash_guard.time, "sleep", lambda _: server.close())
    guard.begin("r1", NAME)
    crash(guard, address)
    with pytest.raises(RefusedError):
        guard.check("r1")


def test_its_own_answer_acquits_a_request(guard, closed):
    guard.begin("r1", NAME)
    crash(guard, closed, count=1)
    guard.end("r1", answered=True)
    guard.begin("r2", NAME)
    crash(guard, closed, count=1, request_id="r2")
    guard.check("r2")


def test_nothing_of_a_request_stays_that_ended_without_a_crash(guard):
    for number in range(1000):
        guard.begin(f"r{number}", NAME)
        guard.end(f"r{number}", answered=bool(number % 2))
    assert (guard._names, guard.list_names()) == ({}, [])
