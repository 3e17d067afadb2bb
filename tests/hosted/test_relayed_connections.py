"""Connections that a peer relays: who may ask, how they end, and what never takes this way."""

import asyncio

import pytest

from swifttrestle.codes import Code
from swifttrestle.errors import RelayRefusedError, UpstreamUnreachedError
from swifttrestle.internal.transport.relay import RelayedPair, dial_through, reset_connection
from swifttrestle_standins.hosted.cuts import Cut
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import make_content, make_event
from tests.common.http import RawCaller, ask, write_request
from tests.hosted.sites import SHORT, address_of, build_site, count_runs, on_built, on_site


async def build_pair(gateways=2, **build):
    site = await build_site(gateways=gateways, **build)
    for running in site.gateways.values():
        gateway = running.gateway
        await wait_until(lambda g=gateway: len(g.live_hosts()) == gateways, "all hosts known")
    return site


def relay_of(site, name):
    settings = site.gateways[name].settings
    return settings.ip, settings.internal_port


def count_relayed(site, name):
    return site.gateways[name].gateway._relaying.server.open


def drain(site):
    site.list_upstream(site.upstreams["s0"], "draining")


def cut_relay(site):
    site.gateways["g1"].paths.start_cut(Cut.REFUSE)


@pytest.mark.parametrize(
    ("source", "instance", "prepare", "code"),
    [
        ("127.0.0.1", "s0", None, Code.PEER_UNKNOWN),
        ("own", "nobody", None, Code.UPSTREAM_LEAVING),
        ("own", "s0", drain, Code.UPSTREAM_LEAVING),
        ("own", "s0", cut_relay, Code.CONNECTION_REFUSED),
    ],
    ids=["not a live host", "not listed", "draining", "does not listen"],
)
def test_a_peer_that_does_not_relay_answers_why(source, instance, prepare, code):
    @on_built(build_pair)
    async def run(site):
        if prepare:
            prepare(site)
        relay = site.gateways["g1"].gateway
        if prepare is drain:
            await wait_until(lambda: relay.list_instances()["s0"].leaving, "draining")
        ip = site.gateways["g0"].settings.ip if source == "own" else source
        with pytest.raises(RelayRefusedError, match=code.name) as raised:
            await dial_through(ip, relay_of(site, "g1"), instance)
        assert raised.value.refused is (code is Code.CONNECTION_REFUSED)

    run()


@on_built(build_pair)
async def test_a_peer_whose_own_paths_are_cut_relays_through_no_other_one(site):
    site.gateways["g1"].paths.start_cut(Cut.HANG)
    with pytest.raises(UpstreamUnreachedError):
        await dial_through(site.gateways["g0"].settings.ip, relay_of(site, "g1"), "s0")
    assert count_relayed(site, "g0") == 0


@on_built(build_pair)
async def test_a_caller_that_leaves_ends_its_run_through_the_peer(site):
    upstream = site.upstreams["s0"]
    site.unlist_upstream(site.upstreams["s1"])
    await wait_until(lambda: not site.gateways["g0"].gateway.knows_instance("s1"), "one upstream")
    upstream.hold.clear()
    site.gateways["g0"].paths.start_cut(Cut.REFUSE)
    caller = await RawCaller.connect(address_of(site))
    caller.send(write_request("/card/a", "k1", method="GET"))
    await wait_until(lambda: upstream.runs.get("k1"), "running")
    caller.close()
    await wait_until(lambda: "k1" in upstream.cancelled, "cancelled at the upstream")


@on_built(build_pair)
async def test_a_request_whose_relay_dies_is_not_run_twice(site):
    for name in ("s0", "s1"):
        site.upstreams[name].hold.clear()
    site.gateways["g0"].paths.start_cut(Cut.REFUSE)
    asking = asyncio.ensure_future(ask(address_of(site), "/goal/a", "g1"))
    await wait_until(lambda: count_runs(site, "g1"), "running")
    site.gateways["g1"].gateway._relaying.server.close()
    answer = await asking
    assert answer.status == 502
    for name in ("s0", "s1"):
        site.upstreams[name].hold.set()
    assert count_runs(site, "g1") == 1


@on_built(build_pair)
async def test_a_stopping_peer_ends_no_relayed_stream(site):
    engines = [site.upstreams[name] for name in ("e1", "e2")]
    for engine in engines:
        engine.seconds = 0.25
    site.gateways["g0"].paths.start_cut(Cut.REFUSE)
    asking = asyncio.ensure_future(ask(address_of(site), "/chat/a", "c1", X_Token_Usage=SHORT))
    await wait_until(lambda: count_runs(site, "c1"), "running")
    stopping = site.gateways["g1"]
    stopping.gateway.stop()
    answer = await asking
    assert answer.body == b"".join(make_event("c1", number) for number in range(1, 5))
    await asyncio.wait_for(stopping.task, 10)


@on_built(build_pair)
async def test_paths_that_heal_are_used_directly_again(site):
    host = site.gateways["g0"]
    host.paths.start_cut(Cut.RESET)
    for number in range(8):
        answer = await ask(address_of(site), "/card/a", f"k{number}", method="GET")
        assert answer.body == make_content(f"k{number}")
    paths = host.gateway._relaying.own.paths
    await wait_until(lambda: paths.cuts, "cut")
    host.paths.heal()
    await wait_until(lambda: not paths.cuts, "healed")
    await wait_until(lambda: count_relayed(site, "g1") == 0, "nothing relayed")
    answer = await ask(address_of(site), "/card/a", "after", method="GET")
    assert answer.status == 200
    assert count_relayed(site, "g1") == 0


@on_built(build_pair)
async def test_an_upstream_that_has_ended_is_refused_and_not_called_cut(site):
    host = site.gateways["g0"].gateway
    upstream = site.upstreams["s0"]
    await site.stop_upstream(upstream)
    address = upstream.instance, host.list_instances()["s0"].record.address
    with pytest.raises(UpstreamUnreachedError) as raised:
        await host.upstream_pool.connect(*address)
    assert raised.value.refused
    assert not host._relaying.own.paths.cuts


@on_built(build_pair)
async def test_a_cut_host_does_not_take_its_upstreams_for_crashed(site):
    host = site.gateways["g0"]
    for name in ("s0", "s1"):
        site.upstreams[name].seconds = 0.2
    asking = asyncio.ensure_future(ask(address_of(site), "/card/a", "k1", method="GET"))
    await wait_until(lambda: count_runs(site, "k1"), "running")
    host.paths.start_cut(Cut.RESET)
    answer = await asking
    assert answer.status == 200
    assert len(host.gateway._state.guard.quarantine) == 0


@on_built(lambda: build_pair(engines=("decode", "decode", "decode")))
async def test_no_order_reaches_an_engine_through_a_peer(site):
    # An order counts for the host that it arrives from.
    for running in site.gateways.values():
        assert running.gateway._duties.roles._pool is running.gateway._state.direct_pool
    holder = await wait_until(
        lambda: next(
            (
                running
                for running in site.gateways.values()
                if running.gateway._gossip.candidates.holds_duty_lease
            ),
            None,
        ),
        "a holder",
    )
    direct_pool = holder.gateway._state.direct_pool
    assert direct_pool.connect == direct_pool.connect_directly


@pytest.mark.parametrize(("reset", "seen"), [(False, b""), (True, ConnectionResetError)])
@on_site()
async def test_a_relayed_connection_ends_as_the_upstreams_does(site, reset, seen):
    loop = asyncio.get_running_loop()
    listener = await asyncio.start_server(lambda r, w: ends.set_result(w), "127.0.0.1", 0)
    ends = loop.create_future()
    address = listener.sockets[0].getsockname()
    upstream, _ = await loop.create_connection(asyncio.Protocol, *address[:2])
    relay_listener = await asyncio.start_server(lambda r, w: joined.set_result(w), "127.0.0.1", 0)
    joined = loop.create_future()
    reader, writer = await asyncio.open_connection(*relay_listener.sockets[0].getsockname()[:2])
    pair = RelayedPair((await joined).transport, upstream)
    upstream_end = await ends
    upstream_end.write(b"part")
    assert await reader.readexactly(4) == b"part"
    if reset:
        reset_connection(upstream_end.transport)
        with pytest.raises(seen):
            await reader.read()
    else:
        upstream_end.close()
        assert await reader.read() == seen
    await pair.ended
    writer.close()
    for item in (listener, relay_listener):
        item.close()


@on_built(build_pair)
async def test_a_connection_that_follows_one_that_has_just_ended_fails_as_unreached(site):
    # The forerunner ends between the choice of the way and its first step.
    own = site.gateways["g0"].gateway._relaying.own
    asked = asyncio.get_running_loop().create_future()
    own._asked["s0"] = asked
    following = asyncio.ensure_future(own._follow(asked, "s0"))
    own._end_asking("s0")
    with pytest.raises(UpstreamUnreachedError):
        await following


@on_built(build_pair)
async def test_the_beginning_of_a_request_for_a_relay_is_not_taken_for_a_whole_one(site):
    # The rest of the instance's name is lost with the connection.
    source = (site.gateways["g0"].settings.ip, 0)
    reader, writer = await asyncio.open_connection(*relay_of(site, "g1"), local_addr=source)
    writer.write(b"relay s0")
    writer.write_eof()
    assert await reader.read() == b""
    writer.close()
    assert site.gateways["g1"].gateway._state.metrics.total("peer_relays_total") == 0
