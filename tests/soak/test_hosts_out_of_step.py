"""Streams that are taken up at hosts, in processes of their own, that missed a release."""

import asyncio

import pytest

from tests.hosted.lost_hosts import describe
from tests.soak.out_of_step import Case, play_case

NEARLY_ALL = 0.9
CASES = [
    Case("one cut", alone=True),
    Case("two cut at once, unnamed", out=2, names_stream=False),
    Case("two stood", out=2, peers=False, store=False, stands=3.0),
    Case("one cut and stood", stands=4.5),
    Case("seven of eight, peers first", hosts=8, out=7, peers_first=True),
    Case("seven of eight stood, then cut", hosts=8, out=7, stands=1.2, stands_first=True),
]


@pytest.mark.parametrize(
    "case", CASES, ids=lambda case: case.name.replace(",", "").replace(" ", "_")
)
def test_a_process_that_missed_a_release_continues_no_stream_at_another_version(case, tmp_path):
    # Guards against what waits in the sockets of a process that stands still.
    steps = asyncio.run(play_case(case, tmp_path))
    for step in steps:
        assert step.joined == 0, (step.when, step.joined, describe(step.take_ups))
    after = steps[-1].take_ups
    if case.names_stream:
        on = sum(item.goes_on() for item in after)
        assert on >= NEARLY_ALL * len(after), describe(after)
