"""A host that is cut from upstreams, while its peers' answers are slower than its own refusals.

Guards against requests that a busy cut host refused with most of their time left.
"""

import asyncio

import pytest

from swifttrestle_standins.hosted.cuts import Cut
from swifttrestle_standins.hosted.site import wait_until
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, address_of, on_built
from tests.hosted.test_relayed_connection_failures import delay_dials
from tests.hosted.test_relayed_connections import build_pair

# Seconds in which a peer connects: longer than a host that was refused waits for peers' verdict.
SLOW_SECONDS = 0.2
KINDS = {
    "verdict": {"X_Token_Usage": LONG},
    "chat": {"X_Token_Usage": SHORT},
    "goal": {},
    "card": {"method": "GET"},
}


@pytest.mark.parametrize("kind", list(KINDS))
@pytest.mark.parametrize("cut", [Cut.REFUSE, Cut.RESET], ids=lambda cut: cut.name.lower())
def test_a_cut_host_serves_its_first_requests_though_its_peer_is_slow(kind, cut):
    @on_built(build_pair)
    async def run(site):
        delay_dials(site.gateways["g1"], SLOW_SECONDS)
        site.gateways["g0"].paths.start_cut(cut)
        changes = {"X_Deadline_Ms": "1900", **KINDS[kind]}
        calls = [ask(address_of(site), f"/{kind}/a", f"k{n}", **changes) for n in range(3)]
        answers = await asyncio.gather(*calls)
        assert [(answer.status, answer.whole) for answer in answers] == [(200, True)] * 3

    run()


@pytest.mark.parametrize("kind", list(KINDS))
def test_a_request_whose_upstreams_have_ended_is_refused_at_once(kind):
    @on_built(build_pair)
    async def run(site):
        for upstream in site.upstreams.values():
            await site.stop_upstream(upstream)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        answer = await ask(address_of(site), f"/{kind}/a", "k1", **KINDS[kind])
        assert answer.status == 503
        assert loop.time() - started_at < 0.5

    run()


@on_built(build_pair)
async def test_a_path_is_known_though_each_single_request_gave_up_before(site):
    delay_dials(site.gateways["g1"], SLOW_SECONDS)
    host = site.gateways["g0"]
    host.paths.start_cut(Cut.REFUSE)
    paths = host.gateway._relaying.own.paths
    async with asyncio.timeout(3.0):
        while not paths.is_cut("s0"):
            await ask(address_of(site), "/goal/a", "g", X_Deadline_Ms="300")


@on_built(build_pair)
async def test_a_cut_host_takes_no_upstream_for_crashed_though_its_peer_is_slow(site):
    host, upstream = site.gateways["g0"], site.upstreams["s0"]
    delay_dials(site.gateways["g1"], SLOW_SECONDS)
    upstream.seconds = 0.2
    crashes = []
    host.gateway._state.crash_detector._on_crash = lambda item, _: crashes.append(item.name)
    calls = [ask(address_of(site), "/card/a", f"c{n}", method="GET") for n in range(8)]
    asking = asyncio.gather(*calls)
    await wait_until(lambda: upstream.runs, "running")
    host.paths.start_cut(Cut.RESET)
    await asking
    await asyncio.sleep(1.0)
    assert not crashes
