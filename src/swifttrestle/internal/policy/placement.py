"""Where a request goes: the instance of a plain service, the engines of a prompt."""

import hashlib
import math
import random
from collections.abc import Collection, Sequence
from functools import lru_cache

from swifttrestle.internal.policy.fetching import FetchPlan, fetch_nothing
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.prompt_cache import PromptPart

# What another availability zone costs in the choice of a plain instance, in open requests:
# the bytes that cross are priced, so a near instance is kept until it is one request worse.
FAR_REQUESTS = 1.0
# Seconds by which an engine may be worse and still be chosen, for holding part of the prompt
# or for being near: about one long prompt's reading.
AFFINITY_SECONDS = 0.02
# Engines that one prompt chooses between: two bring most of the evenness that more would.
# Few engines are all in the choice, since a hash over few is uneven.
CHOICES = 2
FEW_ENGINES = 6
# Share of an engine's slots that may be open before it gets no more prompts of its own choice.
FULL_SHARE = 0.9
# Share of a decoding engine's slots in use up to which it also reads long prompts.
LENT_SHARE = 0.1
# Share of a decoding engine's slots kept for the service's most urgent requests, so that long
# answers of the others never stand before them.
URGENT_RESERVE = 0.06
# Ranks that are remembered: those of 61 hosts of a zone for each of its 143 schedulers at the
# size to design for, and of a few thousand pairs of engines and parts; some 3 MB at most.
RANKS_KEPT = 16384


def pick_plain(
    instances: Sequence[Instance], zone: str, excluded: Collection[str], now: float,
    rng: random.Random,
) -> Instance | None:  # fmt: skip
    """Return the least loaded instance, near ones first; None where there is none."""
    usable = [item for item in instances if item.name not in excluded]
    ready = [item for item in usable if now >= item.refused_until] or usable
    if not ready:
        return None

    def cost(item: Instance) -> tuple[float, float]:
        far = 0.0 if item.record.zone == zone else FAR_REQUESTS
        return item.own.requests + item.peers.requests + far, rng.random()

    return min(ready, key=cost)


def pick_decoder(
    instances: Sequence[Instance], near: str, excluded: Collection[str], now: float, urgent: bool
) -> Instance | None:
    """Return the engine to make tokens: the least share of its slots in use, near ones first."""
    usable = [
        item
        for item in instances
        if item.role is Role.DECODE
        and item.name not in excluded
        and now >= item.role_changing_until
    ]
    ready = [item for item in usable if now >= item.refused_until] or usable
    share = FULL_SHARE if urgent else FULL_SHARE - URGENT_RESERVE
    with_room = [item for item in ready if not is_full(item, share)]
    if not with_room:
        return None
    return min(
        with_room,
        key=lambda item: (
            item.predict_wait()
            + item.total.requests / max(1, item.record.slots) * AFFINITY_SECONDS
            + (0.0 if item.record.zone == near else AFFINITY_SECONDS / 4)
        ),
    )


def is_full(item: Instance, share: float = FULL_SHARE) -> bool:
    """Return whether a share of the engine's slots is taken."""
    return item.total.requests >= max(1.0, item.record.slots * share)


def pick_prefill_engine(
    instances: Sequence[Instance], tokens: int, affinity: str, excluded: Collection[str],
    now: float, longest_wait: float, parts: Sequence[PromptPart] = (),
    plan: FetchPlan = fetch_nothing, latest: float = math.inf,
) -> Instance | None:  # fmt: skip
    """Return the engine to read a prompt soonest, if its wait is within `longest_wait` seconds.

    The prompt must also have been read within `latest` seconds, unless its own reading alone takes
    longer at every engine: it cannot be in time, and is served as well as it can be.

    Parts that an engine keeps need no reading, nor do those that it fetches by `plan`; it may have
    a longer wait, as long as the prompt is read no later. Decoding engines read too, at half the
    pace, while they make few tokens: each piece that they read holds up all their streams. The
    choice is between the engines that the prompt's shared part hashes to, so that few engines
    keep each part, and so that hosts which see the same late reports do not all choose the
    engine that looks idle.
    """
    usable = [
        item
        for item in instances
        if item.name not in excluded
        and now >= item.refused_until
        and now >= item.role_changing_until
        and item.role is not Role.NONE
        and not is_full(item, LENT_SHARE if item.role is Role.DECODE else FULL_SHARE)
    ]
    read_in = {item.name: _predict_read(item, tokens, parts, plan) for item in usable}
    if all(read_in[item.name] - item.predict_wait() > latest for item in usable):
        latest = math.inf
    allowed = [
        item
        for item in usable
        if read_in[item.name] <= min(latest, longest_wait + tokens / item.effective_read_rate)
    ]
    if not allowed:
        return None
    ranked = sorted(allowed, key=lambda item: rank(affinity, item.name), reverse=True)
    first, *others = ranked[: CHOICES if len(ranked) > FEW_ENGINES else len(ranked)]
    best = min(others, key=lambda item: read_in[item.name], default=first)
    gain = read_in[first.name] - read_in[best.name]
    return best if gain > AFFINITY_SECONDS else first


def _predict_read(
    item: Instance, tokens: int, parts: Sequence[PromptPart], plan: FetchPlan
) -> float:
    """Return the seconds until an engine will have read a prompt."""
    kept = min(tokens, item.cache.count(parts))
    fetch = plan(item, kept)
    copied, seconds = (fetch.tokens, fetch.seconds) if fetch else (0, 0.0)
    return item.predict_wait() + seconds + max(0, tokens - kept - copied) / item.effective_read_rate


@lru_cache(RANKS_KEPT)
def rank(key: str, name: str) -> int:
    """Return the rendezvous rank of a name for a key; the highest one is the key's own."""
    digest = hashlib.blake2b(f"{key}|{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
