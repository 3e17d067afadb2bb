"""Small engines and entries in simulated time, driven by the real policies.

Time is data here: every decision of the policies is made on a clock that the model moves,
so that a run depends on its seed alone. Engines batch as the stand-in does.
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
from swifttrestle.internal.protocol.engine import EngineState, Holding, LoadReport
from swifttrestle.internal.protocol.prefixes import BLOCK_TOKENS
from swifttrestle.internal.state.closings import ClosingTable
from swifttrestle.internal.state.upstreams import UpstreamRequirements, UpstreamTable
from swifttrestle.resources import Model, Policy, ResourceSet, Service, Upstream

CHUNK = 512
REPORT_EVERY, REPORT_LAG = 0.2, 0.3
LOOK_EVERY = 0.05
REJUDGE_SECONDS = 1.0
EVENT_LAG, EVENT_LOSS = 0.5, 0.05
AWAY = 3.0
HOP = 0.0015
IMPORT_RATE = 200_000.0
MOST_ATTEMPTS = 3
CONNECT_SECONDS = 1.0


class ModelClock(Clock):
    """Time as the model has it."""

    def __init__(self) -> None:
        """Start at a time well above nought."""
        self.time = 1000.0

    def now(self) -> float:
        """Return the model's time in seconds."""
        return self.time


@dataclass(eq=False)
class Request:
    """One request and what became of it; times in seconds of the model."""

    kind: str
    work: RequestEstimate
    deadline: float
    blocks: tuple[int, ...]
    at: float
    entry: int = 0
    attempts: int = 0
    left: int = 0
    sent: int = 0
    uncached: float = 0
    before: float = 0
    routed_at: float = 0
    first_at: float = 0
    judged_at: float = 0
    target: str = ""
    prefill_engine: str = ""
    done_at: float | None = None
    outcome: str = ""

    @property
    def in_time(self) -> bool:
        """Whether the whole answer came by its deadline."""
        return self.done_at is not None and self.done_at <= self.at + self.deadline


@dataclass(eq=False)
class ModelEngine:
    """One engine: `speed` 1 is new hardware, lower is older."""

    name: str
    speed: float
    slots: int = 16
    queue: int = 32
    cache_blocks: int = 2000
    role: str = "mixed"
    away_until: float = 0.0
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
        """Take a request in, or refuse it for load."""
        limit = self.slots + self.queue + (self.slots if request.work.priority == "urgent" else 0)
        if len(self.waiting) + len(self.decoding) >= limit:
            return False
        hit = 0
        for block in request.blocks:
            if block not in self.cache:
                break
            self.cache.move_to_end(block)
            hit += BLOCK_TOKENS
        request.left = max(1, request.work.prompt_tokens - hit)
        if imported:
            request.left = 1
        self.hit_tokens += request.work.prompt_tokens - request.left
        self.waiting.append(request)
        self.waiting.sort(key=lambda r: r.work.priority != "urgent")
        return True

    def step(self, now: float) -> tuple[float, list[Request]]:
        """Advance by one batch step; return its seconds and the requests that ended."""
        budget = CHUNK
        ended = []
        while self.waiting and budget > 0:
            if self.role != "prefill" and len(self.decoding) >= self.slots:
                break
            request = self.waiting[0]
            done = min(budget, request.left)
            request.left -= done
            budget -= done
            if request.left:
                break
            self.waiting.pop(0)
            self._remember(request.blocks, now)
            if self.role == "prefill":
                ended.append(request)
            else:
                self.decoding.append(request)
        self.prefilled += CHUNK - budget
        for request in list(self.decoding):
            request.sent += 1
            if request.sent == 1:
                request.first_at = now
            self.tokens_out += 1
            if request.sent >= request.work.output_tokens:
                self.decoding.remove(request)
                ended.append(request)
        base = 0.004 if self.role == "prefill" else 0.02
        seconds = base + 0.0004 * len(self.decoding) + (CHUNK - budget) / 20_000
        return seconds / self.speed, ended

    def _remember(self, blocks: tuple[int, ...], now: float) -> None:
        for block in blocks:
            if block not in self.cache:
                self.events.append((now, "stored", block))
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            dropped, _ = self.cache.popitem(last=False)
            self.events.append((now, "dropped", dropped))

    def report(self, now: float) -> LoadReport:
        """Return the load of this moment."""
        holding = Holding("m", "v1", (), self.role)
        state = EngineState(self.name, holding, now < self.away_until, "", 0)
        tokens = sum(request.left for request in self.waiting)
        return LoadReport(
            state, now, self.slots, len(self.waiting), tokens, len(self.decoding),
            self.tokens_out, self.prefilled,
        )  # fmt: skip


@dataclass(frozen=True)
class Guards:
    """Which guards against broken engines are on."""

    retry_budget: bool = True
    ejection: bool = True
    busy_is_not_broken: bool = True


@dataclass
class Policies:
    """What is measured: the decisions, made new for each run."""

    router: Callable[[], Router]
    admission: Callable[[], Admission]
    planner: Callable[[], RolePlanner]


class ModelRun:
    """One run of a trace through some entries and engines."""

    def __init__(
        self,
        engines: list[ModelEngine],
        policies: Policies,
        policy: Policy,
        seed: int,
        entries: int,
    ) -> None:
        """Prepare; `run` plays a trace."""
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
        self.lines: list[list[Request]] = [[] for _ in range(entries)]
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

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Do something later."""
        item = (self.clock.time + seconds, next(self.numbers), act)
        heapq.heappush(self.events, item)

    def run(self, trace: list[Request], seconds: float) -> list[Request]:
        """Play a trace for so long; return its requests with their outcomes."""
        start = self.clock.time
        for engine in self.engines.values():
            self._share_report(engine)
        for request in trace:
            request.at += start
            self.after(request.at - start, lambda r=request: self._arrive(r))  # type: ignore[misc]
        self.after(LOOK_EVERY, self._look)
        self.after(0.5, self._plan)
        while self.events and self.events[0][0] <= start + seconds:
            self.clock.time, _, act = heapq.heappop(self.events)
            act()
        return trace

    # Entries.

    def _arrive(self, request: Request) -> None:
        request.entry = next(self.numbers) % len(self.tables)
        self.budgets[request.entry].note_request(self.clock.time)
        self._admit(request, waiting=False)

    def _admit(self, request: Request, waiting: bool) -> bool:
        """Judge one request; return whether it has left the line."""
        line = self.lines[request.entry]
        left = request.at + request.deadline - self.clock.time
        if left <= 0:
            request.outcome = "expired"
            return True
        wanted = UpstreamRequirements(self.service, request.work.prompt_tokens, request.blocks)
        candidates = self.tables[request.entry].candidates(wanted)
        ahead = line.index(request) if waiting else len(line)
        if request.work.priority == "urgent":
            ahead = 0
        judged = self.admission.decide(
            candidates, request.work, left, ahead, self.policy.queue_limit
        )
        if judged.decision is Decision.GO and self._send(request, judged.available):
            return True
        if judged.decision is Decision.REFUSE:
            request.outcome = "shed"
            return True
        if not waiting:
            line.append(request)
            line.sort(key=lambda r: (r.work.priority != "urgent", r.at + r.deadline))
        return False

    def _send(self, request: Request, available: tuple[Candidate, ...]) -> bool:
        table = self.tables[request.entry]
        chosen = self.routers[request.entry].pick(available, request.work, self.rng)
        if chosen is None:
            return False
        self.decisions.append(chosen.name)
        request.uncached = max(1, request.work.prompt_tokens - chosen.cached_tokens)
        request.before = request.uncached + chosen.waiting_tokens
        table.begin(chosen.name, request.uncached)
        request.target, request.prefill_engine = chosen.name, chosen.prefill_engine
        request.routed_at = self.clock.time
        request.attempts += 1
        first = chosen.prefill_engine or chosen.name
        table.prefixes.note_stored(first, request.blocks)
        self.after(HOP, lambda: self._deliver(request, first, imported=False))
        return True

    def _deliver(self, request: Request, name: str, imported: bool) -> None:
        engine = self.engines[name]
        if self._is_broken(name):
            if self.guards.ejection:
                self.tables[request.entry].note_failure(name)
            # A broken engine answers no connection; the entry waits for it in vain.
            self.after(CONNECT_SECONDS, lambda: self._refused(request))
            return
        away = self.clock.time < engine.away_until
        if away or not engine.take(request, imported):
            if not self.guards.busy_is_not_broken:
                self.tables[request.entry].note_failure(name)
            self._refused(request)
            return
        if not engine.stepping:
            engine.stepping = True
            self.after(0.0, lambda: self._step(engine))

    def _refused(self, request: Request) -> None:
        self.tables[request.entry].end(request.target)
        budget = self.budgets[request.entry]
        if request.attempts >= MOST_ATTEMPTS or (
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

    def _look(self) -> None:
        """Let waiting requests be judged again."""
        for line in self.lines:
            for place, request in enumerate(list(line)):
                # As in the product: the first is judged each time, the rest now and then.
                if place and self.clock.time - request.judged_at < REJUDGE_SECONDS:
                    continue
                request.judged_at = self.clock.time
                if self._admit(request, waiting=True):
                    line.remove(request)
        self.after(LOOK_EVERY, self._look)

    # Engines.

    def _step(self, engine: ModelEngine) -> None:
        if not engine.waiting and not engine.decoding:
            engine.stepping = False
            return
        seconds, ended = engine.step(self.clock.time)
        self.after(seconds, lambda: self._step(engine))
        for request in ended:
            if (
                engine.role == "prefill"
                and request.sent == 0
                and request.prefill_engine == engine.name
            ):
                move = request.work.prompt_tokens / IMPORT_RATE + HOP
                target = request.target
                self.after(move, lambda r=request, t=target: self._deliver(r, t, True))  # type: ignore[misc]
            else:
                self.after(seconds + HOP, lambda r=request: self._end(r))  # type: ignore[misc]

    def _end(self, request: Request) -> None:
        request.done_at = self.clock.time
        request.outcome = "done"
        table = self.tables[request.entry]
        table.end(request.target)
        first = request.first_at - request.routed_at
        table.note_first_token(request.target, request.before, max(first, 1e-3))
        decode = request.done_at - request.first_at
        table.note_decode(request.target, request.work.output_tokens, decode)

    def _share_report(self, engine: ModelEngine) -> None:
        """Take a report now; entries see it once it has lagged."""
        report = engine.report(self.clock.time)
        events, engine.events = engine.events, []

        def arrive() -> None:
            self.reports[engine.name] = [report]
            for table in self.tables:
                table.note_report(engine.name, report)

        def arrive_events() -> None:
            for _, what, block in events:
                for table in self.tables:
                    if self.rng.random() < EVENT_LOSS:
                        continue
                    if what == "stored":
                        table.prefixes.note_stored(engine.name, (block,))
                    else:
                        table.prefixes.note_dropped(engine.name, block)

        self.after(REPORT_LAG if self.clock.time > 1000 else 0, arrive)
        self.after(EVENT_LAG, arrive_events)
        self.after(REPORT_EVERY, lambda: self._share_report(engine))

    # Roles.

    def _plan(self) -> None:
        """Ask the planner, and drain an engine before its role is changed."""
        self.after(0.5, self._plan)
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
            self.after(0.1, lambda: self._drain_then_change(engine, role))
            return
        engine.role = role
        engine.closed = False
        engine.away_until = self.clock.time + AWAY
        self.changed[engine.name] = self.clock.time
        self.role_changes += 1
