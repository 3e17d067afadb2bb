"""Whole requests whose connection ends with neither an answer nor a refusal.

The caller here reads only after it has sent all, and takes a failed write for the end.
"""

import asyncio
import os

import pytest

from swifttrestle.internal import event_log
from swifttrestle.internal.event_log import LineWriter
from swifttrestle_standins.hosted.site import make_route
from tests.common.http import RawCaller, write_request
from tests.hosted.sites import SHORT, address_of, build_site, on_built, on_site, wait_in_force

MANY_DIGITS = "9" * 5000
# Headers that say nothing that can be read.
UNREADABLE = {
    "a part's size": {"X_Prompt_Prefix": "a:\u00b2", "X_Token_Usage": SHORT},
    "a part's many digits": {"X_Prompt_Prefix": f"a:{MANY_DIGITS}", "X_Token_Usage": SHORT},
    "a prompt's many digits": {"X_Token_Usage": f"{MANY_DIGITS},1"},
}


@pytest.mark.parametrize("headers", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_a_request_with_an_unreadable_number_gets_an_answer(headers):
    @on_site()
    async def run(site):
        caller = await RawCaller.connect(address_of(site))
        data = write_request("/card/a", "k1", method="GET", **headers).decode()
        caller.send(data.encode("latin-1"))
        answer = await caller.read_answer()
        caller.close()
        assert answer.status != 0

    run()


def test_a_request_with_a_number_that_the_log_cannot_hold_gets_an_answer(monkeypatch):
    writer = LineWriter(os.open(os.devnull, os.O_WRONLY))
    writer.start("g0")
    monkeypatch.setattr(event_log, "WRITER", writer)

    @on_site()
    async def run(site):
        caller = await RawCaller.connect(address_of(site))
        caller.send(write_request("/card/a", "k1", method="GET", X_Token_Usage="9" * 20 + ",1"))
        answer = await caller.read_answer()
        # The same connection goes on.
        caller.send(write_request("/card/a", "k2", method="GET"))
        second = await caller.read_answer()
        caller.close()
        assert (answer.status, second.status) == (200, 200)

    run()


async def send_slowly(site, number, size):
    """Send a request with a body in ten parts, 5 ms apart; return the status of its answer."""
    caller = await RawCaller.connect(address_of(site))
    data = write_request("/card/a", f"k{number}", body=b"x" * size)
    part = len(data) // 10 + 1
    for start in range(0, len(data), part):
        caller.send(data[start : start + part])
        await asyncio.sleep(0.005)
    answer = await caller.read_answer()
    caller.close()
    return answer.status


@pytest.mark.parametrize("size", [2_000, 50_000, 1_000_000])
def test_a_request_for_a_removed_route_gets_its_refusal_though_its_body_is_slow(size):
    @on_built(lambda: build_site(maxBodyBytes=4_000_000))
    async def run(site):
        assert await send_slowly(site, 0, size) == 200
        site.routes = [make_route("other", "safe", "alerts")]
        await wait_in_force(site, site.declare(maxBodyBytes=4_000_000))
        assert [await send_slowly(site, number, size) for number in range(1, 6)] == [404] * 5

    run()


@on_built(build_site)
async def test_a_pipelined_request_gets_an_answer_though_the_idle_connections_are_closed(site):
    for name in ("s0", "s1"):
        site.upstreams[name].seconds = 0.5
    caller = await RawCaller.connect(address_of(site))
    caller.send(write_request("/card/a", "k1", method="GET"))
    caller.send(write_request("/card/a", "k2", method="GET"))
    await asyncio.sleep(0.2)
    site.gateways["g0"].gateway._listeners._callers.close_idle()
    first = await caller.read_answer()
    second = await caller.read_answer()
    caller.close()
    assert first.status == 200
    assert second.status != 0 or first.headers.get("connection") == "close"
