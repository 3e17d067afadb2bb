"""Where an engine fetches the beginning of a prompt from, in place of reading it once more.

The parts that engines keep are used as one cache: an engine that is to read a prompt first copies
what another one has read of it. A source that is believed in wrongly costs the time of reading.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from swifttrestle.internal.state.declared import EngineTraits
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.prompt_cache import PromptPart

# A copy between availability zones takes twice as long (engines' protocol).
FAR_COPY_FACTOR = 2.0
# Seconds of reading that a copy must save beyond its own time: it has to be set up at both ends
# and its bytes are priced, so that a short part is read anew.
LEAST_SAVED_SECONDS = 0.005


@dataclass(frozen=True)
class Source:
    """An engine that has read the first `tokens` of a prompt."""

    engine: Instance
    tokens: int


@dataclass(frozen=True)
class Fetch:
    """A copy of `tokens` from a source, which takes so many seconds."""

    source: Instance
    tokens: int
    seconds: float


# What an engine that keeps so many tokens of the prompt would fetch, if anything.
FetchPlan = Callable[[Instance, int], Fetch | None]


def fetch_nothing(reader: Instance, kept: int) -> Fetch | None:
    """Plan no copy."""
    return None


def list_sources(
    engines: Sequence[Instance], parts: Sequence[PromptPart], excluded: Collection[str]
) -> list[Source]:
    """Return the engines that have read the beginning of a prompt, those with most of it first."""
    found = [
        Source(item, tokens)
        for item in engines
        if not item.leaving and item.name not in excluded
        if (tokens := item.cache.count_read(parts)) > 0
    ]
    return sorted(found, key=lambda source: -source.tokens)


def plan_fetch(
    reader: Instance, kept: int, sources: Sequence[Source], traits: EngineTraits | None
) -> Fetch | None:
    """Return the copy that saves a reader most beyond the `kept` tokens, None where none does."""
    if traits is None or traits.link_bytes_per_second <= 0 or not sources:
        return None
    seconds_per_token = traits.kv_bytes_per_token / traits.link_bytes_per_second
    best: Fetch | None = None
    most = LEAST_SAVED_SECONDS
    for source in sources:
        tokens = source.tokens - kept
        if tokens <= 0:
            break
        if source.engine is reader:
            continue
        far = source.engine.record.zone != reader.record.zone
        seconds = tokens * seconds_per_token * (FAR_COPY_FACTOR if far else 1.0)
        saved = tokens / reader.effective_read_rate - seconds
        if saved > most:
            best, most = Fetch(source.engine, tokens, seconds), saved
    return best
