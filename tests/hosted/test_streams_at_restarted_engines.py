"""Streams that are taken up at a host that missed that engines restarted at another version."""

import asyncio
from dataclasses import dataclass

import pytest

from swifttrestle_standins.hosted.site import wait_until
from tests.common import steady_loop
from tests.hosted.lost_hosts import (
    DECODERS,
    HOSTS,
    MODEL,
    NEW,
    OLD,
    AlwaysCut,
    build_play,
    check_take_ups,
    describe,
    settle,
)
from tests.hosted.sites import SHORT

ON_OLD, ON_NEW = (MODEL, OLD), (MODEL, NEW)
NEARLY_ALL, NONE = 0.9, 0.0
# Streams that one host begins at once.
STREAMS = 12
# Seconds after which the engines that broke the streams serve again.
EJECTION_SECONDS = 6.0
FIRST_START = 1764720000000
# Seconds between the begin of a cut and the restarts that the cut host misses.
SHORT_CUT_SECONDS = 0.3


@dataclass(frozen=True)
class Case:
    """How many decode engines restart behind a cut, and when streams are taken up.

    With `alone`, the others count as lost at the cut host before the restarts. The cut is over at
    that moment if it `ends`, and the host has learned what it missed if it `heals`.
    """

    name: str
    alone: bool = True
    restarted: int = DECODERS
    ends: bool = False
    heals: bool = False

    @property
    def share(self):
        """The share of the streams that must go on: nearly all where an engine did not restart."""
        return NEARLY_ALL if self.restarted < DECODERS else NONE


# Requests that a caller makes to begin a stream: one host gets them all at once.
TRIES = 8

CASES = [
    Case("all engines"),
    Case("all engines, at once", alone=False),
    Case("all engines, at the end", ends=True),
    Case("all engines, healed", heals=True),
    Case("all engines but one", restarted=DECODERS - 1),
    Case("all engines but one, at once", restarted=DECODERS - 1, alone=False),
    Case("no engine", restarted=0),
]


async def prepare(play):
    """Have engines report their starts and keep their roles, and hosts know the default origin."""
    # Else an order to prefill may take the version's last decode engine away.
    play.stop_role_planning()
    await settle(play)
    await report_starts(play)


async def report_starts(play):
    """Have all engines report when they started; return once all hosts know it."""
    for engine in play.site.upstreams.values():
        engine.born = FIRST_START
        play.site.list_upstream(engine)
    for host in play.site.gateways.values():
        known = host.gateway._fleet.instances
        await wait_until(lambda k=known: all(i.record.born for i in k.values()), "the starts")


async def play_case(case):
    """Play a case; return its play and what became of the streams that were taken up."""
    play = await build_play(OLD)
    try:
        await prepare(play)
        await play.begin(STREAMS, hosts=HOSTS[:1], tries=TRIES)
        await asyncio.sleep(EJECTION_SECONDS)
        play.cut_off(HOSTS[0])
        await (play.wait_alone(HOSTS[0]) if case.alone else asyncio.sleep(SHORT_CUT_SECONDS))
        decoders = [item for item in play.list_group(MODEL, OLD) if item.role == "decode"]
        play.restart_as(NEW, decoders[: case.restarted])
        await asyncio.sleep(SHORT_CUT_SECONDS)
        if case.ends:
            play.end_cuts()
        if case.heals:
            await play.heal()
        return play, await play.take_up_all(HOSTS[0])
    finally:
        await play.site.stop()


@pytest.mark.parametrize(
    "case", CASES, ids=lambda case: case.name.replace(",", "").replace(" ", "_")
)
def test_no_stream_goes_on_at_an_engine_that_restarted_at_another_version_unseen(case):
    # Guards against an id that is taken for a start.
    play, take_ups = steady_loop.run(play_case(case))
    check_take_ups(play, take_ups, (ON_OLD, ON_NEW), case.share)


async def break_off_where_engines_restart(restarted):
    """Have engines restart while they answer; return the answer that was continued elsewhere."""
    play = await build_play(OLD)
    try:
        await prepare(play)
        play.cut_off(HOSTS[0])
        await play.wait_alone(HOSTS[0])
        first, *others = (item for item in play.list_group(MODEL, OLD) if item.role == "decode")
        play.restart_as(NEW, others[:restarted])
        for engine in others:
            engine.rest = b"1"
        first.script = AlwaysCut()
        # The other engines serve again once the first one has begun.
        asked = asyncio.ensure_future(play.ask(HOSTS[0], "/verdict/a", "s1", X_Token_Usage=SHORT))
        await wait_until(lambda: first.runs.get("s1"), "the run")
        for engine in others:
            engine.rest = b""
        answer = await asked
        return answer, {engine.build for engine in (first, *others) if engine.runs.get("s1")}
    finally:
        await play.site.stop()


@pytest.mark.parametrize("restarted", [0, 1, 2])
def test_an_answer_is_continued_at_no_engine_that_restarted_unseen(restarted):
    answer, builds = steady_loop.run(break_off_where_engines_restart(restarted))
    assert builds == {OLD}
    assert (answer.status, answer.whole) == (200, True)


async def begin_where_engines_restarted(restarted):
    """Begin streams behind a cut at engines that restarted unseen; take them up after it."""
    play = await build_play(OLD)
    try:
        await prepare(play)
        play.cut_off(HOSTS[0])
        await play.wait_alone(HOSTS[0])
        decoders = [item for item in play.list_group(MODEL, OLD) if item.role == "decode"]
        play.restart_as(NEW, decoders[:restarted])
        await asyncio.sleep(SHORT_CUT_SECONDS)
        await play.begin(STREAMS, hosts=HOSTS[:1], tries=TRIES)
        await play.heal()
        await asyncio.sleep(EJECTION_SECONDS)
        return play, await play.take_up_all()
    finally:
        await play.site.stop()


@pytest.mark.parametrize("restarted", [1, DECODERS])
def test_a_stream_that_began_at_an_engine_that_restarted_unseen_goes_on_at_no_other_version(
    restarted,
):
    play, take_ups = steady_loop.run(begin_where_engines_restarted(restarted))
    assert play.count_joined() == 0, (play.count_joined(), describe(take_ups))
