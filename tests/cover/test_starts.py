"""Incarnations of one instance, which are identified by their start times.

A later incarnation must not inherit the state of an earlier one: its cached prompt parts, the open
requests that peers reported, its role, or its count of orders.
"""

import asyncio
import random
from dataclasses import replace

import pytest

from swifttrestle.internal.coordination.duties.role_orders import RoleOrders
from swifttrestle.internal.forward.gateway_state import GatewayState, RetryBudgets
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.fetching import list_sources
from swifttrestle.internal.protocol.listings import ListingChanges, pack_changes, unpack_changes
from swifttrestle.internal.state.declared import Role, UpstreamRecord
from swifttrestle.internal.state.fleet import NO_WORK, Fleet, OpenWork
from swifttrestle.internal.state.prompt_cache import PromptPart, SentPrompt
from swifttrestle.internal.state.store_epochs import StoreRevision
from swifttrestle.platform.engine import is_other_incarnation, read_cached_parts, read_report
from swifttrestle_standins.virtual_time import run_in_virtual_time

FIRST = UpstreamRecord("e", "s", ("10.0.0.1", 80), "a", 8, False, Role.PREFILL, born=1000)
LATER = replace(FIRST, born=2000)
PROMPT_PARTS = (PromptPart("m/p", 4000),)


@pytest.mark.parametrize(
    ("one", "other"),
    [
        (FIRST, LATER),
        (replace(FIRST, born=0), FIRST),
        (replace(FIRST, instance="e@1000", born=0), FIRST),
        (replace(FIRST, instance="e@1", born=0), replace(FIRST, instance="e", born=1)),
        (replace(FIRST, instance="e@", born=0), replace(FIRST, instance="e", born=0)),
        (replace(FIRST, instance="e@1", born=2), replace(FIRST, instance="e", born=2)),
    ],
)
def test_no_two_incarnations_share_a_name(one, other):
    assert one.start != other.start


def test_an_instance_without_a_start_time_is_identified_by_its_id():
    assert replace(FIRST, born=0).start == "e"


def build_fleet_with_state():
    """Return a fleet with state of every kind for one incarnation, and its instance."""
    fleet = Fleet()
    fleet.put(FIRST)
    start = FIRST.start
    fleet.note_prompt(SentPrompt(start, PROMPT_PARTS, read=True))
    fleet.note_peer("peer", {start: OpenWork(500, 2)}, now=0.0)
    fleet.note_ordered_role(start, Role.DECODE, ready_at=5.0)
    instance = fleet.instances[start]
    instance.own = OpenWork(100, 1)
    instance.refused_until = 9.0
    instance.update_read_rate(100_000, 1.0)
    return fleet, instance


def test_a_later_incarnation_inherits_no_state_of_the_earlier_one():
    fleet, former = build_fleet_with_state()
    assert list_sources([former], PROMPT_PARTS, ())
    assert fleet.put(LATER)
    current = fleet.find_current_incarnation("e")
    assert fleet.list_service("s") == [current]
    assert (current.total, current.role, current.refused_until) == (
        NO_WORK,
        Role.PREFILL,
        float("-inf"),
    )
    assert current.cache.count(PROMPT_PARTS) == 0
    assert former.replaced and former.leaving
    assert not list_sources([former, current], PROMPT_PARTS, ())


def test_reports_on_an_earlier_incarnation_change_nothing():
    fleet, _ = build_fleet_with_state()
    fleet.put(LATER)
    current = fleet.find_current_incarnation("e")
    fleet.note_prompt(SentPrompt(FIRST.start, PROMPT_PARTS, read=True))
    fleet.note_peer("peer", {FIRST.start: OpenWork(700, 3)}, now=1.0)
    fleet.note_ordered_role(FIRST.start, Role.DECODE, ready_at=6.0)
    roles = RoleOrders(fleet, lambda: 1.0)
    roles.apply_shared({FIRST.start: ("decode", 2.0)}, "peer")
    assert not fleet.put(replace(FIRST, leaving=True))
    assert fleet.find_current_incarnation("e") is current
    assert (current.total, current.role, current.leaving) == (NO_WORK, Role.PREFILL, False)
    assert current.cache.count(PROMPT_PARTS) == 0


def test_open_requests_of_peers_at_the_later_incarnation_are_counted():
    fleet, _ = build_fleet_with_state()
    fleet.put(LATER)
    fleet.note_peer("peer", {LATER.start: OpenWork(700, 3)}, now=1.0)
    assert fleet.find_current_incarnation("e").peers == OpenWork(700, 3)
    fleet.expire_peers(now=10.0)
    assert fleet.find_current_incarnation("e").peers == NO_WORK


def test_an_instance_without_a_start_time_keeps_its_state():
    fleet = Fleet()
    fleet.put(replace(FIRST, born=0))
    fleet.note_prompt(SentPrompt("e", PROMPT_PARTS, read=True))
    fleet.put(replace(FIRST, born=0, slots=9))
    assert fleet.find_current_incarnation("e").cache.count(PROMPT_PARTS) == 4000


def test_a_removed_instance_may_be_listed_again_with_any_start_time():
    fleet = Fleet()
    fleet.put(LATER)
    assert fleet.remove("e")
    assert not fleet.knows("e")
    assert fleet.put(FIRST)
    assert fleet.knows("e")


def test_open_streams_of_an_earlier_incarnation_are_aborted_after_a_delay_for_their_last_bytes():
    async def work():
        fleet = Fleet()
        budgets = RetryBudgets(0.2, 10, 10)
        state = GatewayState("a", fleet, budgets, Metrics(), random.Random(1))
        aborted = []
        state.pool.abort_all = aborted.append
        fleet.put(FIRST)
        fleet.put(LATER)
        await asyncio.sleep(0.2)
        assert aborted == []
        await asyncio.sleep(0.1)
        assert aborted == [FIRST.start]

    run_in_virtual_time(work())


def test_listing_changes_between_hosts_include_start_times():
    changes = ListingChanges(
        StoreRevision(0, 1), StoreRevision(0, 2), 0.0, (FIRST, LATER), ("gone",)
    )
    assert unpack_changes(pack_changes(changes)) == changes


@pytest.mark.parametrize(
    ("reported", "known", "other"),
    [(0, 0, False), (0, 5, False), (5, 0, False), (5, 5, False), (5, 6, True), (6, 5, True)],
)
def test_a_report_is_of_another_incarnation_only_if_both_start_times_are_known(
    reported, known, other
):
    assert is_other_incarnation(reported, known) is other


def test_reports_and_lists_of_cached_parts_include_the_start_time():
    report = b'{"phase":"decode","seq":3,"born":1000}'
    assert (read_report(report).born, read_report(report).orders_taken) == (1000, 3)
    assert read_cached_parts(b'{"held":[["","p",7,"m"]],"born":1000}').born == 1000
