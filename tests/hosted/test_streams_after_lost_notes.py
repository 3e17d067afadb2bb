"""Streams that are taken up after all hosts were lost, beside a store that fails."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest

from swifttrestle.internal.policy.ejection import FAILURES_TO_EJECT
from tests.common import steady_loop
from tests.hosted.lost_hosts import (
    MODEL,
    NEW,
    OLD,
    Play,
    build_play,
    check_take_ups,
    settle,
)

ON_OLD, ON_NEW = (MODEL, OLD), (MODEL, NEW)
# The share of the streams whose version serves that must go on: nearly all where the store has
# what it acknowledged, half where it is slow or loses answers, none where it can't know.
NEARLY_ALL, HALF, NONE = 0.9, 0.5, 0.0
LATE_SECONDS = 0.2
LOST_ANSWERS = 4
# Seconds until hosts have noticed that the store is away.
NOTICED_SECONDS = 1.0
WRITES_PER_SECOND = 15
# As many for each host as in the largest fleet.
FEW_WRITES_PER_SECOND = 10


@dataclass(frozen=True)
class Case:
    """A way in which the store fails while all hosts are lost, and the origins that serve then."""

    name: str
    run: Callable[[Play], Awaitable[None]]
    going_on: tuple[tuple[str, str], ...]
    share: float
    builds: tuple[str, ...] = (OLD, NEW)
    # The store's limit of writing calls, as the settings say; 0 if they don't.
    writes_per_second: int = 0


def set_down(play, down):
    play.site.store.faults.down = down
    play.site.store.notify_watches()


async def replace_all(play, leaving=OLD):
    """End all hosts at once, and start them when a version has left."""
    await play.lose_all()
    if leaving:
        await play.leave(leaving)
    await play.start_all()


async def lose_while_the_store_is_away(play):
    await play.begin()
    set_down(play, True)
    await play.lose_all()
    await play.leave(OLD)
    set_down(play, False)
    await play.start_all()


async def begin_while_the_store_is_away(play):
    set_down(play, True)
    await play.begin(may_refuse=True)
    await play.lose_all()
    await play.leave(OLD)
    set_down(play, False)
    await play.start_all()


async def begin_while_the_store_is_away_and_all_serve_on(play):
    set_down(play, True)
    await play.begin(may_refuse=True)
    await play.lose_all()
    set_down(play, False)
    await play.start_all()


async def lose_while_the_store_is_slow(play):
    play.site.store.faults.late_seconds = LATE_SECONDS
    await play.begin()
    await replace_all(play)


async def lose_while_the_store_is_slow_and_all_serve_on(play):
    play.site.store.faults.late_seconds = LATE_SECONDS
    await play.begin()
    await replace_all(play, leaving=None)


async def lose_answers_of_the_store(play):
    play.site.store.faults.lose_answers = LOST_ANSWERS
    await play.begin(may_refuse=True)
    play.site.store.faults.lose_answers = 0
    await replace_all(play, leaving=None)


async def limit_writes_to_the_store(play):
    play.site.store.faults.writes_per_second = WRITES_PER_SECOND
    await play.begin(may_refuse=True)
    await replace_all(play, leaving=None)


async def keep_to_few_writes(play):
    """Begin streams that together need more writes than hosts may make."""
    await play.begin(may_refuse=True)
    await play.begin(may_refuse=True)
    await replace_all(play, leaving=None)


async def restore_the_store_meanwhile(play):
    """Restore the store, while no host runs, from a copy that knows of no stream."""
    copy = play.site.store.copy_contents()
    await play.begin()
    await play.lose_all()
    play.site.store.restore(copy)
    play.site.store.repeat_all_writes()
    await play.leave(OLD)
    await play.start_all()


async def restore_the_store_meanwhile_and_all_serve_on(play):
    copy = play.site.store.copy_contents()
    await play.begin()
    await play.lose_all()
    play.site.store.restore(copy)
    play.site.store.repeat_all_writes()
    await play.start_all()


async def restore_the_store_to_before_a_version_came(play):
    """Restore the store from a copy that knows of one version alone."""
    await play.begin(10)
    copy = play.site.store.copy_contents()
    await play.arrive(NEW)
    await play.begin(20)
    await play.lose_all()
    play.site.store.restore(copy)
    play.site.store.repeat_all_writes()
    await play.start_all()


async def restore_the_store_to_before_a_release(play):
    await play.begin(10)
    copy = play.site.store.copy_contents()
    await play.arrive(NEW)
    await play.leave(OLD)
    await play.begin(20)
    await play.lose_all()
    play.site.store.restore(copy)
    play.site.store.repeat_all_writes()
    await play.start_all()


async def restore_the_store_before_the_loss(play):
    """Restore the store while hosts serve, from a copy that knows of no stream."""
    copy = play.site.store.copy_contents()
    await play.begin()
    play.site.store.restore(copy)
    play.site.store.repeat_all_writes()
    play.site.cut_store_connections()
    await replace_all(play)


CASES = [
    Case("away during the loss", lose_while_the_store_is_away, (ON_NEW,), NEARLY_ALL),
    Case("away at the begin", begin_while_the_store_is_away, (ON_NEW,), NONE),
    Case(
        "away at the begin, all serve on", begin_while_the_store_is_away_and_all_serve_on,
        (ON_OLD, ON_NEW), NONE,
    ),
    Case("slow", lose_while_the_store_is_slow, (ON_NEW,), HALF),
    Case(
        "slow, all serve on", lose_while_the_store_is_slow_and_all_serve_on, (ON_OLD, ON_NEW), HALF
    ),
    Case("answers lost", lose_answers_of_the_store, (ON_OLD, ON_NEW), HALF),
    Case("few writes", limit_writes_to_the_store, (ON_OLD, ON_NEW), HALF),
    Case(
        "few writes allowed", keep_to_few_writes, (ON_OLD, ON_NEW), HALF,
        writes_per_second=FEW_WRITES_PER_SECOND,
    ),
    Case("restored meanwhile", restore_the_store_meanwhile, (ON_NEW,), NONE),
    Case(
        "restored meanwhile, all serve on", restore_the_store_meanwhile_and_all_serve_on,
        (ON_OLD, ON_NEW), NONE,
    ),
    Case(
        "restored to before a version came", restore_the_store_to_before_a_version_came,
        (ON_OLD, ON_NEW), NONE, (OLD,),
    ),
    Case(
        "restored to before a release", restore_the_store_to_before_a_release, (ON_NEW,), NONE,
        (OLD,),
    ),
    Case("restored before the loss", restore_the_store_before_the_loss, (ON_NEW,), NONE),
]  # fmt: skip


@pytest.mark.parametrize(
    "case", CASES, ids=lambda case: case.name.replace(",", "").replace(" ", "_")
)
def test_no_stream_is_joined_after_all_hosts_were_lost_beside_a_failing_store(case):
    # Guards against a stream of a version without a note that is taken for one of another version.
    async def run():
        limits = {"writesPerS": case.writes_per_second} if case.writes_per_second else {}
        play = await build_play(*case.builds, store_limits=limits)
        try:
            await settle(play)
            await case.run(play)
            check_take_ups(play, await play.take_up_all(), case.going_on, case.share)
        finally:
            await play.site.stop()

    steady_loop.run(run())


def eject_decode_engines(play, build):
    """Have all hosts count the decode engines of a version as failing."""
    for running in play.site.gateways.values():
        known = running.gateway.list_instances()
        now = asyncio.get_running_loop().time()
        for engine in play.list_group(MODEL, build):
            if engine.role == "decode":
                state = running.gateway._state
                state.note_failure(known[engine.instance], now, "by the test", FAILURES_TO_EJECT)


async def begin_beside_a_failing_default():
    play = await build_play(OLD)
    try:
        await settle(play)
        await play.arrive(NEW)
        set_down(play, True)
        await asyncio.sleep(NOTICED_SECONDS)
        eject_decode_engines(play, OLD)
        await play.begin(may_refuse=True)
        set_down(play, False)
        return play, await play.take_up_all()
    finally:
        await play.site.stop()


def test_streams_begun_without_a_note_go_on_where_they_began_beside_a_failing_default():
    play, take_ups = steady_loop.run(begin_beside_a_failing_default())
    assert take_ups
    check_take_ups(play, take_ups, (ON_OLD, ON_NEW), HALF)
