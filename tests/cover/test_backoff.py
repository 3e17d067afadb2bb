"""Pauses after failed calls."""

import random

import pytest

from swifttrestle.internal.policy.backoff import draw_backoff, find_max_backoff


@pytest.mark.parametrize(
    ("failures", "pause"), [(1, 0.1), (2, 0.2), (3, 0.4), (4, 0.4), (50, 0.4), (5000, 0.4)]
)
def test_a_pause_doubles_up_to_the_longest_and_is_spread_around_it(failures, pause):
    rng = random.Random(1)
    drawn = [draw_backoff(rng, failures, 0.1, 0.4) for _ in range(500)]
    assert pause * 0.5 <= min(drawn) < pause * 0.55
    assert pause * 1.45 < max(drawn) <= find_max_backoff(pause)
