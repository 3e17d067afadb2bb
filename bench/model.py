"""Simulated engines and entries in virtual time that run the production policies.

The policies use the clock of the simulation, so a run is determined by its seed. Engines batch
requests like the stand-in.
"""

import heapq
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from swifttrestle.internal.clock import Clock
from swifttrestle.internal.policy.admission import Admission, Decision
from swifttrestle.internal.policy.retry_budget import RetryBudget
from swifttrestle.internal.policy.roles import EngineLoad, RolePlanner
from swifttrestle.internal.policy.routing import Candidate, RequestEstimate, Router
from swifttrestle.internal.protocol.engine import EngineAssignment, EngineState, LoadReport
from swifttrestle.internal.protocol.prefixes import BLOCK_TOKENS
from swifttrestle.internal.state.closings import ClosingTable
from swifttrestle.internal.state.upstreams import UpstreamRequirements, UpstreamTable
from swifttrestle.resources import Model, Policy, ResourceSet, Service, Upstream

PREFILL_CHUNK_TOKENS = 512
REPORT_INTERVAL_SECONDS, REPORT_LAG_SECONDS = 0.2, 0.3
RECHECK_INTERVAL_SECONDS = 0.05
READMIT_INTERVAL_SECONDS = 1.0
EVENT_LAG_SECONDS, EVENT_LOSS_SHARE = 0.5, 0.05
ROLE_CHANGE_SECONDS = 3.0
HOP_SECONDS = 0.0015
IMPORT_TOKENS_PER_SECOND = 200_000.0
MAX_ATTEMPTS = 3
CONNECT_SECONDS = 1.0


class ModelClock(Clock):
    """The virtual clock of the simulation."""

    def __init__(self) -> None:
        """Create a clock at a time far above zero."""
        self.time = 1000.0

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.time


@dataclass(eq=False)
class Request:
    """One request and its progress; times in virtual seconds."""

    kind: str
    work: RequestEstimate
    deadline: float
    blocks: tuple[int, ...]
    at: float
    entry: int = 0
    attempts: int = 0
    tokens_left: int = 0
    sent: int = 0
    uncached: float = 0
    tokens_before: float = 0
    routed_at: float = 0
    first_at: float = 0
    checked_at: float = 0
    target: str = ""
    prefill_engine: str = ""
    done_at: float | None = None
    outcome: str = ""

    @property
    def in_time(self) -> bool:
        """Whether the complete answer arrived before the deadline."""
        return self.done_at is not None and self.done_at <= self.at + self.deadline


@dataclass(eq=False)
class ModelEngine:
    """A simulated engine; `speed` is relative to the fastest hardware."""

    name: str
    speed: float
    slots: int = 16
    queue: int = 32
    cache_blocks: int = 2000
    role: str = "mixed"
    changing_until: float = 0.0
    waiting: list[Request] = field(default_factory=list)
    decoding: list[Request] = field(default_factory=list)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)
    events: list[tuple[float, str, int]] = field(default_factory=list)
    tokens_out: int = 0
    prefilled: int = 0
    hit_tokens: int = 0
    stepping: bool = False
    closed: bool = False

    def take(self, request: Request, imported: bool) -> bool:
        """Queue a request; return False if the queue is full."""
        limit = self.slots + self.queue + (self.slots if request.work.priority == "urgent" else 0)
        if len(self.waiting) + len(self.decoding) >= limit:
            return False
        hit = 0
        for block in request.blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            hit += BLOCK_TOKENS
        request.tokens_left = max(1, request.work.prompt_tokens - hit)
        if imported:
            request.tokens_left = 1
        self.hit_tokens += request.work.prompt_tokens - request.tokens_left
        self.waiting.append(request)
        self.waiting.sort(key=lambda r: r.work.priority != "urgent")
        return True

    def step(self, now: float) -> tuple[float, list[Request]]:
        """Run one batch step; return its duration in seconds and the finished requests."""
        budget = PREFILL_CHUNK_TOKENS
        ended = []
        while self.waiting and budget > 0:
            if self.role != "prefill" and len(self.decoding) >= self.slots:
                break
            request = self.waiting[0]
            done = min(budget, request.tokens_left)
            request.tokens_left -= done
            budget -= done
            if request.tokens_left:
                break
            self.waiting.pop(0)
            self._cache_prompt(request.blocks, now)
            if self.role == "prefill":
                ended.append(request)
            else:
                self.decoding.append(request)
        self.prefilled += PREFILL_CHUNK_TOKENS - budget
        for request in list(self.decoding):
            request.sent += 1
            if request.sent == 1:
                request.first_at = now
            self.tokens_out += 1
            if request.sent >= request.work.output_tokens:
                self.decoding.remove(request)
                ended.append(request)
        base = 0.004 if self.role == "prefill" else 0.02
        seconds = base + 0.0004 * len(self.decoding) + (PREFILL_CHUNK_TOKENS - budget) / 20_000
        return seconds / self.speed, ended

    def _cache_prompt(self, blocks: tuple[int, ...], now: float) -> None:
        for block in blocks:
            if block not in self.cache:
                self.events.append((now, "stored", block))
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            dropped, _ = self.cache.popitem(last=False)
            self.events.append((now, "dropped", dropped))

    def report(self, now: float) -> LoadReport:
        """Return the current load."""
        holding = EngineAssignment("m", "v1", (), self.role)
        state = EngineState(self.name, holding, now < self.changing_until, "", 0)
        tokens = sum(request.tokens_left for request in self.waiting)
        return LoadReport(
            state, now, self.slots, len(self.waiting), tokens, len(self.decoding),
            self.tokens_out, self.prefilled,
        )  # fmt: skip


@dataclass(frozen=True)
class Guards:
    """Enabled guards against failed engines."""

    retry_budget: bool = True
    ejection: bool = True
    busy_is_not_broken: bool = True


@dataclass
class Policies:
    """Factories of the policies under test, called for each run."""

    router: Callable[[], Router]
    admission: Callable[[], Admission]
    planner: Callable[[], RolePlanner]


class ModelRun:
    """Simulation of a trace of requests over some entries and engines."""

    def __init__(
        self,
        engines: list[ModelEngine],
        policies: Policies,
        policy: Policy,
        seed: int,
        entries: int,
    ) -> None:
        """Prepare a simulation; `run` executes it."""
        self.clock = ModelClock()
        self.engines = {engine.name: engine for engine in engines}
        self.policy = policy
        self.rng = random.Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.role_changes = 0
        self.retries = 0
        self.decisions: list[str] = []
        self.planner = policies.planner()
        self.admission = policies.admission()
        self.service = Service(name="s", type="model", model="m")
        self.tables = [self._make_table() for _ in range(entries)]
        self.routers = [policies.router() for _ in range(entries)]
        self.queues: list[list[Request]] = [[] for _ in range(entries)]
        self.reports: dict[str, list[LoadReport]] = {name: [] for name in self.engines}
        self.changed: dict[str, float] = {}
        self.guards = Guards()
        self.broken: dict[str, tuple[float, float]] = {}
        self.budgets = [RetryBudget(policy.retry_ratio) for _ in range(entries)]

    def _make_table(self) -> UpstreamTable:
        upstreams = {
            name: Upstream(name=name, type="engine", address="1:1", zone="a", model="m")
            for name in self.engines
        }
        models = {"m": Model(name="m", versions=("v1",), version="v1")}
        table = UpstreamTable("a", ClosingTable(), self.clock)
        policies = {"default": self.policy}
        table.configure(ResourceSet(models=models, upstreams=upstreams, policies=policies))
        return table

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a virtual delay."""
        item = (self.clock.time + seconds, next(self.numbers), action)
        heapq.heappush(self.events, item)

    def run(self, trace: list[Request], seconds: float) -> list[Request]:
        """Simulate a trace for `seconds`; return its requests with their outcomes."""
        start = self.clock.time
        for engine in self.engines.values():
            self._send_report(engine)
        for request in trace:
            request.at += start
            self.schedule(request.at - start, lambda r=request: self._arrive(r))  # type: ignore[misc]
        self.schedule(RECHECK_INTERVAL_SECONDS, self._recheck_waiting)
        self.schedule(0.5, self._plan)
        while self.events and self.events[0][0] <= start + seconds:
            self.clock.time, _, action = heapq.heappop(self.events)
            action()
        return trace

    # Entries.

    def _arrive(self, request: Request) -> None:
        request.entry = next(self.numbers) % len(self.tables)
        self.budgets[request.entry].note_request(self.clock.time)
        self._admit(request, waiting=False)

    def _admit(self, request: Request, waiting: bool) -> bool:
        """Decide on one request; return whether it is sent or rejected instead of waiting."""
        queue = self.queues[request.entry]
        seconds_left = request.at + request.deadline - self.clock.time
        if seconds_left <= 0:
            request.outcome = "expired"
            return True
        wanted = UpstreamRequirements(self.service, request.work.prompt_tokens, request.blocks)
        candidates = self.tables[request.entry].candidates(wanted)
        ahead = queue.index(request) if waiting else len(queue)
        if request.work.priority == "urgent":
            ahead = 0
        result = self.admission.decide(
            candidates, request.work, seconds_left, ahead, self.policy.queue_limit
        )
        if result.decision is Decision.GO and self._send(request, result.available):
            return True
        if result.decision is Decision.REFUSE:
            request.outcome = "shed"
            return True
        if not waiting:
            queue.append(request)
            queue.sort(key=lambda r: (r.work.priority != "urgent", r.at + r.deadline))
        return False

    def _send(self, request: Request, available: tuple[Candidate, ...]) -> bool:
        table = self.tables[request.entry]
        chosen = self.routers[request.entry].pick(available, request.work, self.rng)
        if chosen is None:
            return False
        self.decisions.append(chosen.name)
        request.uncached = max(1, request.work.prompt_tokens - chosen.cached_tokens)
        request.tokens_before = request.uncached + chosen.waiting_tokens
        table.begin(chosen.name, request.uncached)
        request.target, request.prefill_engine = chosen.name, chosen.prefill_engine
        request.routed_at = self.clock.time
        request.attempts += 1
        first = chosen.prefill_engine or chosen.name
        table.prefixes.note_stored(first, request.blocks)
        self.schedule(HOP_SECONDS, lambda: self._deliver(request, first, imported=False))
        return True

    def _deliver(self, request: Request, name: str, imported: bool) -> None:
        engine = self.engines[name]
        if self._is_broken(name):
            if self.guards.ejection:
                self.tables[request.entry].note_failure(name)
            # Connections to a broken engine time out.
            self.schedule(CONNECT_SECONDS, lambda: self._handle_refusal(request))
            return
        is_changing = self.clock.time < engine.changing_until
        if is_changing or not engine.take(request, imported):
            if not self.guards.busy_is_not_broken:
                self.tables[request.entry].note_failure(name)
            self._handle_refusal(request)
            return
        if not engine.stepping:
            engine.stepping = True
            self.schedule(0.0, lambda: self._step(engine))

    def _handle_refusal(self, request: Request) -> None:
        self.tables[request.entry].end(request.target)
        budget = self.budgets[request.entry]
        if request.attempts >= MAX_ATTEMPTS or (
            self.guards.retry_budget and not budget.take(self.clock.time)
        ):
            request.outcome = "shed"
            return
        self.retries += 1
        if not self._admit(request, waiting=False):
            request.outcome = ""

    def _is_broken(self, name: str) -> bool:
        start, end = self.broken.get(name, (0.0, 0.0))
        return start <= self.clock.time < end

    def _recheck_waiting(self) -> None:
        """Run admission again for waiting requests."""
        for queue in self.queues:
            for position, request in enumerate(list(queue)):
                # Like in the entry: the first is checked every time, the others less often.
                if position and self.clock.time - request.checked_at < READMIT_INTERVAL_SECONDS:
                    continue
                request.checked_at = self.clock.time
                if self._admit(request, waiting=True):
                    queue.remove(request)
        self.schedule(RECHECK_INTERVAL_SECONDS, self._recheck_waiting)

    # Engines.

    def _step(self, engine: ModelEngine) -> None:
        if not engine.waiting and not engine.decoding:
            engine.stepping = False
            return
        seconds, ended = engine.step(self.clock.time)
        self.schedule(seconds, lambda: self._step(engine))
        for request in ended:
            if (
                engine.role == "prefill"
                and request.sent == 0
                and request.prefill_engine == engine.name
            ):
                delay = request.work.prompt_tokens / IMPORT_TOKENS_PER_SECOND + HOP_SECONDS
                target = request.target
                self.schedule(delay, lambda r=request, t=target: self._deliver(r, t, True))  # type: ignore[misc]
            else:
                self.schedule(seconds + HOP_SECONDS, lambda r=request: self._end(r))  # type: ignore[misc]

    def _end(self, request: Request) -> None:
        request.done_at = self.clock.time
        request.outcome = "done"
        table = self.tables[request.entry]
        table.end(request.target)
        first = request.first_at - request.routed_at
        table.note_first_token(request.target, request.tokens_before, max(first, 1e-3))
        decode = request.done_at - request.first_at
        table.note_decode(request.target, request.work.output_tokens, decode)

    def _send_report(self, engine: ModelEngine) -> None:
        """Create a report now and deliver it to the entries after its lag."""
        report = engine.report(self.clock.time)
        events, engine.events = engine.events, []

        def arrive() -> None:
            self.reports[engine.name] = [report]
            for table in self.tables:
                table.note_report(engine.name, report)

        def arrive_events() -> None:
            for _, what, block in events:
                for table in self.tables:
                    if self.rng.random() < EVENT_LOSS_SHARE:
                        continue
                    if what == "stored":
                        table.prefixes.note_stored(engine.name, (block,))
                    else:
                        table.prefixes.note_dropped(engine.name, block)

        self.schedule(REPORT_LAG_SECONDS if self.clock.time > 1000 else 0, arrive)
        self.schedule(EVENT_LAG_SECONDS, arrive_events)
        self.schedule(REPORT_INTERVAL_SECONDS, lambda: self._send_report(engine))

    # Roles.

    def _plan(self) -> None:
        """Run the role planner; drain an engine before changing its role."""
        self.schedule(0.5, self._plan)
        if any(engine.closed for engine in self.engines.values()):
            return
        loads = [
            EngineLoad(
                name, report.state.holding.role, report.waiting_tokens, report.waiting,
                report.decoding, report.slots, report.tokens_out, report.prefilled, report.at,
                self.changed.get(name, float("-inf")),
            )
            for name, reports in self.reports.items()
            for report in reports
        ]  # fmt: skip
        if len(loads) < len(self.engines):
            return
        change = self.planner.plan(loads, self.policy, self.clock.time)
        if change is None or self.engines[change.engine].role == change.role:
            return
        engine = self.engines[change.engine]
        engine.closed = True
        for table in self.tables:
            table.note_refusal(change.engine)
        self._drain_then_change(engine, change.role)

    def _drain_then_change(self, engine: ModelEngine, role: str) -> None:
        busy = any(table.count_open(engine.name) for table in self.tables)
        if engine.waiting or engine.decoding or busy:
            for table in self.tables:
                table.note_refusal(engine.name)
            self.schedule(0.1, lambda: self._drain_then_change(engine, role))
            return
        engine.role = role
        engine.closed = False
        engine.changing_until = self.clock.time + ROLE_CHANGE_SECONDS
        self.changed[engine.name] = self.clock.time
        self.role_changes += 1
