"""Quarantine of requests that crash upstreams, at an entry."""

import random
import socket

import pytest

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError, UpstreamBrokenError, UpstreamBusyError
from swifttrestle.internal.entry import crash_guard
from swifttrestle.internal.entry.crash_guard import EntryCrashGuard, describe_request
from swifttrestle.internal.entry.requests import read_completion
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quarantine_periods import (
    CRASHES_TO_QUARANTINE,
    FIRST_QUARANTINE_SECONDS,
    PART_RULE,
)
from swifttrestle.internal.protocol.prefixes import split_blocks
from tests.common.fakes import FakeClock

REQUEST = describe_request("w1", "/v1/chat/completions", b"{}")
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
    guard.begin("r1", REQUEST)
    crash(guard, closed)
    for request_id, act in (
        ("r1", guard.check),
        ("r2", lambda other_id: guard.begin(other_id, REQUEST)),
    ):
        with pytest.raises(RefusedError) as refusal:
            act(request_id)
        assert refusal.value.code is Code.QUARANTINED
        assert refusal.value.retry_after >= FIRST_QUARANTINE_SECONDS
    assert guard.list_quarantined() == [str(REQUEST.fingerprint)]


def test_an_open_request_is_known_as_quarantined_once_it_crashed_upstreams(guard, closed):
    guard.begin("r1", REQUEST)
    assert not guard.is_quarantined("r1")
    crash(guard, closed)
    assert guard.is_quarantined("r1")
    assert not guard.is_quarantined("r2")


@pytest.mark.parametrize(
    "other",
    [
        describe_request("w2", "/v1/chat/completions", b"{}"),
        describe_request("w1", "/v1/completions", b"{}"),
        describe_request("w1", "/v1/chat/completions", b"[]"),
    ],
    ids=["workspace", "path", "body"],
)
def test_other_requests_are_not_refused(guard, closed, other):
    guard.begin("r1", REQUEST)
    crash(guard, closed)
    guard.begin("r2", other)
    guard.check("r2")


@pytest.mark.parametrize(
    "error",
    [UpstreamBusyError("busy"), UpstreamBrokenError("not reached", sent=False)],
    ids=["busy", "not sent"],
)
def test_a_call_that_did_not_reach_the_upstream_counts_no_crash(guard, closed, error):
    guard.begin("r1", REQUEST)
    crash(guard, closed, error)
    guard.check("r1")


def test_an_upstream_that_still_listens_has_not_crashed(guard, listening):
    guard.begin("r1", REQUEST)
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
    guard.begin("r1", REQUEST)
    crash(guard, address)
    with pytest.raises(RefusedError):
        guard.check("r1")


def test_a_response_clears_the_crashes_of_its_request(guard, closed):
    guard.begin("r1", REQUEST)
    crash(guard, closed, count=1)
    guard.end("r1", answered=True)
    guard.begin("r2", REQUEST)
    crash(guard, closed, count=1, request_id="r2")
    guard.check("r2")


def test_no_state_is_kept_of_requests_that_ended_without_a_crash(guard):
    for number in range(1000):
        guard.begin(f"r{number}", REQUEST)
        guard.end(f"r{number}", answered=bool(number % 2))
    assert (guard._open, guard.list_quarantined()) == ({}, [])


COMMON_WORDS = 640


def make_body(number, common=COMMON_WORDS, own="own"):
    """Return a request whose prompt begins like the others and differs in its last words."""
    prompt = " ".join([f"word{position}" for position in range(common)] + [f"{own}{number}"] * 64)
    return b'{"model":"chat","messages":[{"role":"user","content":"%s"}]}' % prompt.encode()


def describe_completion(body, workspace="w1"):
    """Return what may be to blame in a completion, as the entry's handler finds it."""
    blocks = split_blocks(read_completion(body, chat=True).prompt)
    return describe_request(workspace, "/v1/chat/completions", body, blocks)


def crash_alike(guard, address, count=PART_RULE.crashes, workspace="w1"):
    """Let different requests with the same beginning crash an engine each."""
    for number in range(count):
        guard.begin(f"r{number}", describe_completion(make_body(number), workspace))
        guard.record_failure(f"r{number}", f"e{number}", address, BROKEN)
        guard.end(f"r{number}", answered=False)


def test_requests_whose_prompts_begin_alike_are_refused_once_they_crashed_engines(guard, closed):
    crash_alike(guard, closed)
    with pytest.raises(RefusedError):
        guard.begin("next", describe_completion(make_body(5)))


def test_a_prompt_beginning_that_crashed_engines_is_refused_in_every_workspace(guard, closed):
    crash_alike(guard, closed)
    with pytest.raises(RefusedError):
        guard.begin("next", describe_completion(make_body(5), "w2"))


@pytest.mark.parametrize("common", [32, 64, 256])
def test_prompts_that_share_only_an_answered_beginning_are_not_refused(guard, closed, common):
    """Guards against refusing sound prompts for the system prompt that all prompts begin with."""
    sound = describe_completion(make_body(0, common, "sound"))
    guard.begin("sound", sound)
    guard.end("sound", answered=True)
    crash_alike(guard, closed)
    guard.begin("sound again", describe_completion(make_body(1, common, "sound")))


def test_an_answer_that_another_engine_continued_does_not_clear_a_prompt_beginning(guard, closed):
    """Guards against clearing a crashing beginning by engines that only finish a response."""
    crash_alike(guard, closed, PART_RULE.crashes - 1)
    guard.begin("resumed", describe_completion(make_body(7)))
    guard.record_failure("resumed", "e7", closed, BROKEN)
    guard.end("resumed", answered=True)
    with pytest.raises(RefusedError):
        guard.begin("r8", describe_completion(make_body(8)))
