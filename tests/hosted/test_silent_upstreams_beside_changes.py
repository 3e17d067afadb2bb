"""Upstreams that are silent for 1.3 s while the host, the configuration or the fleet changes."""

import asyncio

import pytest

from swifttrestle_standins.hosted.site import make_route
from swifttrestle_standins.hosted.upstreams import make_content, make_event
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, address_of, build_site, on_built

ROUTES = [
    make_route("verdict", "streaming", "model", resumable=True, timeoutMs=8000, maxAttempts=2),
    make_route("card", "safe", "alerts", timeoutMs=2400, maxAttempts=2),
]


async def build_changing_site():
    site = await build_site(gateways=0, engines=("prefill", "decode"), plain=1)
    site.routes = ROUTES
    site.declare()
    await site.add_gateway("g0", 0)
    await site.wait_ready()
    return site


def list_silent(site):
    """Return the upstreams that were told to be silent."""
    return [item for item in site.upstreams.values() if item.instance in site.silent]


async def stop_host(site):
    site.gateways["g0"].gateway.stop()


async def mark_draining(site):
    for upstream in list_silent(site):
        site.list_upstream(upstream, state="draining")


async def unlist(site):
    for upstream in list_silent(site):
        site.unlist_upstream(upstream)


async def drop_services(site):
    site.routes, site.services = [], []
    site.declare()


async def storm(site):
    services = site.services
    for number in range(20):
        site.routes = ROUTES if number % 2 else [make_route("other", "safe", "alerts")]
        site.services = services if number % 3 else services[1:]
        site.declare(idleTimeoutMs=1000 + 500 * (number % 4), headerTimeoutMs=500)
        await asyncio.sleep(0.06)


async def shorten_routes(site):
    site.routes = [{**route, "timeoutMs": 300, "maxAttempts": 1} for route in ROUTES]
    site.declare(maxBodyBytes=1, idleTimeoutMs=200)


CHANGES = [stop_host, mark_draining, unlist, drop_services, storm, shorten_routes]
REQUESTS = {
    "stream": ("/verdict/a", {"X_Token_Usage": SHORT}),
    "prompt": ("/verdict/a", {"X_Token_Usage": LONG}),
    "plain": ("/card/a", {"method": "GET"}),
}
SILENT = {"stream": ["e1"], "prompt": ["e0"], "plain": ["s0"]}


@pytest.mark.parametrize("kind", REQUESTS)
@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
def test_an_answer_is_whole_though_its_upstream_is_silent_beside(change, kind):
    @on_built(build_changing_site)
    async def run(site):
        site.silent = SILENT[kind]
        for upstream in list_silent(site):
            upstream.script.steps.append("pause")
        path, headers = REQUESTS[kind]
        asking = asyncio.ensure_future(ask(address_of(site), path, "r1", **headers))
        await asyncio.sleep(0.15)
        await change(site)
        answer = await asking
        expected = b"".join(make_event("r1", number) for number in range(1, 5))
        if kind == "plain":
            expected = make_content("r1")
        assert (answer.status, answer.whole, answer.body) == (200, True, expected)

    run()
