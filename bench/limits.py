"""Policies by which hosts share the requests per second that an upstream accepts.

A simulation in virtual time. Requests arrive at random hosts, at a higher rate than the limit.
Datagrams may be lost; hosts fail and restart, and others notice it with a delay. Arrivals at the
upstream are counted in sliding windows. Not modelled: other upstreams, and how hosts learn the
limit, which they know from the start.
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
# Offered requests per second: a multiple of the limit, with a minimum.
DEMAND_FACTOR = 6.0
MIN_DEMAND_PER_SECOND = 30.0
# Window in which arrivals are counted, and how many are allowed in it: a share of the limit plus a
# number of requests.
WINDOW_SECONDS = 4.0
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA_REQUESTS = 5.0
# Seconds for a datagram and its answer, the share that is lost, and the retry delay if all fail.
ROUND_TRIP_SECONDS = 0.004
LOST_SHARE = 0.03
FAILED_QUERY_SECONDS = 0.05
# Seconds until other hosts know that a host has failed, and that it has restarted.
FAILURE_KNOWN_SECONDS = 2.0
RESTART_KNOWN_SECONDS = 0.6
# Seconds after which a failed host restarts, once others know of the failure.
RESTART_SECONDS = 1.0
# Share of the permits that are used late, and the maximum delay in seconds.
LATE_SHARE = 0.2
LATE_SECONDS = 1.5
HOSTS = (8, 65, 195)
LIMITS = (0.5, 2.9, 9.7)
SEEDS = range(1, 6)
ZONES = ("a", "b", "c")


@dataclass
class Host:
    """One simulated host: whether it is up, and whether others know it as up."""

    member: Member
    up: bool = True
    known_up: bool = True
    denied_until: float = 0.0
    bucket: TokenBucket | None = None


@dataclass
class Fleet:
    """The hosts; changes of membership become known to all of them at the same time."""

    hosts: list[Host]
    rng: random.Random

    def list_known(self) -> list[Member]:
        """Return the members that hosts know as up."""
        return [item.member for item in self.hosts if item.known_up]

    def find(self, member: Member) -> Host:
        """Return the host of a member."""
        return next(item for item in self.hosts if item.member is member)


class LimitPolicy(ABC):
    """Strategy by which a host decides whether it may send a request."""

    name = ""

    def __init__(self, fleet: Fleet, rate: float) -> None:
        """Limit the fleet to `rate` requests per second in total."""
        self.fleet = fleet
        self.rate = rate

    @abstractmethod
    def ask(self, host: Host, now: float) -> float:
        """Return 0 if the host may send, or the seconds after which to ask again."""

    def drop_state(self, host: Host) -> None:
        """Discard the state of a host that has ended."""
        host.bucket = None
        host.denied_until = 0.0

    def take_local(self, host: Host, now: float, rate: float) -> float:
        """Take from the host's own bucket, which starts with one request available."""
        if host.bucket is None:
            host.bucket = TokenBucket(now - 1.0 / rate)
        return host.bucket.take(rate, True, now)


class Unlimited(LimitPolicy):
    """The limit is ignored."""

    name = "unlimited"

    def ask(self, host: Host, now: float) -> float:
        """Allow every request."""
        return 0.0


class EqualShares(LimitPolicy):
    """Each host gets an equal share of the limit."""

    name = "equal shares"

    def ask(self, host: Host, now: float) -> float:
        """Take from the host's share."""
        return self.take_local(host, now, self.rate / len(self.fleet.list_known()))


class RankedShares(LimitPolicy):
    """Hosts share the limit, one for each whole request per second; others send nothing."""

    name = "ranked shares"

    def ask(self, host: Host, now: float) -> float:
        """Take from the host's share, if it has one."""
        holders = max(1, int(self.rate))
        known = sorted(self.fleet.list_known(), key=lambda item: rank("limit", item.host))
        if host.member not in known[:holders]:
            return 1.0
        return self.take_local(host, now, self.rate / holders)


class OneKeeper(LimitPolicy):
    """The owner by consistent hashing counts for all hosts; the next owner if it is unreachable."""

    name = "one owner"

    def ask(self, host: Host, now: float) -> float:
        """Ask the owners in turn."""
        known = self.fleet.list_known()
        for member in find_owners(known, "upstream", "a"):
            owner = self.fleet.find(member)
            lost = LOST_SHARE**ASK_ATTEMPTS
            if owner is not host and (not owner.up or self.fleet.rng.random() < lost):
                continue
            if owner.bucket is None:
                owner.bucket = TokenBucket(now)
            return owner.bucket.take(self.rate, False, now, find_max_retry_seconds(len(known)))
        return FAILED_QUERY_SECONDS


LIMIT_POLICIES: tuple[type[LimitPolicy], ...] = (Unlimited, EqualShares, RankedShares, OneKeeper)


@dataclass
class Run:
    """One run, with the arrivals at the upstream (simulated seconds) and the hosts that sent."""

    fleet: Fleet
    policy: LimitPolicy
    trouble: bool
    arrivals: list[float] = field(default_factory=list)
    senders: set[str] = field(default_factory=set)
    _queue: list[tuple[float, int, Callable[[float], None]]] = field(default_factory=list)
    _numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    def play(self) -> "Run":
        """Simulate the run to its end."""
        self._schedule(0.0, self._request)
        if self.trouble:
            self._schedule(RUN_SECONDS / 4, self._stop_hosts)
        while self._queue and self._queue[0][0] < RUN_SECONDS:
            at, _, action = heapq.heappop(self._queue)
            action(at)
        return self

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._numbers), action))

    def _request(self, now: float) -> None:
        rng = self.fleet.rng
        demand = max(MIN_DEMAND_PER_SECOND, DEMAND_FACTOR * self.policy.rate)
        self._schedule(now + rng.expovariate(demand), self._request)
        host = rng.choice([item for item in self.fleet.hosts if item.up])
        if now < host.denied_until:
            return
        seconds = self.policy.ask(host, now)
        if seconds:
            host.denied_until = now + seconds
            return
        late = LATE_SECONDS * rng.random() if rng.random() < LATE_SHARE else 0.0
        self.senders.add(host.member.host)
        self.arrivals.append(now + ROUND_TRIP_SECONDS + late)

    def _stop_hosts(self, now: float) -> None:
        """Stop the first owner and some other hosts, and schedule their restarts."""
        first = self.fleet.find(find_owners(self.fleet.list_known(), "upstream", "a")[0])
        failing = {first.member.host: first}
        for item in self.fleet.rng.sample(self.fleet.hosts, len(self.fleet.hosts) // 8):
            failing[item.member.host] = item
        for host in failing.values():
            host.up = False
            self.policy.drop_state(host)
            failure_known_at = now + FAILURE_KNOWN_SECONDS
            restarted_at = failure_known_at + RESTART_SECONDS
            self._schedule(failure_known_at, functools.partial(self._set_known_up, host, False))
            self._schedule(restarted_at, functools.partial(self._restart, host))
            self._schedule(
                restarted_at + RESTART_KNOWN_SECONDS,
                functools.partial(self._set_known_up, host, True),
            )

    def _set_known_up(self, host: Host, up: bool, _: float) -> None:
        host.known_up = up

    def _restart(self, host: Host, _: float) -> None:
        host.up = True


def count_worst(arrivals: list[float]) -> int:
    """Return the maximum number of arrivals in any window."""
    window: deque[float] = deque()
    worst = 0
    for at in sorted(arrivals):
        window.append(at)
        while at - window[0] >= WINDOW_SECONDS:
            window.popleft()
        worst = max(worst, len(window))
    return worst


def allow(rate: float) -> float:
    """Return the number of arrivals that a window may have under a limit per second."""
    return ALLOWED_SHARE * rate * WINDOW_SECONDS + ALLOWED_EXTRA_REQUESTS


def play(
    policy: type[LimitPolicy], hosts: int, rate: float, seed: int, trouble: bool = True
) -> Run:
    """Simulate one run of a policy; with `trouble`, some hosts fail and restart."""
    members = [Member(f"h{n}", f"10.0.0.{n}", ZONES[n % len(ZONES)]) for n in range(hosts)]
    fleet = Fleet([Host(item) for item in members], random.Random(seed))
    return Run(fleet, policy(fleet, max(rate, MIN_REQUESTS_PER_SECOND)), trouble).play()


def main() -> None:
    """Print for each policy the worst window, what is allowed, and the used share of the limit."""
    print("hosts limit  policy         worst allowed  used  hosts that send")
    for hosts, rate, policy in itertools.product(HOSTS, LIMITS, LIMIT_POLICIES):
        runs = [play(policy, hosts, rate, seed) for seed in SEEDS]
        worst = max(count_worst(run.arrivals) for run in runs)
        used = sum(len(run.arrivals) for run in runs) / (len(runs) * RUN_SECONDS * rate)
        senders = min(len(run.senders) for run in runs)
        print(
            f"{hosts:5} {rate:5}  {policy.name:14} {worst:5} {allow(rate):7.1f} "
            f"{used:5.2f}  {senders}"
        )
