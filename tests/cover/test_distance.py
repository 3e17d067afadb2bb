"""Distances between zones, and the decisions that compare zones.

With one region, or with none named, the decisions must be those of a rule that knows only zones:
otherwise a fleet of one region would change its behaviour because of regions. With several regions,
a region must be left only where that saves more time than the longer round trip costs.
"""

import random

import pytest

from swifttrestle.internal.policy.distance import NO_REGIONS, Distance, Topology
from swifttrestle.internal.policy.fetching import MIN_SAVED_SECONDS, list_sources, plan_fetch
from swifttrestle.internal.policy.home_zones import MAX_HOME_ZONES, list_home_zones, rank_zones
from swifttrestle.internal.policy.placement import (
    AFFINITY_SECONDS,
    pick_decode_engine,
    pick_plain_instance,
    rank,
)
from swifttrestle.internal.policy.rate_limits import OWNERS_PER_LIMIT, find_owners
from swifttrestle.internal.policy.scheduling import (
    OTHER_ZONE_WAIT_SHARE,
    find_scheduler,
    find_scheduling_group,
    list_schedulers,
    list_search_steps,
)
from swifttrestle.internal.policy.upstream_paths import MAX_RELAYS, UpstreamPaths
from swifttrestle.internal.state.declared import EngineTraits, Role, UpstreamRecord
from swifttrestle.internal.state.fleet import Instance, OpenWork
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.prompt_cache import PromptPart

# Zones a and b are of one region, c and d of another.
REGIONS = Topology({"a": "r", "b": "r", "c": "q", "d": "q"})
SEEDS = range(100)
PARTS = (PromptPart("shared", 8000), PromptPart("own", 1000))
# 100 kB a token over 100 GB/s: 1,000 tokens take 1 ms to copy within a zone, 10 ms to prefill.
TRAITS = EngineTraits(40, 200_000, 100_000.0, 1e11, 5.0, 0.2)


@pytest.mark.parametrize(
    ("topology", "zone", "other", "distance"),
    [
        (REGIONS, "a", "a", Distance.SAME_ZONE),
        (REGIONS, "a", "b", Distance.SAME_REGION),
        (REGIONS, "c", "a", Distance.OTHER_REGION),
        # A zone of unknown region counts as near, as every zone does without regions.
        (REGIONS, "a", "unlisted", Distance.SAME_REGION),
        (REGIONS, "unlisted", "c", Distance.SAME_REGION),
        (REGIONS, "unlisted", "unlisted", Distance.SAME_ZONE),
        (NO_REGIONS, "a", "c", Distance.SAME_REGION),
        (NO_REGIONS, "a", "a", Distance.SAME_ZONE),
        (Topology({"a": "", "c": "q"}), "a", "c", Distance.SAME_REGION),
    ],
)
def test_distance_of_two_zones(topology, zone, other, distance):
    assert topology.measure(zone, other) is distance
    assert topology.measure(other, zone) is distance


def test_costs_rise_with_the_distance():
    in_order = sorted(Distance, key=lambda item: item.round_trip_seconds)
    assert in_order == list(Distance)
    assert [item.round_trip_seconds for item in in_order] == [0.0, 0.003, 0.024]
    assert [item.copy_factor for item in in_order] == [1.0, 2.0, 10.0]
    assert [item.extra_seconds for item in in_order] == pytest.approx([0.0, 0.0, 0.021])
    assert [item.relative_round_trip for item in in_order] == pytest.approx([0.0, 1.0, 8.0])
    assert [item.extra_copy_factor for item in in_order] == [0.0, 0.0, 8.0]


# With one region.


def make_zones(rng):
    return [f"z{number}" for number in range(rng.randint(1, 6))]


def make_topologies(zones):
    """Return topologies under which no zone is in another region."""
    return (NO_REGIONS, Topology(dict.fromkeys(zones, "r")), Topology({zones[0]: "r"}))


def make_instances(rng, zones, role=None):
    return [
        Instance(
            UpstreamRecord(
                f"i{number}", "s", ("10.0.0.1", 1), rng.choice(zones), 8, False,
                role or rng.choice([Role.PREFILL, Role.DECODE]),
            ),
            own=OpenWork(rng.randint(0, 3) * 1000, rng.randint(0, 8)),
            refused_until=rng.choice([-1.0, -1.0, 1.0]),
        )
        for number in range(rng.randint(1, 20))
    ]  # fmt: skip


def make_members(rng, zones):
    return [
        Member(f"h{number}", f"10.0.0.{number}", rng.choice(zones), rng.choice([5.0, 100.0]))
        for number in range(rng.randint(1, 15))
    ]


@pytest.mark.parametrize("seed", SEEDS)
def test_home_zones_with_one_region_are_those_of_the_zone_only_rule(seed):
    rng = random.Random(seed)
    zones = make_zones(rng)
    weights = {zone: rng.randint(4, 9) for zone in zones if rng.random() < 0.8}
    parts = (PromptPart(f"p{seed}", rng.randint(1, 10_000)), PromptPart("own", 100))
    near = rng.choice(zones)
    short = not weights or parts[0].tokens < 500
    expected = (near,) if short else rank_zones(parts[0].part, weights)[:MAX_HOME_ZONES]
    for topology in make_topologies(zones):
        assert list_home_zones(parts, weights, 100_000.0, near, topology) == expected


@pytest.mark.parametrize("seed", SEEDS)
def test_plain_instances_with_one_region_are_those_of_the_zone_only_rule(seed):
    rng = random.Random(seed)
    zones = make_zones(rng)
    instances, zone = make_instances(rng, zones, Role.NONE), rng.choice(zones)
    ready = [item for item in instances if item.refused_until <= 0.0] or instances
    tie_break = random.Random(seed)
    expected = min(
        ready, key=lambda item: (item.own.requests + (item.record.zone != zone), tie_break.random())
    )
    for topology in make_topologies(zones):
        found = pick_plain_instance(instances, zone, (), 0.0, random.Random(seed), topology)
        assert found is expected


@pytest.mark.parametrize("seed", SEEDS)
def test_decode_engines_with_one_region_are_those_of_the_zone_only_rule(seed):
    rng = random.Random(seed)
    zones = make_zones(rng)
    engines, near = make_instances(rng, zones), rng.choice(zones)

    def cost(item):
        load = item.own.requests / item.record.slots * AFFINITY_SECONDS
        return item.predict_wait() + load + (item.record.zone != near) * AFFINITY_SECONDS / 4

    usable = [item for item in engines if item.role is Role.DECODE]
    ready = [item for item in usable if item.refused_until <= 0.0] or usable
    free = [item for item in ready if item.own.requests < 0.9 * item.record.slots]
    expected = min(free, key=cost, default=None)
    for topology in make_topologies(zones):
        found = pick_decode_engine(
            engines, near, (), 0.0, urgent=True, topology=topology, copy_seconds=0.5
        )
        assert found is expected


@pytest.mark.parametrize("seed", SEEDS)
def test_searches_for_prefill_engines_with_one_region_are_those_of_the_zone_only_rule(seed):
    rng = random.Random(seed)
    zones = make_zones(rng)
    engines, zone = make_instances(rng, zones), rng.choice(zones)
    group = find_scheduling_group(engines, zone)
    expected = [
        ([item for item in engines if group in ("", item.record.zone)], 1.0, 0.0),
        ([item for item in engines if group not in ("", item.record.zone)],
         OTHER_ZONE_WAIT_SHARE, 0.0),
    ]  # fmt: skip
    for topology in make_topologies(zones):
        first, second, third = list_search_steps(engines, zone, topology)
        found = [(step.engines, step.wait_share, step.extra_seconds) for step in (first, second)]
        assert found == expected
        assert third.engines == []


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_with_one_region_are_those_of_the_zone_only_rule(seed):
    rng = random.Random(seed)
    zones = make_zones(rng)
    reader, *others = [*make_instances(rng, zones, Role.PREFILL), make_engine("s", "z0")]
    for item in others:
        item.cache.note(PARTS[: rng.randint(0, 2)], 200_000, read=True)
    sources = list_sources(others, PARTS, ())
    expected, most_saved = None, MIN_SAVED_SECONDS
    for source in sources:
        factor = 1.0 if source.engine.record.zone == reader.record.zone else 2.0
        seconds = source.tokens * 1e-6 * factor
        saved = source.tokens / reader.effective_read_rate - seconds
        if saved > most_saved:
            expected, most_saved = (source.engine, seconds), saved
    for topology in make_topologies(zones):
        fetch = plan_fetch(reader, 0, sources, TRAITS, topology)
        assert (fetch and (fetch.source, fetch.seconds)) == expected


@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_with_one_region_are_those_of_the_zone_only_rule(seed):
    # Owners of limits, schedulers, and peers that relay connections.
    rng = random.Random(seed)
    zones = make_zones(rng)
    members, zone = make_members(rng, zones), rng.choice(zones)
    engines = make_instances(rng, zones, Role.PREFILL)
    near = [item for item in members if item.zone == zone] or members
    fastest = max(item.link_mbps for item in near)
    owners = sorted(
        near,
        key=lambda item: (item.link_mbps == fastest, rank("limit|e", item.host)),
        reverse=True,
    )
    groups = {find_scheduling_group(engines, item.zone) for item in members}
    schedulers = {find_scheduler(members, "s", group).host for group in groups}
    local, *peers = members
    tie_break = random.Random(seed)
    relays = sorted(
        peers, key=lambda item: (item.zone not in (local.zone, zone), tie_break.random())
    )
    for topology in make_topologies(zones):
        assert find_owners(members, "e", zone, topology) == owners[:OWNERS_PER_LIMIT]
        assert list_schedulers(members, "s", engines, topology) == schedulers
        paths = UpstreamPaths(local, random.Random(seed), topology)
        assert paths.choose_relays("e", zone, members, 0.0) == relays[:MAX_RELAYS]


# With several regions.


def make_engine(name, zone, role=Role.PREFILL, **state):
    return Instance(UpstreamRecord(name, "s", ("10.0.0.1", 1), zone, 100, False, role), **state)


@pytest.mark.parametrize(
    ("open_here", "open_there", "refused", "zone"),
    [
        (0, 0, (), "b"),
        # Each open request counts as the round trip within a region, of which one to the other
        # region takes eight, seven more than one to the other zone.
        (7, 0, (), "b"),
        (8, 0, (), "c"),
        # No oscillation: the reverse choice needs as much again.
        (8, 1, (), "b"),
        (0, 0, ("b",), "c"),
        (0, 0, ("b", "c"), "b"),
    ],
)
def test_a_plain_upstream_of_another_region_is_used_if_the_wait_exceeds_the_round_trip(
    open_here, open_there, refused, zone
):
    instances = [
        make_engine(name, name, Role.NONE, own=OpenWork(0, open_requests))
        for name, open_requests in (("b", open_here), ("c", open_there))
    ]
    for item in instances:
        if item.name in refused:
            item.refused_until = 1.0
    found = pick_plain_instance(instances, "a", (), 0.0, random.Random(1), REGIONS)
    assert found.record.zone == zone


def test_requests_do_not_oscillate_between_regions_at_nearly_equal_load():
    # Callers of each region, whose hosts see the open requests of both.
    rng = random.Random(1)
    instances = [make_engine(zone, zone, Role.NONE) for zone in "ac"]
    for _ in range(1000):
        for item in instances:
            item.own = OpenWork(0, 20 + rng.randint(0, 6))
        for item in instances:
            zone = item.record.zone
            assert pick_plain_instance(instances, zone, (), 0.0, rng, REGIONS) is item


@pytest.mark.parametrize(
    ("open_here", "tokens_here", "copy_seconds", "zone"),
    [
        (0, 0, 0.0, "b"),
        (80, 0, 0.0, "b"),
        (90, 0, 0.0, "c"),
        # At 50,000 tokens a second: 20 ms and 40 ms, against 21 ms for the round trip.
        (0, 1_000, 0.0, "b"),
        (0, 2_000, 0.0, "c"),
        # A copy of 5 ms within a zone takes 40 ms more to another region than to another zone.
        (0, 2_000, 0.005, "b"),
        (0, 4_000, 0.005, "c"),
        (90, 0, 0.005, "c"),
    ],
)
def test_a_decode_engine_of_another_region_is_used_if_the_wait_exceeds_the_round_trip(
    open_here, tokens_here, copy_seconds, zone
):
    here = make_engine("b", "b", Role.DECODE, own=OpenWork(tokens_here, open_here))
    there = make_engine("c", "c", Role.DECODE)
    found = pick_decode_engine(
        [here, there], "a", (), 0.0, urgent=True, topology=REGIONS, copy_seconds=copy_seconds
    )
    assert found.record.zone == zone


@pytest.mark.parametrize(
    ("zone", "searched"),
    [
        ("a", ["aaaa", "b", "cccc"]),
        # Too few engines for a group of its own: all of its region.
        ("b", ["aaaab", "", "cccc"]),
        ("c", ["cccc", "", "aaaab"]),
        ("d", ["cccc", "", "aaaab"]),
    ],
)
def test_prefill_engines_of_other_regions_are_searched_last(zone, searched):
    engines = [make_engine(f"{zone}{n}", zone) for n, zone in enumerate("aaaabcccc")]
    steps = list_search_steps(engines, zone, REGIONS)
    assert ["".join(item.record.zone for item in step.engines) for step in steps] == searched
    assert [step.extra_seconds for step in steps] == [0.0, 0.0, 0.024]


@pytest.mark.parametrize(("zone", "seconds"), [("a", 0.008), ("b", 0.016), ("c", None)])
def test_a_copy_from_another_region_takes_ten_times_as_long(zone, seconds):
    source = make_engine("s", zone)
    source.cache.note(PARTS[:1], 200_000, read=True)
    fetch = plan_fetch(make_engine("r", "a"), 0, list_sources([source], PARTS, ()), TRAITS, REGIONS)
    # 80 ms and the round trip: longer than the prefill.
    assert (fetch.seconds if fetch else None) == (pytest.approx(seconds) if seconds else None)


@pytest.mark.parametrize(
    ("zones", "owner_zones"), [("abcd", "a"), ("bcd", "b"), ("cd", "cd"), ("bbccdd", "b")]
)
def test_owners_of_limits_are_in_the_upstreams_zone_then_in_its_region(zones, owner_zones):
    members = [Member(f"h{n}", f"10.0.0.{n}", zone) for n, zone in enumerate(zones)]
    owners = find_owners(members, "e", "a", REGIONS)
    assert {item.zone for item in owners} == set(owner_zones)


@pytest.mark.parametrize(
    ("zone", "order"),
    [
        # The round trip through a peer to an upstream in the zone, in ms.
        ("a", {"a": 0, "b": 6, "c": 48}),
        ("b", {"a": 3, "b": 3, "c": 48}),
        ("d", {"a": 24, "b": 27, "c": 27}),
    ],
)
def test_the_peer_with_the_shortest_path_relays_a_connection(zone, order):
    local = Member("local", "10.0.0.9", "a")
    members = [local, *(Member(name, f"10.0.0.{name}", name) for name in "abc")]
    found = UpstreamPaths(local, random.Random(1), REGIONS).choose_relays("e", zone, members, 0.0)
    assert len(found) == len(order)
    assert [order[item.zone] for item in found] == sorted(order.values())


def test_the_group_of_all_zones_has_a_scheduler_in_each_region():
    # Else queries for zones without enough engines would cross regions.
    members = [Member(f"{zone}{n}", f"{zone}{n}", zone) for zone in "abcd" for n in range(3)]
    engines = [make_engine(f"{zone}{n}", zone) for n, zone in enumerate("aaaa")]
    zones = {host[0] for host in list_schedulers(members, "s", engines, REGIONS)}
    assert "a" in zones
    assert zones & {"c", "d"}
