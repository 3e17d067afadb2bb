"""Distances between zones, and decisions that compare zones.

With one region, or with none named, the decisions must be those of a rule that knows only zones:
otherwise a fleet of one region would change its behaviour because of regions.
"""

import random

import pytest

from swifttrestle.internal.policy.distance import NO_REGIONS, Distance, Topology
from swifttrestle.internal.policy.home_zones import MAX_HOME_ZONES, list_home_zones, rank_zones
from swifttrestle.internal.state.prompt_cache import PromptPart

REGIONS = Topology({"a": "r", "b": "r", "c": "q"})


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
    in_order = sorted(Distance, key=lambda item: item.order)
    assert [item.round_trip_seconds for item in in_order] == [0.0, 0.003, 0.024]
    assert [item.copy_factor for item in in_order] == [1.0, 2.0, 10.0]
    assert [item.extra_seconds for item in in_order] == pytest.approx([0.0, 0.0, 0.021])


def make_topologies(zones):
    """Return the topologies under which no zone is in another region."""
    return (NO_REGIONS, Topology(dict.fromkeys(zones, "r")), Topology({zones[0]: "r"}))


@pytest.mark.parametrize("seed", range(200))
def test_home_zones_with_one_region_are_those_of_the_zone_only_rule(seed):
    rng = random.Random(seed)
    zones = [f"z{number}" for number in range(rng.randint(1, 6))]
    weights = {zone: rng.randint(4, 9) for zone in zones if rng.random() < 0.8}
    parts = (PromptPart(f"p{seed}", rng.randint(1, 10_000)), PromptPart("own", 100))
    near = rng.choice(zones)
    short = not weights or parts[0].tokens < 500
    expected = (near,) if short else rank_zones(parts[0].part, weights)[:MAX_HOME_ZONES]
    for topology in make_topologies(zones):
        assert list_home_zones(parts, weights, 100_000.0, near, topology) == expected
