"""Streams that are taken up at hosts that missed a release, as they were cut off meanwhile."""

import asyncio
from dataclasses import dataclass

import pytest

from tests.common import steady_loop
from tests.hosted.lost_hosts import HOSTS, MODEL, NEW, OLD, build_play, check_take_ups, settle

ON_OLD, ON_NEW = (MODEL, OLD), (MODEL, NEW)
NEARLY_ALL, NONE = 0.9, 0.0
# Seconds between the begin of a cut and the release that the cut hosts miss.
SHORT_CUT_SECONDS = 0.3


@dataclass(frozen=True)
class Case:
    """How many hosts are cut off, and when their callers take streams up.

    With `alone`, the others count as lost at the cut hosts before the release begins. With `leaves`
    the former version leaves behind the cut.
    """

    name: str
    cut: int = 1
    alone: bool = True
    names_stream: bool = True
    leaves: bool = False
    heals: bool = False

    @property
    def share(self):
        """The share of the streams that must go on: nearly all where the store can be asked."""
        return NEARLY_ALL if self.heals and self.names_stream else NONE


CASES = [
    Case("one host"),
    Case("two hosts", cut=2),
    Case("three hosts", cut=3),
    Case("four hosts", cut=4),
    Case("one host, at once", alone=False),
    Case("two hosts, at once", cut=2, alone=False),
    Case("four hosts, at once", cut=4, alone=False),
    Case("one host, unnamed", names_stream=False),
    Case("two hosts, unnamed", cut=2, names_stream=False),
    Case("four hosts, unnamed", cut=4, names_stream=False),
    Case("two hosts, at once, unnamed", cut=2, alone=False, names_stream=False),
    Case("one host, a version left", leaves=True),
    Case("one host, healed", heals=True),
    Case("three hosts, healed", cut=3, heals=True),
    Case("one host, healed, unnamed", names_stream=False, heals=True),
]


async def play_case(case):
    """Play a case; return its play and what became of the streams that were taken up.

    They are taken up at the cut hosts, and after that at the others.
    """
    play = await build_play(OLD)
    try:
        await settle(play)
        cut = HOSTS[: case.cut]
        play.cut_off(*cut)
        await (play.wait_alone(*cut) if case.alone else asyncio.sleep(SHORT_CUT_SECONDS))
        await play.arrive(NEW)
        if case.leaves:
            await play.leave(OLD)
        await play.begin()
        if case.heals:
            await play.heal()
        take_ups = await play.take_up_all(*cut, names_stream=case.names_stream)
        # Their callers come again, at hosts that are in step.
        return play, take_ups, await play.take_up_all(*HOSTS[case.cut :])
    finally:
        await play.site.stop()


@pytest.mark.parametrize(
    "case", CASES, ids=lambda case: case.name.replace(",", "").replace(" ", "_")
)
def test_a_host_that_missed_a_release_continues_no_stream_at_another_version(case):
    # Guards against an old list that is taken for the present one.
    play, take_ups, further = steady_loop.run(play_case(case))
    check_take_ups(play, take_ups, (ON_OLD, ON_NEW), case.share)
    check_take_ups(play, further, (ON_NEW,) if case.leaves else (ON_OLD, ON_NEW), NEARLY_ALL)
