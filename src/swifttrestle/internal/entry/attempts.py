"""Attempts of one request at upstreams: choose, count, call, and learn from the outcome."""

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

FIRST_TOKEN_SECONDS = 30.0
LEAST_WAIT_SECONDS = 0.2


@dataclass(frozen=True)
class Target:
    """An upstream that a request has been counted on."""

    candidate: Candidate
    uncached: float


@dataclass(frozen=True)
class Attempt:
    """One attempt that has begun to stream."""

    upstream: str
    address: str
    call: EngineCall
    stream: OpenStream
    selection: UpstreamRequirements
    work: RequestEstimate
    began: float


class Attempts:
    """Makes attempts for all requests of one entry."""

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
        """Choose with a router; engine-side ids start with this process's name and start."""
        self.guard = guard
        self._table = table
        self._router = router
        self._rng = rng
        self._lock = threading.Lock()
        self._metrics = metrics
        self._connect_seconds = connect_seconds
        self._prefix = f"{name}.{time.time_ns():x}"
        self._numbers = itertools.count(1)
        self.ended = threading.Event()

    def make_id(self) -> str:
        """Return an id that no other request of any process has."""
        return f"{self._prefix}.{next(self._numbers)}"

    def take(self, available: tuple[Candidate, ...], work: RequestEstimate) -> Target | None:
        """Choose one of the candidates and count the request on it."""
        left = list(available)
        while left:
            with self._lock:
                chosen = self._router.pick(left, work, self._rng)
            if chosen is None:
                return None
            uncached = max(1, work.prompt_tokens - chosen.cached_tokens)
            if self._table.begin(chosen.name, uncached):
                return Target(chosen, uncached)
            left.remove(chosen)
        return None

    def open(
        self,
        target: Target,
        call: EngineCall,
        selection: UpstreamRequirements,
        work: RequestEstimate,
        seconds: float = FIRST_TOKEN_SECONDS,
    ) -> Attempt:
        """Call the chosen engine and wait so long for its first token, 30 s at most.

        Raises UpstreamError, after which the request is not counted on the engine any more.
        """
        name = target.candidate.name
        began = read_boottime_seconds()
        try:
            address = self._table.address(name)
            pinned = replace(call, version=call.version or self._table.version(name))
            if target.candidate.prefill_engine:
                pinned = replace(
                    pinned, kv_from=self._prefill(target.candidate.prefill_engine, pinned)
                )
            bound = min(FIRST_TOKEN_SECONDS, max(LEAST_WAIT_SECONDS, seconds))
            stream = open_stream(address, pinned, self._connect_seconds, bound)
        except UpstreamError as error:
            self._table.end(name)
            self.note_failure(name, error)
            self.guard.note_failure(call.request_id, name, address, error)
            raise
        except BaseException:
            self._table.end(name)
            raise
        before = target.candidate.waiting_tokens + target.uncached
        self._table.note_first_token(name, before, read_boottime_seconds() - began)
        self._table.prefixes.note_stored(target.candidate.prefill_engine or name, selection.blocks)
        return Attempt(name, address, pinned, stream, selection, work, read_boottime_seconds())

    def _prefill(self, engine: str, call: EngineCall) -> dict[str, str]:
        """Have another engine prefill; it is counted on that engine meanwhile."""
        if not self._table.begin(engine, call.offset + 1):
            raise UpstreamLeavingError(f"{engine} takes no new work")
        try:
            address = self._table.address(engine)
            handle = start_prefill(address, call, self._connect_seconds, FIRST_TOKEN_SECONDS)
        except UpstreamError as error:
            self.note_failure(engine, error)
            self.guard.note_failure(call.request_id, engine, address, error)
            raise
        finally:
            self._table.end(engine)
        return {"address": address, "handle": handle}

    def note_failure(self, name: str, error: UpstreamError) -> None:
        """Learn from a failed call: broken counts towards ejection, busy never does."""
        self._metrics.count("upstream_failures_total", reason=error.code.name)
        if isinstance(error, UpstreamLeavingError):
            self._table.note_refusal(name)
        elif isinstance(error, UpstreamBrokenError) and self._table.note_failure(name):
            self._metrics.count("ejections_total")

    def end(self, attempt: Attempt, tokens: int, failed: bool) -> None:
        """Count an attempt's end."""
        last_on_closed = self._table.end(attempt.upstream)
        if failed:
            self._table.note_failure(attempt.upstream)
        else:
            seconds = read_boottime_seconds() - attempt.began
            self._table.note_decode(attempt.upstream, tokens, seconds)
        if last_on_closed:
            self.ended.set()

    def resume(self, attempt: Attempt, offset: int, failed: list[str]) -> Attempt:
        """Open the rest of an answer on another engine with the same version."""
        selection = replace(attempt.selection, version=attempt.call.version)
        wanted = excluding(selection, failed)
        candidates = tuple(self._table.candidates(wanted))
        target = self.take(candidates, attempt.work)
        if target is None:
            raise UpstreamLeavingError("no other engine holds this version now")
        call = replace(attempt.call, attempt=attempt.call.attempt + 1, offset=offset, kv_from=None)
        return self.open(target, call, selection, attempt.work)
