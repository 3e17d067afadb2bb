"""Hosts that charge requests to one quota, in one event loop and in virtual time.

Each host runs in a context of its own, so that the loop can suspend one with all its timers.
"""

import asyncio
import contextvars
import random

from swifttrestle.internal.coordination.quotas.limiter import QuotaLimiter
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quotas import find_terms
from swifttrestle.internal.state.declared import Quota, QuotaTolerance, QuotaUnit, Workspace
from swifttrestle.internal.state.members import Member
from swifttrestle_standins.virtual_time import VirtualTimeLoop

# The tolerance of deployment A.
TOLERANCE = QuotaTolerance(8.0, 0.1, 190_000.0)
# The smallest workspace of deployment A.
RATE = 47_000.0
# Costs of requests in deployment A; the mean of the exponential part gives 17,000 overall.
MIN_COST, MEAN_COST, MAX_COST = 1_400, 17_000, 90_000
# Delay of a datagram, and of one that is late.
DATAGRAM_SECONDS = (0.0005, 0.002)
LATE_SECONDS = (0.05, 3.0)
# Seconds after which hosts take a silent one for gone, and see one that is back.
DETECTION_SECONDS = 3.0
REJOIN_SECONDS = 0.5
# The workspace whose quota is charged.
NAME = "w1"

_incarnation = contextvars.ContextVar("incarnation", default="")


class HostLoop(VirtualTimeLoop):
    """A virtual-time loop that can suspend the callbacks of one host."""

    def __init__(self):
        super().__init__()
        self._held = {}

    def suspend(self, incarnation):
        """Hold all callbacks of an incarnation of a host."""
        self._held.setdefault(incarnation, [])

    def resume(self, incarnation):
        """Run the callbacks held meanwhile, and hold no more."""
        for callback, args, context in self._held.pop(incarnation, ()):
            self.call_soon(callback, *args, context=context)

    def resume_all(self):
        """Run all that is held, so that its tasks can be cancelled."""
        for incarnation in list(self._held):
            self.resume(incarnation)

    def call_soon(self, callback, *args, context=None):
        context = context or contextvars.copy_context()
        return super().call_soon(self._run, callback, args, context, context=context)

    def call_at(self, when, callback, *args, context=None):
        context = context or contextvars.copy_context()
        return super().call_at(when, self._run, callback, args, context, context=context)

    def _run(self, callback, args, context):
        held = self._held.get(_incarnation.get())
        if held is None:
            callback(*args)
        else:
            held.append((callback, args, context))


class Socket:
    """One host's end of the network."""

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host

    def set_receiver(self, _, receiver):
        self._host.receive = receiver

    def send(self, ip, _, data):
        self._fleet.carry(self._host, ip, data)


class Host:
    """One host: its limiter, the other hosts that it sees, and its workspace."""

    def __init__(self, fleet, member, start):
        self._fleet = fleet
        self.member = member
        self.incarnation = f"{member.host} {start}"
        self.receive = None
        self.members = (member,)
        self.reaches_store = True
        self.quota = fleet.quota
        self.metrics = Metrics()
        self.context = contextvars.copy_context()
        self.context.run(_incarnation.set, self.incarnation)
        rng = random.Random(f"{fleet.seed} {self.incarnation}")
        self.limiter = QuotaLimiter(
            Socket(fleet, self),
            member.host,
            lambda: self.members,
            lambda: self.reaches_store,
            self._find_terms,
            rng,
            self.metrics,
        )

    @property
    def workspace(self):
        return Workspace(NAME, frozenset(), quota=self.quota)

    def _find_terms(self, name):
        if name != NAME or self.quota is None:
            return None
        return find_terms(self.quota, self._fleet.tolerance)

    def start(self, coroutine):
        return asyncio.get_running_loop().create_task(coroutine, context=self.context)

    async def admit(self, cost):
        return await self.start(self.limiter.admit(self.workspace, cost))


class Fleet:
    """Hosts, the network between them, and what their quota admitted."""

    def __init__(self, count, seed, rate=RATE):
        self.seed = seed
        self.rng = random.Random(seed)
        self.quota = Quota(rate, rate, QuotaUnit.TOKENS, 200)
        self.tolerance = TOLERANCE
        self.lost_share = self.duplicated_share = self.late_share = 0.0
        # Hosts on the other side of a partition.
        self.cut = frozenset()
        self.suspended = set()
        self.sent = 0
        self.granted = []
        self.refused = []
        self.hosts = {}
        self._starts = 0
        members = [
            Member(f"h{n}", f"10.0.{n // 250}.{n % 250}", f"z{n % 4}", 100.0) for n in range(count)
        ]
        for member in members:
            self.start_host(member)
        self.update_members()

    @property
    def loop(self):
        return asyncio.get_running_loop()

    def now(self):
        return self.loop.time()

    def set_quota(self, quota, names=None, tolerance=TOLERANCE):
        """Put a quota in force, at some hosts or at all."""
        self.quota = quota
        self.tolerance = tolerance
        for name in self.hosts if names is None else names:
            self.hosts[name].quota = quota

    # Hosts.

    def start_host(self, member):
        self._starts += 1
        host = self.hosts[member.host] = Host(self, member, self._starts)
        host.start(host.limiter.run())
        return host

    def kill(self, name):
        """End a host without notice; the others take it for gone later."""
        self.loop.suspend(self.hosts.pop(name).incarnation)
        self.update_members_later(DETECTION_SECONDS)

    def suspend(self, name):
        self.suspended.add(name)
        self.loop.suspend(self.hosts[name].incarnation)
        self.update_members_later(DETECTION_SECONDS)

    def resume(self, name):
        self.suspended.discard(name)
        self.loop.resume(self.hosts[name].incarnation)
        self.update_members_later(REJOIN_SECONDS)

    def partition(self, names):
        self.cut = frozenset(names)
        self.update_members_later(DETECTION_SECONDS if names else REJOIN_SECONDS)

    def update_members_later(self, seconds):
        self.loop.call_later(seconds, self.update_members)

    def update_members(self):
        """Have each host see those that it reaches."""
        for name, host in self.hosts.items():
            if name in self.suspended:
                continue
            host.members = tuple(
                item.member
                for other, item in self.hosts.items()
                if other not in self.suspended and self.reaches(name, other)
            )

    def reaches(self, name, other):
        return (name in self.cut) == (other in self.cut)

    def find_counters(self):
        """Return the names of the hosts that count the quota, in order."""
        host = next(iter(self.hosts.values()))
        return [item.host for item in host.limiter._hosts.find_counters(NAME, self.now())]

    # The network.

    def carry(self, source, ip, data):
        self.sent += 1
        target = next((item for item in self.hosts.values() if item.member.ip == ip), None)
        if target is None or not self.reaches(source.member.host, target.member.host):
            return
        if self.rng.random() < self.lost_share:
            return
        copies = 2 if self.rng.random() < self.duplicated_share else 1
        for _ in range(copies):
            late = self.rng.random() < self.late_share
            delay = self.rng.uniform(*(LATE_SECONDS if late else DATAGRAM_SECONDS))
            self.loop.call_later(
                delay, self._deliver, target, data, source.member.ip, context=target.context
            )

    def _deliver(self, target, data, ip):
        target.receive(data, ip)

    # Requests.

    async def offer(self, demand, seconds):
        """Send requests to all hosts at some multiple of the quota."""
        until = self.now() + seconds
        mean_pause = MEAN_COST / (demand * self.quota.rate)
        while self.now() < until:
            await asyncio.sleep(self.rng.expovariate(1 / mean_pause))
            serving = [item for name, item in self.hosts.items() if name not in self.suspended]
            if serving:
                host = self.rng.choice(serving)
                host.start(self._request(host, self.draw_cost()))

    def draw_cost(self):
        cost = MIN_COST + self.rng.expovariate(1 / (MEAN_COST - MIN_COST))
        return min(MAX_COST, int(cost))

    async def _request(self, host, cost):
        admission = await host.limiter.admit(host.workspace, cost)
        if self.hosts.get(host.member.host) is not host:
            return
        (self.granted if admission.is_granted else self.refused).append((self.now(), cost))

    def count_granted(self, since, until):
        return sum(cost for at, cost in self.granted if since <= at < until)

    def find_worst_window(self, since=0.0):
        """Return the most that was granted in any window."""
        worst = total = start = 0
        granted = [item for item in self.granted if item[0] >= since]
        for at, cost in granted:
            total += cost
            while granted[start][0] <= at - TOLERANCE.window_seconds:
                total -= granted[start][1]
                start += 1
            worst = max(worst, total)
        return worst

    def find_bound(self, quota=None):
        """Return what may be granted in any window."""
        quota = quota or self.quota
        allowed = quota.rate * TOLERANCE.window_seconds + quota.burst
        return allowed + TOLERANCE.find_excess(quota)


def run_fleet(test):
    """Run a coroutine in virtual time and return its result; fail if a callback failed."""
    failures = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, details: failures.append(details))
        try:
            return await test
        finally:
            loop.resume_all()

    with asyncio.Runner(loop_factory=HostLoop) as runner:
        result = runner.run(run())
    assert not failures
    return result
