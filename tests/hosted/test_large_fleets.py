"""Large fleets: schedulers, and hosts that watch the discovery list for their zone."""

import asyncio
import contextlib

import pytest

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.policy import scheduling
from swifttrestle_standins.hosted.site import wait_until
from tests.common.http import ask
from tests.hosted.sites import LONG, address_of, count_runs, on_site

WATCH = "GET /v1/objects/servers?"


@contextlib.asynccontextmanager
async def heartbeats(site):
    """Change one upstream's record several times a second, as heartbeats do."""

    async def keep_changing():
        number = 0
        while True:
            number += 1
            spec = {**site.store.objects["servers", "s1"]["spec"], "seq": number}
            site.store.put("servers", "s1", spec)
            await asyncio.sleep(0.1)

    task = asyncio.ensure_future(keep_changing())
    try:
        yield
    finally:
        task.cancel()


def hosts_knowing(site, instance):
    return {name for name, item in site.gateways.items() if item.gateway.knows_instance(instance)}


async def wait_for_all_hosts(site):
    count = len(site.gateways)
    for item in site.gateways.values():
        await wait_until(lambda i=item: len(i.gateway.live_hosts()) == count, "all hosts")


def count_watches(site):
    return sum(1 for call in site.store.calls if call.startswith(WATCH))


@pytest.fixture(autouse=True)
def large_fleet(monkeypatch):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 2)


@on_site(gateways=5)
async def test_two_hosts_of_a_zone_watch_the_list_and_relay_changes_to_the_others(site):
    async with heartbeats(site):
        await wait_for_all_hosts(site)
        await asyncio.sleep(1.0)
        site.store.calls.clear()
        site.unlist_upstream(site.upstreams["s0"])
        await wait_until(lambda: not hosts_knowing(site, "s0"), "gone at all hosts")
        await asyncio.sleep(2.0)
        # Only two of the five hosts watch the list.
        assert count_watches(site) <= 8


@pytest.mark.parametrize("failure", ["watchers stopped", "datagrams lost"])
@on_site(gateways=4)
async def test_a_host_without_relayed_changes_reads_the_list_in_time(site, failure):
    async with heartbeats(site):
        await wait_for_all_hosts(site)
        await asyncio.sleep(1.0)
        members = site.gateways["g0"].gateway.list_members()
        watchers = [item.host for item in scheduling.list_aggregators(members, "hall-a")]
        others = set(site.gateways) - set(watchers)
        for name in watchers:
            running = site.gateways[name]
            if failure == "watchers stopped":
                running.task.cancel()
            else:
                running.gateway._discovery._relay.send = lambda _: None
        site.unlist_upstream(site.upstreams["s0"])
        async with asyncio.timeout(2.0):
            while hosts_knowing(site, "s0") & others:
                await asyncio.sleep(0.01)


@on_site(gateways=4)
async def test_a_watching_host_that_cannot_reach_the_store_receives_relayed_changes(site):
    async def refuse_call(*_):
        raise PlatformUnavailableError("unreachable")

    async with heartbeats(site):
        await wait_for_all_hosts(site)
        await asyncio.sleep(1.0)
        members = site.gateways["g0"].gateway.list_members()
        isolated = scheduling.list_aggregators(members, "hall-a")[0].host
        site.gateways[isolated].gateway._store._call = refuse_call
        await asyncio.sleep(0.5)
        site.unlist_upstream(site.upstreams["s0"])
        await wait_until(
            lambda: isolated not in hosts_knowing(site, "s0"), "gone at the isolated host"
        )


@on_site(gateways=4)
async def test_an_outage_in_a_large_fleet_removes_no_upstream_that_registers_again(site):
    async with heartbeats(site):
        await wait_for_all_hosts(site)
        site.store.faults.down = True
        site.store.notify_watches()
        await asyncio.sleep(2.0)
        unlisted = site.upstreams["s0"]
        site.unlist_upstream(unlisted)
        site.store.faults.down = False
        await asyncio.sleep(1.0)
        assert hosts_knowing(site, "s0") == set(site.gateways)
        site.list_upstream(unlisted)
        await asyncio.sleep(2.0)
        assert hosts_knowing(site, "s0") == set(site.gateways)


@on_site(gateways=4, engines=("prefill", "prefill", "decode", "decode"))
async def test_each_request_of_a_large_fleet_runs_once_and_its_booking_is_released(site):
    await wait_for_all_hosts(site)
    asked = [
        ask(address_of(site, name), "/verdict/a", f"{name}-{number}", X_Token_Usage=LONG)
        for name in site.gateways
        for number in range(3)
    ]
    answers = await asyncio.gather(*asked)
    served = [answer for answer in answers if answer.status == 200]
    assert len(served) >= 4
    assert all(answer.status in (200, 503) for answer in answers)
    for answer in served:
        assert count_runs(site, answer.headers["x-request-id"]) == 1
    await wait_until(
        lambda: not sum(item.gateway.count_open_requests() for item in site.gateways.values()),
        "bookings released",
    )


@on_site(gateways=4, engines=("prefill", "prefill", "decode", "decode"))
async def test_requests_are_served_after_the_scheduler_is_gone(site):
    await wait_for_all_hosts(site)
    members = site.gateways["g0"].gateway.list_members()
    first = scheduling.find_scheduler(members, "model", "hall-a").host
    site.gateways[first].gateway._gossip._socket.close()
    other = next(name for name in site.gateways if name != first)
    for number in range(4):
        answer = await ask(address_of(site, other), "/verdict/a", f"v{number}", X_Token_Usage=LONG)
        assert answer.status == 200
