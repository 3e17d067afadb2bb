"""The state of an entry's upstreams: load reports, own open requests, health and measured speed.

Each request to an upstream starts with `begin`, which checks under a lock that the upstream is not
closed and counts the request. `count_open` takes the same lock, so that no request can start
unnoticed after an entry has reported "closed, none open".
"""

import threading
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from swifttrestle.internal.clock import Clock
from swifttrestle.internal.coordination.membership.membership import OpenRequestCounter
from swifttrestle.internal.policy.ejection import Ejector
from swifttrestle.internal.policy.routing import (
    DEFAULT_PREFILL_RATE,
    DEFAULT_TOKEN_SECONDS,
    Candidate,
)
from swifttrestle.internal.protocol.engine import LoadReport
from swifttrestle.internal.state.closings import ClosingTable
from swifttrestle.internal.state.prefixes import PrefixIndex
from swifttrestle.resources import Policy, ResourceSet, Service, Upstream

# Assumed delay between a load and its report.
ASSUMED_LAG_SECONDS = 0.5
# Weight of a new sample in the moving averages of speeds.
SAMPLE_WEIGHT = 0.1
# Prefill samples of fewer tokens are ignored.
MIN_SAMPLE_TOKENS = 256
# Prompts shorter than this are not prefilled by another engine: the transfer costs more.
MIN_REMOTE_PREFILL_TOKENS = 1024
# Time for which an upstream gets no requests after a refusal.
REFUSAL_SECONDS = 2.0
# Time after a request for which an upstream counts as in use.
IN_USE_SECONDS = 5.0
# Age from which a load report is outdated.
STALE_SECONDS = 5.0
# Bounds on samples of prefill rates, in tokens per second.
MAX_PREFILL_RATE, MIN_PREFILL_RATE = 1e6, 10.0


@dataclass
class UpstreamState:
    """One upstream; times are seconds of the local monotonic clock.

    `sends` holds the time and the uncached prompt tokens of recent requests.
    """

    upstream: Upstream
    report: LoadReport | None = None
    reported_at: float = float("-inf")
    open: int = 0
    sends: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=4096))
    prefill_rate: float = DEFAULT_PREFILL_RATE
    token_seconds: float = DEFAULT_TOKEN_SECONDS
    refused_until: float = float("-inf")


@dataclass(frozen=True)
class UpstreamRequirements:
    """What a request needs of an upstream.

    `version` is the required model version, set once a stream has begun. `blocks` are the digests
    of the prompt's prefixes, and `exclude` names upstreams that are not to be used.
    """

    service: Service
    prompt_tokens: int = 1
    blocks: tuple[int, ...] = ()
    version: str = ""
    exclude: frozenset[str] = frozenset()


class UpstreamTable(OpenRequestCounter):
    """All upstreams of one entry; `configure` adds them."""

    def __init__(self, zone: str, closings: ClosingTable, clock: Clock) -> None:
        self._zone = zone
        self._closings = closings
        self._clock = clock
        self._lock = threading.RLock()
        self._states: dict[str, UpstreamState] = {}
        self._config = ResourceSet()
        self._ejector = Ejector(Policy(name="d").ejection_cap, Policy(name="d").return_seconds)
        self.prefixes = PrefixIndex()

    def configure(self, config: ResourceSet) -> None:
        """Apply a configuration; a removed upstream keeps its count of open requests."""
        with self._lock:
            self._config = config
            self._ejector.cap = config.policy.ejection_cap
            self._ejector.return_seconds = config.policy.return_seconds
            for name, upstream in config.upstreams.items():
                state = self._states.get(name)
                if state is None or state.upstream.address != upstream.address:
                    self._states[name] = UpstreamState(upstream, open=state.open if state else 0)
                else:
                    state.upstream = upstream

    def addresses(self) -> dict[str, str]:
        """Return the addresses of the engines to poll for load reports, by name."""
        with self._lock:
            upstreams = self._config.upstreams.values()
            return {u.name: u.address for u in upstreams if u.type == "engine"}

    def candidates(self, wanted: UpstreamRequirements) -> list[Candidate]:
        """Return the upstreams that may accept a request now."""
        now = self._clock.now()
        with self._lock:
            usable = [
                state
                for name, state in self._states.items()
                if name not in wanted.exclude and self._is_usable(name, state, wanted, now)
            ]
            if wanted.service.type == "plain":
                return [self._describe(state, wanted, now) for state in usable]
            # An engine whose reports have stopped may hang. If all reports have stopped, the
            # reporting is at fault, and all engines remain usable.
            fresh = [state for state in usable if now - state.reported_at < STALE_SECONDS]
            usable = fresh or usable
            return self._describe_engines(usable, wanted, now)

    def _is_usable(
        self, name: str, state: UpstreamState, wanted: UpstreamRequirements, now: float
    ) -> bool:
        upstream = self._config.upstreams.get(name)
        if upstream is None or name in self._config.drains:
            return False
        if self._closings.is_closed(name) or now < state.refused_until:
            return False
        if self._ejector.is_ejected(name, now):
            return False
        if wanted.service.type == "plain":
            return upstream.type == "plain" and wanted.service.name in upstream.services
        return self._holds_model(state, wanted)

    def _holds_model(self, state: UpstreamState, wanted: UpstreamRequirements) -> bool:
        report = state.report
        model = self._config.models.get(wanted.service.model)
        if report is None or model is None or report.leaving or report.state.changing:
            return False
        holding = report.state.holding
        if holding.model != model.name:
            return False
        if wanted.version and holding.version != wanted.version:
            return False
        if holding.version not in model.versions:
            return False
        adapter = self.adapter_label(wanted.service)
        return not adapter or adapter in holding.adapters

    def adapter_label(self, service: Service) -> str:
        """Return the name of a service's adapter on engines, or the empty string."""
        adapter = self._config.adapters.get(service.adapter)
        return f"{adapter.name}@{adapter.version}" if adapter else ""

    def _describe_engines(
        self, usable: list[UpstreamState], wanted: UpstreamRequirements, now: float
    ) -> list[Candidate]:
        described = {"mixed": [], "prefill": [], "decode": []}  # type: dict[str, list[Candidate]]
        for state in usable:
            assert state.report is not None
            role = state.report.state.holding.role
            described.setdefault(role, []).append(self._describe(state, wanted, now))
        found = described["mixed"]
        if described["prefill"]:
            long_prompt = wanted.prompt_tokens >= MIN_REMOTE_PREFILL_TOKENS
            # The first token of a remote prefill depends on the least loaded prefill engine.
            best = min(described["prefill"], key=lambda c: c.waiting_tokens / c.prefill_rate)
            found = found + [
                replace(
                    candidate,
                    prefill_engine=best.name,
                    waiting_tokens=best.waiting_tokens,
                    prefill_rate=best.prefill_rate,
                    cached_tokens=best.cached_tokens,
                )
                for candidate in described["decode"] + (found if long_prompt else [])
            ]
        return found

    def _describe(
        self, state: UpstreamState, wanted: UpstreamRequirements, now: float
    ) -> Candidate:
        upstream, report = state.upstream, state.report
        cutoff = state.reported_at - ASSUMED_LAG_SECONDS
        recent = [tokens for at, tokens in state.sends if at > cutoff]
        reported = report.decoding + report.waiting if report else 0
        waiting = report.waiting_tokens if report else 0
        return Candidate(
            name=upstream.name,
            near=upstream.zone == self._zone,
            waiting_tokens=waiting + sum(recent),
            inflight=max(state.open, reported + len(recent)),
            slots=report.slots if report else upstream.slots,
            cached_tokens=self.prefixes.count_cached(upstream.name, wanted.blocks),
            prefill_rate=state.prefill_rate,
            token_seconds=state.token_seconds,
            share=self._ejector.share(upstream.name, now),
            reported_inflight=reported,
        )

    def begin(self, name: str, uncached: float) -> bool:
        """Count a new request on an upstream; return False if it is closed to new work."""
        with self._lock:
            state = self._states.get(name)
            drained = name in self._config.drains or name not in self._config.upstreams
            if state is None or drained or self._closings.is_closed(name):
                return False
            state.open += 1
            state.sends.append((self._clock.now(), uncached))
            return True

    def end(self, name: str) -> bool:
        """Count the end of a request; return whether it was the last on a closed upstream."""
        with self._lock:
            state = self._states.get(name)
            if state is None:
                return False
            state.open -= 1
            return state.open == 0 and self._closings.is_closed(name)

    def count_open(self, upstream: str) -> int:
        """Return the number of this entry's open requests on an upstream."""
        with self._lock:
            state = self._states.get(upstream)
            return state.open if state else 0

    def address(self, name: str) -> str:
        """Return an upstream's address."""
        with self._lock:
            return self._states[name].upstream.address

    def version(self, name: str) -> str:
        """Return the model version that an engine last reported."""
        with self._lock:
            report = self._states[name].report
            return report.state.holding.version if report else ""

    def note_report(self, name: str, report: LoadReport) -> None:
        """Store a load report."""
        with self._lock:
            state = self._states.get(name)
            if state is None:
                return
            if state.report and state.report.state.boot != report.state.boot:
                self.prefixes.drop_engine(name)
            state.report = report
            state.reported_at = self._clock.now()
            horizon = state.reported_at - 10 * ASSUMED_LAG_SECONDS
            while state.sends and state.sends[0][0] < horizon:
                state.sends.popleft()

    def is_in_use(self, name: str) -> bool:
        """Return whether an engine needs frequent polling: it has work or is being changed."""
        with self._lock:
            state = self._states.get(name)
            if state is None:
                return False
            settled = bool(_format_holding(state.report)) and not self._closings.is_closed(name)
            recent = state.sends and self._clock.now() - state.sends[-1][0] < IN_USE_SECONDS
            return bool(recent) or state.open > 0 or not settled

    def note_refusal(self, name: str) -> None:
        """Send no requests to an upstream for `REFUSAL_SECONDS` after it has refused one."""
        with self._lock:
            if name in self._states:
                self._states[name].refused_until = self._clock.now() + REFUSAL_SECONDS

    def note_failure(self, name: str) -> bool:
        """Count a failure of an upstream; return whether that ejects it."""
        with self._lock:
            state = self._states.get(name)
            if state is None:
                return False
            group = [
                n
                for n, s in self._states.items()
                if _serve_same_requests(s.upstream, state.upstream)
            ]
            return self._ejector.note_failure(name, group, self._clock.now())

    def note_first_token(self, name: str, tokens: float, seconds: float) -> None:
        """Update an engine's prefill rate by the time to one first token.

        `tokens` are the prompt tokens prefilled in that time: the queued ones and the request's
        own.
        """
        with self._lock:
            self._ejector.note_success(name, self._clock.now())
            state = self._states.get(name)
            if state is None or tokens < MIN_SAMPLE_TOKENS:
                # The wait for the engine's current step dominates such a short prefill.
                return
            # The average is of times per token, not of rates: an early first token, due to an
            # outdated report, would distort an average of rates for long.
            sample = min(1 / MIN_PREFILL_RATE, max(1 / MAX_PREFILL_RATE, seconds / tokens))
            known = 1 / state.prefill_rate
            state.prefill_rate = 1 / (known + SAMPLE_WEIGHT * (sample - known))

    def note_decode(self, name: str, tokens: int, seconds: float) -> None:
        """Update an engine's time between tokens by one stream."""
        with self._lock:
            state = self._states.get(name)
            if state is not None and tokens > 1:
                state.token_seconds += SAMPLE_WEIGHT * (seconds / tokens - state.token_seconds)

    def dump(self) -> dict[str, dict]:
        """Return the state of all upstreams for the state dump."""
        now = self._clock.now()
        with self._lock:
            return {
                name: {
                    "open": state.open,
                    "holding": _format_holding(state.report),
                    "report_age": round(now - state.reported_at, 3) if state.report else None,
                    "prefill_rate": round(state.prefill_rate),
                    "token_seconds": round(state.token_seconds, 5),
                    "out": self._ejector.is_ejected(name, now),
                    "closed": self._closings.is_closed(name),
                }
                for name, state in self._states.items()
            }


def _format_holding(report: LoadReport | None) -> str:
    if report is None or report.state.changing or not report.state.holding.model:
        return ""
    return f"{report.state.holding.model}@{report.state.holding.version}"


def _serve_same_requests(one: Upstream, other: Upstream) -> bool:
    if one.type == "engine":
        return other.type == "engine" and one.model == other.model
    return bool(set(one.services) & set(other.services))


def excluding(wanted: UpstreamRequirements, names: Sequence[str]) -> UpstreamRequirements:
    """Return the requirements with more upstreams excluded."""
    return replace(wanted, exclude=wanted.exclude | frozenset(names))
