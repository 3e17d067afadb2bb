"""Regression bounds on the decisions of the policies, on traces with fixed seeds."""

import pytest

from bench import quarantine
from bench.mix import ASSOCIATION, BASELINES, IN_USE, TRUST, run_once

SEED = 1


@pytest.mark.parametrize(
    ("deployment", "min_goodput", "max_misses"),
    [(ASSOCIATION, 28.0, 5), (TRUST, 20.0, 4)],
    ids=["association", "trust"],
)  # fmt: skip
def test_overload_keeps_goodput_above_every_baseline(deployment, min_goodput, max_misses):
    found, run = run_once(deployment, IN_USE, 1.5, SEED)
    peak = max(found.goodput, run_once(deployment, IN_USE, 0.75, SEED)[0].goodput)
    assert found.goodput >= min_goodput
    assert found.goodput >= 0.9 * peak
    for label in BASELINES:
        assert found.goodput > run_once(deployment, label, 1.5, SEED)[0].goodput
    assert found.alert_misses <= max_misses
    assert found.role_changes == 0
    assert found.retries <= 10


def test_the_same_seed_gives_the_same_decisions():
    first = run_once(TRUST, IN_USE, 0.5, SEED)[1].decisions
    repeated = run_once(TRUST, IN_USE, 0.5, SEED)[1].decisions
    other = run_once(TRUST, IN_USE, 0.5, SEED + 1)[1].decisions
    assert first == repeated
    assert first != other


def test_the_trust_changes_roles_at_most_half_as_often_as_the_association():
    changes = [
        run_once(deployment, "in use, planned roles", 1.0, SEED)[0].role_changes
        for deployment in (ASSOCIATION, TRUST)
    ]
    assert changes[1] <= changes[0] / 2


def test_a_deadly_request_costs_few_engines_and_few_other_streams():
    at_two, at_three, never = (quarantine.run_all(4, number) for number in (2, 3, 10**6))
    runs = len(quarantine.SEEDS)
    assert at_two.crashes / runs <= 4.0
    assert 1 - at_two.served / at_two.streams <= 0.03
    # A higher threshold costs engines and streams.
    assert at_three.crashes > at_two.crashes
    assert at_three.served / at_three.streams < at_two.served / at_two.streams
    assert never.crashes > 10 * at_two.crashes
    assert 1 - never.served / never.streams > 0.5
    # Few streams that ran beside the deadly request are quarantined.
    assert at_two.quarantined / runs <= 2
