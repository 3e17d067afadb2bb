"""Routers choose the upstream for a request: an interface, two baselines and the one in use.

Routers are pure functions of the candidates and a random generator, so that decisions are
reproducible.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

# Number of candidates that are drawn at random, and number up to which all are considered.
SAMPLE_SIZE = 3
MAX_CANDIDATES_WITHOUT_SAMPLING = 4
# Predicted delay of an upstream in another availability zone.
CROSS_ZONE_SECONDS = 0.004
# Prefill rate in tokens a second, and seconds per output token, until they have been measured.
DEFAULT_PREFILL_RATE = 8000.0
DEFAULT_TOKEN_SECONDS = 0.03
URGENT = "urgent"


@dataclass(frozen=True)
class RequestEstimate:
    """The work of a request; token counts are estimates."""

    prompt_tokens: int
    output_tokens: int
    priority: str = "normal"


@dataclass(frozen=True)
class Candidate:
    """An upstream that may take a request, as this process currently knows it.

    `waiting_tokens` and `inflight` are the last report plus what this process has sent since.
    `share` is below 1 while an upstream ramps up after an ejection. `prefill_engine` names the
    engine that prefills the prompt where this one only decodes.
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
    """Chooses among candidates for a request."""

    @abstractmethod
    def pick(
        self, candidates: Sequence[Candidate], work: RequestEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the chosen candidate; None where there is none."""


class RoundRobin(Router):
    """Baseline: takes candidates in turn, regardless of load."""

    def __init__(self) -> None:
        """Start with the first candidate."""
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
    """Baseline: least load by the last report alone, however old it is."""

    def pick(
        self, candidates: Sequence[Candidate], work: RequestEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the candidate with the least reported share of its slots in use."""
        if not candidates:
            return None
        return min(candidates, key=lambda c: (c.reported_inflight / c.slots, c.name))


class LeastPredicted(Router):
    """The earliest predicted finish among a random sample of candidates.

    The sample also includes the candidate that caches most of the prompt's prefix. Sampling keeps
    entry processes with the same outdated reports from all choosing the same idle engine.
    """

    def pick(
        self, candidates: Sequence[Candidate], work: RequestEstimate, rng: random.Random
    ) -> Candidate | None:
        """Return the candidate with the earliest predicted finish among those drawn."""
        if not candidates:
            return None
        drawn = list(candidates)
        # Urgent requests are too few to overload one engine: they choose among all.
        if len(drawn) > MAX_CANDIDATES_WITHOUT_SAMPLING and work.priority != URGENT:
            drawn = rng.sample(drawn, SAMPLE_SIZE)
            longest_cached = max(candidates, key=lambda c: c.cached_tokens)
            if longest_cached.cached_tokens and longest_cached not in drawn:
                drawn.append(longest_cached)
        ready = [c for c in drawn if c.share >= 1 or rng.random() < c.share] or drawn
        return min(ready, key=lambda c: predict_finish(c, work))


def predict_first_token(candidate: Candidate, work: RequestEstimate) -> float:
    """Return the predicted seconds to the first token."""
    uncached = max(1, work.prompt_tokens - candidate.cached_tokens)
    queued = 0.0 if work.priority == URGENT else candidate.waiting_tokens
    seconds = (queued + uncached) / candidate.prefill_rate + candidate.token_seconds
    excess_requests = candidate.inflight + 1 - candidate.slots
    if excess_requests > 0 and work.priority != URGENT:
        # No slot is free; waits for requests to complete.
        seconds += excess_requests * work.output_tokens * candidate.token_seconds / candidate.slots
    return seconds + (0.0 if candidate.near else CROSS_ZONE_SECONDS)


def predict_finish(candidate: Candidate, work: RequestEstimate) -> float:
    """Return the predicted seconds to the complete answer."""
    batch_slowdown = 1 + candidate.inflight / (4 * candidate.slots)
    decode = work.output_tokens * candidate.token_seconds * batch_slowdown
    return predict_first_token(candidate, work) + decode
