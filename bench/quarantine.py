"""Cost of a request that crashes its engines, by the number of crashes that quarantines it.

A simulation in virtual time: engines are down for some seconds after a crash, streams arrive
continuously and are retried by their host and by their caller, and one deadly request arrives
repeatedly. The quarantine is the production one. Not modelled: the delay of crash reports between
hosts, and queues.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace
from unittest import mock

from swifttrestle.internal.policy import quarantine
from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.state.crash_records import Crash
from swifttrestle.internal.state.fingerprints import Fingerprint

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


@dataclass
class Request:
    """One request of a caller, with its remaining attempts."""

    name: Fingerprint
    deadly: bool
    seconds: float
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
        self._send(Request(name, False, seconds))
        self._schedule(self._now + self._rng.expovariate(STREAM_RATE), self._send_stream)

    def _send_deadly(self) -> None:
        self._send(Request(Fingerprint(bytes(8), b"deadly!!"), True, DEADLY_SECONDS))
        self._schedule(self._now + self._rng.expovariate(DEADLY_RATE), self._send_deadly)

    def _send(self, request: Request) -> None:
        if self._quarantine.find_wait(request.name, self._now) > 0:
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
            self._quarantine.clear_crashes(request.name, self._now)
            return
        broken = [request, *self._open[engine].values()]
        self.counts.crashes += 1
        self._open[engine] = {}
        self._starts[engine] += 1
        self._down_until[engine] = self._now + DOWN_SECONDS
        for item in broken:
            crash = Crash(f"{engine}@{start}", self._now)
            self._quarantine.note(item.name, [crash], self._now)
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


def run_all(engines: int, threshold: int) -> Counts:
    """Return the summed counts of all seeds under a threshold."""
    total = Counts()
    rule = replace(quarantine.REQUEST_RULE, crashes=threshold)
    with mock.patch.object(quarantine, "REQUEST_RULE", rule):
        for seed in SEEDS:
            counts = Run(engines, seed).play()
            for name, value in vars(counts).items():
                setattr(total, name, getattr(total, name) + value)
    return total


def main() -> None:
    """Print a line per threshold and number of engines."""
    print("engines  crash threshold  crashes a run  streams not served  quarantined a run")
    for engines in ENGINES:
        for threshold in THRESHOLDS:
            found = run_all(engines, threshold)
            shown = str(threshold) if threshold < THRESHOLDS[-1] else "never"
            lost = found.streams - found.served
            print(
                f"{engines:7}  {shown:>15}  {found.crashes / len(SEEDS):13.1f}  "
                f"{100 * lost / found.streams:17.2f}%  {found.quarantined / len(SEEDS):17.2f}"
            )
