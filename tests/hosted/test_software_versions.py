"""Streams of a service whose engines run several software versions."""

import asyncio

import pytest

from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import OpenWork
from swifttrestle_standins.hosted.site import make_model_service, make_route, wait_until
from swifttrestle_standins.hosted.upstreams import StandInEngine
from tests.common.http import RawCaller, ask, write_request
from tests.hosted.sites import (
    LONG,
    SHORT,
    address_of,
    build_site,
    make_stream,
    on_built,
    wait_in_force,
)

OLD, NEW = "v1", "v2"
EVENTS = 4


async def build_versions(gateways=2, decoders=(OLD, NEW, OLD, NEW), attempts=3, path="verdict"):
    """Start a site with a prefill engine and decode engines of these versions."""
    site = await build_site(gateways=0, engines=())
    site.routes = [
        make_route("verdict", "streaming", "model", resumable=True, timeoutMs=8000,
                   maxAttempts=attempts),
        make_route("once", "streaming", "model", resumable=True, timeoutMs=8000, maxAttempts=1),
    ]  # fmt: skip
    await add_engine(site, "prefill", OLD)
    for build in decoders:
        await add_engine(site, "decode", build)
    site.declare()
    for number in range(gateways):
        await site.add_gateway(f"g{number}", number)
    await site.wait_ready()
    await wait_until(lambda: all_know_each_other(site), "all hosts to be known")
    return site


def all_know_each_other(site):
    return all(
        len(item.gateway.live_hosts()) == len(site.gateways) for item in site.gateways.values()
    )


async def add_engine(site, role, build, service="model"):
    engine = StandInEngine(f"e{len(site.upstreams)}", service, "hall-a", role)
    engine.build = build
    await site.add_upstream(engine)
    return engine


def list_decoders(site):
    return [item for item in site.upstreams.values() if getattr(item, "role", "") == "decode"]


def cut_all(site):
    """Have each decode engine break off its next stream after two events."""
    for engine in list_decoders(site):
        engine.script.steps.append("cut")


def list_builds(site, stream):
    """Return the versions whose engines ran a stream, over all its requests."""
    return {
        engine.build
        for engine in list_decoders(site)
        for name, headers in engine.arrivals
        if stream in (name, headers.get("resumes"))
    }


async def take_up(site, gateway, stream, after, path="/verdict/a", tokens=SHORT, new_id="again"):
    return await ask(
        address_of(site, gateway), path, new_id, X_Token_Usage=tokens, Last_Event_Id=after,
        Resumes=stream,
    )  # fmt: skip


async def begin(site, gateway="g0", stream="s1", path="/once/a"):
    """Have a stream broken off after two events; return the version that began it."""
    cut_all(site)
    answer = await ask(address_of(site, gateway), path, stream, X_Token_Usage=SHORT)
    assert (answer.status, answer.whole) == (200, False)
    for engine in list_decoders(site):
        engine.script.steps.clear()
    (build,) = list_builds(site, stream)
    return build


def rest_of(stream, after):
    """Return the events that a stand-in engine sends to the request `stream` after an event."""
    return make_stream(stream, EVENTS)[len(make_stream(stream, after)) :]


@pytest.mark.parametrize("tokens", [SHORT, LONG])
@on_built(build_versions)
async def test_a_host_continues_a_stream_at_the_version_that_began_it(site, tokens):
    for number in range(6):
        cut_all(site)
        stream = f"s{number}"
        answer = await ask(address_of(site), "/verdict/a", stream, X_Token_Usage=tokens)
        for engine in list_decoders(site):
            engine.script.steps.clear()
        assert (answer.status, answer.whole, answer.body) == (200, True, make_stream(stream))
        assert len(list_builds(site, stream)) == 1


@on_built(lambda: build_versions(decoders=(OLD, NEW)))
async def test_the_only_engine_of_a_version_continues_its_own_stream(site):
    cut_all(site)
    answer = await ask(address_of(site), "/verdict/a", "s1", X_Token_Usage=SHORT)
    assert (answer.status, answer.whole, answer.body) == (200, True, make_stream("s1"))
    assert len(list_builds(site, "s1")) == 1


@pytest.mark.parametrize("gateway", ["g0", "g1", "g2"])
@pytest.mark.parametrize("tokens", [SHORT, LONG])
@on_built(lambda: build_versions(gateways=3))
async def test_a_stream_that_its_caller_takes_up_goes_on_at_its_version(site, gateway, tokens):
    for number in range(6):
        stream = f"s{number}"
        build = await begin(site, stream=stream)
        answer = await take_up(site, gateway, stream, 2, tokens=tokens, new_id=f"t{number}")
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body == rest_of(f"t{number}", 2)
        assert list_builds(site, stream) == {build}


@on_built(lambda: build_versions(gateways=3))
async def test_a_stream_that_is_taken_up_twice_stays_at_its_version(site):
    build = await begin(site)
    cut_all(site)
    answer = await take_up(site, "g1", "s1", 1, path="/once/a")
    assert not answer.whole
    answer = await take_up(site, "g2", "s1", 3, new_id="third")
    assert (answer.status, answer.whole) == (200, True)
    assert list_builds(site, "s1") == {build}


async def build_services():
    """Start a site with a route to two model services, whose engines have one version."""
    site = await build_versions(decoders=(OLD, OLD))
    site.services.append(make_model_service("other"))
    for name in ("verdict", "once"):
        (route,) = (item for item in site.routes if item["name"] == name)
        route["backends"] = [{"service": item, "weight": 50} for item in ("model", "other")]
    for role in ("prefill", "decode", "decode"):
        await add_engine(site, role, OLD, "other")
    await wait_in_force(site, site.declare())
    for running in site.gateways.values():
        known = running.gateway.list_instances
        await wait_until(lambda k=known: len(k()) == len(site.upstreams), "all engines")
    return site


@on_built(build_services)
async def test_a_stream_that_its_caller_takes_up_goes_on_at_its_service(site):
    for number in range(8):
        stream = f"s{number}"
        await begin(site, stream=stream)
        answer = await take_up(site, "g1", stream, 2, new_id=f"t{number}")
        assert (answer.status, answer.whole) == (200, True)
        ran = {
            engine.service
            for engine in list_decoders(site)
            for name, headers in engine.arrivals
            if stream in (name, headers.get("resumes"))
        }
        assert len(ran) == 1


@on_built(lambda: build_versions(gateways=4))
async def test_a_stream_is_taken_up_at_its_version_after_its_host_was_killed(site):
    builds = {number: await begin(site, stream=f"s{number}") for number in range(4)}
    site.gateways.pop("g0").task.cancel()
    for number, build in builds.items():
        answer = await take_up(site, "g2", f"s{number}", 2, new_id=f"t{number}")
        assert (answer.status, answer.whole) == (200, True)
        assert list_builds(site, f"s{number}") == {build}


@on_built(build_versions)
async def test_a_stream_whose_version_is_gone_is_refused(site):
    build = await begin(site)
    for engine in list_decoders(site):
        if engine.build == build:
            site.unlist_upstream(engine)
            names = [f"{engine.instance}"]
            for running in site.gateways.values():
                known = running.gateway.list_instances
                await wait_until(lambda k=known, n=names: n[0] not in k(), "the removal")
    answer = await take_up(site, "g1", "s1", 2)
    assert answer.status == 503
    assert list_builds(site, "s1") == {build}


@pytest.mark.parametrize("tokens", [SHORT, LONG])
@on_built(lambda: build_versions(decoders=(OLD, NEW)))
async def test_a_stream_is_taken_up_though_the_engines_of_its_version_are_full(site, tokens):
    build = await begin(site)
    (engine,) = (item for item in list_decoders(site) if item.build == build)
    for running in site.gateways.values():
        running.gateway.list_instances()[engine.instance].own = OpenWork(0, engine.slots)
    answer = await take_up(site, "g1", "s1", 2, tokens=tokens)
    assert (answer.status, answer.whole) == (200, True)
    assert list_builds(site, "s1") == {build}


@on_built(lambda: build_versions(decoders=(OLD, NEW)))
async def test_no_prompt_is_prefilled_for_a_stream_without_a_decode_engine_of_its_version(site):
    build = await begin(site)
    for engine in list_decoders(site):
        if engine.build == build:
            engine.role = "prefill"
            site.list_upstream(engine)
    known = site.gateways["g1"].gateway.list_instances
    await wait_until(
        lambda: sum(item.role is Role.PREFILL for item in known().values()) == 2, "the new role"
    )
    answer = await take_up(site, "g1", "s1", 2, tokens=LONG)
    assert answer.status == 503
    assert not any(name == "again" for item in site.upstreams.values() for name, _ in item.arrivals)


@pytest.mark.parametrize("stream", ["unknown", ""])
@on_built(build_versions)
async def test_a_stream_of_an_unknown_version_is_refused_while_there_are_several(site, stream):
    answer = await take_up(site, "g1", stream, 2)
    assert answer.status == 503
    assert not any(name == "again" for item in list_decoders(site) for name, _ in item.arrivals)


@pytest.mark.parametrize("stream", ["unknown", ""])
@on_built(lambda: build_versions(decoders=(OLD, OLD)))
async def test_a_stream_of_an_unknown_version_goes_on_where_there_is_only_one(site, stream):
    answer = await take_up(site, "g1", stream, 2)
    assert (answer.status, answer.whole, answer.body) == (200, True, rest_of("again", 2))


@on_built(build_versions)
async def test_a_stream_without_any_event_may_begin_at_another_version(site):
    for engine in list_decoders(site)[:2]:
        engine.script.steps.append("reset")
    answer = await ask(address_of(site), "/verdict/a", "s1", X_Token_Usage=SHORT)
    assert (answer.status, answer.whole, answer.body) == (200, True, make_stream("s1"))


@on_built(lambda: build_versions(gateways=3))
async def test_a_stream_is_taken_up_while_its_first_host_still_serves_it(site):
    for engine in list_decoders(site):
        engine.seconds = 0.2
    caller = await RawCaller.connect(address_of(site))
    caller.send(write_request("/verdict/a", "s1", X_Token_Usage=SHORT))
    await caller.reader.readuntil(b"id: 1\n")
    caller.reset()
    answer = await asyncio.wait_for(take_up(site, "g1", "s1", 1), 10)
    assert (answer.status, answer.whole) == (200, True)
    assert len(list_builds(site, "s1")) == 1
