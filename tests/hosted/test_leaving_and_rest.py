"""Upstreams that say in their answers that they leave, or ask a host for rest.

An engine said in all its answers that it left, while the store was down and could not take that.
Two hosts that had passed such an answer on sent it requests two seconds later, and for ten more.
Another one refused all with 503 and asked each host for three seconds of rest, and got seven
requests within them from one host:

    at 9.64 s: a request reached an upstream 2106 ms after an answer had told the host that sent it
    that the upstream leaves (bound 2000 ms)
    at 7.35 s: an upstream had asked a host for 3 s of rest, and got 7 requests from it in that time
    "decoder i-9bf74881b2 failed: 5010 UPSTREAM_BUSY: i-9bf74881b2 refused with 503", every 0.25 s

Leaving was known from the discovery list alone, and the list stood still with the store. Now what
an upstream says itself counts against a list that still calls it ready, also when the list has lost
it and names it again, and all hosts are told. The time of rest was not read either: one that had
refused was left alone for a fixed quarter of a second, and where all had refused not at all.
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

KINDS = pytest.mark.parametrize(
    "load", [PLAIN, ONCE, STREAMS, READINGS], ids=["repeatable", "once", "streams", "readings"]
)
LEAVING = [(b"Server-Leaving", b"1")]
# Seconds from an answer that says so after which the upstream gets no request any more.
DRAIN_SECONDS = 2.0
# Seconds of rest that a refusal asks for, and those after it within which more may arrive.
REST_SECONDS = 3.0
UNDER_WAY_SECONDS = 0.5
# Requests that one host may send to an upstream that rests.
ALLOWED_IN_REST = 2


async def find_busiest(site, load):
    await wait_until(lambda: list_served(site, load), "served")
    await asyncio.sleep(0.5)
    return list_served(site, load)[0]


def count_after(upstream, at):
    return sum(1 for arrived in upstream.arrived_at if arrived >= at)


@KINDS
@pytest.mark.parametrize("store", ["up", "down", "withdraws and restores"])
@on_site(gateways=3, engines=ENGINES, plain=6)
async def test_an_upstream_that_says_so_in_its_answers_gets_no_more_work(site, load, store):
    async with load_of(site, load):
        upstream = await find_busiest(site, load)
        upstream.says = LEAVING
        began = asyncio.get_running_loop().time()
        if store == "down":
            site.store.faults.down = True
        await asyncio.sleep(DRAIN_SECONDS / 2)
        if store == "withdraws and restores":
            # What the list says last is that it is ready; its answers have said otherwise.
            site.unlist_upstream(upstream)
            await asyncio.sleep(DRAIN_SECONDS / 2)
            site.list_upstream(upstream)
        await asyncio.sleep(DRAIN_SECONDS * 1.5)
    assert count_after(upstream, began + DRAIN_SECONDS) == 0


@KINDS
@on_site(gateways=8, engines=ENGINES, plain=4)
async def test_an_upstream_that_leaves_gets_no_work_by_schedulers_either(site, load, monkeypatch):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 4)
    async with load_of(site, load):
        upstream = await find_busiest(site, load)
        upstream.says = LEAVING
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(DRAIN_SECONDS * 2)
    assert count_after(upstream, began + DRAIN_SECONDS) == 0


@KINDS
@on_site(gateways=1, engines=ENGINES, plain=6)
async def test_an_upstream_gets_no_work_in_the_time_of_rest_that_it_asks_for(site, load):
    async with load_of(site, load):
        upstream = await find_busiest(site, load)
        upstream.rest = f"{REST_SECONDS:g}".encode()
        before = len(upstream.arrived_at)
        await wait_until(lambda: len(upstream.arrived_at) > before, "a refusal")
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(REST_SECONDS - 0.2)
    assert count_after(upstream, began + UNDER_WAY_SECONDS) <= ALLOWED_IN_REST


@pytest.mark.parametrize("load", [PLAIN, ONCE, STREAMS], ids=["repeatable", "once", "streams"])
@on_site(gateways=1, engines=ENGINES, plain=4)
async def test_callers_are_told_when_the_first_of_a_service_ends_its_rest(site, load):
    async with load_of(site, load) as answers:
        busiest = await find_busiest(site, load)
        resting = [item for item in site.upstreams.values() if item.service == busiest.service]
        for upstream in resting:
            upstream.rest = f"{REST_SECONDS:g}".encode()
        await asyncio.sleep(1.0)
        began = asyncio.get_running_loop().time()
        told = [await ask(address_of(site), load.path, f"t{n}", **load.headers) for n in range(5)]
        took = asyncio.get_running_loop().time() - began
        await asyncio.sleep(0.7)
        late = [count_after(item, began) for item in resting]
        # All that waits at the end of the rest is not sent at once to one that may rest again.
        again = asyncio.get_running_loop().time() + 0.6
        await asyncio.sleep(1.0)
        rush = [count_after(item, again) for item in resting]
    assert all(answer.status == 503 for answer in told)
    # They are refused at once, and return when one of the upstreams may take them.
    assert took < UNDER_WAY_SECONDS
    assert all(0.5 < answer.retry_after <= REST_SECONDS for answer in told)
    assert max(rush) <= ALLOWED_IN_REST
    assert max(late) <= ALLOWED_IN_REST
    assert len(answers) > 0
