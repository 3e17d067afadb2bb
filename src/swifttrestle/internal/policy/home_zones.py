"""Which zones' schedulers may book a prompt, the one that keeps its shared part first.

The load that this answers: callers of all zones share long parts of prompts that together are
larger than the memory of one zone's engines, and smaller than that of all. Where each zone books
its own callers' prompts, every zone's engines hold, push out and read again the same parts. Here
each part has a home zone by a hash that all hosts compute alike, so that its scheduler knows what
its engines were sent of it without a word from others, and each part is kept once.

Of the tokens read in the model (`python -m bench division`, 30 s, one seed) shared ones read again
are 11 in 100, with a division by the caller's zone 36: 45 engines in 3 zones, 8.5 M distinct shared
tokens. With 25 engines in 5 zones and 12.4 M they are 15 in 100 (18), with 8 engines 10 (27).
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

from swifttrestle.internal.policy.placement import rank
from swifttrestle.internal.policy.role_split import ENOUGH_ENGINES
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.prompt_cache import PromptPart

# Seconds of reading that a shared part must take at the fastest engine for its prompt to go to
# the part's home: the question and the answers cross zones, some milliseconds, and their bytes
# are paid for.
LEAST_READ_SECONDS = 0.005
# Zones whose schedulers are asked before a host books by its own knowledge: the home, and the one
# that follows it in the hash where the home's scheduler is silent. A third would hold a request
# up for another missing answer.
HOMES = 2
# How many values a rank has.
_RANKS = 2**64


def count_engines_by_zone(engines: Iterable[Instance], zones: Collection[str]) -> dict[str, int]:
    """Return how many of a service's engines each of `zones` has, where they are enough.

    `zones` are those of one region: between regions a copy takes five times as long as between
    zones, and a question tens of milliseconds.

    A zone with fewer shares its engines with all others and is nobody's home.
    """
    counts = Counter(item.record.zone for item in engines)
    return {zone: counts[zone] for zone in sorted(zones) if counts[zone] >= ENOUGH_ENGINES}


def list_home_zones(
    parts: Sequence[PromptPart], weights: Mapping[str, int], effective_read_rate: float, near: str
) -> tuple[str, ...]:
    """Return the zones to book a prompt in, the best first; `effective_read_rate` is in tokens a
    second.

    The last part is the prompt's own. A prompt that shares too little is booked near its caller.
    """
    shared = sum(item.tokens for item in parts[:-1])
    if not weights or shared < LEAST_READ_SECONDS * effective_read_rate:
        return (near,)
    return rank_zones(parts[-2].part, weights)[:HOMES]


def rank_zones(part: str, weights: Mapping[str, int]) -> tuple[str, ...]:
    """Return the zones in the order in which they are a part's home.

    Each zone is first for a share of all parts that goes by its weight; a zone that comes, goes or
    changes its weight moves no part between the others.
    """
    return tuple(sorted(weights, key=lambda zone: _score(part, zone, weights[zone]), reverse=True))


def _score(part: str, zone: str, weight: int) -> float:
    """Return a zone's score for a part by the logarithmic method of weighted rendezvous hashing."""
    return -weight / math.log((rank(part, zone) + 0.5) / _RANKS)
