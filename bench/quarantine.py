"""Cost of requests that crash their engines, by the number of crashes that quarantines them.

A simulation in virtual time: engines are down for some seconds after a crash, streams arrive
continuously and are retried by their host and by their caller, and deadly requests arrive beside
them: one request repeatedly, or requests that differ but for one part of their prompts. Some sound
prompts have all the other parts of a deadly one. The quarantine is the production one. Not
modelled: the delay of crash reports between hosts, trials by one host at a time, and queues.
"""

import heapq
import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from unittest import mock

from swifttrestle.internal.policy import quarantine
from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.state.crash_records import Crash
from swifttrestle.internal.state.fingerprints import Fingerprint, fingerprint_part

RUN_SECONDS = 60.0
# Seconds for which an engine is down after a crash.
DOWN_SECONDS = 4.0
# Seconds from the start of a deadly run to the crash.
DEADLY_SECONDS = 0.07
# Mean seconds of a stream, streams per second, and deadly requests per second.
STREAM_SECONDS = 1.0
STREAM_RATE = 12.0
DEADLY_RATE = 3.0
# Engines that a host tries per attempt of the caller, and attempts of the caller.
ENGINES_PER_ATTEMPT = 2
CALLER_ATTEMPTS = 2
CALLER_RETRY_SECONDS = 0.1
SEEDS = range(1, 21)
# Crash counts that quarantine a request; the last one is never reached.
THRESHOLDS = (1, 2, 3, 10**6)
ENGINES = (2, 4, 8)
# Prompts have one of these first parts, by weight, and one of so many second parts of it.
FIRST_PARTS, FIRST_PART_WEIGHTS = ("a0", "a1", "a2"), (6, 3, 1)
SECOND_PARTS = 20
DEADLY_PART = fingerprint_part("deadly")
# Crash counts that quarantine a part that was never answered.
PART_THRESHOLDS = (1, 2, 3, 4, 10**6)
PART_ENGINES = (4, 8, 16)


@dataclass
class Request:
    """One request of a caller, with its remaining attempts."""

    name: Fingerprint
    deadly: bool
    seconds: float
    parts: tuple[Fingerprint, ...] = ()
    engines_left: int = ENGINES_PER_ATTEMPT
    attempts_left: int = CALLER_ATTEMPTS


@dataclass
class Counts:
    """Counts of a run; `quarantined` counts refusals of harmless streams."""

    crashes: int = 0
    streams: int = 0
    served: int = 0
    quarantined: int = 0


@dataclass
class Run:
    """One run of the simulation."""

    engines: int
    seed: int
    # Whether deadly requests differ but for one part of their prompts.
    by_part: bool = False
    counts: Counts = field(default_factory=Counts)

    def play(self) -> Counts:
        """Simulate the run and return its counts."""
        self._rng = random.Random(self.seed)
        self._quarantine = Quarantine(self._rng.random())
        self._numbers = itertools.count()
        self._down_until = [0.0] * self.engines
        self._starts = [0] * self.engines
        self._open: list[dict[int, Request]] = [{} for _ in range(self.engines)]
        self._events: list[tuple[float, int, object, tuple[object, ...]]] = []
        self._schedule(0.0, self._send_stream)
        self._schedule(5.0, self._send_deadly)
        while self._events and self._events[0][0] < RUN_SECONDS:
            self._now, _, action, details = heapq.heappop(self._events)
            assert callable(action)
            action(*details)
        return self.counts

    def _schedule(self, when: float, action: object, *details: object) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action, details))

    def _send_stream(self) -> None:
        self.counts.streams += 1
        name = Fingerprint(bytes(8), self._rng.randbytes(8))
        seconds = self._rng.expovariate(1 / STREAM_SECONDS)
        self._send(Request(name, False, seconds, self._draw_parts()))
        self._schedule(self._now + self._rng.expovariate(STREAM_RATE), self._send_stream)

    def _send_deadly(self) -> None:
        if self.by_part:
            name = Fingerprint(bytes(8), self._rng.randbytes(8))
            parts = (*self._draw_parts(0), DEADLY_PART)
            self._send(Request(name, True, DEADLY_SECONDS, parts))
        else:
            name = Fingerprint(bytes(8), b"deadly!!")
            self._send(Request(name, True, DEADLY_SECONDS))
        self._schedule(self._now + self._rng.expovariate(DEADLY_RATE), self._send_deadly)

    def _draw_parts(self, second: int | None = None) -> tuple[Fingerprint, ...]:
        """Return the shared parts of a prompt; a deadly one has the first of both kinds."""
        if not self.by_part:
            return ()
        first = self._rng.choices(FIRST_PARTS, FIRST_PART_WEIGHTS)[0]
        if second is not None:
            first = FIRST_PARTS[0]
        else:
            second = self._rng.randrange(SECOND_PARTS)
        return fingerprint_part(first), fingerprint_part(f"{first}-{second}")

    def _is_refused(self, request: Request) -> bool:
        names = (request.name, *request.parts)
        return any(self._quarantine.find_wait(name, self._now) > 0 for name in names)

    def _send(self, request: Request) -> None:
        if self._is_refused(request):
            self.counts.quarantined += not request.deadly
            return
        up = [number for number in range(self.engines) if self._now >= self._down_until[number]]
        if not up:
            self._retry_by_caller(request)
            return
        engine = min(up, key=lambda number: (len(self._open[number]), self._rng.random()))
        key = next(self._numbers)
        self._open[engine][key] = request
        self._schedule(self._now + request.seconds, self._end, engine, self._starts[engine], key)

    def _end(self, engine: int, start: int, key: int) -> None:
        if start != self._starts[engine]:
            return
        request = self._open[engine].pop(key)
        if not request.deadly:
            self.counts.served += 1
            for name in (request.name, *request.parts):
                self._quarantine.clear_crashes(name, self._now)
            return
        broken = [request, *self._open[engine].values()]
        self.counts.crashes += 1
        self._open[engine] = {}
        self._starts[engine] += 1
        self._down_until[engine] = self._now + DOWN_SECONDS
        crash = Crash(f"{engine}@{start}", self._now)
        for name in {name for item in broken for name in (item.name, *item.parts)}:
            self._quarantine.note(name, [crash], self._now)
        for item in broken:
            item.engines_left -= 1
            if item.engines_left:
                self._send(item)
            else:
                self._retry_by_caller(item)

    def _retry_by_caller(self, request: Request) -> None:
        request.attempts_left -= 1
        request.engines_left = ENGINES_PER_ATTEMPT
        if request.attempts_left and not request.deadly:
            self._schedule(self._now + CALLER_RETRY_SECONDS, self._send, request)


def run_all(engines: int, threshold: int, by_part: bool = False) -> Counts:
    """Return the summed counts of all seeds under a threshold."""
    total = Counts()
    name = "PART_RULE" if by_part else "REQUEST_RULE"
    rule = replace(getattr(quarantine, name), crashes=threshold)
    with mock.patch.object(quarantine, name, rule):
        for seed in SEEDS:
            counts = Run(engines, seed, by_part).play()
            for name, value in vars(counts).items():
                setattr(total, name, getattr(total, name) + value)
    return total


def main() -> None:
    """Print a line per threshold and number of engines."""
    print("one request, repeated")
    print_table(ENGINES, THRESHOLDS, by_part=False)
    print("requests with one part in common")
    print_table(PART_ENGINES, PART_THRESHOLDS, by_part=True)


def print_table(engine_counts: Sequence[int], thresholds: Sequence[int], by_part: bool) -> None:
    """Print the means of all seeds."""
    print("engines  crash threshold  crashes a run  streams not served  quarantined a run")
    for engines in engine_counts:
        for threshold in thresholds:
            found = run_all(engines, threshold, by_part)
            shown = str(threshold) if threshold < thresholds[-1] else "never"
            lost = found.streams - found.served
            print(
                f"{engines:7}  {shown:>15}  {found.crashes / len(SEEDS):13.1f}  "
                f"{100 * lost / found.streams:17.2f}%  {found.quarantined / len(SEEDS):17.2f}"
            )
