"""Who lives in a large fleet: hosts speak to their zone's representatives alone."""

import asyncio

import pytest

from swifttrestle.internal.policy import scheduling
from swifttrestle.internal.transport.datagrams import DatagramKind
from swifttrestle_standins.hosted.site import wait_until
from tests.common.http import ask
from tests.hosted.sites import LONG, address_of, on_site

ZONES = ("hall-a", "hall-b", "hall-c")


@pytest.fixture(autouse=True)
def large(monkeypatch):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 3)


async def add_zones(site, hosts=3):
    """Add hosts to the second and third zone, as many as the site has in the first."""
    for zone_number, zone in enumerate(ZONES[1:], 1):
        for number in range(hosts):
            await site.add_gateway(f"{zone}-{number}", 10 * zone_number + number, zone)
    await site.wait_ready()
    await wait_until(lambda: knows_all(site, set(site.gateways)), "all hosts")


def views(site, hosts):
    return {name: set(site.gateways[name].gateway.live_hosts()) for name in hosts}


def knows_all(site, hosts):
    """Return whether these hosts know of just these hosts."""
    return all(view == hosts for view in views(site, hosts).values())


def find_representatives(site, zone):
    members = site.gateways["g0"].gateway.list_members()
    return {item.host for item in scheduling.list_representatives(members, zone)}


def kill(site, name):
    site.gateways[name].task.cancel()


async def expect_no_living_host_lost(site, living, check):
    """Wait for a condition; until then no living host may be missing at another one."""
    while not check():
        for name, view in views(site, living).items():
            assert living <= view, f"{name} lost {living - view}"
        await asyncio.sleep(0.02)


@on_site(gateways=3)
async def test_a_host_hears_reports_of_its_representatives_alone(site):
    await add_zones(site)
    await asyncio.sleep(2.5)
    representatives = {zone: find_representatives(site, zone) for zone in ZONES}
    plain = set(site.gateways) - set().union(*representatives.values())
    assert len(plain) == 3
    heard = {name: set() for name in plain}
    for name in plain:
        socket = site.gateways[name].gateway._gossip._socket
        receive = socket._receivers[DatagramKind.REPORT]

        def note(data, ip, name=name, receive=receive):
            heard[name].add(ip)
            receive(data, ip)

        socket.receive(DatagramKind.REPORT, note)
    await asyncio.sleep(2.0)
    assert knows_all(site, set(site.gateways))
    assert heard == {name: set() for name in plain}


@on_site(gateways=3)
async def test_every_host_shares_the_bound_of_repeats_with_all_that_live(site):
    await add_zones(site)
    budgets = [item.gateway._budgets for item in site.gateways.values()]
    await wait_until(lambda: all(item.hosts == 9 for item in budgets), "nine hosts counted")
    lost = "hall-c-1"
    kill(site, lost)
    living = set(site.gateways) - {lost}
    left = [site.gateways[name].gateway._budgets for name in living]
    await wait_until(lambda: all(item.hosts == 8 for item in left), "eight hosts counted")


@on_site(gateways=3)
async def test_reports_between_schedulers_are_not_answered_by_summaries(site):
    # Found on reading: a scheduler that represents its zone sent one for each report that it got.
    await add_zones(site)
    await asyncio.sleep(1.0)
    near = site.gateways[min(find_representatives(site, "hall-a"))].gateway._gossip
    far = site.gateways[min(find_representatives(site, "hall-b"))].gateway._gossip
    answers = []
    near._rosters.answer = lambda summary, ip: answers.append(ip)
    peers = far.recipients.list_named([near._me.host])
    for _ in range(20):
        far._send({}, peers)
        await asyncio.sleep(0.01)
    assert answers == []


@pytest.mark.parametrize("which", ["plain", "one representative"])
@on_site(gateways=3)
async def test_a_lost_host_is_gone_everywhere_and_nobody_else(site, which):
    await add_zones(site)
    representatives = find_representatives(site, "hall-b")
    hosts = {name for name in site.gateways if name.startswith("hall-b")}
    lost = min(hosts - representatives if which == "plain" else representatives)
    kill(site, lost)
    living = set(site.gateways) - {lost}
    async with asyncio.timeout(8):
        await expect_no_living_host_lost(site, living, lambda: knows_all(site, living))


@on_site(gateways=3)
async def test_no_host_is_forgotten_where_a_zone_loses_all_its_representatives(site):
    await add_zones(site, hosts=4)
    lost = find_representatives(site, "hall-b")
    for name in lost:
        kill(site, name)
    living = set(site.gateways) - lost
    async with asyncio.timeout(8):
        await expect_no_living_host_lost(site, living, lambda: knows_all(site, living))
    assert not find_representatives(site, "hall-b") & lost


@on_site(gateways=3)
async def test_a_host_that_starts_without_the_store_learns_of_all_by_three_seeds(site):
    await add_zones(site)
    site.store.faults.down = True
    site.store.wake()
    await site.add_gateway("late", 40, "hall-c")
    async with asyncio.timeout(8):
        await wait_until(lambda: knows_all(site, set(site.gateways)), "late host known")


@on_site(gateways=3)
async def test_a_stopping_host_is_no_member_any_more_and_its_next_start_is(site):
    await add_zones(site)
    leaving = "hall-c-1"
    site.gateways[leaving].gateway.stop()
    living = set(site.gateways) - {leaving}
    async with asyncio.timeout(1.5):
        await wait_until(
            lambda: all(leaving not in view for view in views(site, living).values()), "left"
        )
    await site.gateways[leaving].task
    await site.add_gateway(leaving, 45, "hall-c")
    async with asyncio.timeout(10):
        await wait_until(lambda: knows_all(site, set(site.gateways)), "back")


@on_site(gateways=3, engines=("prefill", "prefill", "prefill", "decode"))
async def test_roles_are_planned_once_by_the_demand_of_all_zones(site):
    await add_zones(site)

    def list_holders():
        return [
            name
            for name, item in site.gateways.items()
            if item.gateway._gossip.candidates.holds_duty_lease
        ]

    await wait_until(list_holders, "a holder of the lease")
    holders = list_holders()
    assert len(holders) == 1
    before = {
        name: item.gateway._state.demand.total("model", asyncio.get_running_loop().time())
        for name, item in site.gateways.items()
    }
    assert before[holders[0]].read_tokens == 0
    asked = [
        ask(address_of(site, name), "/verdict/a", f"{name}-v", X_Token_Usage=LONG)
        for name in site.gateways
    ]
    await asyncio.gather(*asked)
    clock = asyncio.get_running_loop().time
    own = sum(
        item.gateway._state.demand.own(clock())["model"].read_tokens
        for item in site.gateways.values()
    )
    holder = site.gateways[holders[0]].gateway._state.demand

    def total():
        return holder.total("model", clock()).read_tokens

    # It fades with time, and its parts are up to a heartbeat or two older than its own one.
    await wait_until(lambda: 0.5 * own < total() <= own, "demand of all zones")
