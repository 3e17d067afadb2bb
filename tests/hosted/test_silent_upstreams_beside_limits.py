"""A silent upstream is left only for one whose rate limit permits the request."""

import asyncio

import pytest

from swifttrestle.internal.state.upstream_conditions import RateLimit
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import make_content
from tests.common.http import ask
from tests.hosted.sites import SHORT, address_of, make_stream, on_built
from tests.hosted.test_silent_upstreams import build_silent_site

KINDS = {
    "stream": ("/verdict/a", {"X_Token_Usage": SHORT, "X_Deadline_Ms": 2200}, make_stream("v1")),
    "repeatable": ("/card/a", {}, make_content("v1")),
}
DENIED_SECONDS = 5.0
# Time for which the upstream sends nothing, not even the head of its answer.
SILENT_SECONDS = 1.5


def limit_upstreams(site, names, seconds):
    """Have upstreams announce a limit whose owner answers with `seconds` to wait."""
    state = site.gateways["g0"].gateway._state
    state.permits._grant = lambda start, urgent: seconds
    for name in names:
        instance = state.fleet.find_current_incarnation(name)
        now = asyncio.get_running_loop().time()
        state.conditions.apply_rate_limit(instance.name, RateLimit(1.0, now), "a test")


async def ask_while_silent(site, path, headers, seconds):
    """Ask for an answer whose upstream is silent; limit the others as soon as it has arrived."""
    for upstream in site.upstreams.values():
        upstream.hold.clear()
    asking = asyncio.ensure_future(ask(address_of(site), path, "v1", **headers))
    first = await wait_until(
        lambda: next((u for u in site.upstreams.values() if u.arrivals), None), "an arrival"
    )
    others = [item for item in site.upstreams.values() if item is not first]
    for upstream in others:
        upstream.hold.set()
    limit_upstreams(site, [item.instance for item in others], seconds)
    asyncio.get_running_loop().call_later(SILENT_SECONDS, first.hold.set)
    return await asking


@pytest.mark.parametrize("seconds", [DENIED_SECONDS, 0.0], ids=["denied", "permitted"])
@pytest.mark.parametrize(("path", "headers", "content"), KINDS.values(), ids=KINDS)
def test_an_answer_is_whole_though_the_other_upstream_has_a_limit(path, headers, content, seconds):
    @on_built(lambda: build_silent_site(engines=("prefill", "decode", "decode"), plain=2))
    async def run(site):
        answer = await ask_while_silent(site, path, headers, seconds)
        assert (answer.status, answer.whole, answer.body) == (200, True, content)
        arrivals = sum(len(upstream.arrivals) for upstream in site.upstreams.values())
        assert arrivals == (1 if seconds else 2)

    run()
