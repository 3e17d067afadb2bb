"""Hosts that keep together to an upstream's limit, by the model of their asking."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.limits import (
    RUN_SECONDS,
    EqualShares,
    OneKeeper,
    RankedShares,
    allow,
    count_worst,
    play,
)
from swifttrestle.internal.policy.rate_limits import (
    LONGEST_PAUSE,
    MOST_AT_ONCE,
    TokenBucket,
    find_owners,
)
from swifttrestle.internal.state.members import Member

# Where work waits, so much of a limit is to be used.
LEAST_USE = 0.8
# Seconds that a limit of one request in two seconds takes to be used at first, in runs of 30.
START_SECONDS = 4.0


@settings(max_examples=25, deadline=None)
@given(
    hosts=st.integers(1, 195),
    rate=st.floats(0, 40),
    seed=st.integers(0, 2**32),
    trouble=st.booleans(),
)
def test_no_window_holds_more_than_is_allowed_whoever_dies_or_is_not_heard(
    hosts, rate, seed, trouble
):
    run = play(OneKeeper, hosts, rate, seed, trouble and hosts > 1)
    assert count_worst(run.arrivals) <= allow(rate)


@pytest.mark.parametrize("hosts", [8, 65, 195])
@pytest.mark.parametrize("rate", [0.5, 2.9, 9.7])
def test_most_of_a_limit_is_used_where_work_waits(hosts, rate):
    run = play(OneKeeper, hosts, rate, seed=1, trouble=False)
    assert len(run.arrivals) >= LEAST_USE * rate * (RUN_SECONDS - START_SECONDS)


@pytest.mark.parametrize(
    ("way", "hosts", "rate"), [(EqualShares, 65, 2.9), (EqualShares, 195, 9.7)]
)
def test_a_part_for_each_host_is_more_than_the_upstream_takes(way, hosts, rate):
    # Each host may send one at first, whatever its part: this is why one host counts for all.
    assert count_worst(play(way, hosts, rate, seed=1).arrivals) > allow(rate)


def test_parts_for_some_hosts_alone_leave_the_limit_unused():
    run = play(RankedShares, 195, 2.9, seed=1, trouble=False)
    assert len(run.arrivals) < LEAST_USE * 2.9 * RUN_SECONDS


def test_an_urgent_request_finds_what_the_others_leave():
    bucket = TokenBucket(0.0)
    while not bucket.take(2.0, False, 10.0):
        pass
    assert bucket.take(2.0, True, 10.0) == 0.0
    assert bucket.take(2.0, True, 10.0) > 0.0


@pytest.mark.parametrize(("at", "count"), [(0.0, 0), (0.5, 1), (1.0, 2), (100.0, MOST_AT_ONCE)])
def test_a_bucket_begins_empty_and_holds_a_few_at_most(at, count):
    bucket = TokenBucket(0.0)
    taken = 0
    while bucket.take(2.0, True, at) == 0.0:
        taken += 1
    assert taken == count


def test_those_who_are_turned_away_come_back_one_after_another_and_soon():
    bucket = TokenBucket(0.0)
    pauses = [bucket.take(4.0, True, 0.0) for _ in range(20)]
    assert pauses[:3] == [0.25, 0.5, 0.75]
    assert max(pauses) == LONGEST_PAUSE


def test_the_keepers_are_near_the_upstream_and_on_fast_links():
    members = [Member(f"h{n}", f"10.0.0.{n}", "ab"[n % 2], 10.0 * (n // 4)) for n in range(8)]
    keepers = find_owners(members, "e1", "a")
    assert {item.zone for item in keepers} == {"a"}
    assert {item.link_mbps for item in keepers} == {10.0}
    assert len(find_owners(members, "e1", "nowhere")) == 2
    assert find_owners([], "e1", "a") == []
