"""Responses without end are given up by their limits, and harm no request beside them."""

import asyncio
from dataclasses import dataclass

import pytest

from swifttrestle.internal.transport import upstream as upstream_module
from swifttrestle_standins.hosted.endless import FRAMINGS, HEADS, KINDS, OPEN_HEADS, EndlessUpstream
from swifttrestle_standins.hosted.site import make_model_service, make_route, wait_until
from swifttrestle_standins.hosted.upstreams import StandInEngine
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, address_of, build_site, on_built

# The requests' timeout is longer than any test, but for answers that a host may relay for ever.
TIMEOUT_MS = 60_000
RELAY_TIMEOUT_MS = 1500
CALLERS = 4
SOUND_REQUESTS = 20
# Bytes in the sockets' buffers and in a host's, which an upstream sends in vain.
BUFFERED_BYTES = 16 * 1024 * 1024
NO_RESPONSE = (*HEADS, *OPEN_HEADS, *FRAMINGS)


@dataclass(frozen=True)
class Place:
    """Where the endless response is read: the route's type, its tokens and the upstream's role."""

    kind: str
    tokens: str
    role: str = ""
    resumable: bool = False


PLACES = {
    "plain, once": Place("unsafe", SHORT),
    "plain, repeatable": Place("safe", SHORT),
    "plain stream": Place("streaming", SHORT),
    "engine, once": Place("unsafe", SHORT, "decode"),
    "stream": Place("streaming", SHORT, "decode"),
    "resumable stream": Place("streaming", SHORT, "decode", resumable=True),
    "prefill": Place("streaming", LONG, "prefill"),
}


async def build_endless_site():
    site = await build_site(engines=())
    site.services += [make_model_service("bad-model"), {"name": "bad-plain", "maxConns": 200}]
    return site


async def add_endless(site, place, kind, timeout_ms=TIMEOUT_MS, **changes):
    """Add an endless upstream and a route that leads to it."""
    service = "bad-model" if place.role else "bad-plain"
    site.routes.append(
        make_route("bad", place.kind, service, timeoutMs=timeout_ms, resumable=place.resumable)
    )
    endless = EndlessUpstream("endless", service, kind, place.role, **changes)
    await site.add_endless_upstream(endless)
    if place.role:
        other = "decode" if place.role == "prefill" else "prefill"
        await site.add_upstream(StandInEngine("other", service, "hall-a", other))
    version = site.declare()
    gateway = site.gateways["g0"].gateway
    await wait_until(lambda: gateway.config_version == version, "the route")
    await wait_until(lambda: gateway.knows_instance("endless"), "the upstream")
    return endless


async def ask_all(site, place):
    """Ask the endless upstream by several callers, and a sound one beside them."""
    address = address_of(site)
    bad = [
        asyncio.ensure_future(ask(address, "/bad/a", f"b{number}", X_Token_Usage=place.tokens))
        for number in range(CALLERS)
    ]
    sound = [await ask(address, "/card/a", f"s{number}") for number in range(SOUND_REQUESTS)]
    assert [(answer.status, answer.whole) for answer in sound] == [(200, True)] * SOUND_REQUESTS
    return await asyncio.gather(*bad)


def judge(answers, *statuses):
    """Check that no caller can take an endless response for a whole answer.

    Besides refusals, `statuses` are expected.
    """
    for answer in answers:
        # An upstream that is ejected meanwhile gets no further requests.
        assert answer.status in (200, 502, 503, *statuses)
        # An engine that decodes may prefill a prompt as well.
        is_sound = answer.headers.get("x-server-signature") == "stand-in"
        assert answer.status != 200 or not answer.whole or is_sound


def count_limits(site):
    metrics = site.gateways["g0"].gateway._metrics
    return metrics.total("upstream_limits_exceeded_total")


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("kind", NO_RESPONSE)
@on_built(build_endless_site)
async def test_bytes_that_are_no_response_end_their_connection_at_once(site, kind, place):
    endless = await add_endless(site, PLACES[place], kind)
    judge(await ask_all(site, PLACES[place]))
    assert endless.begun
    await wait_until(lambda: endless.closed == endless.begun, "closed connections")
    assert endless.sent_bytes <= BUFFERED_BYTES * endless.begun
    for name, instance in site.gateways["g0"].gateway.list_instances().items():
        assert instance.own.requests == 0, name


BODY_KINDS = [kind for kind in KINDS if kind not in NO_RESPONSE]


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("kind", BODY_KINDS)
@on_built(build_endless_site)
async def test_a_body_without_end_is_bounded(site, kind, place):
    endless = await add_endless(site, PLACES[place], kind, RELAY_TIMEOUT_MS)
    judge(await ask_all(site, PLACES[place]), 504)
    await wait_until(lambda: endless.closed == endless.begun, "closed connections")


@pytest.mark.parametrize("kind", [kind for kind in BODY_KINDS if kind != "a failure"])
@pytest.mark.parametrize("place", ["plain, once", "plain, repeatable", "engine, once", "prefill"])
@on_built(build_endless_site)
async def test_a_body_that_is_read_whole_is_given_up_at_its_limit(site, kind, place):
    endless = await add_endless(site, PLACES[place], kind)
    judge(await ask_all(site, PLACES[place]))
    await wait_until(lambda: endless.closed == endless.begun, "closed connections")
    assert count_limits(site)


@on_built(build_endless_site)
async def test_a_refusal_without_end_does_not_count_as_one(site):
    await add_endless(site, PLACES["plain, once"], "a refusal")
    answer = await ask(address_of(site), "/bad/a", "b1")
    assert answer.status == 502


@pytest.mark.parametrize("kind", KINDS)
@on_built(build_endless_site)
async def test_reports_and_lists_without_end_are_given_up(site, kind):
    place = PLACES["stream"]
    endless = await add_endless(site, place, kind, in_control_calls=True)
    gateway = site.gateways["g0"].gateway
    engine = gateway.list_instances()["endless"]
    await asyncio.wait_for(gateway._prompt_cache_loader._load(engine), 20)
    assert endless.begun
    await wait_until(lambda: endless.closed == endless.begun, "closed connections")


@on_built(build_endless_site)
async def test_small_chunks_do_not_occupy_the_event_loop(site, monkeypatch):
    endless = await add_endless(site, PLACES["plain, once"], "chunks of one byte")
    turns = []
    receive = upstream_module.UpstreamConnection.buffer_updated

    def count_pieces(connection, size):
        turns.append(size)
        receive(connection, size)

    monkeypatch.setattr(upstream_module.UpstreamConnection, "buffer_updated", count_pieces)
    judge([await ask(address_of(site), "/bad/a", "b1")])
    assert endless.begun
    # After the first turn, which finds them out.
    large = [size for size in turns if size > upstream_module.FRAGMENTED_RECEIVE_BYTES]
    assert len(large) <= 2
