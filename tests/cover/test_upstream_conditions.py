"""How a host applies the backpressure that upstreams signal."""

import asyncio
import random

import pytest

from swifttrestle.errors import UpstreamHeldError
from swifttrestle.internal.forward.conditions import (
    DEFAULT_COOL_DOWN_SECONDS,
    MAX_COOL_DOWN_SECONDS,
)
from swifttrestle.internal.forward.gateway_state import GatewayState, RetryBudgets
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.state.declared import UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.upstream_conditions import TRIAL_SECONDS, RateLimit
from swifttrestle.internal.transport.messages import Framing, ResponseHead
from swifttrestle_standins.virtual_time import run_in_virtual_time

ID = (b"X-Request-Id", b"r1")
LIMIT = (b"Server-Limit", b"4")


def make_state():
    fleet = Fleet()
    for name in ("s0", "s1"):
        fleet.put(UpstreamRecord(name, "alerts", ("10.0.0.1", 80), "a", 8, False))
    return GatewayState("a", fleet, RetryBudgets(0.2, 10, 10), Metrics(), random.Random(1))


def make_response(status=200, *headers):
    return ResponseHead(status, headers, Framing.LENGTH)


def now():
    return asyncio.get_running_loop().time()


def in_virtual_time(test):
    def run():
        run_in_virtual_time(test())

    run.__name__ = test.__name__
    return run


@in_virtual_time
async def test_a_limit_ends_with_a_response_to_a_later_request_that_names_none():
    conditions = make_state().conditions
    await asyncio.sleep(1.0)
    conditions.record_answer("s0", make_response(200, ID, LIMIT), 0.9)
    assert conditions.find_rate_limit("s0") == RateLimit(4.0, 1.0)
    await asyncio.sleep(1.0)
    conditions.record_answer("s0", make_response(200, ID), 0.95)
    conditions.record_answer("s0", make_response(200), 1.5)
    assert conditions.find_rate_limit("s0").rate == 4.0
    conditions.record_answer("s0", make_response(200, ID), 1.5)
    assert conditions.find_rate_limit("s0") == RateLimit(None, 2.0)


@in_virtual_time
async def test_the_latest_limit_applies_whichever_host_received_it():
    conditions = make_state().conditions
    assert conditions.apply_rate_limit("s0", RateLimit(4.0, 5.0), "peer")
    assert not conditions.apply_rate_limit("s0", RateLimit(None, 4.0), "peer")
    assert not conditions.apply_rate_limit("s0", RateLimit(4.1, 6.0), "peer")
    assert conditions.apply_rate_limit("s0", RateLimit(None, 7.0), "peer")
    assert conditions.find_rate_limit("s0").rate is None


@in_virtual_time
async def test_other_hosts_are_notified_of_changed_limits_only():
    conditions, sent = make_state().conditions, []
    conditions.announce_limit = lambda start, rate_limit: sent.append(rate_limit.rate)
    for rate in (b"4", b"4", b"4.2", b"9"):
        conditions.record_answer("s0", make_response(200, ID, (b"Server-Limit", rate)), now())
        await asyncio.sleep(0.1)
    assert sent == [4.0, 9.0]


@in_virtual_time
async def test_a_limit_of_another_instance_at_the_same_address_is_ignored():
    state = make_state()
    state.conditions.record_answer("s0", make_response(421, (b"X-Instance-Id", b"s9"), LIMIT), 0.0)
    assert state.conditions.find_rate_limit("s0").rate is None
    state.conditions.record_answer("s0", make_response(421, (b"X-Instance-Id", b"s0"), LIMIT), 0.0)
    assert state.conditions.find_rate_limit("s0").rate == 4.0


@pytest.mark.parametrize(
    ("retry_after", "seconds"),
    [
        (b"3", 3.0),
        (b"0.5", 0.5),
        (b"soon", DEFAULT_COOL_DOWN_SECONDS),
        (b"1e9", MAX_COOL_DOWN_SECONDS),
    ],
)
def test_an_upstream_gets_no_requests_for_the_cool_down_that_it_asks_for(retry_after, seconds):
    async def check():
        state = make_state()
        instance = state.fleet.instances["s0"]
        state.conditions.record_answer(
            "s0", make_response(503, (b"Retry-After", retry_after)), now()
        )
        assert state.conditions.find_wait_seconds(instance, now(), urgent=True) == seconds
        assert [item.name for item in state.list_usable("alerts", now())] == ["s1"]
        with pytest.raises(UpstreamHeldError):
            state.conditions.check(instance, urgent=True, permitted=True)
        await asyncio.sleep(seconds)
        state.conditions.check(instance, urgent=False)

    run_in_virtual_time(check())


@in_virtual_time
async def test_unreadable_headers_are_counted_and_change_nothing():
    state = make_state()
    state.conditions.record_answer("s0", make_response(200, ID, LIMIT), now())
    for _ in range(3):
        state.conditions.record_answer(
            "s0", make_response(200, ID, (b"Server-Limit", b"few"), LIMIT), now()
        )
    assert state.conditions.find_rate_limit("s0").rate == 4.0
    assert state.metrics.total("upstream_odd_words_total") == 3
    assert state.conditions._conditions["s0"].unreadable == ("server-limit: few",)


@in_virtual_time
async def test_a_shorter_cool_down_does_not_end_a_longer_one():
    state = make_state()
    state.conditions.record_answer("s0", make_response(503, (b"Retry-After", b"3")), now())
    state.conditions.record_answer("s0", make_response(503, (b"Retry-After", b"1")), now())
    assert (
        state.conditions.find_wait_seconds(state.fleet.instances["s0"], now(), urgent=True) == 3.0
    )


@in_virtual_time
async def test_after_its_cool_down_one_request_probes_an_upstream_before_the_others():
    state, woken = make_state(), []
    state.conditions.on_capacity = lambda: woken.append(now())
    instance = state.fleet.instances["s0"]
    state.conditions.record_answer("s0", make_response(503, (b"Retry-After", b"1")), now())
    await asyncio.sleep(1.1)
    state.conditions.note_sent(instance)
    sent_at = now()
    assert state.conditions.find_wait_seconds(instance, now(), urgent=True) == pytest.approx(
        TRIAL_SECONDS
    )
    await asyncio.sleep(0.1)
    state.conditions.record_answer("s0", make_response(200, ID), sent_at)
    assert state.conditions.find_wait_seconds(instance, now(), urgent=True) == 0.0
    assert woken == pytest.approx([1.0, 1.2])


@in_virtual_time
async def test_an_upstream_that_announced_its_end_stays_draining_after_it_is_listed_again():
    state = make_state()
    record = state.fleet.instances["s0"].record
    state.conditions.record_answer("s0", make_response(200, ID, (b"Server-Leaving", b"1")), now())
    assert [item.name for item in state.list_usable("alerts", now())] == ["s1"]
    state.fleet.remove("s0")
    state.fleet.put(record)
    assert [item.name for item in state.list_usable("alerts", now())] == ["s1"]
    assert state.fleet.list_leaving("alerts") == {"s0"}
