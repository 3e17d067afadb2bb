"""Usage reports and scaling on a site, by one host at a time under the duty lease."""

import asyncio
import time

import orjson
import pytest

from swifttrestle.internal.duty_report import describe_duties
from swifttrestle_standins.hosted.duties import SCALING, count_engines_by_kind
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import StandInEngine
from tests.common.http import ask
from tests.hosted.sites import address_of, build_site, on_built

WINDOW_SECONDS = 1


async def build_duty_site(gateways=2, engines=0):
    """Start a site with workspaces, duties, and `engines` non-reclaimable engines in each zone."""
    site = await build_site(gateways=0, engines=())
    await site.start_duties()
    site.bounds = {"reportWindowS": WINDOW_SECONDS}
    site.workspaces = [
        {"name": "club", "apiKeys": ["key-1"]},
        {"name": "liaison", "apiKeys": ["key-2"]},
    ]
    for zone in ("hall-a", "hall-b", "hall-c"):
        for number in range(engines):
            role = "decode" if number % 2 else "prefill"
            await site.add_upstream(StandInEngine(f"{zone}-{number}", "model", zone, role))
    if engines:
        site.services[0]["scaling"] = SCALING
    site.declare()
    for number in range(gateways):
        await site.add_gateway(f"g{number}", number)
    await site.wait_ready()
    return site


def on_duty_site(**build):
    """Run an async test on a site with duties, and check that all duty calls were valid."""
    return on_built(lambda: build_duty_site(**build), check_calls)


def check_calls(site):
    assert site.duties.violations == []


async def send(site, count, gateway="g0", key="key-1"):
    for number in range(count):
        name = f"{gateway}-{key}-{number}-{time.monotonic_ns()}"
        answer = await ask(address_of(site, gateway), "/goal/a", name, X_Key=key)
        assert answer.status == 200


def sum_reported(site):
    total = {}
    for counts in site.duties.reports.values():
        for name, count in counts.items():
            total[name] = total.get(name, 0) + count
    return total


async def wait_for_window():
    """Wait until a window of usage has just begun, so that the next requests share it."""
    await asyncio.sleep(WINDOW_SECONDS - time.time() % WINDOW_SECONDS + 0.05)


async def wait_for_usage(site, wanted):
    await wait_until(lambda: sum_reported(site) == wanted, f"usage {wanted}")


def find_holder(site):
    return next(
        name
        for name, item in site.gateways.items()
        if not item.task.done() and item.gateway._gossip.candidates.holds_duty_lease
    )


async def wait_for_holder(site):
    def has_holder():
        return any(
            item.gateway._duties.lease.lease is not None
            for item in site.gateways.values()
            if not item.task.done()
        )

    await wait_until(has_holder, "a holder of the duty lease")
    return find_holder(site)


@on_duty_site()
async def test_the_sum_of_all_hosts_counts_is_reported_once_for_each_window(site):
    await send(site, 3, "g0")
    await send(site, 2, "g1")
    await send(site, 1, "g1", "key-2")
    await wait_for_usage(site, {"club": 5, "liaison": 1})
    await asyncio.sleep(2 * WINDOW_SECONDS)
    assert sum_reported(site) == {"club": 5, "liaison": 1}


@on_duty_site()
async def test_a_report_whose_answer_is_lost_is_sent_again_unchanged(site):
    await wait_for_holder(site)
    site.duties.faults.lose_answers = 2
    await send(site, 3)
    await wait_for_usage(site, {"club": 3})
    first = next(window for window, counts in site.duties.reports.items() if counts)
    await wait_until(
        lambda: sum(call.body.get("windowId") == first for call in site.duties.calls) >= 2,
        "sent again",
    )


@on_duty_site()
async def test_a_platform_that_was_down_receives_the_reports_of_the_outage(site):
    await wait_for_holder(site)
    site.duties.faults.down = True
    await send(site, 3)
    await asyncio.sleep(4 * WINDOW_SECONDS)
    assert sum_reported(site) == {}
    site.duties.faults.down = False
    await wait_for_usage(site, {"club": 3})


@pytest.mark.parametrize("lost", ["before it is recorded", "after it was recorded"])
def test_the_loss_of_the_holder_loses_no_report(lost):
    @on_duty_site(gateways=3)
    async def run(site):
        holder = await wait_for_holder(site)
        others = [name for name in site.gateways if name != holder]
        site.duties.faults.down = lost.startswith("after")
        await send(site, 4, others[0])
        await send(site, 2, others[1], "key-2")
        if lost.startswith("after"):
            lease = site.gateways[holder].gateway._duties.lease
            await wait_until(lambda: any(item.counts for item in lease.lease.usage), "recorded")
        else:
            # By then the other hosts have sent their counts to the standbys.
            await asyncio.sleep(1.2)
        site.gateways[holder].task.cancel()
        site.duties.faults.down = False
        await wait_for_usage(site, {"club": 4, "liaison": 2})

    run()


@on_duty_site()
async def test_drafts_in_the_store_keep_counts_when_all_hosts_are_lost(site):
    holder = await wait_for_holder(site)
    # The platform accepts no report before the counts are in the store.
    site.duties.faults.down = True
    await send(site, 4, holder)
    lease = site.gateways[holder].gateway._duties.lease

    def is_stored():
        held = lease.lease
        return held and any(item.counts for item in (*held.drafts, *held.usage))

    await wait_until(is_stored, "counts in the store")
    for running in site.gateways.values():
        running.task.cancel()
    site.duties.faults.down = False
    await site.add_gateway("g7", 7)
    await wait_for_usage(site, {"club": 4})


@on_duty_site(engines=3)
async def test_non_reclaimable_engines_are_released_once_reclaimable_ones_replace_them(site):
    lowest_count = [9]

    def is_settled():
        lasting, reclaimable = count_engines_by_kind(site)
        lowest_count[0] = min(lowest_count[0], lasting + reclaimable)
        return (lasting, reclaimable) == (3, 9)

    # The need is nine engines, also after the loss of any one zone's reclaimable ones.
    await wait_until(is_settled, "three non-reclaimable and nine reclaimable engines")
    assert lowest_count[0] >= 9


@on_duty_site(engines=1)
async def test_engines_are_released_only_after_all_running_ones_are_listed(site):
    """Engines list themselves one by one; a plan based on some of them would release too many."""
    await wait_for_holder(site)
    for number in range(1, 3):
        for zone in ("hall-a", "hall-b", "hall-c"):
            await asyncio.sleep(0.5)
            name = f"{zone}-{number}"
            await site.add_upstream(StandInEngine(name, "model", zone, "prefill"))
    await wait_until(lambda: count_engines_by_kind(site) == (3, 9), "settled with the need of nine")
    first = next(call for call in site.duties.calls if "/scale" in call.subject)
    assert first.body["spot"] is True


@on_duty_site(engines=2, gateways=3)
async def test_a_holder_that_is_lost_while_the_list_grows_records_no_partial_need(site):
    """With a partial need, the next holder would release engines that are listed later."""
    await wait_until(lambda: site.duties.calls, "the first order")
    holder = site.duties.calls[0].holder.partition("@")[0]
    site.gateways[holder].task.cancel()
    for zone in ("hall-a", "hall-b", "hall-c"):
        await site.add_upstream(StandInEngine(f"{zone}-2", "model", zone, "prefill"))
    # The need is nine engines; the partial need of six would end with six reclaimable ones.
    await wait_until(lambda: count_engines_by_kind(site) == (3, 9), "settled with the need of nine")


@on_duty_site(engines=3)
async def test_a_reclaimed_zone_is_ordered_again_until_upstreams_are_available(site):
    await wait_until(lambda: count_engines_by_kind(site) == (3, 9), "settled")
    site.duties.reclaim("hall-b", 0.3)
    await wait_until(lambda: count_engines_by_kind(site) == (3, 6), "reclaimed")
    calls_before = len(site.duties.calls)
    await asyncio.sleep(4.0)
    # The order is repeated a few times, and no other order is sent.
    orders = [call for call in site.duties.calls[calls_before:] if call.subject != "/usage"]
    assert 1 <= len(orders) <= 5
    assert {call.subject for call in orders} == {"/scale model hall-b"}
    site.duties.faults.dry_zones.clear()
    await wait_until(lambda: count_engines_by_kind(site) == (3, 9), "available again")


@on_duty_site(engines=3, gateways=3)
async def test_a_new_holder_keeps_the_orders_of_the_former_one(site):
    await wait_until(lambda: count_engines_by_kind(site) == (3, 9), "settled")
    holder = find_holder(site)
    site.gateways[holder].task.cancel()
    await wait_until(lambda: has_other_holder(site, holder), "another holder")
    await asyncio.sleep(2.0)
    assert count_engines_by_kind(site) == (3, 9)


def has_other_holder(site, former):
    return any(
        item.gateway._duties.lease.lease is not None
        for name, item in site.gateways.items()
        if name != former
    )


@on_duty_site(engines=3)
async def test_operators_see_engines_need_price_and_usage_of_each_window(site):
    await wait_until(lambda: count_engines_by_kind(site) == (3, 9), "settled")
    await wait_for_window()
    await send(site, 2)
    await wait_for_usage(site, {"club": 2})
    await asyncio.sleep(1.0)
    running = site.gateways[find_holder(site)]
    answer = await ask(running.metrics_address, "/debug/state", "d1", method="GET")
    lines = list(describe_duties(orjson.loads(answer.body)["duties"]))
    assert lines[0] == "model: 9 needed without any one zone's reclaimable ones"
    # The price is that of one non-reclaimable engine at 1.0 and three reclaimable ones at 0.15.
    planned = "1 lasting of 1 planned, 3 reclaimable of 3 planned, 1.45 a second"
    assert f"  hall-a: {planned}" in lines
    assert "  club: 2" in lines
    assert any("taken, 2 requests" in line for line in lines)
    page = (await ask(running.metrics_address, "/metrics", "m1", method="GET")).body.decode()
    for name in ("capacity_paid_total", "capacity_orders_total", "usage_reports_total"):
        assert f"swifttrestle_{name}" in page


@on_duty_site(gateways=0)
async def test_an_engine_that_is_reclaimed_while_it_starts_is_never_listed(site):
    # The stand-in cannot list an engine that has no address yet.
    engine = StandInEngine("n1", "model", "hall-a", "prefill")
    engine.reclaimable = True
    site.upstreams["n1"] = engine
    site.duties.reclaim("hall-a", 0.1)
    assert "n1" not in site.upstreams
    await site.duties._start_serving(engine)
    assert "n1" not in site.upstreams
