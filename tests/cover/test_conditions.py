"""What a host keeps of an upstream's words, and what it takes from them."""

import asyncio
import random

import pytest

from swifttrestle.errors import UpstreamHeldError
from swifttrestle.internal.forward.conditions import LONGEST_REST_SECONDS, UNKNOWN_REST_SECONDS
from swifttrestle.internal.forward.gateway_state import GatewayState, RetryBudgets
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.state.declared import UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.upstream_conditions import TRIAL_SECONDS, RateLimit
from swifttrestle.internal.transport.messages import Framing, ResponseHead
from swifttrestle_standins.virtual_time import run_in_virtual_time

ID = (b"X-Request-Id", b"r1")
LIMIT = (b"Server-Limit", b"4")


def make_parts():
    fleet = Fleet()
    for name in ("s0", "s1"):
        fleet.put(UpstreamRecord(name, "alerts", ("10.0.0.1", 80), "a", 8, False))
    return GatewayState("a", fleet, RetryBudgets(0.2, 10, 10), Metrics(), random.Random(1))


def answer(status=200, *headers):
    return ResponseHead(status, headers, Framing.LENGTH)


def now():
    return asyncio.get_running_loop().time()


def in_virtual_time(test):
    def run():
        run_in_virtual_time(test())

    run.__name__ = test.__name__
    return run


@in_virtual_time
async def test_a_limit_ends_with_an_answer_to_a_later_request_that_names_none():
    conditions = make_parts().conditions
    await asyncio.sleep(1.0)
    conditions.record_answer("s0", answer(200, ID, LIMIT), 0.9)
    assert conditions.find_rate_limit("s0") == RateLimit(4.0, 1.0)
    await asyncio.sleep(1.0)
    conditions.record_answer("s0", answer(200, ID), 0.95)
    conditions.record_answer("s0", answer(200), 1.5)
    assert conditions.find_rate_limit("s0").rate == 4.0
    conditions.record_answer("s0", answer(200, ID), 1.5)
    assert conditions.find_rate_limit("s0") == RateLimit(None, 2.0)


@in_virtual_time
async def test_the_newest_word_counts_whoever_heard_it():
    conditions = make_parts().conditions
    assert conditions.apply_rate_limit("s0", RateLimit(4.0, 5.0), "peer")
    assert not conditions.apply_rate_limit("s0", RateLimit(None, 4.0), "peer")
    assert not conditions.apply_rate_limit("s0", RateLimit(4.1, 6.0), "peer")
    assert conditions.apply_rate_limit("s0", RateLimit(None, 7.0), "peer")
    assert conditions.find_rate_limit("s0").rate is None


@in_virtual_time
async def test_others_are_told_of_what_differs_and_not_of_each_answer():
    conditions, told = make_parts().conditions, []
    conditions.announce_limit = lambda start, rate_limit: told.append(rate_limit.rate)
    for rate in (b"4", b"4", b"4.2", b"9"):
        conditions.record_answer("s0", answer(200, ID, (b"Server-Limit", rate)), now())
        await asyncio.sleep(0.1)
    assert told == [4.0, 9.0]


@in_virtual_time
async def test_a_word_of_the_next_instance_at_an_address_is_not_taken_for_the_former_ones():
    parts = make_parts()
    parts.conditions.record_answer("s0", answer(421, (b"X-Instance-Id", b"s9"), LIMIT), 0.0)
    assert parts.conditions.find_rate_limit("s0").rate is None
    parts.conditions.record_answer("s0", answer(421, (b"X-Instance-Id", b"s0"), LIMIT), 0.0)
    assert parts.conditions.find_rate_limit("s0").rate == 4.0


@pytest.mark.parametrize(
    ("asked", "seconds"),
    [(b"3", 3.0), (b"0.5", 0.5), (b"soon", UNKNOWN_REST_SECONDS), (b"1e9", LONGEST_REST_SECONDS)],
)
def test_an_upstream_that_asks_for_rest_is_held_for_so_long(asked, seconds):
    async def check():
        parts = make_parts()
        instance = parts.fleet.instances["s0"]
        parts.conditions.record_answer("s0", answer(503, (b"Retry-After", asked)), now())
        assert parts.conditions.find_wait_seconds(instance, now(), urgent=True) == seconds
        assert [item.name for item in parts.list_usable("alerts", now())] == ["s1"]
        with pytest.raises(UpstreamHeldError):
            parts.conditions.check(instance, urgent=True, permitted=True)
        await asyncio.sleep(seconds)
        parts.conditions.check(instance, urgent=False)

    run_in_virtual_time(check())


@in_virtual_time
async def test_words_that_cannot_be_read_are_told_once_and_change_nothing():
    parts = make_parts()
    parts.conditions.record_answer("s0", answer(200, ID, LIMIT), now())
    for _ in range(3):
        parts.conditions.record_answer(
            "s0", answer(200, ID, (b"Server-Limit", b"few"), LIMIT), now()
        )
    assert parts.conditions.find_rate_limit("s0").rate == 4.0
    assert parts.metrics.total("upstream_odd_words_total") == 3
    assert parts.conditions._conditions["s0"].unreadable == ("server-limit: few",)


@in_virtual_time
async def test_a_shorter_rest_does_not_end_a_longer_one():
    parts = make_parts()
    parts.conditions.record_answer("s0", answer(503, (b"Retry-After", b"3")), now())
    parts.conditions.record_answer("s0", answer(503, (b"Retry-After", b"1")), now())
    assert (
        parts.conditions.find_wait_seconds(parts.fleet.instances["s0"], now(), urgent=True) == 3.0
    )


@in_virtual_time
async def test_after_its_rest_one_request_tries_an_upstream_before_the_others():
    parts, woken = make_parts(), []
    parts.conditions.on_room = lambda: woken.append(now())
    instance = parts.fleet.instances["s0"]
    parts.conditions.record_answer("s0", answer(503, (b"Retry-After", b"1")), now())
    await asyncio.sleep(1.1)
    parts.conditions.note_sent(instance)
    sent_at = now()
    assert parts.conditions.find_wait_seconds(instance, now(), urgent=True) == pytest.approx(
        TRIAL_SECONDS
    )
    await asyncio.sleep(0.1)
    parts.conditions.record_answer("s0", answer(200, ID), sent_at)
    assert parts.conditions.find_wait_seconds(instance, now(), urgent=True) == 0.0
    assert woken == pytest.approx([1.0, 1.2])


@in_virtual_time
async def test_what_a_start_said_outlasts_its_entry_in_the_list():
    parts = make_parts()
    record = parts.fleet.instances["s0"].record
    parts.conditions.record_answer("s0", answer(200, ID, (b"Server-Leaving", b"1")), now())
    assert [item.name for item in parts.list_usable("alerts", now())] == ["s1"]
    parts.fleet.remove("s0")
    parts.fleet.put(record)
    assert [item.name for item in parts.list_usable("alerts", now())] == ["s1"]
    assert parts.fleet.list_leaving("alerts") == {"s0"}
