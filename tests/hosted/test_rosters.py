"""Live hosts of a large fleet, where hosts report to zone aggregators only."""

import asyncio
import functools

import pytest

from swifttrestle.internal.policy import scheduling
from swifttrestle.internal.state.peers import PEER_TIMEOUT_SECONDS
from swifttrestle.internal.transport.datagrams import DatagramKind
from swifttrestle_standins.hosted.site import wait_until
from tests.common.http import ask
from tests.hosted.sites import LONG, address_of, on_site

ZONES = ("hall-a", "hall-b", "hall-c")


@pytest.fixture(autouse=True)
def large_fleet(monkeypatch):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 3)


async def add_zones(site, hosts=3):
    """Add hosts to the second and third zone."""
    for zone_number, zone in enumerate(ZONES[1:], 1):
        for number in range(hosts):
            await site.add_gateway(f"{zone}-{number}", 10 * zone_number + number, zone)
    await site.wait_ready()
    await wait_until(lambda: knows_all(site, set(site.gateways)), "all hosts")


def list_views(site, hosts):
    return {name: set(site.gateways[name].gateway.live_hosts()) for name in hosts}


def knows_all(site, hosts):
    """Return whether each of these hosts has exactly these hosts as live."""
    return all(view == hosts for view in list_views(site, hosts).values())


def find_aggregators(site, zone):
    members = site.gateways["g0"].gateway.list_members()
    return {item.host for item in scheduling.list_aggregators(members, zone)}


def stop_host(site, name):
    site.gateways[name].task.cancel()


async def expect_no_live_host_lost(site, live, check):
    """Wait for a condition; until then no live host may be missing at another one."""
    while not check():
        for name, view in list_views(site, live).items():
            assert live <= view, f"{name} lost {live - view}"
        await asyncio.sleep(0.02)


@on_site(gateways=3)
async def test_a_host_receives_no_reports_unless_it_is_an_aggregator(site):
    await add_zones(site)
    await asyncio.sleep(2.5)
    aggregators = {zone: find_aggregators(site, zone) for zone in ZONES}
    ordinary = set(site.gateways) - set().union(*aggregators.values())
    assert len(ordinary) == 3
    senders = {name: set() for name in ordinary}
    for name in ordinary:
        socket = site.gateways[name].gateway._gossip._socket
        receive = socket._receivers[DatagramKind.REPORT]

        def record_sender(data, ip, name=name, receive=receive):
            senders[name].add(ip)
            receive(data, ip)

        socket.set_receiver(DatagramKind.REPORT, record_sender)
    await asyncio.sleep(2.0)
    assert knows_all(site, set(site.gateways))
    assert senders == {name: set() for name in ordinary}


@on_site(gateways=3)
async def test_every_host_shares_the_retry_budget_among_all_live_hosts(site):
    await add_zones(site)
    budgets = [item.gateway._budgets for item in site.gateways.values()]
    await wait_until(lambda: all(item.hosts == 9 for item in budgets), "nine hosts counted")
    lost = "hall-c-1"
    stop_host(site, lost)
    live = set(site.gateways) - {lost}
    remaining = [site.gateways[name].gateway._budgets for name in live]
    await wait_until(lambda: all(item.hosts == 8 for item in remaining), "eight hosts counted")


@on_site(gateways=3)
async def test_reports_between_schedulers_are_not_answered_by_summaries(site):
    # Guards against a scheduler and aggregator that answers each report with a summary.
    await add_zones(site)
    await asyncio.sleep(1.0)
    near = site.gateways[min(find_aggregators(site, "hall-a"))].gateway._gossip
    far = site.gateways[min(find_aggregators(site, "hall-b"))].gateway._gossip
    answers = []
    near._rosters.send_to = lambda summary, ip: answers.append(ip)
    peers = far.recipients.list_named([near._me.host])
    for _ in range(20):
        far._send({}, peers)
        await asyncio.sleep(0.01)
    assert answers == []


@pytest.mark.parametrize("which", ["plain", "one aggregator"])
@on_site(gateways=3)
async def test_only_a_lost_host_is_gone_at_all_hosts(site, which):
    await add_zones(site)
    aggregators = find_aggregators(site, "hall-b")
    hosts = {name for name in site.gateways if name.startswith("hall-b")}
    lost = min(hosts - aggregators if which == "plain" else aggregators)
    stop_host(site, lost)
    live = set(site.gateways) - {lost}
    async with asyncio.timeout(8):
        await expect_no_live_host_lost(site, live, lambda: knows_all(site, live))


@on_site(gateways=3)
async def test_no_live_host_is_lost_when_a_zone_loses_all_its_aggregators(site):
    await add_zones(site, hosts=4)
    lost = find_aggregators(site, "hall-b")
    for name in lost:
        stop_host(site, name)
    live = set(site.gateways) - lost
    async with asyncio.timeout(8):
        await expect_no_live_host_lost(site, live, lambda: knows_all(site, live))
    assert not find_aggregators(site, "hall-b") & lost


@on_site(gateways=3)
async def test_a_host_that_starts_without_the_store_finds_all_hosts_by_three_seeds(site):
    await add_zones(site)
    site.store.faults.down = True
    site.store.notify_watches()
    await site.add_gateway("late", 40, "hall-c")
    async with asyncio.timeout(8):
        await wait_until(lambda: knows_all(site, set(site.gateways)), "late host known")


@on_site(gateways=3)
async def test_a_stopping_host_is_removed_and_is_a_member_again_after_its_restart(site):
    await add_zones(site)
    stopping = "hall-c-1"
    site.gateways[stopping].gateway.stop()
    live = set(site.gateways) - {stopping}
    async with asyncio.timeout(1.5):
        await wait_until(
            lambda: all(stopping not in view for view in list_views(site, live).values()), "removed"
        )
    await site.gateways[stopping].task
    await site.add_gateway(stopping, 45, "hall-c")
    async with asyncio.timeout(10):
        await wait_until(lambda: knows_all(site, set(site.gateways)), "a member again")


@on_site(gateways=3, engines=("prefill", "prefill", "prefill", "decode"))
async def test_roles_are_planned_by_one_host_with_the_demand_of_all_zones(site):
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

    # The demand decays, and the shares of other hosts are up to two heartbeats old.
    await wait_until(lambda: 0.5 * own < total() <= own, "demand of all zones")


def find_duties(site, name):
    return site.gateways[name].gateway._duties


def find_holders(site):
    return [name for name in site.gateways if find_duties(site, name)._holds_lease()]


def list_collectors(site, name):
    return [item.host for item in find_duties(site, name)._list_collectors()]


@pytest.mark.parametrize("holder", ["g0", "hall-b-1", "hall-c-2"])
@on_site(gateways=3)
async def test_every_host_sends_its_usage_to_the_holder_of_the_duties_in_any_zone(site, holder):
    """Guards against usage reports that lack the requests of the zones without the holder."""
    await add_zones(site)
    for name in site.gateways:
        candidates = site.gateways[name].gateway._gossip.candidates
        candidates.is_candidate = functools.partial(str.__eq__, name, holder)
    await wait_until(lambda: find_holders(site) == [holder], "the holder")
    others = set(site.gateways) - {holder}
    await wait_until(
        lambda: all(holder in list_collectors(site, name) for name in others), "known everywhere"
    )
    # Longer than what hosts knew from before is valid.
    for _ in range(8):
        await asyncio.sleep(PEER_TIMEOUT_SECONDS / 4)
        assert [name for name in others if holder not in list_collectors(site, name)] == []


@on_site(gateways=3)
async def test_a_lost_holder_of_the_duties_is_forgotten_by_all_hosts(site):
    """Guards against aggregators that keep confirming a lost holder to each other."""
    await add_zones(site)
    await wait_until(lambda: find_holders(site), "a holder")
    (holder,) = find_holders(site)
    gossips = {name: site.gateways[name].gateway._gossip for name in site.gateways}
    peers = [gossip._peers.peers for name, gossip in gossips.items() if name != holder]
    await wait_until(lambda: all(table[holder].holds_duty_lease(now()) for table in peers), "known")
    for name in site.gateways:
        gossips[name].candidates.is_candidate = lambda: False
    stop_host(site, holder)
    await wait_until(
        lambda: not any(table[holder].holds_duty_lease(now()) for table in peers), "forgotten"
    )


def now():
    return asyncio.get_running_loop().time()
