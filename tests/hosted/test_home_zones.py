"""Prompts that share a long part are booked in its home zone, by gateways of three zones."""

import asyncio

import pytest

from swifttrestle.internal.policy import scheduling
from swifttrestle.internal.policy.home_zones import rank_zones
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import StandInEngine
from tests.common.http import ask
from tests.hosted.sites import LONG, address_of, count_runs, on_site

ZONES = ("hall-a", "hall-b", "hall-c")
ROLES = ("prefill", "prefill", "decode", "decode")
WEIGHTS = dict.fromkeys(ZONES, len(ROLES))


@pytest.fixture(autouse=True)
def make_fleet_large(monkeypatch):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 3)


async def build_zones(site):
    """Add two hosts and four engines in each zone."""
    for zone in ZONES:
        for number, role in enumerate(ROLES):
            await site.add_upstream(StandInEngine(f"{zone}-e{number}", "model", zone, role))
    for number, zone in enumerate(ZONES):
        for host in range(2):
            await site.add_gateway(f"{zone}-{host}", 10 * number + host, zone)
    await site.wait_ready()
    for running in site.gateways.values():
        gateway = running.gateway
        await wait_until(lambda g=gateway: len(g.live_hosts()) == len(site.gateways), "hosts")
        await wait_until(lambda g=gateway: len(g.list_instances()) == len(site.upstreams), "list")


def ask_for(site, name, request, part):
    prefix = f"{part}:8000,own{request}:1000"
    headers = {"X_Token_Usage": LONG, "X_Model": "m", "X_Prompt_Prefix": prefix}
    return ask(address_of(site, name), "/verdict/a", request, **headers)


def find_zones(site, requests):
    """Return the zones of all engines that received one of these requests."""
    return {
        upstream.zone
        for upstream in site.upstreams.values()
        for request, _ in upstream.arrivals
        if request in requests
    }


@on_site(gateways=0, engines=(), plain=1)
async def test_callers_of_all_zones_reach_the_engines_that_cache_a_part(site):
    await build_zones(site)
    for part in ("p0", "p1", "p2", "p3"):
        requests = []
        for name in site.gateways:
            requests.append(f"{part}-{name}")
            answer = await ask_for(site, name, requests[-1], part)
            assert (answer.status, answer.whole) == (200, True)
            assert count_runs(site, requests[-1]) == 1
        assert find_zones(site, requests) == {rank_zones(f"m/{part}", WEIGHTS)[0]}


@on_site(gateways=0, engines=(), plain=1)
async def test_prompts_are_served_without_their_home_zones_scheduler_and_engines(site):
    await build_zones(site)
    first, second, third = rank_zones("m/p", WEIGHTS)
    name = f"{third}-0"
    members = site.gateways[name].gateway.list_members()
    scheduler = scheduling.find_scheduler(members, "model", first).host
    site.gateways[scheduler].gateway._gossip._socket.close()
    for number in range(3):
        answer = await ask_for(site, name, f"silent-{number}", "p")
        assert (answer.status, answer.whole) == (200, True)
    assert find_zones(site, {"silent-0"}) == {second}
    for upstream in list(site.upstreams.values()):
        if upstream.zone == first:
            site.unlist_upstream(upstream)
            await site.stop_upstream(upstream)
    gateway = site.gateways[name].gateway
    await wait_until(lambda: not gateway.knows_instance(f"{first}-e0"), "withdrawn")
    answers = await asyncio.gather(
        *(ask_for(site, name, f"gone-{number}", "p") for number in range(3))
    )
    assert [(answer.status, answer.whole) for answer in answers] == [(200, True)] * 3
    assert first not in find_zones(site, {f"gone-{number}" for number in range(3)})
