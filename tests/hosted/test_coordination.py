"""Configuration, discovery, peers, roles and shutdown of several gateways on one site."""

import asyncio

import pytest

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.prompt_cache import PromptPart
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import StandInEngine, StandInUpstream
from tests.common import steady_loop
from tests.common.http import RawCaller, ask, write_request
from tests.hosted.sites import LONG, SHORT, address_of, build_site, count_runs, on_site


def gateway(site, name="g0"):
    return site.gateways[name].gateway


@on_site(gateways=2)
async def test_a_new_version_is_in_force_everywhere_and_not_replaced_by_an_older_one(site):
    old = site.store.objects["config", "main"]["spec"]
    site.routes.append({**site.routes[2], "name": "added", "pathPrefix": "/added/"})
    version = site.declare()
    for name in site.gateways:
        await wait_until(lambda n=name: gateway(site, n).config_version == version, "version")
        assert (await ask(address_of(site, name), "/added/x", f"a-{name}")).status == 200
    site.store.put("config", "main", old)
    site.store.put("config", "main", {**old, "version": version + 1})
    for name in site.gateways:
        await wait_until(lambda n=name: gateway(site, n).config_version == version + 1, "next")


@pytest.mark.parametrize(
    "spec",
    [None, 7, {}, {"version": "x"}, {"version": 99, "routes": [{}]}, {"version": 99, "routes": 3}],
)
@on_site()
async def test_a_configuration_that_cannot_be_read_is_skipped_and_the_next_one_applied(site, spec):
    site.store.put("config", "main", spec)
    site.routes.append({**site.routes[2], "name": "added", "pathPrefix": "/added/"})
    version = site.declare()
    await wait_until(lambda: gateway(site).config_version == version, "version")
    assert (await ask(address_of(site), "/goal/a", "g1")).status == 200


@on_site()
async def test_a_record_that_cannot_be_read_is_skipped(site):
    for number, spec in enumerate([None, 7, {}, {"service": "alerts", "address": "nowhere"}]):
        site.store.put("servers", f"bad{number}", spec)
    await site.add_upstream(StandInUpstream("s9", "alerts", "hall-a"))
    await wait_until(lambda: gateway(site).knows_instance("s9"), "new instance")
    assert not gateway(site).knows_instance("bad3")


def withdraw(site, upstream, way):
    """Withdraw an upstream: by a draining state, by removal of its entry, or by another role."""
    if way == "draining":
        site.list_upstream(upstream, "draining")
    elif way == "unlisted":
        site.unlist_upstream(upstream)
    else:
        upstream.role = "prefill"
        site.list_upstream(upstream)


@pytest.mark.parametrize("way", ["draining", "unlisted", "role"])
@on_site()
async def test_an_engine_withdrawn_during_the_prefill_is_not_used_for_decoding(site, way):
    prefill_engine = site.upstreams["e0"]
    prefill_engine.hold.clear()
    request = asyncio.ensure_future(ask(address_of(site), "/chat/a", "c1", X_Token_Usage=LONG))
    await wait_until(lambda: prefill_engine.arrivals, "prefill")
    instances = gateway(site).list_instances()
    booked = next(site.upstreams[name] for name in ("e1", "e2") if instances[name].own.requests)
    withdraw(site, booked, way)

    def is_withdrawn():
        known = gateway(site).list_instances().get(booked.instance)
        return known is None or known.record.leaving or known.role is Role.PREFILL

    await wait_until(is_withdrawn, "the withdrawal to be noticed")
    prefill_engine.hold.set()
    answer = await request
    assert (answer.status, answer.whole) == (200, True)
    assert booked.arrivals == []


@pytest.mark.parametrize("way", ["draining", "unlisted"])
@on_site()
async def test_a_withdrawn_upstream_gets_no_new_request(site, way):
    withdrawn = site.upstreams["s0"]
    if way == "draining":
        site.list_upstream(withdrawn, "draining")
    else:
        site.unlist_upstream(withdrawn)
    await asyncio.sleep(1.9)
    before = len(withdrawn.arrivals)
    for number in range(10):
        assert (await ask(address_of(site), "/goal/a", f"g{number}")).status == 200
    assert len(withdrawn.arrivals) == before


@on_site(gateways=2)
async def test_an_outage_of_the_store_fails_no_request_and_removes_no_upstream(site):
    site.store.faults.down = True
    site.store.notify_watches()
    await asyncio.sleep(1.5)
    for number in range(6):
        assert (await ask(address_of(site), "/goal/a", f"g{number}")).status == 200
    site.unlist_upstream(site.upstreams["s0"])
    site.store.faults.down = False
    await asyncio.sleep(0.9)
    # Upstreams whose entries expired in the outage have some time to be listed again.
    assert gateway(site).knows_instance("s0")
    await wait_until(lambda: not gateway(site).knows_instance("s0"), "removed instance")
    assert gateway(site).knows_instance("s1")


@on_site()
async def test_the_store_is_listed_again_after_its_history_was_truncated(site):
    site.unlist_upstream(site.upstreams["s0"])
    site.store.discard_history()
    await site.add_upstream(StandInUpstream("s9", "alerts", "hall-a"))
    await wait_until(lambda: gateway(site).knows_instance("s9"), "new instance")
    await wait_until(lambda: not gateway(site).knows_instance("s0"), "removed instance")


@on_site()
async def test_after_an_interrupted_watch_the_store_is_listed_before_it_is_watched_again(site):
    # A store without history may accept the new watch, but send none of the missed changes.
    site.store.faults.deaf_watches = True
    site.routes.append({**site.routes[2], "name": "added", "pathPrefix": "/added/"})
    version = site.declare()
    withdrawn = site.upstreams["s0"]
    site.unlist_upstream(withdrawn)
    site.cut_store_connections()
    async with asyncio.timeout(2):
        while gateway(site).config_version != version:
            await asyncio.sleep(0.01)
    await wait_until(lambda: not gateway(site).knows_instance("s0"), "removed instance")


@on_site(gateways=2)
async def test_a_gateway_that_starts_in_an_outage_uses_its_peers_configuration(site):
    site.store.faults.down = True
    site.store.notify_watches()
    running = await site.add_gateway("late", 7)
    await wait_until(lambda: running.gateway.config_version == 3, "version from a peer")
    answer = await ask(address_of(site, "late"), "/nothing/a", "x1")
    assert answer.status == 404


@on_site()
async def test_a_gateway_without_a_configuration_answers_503_and_never_404(site):
    site.store.faults.down = True
    site.gateways["g0"].task.cancel()
    running = await site.add_gateway("alone", 8)
    await wait_until(lambda: can_connect(running.settings.callers), "listening")
    answer = await ask(address_of(site, "alone"), "/goal/a", "g1")
    assert (answer.status, "retry-after" in answer.headers) == (503, True)
    assert not running.gateway.is_ready()


def can_connect(address):
    import socket

    with socket.socket() as probe:
        return probe.connect_ex(address) == 0


@on_site(gateways=3)
async def test_gateways_find_each_other_and_share_their_open_work(site):
    for name in site.gateways:
        await wait_until(lambda n=name: len(gateway(site, n).live_hosts()) == 3, "three hosts")
    for upstream in site.upstreams.values():
        upstream.hold.clear()
    request = asyncio.ensure_future(ask(address_of(site), "/goal/a", "g1"))
    await wait_until(lambda: gateway(site, "g1").count_peer_requests() == 1, "the peer's open work")
    for upstream in site.upstreams.values():
        upstream.hold.set()
    assert (await request).status == 200
    await wait_until(lambda: gateway(site, "g1").count_peer_requests() == 0, "no open work")


@on_site(gateways=2, engines=("decode",) * 6)
async def test_one_holder_orders_roles_with_fencing_tokens_and_records_its_orders(site):
    def roles():
        engines = [u for u in site.upstreams.values() if isinstance(u, StandInEngine)]
        return sorted(engine.role for engine in engines)

    await wait_until(lambda: roles() == ["decode"] * 2 + ["prefill"] * 4, "planned roles")
    orders = [order for u in site.upstreams.values() for order in getattr(u, "orders", ())]
    assert len(orders) == 4
    (holder,) = {order["holder"] for order in orders}
    # The IP distinguishes machines of the same name.
    assert holder in {f"{name}@{site.gateways[name].settings.ip}" for name in ("g0", "g1")}
    assert all(order["fenceToken"] >= 1 and "expectedRev" in order for order in orders)
    recorded = site.store.objects["swifttrestle-leases", "roles"]["spec"]["orders"]
    assert len(recorded) == 4


@on_site(gateways=2, engines=("decode",) * 3)
async def test_a_new_holder_does_not_repeat_open_orders_of_the_former_one(site):
    for upstream in site.upstreams.values():
        upstream.apply_orders = False

    def orders():
        return [o for u in site.upstreams.values() for o in getattr(u, "arrived_orders", ())]

    await wait_until(lambda: len(orders()) == 2, "two orders")
    holder = next(name for name in site.gateways if orders()[0]["holder"].startswith(name))
    other = "g1" if holder == "g0" else "g0"
    site.gateways[holder].task.cancel()

    def held_by_other():
        return site.store.objects["swifttrestle-leases", "roles"]["spec"]["holder"].startswith(
            other
        )

    await wait_until(held_by_other, "takeover")
    await asyncio.sleep(1.5)
    assert len(orders()) == 2


@on_site(gateways=2)
async def test_a_host_that_restarts_with_an_earlier_clock_is_accepted_as_a_peer(site):
    await wait_until(lambda: len(gateway(site, "g1").live_hosts()) == 2, "two hosts")
    site.gateways["g0"].task.cancel()
    await wait_until(lambda: gateway(site, "g1").live_hosts() == ["g1"], "one host")
    await site.add_gateway("g0", 0, incarnation=1)
    await wait_until(lambda: len(gateway(site, "g1").live_hosts()) == 2, "two hosts again")


@pytest.mark.parametrize("listed", [True, False])
@on_site(engines=("prefill", "prefill", "prefill", "decode"))
async def test_the_last_decoding_engine_is_replaced_by_a_reachable_one(site, listed):
    await wait_until(lambda: count_roles(site, "decode") == 2, "planned roles")
    stopped_decode = [u for u in site.upstreams.values() if getattr(u, "role", "") == "decode"]
    stopped_prefill = next(
        u for u in site.upstreams.values() if getattr(u, "role", "") == "prefill"
    )
    for upstream in [*stopped_decode, stopped_prefill]:
        await site.stop_upstream(upstream)
    if not listed:
        for upstream in stopped_decode:
            site.unlist_upstream(upstream)
    remaining = next(
        u
        for u in site.upstreams.values()
        if getattr(u, "role", "") == "prefill" and u is not stopped_prefill
    )

    async def keep_asking():
        for number in range(1000):
            await ask(address_of(site), "/chat/a", f"c{number}", X_Token_Usage=SHORT)
            await asyncio.sleep(0.05)

    asking = asyncio.ensure_future(keep_asking())
    await wait_until(lambda: remaining.role == "decode", "a new decoding engine")
    asking.cancel()


@on_site(gateways=2, engines=("prefill", "prefill", "prefill"))
async def test_an_ordered_role_is_used_by_all_hosts_before_the_list_shows_it(site):
    # While the store is unreachable, an engine's record shows the earlier role.
    for upstream in site.upstreams.values():
        upstream.on_role_change = None
    for name in ("g0", "g1"):
        async with asyncio.timeout(15):
            while (
                await ask(address_of(site, name), "/chat/a", "c", X_Token_Usage=SHORT)
            ).status != 200:
                await asyncio.sleep(0.05)
    assert count_roles(site, "decode") == 1


@pytest.mark.parametrize("stage", ["prefill", "decode"])
@on_site(engines=("prefill", "prefill", "decode", "decode"))
async def test_an_engine_in_another_role_than_listed_is_not_used_and_not_removed(site, stage):
    await wait_until(lambda: count_roles(site, "prefill") == 2, "planned roles")
    for upstream in site.upstreams.values():
        if getattr(upstream, "role", "") == stage:
            upstream.role = "decode" if stage == "prefill" else "prefill"
            break
    for number in range(20):
        answer = await ask(address_of(site), "/verdict/a", f"v{number}", X_Token_Usage=LONG)
        assert answer.status == 200
        assert gateway(site).knows_instance(upstream.instance)


def count_roles(site, role):
    return sum(getattr(upstream, "role", "") == role for upstream in site.upstreams.values())


@on_site(engines=("decode",) * 3)
async def test_an_order_without_an_answer_is_not_sent_again(site):
    for upstream in site.upstreams.values():
        upstream.answer_orders = False

    def orders():
        return [o for u in site.upstreams.values() for o in getattr(u, "orders", ())]

    await wait_until(lambda: len(orders()) == 2, "two orders")
    await asyncio.sleep(1.5)
    assert len(orders()) == 2
    assert all(len(getattr(u, "orders", ())) <= 1 for u in site.upstreams.values())


@on_site(gateways=2)
async def test_a_graceful_stop_interrupts_no_request_and_ends_readiness_at_once(site):
    for upstream in site.upstreams.values():
        upstream.hold.clear()
    caller = await RawCaller.connect(address_of(site))
    caller.send(write_request("/goal/a", "g1"))
    await wait_until(lambda: gateway(site).count_open_requests() == 1, "open request")
    gateway(site).stop()
    assert not gateway(site).is_ready()
    late = await ask(address_of(site), "/nothing/a", "x1")
    assert (late.status, late.headers["connection"]) == (404, "close")
    await asyncio.sleep(0.5)
    for upstream in site.upstreams.values():
        upstream.hold.set()
    answer = await caller.read_answer()
    assert (answer.status, answer.headers["connection"]) == (200, "close")
    async with asyncio.timeout(10):
        await site.gateways["g0"].task
    await wait_until(lambda: gateway(site, "g1").live_hosts() == ["g1"], "the peer's removal")


@on_site()
async def test_a_stopping_gateway_accepts_no_request_that_may_outlast_it(site):
    site.routes[1]["timeoutMs"] = 15000
    site.declare()
    await wait_until(lambda: gateway(site).config_version == 6, "second version")
    caller = await RawCaller.connect(address_of(site))
    decode_engines = site.upstreams["e1"], site.upstreams["e2"]
    for upstream in decode_engines:
        upstream.hold.clear()
    caller.send(write_request("/chat/a", "c0", X_Token_Usage=SHORT))
    await wait_until(lambda: count_runs(site, "c0") == 1, "open request")
    gateway(site).stop()
    await asyncio.sleep(2.2)
    late = await ask(address_of(site), "/chat/a", "c1", X_Token_Usage=SHORT)
    assert (late.status, "retry-after" in late.headers) == (503, True)
    assert count_runs(site, "c1") == 0
    for upstream in decode_engines:
        upstream.hold.set()
    assert (await caller.read_answer()).whole


@on_site(engines=("prefill", "decode"))
async def test_some_slots_are_reserved_for_urgent_requests(site):
    site.upstreams["e1"].hold.clear()
    chats = [
        asyncio.ensure_future(ask(address_of(site), "/chat/a", f"c{n}", X_Token_Usage=SHORT))
        for n in range(12)
    ]
    await wait_until(lambda: sum(task.done() for task in chats) >= 5, "refusals")
    assert {task.result().status for task in chats if task.done()} == {503}
    # Chats may use seven of eight slots, verdicts all of them.
    urgent = asyncio.ensure_future(ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=SHORT))
    await wait_until(lambda: count_runs(site, "v1") == 1, "the urgent request at the engine")
    site.upstreams["e1"].hold.set()
    assert (await urgent).status == 200


def test_requests_wait_in_the_gateway_and_are_refused_early_when_engines_are_full():
    async def run():
        site = await build_site(engines=("prefill", "decode"))
        try:
            site.upstreams["e0"].hold.clear()
            tasks = [
                asyncio.ensure_future(
                    ask(address_of(site), "/verdict/a", f"v{n}", X_Token_Usage=LONG)
                )
                for n in range(30)
            ]
            await wait_until(lambda: any(task.done() for task in tasks), "first refusal")
            done = [task.result() for task in tasks if task.done()]
            assert {answer.status for answer in done} == {503}
            assert all(0 < answer.retry_after < 1 for answer in done)
            site.upstreams["e0"].hold.set()
            rest = [answer for answer in await asyncio.gather(*tasks)]
            served = [answer for answer in rest if answer.status == 200]
            assert served
            assert sum(count_runs(site, f"v{n}") for n in range(30)) == len(served)
        finally:
            await site.stop()

    steady_loop.run(run())


async def refuse_call(*_):
    raise PlatformUnavailableError("cut off")


@on_site(gateways=3, engines=("prefill",) * 3 + ("decode",) * 2)
async def test_another_host_plans_roles_if_the_holder_cannot_reach_the_store(site):
    def holder():
        lease = site.store.objects.get(("swifttrestle-leases", "roles"))
        return lease["spec"]["holder"].partition("@")[0] if lease else ""

    for name in site.gateways:
        await wait_until(lambda n=name: len(gateway(site, n).live_hosts()) == 3, "three hosts")
    first = await wait_until(holder, "a holder")
    gateway(site, first)._store._call = refuse_call
    for name in ("e3", "e4"):
        site.unlist_upstream(site.upstreams[name])
    await wait_until(lambda: holder() != first, "another holder")
    prefill_engines = [site.upstreams[name] for name in ("e0", "e1", "e2")]
    await wait_until(
        lambda: any(item.role == "decode" for item in prefill_engines), "a decoding engine"
    )


@on_site(gateways=3)
async def test_a_new_version_is_applied_although_no_open_connection_responds(site):
    # A watch of the configuration is long, and gets no answer on a dead connection.
    await wait_until(lambda: len(gateway(site).live_hosts()) == 3, "peers")
    site.blackhole_connections()
    site.routes.append({**site.routes[2], "name": "added", "pathPrefix": "/added/"})
    version = site.declare()
    for name in site.gateways:
        await wait_until(lambda n=name: gateway(site, n).config_version == version, "version")


@on_site()
async def test_a_removed_upstream_is_noticed_although_no_open_connection_responds(site):
    site.blackhole_connections()
    site.unlist_upstream(site.upstreams["s0"])
    await wait_until(lambda: not gateway(site).knows_instance("s0"), "removed instance")


@on_site(engines=("prefill", "decode", "decode"))
async def test_a_starting_host_loads_which_prompts_engines_cache(site):
    site.upstreams["e0"].kept = {"aa": 4000}
    await site.add_gateway("g1", 1)
    await site.wait_ready("g1")
    cached = (PromptPart("m/aa", 4000),)
    await wait_until(
        lambda: gateway(site, "g1").list_instances()["e0"].cache.count_prefilled(cached) == 4000,
        "the engine's cached prompts",
    )


@on_site()
async def test_an_outage_between_two_ticks_does_not_leave_the_holder_in_backoff(site):
    # The backoff of a failed call must end although no tick saw the store as unreachable.
    candidates = gateway(site)._gossip.candidates
    discovery = gateway(site)._discovery
    await wait_until(lambda: candidates.holds_duty_lease, "lease")
    candidates.mark_store_unreachable(60.0)
    discovery._is_store_unreachable = True
    discovery._note_answer(0.0)
    await wait_until(lambda: not candidates.store_unreachable, "candidate again")


@on_site()
async def test_roles_are_planned_again_as_soon_as_the_store_is_available(site):
    candidates = gateway(site)._gossip.candidates
    await wait_until(lambda: candidates.holds_duty_lease, "lease")
    site.store.faults.down = True
    site.store.notify_watches()
    await wait_until(
        lambda: candidates.store_unreachable and gateway(site)._discovery.store_unreachable,
        "the outage to be noticed",
    )
    # Each failed call extends the backoff.
    candidates.mark_store_unreachable(60.0)
    site.store.faults.down = False
    await wait_until(lambda: candidates.holds_duty_lease, "lease again")
    assert not candidates.store_unreachable
