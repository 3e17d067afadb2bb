"""Upstreams that send nothing for a second or so and then go on."""

import asyncio

import pytest

from swifttrestle_standins.hosted.site import make_route, wait_until
from swifttrestle_standins.hosted.upstreams import make_content
from tests.common.http import ask
from tests.hosted.sites import (
    LONG,
    SHORT,
    address_of,
    build_site,
    make_stream,
    on_built,
    wait_in_force,
)

NO_RETRIES = {"budgetRatio": 0, "budgetExtra": 0}


async def build_silent_site(engines=("prefill", "decode"), plain=1, attempts=2, bounds=None):
    """Start a site whose routes leave time for a pause, and whose retries are bounded."""
    site = await build_site(gateways=0, engines=engines, plain=plain)
    site.bounds = bounds or {}
    site.routes = [
        make_route(
            "verdict", "streaming", "model", resumable=True, timeoutMs=8000, maxAttempts=attempts
        ),
        make_route("card", "safe", "alerts", timeoutMs=2400, maxAttempts=attempts),
    ]
    site.declare()
    await site.add_gateway("g0", 0)
    await site.wait_ready()
    return site


# By what keeps another upstream from taking over: the site, and the steps of its upstreams.
STREAMS = {
    "no other engine": ({}, {"e1": ["pause"]}),
    "no attempt left": ({"engines": ("prefill", "decode", "decode"), "attempts": 1}, "all"),
    "no retry left": ({"engines": ("prefill", "decode", "decode"), "bounds": NO_RETRIES}, "all"),
    "the other one is silent": ({"engines": ("prefill", "decode", "decode")}, "all"),
}


@pytest.mark.parametrize(("build", "steps"), STREAMS.values(), ids=STREAMS.keys())
def test_a_stream_is_whole_though_its_engine_was_silent(build, steps):
    @on_built(lambda: build_silent_site(**build))
    async def run(site):
        for name in ("e1", "e2"):
            if name in site.upstreams and (steps == "all" or name in steps):
                site.upstreams[name].script.steps.append("pause")
        answer = await ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=SHORT)
        assert (answer.status, answer.whole, answer.body) == (200, True, make_stream("v1"))

    run()


def test_a_stream_is_whole_though_the_engine_that_takes_over_is_full():
    @on_built(lambda: build_silent_site(engines=("prefill", "decode", "decode")))
    async def run(site):
        asking = asyncio.ensure_future(
            ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=SHORT)
        )
        for engine in (site.upstreams["e1"], site.upstreams["e2"]):
            # The first step is that of the engine that is chosen first.
            engine.script = site.upstreams["e1"].script
        site.upstreams["e1"].script.steps.extend(["pause", "busy", "busy"])
        answer = await asking
        assert (answer.status, answer.whole, answer.body) == (200, True, make_stream("v1"))

    run()


def test_a_prompt_is_read_though_its_only_prefill_engine_was_silent():
    @on_built(build_silent_site)
    async def run(site):
        site.upstreams["e0"].script.steps.append("pause")
        answer = await ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=LONG)
        assert (answer.status, answer.body) == (200, make_stream("v1"))

    run()


def test_a_stream_goes_on_elsewhere_where_its_engine_is_gone_without_a_word():
    @on_built(lambda: build_silent_site(engines=("prefill", "decode", "decode")))
    async def run(site):
        for name in ("e1", "e2"):
            site.upstreams[name].events = 8
            site.upstreams[name].seconds = 0.1
        asking = asyncio.ensure_future(
            ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=SHORT)
        )
        runner = await wait_until(
            lambda: next((e for e in site.upstreams.values() if e.runs["v1"]), None), "a run"
        )
        await asyncio.sleep(0.25)
        began = asyncio.get_running_loop().time()
        held = site._blackhole(runner)
        answer = await asking
        seconds = asyncio.get_running_loop().time() - began
        for item in held:
            item.close()
        assert (answer.status, answer.whole, answer.body) == (200, True, make_stream("v1", 8))
        # Callers give up a stream after a gap of 2 s; what is left takes 0.8 s.
        assert seconds < 2.0 + 0.8

    run()


PLAIN = {
    "no other upstream": {},
    "no attempt left": {"plain": 2, "attempts": 1},
    "no retry left": {"plain": 2, "bounds": NO_RETRIES},
}


@pytest.mark.parametrize("build", PLAIN.values(), ids=PLAIN.keys())
def test_a_plain_answer_arrives_though_its_upstream_was_silent(build):
    @on_built(lambda: build_silent_site(**build))
    async def run(site):
        for name in ("s0", "s1"):
            if name in site.upstreams:
                site.upstreams[name].script.steps.append("pause")
        answer = await ask(address_of(site), "/card/a", "k1", method="GET")
        assert (answer.status, answer.body) == (200, make_content("k1"))

    run()


def test_a_new_configuration_ends_no_stream_of_a_silent_engine():
    @on_built(build_silent_site)
    async def run(site):
        site.upstreams["e1"].script.steps.append("pause")
        asking = asyncio.ensure_future(
            ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=SHORT)
        )
        await asyncio.sleep(0.1)
        site.routes = [make_route("other", "safe", "alerts")]
        await wait_in_force(site, site.declare())
        answer = await asking
        assert (answer.status, answer.whole, answer.body) == (200, True, make_stream("v1"))

    run()
