"""All hosts together keep to a workspace's quota, and use it, while hosts and datagrams fail."""

import asyncio

import pytest

from tests.common.quota_fleet import Fleet, run_fleet

# The load fills all accounts at first, and then exceeds the quota.
QUIET_SECONDS, QUIET_DEMAND = 14.0, 0.4
BUSY_SECONDS, BUSY_DEMAND = 26.0, 4.0


async def lose_datagrams(fleet):
    fleet.lost_share = 0.2


async def duplicate_datagrams(fleet):
    fleet.duplicated_share = 0.5


async def delay_datagrams(fleet):
    fleet.late_share = fleet.duplicated_share = 0.3


async def lose_and_delay_datagrams(fleet):
    fleet.lost_share = fleet.late_share = fleet.duplicated_share = 0.2


async def kill_the_counter(fleet):
    await asyncio.sleep(QUIET_SECONDS + 1)
    fleet.kill(fleet.find_counters()[0])


async def kill_both_counters(fleet):
    await asyncio.sleep(QUIET_SECONDS + 1)
    for name in fleet.find_counters():
        fleet.kill(name)


async def replace_the_counter(fleet):
    await asyncio.sleep(QUIET_SECONDS)
    counter = fleet.find_counters()[0]
    member = fleet.hosts[counter].member
    fleet.kill(counter)
    await asyncio.sleep(1)
    fleet.start_host(member)
    fleet.update_members()


async def suspend_the_counter(fleet, seconds=(0.5, 1.9, 4, 0.2)):
    await asyncio.sleep(QUIET_SECONDS - 3)
    counter = fleet.find_counters()[0]
    for length in seconds:
        fleet.suspend(counter)
        await asyncio.sleep(length)
        fleet.resume(counter)
        await asyncio.sleep(1)


async def suspend_half_of_the_hosts(fleet):
    await asyncio.sleep(QUIET_SECONDS)
    names = list(fleet.hosts)[::2]
    for name in names:
        fleet.suspend(name)
    await asyncio.sleep(6)
    for name in names:
        fleet.resume(name)


async def partition_into_halves(fleet):
    await asyncio.sleep(QUIET_SECONDS - 6)
    names = list(fleet.hosts)
    fleet.partition(names[: len(names) // 2])
    await asyncio.sleep(14)
    fleet.partition(())


async def isolate_a_host(fleet):
    await asyncio.sleep(QUIET_SECONDS - 6)
    isolated = fleet.hosts[fleet.find_counters()[0]]
    isolated.reaches_store = False
    fleet.partition([isolated.member.host])
    await asyncio.sleep(14)
    isolated.reaches_store = True
    fleet.partition(())


async def disagree_about_the_counter(fleet):
    """Have each half of the hosts see only itself, although datagrams pass."""
    await asyncio.sleep(QUIET_SECONDS - 6)
    names = list(fleet.hosts)
    fleet.partition(names[: len(names) // 2])
    await asyncio.sleep(4)
    fleet.cut = frozenset()


async def kill_all(fleet):
    await asyncio.sleep(QUIET_SECONDS)
    members = [item.member for item in fleet.hosts.values()]
    for member in members:
        fleet.kill(member.host)
    await asyncio.sleep(0.5)
    for member in members:
        fleet.start_host(member)
    fleet.update_members()


async def no_fault(fleet):
    """Change nothing."""


FAULTS = [
    no_fault,
    lose_datagrams,
    duplicate_datagrams,
    delay_datagrams,
    lose_and_delay_datagrams,
    kill_the_counter,
    kill_both_counters,
    replace_the_counter,
    suspend_the_counter,
    suspend_half_of_the_hosts,
    partition_into_halves,
    isolate_a_host,
    disagree_about_the_counter,
    kill_all,
]


async def run_fault(fault, hosts, seed):
    fleet = Fleet(hosts, seed)
    trouble = asyncio.ensure_future(fault(fleet))
    await fleet.offer(QUIET_DEMAND, QUIET_SECONDS)
    await fleet.offer(BUSY_DEMAND, BUSY_SECONDS)
    await trouble
    await asyncio.sleep(1)
    return fleet


@pytest.mark.parametrize("hosts", [8, 58])
@pytest.mark.parametrize("fault", FAULTS, ids=[item.__name__ for item in FAULTS])
def test_no_window_exceeds_the_quota_while_hosts_and_datagrams_fail(fault, hosts):
    fleet = run_fleet(run_fault(fault, hosts, seed=1))
    assert fleet.find_worst_window() <= fleet.find_bound()
