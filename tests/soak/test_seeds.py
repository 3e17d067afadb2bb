"""A short soak of separate processes, by fixed seeds; more by hand with python -m tests.soak."""

import asyncio

import pytest

from tests.soak.rounds import run_round

# One round of planned work, two of everything. A seed that ever failed joins them, with its
# cause.
# 523: a key that had just been brought was refused before its version had to be in force; the
# check asked more than is promised. 535: the stand-in listed an engine that had not come up yet.
SEEDS = (3, 1, 2, 523, 535)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken_in_a_seeded_round(seed, tmp_path):
    outcome = asyncio.run(run_round(seed, tmp_path, hosts=3, seconds=4.0, callers=8))
    assert outcome.findings == []
    assert outcome.served > 0
