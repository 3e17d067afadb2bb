"""Upstreams whose answers say that they are draining, or ask for a cool-down by `Retry-After`.

An upstream's own answers take precedence over the discovery list, which can be outdated while the
store is down, and every host applies them.
"""

import asyncio

import pytest

from swifttrestle.internal.policy import scheduling
from swifttrestle_standins.hosted.site import wait_until
from tests.common.http import ask
from tests.hosted.sites import address_of, on_site
from tests.hosted.test_upstream_limits import (
    ENGINES,
    ONCE,
    PLAIN,
    READINGS,
    STREAMS,
    list_served,
    load_of,
)

LOADS = pytest.mark.parametrize(
    "load", [PLAIN, ONCE, STREAMS, READINGS], ids=["repeatable", "once", "streams", "readings"]
)
LEAVING = [(b"Server-Leaving", b"1")]
# Time after an answer with a draining header in which requests may still reach the upstream.
DRAIN_SECONDS = 2.0
# Cool-down that a refusal asks for, and the time after it in which sent requests may still arrive.
COOL_DOWN_SECONDS = 3.0
IN_FLIGHT_SECONDS = 0.5
# Requests that one host may send to an upstream in its cool-down.
MAX_REQUESTS_IN_COOL_DOWN = 2


async def find_busiest(site, load):
    await wait_until(lambda: list_served(site, load), "served")
    await asyncio.sleep(0.5)
    return list_served(site, load)[0]


def count_since(upstream, at):
    return sum(1 for arrived in upstream.arrived_at if arrived >= at)


@LOADS
@pytest.mark.parametrize("store", ["up", "down", "withdraws and restores"])
@on_site(gateways=3, engines=ENGINES, plain=6)
async def test_an_upstream_whose_answers_say_that_it_drains_gets_no_more_work(site, load, store):
    async with load_of(site, load):
        upstream = await find_busiest(site, load)
        upstream.extra_headers = LEAVING
        began = asyncio.get_running_loop().time()
        if store == "down":
            site.store.faults.down = True
        await asyncio.sleep(DRAIN_SECONDS / 2)
        if store == "withdraws and restores":
            # The upstream is listed as ready again, although its answers say that it drains.
            site.unlist_upstream(upstream)
            await asyncio.sleep(DRAIN_SECONDS / 2)
            site.list_upstream(upstream)
        await asyncio.sleep(DRAIN_SECONDS * 1.5)
    assert count_since(upstream, began + DRAIN_SECONDS) == 0


@LOADS
@on_site(gateways=8, engines=ENGINES, plain=4)
async def test_schedulers_give_no_work_to_an_upstream_that_drains(site, load, monkeypatch):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 4)
    async with load_of(site, load):
        upstream = await find_busiest(site, load)
        upstream.extra_headers = LEAVING
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(DRAIN_SECONDS * 2)
    assert count_since(upstream, began + DRAIN_SECONDS) == 0


@LOADS
@on_site(gateways=1, engines=ENGINES, plain=6)
async def test_an_upstream_gets_no_work_in_the_cool_down_that_it_asks_for(site, load):
    async with load_of(site, load):
        upstream = await find_busiest(site, load)
        upstream.rest = f"{COOL_DOWN_SECONDS:g}".encode()
        before = len(upstream.arrived_at)
        await wait_until(lambda: len(upstream.arrived_at) > before, "a refusal")
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(COOL_DOWN_SECONDS - 0.2)
    assert count_since(upstream, began + IN_FLIGHT_SECONDS) <= MAX_REQUESTS_IN_COOL_DOWN


@pytest.mark.parametrize("load", [PLAIN, ONCE, STREAMS], ids=["repeatable", "once", "streams"])
@on_site(gateways=1, engines=ENGINES, plain=4)
async def test_callers_get_the_time_until_the_first_cool_down_of_a_service_ends(site, load):
    async with load_of(site, load) as answers:
        busiest = await find_busiest(site, load)
        cooling_down = [item for item in site.upstreams.values() if item.service == busiest.service]
        for upstream in cooling_down:
            upstream.rest = f"{COOL_DOWN_SECONDS:g}".encode()
        await asyncio.sleep(1.0)
        began = asyncio.get_running_loop().time()
        refused = [
            await ask(address_of(site), load.path, f"t{n}", **load.headers) for n in range(5)
        ]
        took = asyncio.get_running_loop().time() - began
        await asyncio.sleep(0.7)
        counts_in_cool_down = [count_since(item, began) for item in cooling_down]
        # After the cool-down, waiting requests are not sent all at once to an upstream that may ask
        # for another one.
        ended = asyncio.get_running_loop().time() + 0.6
        await asyncio.sleep(1.0)
        counts_after_cool_down = [count_since(item, ended) for item in cooling_down]
    assert all(answer.status == 503 for answer in refused)
    # Requests are refused at once, with the time after which an upstream may take them.
    assert took < IN_FLIGHT_SECONDS
    assert all(0.5 < answer.retry_after <= COOL_DOWN_SECONDS for answer in refused)
    assert max(counts_after_cool_down) <= MAX_REQUESTS_IN_COOL_DOWN
    assert max(counts_in_cool_down) <= MAX_REQUESTS_IN_COOL_DOWN
    assert len(answers) > 0
