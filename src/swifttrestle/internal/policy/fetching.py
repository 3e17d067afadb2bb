"""Chooses the engine to copy the KV cache of a prompt's prefix from, in place of prefilling it.

All engines' KV caches thus act as one shared cache. If a source turns out not to have the prefix,
the engine prefills it.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from swifttrestle.internal.policy.distance import NO_REGIONS, Topology
from swifttrestle.internal.state.declared import EngineTraits
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.prompt_cache import PromptPart

# Minimum seconds that a copy must save: it takes setup at both ends, and its bytes are billed.
MIN_SAVED_SECONDS = 0.005


@dataclass(frozen=True)
class Source:
    """An engine that has the KV cache of the first `tokens` of a prompt."""

    engine: Instance
    tokens: int


@dataclass(frozen=True)
class Fetch:
    """A copy of `tokens` tokens of KV cache from a source; `seconds` is its predicted duration."""

    source: Instance
    tokens: int
    seconds: float


# Returns what an engine that caches so many tokens of the prompt would fetch, if anything.
FetchPlan = Callable[[Instance, int], Fetch | None]


def fetch_nothing(reader: Instance, cached_tokens: int) -> Fetch | None:
    """Return no copy."""
    return None


def list_sources(
    engines: Sequence[Instance], parts: Sequence[PromptPart], excluded: Collection[str]
) -> list[Source]:
    """Return the engines that have a prefix of a prompt cached, longest first."""
    found = [
        Source(item, tokens)
        for item in engines
        if not item.leaving and item.name not in excluded
        if (tokens := item.cache.count_prefilled(parts)) > 0
    ]
    return sorted(found, key=lambda source: -source.tokens)


def plan_fetch(
    reader: Instance,
    cached_tokens: int,
    sources: Sequence[Source],
    traits: EngineTraits | None,
    topology: Topology = NO_REGIONS,
) -> Fetch | None:
    """Return the copy that saves `reader` most time; None where none does.

    `cached_tokens` is the number of tokens that it has cached itself.
    """
    if traits is None or traits.link_bytes_per_second <= 0 or not sources:
        return None
    seconds_per_token = traits.kv_bytes_per_token / traits.link_bytes_per_second
    best: Fetch | None = None
    most_saved = MIN_SAVED_SECONDS
    for source in sources:
        tokens = source.tokens - cached_tokens
        if tokens <= 0:
            break
        if source.engine.name == reader.name:
            continue
        distance = topology.measure(source.engine.record.zone, reader.record.zone)
        seconds = tokens * seconds_per_token * distance.copy_factor + distance.extra_seconds
        saved = tokens / reader.effective_read_rate - seconds
        if saved > most_saved:
            best, most_saved = Fetch(source.engine, tokens, seconds), saved
    return best
