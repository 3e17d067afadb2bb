"""How much of shared prompts is read again, by how schedulers divide the work of a service.

A model in simulated time of a service's reading engines, driven by the policies in use: a prompt
is booked by one scheduler, which knows its own bookings alone; engines keep parts up to their
memory, the least recently used ones giving way. What is left out: queues of waiting requests,
decoding, and the age of what schedulers report to each other of open work.
"""

import heapq
import itertools
import math
import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace

from swifttrestle.internal.policy.fetching import list_sources, plan_fetch
from swifttrestle.internal.policy.home_zones import count_engines_by_zone, list_home_zones
from swifttrestle.internal.policy.placement import pick_prefill_engine
from swifttrestle.internal.policy.waiting import PREFILL_DEADLINE_SHARE
from swifttrestle.internal.state.declared import EngineTraits, Role, UpstreamRecord
from swifttrestle.internal.state.fleet import Instance, OpenWork
from swifttrestle.internal.state.prompt_cache import PromptCache, PromptPart

SERVICE = "s"
# Simulated seconds of a run.
RUN_SECONDS = 30.0
# Share of the longest wait that is allowed at another zone's engine, as booking has it.
FAR_SHARE = 0.5
# A document's tokens spread around their mean by this standard deviation of their logarithm.
SPREAD = 0.7
# The mean of such sizes over their median.
MEAN_FACTOR = math.exp(SPREAD**2 / 2)
SLOTS = 64


@dataclass(frozen=True)
class Kind:
    """One kind of prompts; `rate` a second in all zones, sizes in tokens, objective in seconds."""

    name: str
    rate: float
    documents: int
    document_tokens: int
    own_tokens: int
    objective: float


@dataclass(frozen=True)
class Shape:
    """A service's reading engines by zone, and what callers ask of it."""

    name: str
    zones: tuple[int, ...]
    traits: EngineTraits
    effective_read_rate: float
    kinds: tuple[Kind, ...]


@dataclass(frozen=True)
class Story:
    """What happens half way: engines that are lost, and the share of prompts of one document."""

    name: str
    lost_engines: int = 0
    lost_zones: int = 0
    popular: float = 0.0


@dataclass(frozen=True)
class Prompt:
    """One prompt as it arrives at a host of `zone`, at simulated seconds."""

    at: float
    zone: str
    kind: Kind
    parts: tuple[PromptPart, ...]

    @property
    def tokens(self) -> int:
        """Tokens of all its parts."""
        return sum(item.tokens for item in self.parts)


class Division(ABC):
    """How prompts are divided between the schedulers of zones."""

    name = ""

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
    """The scheduler of the shared part's home books a prompt."""

    name = "shared part's home"

    def choose(self, prompt: Prompt, engines: Sequence[Instance], zones: Sequence[str]) -> str:
        """Return the first home of the prompt."""
        weights = count_engines_by_zone(engines, zones)
        effective_read_rate = max(item.effective_read_rate for item in engines)
        return list_home_zones(prompt.parts, weights, effective_read_rate, prompt.zone)[0]


@dataclass
class Result:
    """Tokens read, those of shared parts read again, prompts by outcome, and arrivals by engine."""

    prompts: int = 0
    in_time: int = 0
    refused: int = 0
    crossed: int = 0
    read: int = 0
    again: int = 0
    least: int = 0
    arrivals: Counter[str] = field(default_factory=Counter)

    @property
    def again_share(self) -> float:
        """Share of the tokens read that were shared and had been read before."""
        return self.again / max(1, self.read)

    @property
    def in_time_share(self) -> float:
        """Share of the prompts that were read in time."""
        return self.in_time / max(1, self.prompts)

    @property
    def unevenness(self) -> float:
        """Arrivals at the busiest engine over those at the average one."""
        return max(self.arrivals.values()) * len(self.arrivals) / sum(self.arrivals.values())


class Run:
    """One run of a shape and a story under a division."""

    def __init__(
        self, shape: Shape, story: Story, division: Division, seed: int, seconds: float
    ) -> None:
        """Prepare; a run depends on its seed alone."""
        self._seconds = seconds
        self._shape = shape
        self._division = division
        self._rng = random.Random(seed)
        self._story = story
        self._zones = [f"z{number}" for number in range(len(shape.zones))]
        # Each zone's scheduler has its own view of every engine.
        self._views = {zone: self._make_engines() for zone in self._zones}
        self._kept = {name: PromptCache() for name in self._views[self._zones[0]]}
        self._busy_until = dict.fromkeys(self._kept, 0.0)
        self._ends: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._seen: set[str] = set()
        self.result = Result()

    def play(self) -> Result:
        """Play all arrivals; return what came of them."""
        lost = False
        for prompt in self._make_prompts():
            if not lost and prompt.at > self._seconds / 2:
                lost = True
                self._lose()
            while self._ends and self._ends[0][0] <= prompt.at:
                heapq.heappop(self._ends)[2]()
            self._serve(prompt)
        return self.result

    def _make_prompts(self) -> list[Prompt]:
        """Return the prompts of the run in the order of their arrival."""
        prompts = [prompt for kind in self._shape.kinds for prompt in self._make_kind(kind)]
        return sorted(prompts, key=lambda prompt: prompt.at)

    def _make_kind(self, kind: Kind) -> Iterator[Prompt]:
        rng = self._rng
        sizes = [
            max(16, int(rng.lognormvariate(0, SPREAD) * kind.document_tokens / MEAN_FACTOR))
            for _ in range(kind.documents)
        ]
        at = 0.0
        while (at := at + rng.expovariate(kind.rate)) < self._seconds:
            late = at > self._seconds / 2
            popular = late and rng.random() < self._story.popular
            number = 0 if popular else rng.randrange(kind.documents)
            parts = (
                PromptPart(f"{kind.name}-{number}", sizes[number]),
                PromptPart(f"own-{next(self._numbers)}", kind.own_tokens),
            )
            yield Prompt(at, rng.choice(self._zones), kind, parts)

    def _make_engines(self) -> dict[str, Instance]:
        engines = {}
        for zone, count in zip(self._zones, self._shape.zones, strict=True):
            for number in range(count):
                name = f"{zone}-{number}"
                address = ("10.0.0.1", 80)
                record = UpstreamRecord(name, SERVICE, address, zone, SLOTS, False, Role.PREFILL)
                engines[name] = Instance(record, read_rate=self._shape.effective_read_rate)
        return engines

    def _lose(self) -> None:
        """Lose what the story says: whole zones, or single engines of the first one."""
        gone = set(self._zones[: self._story.lost_zones])
        names = [name for name in self._kept if name.rpartition("-")[0] in gone]
        names += list(self._kept)[: self._story.lost_engines]
        for view in self._views.values():
            for name in names:
                view.pop(name, None)

    def _serve(self, prompt: Prompt) -> None:
        self.result.prompts += 1
        view = self._views[self._zones[0]]
        zones = sorted({item.record.zone for item in view.values()})
        home = self._division.choose(prompt, list(view.values()), zones)
        engines = list(self._views[home].values())
        reader = self._pick(prompt, engines, home)
        if reader is None:
            self.result.refused += 1
            return
        self.result.crossed += home != prompt.zone
        self.result.arrivals[reader.name] += 1
        self._read(prompt, reader, engines)

    def _pick(self, prompt: Prompt, engines: list[Instance], home: str) -> Instance | None:
        sources = list_sources(engines, prompt.parts, ())
        latest = prompt.kind.objective * PREFILL_DEADLINE_SHARE
        near = [item for item in engines if item.record.zone == home]
        far = [item for item in engines if item.record.zone != home]
        for choice, share in ((near, 1.0), (far, FAR_SHARE)):
            reader = pick_prefill_engine(
                choice,
                prompt.tokens,
                prompt.parts[-2].part,
                (),
                prompt.at,
                latest * share,
                prompt.parts,
                lambda item, kept: plan_fetch(item, kept, sources, self._shape.traits),
                latest,
            )
            if reader is not None:
                return reader
        return None

    def _read(self, prompt: Prompt, reader: Instance, engines: list[Instance]) -> None:
        """Have a prompt read: by what is believed for the count, by what is kept for the time."""
        sources = list_sources(engines, prompt.parts, ())
        believed = reader.cache.count(prompt.parts)
        fetch = plan_fetch(reader, believed, sources, self._shape.traits)
        copied = fetch.tokens if fetch else 0
        work = OpenWork(max(0, prompt.tokens - believed - copied), 1)
        for view in self._views.values():
            view[reader.name].own = view[reader.name].own.plus(work)
        kept = self._kept[reader.name]
        had = kept.count(prompt.parts)
        if fetch is not None:
            had = max(had, self._kept[fetch.source.name].count_read(prompt.parts))
        self._count(prompt, had)
        seconds = (prompt.tokens - had) / self._shape.effective_read_rate + (
            fetch.seconds if fetch else 0.0
        )
        end = max(prompt.at, self._busy_until[reader.name]) + seconds
        self._busy_until[reader.name] = end
        self.result.in_time += end - prompt.at <= prompt.kind.objective * PREFILL_DEADLINE_SHARE
        reader.cache.note(prompt.parts, self._shape.traits.kv_tokens)
        kept.note(prompt.parts, self._shape.traits.kv_tokens, read=True)

        def finish() -> None:
            reader.cache.note(prompt.parts, self._shape.traits.kv_tokens, read=True)
            for view in self._views.values():
                if reader.name in view:
                    view[reader.name].own = view[reader.name].own.minus(work)

        heapq.heappush(self._ends, (end, next(self._numbers), finish))

    def _count(self, prompt: Prompt, had: int) -> None:
        """Count the tokens beyond those that the reader had, and which were read before."""
        before = 0
        for number, item in enumerate(prompt.parts):
            shared = number < len(prompt.parts) - 1
            read = max(0, min(item.tokens, before + item.tokens - had))
            before += item.tokens
            self.result.read += read
            if shared and item.part in self._seen:
                self.result.again += read
            elif shared:
                self.result.least += item.tokens
            self._seen.add(item.part)


def _make_traits(memory: int, kilobytes: float, gigabits: float) -> EngineTraits:
    return EngineTraits(SLOTS, memory, kilobytes * 1000, gigabits * 1.25e8, 5.0, 3.0)


SCREENING = Shape(
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
SCORES = Shape(
    "25 engines, 5 zones, match logs",
    (5, 5, 5, 5, 5),
    _make_traits(305_000, 131.072, 8800),
    307_000.0,
    (Kind("log", 210.0, 4355, 3780, 5410, 0.218),),
)
SMALL = Shape(
    "8 engines, 2 zones, long histories",
    (4, 4),
    SCREENING.traits,
    SCREENING.effective_read_rate,
    tuple(
        replace(kind, rate=kind.rate * 8 / 45, documents=kind.documents * 8 // 45)
        for kind in SCREENING.kinds
    ),
)
SHAPES = (SCREENING, SCORES, SMALL)
STORIES = (
    Story("calm"),
    Story("an engine lost", lost_engines=1),
    Story("a zone lost", lost_zones=1),
    Story("a popular part", popular=0.2),
    Story("a very popular part", popular=0.5),
)
DIVISIONS = (ByCaller(), ByPart())


def play(
    shape: Shape,
    story: Story,
    division: Division,
    seed: int = 1,
    seconds: float = RUN_SECONDS,
) -> Result:
    """Play one run."""
    return Run(shape, story, division, seed, seconds).play()


def main() -> None:
    """Print a table over shapes, stories and divisions."""
    for shape, story, division in itertools.product(SHAPES, STORIES, DIVISIONS):
        found = play(shape, story, division)
        print(
            f"{shape.name:36} {story.name:20} {division.name:19} "
            f"read {found.read / 1e6:5.1f} M, again {found.again / 1e6:5.1f} M "
            f"({100 * found.again_share:2.0f} in 100), once {found.least / 1e6:4.1f} M, "
            f"in time {found.in_time_share:.3f}, refused {found.refused / found.prompts:.3f}, "
            f"busiest {found.unevenness:.2f}"
        )
