"""Exponential backoff with jitter."""

import random

import pytest

from swifttrestle.internal.policy.backoff import draw_backoff, find_max_backoff


@pytest.mark.parametrize(
    ("failures", "delay"), [(1, 0.1), (2, 0.2), (3, 0.4), (4, 0.4), (50, 0.4), (5000, 0.4)]
)
def test_a_delay_doubles_up_to_the_maximum_and_has_jitter(failures, delay):
    rng = random.Random(1)
    drawn = [draw_backoff(rng, failures, 0.1, 0.4) for _ in range(500)]
    assert delay * 0.5 <= min(drawn) < delay * 0.55
    assert delay * 1.45 < max(drawn) <= find_max_backoff(delay)
