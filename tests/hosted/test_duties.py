"""Usage and capacity on a whole site: one host at a time reports and orders, by written words.

A deployment asked for usage by windows of five seconds and for engines to be ordered; untouched,
no window of a day was reported (0.200 of its worth), and 29 engines stood at the full price
(0.191).
"""

import asyncio
import time

import orjson
import pytest

from swifttrestle.internal.duty_report import describe_duties
from swifttrestle_standins.hosted.duties import SCALING, count_kinds
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import StandInEngine
from tests.common.http import ask
from tests.hosted.sites import address_of, build_site, on_built

WINDOW = 1


async def build_duty_site(gateways=2, engines=0):
    """Start a site with workspaces and duties, and so many lasting engines in each zone."""
    site = await build_site(gateways=0, engines=())
    await site.start_duties()
    site.bounds = {"reportWindowS": WINDOW}
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
    """Run an async test on a site with duties, and check that no call broke a rule."""
    return on_built(lambda: build_duty_site(**build), check_calls)


def check_calls(site):
    assert site.duties.broken == []


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


async def wait_for_usage(site, wanted):
    await wait_until(lambda: sum_reported(site) == wanted, f"usage {wanted}")


def find_holder(site):
    return next(
        name
        for name, item in site.gateways.items()
        if not item.task.done() and item.gateway._gossip.candidates.holds_duty_lease
    )


async def wait_for_holder(site):
    def found():
        return any(
            item.gateway._duties.lease.lease is not None
            for item in site.gateways.values()
            if not item.task.done()
        )

    await wait_until(found, "a holder of the duties")
    return find_holder(site)


@on_duty_site()
async def test_what_all_hosts_count_is_reported_once_for_each_window(site):
    await send(site, 3, "g0")
    await send(site, 2, "g1")
    await send(site, 1, "g1", "key-2")
    await wait_for_usage(site, {"club": 5, "liaison": 1})
    await asyncio.sleep(2 * WINDOW)
    assert sum_reported(site) == {"club": 5, "liaison": 1}


@on_duty_site()
async def test_a_report_whose_answer_is_lost_is_sent_again_as_it_was(site):
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
async def test_a_platform_that_was_down_gets_the_reports_of_that_time(site):
    await wait_for_holder(site)
    site.duties.faults.down = True
    await send(site, 3)
    await asyncio.sleep(4 * WINDOW)
    assert sum_reported(site) == {}
    site.duties.faults.down = False
    await wait_for_usage(site, {"club": 3})


@pytest.mark.parametrize("lost", ["before it is written down", "after it was written down"])
def test_the_loss_of_the_holder_loses_no_report(lost):
    @on_duty_site(gateways=3)
    async def play(site):
        holder = await wait_for_holder(site)
        others = [name for name in site.gateways if name != holder]
        site.duties.faults.down = lost.startswith("after")
        await send(site, 4, others[0])
        await send(site, 2, others[1], "key-2")
        if lost.startswith("after"):
            lease = site.gateways[holder].gateway._duties.lease
            await wait_until(lambda: any(item.counts for item in lease.lease.usage), "written down")
        else:
            # The other hosts have told their counts to those who would follow.
            await asyncio.sleep(1.2)
        site.gateways[holder].task.cancel()
        site.duties.faults.down = False
        await wait_for_usage(site, {"club": 4, "liaison": 2})

    play()


@on_duty_site()
async def test_what_all_hosts_counted_outlives_them_in_the_store(site):
    holder = await wait_for_holder(site)
    # No window ends while its counts are only drafted: they are written down as they stand.
    site.duties.faults.down = True
    await send(site, 4, holder)
    lease = site.gateways[holder].gateway._duties.lease

    def is_kept():
        held = lease.lease
        return held and any(item.counts for item in (*held.drafts, *held.usage))

    await wait_until(is_kept, "kept in the store")
    for running in site.gateways.values():
        running.task.cancel()
    site.duties.faults.down = False
    await site.add_gateway("g7", 7)
    await wait_for_usage(site, {"club": 4})


@on_duty_site(engines=3)
async def test_lasting_engines_go_as_reclaimable_ones_serve_in_their_place(site):
    least = [9]

    def settled():
        lasting, reclaimable = count_kinds(site)
        least[0] = min(least[0], lasting + reclaimable)
        return (lasting, reclaimable) == (3, 9)

    # Nine stood; without any one zone's reclaimable engines nine are left.
    await wait_until(settled, "three lasting and nine reclaimable engines")
    assert least[0] >= 9


@on_duty_site(engines=1)
async def test_what_is_still_being_listed_is_not_taken_for_what_stands(site):
    """A holder planned by the first 9 of 29 engines that were listed, and ordered all but 3 away.

    Engines list themselves one after another; the service had 3 engines when its load came, for 10
    seconds, and refused 8,171 of 17,847 arrivals.
    """
    await wait_for_holder(site)
    for number in range(1, 3):
        for zone in ("hall-a", "hall-b", "hall-c"):
            await asyncio.sleep(0.5)
            name = f"{zone}-{number}"
            await site.add_upstream(StandInEngine(name, "model", zone, "prefill"))
    await wait_until(lambda: count_kinds(site) == (3, 9), "settled by all nine")
    first = next(call for call in site.duties.calls if "/scale" in call.subject)
    assert first.body["spot"] is True


@on_duty_site(engines=2, gateways=3)
async def test_a_holder_that_is_lost_while_the_list_grows_leaves_no_half_need(site):
    """Orders that are made while the list still grows name what is listed by then.

    Found on reading: the next holder would have taken that for the need, and given up all engines
    that were listed later.
    """
    await wait_until(lambda: site.duties.calls, "the first order")
    holder = site.duties.calls[0].holder.partition("@")[0]
    site.gateways[holder].task.cancel()
    for zone in ("hall-a", "hall-b", "hall-c"):
        await site.add_upstream(StandInEngine(f"{zone}-2", "model", zone, "prefill"))
    # Nine stood; the need of the first six would end with six reclaimable ones.
    await wait_until(lambda: count_kinds(site) == (3, 9), "settled by all nine")


@on_duty_site(engines=3)
async def test_a_zone_that_is_reclaimed_is_ordered_again_until_it_can_be_had(site):
    await wait_until(lambda: count_kinds(site) == (3, 9), "settled")
    site.duties.reclaim("hall-b", 0.3)
    await wait_until(lambda: count_kinds(site) == (3, 6), "reclaimed")
    calls = len(site.duties.calls)
    await asyncio.sleep(4.0)
    # It is asked for some times, and nothing else changes meanwhile.
    orders = [call for call in site.duties.calls[calls:] if call.subject != "/usage"]
    assert 1 <= len(orders) <= 5
    assert {call.subject for call in orders} == {"/scale model hall-b"}
    site.duties.faults.dry_zones.clear()
    await wait_until(lambda: count_kinds(site) == (3, 9), "back")


@on_duty_site(engines=3, gateways=3)
async def test_a_new_holder_keeps_to_what_was_ordered(site):
    await wait_until(lambda: count_kinds(site) == (3, 9), "settled")
    holder = find_holder(site)
    site.gateways[holder].task.cancel()
    await wait_until(lambda: find_other(site, holder), "another holder")
    await asyncio.sleep(2.0)
    assert count_kinds(site) == (3, 9)


def find_other(site, former):
    return any(
        item.gateway._duties.lease.lease is not None
        for name, item in site.gateways.items()
        if name != former
    )


@on_duty_site(engines=3)
async def test_operators_see_what_stands_why_at_what_price_and_each_windows_usage(site):
    await wait_until(lambda: count_kinds(site) == (3, 9), "settled")
    await send(site, 2)
    await wait_for_usage(site, {"club": 2})
    await asyncio.sleep(1.0)
    running = site.gateways[find_holder(site)]
    answer = await ask(running.metrics_address, "/debug/state", "d1", method="GET")
    lines = list(describe_duties(orjson.loads(answer.body)["duties"]))
    assert lines[0] == "model: 9 needed without any one zone's reclaimable ones"
    # One lasting one at 1.0 and three reclaimable ones at 0.15 of it.
    planned = "1 lasting of 1 planned, 3 reclaimable of 3 planned, 1.45 a second"
    assert f"  hall-a: {planned}" in lines
    assert "  club: 2" in lines
    assert any("taken, 2 requests" in line for line in lines)
    page = (await ask(running.metrics_address, "/metrics", "m1", method="GET")).body.decode()
    for name in ("capacity_paid_total", "capacity_orders_total", "usage_reports_total"):
        assert f"swifttrestle_{name}" in page


@on_duty_site(gateways=0)
async def test_an_engine_that_is_taken_away_while_it_comes_up_never_serves(site):
    # The stand-in listed it as leaving before it had an address; a soak ended there.
    engine = StandInEngine("n1", "model", "hall-a", "prefill")
    engine.reclaimable = True
    site.upstreams["n1"] = engine
    site.duties.reclaim("hall-a", 0.1)
    assert "n1" not in site.upstreams
    await site.duties._bring_up(engine)
    assert "n1" not in site.upstreams
