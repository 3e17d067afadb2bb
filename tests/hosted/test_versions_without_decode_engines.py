"""Streams that are taken up while no decode engine of their software version takes requests."""

import asyncio
from dataclasses import dataclass

import pytest

from swifttrestle.internal.policy.ejection import FAILURES_TO_EJECT
from swifttrestle.internal.state.declared import Role
from swifttrestle_standins.hosted.site import wait_until
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, address_of, on_built
from tests.hosted.test_software_versions import (
    NEW,
    OLD,
    add_engine,
    begin,
    build_versions,
    list_builds,
    list_decoders,
    rest_of,
    take_up,
)

STREAMS = 12
# Seconds between two events of a stream that an engine's crash breaks off.
EVENT_SECONDS = 0.2
# Requests that a caller makes to take a stream up, the first one included.
TRIES = 4
# Seconds in which a request is answered that waits for nothing.
AT_ONCE_SECONDS = 0.3
TIMEOUT_SECONDS = 8.0
# Callers wait for a third of their time at most.
MAX_RETRY_AFTER_SECONDS = TIMEOUT_SECONDS / 3


@dataclass(frozen=True)
class Taken:
    """How a take-up that its host may refuse ended: its last answer, and the waits before it."""

    answer: object
    waits: tuple[float, ...]


async def build_pairs(decoders=(OLD, NEW)):
    """Start a site with a prefill engine of each version, and decode engines."""
    site = await build_versions(decoders=decoders)
    await add_engine(site, "prefill", NEW)
    for running in site.gateways.values():
        known = running.gateway.list_instances
        await wait_until(lambda k=known: len(k()) == len(site.upstreams), "all engines")
    return site


async def build_spare():
    return await build_pairs(decoders=(OLD, OLD, NEW, NEW))


def list_version(site, build):
    return [item for item in list_decoders(site) if item.build == build]


def eject(site, gateway, engines):
    """Have a host count engines as failing, although they are sound."""
    gateway = site.gateways[gateway].gateway
    for engine in engines:
        instance = gateway.list_instances()[engine.instance]
        now = asyncio.get_running_loop().time()
        gateway._state.note_failure(instance, now, "by the test", FAILURES_TO_EJECT)
        assert gateway._state.ejector.is_ejected(instance.name, now)


async def take_up_until_served(site, gateway, stream, name):
    """Have a caller take a stream up that heeds each Retry-After, and tries a few times."""
    waits = []
    for number in range(TRIES):
        answer = await take_up(site, gateway, stream, 1, new_id=f"{name}-{number}")
        if answer.status != 503 or number == TRIES - 1:
            break
        waits.append(answer.retry_after)
        await asyncio.sleep(answer.retry_after)
    return Taken(answer, tuple(waits))


@pytest.mark.parametrize("tokens", [SHORT, LONG])
@pytest.mark.parametrize("gateway", ["g0", "g1"])
@on_built(build_spare)
async def test_a_stream_goes_on_though_the_decode_engines_of_its_version_count_as_failing(
    site, gateway, tokens
):
    build = await begin(site)
    eject(site, gateway, list_version(site, build))
    answer = await take_up(site, gateway, "s1", 2, tokens=tokens)
    assert (answer.status, answer.whole, answer.body) == (200, True, rest_of("again", 2))
    assert list_builds(site, "s1") == {build}


@pytest.mark.parametrize("tokens", [SHORT, LONG])
@on_built(build_pairs)
async def test_a_stream_waits_for_a_decode_engine_of_its_version_that_comes_back(site, tokens):
    build = await begin(site)
    (engine,) = list_version(site, build)
    await site.stop_upstream(engine)
    taking_up = asyncio.ensure_future(take_up(site, "g1", "s1", 2, tokens=tokens))
    await asyncio.sleep(0.6)
    assert not taking_up.done()
    await add_engine(site, "decode", build)
    answer = await taking_up
    assert (answer.status, answer.whole, answer.body) == (200, True, rest_of("again", 2))
    assert list_builds(site, "s1") == {build}


async def crash_while_streaming(site, build):
    """Have the only decode engine of a version crash; return the streams that it broke off."""
    for engine in list_decoders(site):
        engine.seconds = EVENT_SECONDS
    names = [f"s{number}" for number in range(STREAMS)]
    asking = [
        asyncio.ensure_future(
            ask(address_of(site, f"g{n % 2}"), "/once/a", name, X_Token_Usage=SHORT)
        )
        for n, name in enumerate(names)
    ]
    await asyncio.sleep(2.5 * EVENT_SECONDS)
    (engine,) = list_version(site, build)
    await site.stop_upstream(engine)
    answers = await asyncio.gather(*asking)
    broken = [name for name, item in zip(names, answers, strict=True) if not item.whole]
    assert broken
    assert all(list_builds(site, name) == {build} for name in broken)
    return broken


@on_built(build_pairs)
async def test_streams_are_served_after_their_retry_after_when_their_version_is_back(site):
    streams = await crash_while_streaming(site, OLD)
    takers = [
        asyncio.ensure_future(take_up_until_served(site, f"g{n % 2}", name, f"t{n}"))
        for n, name in enumerate(streams)
    ]
    await asyncio.sleep(3.0)
    await add_engine(site, "decode", OLD)
    taken = await asyncio.gather(*takers)
    assert [(item.answer.status, item.answer.whole) for item in taken] == [(200, True)] * len(taken)
    waits = [seconds for item in taken for seconds in item.waits]
    assert waits
    assert max(waits) <= MAX_RETRY_AFTER_SECONDS
    assert all(list_builds(site, name) == {OLD} for name in streams)


@on_built(build_pairs)
async def test_new_streams_begin_at_once_while_others_wait_for_their_version(site):
    build = await begin(site)
    (engine,) = list_version(site, build)
    await site.stop_upstream(engine)
    takers = [
        asyncio.ensure_future(take_up(site, "g1", "s1", 2, new_id=f"t{n}")) for n in range(STREAMS)
    ]
    await asyncio.sleep(0.2)
    for number in range(STREAMS):
        async with asyncio.timeout(AT_ONCE_SECONDS):
            answer = await ask(address_of(site, "g1"), "/verdict/a", f"n{number}",
                               X_Token_Usage=SHORT)  # fmt: skip
        assert (answer.status, answer.whole) == (200, True)
        assert not list_builds(site, f"n{number}") & {build}
    answers = await asyncio.gather(*takers)
    assert {item.status for item in answers} == {503}
    assert len({item.retry_after for item in answers}) > 1


async def change_role(site, gateway, build, seconds):
    """Have the only decode engine of a version be back in its role after some seconds."""
    (engine,) = list_version(site, build)
    engine.role = "prefill"
    site.list_upstream(engine)
    known = site.gateways[gateway].gateway.list_instances
    await wait_until(
        lambda: known()[engine.instance].role is Role.PREFILL, "the engine in the other role"
    )
    engine.role = "decode"
    now = asyncio.get_running_loop().time()
    fleet = site.gateways[gateway].gateway._fleet
    fleet.note_ordered_role(known()[engine.instance].name, Role.DECODE, now + seconds)


@on_built(build_pairs)
async def test_a_stream_waits_for_a_role_change_that_ends_soon(site):
    build = await begin(site)
    await change_role(site, "g1", build, 0.6)
    answer = await take_up(site, "g1", "s1", 2)
    assert (answer.status, answer.whole, answer.body) == (200, True, rest_of("again", 2))


@on_built(build_pairs)
async def test_a_stream_is_refused_at_once_until_a_role_change_ends(site):
    build = await begin(site)
    await change_role(site, "g1", build, 2.3)
    async with asyncio.timeout(AT_ONCE_SECONDS):
        refused = await take_up(site, "g1", "s1", 2)
    assert refused.status == 503
    assert 2.0 < refused.retry_after <= MAX_RETRY_AFTER_SECONDS
    await asyncio.sleep(refused.retry_after)
    answer = await take_up(site, "g1", "s1", 2, new_id="later")
    assert (answer.status, answer.whole, answer.body) == (200, True, rest_of("later", 2))


@pytest.mark.parametrize("tokens", [SHORT, LONG])
@on_built(build_pairs)
async def test_new_streams_begin_though_all_decode_engines_count_as_failing(site, tokens):
    eject(site, "g0", list_decoders(site))
    answer = await ask(address_of(site), "/verdict/a", "s1", X_Token_Usage=tokens)
    assert (answer.status, answer.whole) == (200, True), answer.body
