"""What a request that crashes its engines costs, by the crashes after which it is kept back.

A model in simulated time: engines that are away for some seconds after a crash, streams that come
all the time, are sent on once by their host and once more by their caller, and one deadly request
that comes again and again. The quarantine is the one in use. What is left out: how long hosts take
to tell each other (they know at once), and queues.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field
from unittest import mock

from swifttrestle.internal.policy import quarantine
from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.state.crash_records import Crash
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint

RUN_SECONDS = 60.0
AWAY_SECONDS = 4.0
# Seconds from the begin of a deadly run to the crash.
DEADLY_SECONDS = 0.07
# Mean seconds of a stream, streams a second, and attempts of the deadly request a second.
STREAM_SECONDS = 1.0
STREAM_RATE = 12.0
DEADLY_RATE = 3.0
# Engines that one attempt may go to, and attempts that a caller makes.
ENGINES_PER_ATTEMPT = 2
ATTEMPTS = 2
CALLER_PAUSE_SECONDS = 0.1
SEEDS = range(1, 21)
# The crashes to be kept back after that are compared; the last one never comes.
THRESHOLDS = (1, 2, 3, 10**6)
ENGINES = (2, 4, 8)


@dataclass
class Request:
    """One request of a caller, with what is left of its attempts."""

    name: RequestFingerprint
    deadly: bool
    seconds: float
    engines_left: int = ENGINES_PER_ATTEMPT
    attempts_left: int = ATTEMPTS


@dataclass
class Counts:
    """What a run came to."""

    crashes: int = 0
    streams: int = 0
    served: int = 0
    kept_back: int = 0


@dataclass
class Run:
    """One run of the model."""

    engines: int
    seed: int
    counts: Counts = field(default_factory=Counts)

    def play(self) -> Counts:
        """Play the run and return what it came to."""
        self._rng = random.Random(self.seed)
        self._quarantine = Quarantine(self._rng.random())
        self._numbers = itertools.count()
        self._away_until = [0.0] * self.engines
        self._starts = [0] * self.engines
        self._open: list[dict[int, Request]] = [{} for _ in range(self.engines)]
        self._events: list[tuple[float, int, object, tuple[object, ...]]] = []
        self._at(0.0, self._send_stream)
        self._at(5.0, self._send_deadly)
        while self._events and self._events[0][0] < RUN_SECONDS:
            self._now, _, act, details = heapq.heappop(self._events)
            assert callable(act)
            act(*details)
        return self.counts

    def _at(self, when: float, act: object, *details: object) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), act, details))

    def _send_stream(self) -> None:
        self.counts.streams += 1
        name = RequestFingerprint(bytes(8), self._rng.randbytes(8))
        seconds = self._rng.expovariate(1 / STREAM_SECONDS)
        self._send(Request(name, False, seconds))
        self._at(self._now + self._rng.expovariate(STREAM_RATE), self._send_stream)

    def _send_deadly(self) -> None:
        self._send(Request(RequestFingerprint(bytes(8), b"deadly!!"), True, DEADLY_SECONDS))
        self._at(self._now + self._rng.expovariate(DEADLY_RATE), self._send_deadly)

    def _send(self, request: Request) -> None:
        if self._quarantine.find_wait(request.name, self._now) > 0:
            self.counts.kept_back += not request.deadly
            return
        up = [number for number in range(self.engines) if self._now >= self._away_until[number]]
        if not up:
            self._send_by_caller(request)
            return
        engine = min(up, key=lambda number: (len(self._open[number]), self._rng.random()))
        key = next(self._numbers)
        self._open[engine][key] = request
        self._at(self._now + request.seconds, self._end, engine, self._starts[engine], key)

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
        self._away_until[engine] = self._now + AWAY_SECONDS
        for item in broken:
            crash = Crash(f"{engine}@{start}", self._now)
            self._quarantine.note(item.name, [crash], self._now)
        for item in broken:
            item.engines_left -= 1
            if item.engines_left:
                self._send(item)
            else:
                self._send_by_caller(item)

    def _send_by_caller(self, request: Request) -> None:
        request.attempts_left -= 1
        request.engines_left = ENGINES_PER_ATTEMPT
        if request.attempts_left and not request.deadly:
            self._at(self._now + CALLER_PAUSE_SECONDS, self._send, request)


def run_all(engines: int, threshold: int) -> Counts:
    """Return what all seeds came to together with a threshold in force."""
    total = Counts()
    with mock.patch.object(quarantine, "CRASHES_TO_QUARANTINE", threshold):
        for seed in SEEDS:
            counts = Run(engines, seed).play()
            for name, value in vars(counts).items():
                setattr(total, name, getattr(total, name) + value)
    return total


def main() -> None:
    """Print a line for each threshold and number of engines."""
    print("engines  kept back after  crashes a run  streams not served  of them kept back")
    for engines in ENGINES:
        for threshold in THRESHOLDS:
            found = run_all(engines, threshold)
            shown = str(threshold) if threshold < THRESHOLDS[-1] else "never"
            lost = found.streams - found.served
            print(
                f"{engines:7}  {shown:>15}  {found.crashes / len(SEEDS):13.1f}  "
                f"{100 * lost / found.streams:17.2f}%  {found.kept_back / len(SEEDS):17.2f}"
            )
