"""Chooses the zones whose schedulers may book a prompt, its home zone first.

Each shared part of prompts has a home zone, found by rendezvous hashing, so that all hosts agree
on it and only that zone's engines cache the part. If each zone served its own callers' prompts,
every zone's engines would cache, evict and prefill the same parts. `python -m bench division`
compares the two.

A long part has one home zone in all regions together, as the engines of one region cannot cache
all parts. A part that takes less time to prefill than two round trips to another region has one
home zone in each region.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

from swifttrestle.internal.policy.distance import NO_REGIONS, Distance, Topology
from swifttrestle.internal.policy.placement import rank
from swifttrestle.internal.policy.role_split import MIN_ENGINES_PER_GROUP
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.prompt_cache import PromptPart

# Minimum prefill time of a shared part, at the fastest engine, to book its prompt in the home
# zone: booking across zones adds latency, and its bytes are billed.
MIN_SHARED_PREFILL_SECONDS = 0.005
# Minimum prefill time of a shared part to book its prompt in another region: the query to the
# scheduler and the request to the engine make a round trip each.
MIN_SHARED_PREFILL_SECONDS_OTHER_REGION = 2 * Distance.OTHER_REGION.round_trip_seconds
# Zones whose schedulers are asked before a host books locally: the home zone, and the next one by
# hash where the home zone's scheduler does not answer. Each missing answer delays the request by a
# timeout.
MAX_HOME_ZONES = 2
# Number of values of a 64-bit rank.
_RANK_COUNT = 2**64


def count_engines_by_zone(engines: Iterable[Instance], zones: Collection[str]) -> dict[str, int]:
    """Return the number of a service's engines in each of `zones` that is scheduled on its own.

    A zone with fewer than MIN_ENGINES_PER_GROUP shares its engines with all others and is no home
    zone.
    """
    counts = Counter(item.record.zone for item in engines)
    return {zone: counts[zone] for zone in sorted(zones) if counts[zone] >= MIN_ENGINES_PER_GROUP}


def list_home_zones(
    parts: Sequence[PromptPart],
    weights: Mapping[str, int],
    effective_read_rate: float,
    near: str,
    topology: Topology = NO_REGIONS,
) -> tuple[str, ...]:
    """Return the zones to book a prompt in, in order of preference.

    `effective_read_rate` is the prefill rate of the fastest engine, in tokens a second. The last
    part is the prompt's own. A prompt whose shared parts are short is booked in its caller's zone,
    `near`, and one with longer ones in the caller's region. After the home zone come the zones of
    the caller's region alone: a silent home zone has already cost time, and no other region caches
    the part.
    """
    shared_tokens = sum(item.tokens for item in parts[:-1])
    if not weights or shared_tokens < MIN_SHARED_PREFILL_SECONDS * effective_read_rate:
        return (near,)
    ranked = rank_zones(parts[-2].part, weights)
    in_region = tuple(zone for zone in ranked if topology.is_same_region(near, zone)) or ranked
    if shared_tokens < MIN_SHARED_PREFILL_SECONDS_OTHER_REGION * effective_read_rate:
        return in_region[:MAX_HOME_ZONES]
    in_order = dict.fromkeys((ranked[0], *in_region))
    return tuple(in_order)[:MAX_HOME_ZONES]


def rank_zones(part: str, weights: Mapping[str, int]) -> tuple[str, ...]:
    """Return the zones in a part's order of preference, by weighted rendezvous hashing.

    Each zone is first for a share of all parts in proportion to its weight. Adding, removing or
    reweighting a zone moves no part between the others.
    """
    return tuple(sorted(weights, key=lambda zone: _score(part, zone, weights[zone]), reverse=True))


def _score(part: str, zone: str, weight: int) -> float:
    """Return a zone's score for a part (logarithmic method of weighted rendezvous hashing)."""
    return -weight / math.log((rank(part, zone) + 0.5) / _RANK_COUNT)
