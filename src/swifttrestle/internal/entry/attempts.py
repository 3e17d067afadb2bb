"""Attempts of requests at upstreams: selection, accounting, the call and its outcome."""

import itertools
import random
import threading
import time
from dataclasses import dataclass, replace

from swifttrestle.errors import UpstreamBrokenError, UpstreamError, UpstreamLeavingError
from swifttrestle.internal.clock import read_boottime_seconds
from swifttrestle.internal.entry.crash_guard import EntryCrashGuard
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.routing import Candidate, RequestEstimate, Router
from swifttrestle.internal.protocol.calls import (
    EngineCall,
    OpenStream,
    open_stream,
    start_prefill,
)
from swifttrestle.internal.state.upstreams import UpstreamRequirements, UpstreamTable, excluding

FIRST_TOKEN_TIMEOUT_SECONDS = 30.0
MIN_FIRST_TOKEN_TIMEOUT_SECONDS = 0.2


@dataclass(frozen=True)
class Target:
    """The selected upstream of a request, on which the request is counted as open."""

    candidate: Candidate
    uncached_tokens: float


@dataclass(frozen=True)
class Attempt:
    """An attempt whose stream has begun."""

    upstream: str
    address: str
    call: EngineCall
    stream: OpenStream
    requirements: UpstreamRequirements
    work: RequestEstimate
    started_at: float


class Attempts:
    """Makes the attempts of all requests of one entry."""

    def __init__(
        self,
        table: UpstreamTable,
        router: Router,
        rng: random.Random,
        metrics: Metrics,
        guard: EntryCrashGuard,
        *,
        connect_seconds: float,
        name: str,
    ) -> None:
        """Select with `router`; request ids start with the process's name and start time."""
        self.guard = guard
        self._table = table
        self._router = router
        self._rng = rng
        self._lock = threading.Lock()
        self._metrics = metrics
        self._connect_seconds = connect_seconds
        self._prefix = f"{name}.{time.time_ns():x}"
        self._numbers = itertools.count(1)
        # Set when the last request on a closed upstream has ended.
        self.closed_upstream_idle = threading.Event()

    def make_id(self) -> str:
        """Return a request id that is unique over all processes."""
        return f"{self._prefix}.{next(self._numbers)}"

    def select(self, candidates: tuple[Candidate, ...], work: RequestEstimate) -> Target | None:
        """Select one of the candidates and count the request on it; return None if none is left."""
        remaining = list(candidates)
        while remaining:
            with self._lock:
                chosen = self._router.pick(remaining, work, self._rng)
            if chosen is None:
                return None
            uncached_tokens = max(1, work.prompt_tokens - chosen.cached_tokens)
            if self._table.begin(chosen.name, uncached_tokens):
                return Target(chosen, uncached_tokens)
            remaining.remove(chosen)
        return None

    def open(
        self,
        target: Target,
        call: EngineCall,
        requirements: UpstreamRequirements,
        work: RequestEstimate,
        seconds: float = FIRST_TOKEN_TIMEOUT_SECONDS,
    ) -> Attempt:
        """Call the selected engine and wait `seconds` for its first token, within fixed bounds.

        Raises UpstreamError; the request is then no longer counted on the engine.
        """
        name = target.candidate.name
        started_at = read_boottime_seconds()
        try:
            address = self._table.address(name)
            pinned_call = replace(call, version=call.version or self._table.version(name))
            if target.candidate.prefill_engine:
                pinned_call = replace(
                    pinned_call, kv_from=self._prefill(target.candidate.prefill_engine, pinned_call)
                )
            timeout = min(
                FIRST_TOKEN_TIMEOUT_SECONDS, max(MIN_FIRST_TOKEN_TIMEOUT_SECONDS, seconds)
            )
            stream = open_stream(address, pinned_call, self._connect_seconds, timeout)
        except UpstreamError as error:
            self._table.end(name)
            self.record_failure(name, error)
            self.guard.record_failure(call.request_id, name, address, error)
            raise
        except BaseException:
            self._table.end(name)
            raise
        tokens_ahead = target.candidate.waiting_tokens + target.uncached_tokens
        self._table.note_first_token(name, tokens_ahead, read_boottime_seconds() - started_at)
        self._table.prefixes.note_stored(
            target.candidate.prefill_engine or name, requirements.blocks
        )
        return Attempt(
            name, address, pinned_call, stream, requirements, work, read_boottime_seconds()
        )

    def _prefill(self, engine: str, call: EngineCall) -> dict[str, str]:
        """Run the prefill on another engine, which counts it as open meanwhile."""
        if not self._table.begin(engine, call.offset + 1):
            raise UpstreamLeavingError(f"{engine} accepts no new requests")
        try:
            address = self._table.address(engine)
            handle = start_prefill(
                address, call, self._connect_seconds, FIRST_TOKEN_TIMEOUT_SECONDS
            )
        except UpstreamError as error:
            self.record_failure(engine, error)
            self.guard.record_failure(call.request_id, engine, address, error)
            raise
        finally:
            self._table.end(engine)
        return {"address": address, "handle": handle}

    def record_failure(self, name: str, error: UpstreamError) -> None:
        """Record a failed call: failures count towards ejection, refusals for load do not."""
        self._metrics.count("upstream_failures_total", reason=error.code.name)
        if isinstance(error, UpstreamLeavingError):
            self._table.note_refusal(name)
        elif isinstance(error, UpstreamBrokenError) and self._table.note_failure(name):
            self._metrics.count("ejections_total")

    def end(self, attempt: Attempt, tokens: int, failed: bool) -> None:
        """Record the end of an attempt."""
        last_on_closed = self._table.end(attempt.upstream)
        if failed:
            self._table.note_failure(attempt.upstream)
        else:
            seconds = read_boottime_seconds() - attempt.started_at
            self._table.note_decode(attempt.upstream, tokens, seconds)
        if last_on_closed:
            self.closed_upstream_idle.set()

    def can_resume(self, attempt: Attempt) -> bool:
        """Return whether another engine can take over the rest of a response now."""
        if self.guard.is_quarantined(attempt.call.request_id):
            return False
        remaining = _require_rest(attempt, [attempt.upstream])
        return bool(self._table.candidates(remaining))

    def resume(self, attempt: Attempt, offset: int, failed: list[str]) -> Attempt:
        """Open the rest of a response on another engine with the same model version."""
        requirements = _require_rest(attempt, [])
        candidates = tuple(self._table.candidates(_require_rest(attempt, failed)))
        target = self.select(candidates, attempt.work)
        if target is None:
            raise UpstreamLeavingError("no other engine holds this model version")
        call = replace(attempt.call, attempt=attempt.call.attempt + 1, offset=offset, kv_from=None)
        return self.open(target, call, requirements, attempt.work)


def _require_rest(attempt: Attempt, failed: list[str]) -> UpstreamRequirements:
    """Return what the rest of a response requires: the same model version, no failed engine."""
    requirements = replace(attempt.requirements, version=attempt.call.version)
    return excluding(requirements, failed)
