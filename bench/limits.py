"""Ways in which hosts may keep together to the requests a second that an upstream takes.

A model in simulated time. Requests that want the upstream come to hosts at random, more than it
takes. Datagrams are lost at times; hosts die, start anew, and hear of that late. What an upstream
gets is counted in windows, as users judge it. Left out: other upstreams, and how hosts learn the
limit in the first place (they know it).
"""

import functools
import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from swifttrestle.internal.policy.placement import rank
from swifttrestle.internal.policy.rate_limits import (
    ASK_ATTEMPTS,
    MIN_REQUESTS_PER_SECOND,
    TokenBucket,
    find_max_retry_seconds,
    find_owners,
)
from swifttrestle.internal.state.members import Member

RUN_SECONDS = 30.0
# Requests a second that want the upstream, as a multiple of its limit and at least.
PRESSURE = 6.0
LEAST_PRESSURE = 30.0
WINDOW_SECONDS = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5.0
# Seconds for a datagram and its answer, the part of them that is lost, and what a vain one costs.
ROUND_TRIP = 0.004
LOST_SHARE = 0.03
VAIN_SECONDS = 0.05
# Seconds until others know that a host is gone, and that a new one is there.
GONE_KNOWN_SECONDS = 2.0
JOIN_KNOWN_SECONDS = 0.6
# Seconds for which a lost host is away after that is known.
AWAY_SECONDS = 1.0
# Part of the permits that are used late, and how late at most, in seconds.
LATE_SHARE = 0.2
LATE_SECONDS = 1.5
HOSTS = (8, 65, 195)
LIMITS = (0.5, 2.9, 9.7)
SEEDS = range(1, 6)
ZONES = ("a", "b", "c")


@dataclass
class Host:
    """One host of the model: whether it serves, and since when others know what it is."""

    member: Member
    up: bool = True
    known_up: bool = True
    denied_until: float = 0.0
    bucket: TokenBucket | None = None


@dataclass
class Fleet:
    """The hosts, and what each of them believes: changes are known to all at the same time."""

    hosts: list[Host]
    rng: random.Random

    def list_known(self) -> list[Member]:
        """Return the members as hosts believe them to be."""
        return [item.member for item in self.hosts if item.known_up]

    def find(self, member: Member) -> Host:
        """Return the host of a member."""
        return next(item for item in self.hosts if item.member is member)


class Way(ABC):
    """How a host finds out whether it may send."""

    name = ""

    def __init__(self, fleet: Fleet, rate: float) -> None:
        """Keep to `rate` requests a second together."""
        self.fleet = fleet
        self.rate = rate

    @abstractmethod
    def ask(self, host: Host, now: float) -> float:
        """Return 0 where the host may send, or the seconds after which to ask again."""

    def forget(self, host: Host) -> None:
        """Drop what a host that has ended knew."""
        host.bucket = None
        host.denied_until = 0.0

    def take_own(self, host: Host, now: float, rate: float) -> float:
        """Take from the host's own bucket; as one starts, it may send one."""
        if host.bucket is None:
            host.bucket = TokenBucket(now - 1.0 / rate)
        return host.bucket.take(rate, True, now)


class Standing(Way):
    """The word is not read."""

    name = "as it stands"

    def ask(self, host: Host, now: float) -> float:
        """Let all go."""
        return 0.0


class EqualShares(Way):
    """Each host keeps to an equal part of the limit."""

    name = "equal shares"

    def ask(self, host: Host, now: float) -> float:
        """Take from the host's own part."""
        return self.take_own(host, now, self.rate / len(self.fleet.list_known()))


class RankedShares(Way):
    """As many hosts as the limit is requests a second share it; all others send nothing."""

    name = "ranked shares"

    def ask(self, host: Host, now: float) -> float:
        """Take from the part of a host that has one."""
        holders = max(1, int(self.rate))
        known = sorted(self.fleet.list_known(), key=lambda item: rank("limit", item.host))
        if host.member not in known[:holders]:
            return 1.0
        return self.take_own(host, now, self.rate / holders)


class OneKeeper(Way):
    """One host counts for all, and the next one where that does not answer."""

    name = "one keeper"

    def ask(self, host: Host, now: float) -> float:
        """Ask the keepers in turn."""
        known = self.fleet.list_known()
        for member in find_owners(known, "upstream", "a"):
            keeper = self.fleet.find(member)
            lost = LOST_SHARE**ASK_ATTEMPTS
            if keeper is not host and (not keeper.up or self.fleet.rng.random() < lost):
                continue
            if keeper.bucket is None:
                keeper.bucket = TokenBucket(now)
            return keeper.bucket.take(self.rate, False, now, find_max_retry_seconds(len(known)))
        return VAIN_SECONDS


WAYS: tuple[type[Way], ...] = (Standing, EqualShares, RankedShares, OneKeeper)


@dataclass
class Run:
    """One run: what the upstream got, and by how many hosts."""

    fleet: Fleet
    way: Way
    trouble: bool
    arrivals: list[float] = field(default_factory=list)
    senders: set[str] = field(default_factory=set)
    _queue: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def play(self) -> "Run":
        """Play the run to its end."""
        self._at(0.0, self._request)
        if self.trouble:
            self._at(RUN_SECONDS / 4, self._lose_keeper)
        while self._queue and self._queue[0][0] < RUN_SECONDS:
            at, _, act = heapq.heappop(self._queue)
            act(at)
        return self

    def _at(self, at: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._numbers), act))

    def _request(self, now: float) -> None:
        rng = self.fleet.rng
        pressure = max(LEAST_PRESSURE, PRESSURE * self.way.rate)
        self._at(now + rng.expovariate(pressure), self._request)
        host = rng.choice([item for item in self.fleet.hosts if item.up])
        if now < host.denied_until:
            return
        seconds = self.way.ask(host, now)
        if seconds:
            host.denied_until = now + seconds
            return
        late = LATE_SECONDS * rng.random() if rng.random() < LATE_SHARE else 0.0
        self.senders.add(host.member.host)
        self.arrivals.append(now + ROUND_TRIP + late)

    def _lose_keeper(self, now: float) -> None:
        """End the first keeper, and some others; they start anew a while later."""
        first = self.fleet.find(find_owners(self.fleet.list_known(), "upstream", "a")[0])
        lost = {first.member.host: first}
        for item in self.fleet.rng.sample(self.fleet.hosts, len(self.fleet.hosts) // 8):
            lost[item.member.host] = item
        for host in lost.values():
            host.up = False
            self.way.forget(host)
            gone = now + GONE_KNOWN_SECONDS
            back = gone + AWAY_SECONDS
            self._at(gone, functools.partial(self._know, host, False))
            self._at(back, functools.partial(self._start, host))
            self._at(back + JOIN_KNOWN_SECONDS, functools.partial(self._know, host, True))

    def _know(self, host: Host, up: bool, _: float) -> None:
        host.known_up = up

    def _start(self, host: Host, _: float) -> None:
        host.up = True


def count_worst(arrivals: list[float]) -> int:
    """Return the most arrivals in any window."""
    window: deque[float] = deque()
    worst = 0
    for at in sorted(arrivals):
        window.append(at)
        while at - window[0] >= WINDOW_SECONDS:
            window.popleft()
        worst = max(worst, len(window))
    return worst


def allow(rate: float) -> float:
    """Return how many arrivals a window may have."""
    return ALLOWED_SHARE * rate * WINDOW_SECONDS + ALLOWED_EXTRA


def play(way: type[Way], hosts: int, rate: float, seed: int, trouble: bool = True) -> Run:
    """Play one run of a way."""
    members = [Member(f"h{n}", f"10.0.0.{n}", ZONES[n % len(ZONES)]) for n in range(hosts)]
    fleet = Fleet([Host(item) for item in members], random.Random(seed))
    return Run(fleet, way(fleet, max(rate, MIN_REQUESTS_PER_SECOND)), trouble).play()


def main() -> None:
    """Print for each way the worst window beside what is allowed, and how much was used."""
    print("hosts limit  way            worst allowed  used  hosts that send")
    for hosts, rate, way in itertools.product(HOSTS, LIMITS, WAYS):
        runs = [play(way, hosts, rate, seed) for seed in SEEDS]
        worst = max(count_worst(run.arrivals) for run in runs)
        used = sum(len(run.arrivals) for run in runs) / (len(runs) * RUN_SECONDS * rate)
        senders = min(len(run.senders) for run in runs)
        print(
            f"{hosts:5} {rate:5}  {way.name:14} {worst:5} {allow(rate):7.1f} {used:5.2f}  {senders}"
        )
