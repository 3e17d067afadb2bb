"""Starts of one instance, told apart by when each began.

An engine that was started again under its id was taken for the one before: parts of prompts that it
was believed to keep were fetched from it, work that peers had told of stayed open there, and its
count of orders went on. Each of these is ended by a later start, and comes back from nobody.
"""

import asyncio
import random
from dataclasses import replace

import pytest

from swifttrestle.internal.coordination.role_orders import RoleOrders
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
PARTS = (PromptPart("m/p", 4000),)


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
def test_no_two_starts_share_a_name(one, other):
    assert one.start != other.start


def test_an_instance_that_tells_no_start_goes_by_its_id():
    assert replace(FIRST, born=0).start == "e"


def believe_everything():
    """Return a fleet in which all that can be believed of one start is."""
    fleet = Fleet()
    fleet.put(FIRST)
    start = FIRST.start
    fleet.note_prompt(SentPrompt(start, PARTS, read=True))
    fleet.note_peer("peer", {start: OpenWork(500, 2)}, now=0.0)
    fleet.note_ordered_role(start, Role.DECODE, ready_at=5.0)
    instance = fleet.instances[start]
    instance.own = OpenWork(100, 1)
    instance.refused_until = 9.0
    instance.update_read_rate(100_000, 1.0)
    return fleet, instance


def test_a_later_start_ends_all_that_was_believed_of_the_one_before():
    fleet, former = believe_everything()
    assert list_sources([former], PARTS, ())
    assert fleet.put(LATER)
    now = fleet.find_start("e")
    assert fleet.list_service("s") == [now]
    assert (now.total, now.role, now.refused_until) == (NO_WORK, Role.PREFILL, float("-inf"))
    assert now.cache.count(PARTS) == 0
    assert former.replaced and former.leaving
    assert not list_sources([former, now], PARTS, ())


def test_words_of_the_former_start_change_nothing():
    fleet, _ = believe_everything()
    fleet.put(LATER)
    now = fleet.find_start("e")
    fleet.note_prompt(SentPrompt(FIRST.start, PARTS, read=True))
    fleet.note_peer("peer", {FIRST.start: OpenWork(700, 3)}, now=1.0)
    fleet.note_ordered_role(FIRST.start, Role.DECODE, ready_at=6.0)
    roles = RoleOrders(fleet, lambda: 1.0)
    roles.take({FIRST.start: ("decode", 2.0)}, "peer")
    assert not fleet.put(replace(FIRST, leaving=True))
    assert fleet.find_start("e") is now
    assert (now.total, now.role, now.leaving) == (NO_WORK, Role.PREFILL, False)
    assert now.cache.count(PARTS) == 0


def test_what_peers_open_at_the_later_start_counts_there():
    fleet, _ = believe_everything()
    fleet.put(LATER)
    fleet.note_peer("peer", {LATER.start: OpenWork(700, 3)}, now=1.0)
    assert fleet.find_start("e").peers == OpenWork(700, 3)
    fleet.expire_peers(now=10.0)
    assert fleet.find_start("e").peers == NO_WORK


def test_an_instance_that_tells_no_start_keeps_what_is_believed_of_it():
    fleet = Fleet()
    fleet.put(replace(FIRST, born=0))
    fleet.note_prompt(SentPrompt("e", PARTS, read=True))
    fleet.put(replace(FIRST, born=0, slots=9))
    assert fleet.find_start("e").cache.count(PARTS) == 4000


def test_a_withdrawn_instance_may_be_listed_again_with_any_start():
    fleet = Fleet()
    fleet.put(LATER)
    assert fleet.remove("e")
    assert not fleet.knows("e")
    assert fleet.put(FIRST)
    assert fleet.knows("e")


def test_what_a_former_start_still_holds_is_broken_off_once_its_last_bytes_had_their_time():
    async def story():
        fleet = Fleet()
        budgets = RetryBudgets(0.2, 10, 10)
        parts = GatewayState("a", fleet, budgets, Metrics(), random.Random(1))
        broken = []
        parts.pool.abort_all = broken.append
        fleet.put(FIRST)
        fleet.put(LATER)
        await asyncio.sleep(0.2)
        assert broken == []
        await asyncio.sleep(0.1)
        assert broken == [FIRST.start]

    run_in_virtual_time(story())


def test_hosts_tell_each_other_of_starts():
    changes = ListingChanges(
        StoreRevision(0, 1), StoreRevision(0, 2), 0.0, (FIRST, LATER), ("gone",)
    )
    assert unpack_changes(pack_changes(changes)) == changes


@pytest.mark.parametrize(
    ("told", "known", "other"),
    [(0, 0, False), (0, 5, False), (5, 0, False), (5, 5, False), (5, 6, True), (6, 5, True)],
)
def test_a_word_is_of_another_start_only_where_both_are_told(told, known, other):
    assert is_other_incarnation(told, known) is other


def test_reports_and_lists_of_kept_parts_tell_the_start():
    report = b'{"phase":"decode","seq":3,"born":1000}'
    assert (read_report(report).born, read_report(report).orders_taken) == (1000, 3)
    assert read_cached_parts(b'{"held":[["","p",7,"m"]],"born":1000}').born == 1000
