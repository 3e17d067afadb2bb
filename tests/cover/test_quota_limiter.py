"""All hosts together keep to a workspace's quota, and use it, while hosts and datagrams fail."""

import asyncio
import random
from dataclasses import replace

import pytest

from swifttrestle.internal import event_log
from swifttrestle.internal.coordination.quotas.counted_pool import (
    ROUND_MARGIN_SECONDS,
    CountedPool,
)
from swifttrestle.internal.coordination.quotas.hosts import QuotaHosts
from swifttrestle.internal.coordination.quotas.limiter import REFRESH_SECONDS
from swifttrestle.internal.coordination.quotas.rounds import (
    MAX_REPLY_AGE_SECONDS,
    CollectionRounds,
)
from swifttrestle.internal.coordination.quotas.shares import QuotaShares
from swifttrestle.internal.forward.quotas import Admission
from swifttrestle.internal.policy.quotas import (
    COLLECTION_SECONDS,
    JOIN_SECONDS,
    QuotaTerms,
    find_terms,
)
from swifttrestle.internal.protocol.quotas import CollectReply, CollectRequest
from swifttrestle.internal.state.declared import Quota, QuotaTolerance, QuotaUnit
from swifttrestle.internal.state.members import Member
from tests.common.quota_fleet import (
    DETECTION_SECONDS,
    MAX_COST,
    NAME,
    RATE,
    REJOIN_SECONDS,
    TOLERANCE,
    Fleet,
    run_fleet,
)

# The load fills all accounts at first, and then exceeds the quota.
QUIET_SECONDS, QUIET_DEMAND = 14.0, 0.4
BUSY_SECONDS, BUSY_DEMAND = 26.0, 4.0
# A large workspace of deployment A.
LARGE_RATE = 279_715.0


async def lose_datagrams(fleet):
    fleet.lost_share = 0.2


async def duplicate_datagrams(fleet):
    fleet.duplicated_share = 0.5


async def delay_datagrams(fleet):
    fleet.late_share = fleet.duplicated_share = 0.3


async def lose_and_delay_datagrams(fleet):
    fleet.lost_share = fleet.late_share = fleet.duplicated_share = 0.2


async def kill_the_counter(fleet):
    await asyncio.sleep(QUIET_SECONDS + 1)
    fleet.kill(fleet.find_counters()[0])


async def kill_both_counters(fleet):
    await asyncio.sleep(QUIET_SECONDS + 1)
    for name in fleet.find_counters():
        fleet.kill(name)


async def replace_the_counter(fleet):
    await asyncio.sleep(QUIET_SECONDS)
    counter = fleet.find_counters()[0]
    member = fleet.hosts[counter].member
    fleet.kill(counter)
    await asyncio.sleep(1)
    fleet.start_host(member)
    fleet.update_members()


async def suspend_the_counter(fleet, seconds=(0.5, 1.9, 4, 0.2)):
    await asyncio.sleep(QUIET_SECONDS - 3)
    counter = fleet.find_counters()[0]
    for length in seconds:
        fleet.suspend(counter)
        await asyncio.sleep(length)
        fleet.resume(counter)
        await asyncio.sleep(1)


async def suspend_half_of_the_hosts(fleet):
    await asyncio.sleep(QUIET_SECONDS)
    names = list(fleet.hosts)[::2]
    for name in names:
        fleet.suspend(name)
    await asyncio.sleep(6)
    for name in names:
        fleet.resume(name)


async def partition_into_halves(fleet):
    await asyncio.sleep(QUIET_SECONDS - 6)
    names = list(fleet.hosts)
    fleet.partition(names[: len(names) // 2])
    await asyncio.sleep(14)
    fleet.partition(())


async def isolate_a_host(fleet):
    await asyncio.sleep(QUIET_SECONDS - 6)
    isolated = fleet.hosts[fleet.find_counters()[0]]
    isolated.reaches_store = False
    fleet.partition([isolated.member.host])
    await asyncio.sleep(14)
    isolated.reaches_store = True
    fleet.partition(())


async def disagree_about_the_counter(fleet):
    """Have each half of the hosts see only itself, although datagrams pass."""
    await asyncio.sleep(QUIET_SECONDS - 6)
    names = list(fleet.hosts)
    fleet.partition(names[: len(names) // 2])
    await asyncio.sleep(4)
    fleet.cut = frozenset()


async def kill_all(fleet):
    await asyncio.sleep(QUIET_SECONDS)
    members = [item.member for item in fleet.hosts.values()]
    for member in members:
        fleet.kill(member.host)
    await asyncio.sleep(0.5)
    for member in members:
        fleet.start_host(member)
    fleet.update_members()


async def fail_at_random(fleet):
    """Start or end some fault each second."""
    rng = random.Random(fleet.seed)
    killed = []
    for _ in range(int(QUIET_SECONDS + BUSY_SECONDS) - 2):
        await asyncio.sleep(1)
        name = rng.choice(list(fleet.hosts))
        match rng.choice(["suspend", "resume", "kill", "start", "cut", "heal", "lose", "deliver"]):
            case "suspend" if len(fleet.suspended) < 3:
                fleet.suspend(name)
            case "resume" if fleet.suspended:
                fleet.resume(rng.choice(sorted(fleet.suspended)))
            case "kill" if name not in fleet.suspended and len(killed) < 3:
                killed.append(fleet.hosts[name].member)
                fleet.kill(name)
            case "start" if killed:
                fleet.start_host(killed.pop())
                fleet.update_members_later(REJOIN_SECONDS)
            case "cut":
                fleet.partition(rng.sample(list(fleet.hosts), rng.randrange(len(fleet.hosts))))
            case "heal":
                fleet.partition(())
            case "lose":
                fleet.lost_share, fleet.late_share, fleet.duplicated_share = 0.1, 0.1, 0.1
            case "deliver":
                fleet.lost_share = fleet.late_share = fleet.duplicated_share = 0.0


async def no_fault(fleet):
    """Change nothing."""


FAULTS = [
    no_fault,
    lose_datagrams,
    duplicate_datagrams,
    delay_datagrams,
    lose_and_delay_datagrams,
    kill_the_counter,
    kill_both_counters,
    replace_the_counter,
    suspend_the_counter,
    suspend_half_of_the_hosts,
    partition_into_halves,
    isolate_a_host,
    disagree_about_the_counter,
    kill_all,
    fail_at_random,
]


async def run_fault(fault, hosts, seed, quiet_demand=QUIET_DEMAND):
    fleet = Fleet(hosts, seed)
    trouble = asyncio.ensure_future(fault(fleet))
    await fleet.offer(quiet_demand, QUIET_SECONDS)
    await fleet.offer(BUSY_DEMAND, BUSY_SECONDS)
    await trouble
    await asyncio.sleep(1)
    return fleet


each_fault = pytest.mark.parametrize("fault", FAULTS, ids=[item.__name__ for item in FAULTS])


@pytest.mark.parametrize("hosts", [8, 58])
@each_fault
def test_no_window_exceeds_the_quota_while_hosts_and_datagrams_fail(fault, hosts):
    fleet = run_fleet(run_fault(fault, hosts, seed=1))
    assert fleet.find_worst_window() <= fleet.find_bound()


@each_fault
def test_no_unit_is_granted_twice(fault):
    # Guards against units that a late, repeated or lost datagram creates. All hosts have accrued
    # from their start on, and at most two counters, or hosts by chance, are one request ahead.
    fleet = run_fleet(run_fault(fault, 8, seed=2, quiet_demand=BUSY_DEMAND))
    accrued = RATE * (QUIET_SECONDS + BUSY_SECONDS)
    granted = sum(cost for _, cost in fleet.granted)
    assert granted <= accrued + 2 * MAX_COST


# How much of a quota is used and refused.


async def run_steadily(fleet, demand, seconds):
    await asyncio.sleep(JOIN_SECONDS + 2)
    since = fleet.now()
    await fleet.offer(demand, seconds)
    await asyncio.sleep(1)
    return since


@pytest.mark.parametrize("rate", [RATE, LARGE_RATE])
@pytest.mark.parametrize("hosts", [1, 8, 58, 195])
def test_nine_tenths_of_a_quota_are_used_while_demand_exceeds_it(hosts, rate):
    async def run():
        fleet = Fleet(hosts, 3, rate)
        since = await run_steadily(fleet, 3.0, 20.0)
        # What the accounts held at first does not count.
        return fleet, fleet.count_granted(since + 4, since + 20)

    fleet, used = run_fleet(run())
    assert 0.9 * rate * 16 <= used
    assert fleet.find_worst_window() <= fleet.find_bound()


def test_nine_tenths_of_a_quota_are_used_while_some_datagrams_are_lost():
    async def run():
        fleet = Fleet(58, 3)
        fleet.lost_share = 0.02
        since = await run_steadily(fleet, 3.0, 40.0)
        return fleet.count_granted(since + 4, since + 40)

    assert run_fleet(run()) >= 0.9 * RATE * 36


@pytest.mark.parametrize("rate", [RATE, LARGE_RATE])
@pytest.mark.parametrize("hosts", [1, 8, 58, 195])
def test_few_requests_are_refused_while_demand_is_half_of_the_quota(hosts, rate):
    async def run():
        fleet = Fleet(hosts, 4, rate)
        await run_steadily(fleet, 0.55, 200.0 if rate == RATE else 40.0)
        return fleet

    fleet = run_fleet(run())
    check_few_refused(fleet)


def check_few_refused(fleet, since=0.0):
    """Check that under 2 in 100 requests, also of the largest tenth, were refused."""
    granted = sorted(cost for at, cost in fleet.granted if at >= since)
    refused = sorted(cost for at, cost in fleet.refused if at >= since)
    total = len(granted) + len(refused)
    assert total > 20
    large = sorted(granted + refused)[-(total // 10)]
    large_refused = [cost for cost in refused if cost >= large]
    large_total = len([cost for cost in granted if cost >= large]) + len(large_refused)
    assert len(refused) < 0.02 * total
    # One of few may be refused by chance.
    assert len(large_refused) <= max(1, 0.02 * large_total)


async def start_a_host(fleet):
    member = Member("h9", "10.0.9.9", "z1", 100.0)
    fleet.start_host(member)
    fleet.update_members()


async def kill_a_counter(fleet):
    fleet.kill(fleet.find_counters()[0])


async def suspend_a_counter(fleet):
    fleet.suspend(fleet.find_counters()[0])


async def raise_the_quota(fleet):
    fleet.set_quota(replace(fleet.quota, rate=4 * LARGE_RATE, burst=4 * LARGE_RATE))


@pytest.mark.parametrize(
    "change", [start_a_host, kill_a_counter, suspend_a_counter, raise_the_quota]
)
def test_few_requests_within_the_quota_are_refused_after_a_change(change):
    async def run():
        fleet = Fleet(8, 5, LARGE_RATE)
        await run_steadily(fleet, 0.55, 10.0)
        changed_at = fleet.now()
        await change(fleet)
        await fleet.offer(0.55, 30.0)
        return fleet, changed_at

    fleet, changed_at = run_fleet(run())
    check_few_refused(fleet, changed_at)


def test_a_host_that_just_started_admits_requests():
    async def run():
        fleet = Fleet(8, 5)
        await asyncio.sleep(JOIN_SECONDS + 2)
        await start_a_host(fleet)
        admissions = [await fleet.hosts["h9"].admit(17_000) for _ in range(3)]
        return fleet.find_counters()[0], admissions

    counter, admissions = run_fleet(run())
    assert all(item.is_granted for item in admissions)
    assert {item.decided_by for item in admissions} == {counter}


# Changed quotas.


def test_a_quota_lowered_at_some_hosts_first_binds_after_all_have_it():
    async def run():
        fleet = Fleet(8, 6)
        await fleet.offer(0.4, 10.0)
        lowered = replace(fleet.quota, rate=RATE / 4, burst=RATE / 4)
        fleet.set_quota(lowered, list(fleet.hosts)[:4])
        await fleet.offer(4.0, 8.0)
        fleet.set_quota(lowered)
        # The platform allows CONFIG_APPLY_SECONDS for this; the accounts are cut at once.
        since = fleet.now()
        await fleet.offer(12.0, 20.0)
        return fleet, since

    fleet, since = run_fleet(run())
    assert fleet.find_worst_window(since) <= fleet.find_bound()


def test_a_lowered_quota_cuts_what_the_accounts_hold():
    async def run():
        fleet = Fleet(1, 6)
        await asyncio.sleep(JOIN_SECONDS + 10)
        host = fleet.hosts["h0"]
        await host.admit(1_400)
        await asyncio.sleep(0.3)
        fleet.set_quota(replace(fleet.quota, rate=RATE / 100, burst=RATE / 100))
        capacity = find_terms(fleet.quota, TOLERANCE).capacity
        await asyncio.sleep(REFRESH_SECONDS)
        described = host.limiter.describe(fleet.now())[NAME]
        return capacity, described

    capacity, described = run_fleet(run())
    assert described["capacity"] == capacity
    assert described["pool"] <= capacity
    assert described["share"] <= capacity


def test_a_workspace_whose_quota_is_taken_away_keeps_no_account_and_sends_nothing():
    async def run():
        fleet = Fleet(8, 7)
        await fleet.offer(3.0, 10.0)
        fleet.set_quota(None)
        await asyncio.sleep(2 * REFRESH_SECONDS)
        fleet.refused.clear()
        fleet.sent = 0
        admissions = [await host.admit(90_000) for host in fleet.hosts.values()]
        await asyncio.sleep(10.0)
        return fleet, admissions

    fleet, admissions = run_fleet(run())
    assert admissions == [Admission()] * 8
    assert fleet.sent == 0
    for host in fleet.hosts.values():
        assert host.limiter.describe(0.0) == {}
        assert not host.limiter._shares._shares
        assert not host.limiter._pools._pools


def test_without_a_quota_there_is_no_message_and_no_account():
    async def run():
        fleet = Fleet(8, 7)
        fleet.set_quota(None)
        for host in fleet.hosts.values():
            for _ in range(5):
                assert await host.admit(90_000) == Admission()
        await asyncio.sleep(10.0)
        return fleet

    fleet = run_fleet(run())
    assert fleet.sent == 0
    for host in fleet.hosts.values():
        assert not host.limiter._shares._shares
        assert not host.limiter._pools._pools
        assert host.metrics.snapshot() == {}


def test_a_quota_that_is_taken_away_and_given_again_starts_with_empty_accounts():
    # Accounts that accrue the same time twice would grant twice the quota.
    async def run():
        fleet = Fleet(1, 8)
        await asyncio.sleep(JOIN_SECONDS + 10)
        host, quota = fleet.hosts["h0"], fleet.quota
        assert (await host.admit(17_000)).is_granted
        fleet.set_quota(None)
        await asyncio.sleep(2 * REFRESH_SECONDS)
        fleet.set_quota(quota)
        return await host.admit(90_000)

    admission = run_fleet(run())
    assert not admission.is_granted


def test_another_unit_of_a_quota_empties_its_accounts():
    async def run():
        fleet = Fleet(1, 8)
        await asyncio.sleep(JOIN_SECONDS + 10)
        host = fleet.hosts["h0"]
        assert (await host.admit(17_000)).is_granted
        fleet.set_quota(Quota(100.0, 100.0, QuotaUnit.REQUESTS))
        await host.admit(1)
        return host.limiter.describe(fleet.now())[NAME]

    described = run_fleet(run())
    assert described["share"] + described["pool"] < 2


# One request.


async def start_fleet(hosts=8, seed=9):
    """Return hosts whose shares have accrued, and one of them that is not a counter."""
    fleet = Fleet(hosts, seed)
    await asyncio.sleep(JOIN_SECONDS + 10)
    counters = fleet.find_counters()
    return fleet, next(host for name, host in fleet.hosts.items() if name not in counters)


def count_pool(fleet, name):
    return fleet.hosts[name].limiter._pools.count_units(NAME, fleet.now())


def list_charges(fleet, name):
    """Return what a counter has charged and may take back."""
    return [item.cost for item in fleet.hosts[name].limiter._counter._charges.values()]


def test_a_counter_decides_on_its_own_requests_without_a_query():
    async def run():
        fleet, _ = await start_fleet()
        host = fleet.hosts[fleet.find_counters()[0]]
        admission = await host.admit(17_000)
        # Its collection and the replies are all that is sent.
        await asyncio.sleep(0.05)
        return fleet, host, admission, fleet.sent

    fleet, host, admission, sent = run_fleet(run())
    assert admission.is_granted
    assert admission.decided_by == host.member.host
    assert sent == 2 * (len(fleet.hosts) - 1)


def test_a_refused_request_is_told_when_it_fits():
    async def run():
        fleet, host = await start_fleet()
        while (admission := await host.admit(50_000)).is_granted:
            pass
        await asyncio.sleep(admission.seconds)
        return admission, await host.admit(50_000)

    refused, retried = run_fleet(run())
    assert refused.missing > 0
    assert refused.receipt is None
    # The pool grows only at the next round.
    latest = refused.missing / RATE + COLLECTION_SECONDS + ROUND_MARGIN_SECONDS
    assert refused.missing / RATE * 0.99 <= refused.seconds <= latest
    assert retried.is_granted


def test_a_repeated_query_is_charged_once():
    async def run():
        fleet, host = await start_fleet()
        fleet.duplicated_share = 1.0
        await host.admit(17_000)
        await asyncio.sleep(0.02)
        counter = fleet.find_counters()[0]
        units = count_pool(fleet, counter)
        await host.admit(17_000)
        await asyncio.sleep(0.02)
        return units - count_pool(fleet, counter)

    assert run_fleet(run()) == 17_000


def test_a_charge_is_given_back_once():
    async def run():
        fleet, host = await start_fleet()
        fleet.duplicated_share = 1.0
        counter = fleet.find_counters()[0]
        await host.admit(17_000)
        admission = await host.admit(30_000)
        charged = count_pool(fleet, counter)
        for _ in range(3):
            host.limiter.give_back(host.workspace, admission)
        await asyncio.sleep(0.02)
        return count_pool(fleet, counter) - charged

    assert run_fleet(run()) == 30_000


def test_a_counter_takes_its_own_charge_back_once():
    async def run():
        fleet, _ = await start_fleet()
        host = fleet.hosts[fleet.find_counters()[0]]
        await host.admit(17_000)
        admission = await host.admit(30_000)
        charged = count_pool(fleet, host.member.host)
        for _ in range(3):
            host.limiter.give_back(host.workspace, admission)
        return count_pool(fleet, host.member.host) - charged

    assert run_fleet(run()) == 30_000


def test_a_lost_return_changes_nothing():
    async def run():
        fleet, host = await start_fleet()
        admission = await host.admit(30_000)
        fleet.lost_share = 1.0
        host.limiter.give_back(host.workspace, admission)
        await asyncio.sleep(0.02)
        return list_charges(fleet, fleet.find_counters()[0])

    assert run_fleet(run()) == [30_000]


@pytest.mark.parametrize("admission", [Admission(), Admission(1.0, 5, "h1")])
def test_nothing_is_given_back_for_a_request_that_was_not_charged(admission):
    async def run():
        fleet, host = await start_fleet()
        host.limiter.give_back(host.workspace, admission)
        return fleet.sent

    assert run_fleet(run()) == 0


def test_a_charge_whose_reply_comes_too_late_is_given_back():
    async def run():
        fleet, host = await start_fleet()
        first, second = fleet.find_counters()
        await host.admit(1_400)
        await asyncio.sleep(1)
        # The first counter replies when it resumes.
        fleet.suspend(first)
        admission = await host.admit(30_000)
        await asyncio.sleep(0.2)
        fleet.resume(first)
        await asyncio.sleep(0.02)
        kept = [*list_charges(fleet, first), *list_charges(fleet, second)]
        return admission, second, kept

    admission, second, kept = run_fleet(run())
    assert admission.is_granted
    assert admission.decided_by == second
    assert kept == [1_400, 30_000]


def test_a_request_whose_caller_goes_while_it_waits_for_a_round_is_not_charged():
    async def run():
        fleet, _ = await start_fleet()
        host = fleet.hosts[fleet.find_counters()[0]]
        request = host.start(host.limiter.admit(host.workspace, 17_000))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        waiting = len(host.limiter._pools._pools[NAME]._waiting)
        request.cancel()
        await asyncio.sleep(0.1)
        return waiting, count_pool(fleet, host.member.host)

    waiting, units = run_fleet(run())
    assert waiting == 1
    assert units == pytest.approx(find_terms(Quota(RATE, RATE), TOLERANCE).capacity, abs=8)


def test_a_request_larger_than_the_capacity_is_admitted_and_paid_by_later_ones():
    # It fits a full pool only: one that lacks a little has to be filled up for it.
    async def run():
        fleet, host = await start_fleet()
        await host.admit(500)
        await asyncio.sleep(0.3)
        admission = await host.admit(200_000)
        await asyncio.sleep(0.05)
        debt = count_pool(fleet, fleet.find_counters()[0])
        refused = await host.admit(1_400)
        # The debt is paid although there are no requests.
        await asyncio.sleep(5)
        return admission, debt, refused, count_pool(fleet, fleet.find_counters()[0])

    admission, debt, refused, units = run_fleet(run())
    assert admission.is_granted
    assert debt < 0
    assert not refused.is_granted
    assert refused.missing > 1_400
    latest = refused.missing / RATE + COLLECTION_SECONDS + ROUND_MARGIN_SECONDS
    assert refused.missing / RATE * 0.99 <= refused.seconds <= latest
    assert units > 50_000


@pytest.mark.parametrize("as_counter", [False, True])
def test_a_request_that_states_more_tokens_than_a_datagram_carries_is_decided(as_counter):
    async def run():
        fleet, host = await start_fleet()
        if as_counter:
            host = fleet.hosts[fleet.find_counters()[0]]
        return [await host.admit(2**70) for _ in range(2)]

    first, second = run_fleet(run())
    assert first.is_granted
    assert not second.is_granted
    assert second.missing > 0


@pytest.mark.parametrize("hosts", [8, 195])
def test_a_small_quota_of_requests_is_used_also_in_a_large_fleet(hosts):
    # Each host's part of it never reaches a whole request.
    async def run():
        fleet = Fleet(hosts, 10)
        host = next(iter(fleet.hosts.values()))
        fleet.set_quota(Quota(20.0, 20.0, QuotaUnit.REQUESTS), tolerance=QuotaTolerance())
        await asyncio.sleep(JOIN_SECONDS + 10)
        granted = 0
        until = fleet.now() + 20
        while fleet.now() < until:
            granted += (await host.admit(1)).is_granted
            await asyncio.sleep(0.01)
        return granted

    assert 0.9 * 20 * 20 <= run_fleet(run()) <= 20 * 20 + 20


def test_a_large_request_is_not_overtaken_while_it_waits_for_a_round():
    # Otherwise small requests would take all that is collected, and large ones were never served.
    async def run():
        fleet, _ = await start_fleet()
        host = fleet.hosts[fleet.find_counters()[0]]
        capacity = int(find_terms(fleet.quota, TOLERANCE).capacity)
        costs = (capacity * 4 // 5, capacity * 2 // 5)
        requests = [host.limiter._pools.submit(NAME, cost) for cost in costs]
        decisions = await asyncio.gather(*requests)
        return [item.seconds <= 0 for item in decisions]

    assert run_fleet(run()) == [True, False]


# Collections.


def make_rounds(sent, hosts=3):
    members = [Member(f"h{n}", f"10.0.0.{n}", "a", 1.0) for n in range(hosts)]
    known = QuotaHosts(lambda: members, lambda: True)
    return CollectionRounds("h0", known, lambda ips, message: sent.append((ips, message)), 5)


@pytest.mark.parametrize(
    ("replies", "accepted"),
    [
        ([(5, "10.0.0.1", 0.01), (5, "10.0.0.2", 0.01)], [True, True]),
        ([(5, "10.0.0.1", 0.01), (5, "10.0.0.1", 0.02)], [True, False]),
        ([(5, "10.0.0.1", MAX_REPLY_AGE_SECONDS + 0.01)], [False]),
        ([(5, "10.0.0.9", 0.01)], [False]),
        ([(5, "10.0.0.0", 0.01)], [False]),
        ([(6, "10.0.0.1", 0.01)], [False]),
    ],
    ids=["each host", "repeated", "late", "unknown host", "own", "unknown round"],
)
def test_a_reply_to_a_round_counts_once_for_each_host(replies, accepted):
    sent = []
    rounds = make_rounds(sent)
    rounds.start([("w1", 7)], 0.0)
    assert sent == [(["10.0.0.1", "10.0.0.2"], CollectRequest(5, (("w1", 7),)))]
    results = [rounds.accept(CollectReply(number), ip, at) for number, ip, at in replies]
    assert [item is not None for item in results] == accepted


def test_a_reply_to_an_earlier_round_counts_beside_one_to_a_later_round():
    rounds = make_rounds([])
    rounds.start([("w1", 7)], 0.0)
    rounds.start([("w1", 7)], 0.25)
    assert rounds.accept(CollectReply(6), "10.0.0.1", 0.26) is not None
    assert rounds.accept(CollectReply(5), "10.0.0.1", 0.27) is not None
    assert rounds.accept(CollectReply(5), "10.0.0.1", 0.28) is None


def test_a_repeated_collection_is_answered_once():
    # The reply to the repetition would have no units, and may arrive first.
    hosts = QuotaHosts(lambda: [Member("h0", "10.0.0.0", "a")], lambda: True)
    shares = QuotaShares(hosts, lambda name: QuotaTerms(100.0, 1000.0))
    shares.start(0.0)
    request = CollectRequest(5, (("w1", 350),))
    assert shares.answer(request, "10.0.0.1", 5.0) == CollectReply(5, (("w1", 350),))
    assert shares.answer(request, "10.0.0.1", 5.0) is None
    # Another counter gets the rest.
    assert shares.answer(request, "10.0.0.2", 5.0) == CollectReply(5, (("w1", 150),))


def test_a_host_hands_over_nothing_until_it_knows_the_others_and_then_what_it_has_accrued():
    """Guards against refusing all requests for seconds after all hosts were killed."""
    hosts = QuotaHosts(lambda: [Member("h0", "10.0.0.0", "a")], lambda: True)
    shares = QuotaShares(hosts, lambda name: QuotaTerms(100.0, 1000.0))
    shares.start(0.0)
    assert shares.count_units("w1", JOIN_SECONDS - 0.01) == 0
    assert shares.count_units("w1", JOIN_SECONDS) == pytest.approx(100 * JOIN_SECONDS)


def test_requests_are_served_again_as_soon_as_killed_hosts_know_each_other():
    async def run():
        fleet = Fleet(8, 3)
        await kill_all(fleet)
        await asyncio.sleep(JOIN_SECONDS + 0.05)
        host = next(iter(fleet.hosts.values()))
        return [(await host.admit(5_000)).is_granted for _ in range(8)]

    # The hosts have accrued a second of the rate since their start.
    assert all(run_fleet(run()))


def test_while_the_shares_are_empty_a_round_is_sent_at_most_each_quarter_of_a_second():
    async def run():
        fleet, _ = await start_fleet()
        host = fleet.hosts[fleet.find_counters()[0]]
        await admit_for(fleet, host, 1.0)
        fleet.sent = 0
        await admit_for(fleet, host, 10.0)
        return fleet.sent / (2 * 7)

    assert run_fleet(run()) <= 10 / COLLECTION_SECONDS + 1


async def admit_for(fleet, host, seconds):
    until = fleet.now() + seconds
    while fleet.now() < until:
        await host.admit(17_000)
        await asyncio.sleep(0.01)


def test_the_pools_on_both_sides_of_a_partition_hold_no_more_than_one():
    async def run():
        fleet, _ = await start_fleet()
        names = list(fleet.hosts)
        fleet.partition(names[:4])
        await asyncio.sleep(DETECTION_SECONDS + 1)
        for name in names:
            await fleet.hosts[name].admit(1_400)
        await asyncio.sleep(5)
        return fleet, [count_pool(fleet, name) for name in names]

    fleet, pools = run_fleet(run())
    held = [units for units in pools if units is not None]
    capacity = find_terms(fleet.quota, TOLERANCE).capacity
    assert len(held) == 2
    assert 0.9 * capacity <= sum(held) <= capacity


def test_a_second_counter_keeps_its_pool_only_while_it_is_asked():
    # What both counters hold may be granted at once.
    async def run():
        fleet, _ = await start_fleet()
        first, second = fleet.find_counters()
        for name in (first, second):
            await fleet.hosts[name].start(ask_pool(fleet.hosts[name]))
        held = [count_pool(fleet, name) for name in (first, second)]
        await asyncio.sleep(5)
        return held, [count_pool(fleet, name) for name in (first, second)]

    held, kept = run_fleet(run())
    assert min(held) > 0
    assert kept[0] > 0
    assert kept[1] is None


async def ask_pool(host):
    decision = await host.limiter._pools.submit(NAME, 1_400)
    assert decision.seconds <= 0


def test_a_pool_in_debt_is_kept_until_the_debt_is_paid():
    terms = QuotaTerms(100.0, 1000.0)

    async def run():
        counted = CountedPool(NAME, terms)
        counted.begin_round(1, 0.0)
        counted.collect(1000.0, 0.0)
        counted.submit(5000, asyncio.get_running_loop().create_future(), 0.0)
        in_use = [counted.is_in_use(2.0, 500.0)]
        counted.collect(4000.0, 500.0)
        return [*in_use, counted.is_in_use(2.0, 500.0)]

    assert run_fleet(run()) == [True, False]


# Hosts.


def make_members(*names):
    return tuple(Member(name, f"ip of {name}", "a", 1.0) for name in names)


@pytest.mark.parametrize(
    ("seconds", "store_from", "count"),
    [(0, 0, 3), (59, 0, 3), (61, 0, 1), (500, 500, 3), (500, 445, 3), (500, 435, 1)],
    ids=["at once", "held", "gone", "isolated", "just back", "back for long"],
)
def test_a_lost_host_keeps_its_share_for_a_minute_in_which_the_store_is_reached(
    seconds, store_from, count
):
    now = 0.0
    members = make_members("h0", "h1", "h2")
    hosts = QuotaHosts(lambda: members, lambda: now >= store_from)
    assert hosts.count(now) == 3
    members = make_members("h0")
    for now in map(float, range(seconds + 1)):
        hosts.refresh(now)
    assert hosts.count(now) == count
    assert hosts.find_live_share(now) == 1 / count


def test_a_host_that_returns_is_counted_once():
    members = make_members("h0", "h1")
    hosts = QuotaHosts(lambda: members, lambda: True)
    hosts.refresh(0.0)
    members = make_members("h0")
    assert hosts.count(1.0) == 2
    members = make_members("h0", "h1")
    assert hosts.count(2.0) == 2
    members = make_members("h0", "h1", "h2")
    assert hosts.count(100.0) == 3


def test_members_of_a_small_part_of_the_fleet_decide_from_their_shares():
    # Each isolated host would else fill a pool of its own, or let each request pass into debt.
    async def run():
        fleet, host = await start_fleet(hosts=8)
        host.reaches_store = False
        fleet.partition([host.member.host])
        await asyncio.sleep(10)
        admissions = [await host.admit(1_400) for _ in range(100)]
        return fleet, host, admissions

    fleet, host, admissions = run_fleet(run())
    assert {item.decided_by for item in admissions} == {host.member.host}
    granted = sum(item.is_granted for item in admissions)
    assert 0 < 1_400 * granted <= find_terms(fleet.quota, TOLERANCE).capacity / 8 + 1_400
    assert host.metrics.snapshot()["quota_decisions_total{by=share}"] == 100


# What operators see.


def test_metrics_count_what_this_host_admitted_and_refused():
    async def run():
        fleet, host = await start_fleet()
        while (await host.admit(50_000)).is_granted:
            pass
        counter = fleet.hosts[fleet.find_counters()[0]]
        return host, counter, fleet.now()

    host, counter, now = run_fleet(run())
    admitted = host.metrics.snapshot()["quota_admitted_tokens_total{workspace=w1}"]
    assert admitted >= 50_000
    assert host.metrics.snapshot()["quota_refused_total{workspace=w1}"] == 1
    assert host.metrics.snapshot()["quota_decisions_total{by=first}"] == admitted / 50_000 + 1
    described = host.limiter.describe(now)[NAME]
    assert described["admitted"] == admitted
    assert described["refused"] == 50_000
    assert described["pool"] is None
    assert described["counters"][0] == counter.member.host
    assert host.limiter.describe(now + 20)[NAME]["admitted"] == 0
    assert counter.limiter.describe(now)[NAME]["pool"] < 50_000
    assert 0 <= counter.limiter.describe(now)[NAME]["collection_age"] < 1


@pytest.mark.parametrize(
    ("event", "maximum"), [("quota counter silent", 8 * 5), ("quota counter", 2 * 2)]
)
def test_the_loss_of_a_counter_is_logged_and_not_for_each_request(monkeypatch, event, maximum):
    lines = []
    monkeypatch.setattr(event_log.WRITER, "put", lambda name, fields: lines.append(name))

    async def run():
        fleet = Fleet(8, 1, 10 * RATE)
        await asyncio.sleep(JOIN_SECONDS + 2)
        await fleet.offer(3.0, 4.0)
        await kill_a_counter(fleet)
        await fleet.offer(3.0, 10.0)

    run_fleet(run())
    assert 2 <= lines.count(event) <= maximum
