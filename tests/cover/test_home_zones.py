"""Prompts with long shared parts are booked in the part's home zone, wherever the caller is.

Otherwise each zone's engines would cache, evict and prefill the same parts.
"""

import asyncio
import random
from collections import Counter
from dataclasses import replace

import pytest

from bench.division import (
    SCREENING,
    SMALL,
    THREE_REGIONS,
    ByCaller,
    ByPart,
    ByPartInRegion,
    FailureScenario,
    play,
)
from swifttrestle.errors import InvalidSettingError
from swifttrestle.internal.forward import scheduled_booking
from swifttrestle.internal.forward.booking import LocalBooker
from swifttrestle.internal.forward.gateway_state import GatewayState, RetryBudgets
from swifttrestle.internal.forward.scheduled_booking import ScheduledBooker
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.distance import Distance, Topology
from swifttrestle.internal.policy.home_zones import (
    count_engines_by_zone,
    list_home_zones,
    rank_zones,
)
from swifttrestle.internal.policy.scheduling import find_scheduler
from swifttrestle.internal.protocol.bookings import BookingQuery
from swifttrestle.internal.state.bookings import Booking, BookingRequest
from swifttrestle.internal.state.declared import Role, UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.prompt_cache import PromptPart
from swifttrestle.platform.settings import read_host_settings
from tests.cover.test_bookings import Network, run_pending_tasks
from tests.cover.test_platform_adapter import GOOD

ZONES = ("a", "b", "c")
EVEN = dict.fromkeys(ZONES, 5)
TOKENS_PER_SECOND = 100_000.0


def make_parts(*tokens):
    return tuple(PromptPart(f"p{number}", size) for number, size in enumerate(tokens))


@pytest.mark.parametrize(
    ("parts", "weights", "homes"),
    [
        ((), EVEN, ("near",)),
        # The last part is the prompt's own, however long it is.
        (make_parts(90_000), EVEN, ("near",)),
        (make_parts(400, 90_000), EVEN, ("near",)),
        (make_parts(499, 100), EVEN, ("near",)),
        (make_parts(500, 100), EVEN, rank_zones("p0", EVEN)[:2]),
        (make_parts(300, 300, 100), EVEN, rank_zones("p1", EVEN)[:2]),
        (make_parts(500, 100), {}, ("near",)),
        (make_parts(500, 100), {"b": 4}, ("b",)),
    ],
)
def test_only_a_long_shared_part_moves_a_prompt_from_its_callers_zone(parts, weights, homes):
    assert list_home_zones(parts, weights, TOKENS_PER_SECOND, "near") == homes


def count_homes(weights, parts=6000):
    return Counter(rank_zones(f"part{n}", weights)[0] for n in range(parts))


@pytest.mark.parametrize("weights", [EVEN, {"a": 15, "b": 5, "c": 10}, {"a": 1, "b": 1}])
def test_each_zone_is_the_home_zone_of_its_share_of_the_parts(weights):
    homes = count_homes(weights)
    for zone, weight in weights.items():
        assert homes[zone] / 6000 == pytest.approx(weight / sum(weights.values()), abs=0.03)


@pytest.mark.parametrize(
    ("after", "moved"),
    [
        # One engine less in a zone moves its share of that zone's parts and no other part.
        ({"a": 4, "b": 5, "c": 5}, 1 / 3 - 4 / 14),
        ({"b": 5, "c": 5}, 1 / 3),
        ({"a": 5, "b": 5, "c": 5, "d": 5}, 1 / 4),
    ],
)
def test_parts_move_only_from_or_to_the_zone_that_changed(after, moved):
    parts = [f"part{n}" for n in range(6000)]
    before = {part: rank_zones(part, EVEN)[0] for part in parts}
    new_home = {part: rank_zones(part, after)[0] for part in parts}
    changed = [part for part in parts if before[part] != new_home[part]]
    assert len(changed) / 6000 == pytest.approx(moved, abs=0.02)
    assert all("a" in (before[part], new_home[part]) or new_home[part] == "d" for part in changed)


def test_a_zone_with_few_engines_or_without_hosts_is_no_home_zone():
    engines = [
        Instance(UpstreamRecord(f"{zone}{n}", "s", ("h", 1), zone, 8, False, Role.PREFILL))
        for zone, count in (("a", 4), ("b", 3), ("c", 6))
        for n in range(count)
    ]
    assert count_engines_by_zone(engines, ("a", "b")) == {"a": 4}


TWO_REGIONS = Topology({"a": "r", "b": "r", "c": "q"})


def find_part(home, weights=EVEN):
    """Return the id of a part whose first home zone is `home`."""
    return next(part for n in range(1000) if rank_zones(part := f"p{n}", weights)[0] == home)


@pytest.mark.parametrize(
    ("home", "tokens", "near", "zones"),
    [
        # Longer than two round trips to another region, 48 ms: one home for all callers.
        ("c", 5000, "a", ("c", "a-or-b")),
        # The region's only zone: the caller's host then books there itself.
        ("c", 5000, "c", ("c",)),
        ("a", 5000, "c", ("a", "c")),
        ("a", 5000, "b", ("a", "b")),
        # Shorter: a home in each region.
        ("c", 4700, "a", ("a-or-b", "a-or-b")),
        ("c", 4700, "c", ("c",)),
        ("a", 4700, "c", ("c",)),
        ("a", 4700, "b", ("a", "b")),
        # Too short to leave the zone.
        ("c", 400, "a", ("a",)),
    ],
)
def test_only_a_part_longer_than_two_round_trips_has_its_home_in_another_region(
    home, tokens, near, zones
):
    # Else each region's engines would cache all parts, which they can't hold.
    parts = (PromptPart(find_part(home), tokens), PromptPart("own", 100))
    found = list_home_zones(parts, EVEN, TOKENS_PER_SECOND, near, TWO_REGIONS)
    assert tuple("a-or-b" if want == "a-or-b" and zone in "ab" else zone
                 for zone, want in zip(found, zones, strict=True)) == zones  # fmt: skip


def test_a_region_without_engines_uses_the_home_zones_of_the_others():
    parts = (PromptPart("part", 4700), PromptPart("own", 100))
    weights = {"a": 5, "b": 5}
    found = list_home_zones(parts, weights, TOKENS_PER_SECOND, "c", TWO_REGIONS)
    assert found == rank_zones("part", weights)


@pytest.mark.parametrize("zones", [["a"], {"a": 1}, "a"])
def test_an_invalid_table_of_regions_is_reported_by_its_name(zones):
    with pytest.raises(InvalidSettingError, match="zones"):
        read_host_settings({**GOOD, "zones": zones})


@pytest.mark.parametrize(
    ("shared_tokens", "regions"), [(50_000, {"r", "q"}), (4700, {"r"})], ids=["long", "short"]
)
def test_only_prompts_with_long_shared_parts_are_booked_in_another_region(
    shared_tokens, regions, monkeypatch
):
    async def act(network, members, hosts):
        for host in hosts:
            host.state.fleet.topology = TWO_REGIONS
        homes = set()
        for number in range(30):
            parts = (PromptPart(f"part{number}", shared_tokens), PromptPart("own", 100))
            booking = await hosts[0].book(f"part{number}", parts=parts, longest_wait=0.0)
            if isinstance(booking, Booking):
                homes.add(booking.reference.host[0] if booking.reference else hosts[0].member.zone)
        assert {TWO_REGIONS.find_region(zone) for zone in homes} == regions

    run_hosts(act, monkeypatch)


class Host:
    """One host's booker for a service with engines in three zones."""

    def __init__(self, network, member, members):
        fleet = Fleet()
        for zone in ZONES:
            for n, role in enumerate([Role.PREFILL] * 3 + [Role.DECODE] * 2):
                address = ("10.0.0.1", 80)
                fleet.put(UpstreamRecord(f"{zone}{n}", "s", address, zone, 16, False, role))
        budgets = RetryBudgets(0.2, 50, 10)
        self.member = member
        self.state = GatewayState(member.zone, fleet, budgets, Metrics(), random.Random(1))
        self.booker = ScheduledBooker(
            LocalBooker(self.state),
            self.state,
            network.socket(member.ip),
            member.host,
            lambda: members,
        )

    def book(self, part, **changes):
        request = BookingRequest("s", self.member.zone, 55_000, part, 0, True, 20.0, 1.0, 3.5)
        parts = (PromptPart(part, 50_000), PromptPart("own", 5_000))
        return self.booker.book(replace(request, **{"parts": parts, **changes}))


def run_hosts(act, monkeypatch, answer_seconds=30.0):
    monkeypatch.setattr(scheduled_booking, "is_large_fleet", lambda _: True)
    monkeypatch.setattr(scheduled_booking, "REPLY_TIMEOUT_SECONDS", answer_seconds)

    async def run():
        network = Network()
        members = [Member(f"{zone}{n}", f"{zone}{n}", zone) for zone in ZONES for n in range(3)]
        hosts = [Host(network, member, members) for member in members]
        await act(network, members, hosts)

    asyncio.run(run())


def test_one_scheduler_books_all_prompts_of_a_part(monkeypatch):
    async def act(network, members, hosts):
        home = rank_zones("part", EVEN)[0]
        scheduler = find_scheduler(members, "s", home)
        for host in hosts:
            booking = await host.book("part")
            assert isinstance(booking, Booking)
            assert booking.reader.record.zone == booking.decoder.record.zone == home
            is_scheduler = host.member == scheduler
            assert (
                (booking.reference is None)
                if is_scheduler
                else (booking.reference.host == scheduler.host)
            )

    run_hosts(act, monkeypatch)


def test_a_cached_part_is_used_by_callers_of_all_zones(monkeypatch):
    async def act(network, members, hosts):
        first = await hosts[0].book("part")
        assert first.tokens == 55_000
        prefilled_tokens = []
        for host in hosts[1:]:
            booking = await host.book("part")
            prefilled_tokens.append(booking.tokens)
        assert max(prefilled_tokens) <= 5_000

    run_hosts(act, monkeypatch)


def test_the_next_zone_books_if_the_home_zones_scheduler_does_not_reply(monkeypatch):
    async def act(network, members, hosts):
        first, second = rank_zones("part", EVEN)[:2]
        silent = find_scheduler(members, "s", first)
        network.receivers.pop(silent.ip)
        host = next(h for h in hosts if h.member.zone not in (first, second))
        booking = await host.book("part")
        assert booking.reader.record.zone == second
        assert booking.reference.host == find_scheduler(members, "s", second).host

    run_hosts(act, monkeypatch, answer_seconds=0.05)


def test_a_silent_scheduler_of_another_region_is_followed_by_one_of_the_callers_region(monkeypatch):
    # Its reply takes a round trip between regions longer than one of the caller's region.
    async def act(network, members, hosts):
        host = next(item for item in hosts if item.member.zone == "a")
        host.state.fleet.topology = TWO_REGIONS
        part = find_part("c")
        network.receivers.pop(find_scheduler(members, "s", "c").ip)
        asked_at = asyncio.get_running_loop().time()
        booking = await host.book(part)
        seconds = asyncio.get_running_loop().time() - asked_at
        assert seconds >= 0.05 + Distance.OTHER_REGION.extra_seconds
        assert booking.reader.record.zone in ("a", "b")

    run_hosts(act, monkeypatch, answer_seconds=0.05)


def test_the_host_books_locally_if_neither_scheduler_replies(monkeypatch):
    async def act(network, members, hosts):
        first, second = rank_zones("part", EVEN)[:2]
        for zone in (first, second):
            network.receivers.pop(find_scheduler(members, "s", zone).ip)
        host = next(h for h in hosts if h.member.zone not in (first, second))
        booking = await host.book("part", longest_wait=0.0)
        assert booking.reference is None
        assert booking.reader.record.zone == host.member.zone
        await run_pending_tasks()
        asked = [message for message in network.sent if isinstance(message, BookingQuery)]
        assert len(asked) == 2
        assert asked[1].request.remaining_seconds < asked[0].request.remaining_seconds

    run_hosts(act, monkeypatch, answer_seconds=0.05)


def test_schedulers_are_cached_until_the_members_change(monkeypatch):
    # The search is expensive in large fleets.
    searched_groups = []

    def search(members, service, group):
        searched_groups.append(group)
        return find_scheduler(members, service, group)

    monkeypatch.setattr(scheduled_booking, "find_scheduler", search)

    async def act(network, members, hosts):
        for number in range(60):
            await hosts[0].book(f"part{number}", longest_wait=0.0)
        assert sorted(searched_groups) == list(ZONES)
        members.remove(next(m for m in members if m != hosts[0].member))
        await hosts[0].book("part0", longest_wait=0.0)
        assert len(searched_groups) == len(ZONES) + 1

    run_hosts(act, monkeypatch)


@pytest.mark.parametrize(
    ("shape", "seconds", "scenario", "max_share"),
    [
        (SMALL, 30.0, FailureScenario("calm"), 0.15),
        (SMALL, 30.0, FailureScenario("a popular part", popular=0.2), 0.15),
        (SMALL, 30.0, FailureScenario("a zone lost", lost_zones=1), 0.24),
        (SCREENING, 10.0, FailureScenario("calm"), 0.15),
    ],
    ids=lambda value: getattr(value, "name", None),
)
def test_fewer_shared_tokens_are_prefilled_again_than_with_a_division_by_callers_zone(
    shape, seconds, scenario, max_share
):
    by_caller = play(shape, scenario, ByCaller(), seconds=seconds)
    by_part = play(shape, scenario, ByPart(), seconds=seconds)
    assert by_part.reread_share <= max_share < by_caller.reread_share
    assert by_part.in_time_share >= by_caller.in_time_share - 0.02


def test_fewer_shared_tokens_are_prefilled_again_with_one_home_in_all_regions():
    scenario, topology = FailureScenario("calm"), THREE_REGIONS.topology
    in_each = play(THREE_REGIONS, scenario, ByPartInRegion(topology), seconds=20.0)
    in_all = play(THREE_REGIONS, scenario, ByPart(topology), seconds=20.0)
    assert in_all.reread_share < 0.1 < in_each.reread_share
    assert in_all.in_time_share >= in_each.in_time_share - 0.02
