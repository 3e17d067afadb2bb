"""What a host makes of a discovery list that came back from a copy, in virtual time."""

import asyncio

import pytest

from swifttrestle_standins.virtual_time import run_in_virtual_time
from tests.common.discovery import RECORD, Host

# Seconds in which an upstream that leaves gets no new work, and one that comes is used, from when
# the entry can be read; and in which upstreams have written their entries again.
LEAVING_SECONDS = 2.0
COMING_SECONDS = 2.5
REWRITTEN_SECONDS = 2.0
# Seconds after a return from which on an entry that nobody wrote again is none.
STEADY_SECONDS = 3.0
LEAVING = {**RECORD, "state": "draining"}

RETURNS = [("silent", 3.0), ("busy", 0.4), ("busy", 3.0), ("up", 0.0)]
on_returns = pytest.mark.parametrize(("way", "away"), RETURNS)
on_seeds = pytest.mark.parametrize("seed", range(8))


def play(story, seed):
    """Play a story with a host that knows the list."""

    async def whole():
        host = Host(seed)
        await asyncio.sleep(6.0 + seed * 0.37)
        await story(host, host.store.stand_in)
        host.task.cancel()

    run_in_virtual_time(whole())


async def come_back(host, copy, way, away):
    """Have the store go away and come back from a copy."""
    if away:
        host.store.set_way(way)
        await asyncio.sleep(away)
    host.store.stand_in.come_back(copy)
    host.store.set_way("up")


async def watch_for(seconds, check):
    """Check a condition again and again for some seconds."""
    for _ in range(round(seconds / 0.05)):
        assert check()
        await asyncio.sleep(0.05)


@on_returns
@on_seeds
def test_an_upstream_that_the_copy_lacks_stays_in_use_until_it_writes_again(way, away, seed):
    async def story(host, store):
        copy = store.take_copy()
        store.put("servers", "s2", RECORD)
        await asyncio.sleep(3.0)
        await come_back(host, copy, way, away)
        await watch_for(REWRITTEN_SECONDS, lambda: host.uses("s2"))
        store.write_again("servers", "s2")
        await watch_for(5.0, lambda: host.uses("s2"))

    play(story, seed)


@on_returns
@on_seeds
def test_an_upstream_that_the_copy_lacks_and_that_is_gone_is_out_in_time(way, away, seed):
    async def story(host, store):
        copy = store.take_copy()
        store.put("servers", "s2", RECORD)
        await asyncio.sleep(3.0)
        await come_back(host, copy, way, away)
        await asyncio.sleep(STEADY_SECONDS + LEAVING_SECONDS)
        assert not host.knows("s2")
        assert host.uses("s1")

    play(story, seed)


@on_returns
@on_seeds
def test_an_upstream_that_has_said_that_it_leaves_is_not_called_ready_by_a_copy(way, away, seed):
    async def story(host, store):
        copy = store.take_copy()
        store.put("servers", "s0", LEAVING)
        await asyncio.sleep(3.0)
        assert not host.uses("s0")
        await come_back(host, copy, way, away)
        await watch_for(8.0, lambda: not host.uses("s0"))
        # A start that follows it under its name writes an entry of its own.
        store.put("servers", "s0", {**RECORD, "slots": 7})
        await asyncio.sleep(COMING_SECONDS)
        assert host.uses("s0")

    play(story, seed)


@on_returns
@on_seeds
def test_an_upstream_that_was_withdrawn_is_not_used_by_a_copy_that_holds_it(way, away, seed):
    async def story(host, store):
        copy = store.take_copy()
        store.remove("servers", "s0")
        await asyncio.sleep(3.0)
        assert not host.knows("s0")
        await come_back(host, copy, way, away)
        await watch_for(REWRITTEN_SECONDS, lambda: not host.uses("s0"))
        store.write_again("servers", "s0")
        await watch_for(8.0, lambda: not host.uses("s0"))

    play(story, seed)


@on_returns
@on_seeds
def test_an_upstream_that_lapsed_and_lives_is_used_again_after_a_return(way, away, seed):
    async def story(host, store):
        copy = store.take_copy()
        store.remove("servers", "s0")
        await asyncio.sleep(3.0)
        # It writes what the copy holds already, so that its entry does not change.
        await come_back(host, copy, way, away)
        await asyncio.sleep(10.0)
        assert host.uses("s0")

    play(story, seed)


@on_returns
@on_seeds
def test_what_changes_after_a_return_is_known_in_time(way, away, seed):
    async def story(host, store):
        copy = store.take_copy()
        for number in range(40):
            store.put("others", "counter", number)
        store.put("servers", "s1", {**RECORD, "seq": 1})
        await asyncio.sleep(3.0)
        await come_back(host, copy, way, away)
        store.put("servers", "s0", LEAVING)
        store.put("servers", "s2", RECORD)
        await asyncio.sleep(LEAVING_SECONDS)
        assert not host.uses("s0")
        assert host.uses("s2")

    play(story, seed)


@on_seeds
def test_two_returns_in_a_row_leave_the_newest_list(seed):
    async def story(host, store):
        first = store.take_copy()
        store.put("servers", "s2", RECORD)
        await asyncio.sleep(1.0)
        second = store.take_copy()
        store.put("servers", "s0", LEAVING)
        await asyncio.sleep(2.0)
        await come_back(host, second, "busy", 0.4)
        await asyncio.sleep(0.1 + 0.1 * seed)
        await come_back(host, first, "busy", 0.4)
        await watch_for(REWRITTEN_SECONDS, lambda: host.uses("s2") and not host.uses("s0"))
        store.write_all_again()
        await watch_for(5.0, lambda: host.uses("s2") and not host.uses("s0"))

    play(story, seed)
