"""How a host treats the discovery list of a store that was restored from an older copy."""

import asyncio

import pytest

from swifttrestle_standins.virtual_time import run_in_virtual_time
from tests.common.discovery import RECORD, Host

# Seconds after which a draining upstream must get no new work.
DRAINING_SECONDS = 2.0
# Seconds after which a new upstream must be used.
JOINING_SECONDS = 2.5
# Seconds after a restore in which upstreams write their entries again.
REWRITE_SECONDS = 2.0
# Seconds after a restore from which on an entry that was not written again counts as withdrawn.
STEADY_SECONDS = 3.0
DRAINING = {**RECORD, "state": "draining"}

RESTORES = [("silent", 3.0), ("busy", 0.4), ("busy", 3.0), ("up", 0.0)]
on_restores = pytest.mark.parametrize(("failure_mode", "outage_seconds"), RESTORES)
on_seeds = pytest.mark.parametrize("seed", range(8))


def run_scenario(scenario, seed):
    """Run a scenario with a host that knows the list."""

    async def run_all():
        host = Host(seed)
        await asyncio.sleep(6.0 + seed * 0.37)
        await scenario(host, host.store.stand_in)
        host.task.cancel()

    run_in_virtual_time(run_all())


async def restore_store(host, copy, failure_mode, outage_seconds):
    """Make the store unavailable for a time, then restore it from a copy."""
    if outage_seconds:
        host.store.set_failure_mode(failure_mode)
        await asyncio.sleep(outage_seconds)
    host.store.stand_in.restore(copy)
    host.store.set_failure_mode("up")


async def watch_for(seconds, check):
    """Check a condition repeatedly for some seconds."""
    for _ in range(round(seconds / 0.05)):
        assert check()
        await asyncio.sleep(0.05)


@on_restores
@on_seeds
def test_an_upstream_that_the_copy_lacks_stays_in_use_until_it_writes_again(
    failure_mode, outage_seconds, seed
):
    async def scenario(host, store):
        copy = store.copy_contents()
        store.put("servers", "s2", RECORD)
        await asyncio.sleep(3.0)
        await restore_store(host, copy, failure_mode, outage_seconds)
        await watch_for(REWRITE_SECONDS, lambda: host.uses("s2"))
        store.repeat_write("servers", "s2")
        await watch_for(5.0, lambda: host.uses("s2"))

    run_scenario(scenario, seed)


@on_restores
@on_seeds
def test_an_upstream_that_the_copy_lacks_and_that_is_gone_is_removed_in_time(
    failure_mode, outage_seconds, seed
):
    async def scenario(host, store):
        copy = store.copy_contents()
        store.put("servers", "s2", RECORD)
        await asyncio.sleep(3.0)
        await restore_store(host, copy, failure_mode, outage_seconds)
        await asyncio.sleep(STEADY_SECONDS + DRAINING_SECONDS)
        assert not host.knows("s2")
        assert host.uses("s1")

    run_scenario(scenario, seed)


@on_restores
@on_seeds
def test_a_draining_upstream_does_not_become_ready_by_an_older_copy(
    failure_mode, outage_seconds, seed
):
    async def scenario(host, store):
        copy = store.copy_contents()
        store.put("servers", "s0", DRAINING)
        await asyncio.sleep(3.0)
        assert not host.uses("s0")
        await restore_store(host, copy, failure_mode, outage_seconds)
        await watch_for(8.0, lambda: not host.uses("s0"))
        # Its next incarnation under the same name writes a new entry.
        store.put("servers", "s0", {**RECORD, "slots": 7})
        await asyncio.sleep(JOINING_SECONDS)
        assert host.uses("s0")

    run_scenario(scenario, seed)


@on_restores
@on_seeds
def test_a_withdrawn_upstream_is_not_used_although_an_older_copy_lists_it(
    failure_mode, outage_seconds, seed
):
    async def scenario(host, store):
        copy = store.copy_contents()
        store.remove("servers", "s0")
        await asyncio.sleep(3.0)
        assert not host.knows("s0")
        await restore_store(host, copy, failure_mode, outage_seconds)
        await watch_for(REWRITE_SECONDS, lambda: not host.uses("s0"))
        store.repeat_write("servers", "s0")
        await watch_for(8.0, lambda: not host.uses("s0"))

    run_scenario(scenario, seed)


@on_restores
@on_seeds
def test_a_live_upstream_whose_entry_expired_is_used_again_after_a_restore(
    failure_mode, outage_seconds, seed
):
    async def scenario(host, store):
        copy = store.copy_contents()
        store.remove("servers", "s0")
        await asyncio.sleep(3.0)
        # It writes what the copy already holds, so its entry does not change.
        await restore_store(host, copy, failure_mode, outage_seconds)
        await asyncio.sleep(10.0)
        assert host.uses("s0")

    run_scenario(scenario, seed)


@on_restores
@on_seeds
def test_changes_after_a_restore_are_known_in_time(failure_mode, outage_seconds, seed):
    async def scenario(host, store):
        copy = store.copy_contents()
        for number in range(40):
            store.put("others", "counter", number)
        store.put("servers", "s1", {**RECORD, "seq": 1})
        await asyncio.sleep(3.0)
        await restore_store(host, copy, failure_mode, outage_seconds)
        store.put("servers", "s0", DRAINING)
        store.put("servers", "s2", RECORD)
        await asyncio.sleep(DRAINING_SECONDS)
        assert not host.uses("s0")
        assert host.uses("s2")

    run_scenario(scenario, seed)


@on_seeds
def test_two_restores_in_a_row_leave_the_newest_list(seed):
    async def scenario(host, store):
        first = store.copy_contents()
        store.put("servers", "s2", RECORD)
        await asyncio.sleep(1.0)
        second = store.copy_contents()
        store.put("servers", "s0", DRAINING)
        await asyncio.sleep(2.0)
        await restore_store(host, second, "busy", 0.4)
        await asyncio.sleep(0.1 + 0.1 * seed)
        await restore_store(host, first, "busy", 0.4)
        await watch_for(REWRITE_SECONDS, lambda: host.uses("s2") and not host.uses("s0"))
        store.repeat_all_writes()
        await watch_for(5.0, lambda: host.uses("s2") and not host.uses("s0"))

    run_scenario(scenario, seed)
