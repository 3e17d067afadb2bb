"""Repeated prefill of shared prompt parts, by how a service's prompts are divided among schedulers.

A simulation in virtual time of a service's prefill engines that runs the production policies. Each
prompt is booked by one scheduler, which knows only its own bookings; engines cache prompt parts
with LRU eviction. Not modelled: queues of waiting requests, decode, and the delay of the reports
of open work between schedulers. A second table compares the divisions of a deployment with three
regions, and what copies of KV cache between regions bring.
"""

import bisect
import heapq
import itertools
import math
import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

from swifttrestle.internal.policy.distance import NO_REGIONS, Distance, Topology
from swifttrestle.internal.policy.fetching import Source, list_sources, plan_fetch
from swifttrestle.internal.policy.home_zones import count_engines_by_zone, list_home_zones
from swifttrestle.internal.policy.placement import pick_prefill_engine
from swifttrestle.internal.policy.scheduling import list_search_steps
from swifttrestle.internal.policy.waiting import PREFILL_DEADLINE_SHARE
from swifttrestle.internal.state.declared import EngineTraits, Role, UpstreamRecord
from swifttrestle.internal.state.fleet import Instance, OpenWork
from swifttrestle.internal.state.prompt_cache import PromptCache, PromptPart

SERVICE = "s"
# Simulated seconds of a run.
RUN_SECONDS = 30.0
# The same for the deployment with regions: each of its documents is then used several times.
REGIONS_RUN_SECONDS = 120.0
# Document sizes are log-normal: standard deviation of the logarithm of their tokens.
SIZE_SIGMA = 0.7
# Ratio of the mean to the median of these sizes.
MEAN_FACTOR = math.exp(SIZE_SIGMA**2 / 2)
SLOTS = 64


@dataclass(frozen=True)
class Kind:
    """A kind of prompts; `rate` per second in all zones, sizes in tokens, objective in seconds.

    A document has at most `max_tokens`. The one of rank n is used in proportion to n ** -`skew`.
    """

    name: str
    rate: float
    documents: int
    document_tokens: int
    own_tokens: int
    objective: float
    skew: float = 0.0
    max_tokens: float = math.inf


class Copies(Enum):
    """The engines that a scheduler knows as sources of KV cache."""

    OWN = "those that it booked itself"
    REGION = "all of its region"
    ALL = "all"


@dataclass(frozen=True)
class Workload:
    """A service's prefill engines and prompts.

    `zones` has the number of engines of each of the zones z0, z1 and so on; `effective_read_rate`
    is in tokens per second.
    """

    name: str
    zones: tuple[int, ...]
    traits: EngineTraits
    effective_read_rate: float
    kinds: tuple[Kind, ...]
    topology: Topology = NO_REGIONS
    copies: Copies = Copies.OWN


@dataclass(frozen=True)
class FailureScenario:
    """Events at half of the run: lost engines, and the share of prompts with a popular document."""

    name: str
    lost_engines: int = 0
    lost_zones: int = 0
    popular: float = 0.0


@dataclass(frozen=True)
class Prompt:
    """A prompt that arrives at a host of `zone`; `at` in simulated seconds."""

    at: float
    zone: str
    kind: Kind
    parts: tuple[PromptPart, ...]

    @property
    def tokens(self) -> int:
        """Total tokens of its parts."""
        return sum(item.tokens for item in self.parts)


class Division(ABC):
    """Strategy that divides prompts among the schedulers of the zones."""

    name = ""

    def __init__(self, topology: Topology = NO_REGIONS) -> None:
        """Divide the prompts of a deployment with these regions."""
        self._topology = topology

    @abstractmethod
    def choose(self, prompt: Prompt, engines: Sequence[Instance], zones: Sequence[str]) -> str:
        """Return the zone whose scheduler books a prompt."""


class ByCaller(Division):
    """Each zone's scheduler books the prompts of its own callers."""

    name = "caller's zone"

    def choose(self, prompt: Prompt, engines: Sequence[Instance], zones: Sequence[str]) -> str:
        """Return the caller's zone while it has engines."""
        return prompt.zone if prompt.zone in zones else zones[0]


class ByPart(Division):
    """The scheduler of the shared part's home zone books a prompt."""

    name = "shared part's home"

    def choose(self, prompt: Prompt, engines: Sequence[Instance], zones: Sequence[str]) -> str:
        """Return the first home zone of the prompt."""
        weights = count_engines_by_zone(engines, zones)
        effective_read_rate = max(item.effective_read_rate for item in engines)
        return list_home_zones(
            prompt.parts, weights, effective_read_rate, prompt.zone, self._topology
        )[0]


class ByPartInRegion(ByPart):
    """Each region has a home zone of its own for each shared part."""

    name = "home in each region"

    def choose(self, prompt: Prompt, engines: Sequence[Instance], zones: Sequence[str]) -> str:
        """Return the first home zone of the prompt in the caller's region."""
        in_region = [zone for zone in zones if self._topology.is_same_region(prompt.zone, zone)]
        return super().choose(prompt, engines, in_region)


@dataclass
class Result:
    """Counts of a run.

    Prompts: all, `in_time`, `refused`, and booked in another zone than the caller's (`other_zone`).
    Tokens: prefilled (`read`), of shared parts prefilled repeatedly (`reread`) and for the first
    time (`first_read`). `copied_bytes` are those of KV cache, by distance. `round_trip_seconds` is
    the sum of the round trips from callers' zones to engines.
    """

    prompts: int = 0
    in_time: int = 0
    refused: int = 0
    other_zone: int = 0
    read: int = 0
    reread: int = 0
    first_read: int = 0
    arrivals: Counter[str] = field(default_factory=Counter)
    copied_bytes: Counter[Distance] = field(default_factory=Counter)
    round_trip_seconds: float = 0.0

    @property
    def reread_share(self) -> float:
        """Share of the prefilled tokens that repeat an earlier prefill of a shared part."""
        return self.reread / max(1, self.read)

    @property
    def in_time_share(self) -> float:
        """Share of the prompts whose prefill ended in time."""
        return self.in_time / max(1, self.prompts)

    @property
    def peak_to_mean(self) -> float:
        """Ratio of the arrivals at the busiest engine to the mean."""
        return max(self.arrivals.values()) * len(self.arrivals) / sum(self.arrivals.values())


class Run:
    """One simulation of a workload with a scenario of failures under a division."""

    def __init__(
        self,
        workload: Workload,
        scenario: FailureScenario,
        division: Division,
        seed: int,
        seconds: float,
    ) -> None:
        """Prepare a run, which is determined by its seed."""
        self._seconds = seconds
        self._workload = workload
        self._division = division
        self._rng = random.Random(seed)
        self._scenario = scenario
        self._zones = [f"z{number}" for number in range(len(workload.zones))]
        # Each zone's scheduler has its own view of every engine.
        self._views = {zone: self._make_engines() for zone in self._zones}
        self._caches = {name: PromptCache() for name in self._views[self._zones[0]]}
        # Every engine with its actual cache, for schedulers that know all sources.
        self._actual_engines = self._make_engines()
        for name, engine in self._actual_engines.items():
            engine.cache = self._caches[name]
        self._busy_until = dict.fromkeys(self._caches, 0.0)
        self._completions: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._seen: set[str] = set()
        self.result = Result()

    def play(self) -> Result:
        """Simulate all arrivals and return the counts."""
        lost = False
        for prompt in self._make_prompts():
            if not lost and prompt.at > self._seconds / 2:
                lost = True
                self._fail_engines()
            while self._completions and self._completions[0][0] <= prompt.at:
                heapq.heappop(self._completions)[2]()
            self._serve(prompt)
        return self.result

    def _make_prompts(self) -> list[Prompt]:
        """Return the prompts of the run in order of arrival."""
        prompts = [
            prompt for kind in self._workload.kinds for prompt in self._make_prompts_of_kind(kind)
        ]
        return sorted(prompts, key=lambda prompt: prompt.at)

    def _make_prompts_of_kind(self, kind: Kind) -> Iterator[Prompt]:
        rng = self._rng
        sizes = [
            int(
                min(
                    kind.max_tokens,
                    max(16, rng.lognormvariate(0, SIZE_SIGMA) * kind.document_tokens / MEAN_FACTOR),
                )
            )
            for _ in range(kind.documents)
        ]
        weights = [(rank + 1) ** -kind.skew for rank in range(kind.documents)]
        cumulated = list(itertools.accumulate(weights))
        at = 0.0
        while (at := at + rng.expovariate(kind.rate)) < self._seconds:
            late = at > self._seconds / 2
            popular = late and rng.random() < self._scenario.popular
            number = 0 if popular else _draw_document(rng, kind, cumulated)
            parts = (
                PromptPart(f"{kind.name}-{number}", sizes[number]),
                PromptPart(f"own-{next(self._numbers)}", kind.own_tokens),
            )
            yield Prompt(at, rng.choice(self._zones), kind, parts)

    def _make_engines(self) -> dict[str, Instance]:
        engines = {}
        for zone, count in zip(self._zones, self._workload.zones, strict=True):
            for number in range(count):
                name = f"{zone}-{number}"
                address = ("10.0.0.1", 80)
                record = UpstreamRecord(name, SERVICE, address, zone, SLOTS, False, Role.PREFILL)
                engines[name] = Instance(record, read_rate=self._workload.effective_read_rate)
        return engines

    def _fail_engines(self) -> None:
        """Remove the zones and engines that the scenario loses."""
        lost_zones = set(self._zones[: self._scenario.lost_zones])
        names = [name for name in self._caches if name.rpartition("-")[0] in lost_zones]
        names += list(self._caches)[: self._scenario.lost_engines]
        for view in self._views.values():
            for name in names:
                view.pop(name, None)
        for name in names:
            self._actual_engines.pop(name, None)

    def _serve(self, prompt: Prompt) -> None:
        self.result.prompts += 1
        view = self._views[self._zones[0]]
        zones = sorted({item.record.zone for item in view.values()})
        home = self._division.choose(prompt, list(view.values()), zones)
        engines = list(self._views[home].values())
        prefill_engine = self._pick_engine(prompt, engines, home)
        if prefill_engine is None:
            self.result.refused += 1
            return
        self.result.other_zone += home != prompt.zone
        self.result.arrivals[prefill_engine.name] += 1
        distance = self._workload.topology.measure(prompt.zone, prefill_engine.record.zone)
        self.result.round_trip_seconds += distance.round_trip_seconds
        self._prefill(prompt, prefill_engine, self._list_sources(prompt, engines, home))

    def _pick_engine(self, prompt: Prompt, engines: list[Instance], home: str) -> Instance | None:
        topology = self._workload.topology
        sources = self._list_sources(prompt, engines, home)
        latest = prompt.kind.objective * PREFILL_DEADLINE_SHARE
        for step in list_search_steps(engines, home, topology):
            prefill_engine = pick_prefill_engine(
                step.engines,
                prompt.tokens,
                prompt.parts[-2].part,
                (),
                prompt.at,
                latest * step.wait_share - step.extra_seconds,
                prompt.parts,
                lambda item, cached_tokens: plan_fetch(
                    item, cached_tokens, sources, self._workload.traits, topology
                ),
                latest - step.extra_seconds,
            )
            if prefill_engine is not None:
                return prefill_engine
        return None

    def _list_sources(self, prompt: Prompt, engines: list[Instance], home: str) -> list[Source]:
        """Return the sources of KV cache that the scheduler of zone `home` knows."""
        copies, topology = self._workload.copies, self._workload.topology
        if copies is Copies.OWN:
            return list_sources(engines, prompt.parts, ())
        known = [
            item
            for item in self._actual_engines.values()
            if copies is Copies.ALL or topology.is_same_region(home, item.record.zone)
        ]
        return list_sources(known, prompt.parts, ())

    def _prefill(self, prompt: Prompt, prefill_engine: Instance, sources: list[Source]) -> None:
        """Simulate a prefill: booked by the estimated cache state, timed by the actual one."""
        estimated_tokens = prefill_engine.cache.count(prompt.parts)
        fetch = plan_fetch(
            prefill_engine, estimated_tokens, sources, self._workload.traits,
            self._workload.topology,
        )  # fmt: skip
        copied = fetch.tokens if fetch else 0
        work = OpenWork(max(0, prompt.tokens - estimated_tokens - copied), 1)
        for view in self._views.values():
            view[prefill_engine.name].own = view[prefill_engine.name].own.plus(work)
        actual_cache = self._caches[prefill_engine.name]
        cached_tokens = actual_cache.count(prompt.parts)
        if fetch is not None:
            self._count_copy(prefill_engine, fetch.source, fetch.tokens)
            cached_tokens = max(
                cached_tokens, self._caches[fetch.source.name].count_prefilled(prompt.parts)
            )
        self._count_tokens(prompt, cached_tokens)
        seconds = (prompt.tokens - cached_tokens) / self._workload.effective_read_rate + (
            fetch.seconds if fetch else 0.0
        )
        end = max(prompt.at, self._busy_until[prefill_engine.name]) + seconds
        self._busy_until[prefill_engine.name] = end
        self.result.in_time += end - prompt.at <= prompt.kind.objective * PREFILL_DEADLINE_SHARE
        prefill_engine.cache.note(prompt.parts, self._workload.traits.kv_tokens)
        actual_cache.note(prompt.parts, self._workload.traits.kv_tokens, read=True)

        def finish() -> None:
            prefill_engine.cache.note(prompt.parts, self._workload.traits.kv_tokens, read=True)
            for view in self._views.values():
                if prefill_engine.name in view:
                    view[prefill_engine.name].own = view[prefill_engine.name].own.minus(work)

        heapq.heappush(self._completions, (end, next(self._numbers), finish))

    def _count_copy(self, reader: Instance, source: Instance, tokens: int) -> None:
        distance = self._workload.topology.measure(source.record.zone, reader.record.zone)
        copied_bytes = round(tokens * self._workload.traits.kv_bytes_per_token)
        self.result.copied_bytes[distance] += copied_bytes

    def _count_tokens(self, prompt: Prompt, cached_tokens: int) -> None:
        """Count the tokens that were not cached, and those of them prefilled before."""
        before = 0
        for number, item in enumerate(prompt.parts):
            shared = number < len(prompt.parts) - 1
            read = max(0, min(item.tokens, before + item.tokens - cached_tokens))
            before += item.tokens
            self.result.read += read
            if shared and item.part in self._seen:
                self.result.reread += read
            elif shared:
                self.result.first_read += item.tokens
            self._seen.add(item.part)


def _draw_document(rng: random.Random, kind: Kind, cumulated: Sequence[float]) -> int:
    """Return the number of a document, drawn by popularity; `cumulated` are the weights' sums."""
    if not kind.skew:
        return rng.randrange(kind.documents)
    return bisect.bisect(cumulated, rng.random() * cumulated[-1])


def _make_traits(
    kv_tokens: int, kilobytes_per_token: float, gigabits_per_second: float
) -> EngineTraits:
    return EngineTraits(
        SLOTS, kv_tokens, kilobytes_per_token * 1000, gigabits_per_second * 1.25e8, 5.0, 3.0
    )


SCREENING = Workload(
    "45 engines, 3 zones, long histories",
    (15, 15, 15),
    _make_traits(441_615, 163.84, 1500),
    64_200.0,
    (
        Kind("history", 63.7, 578, 13_300, 3720, 0.663),
        Kind("list", 31.2, 282, 3780, 5410, 0.545),
        Kind("note", 124.0, 750, 140, 1320, 0.326),
    ),
)
SCORES = Workload(
    "25 engines, 5 zones, match logs",
    (5, 5, 5, 5, 5),
    _make_traits(305_000, 131.072, 8800),
    307_000.0,
    (Kind("log", 210.0, 4355, 3780, 5410, 0.218),),
)
SMALL = Workload(
    "8 engines, 2 zones, long histories",
    (4, 4),
    SCREENING.traits,
    SCREENING.effective_read_rate,
    tuple(
        replace(kind, rate=kind.rate * 8 / 45, documents=kind.documents * 8 // 45)
        for kind in SCREENING.kinds
    ),
)
THREE_REGIONS = Workload(
    "45 engines, 6 zones, 3 regions",
    (8, 8, 8, 7, 7, 7),
    _make_traits(754_029, 18.432, 320),
    111_765.0,
    (
        Kind("history", 96.0, 1808, 13_300, 3720, 0.663, skew=0.3, max_tokens=39_900),
        Kind("list", 43.0, 543, 3780, 5410, 0.545, skew=0.3, max_tokens=39_900),
    ),
    Topology({f"z{number}": f"r{number % 3}" for number in range(6)}),
)
WORKLOADS = (SCREENING, SCORES, SMALL)
SCENARIOS = (
    FailureScenario("calm"),
    FailureScenario("an engine lost", lost_engines=1),
    FailureScenario("a zone lost", lost_zones=1),
    FailureScenario("a popular part", popular=0.2),
    FailureScenario("a very popular part", popular=0.5),
)
DIVISIONS = (ByCaller(), ByPart())


def list_region_divisions(topology: Topology) -> tuple[tuple[str, Division], ...]:
    """Return the divisions of a deployment with regions, by their names in the table."""
    return (
        ("home in each region", ByPartInRegion(topology)),
        ("one home, long parts", ByPart(topology)),
        ("one home, all parts", ByPart()),
    )


def play(
    workload: Workload,
    scenario: FailureScenario,
    division: Division,
    seed: int = 1,
    seconds: float = RUN_SECONDS,
) -> Result:
    """Simulate one run."""
    return Run(workload, scenario, division, seed, seconds).play()


def main() -> None:
    """Print a table of all workloads, scenarios and divisions."""
    for workload, scenario, division in itertools.product(WORKLOADS, SCENARIOS, DIVISIONS):
        found = play(workload, scenario, division)
        print(
            f"{workload.name:36} {scenario.name:20} {division.name:19} "
            f"read {found.read / 1e6:5.1f} M, reread {found.reread / 1e6:5.1f} M "
            f"({100 * found.reread_share:2.0f} %), once {found.first_read / 1e6:4.1f} M, "
            f"in time {found.in_time_share:.3f}, refused {found.refused / found.prompts:.3f}, "
            f"busiest {found.peak_to_mean:.2f}"
        )
    print_regions()


def print_regions() -> None:
    """Print a table of the deployment with regions, by division and known sources of copies."""
    divisions = list_region_divisions(THREE_REGIONS.topology)
    for (name, division), copies in itertools.product(divisions, Copies):
        workload = replace(THREE_REGIONS, copies=copies)
        found = play(workload, SCENARIOS[0], division, seconds=REGIONS_RUN_SECONDS)
        between_zones = found.copied_bytes[Distance.SAME_REGION] / 1e9
        between_regions = found.copied_bytes[Distance.OTHER_REGION] / 1e9
        print(
            f"{name:20} copies: {copies.name.lower():6} read {found.read / 1e6:6.1f} M, "
            f"reread {100 * found.reread_share:4.1f} %, "
            f"copied GB: zones {between_zones:5.0f}, regions {between_regions:5.0f}, "
            f"mean round trip {1000 * found.round_trip_seconds / found.prompts:4.1f} ms, "
            f"in time {found.in_time_share:.3f}"
        )
