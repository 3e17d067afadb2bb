"""Which upstream a request goes to: an abstract router, its baselines and the one in use.

Routers are pure: what they know comes in as candidates, and random choices come from a
generator that is handed in, so a recorded trace gives the same decisions every time.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

SAMPLE = 3
SMALL_SET = 4
FAR_SECONDS = 0.004
DEFAULT_PREFILL_RATE = 8000.0
DEFAULT_TOKEN_SECONDS = 0.03
URGENT = "urgent"


@dataclass(frozen=True)
class RequestEstimate:
    """What a request asks for; token counts are estimates."""

    prompt_tokens: int
    output_tokens: int
    priority: str = "normal"


@dataclass(frozen=True)
class Candidate:
    """An upstream that may take a request, as this process sees it now.

    `waiting_tokens` and `inflight` are the last report corrected by own sends since;
    `share` falls below 1 while an upstream comes back after having been left out. `prefill_engine`
    names
    the engine that prefills the prompt where this one only decodes.
    """

    name: str
    near: bool
    waiting_tokens: float
    inflight: float
    slots: int
    cached_tokens: int
    prefill_rate: float = DEFAULT_PREFILL_RATE
    token_seconds: float = DEFAULT_TOKEN_SECONDS
    share: float = 1.0
    reported_inflight: float = 0.0
    prefill_engine: str = ""


class Router(ABC):
    """Chooses among candidates that all may take the request."""

    @abstractmethod
    def pick(
        self, candidates: Sequence[Candidate], work: RequestEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the choice, or None where there is no candidate."""


class RoundRobin(Router):
    """Baseline: one after another, blind to load."""

    def __init__(self) -> None:
        """Start at the first."""
        self._next = 0

    def pick(
        self, candidates: Sequence[Candidate], work: RequestEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the next candidate in order of name."""
        if not candidates:
            return None
        self._next += 1
        return sorted(candidates, key=lambda c: c.name)[self._next % len(candidates)]


class LeastReported(Router):
    """Baseline: least load by the report alone, however old it is."""

    def pick(
        self, candidates: Sequence[Candidate], work: RequestEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the candidate with the least reported share of its slots in use."""
        if not candidates:
            return None
        return min(candidates, key=lambda c: (c.reported_inflight / c.slots, c.name))


class LeastPredicted(Router):
    """The router in use: the earliest predicted finish among a few candidates.

    The few are drawn at random, with the one that holds most of the prompt's prefix added.
    Entries that see the same lagging reports then spread instead of all choosing the engine
    that looks idle.
    """

    def pick(
        self, candidates: Sequence[Candidate], work: RequestEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the candidate with the earliest predicted finish among those drawn."""
        if not candidates:
            return None
        drawn = list(candidates)
        # Urgent requests are few, so they make no herd, and each is worth the best engine.
        if len(drawn) > SMALL_SET and work.priority != URGENT:
            drawn = rng.sample(drawn, SAMPLE)
            affine = max(candidates, key=lambda c: c.cached_tokens)
            if affine.cached_tokens and affine not in drawn:
                drawn.append(affine)
        ready = [c for c in drawn if c.share >= 1 or rng.random() < c.share] or drawn
        return min(ready, key=lambda c: predict_finish(c, work))


def predict_first_token(candidate: Candidate, work: RequestEstimate) -> float:
    """Return the predicted seconds to the first token."""
    uncached = max(1, work.prompt_tokens - candidate.cached_tokens)
    queued = 0.0 if work.priority == URGENT else candidate.waiting_tokens
    seconds = (queued + uncached) / candidate.prefill_rate + candidate.token_seconds
    over = candidate.inflight + 1 - candidate.slots
    if over > 0 and work.priority != URGENT:
        # No slot is free: one comes free each time a request ends.
        seconds += over * work.output_tokens * candidate.token_seconds / candidate.slots
    return seconds + (0.0 if candidate.near else FAR_SECONDS)


def predict_finish(candidate: Candidate, work: RequestEstimate) -> float:
    """Return the predicted seconds to the whole answer."""
    crowding = 1 + candidate.inflight / (4 * candidate.slots)
    decode = work.output_tokens * candidate.token_seconds * crowding
    return predict_first_token(candidate, work) + decode
