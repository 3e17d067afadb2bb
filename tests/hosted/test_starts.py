"""Upstreams that restart under the same id, and entries of other writers, on a running site."""

import asyncio

import pytest

from swifttrestle.internal.state.prompt_cache import PromptPart
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import StandInUpstream
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, address_of, count_runs, on_site

FIRST, LATER = 1764720000000, 1764720060000
CACHED_PROMPT = (PromptPart("m/aa", 8000),)


def fleet(site, name="g0"):
    return site.gateways[name].gateway._fleet


def find_born(site, instance, name="g0"):
    start = fleet(site, name).find_current_incarnation(instance)
    return start.record.born if start else None


async def report_starts(site):
    """Set the start time of all upstreams, and wait until each host knows it."""
    for upstream in site.upstreams.values():
        upstream.born = FIRST
        site.list_upstream(upstream)
    for name in site.gateways:
        await wait_until(
            lambda name=name: all(find_born(site, u, name) == FIRST for u in site.upstreams),
            "first starts",
        )


@pytest.mark.parametrize("cut", [True, False], ids=["reset", "silent"])
@on_site()
async def test_a_request_that_is_open_at_a_former_incarnation_is_answered_elsewhere(site, cut):
    # Guards against waiting for an upstream that lost power although its restart is listed already.
    await report_starts(site)
    for name in ("s0", "s1"):
        site.upstreams[name].hold.clear()
    loop = asyncio.get_running_loop()
    asked = asyncio.ensure_future(ask(address_of(site), "/card/a", "c1", X_Deadline_Ms="9000"))
    await wait_until(lambda: any(u.arrivals for u in site.upstreams.values()), "arrival")
    busy = next(u for u in site.upstreams.values() if u.arrivals)
    for name in ("s0", "s1"):
        site.upstreams[name].hold.set()
    busy.hold.clear()
    began = loop.time()
    site.restart_upstream(busy, LATER, cut)
    answer = await asked
    assert (answer.status, answer.whole) == (200, True)
    # Bounds the time spent waiting at the former incarnation.
    assert loop.time() - began < 4
    assert find_born(site, busy.instance) in (FIRST, LATER)


@pytest.mark.parametrize("cut", [True, False], ids=["reset", "silent"])
@on_site()
async def test_a_request_that_may_not_be_repeated_fails_with_the_incarnation_that_received_it(
    site, cut
):
    await report_starts(site)
    for name in ("s0", "s1"):
        site.upstreams[name].hold.clear()
    asked = asyncio.ensure_future(ask(address_of(site), "/goal/a", "g1"))
    await wait_until(lambda: any(u.arrivals for u in site.upstreams.values()), "arrival")
    busy = next(u for u in site.upstreams.values() if u.arrivals)
    site.restart_upstream(busy, LATER, cut)
    answer = await asked
    assert answer.status in (0, 502)
    assert count_runs(site, "g1") == 1


@on_site(gateways=2)
async def test_all_hosts_drop_the_cached_parts_of_a_former_incarnation(site):
    await report_starts(site)
    assert (await ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=LONG,
                      X_Model="m", X_Prompt_Prefix="aa:8000,bb:1000")).status == 200  # fmt: skip

    def list_caching(name):
        return {i.record.instance for i in fleet(site, name).list_service("model")
                if i.cache.count_prefilled(CACHED_PROMPT)}  # fmt: skip

    for name in site.gateways:
        await wait_until(lambda name=name: list_caching(name), "cached parts known")
    for caching in list_caching("g0") | list_caching("g1"):
        site.restart_upstream(site.upstreams[caching], LATER)
    for name in site.gateways:
        await wait_until(lambda name=name: not list_caching(name), "cached parts dropped")
    answer = await ask(address_of(site), "/verdict/a", "v2", X_Token_Usage=LONG,
                       X_Model="m", X_Prompt_Prefix="aa:8000,bb:1000")  # fmt: skip
    assert (answer.status, answer.whole) == (200, True)


@on_site()
async def test_an_entry_of_an_earlier_incarnation_is_ignored(site):
    await report_starts(site)
    upstream = site.upstreams["s0"]
    site.restart_upstream(upstream, LATER)
    await wait_until(lambda: find_born(site, "s0") == LATER, "later start")
    upstream.born = FIRST
    site.list_upstream(upstream, "draining")
    upstream.born = LATER
    await site.add_upstream(StandInUpstream("s9", "alerts", "hall-a"))
    await wait_until(lambda: fleet(site).knows("s9"), "a later entry")
    known = fleet(site).find_current_incarnation("s0")
    assert (known.record.born, known.leaving) == (LATER, False)


@on_site(engines=("decode",) * 3)
async def test_an_order_that_a_former_incarnation_left_unanswered_prevents_orders_to_the_next(site):
    # The next incarnation may still carry it out: its condition, the number of accepted orders,
    # holds at each incarnation that has accepted none.
    await report_starts(site)
    for upstream in site.upstreams.values():
        upstream.apply_orders = False

    def ordered():
        return [u for u in site.upstreams.values() if getattr(u, "arrived_orders", ())]

    await wait_until(lambda: len(ordered()) == 2, "orders without an answer")
    restarted = ordered()
    for engine in restarted:
        site.restart_upstream(engine, LATER)
    for engine in restarted:
        await wait_until(lambda e=engine: find_born(site, e.instance) == LATER, "later start")
    await asyncio.sleep(1.5)
    assert [len(engine.arrived_orders) for engine in restarted] == [1, 1]


@on_site(engines=("prefill", "decode", "decode"))
async def test_an_engine_gets_no_order_while_its_report_is_of_another_incarnation(site):
    await report_starts(site)
    # The engine has restarted, and the list does not show that yet.
    site.upstreams["e1"].born = LATER
    site.upstreams["e0"].role = "decode"
    site.list_upstream(site.upstreams["e0"])
    others = [site.upstreams[name] for name in ("e0", "e2")]
    await wait_until(lambda: any(engine.arrived_orders for engine in others), "an order")
    assert not site.upstreams["e1"].arrived_orders


INVALID_ENTRIES = [
    b"{}",
    b"null",
    b'{"metadata":{"name":"s0","revision":"x"},"spec":{}}',
    b'{"spec":{"service":"alerts"}}',
    b'{"metadata":{"name":"stray","revision":1},"spec":{"service":"\xff\xfe"}}',
    b'{"metadata":{"name":"stray","revision":1},"spec":{"service":"alerts","slots":1e999}}',
]


@pytest.mark.parametrize("invalid", INVALID_ENTRIES, ids=repr)
@pytest.mark.parametrize("place", ["a-first", "z-last"])
@on_site(gateways=2)
async def test_an_invalid_entry_prevents_no_host_from_receiving_changes(site, invalid, place):
    site.store.put_raw("servers", place, invalid)
    await site.add_upstream(StandInUpstream("s8", "alerts", "hall-a"))
    for name in site.gateways:
        await wait_until(lambda name=name: fleet(site, name).knows("s8"), "watched")
    site.store.discard_history()
    site.unlist_upstream(site.upstreams["s0"])
    await site.add_gateway("g2", 2)
    await site.wait_ready("g2")
    for name in site.gateways:
        await wait_until(lambda name=name: not fleet(site, name).knows("s0"), "withdrawn")
        assert fleet(site, name).knows("s1")
    assert (await ask(address_of(site, "g2"), "/goal/a", "g1")).status == 200


@on_site(gateways=1)
async def test_invalid_entries_of_other_kinds_stop_no_task(site):
    site.store.put_raw("swifttrestle-peers", "a", b"{}")
    site.store.put("swifttrestle-peers", "b", ["not a map"])
    site.store.put("swifttrestle-peers", "c", {"ip": "host.example"})
    site.store.put_raw("config", "another", b'{"metadata":{"name":"another"},"spec":"\xff"}')
    await site.add_gateway("g1", 1)
    await site.wait_ready("g1")
    await wait_until(lambda: len(site.gateways["g1"].gateway.live_hosts()) == 2, "both hosts")
    version = site.declare()
    for running in site.gateways.values():
        await wait_until(lambda g=running.gateway: g.config_version == version, "version")


@pytest.mark.parametrize(
    "spec",
    [
        None,
        "lease",
        {"holder": 7},
        {"holder": "x", "incarnation": 1, "token": 4, "orders": [{"number": "x"}]},
        {"holder": "x", "incarnation": 1, "token": "4", "orders": []},
    ],
    ids=repr,
)
@on_site(engines=("decode", "decode", "decode"))
async def test_a_lease_that_another_writer_overwrote_is_taken_again_with_a_higher_token(site, spec):
    # Waits until none of the holder's own writes is pending, whose answer would restore the lease.
    duty = site.gateways["g0"].gateway._duties.roles
    await wait_until(lambda: duty._lease.lease is not None, "lease")
    engines = [item for item in site.upstreams.values() if hasattr(item, "role")]
    await wait_until(lambda: sum(e.role == "prefill" for e in engines) == 2, "initial orders")
    await wait_until(lambda: not duty._lease._write_lock.locked(), "no pending write")
    before = duty._lease.lease.token
    site.store.put("swifttrestle-leases", "roles", spec)
    revision = site.store.objects["swifttrestle-leases", "roles"]["metadata"]["revision"]
    # The holder notices at its next write.
    duty._lease.lease = None

    def stored():
        return site.store.objects["swifttrestle-leases", "roles"]["spec"]

    await wait_until(lambda: isinstance(stored(), dict) and "@" in str(stored().get("holder")))
    assert stored()["token"] > max(before, revision - 1)
    assert (await ask(address_of(site), "/chat/a", "c1", X_Token_Usage=SHORT)).status == 200
