"""Placement: chooses the instance of a plain service, or the engines for a prompt."""

import hashlib
import math
import random
from collections.abc import Collection, Iterable, Sequence
from functools import lru_cache

from swifttrestle.internal.policy.distance import NO_REGIONS, Distance, Topology
from swifttrestle.internal.policy.fetching import FetchPlan, fetch_nothing
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.prompt_cache import PromptPart

# Penalty of a plain instance in another availability zone, in open requests: traffic between
# zones is billed. In another region the penalty is higher in proportion to the round trip.
CROSS_ZONE_PENALTY_REQUESTS = 1.0
# Seconds by which an engine's prediction may be worse than the best one for it to be preferred,
# for its cache affinity or for being in the caller's zone.
AFFINITY_SECONDS = 0.02
# Engines that each prompt chooses between (power of two choices) without a scheduler. Up to
# MAX_ENGINES_WITHOUT_HASHING all are considered, since hashing over few is uneven.
PREFILL_CHOICES = 2
MAX_ENGINES_WITHOUT_HASHING = 6
# Share of an engine's slots in use from which it counts as full.
FULL_SHARE = 0.9
# Share of a decode engine's slots in use up to which it also prefills long prompts.
MAX_DECODE_SHARE_FOR_PREFILL = 0.1
# Share of a decode engine's slots reserved for the most urgent requests of its service. Otherwise
# they would wait behind long answers of the others.
URGENT_RESERVE_SHARE = 0.06
# Maximum number of cached ranks. Those of 61 hosts of a zone for each of 143 schedulers fit, with a
# few thousand pairs of engines and parts; some 3 MB at most.
RANK_CACHE_ENTRIES = 16384


def pick_plain_instance(
    instances: Sequence[Instance], zone: str, excluded: Collection[str], now: float,
    rng: random.Random, topology: Topology = NO_REGIONS,
) -> Instance | None:  # fmt: skip
    """Return the least loaded instance, preferring near ones; None where there is none.

    `zone` is that of the caller.
    """
    usable = [item for item in instances if item.name not in excluded]
    ready = [item for item in usable if now >= item.refused_until] or usable
    if not ready:
        return None

    def cost(item: Instance) -> tuple[float, float]:
        distance = topology.measure(zone, item.record.zone)
        zone_penalty = CROSS_ZONE_PENALTY_REQUESTS * distance.relative_round_trip
        return item.own.requests + item.peers.requests + zone_penalty, rng.random()

    return min(ready, key=cost)


def pick_decode_engine(
    instances: Sequence[Instance],
    near: str,
    excluded: Collection[str],
    now: float,
    urgent: bool,
    may_queue: bool = False,
    topology: Topology = NO_REGIONS,
    copy_seconds: float = 0.0,
) -> Instance | None:
    """Return the decode engine with the least load, preferring zone `near`; None if all are full.

    Some slots of each are reserved for urgent requests. With `may_queue`, a full one is returned if
    there is no other, at which the request waits for a slot. `copy_seconds` is the duration of the
    copy of the prompt's KV cache to an engine in `near`.
    """
    usable = [
        item
        for item in instances
        if item.role is Role.DECODE
        and item.name not in excluded
        and now >= item.role_changing_until
    ]
    ready = [item for item in usable if now >= item.refused_until] or usable
    share = FULL_SHARE if urgent else FULL_SHARE - URGENT_RESERVE_SHARE
    candidates = [item for item in ready if not is_full(item, share)]
    if not candidates and may_queue:
        candidates = ready
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda item: (
            item.predict_wait()
            + item.total.requests / max(1, item.record.slots) * AFFINITY_SECONDS
            + _find_distance_penalty(topology.measure(near, item.record.zone), copy_seconds)
        ),
    )


def _find_distance_penalty(distance: Distance, copy_seconds: float) -> float:
    """Return the seconds by which a decode engine at a distance must be better than a near one."""
    if distance is Distance.SAME_ZONE:
        return 0.0
    extra_seconds = distance.extra_seconds + copy_seconds * distance.extra_copy_factor
    return AFFINITY_SECONDS / 4 + extra_seconds


def is_full(item: Instance, share: float = FULL_SHARE) -> bool:
    """Return whether a share of the engine's slots is in use."""
    return item.total.requests >= max(1.0, item.record.slots * share)


def pick_prefill_engine(
    instances: Sequence[Instance], tokens: int, affinity: str, excluded: Collection[str],
    now: float, longest_wait: float, parts: Sequence[PromptPart] = (),
    plan: FetchPlan = fetch_nothing, latest: float = math.inf,
    longest_pause: float = math.inf, scheduled: bool = False,
) -> Instance | None:  # fmt: skip
    """Return the engine to prefill a prompt; None if none is predicted to be soon enough.

    The engine must be predicted to finish within `latest` seconds, and no later than it would after
    a wait of `longest_wait` seconds without any of the prompt cached. `latest` is ignored where the
    prefill alone takes longer at every engine.

    Parts that an engine has cached or fetches by `plan` need no prefill. Decode engines prefill
    too, at half the rate, while few of their slots are in use: prefill delays all their streams,
    which may pause for `longest_pause` seconds.
    The first choice is the engine that the prompt's shared part hashes to, so that few engines
    cache each part. Hosts that book on their own consider only few engines, so that those with the
    same outdated load reports do not all choose the same idle one. A `scheduled` request is booked
    by the one host that knows the open work, and considers all.
    """
    usable = [
        item
        for item in instances
        if item.name not in excluded
        and now >= item.refused_until
        and now >= item.role_changing_until
        and item.role is not Role.NONE
        and not is_full(
            item, MAX_DECODE_SHARE_FOR_PREFILL if item.role is Role.DECODE else FULL_SHARE
        )
    ]
    prefill_seconds = {item.name: _predict_prefill(item, tokens, parts, plan) for item in usable}
    usable = [
        item
        for item in usable
        if not _has_streams(item) or prefill_seconds[item.name] <= longest_pause
    ]
    if all(prefill_seconds[item.name] - item.predict_wait() > latest for item in usable):
        latest = math.inf
    allowed = [
        item
        for item in usable
        if prefill_seconds[item.name]
        <= min(latest, longest_wait + tokens / item.effective_read_rate)
    ]
    if not allowed:
        return None
    ranked = sorted(allowed, key=lambda item: rank(affinity, item.name), reverse=True)
    considers_all = scheduled or len(ranked) <= MAX_ENGINES_WITHOUT_HASHING
    first, *others = ranked if considers_all else ranked[:PREFILL_CHOICES]
    best = min(others, key=lambda item: prefill_seconds[item.name], default=first)
    gain = prefill_seconds[first.name] - prefill_seconds[best.name]
    return best if gain > AFFINITY_SECONDS else first


def _has_streams(item: Instance) -> bool:
    """Return whether an engine is decoding, so that prefill there delays streams."""
    return item.role is Role.DECODE and item.total.requests > 0


def _predict_prefill(
    item: Instance, tokens: int, parts: Sequence[PromptPart], plan: FetchPlan
) -> float:
    """Return the predicted seconds until an engine has prefilled a prompt."""
    cached_tokens = min(tokens, item.cache.count(parts))
    fetch = plan(item, cached_tokens)
    fetched_tokens, fetch_seconds = (fetch.tokens, fetch.seconds) if fetch else (0, 0.0)
    return (
        item.predict_wait()
        + fetch_seconds
        + max(0, tokens - cached_tokens - fetched_tokens) / item.effective_read_rate
    )


@lru_cache(RANK_CACHE_ENTRIES)
def rank(key: str, name: str) -> int:
    """Return the rendezvous hash of a name for a key; the highest one wins."""
    digest = hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def is_ranked_first(key: str, name: str, names: Iterable[str]) -> bool:
    """Return whether a name has the highest rank for a key; all hosts find the same one."""
    return name == max(names, key=lambda item: rank(key, item))
