"""Regression bounds on the ways to share a quota, in runs with fixed seeds."""

import pytest

from bench.quota_fleet import Demand, Scenario
from bench.quotas import DELAYS, CollectedShares, EqualShares, SingleCounter, measure, play

HOSTS = 8
SEEDS = (1, 2)


@pytest.mark.parametrize("scenario", Scenario, ids=lambda item: item.value)
@pytest.mark.parametrize("delay", DELAYS)
def test_collected_shares_keep_the_bound_and_use_the_quota(scenario, delay):
    found = measure(CollectedShares, HOSTS, scenario, delay, rates=(280_000,), seeds=SEEDS)
    assert found.worst <= 1.0
    assert found.used >= 0.9


def test_few_requests_within_the_quota_are_rejected():
    found = measure(CollectedShares, HOSTS, Scenario.NONE, rates=(280_000,), seeds=SEEDS)
    assert found.refused <= 0.02
    assert found.refused_large <= 0.02


def test_hosts_that_count_alone_exceed_the_bound_in_a_partition():
    found = measure(SingleCounter, HOSTS, Scenario.PARTITION, rates=(280_000,), seeds=SEEDS)
    assert found.worst > 1.5


def test_equal_shares_reject_requests_within_the_quota():
    found = measure(EqualShares, HOSTS, Scenario.NONE, rates=(47_000,), seeds=SEEDS)
    assert found.refused > 0.1


def test_the_same_seed_gives_the_same_decisions():
    first, repeated, other = (
        play(CollectedShares, HOSTS, 280_000, Demand.HIGH, Scenario.LOSS, DELAYS[0], [seed])
        for seed in (1, 1, 2)
    )
    assert first[0].totals == repeated[0].totals
    assert first[0].totals != other[0].totals
