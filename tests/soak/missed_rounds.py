"""Soak rounds in which hosts miss changes of software versions, as they are cut off or stopped.

One version serves at first. Cut hosts reach neither the store nor other hosts than those that are
cut off with them; callers and upstreams reach them all the same. Streams break all the time, and
are taken up at any host, until the trouble is over.
"""

import asyncio
import json
import random
import signal
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

from tests.soak import promises
from tests.soak.callers import RESUMABLE_KIND, CallerSet
from tests.soak.faults import Faults
from tests.soak.lost_rounds import CALLERS, KINDS, VERSIONS, Versions
from tests.soak.processes import ProcessSite
from tests.soak.proxy import ProxyMode
from tests.soak.rounds import Outcome, check_recovery, check_round, wait_for_hosts

TROUBLES = 2
# Seconds before the first trouble, in which hosts learn where streams begin, and between two.
SETTLE_SECONDS, MIN_CALM_SECONDS, MAX_CALM_SECONDS = 2.0, 0.5, 2.0
# Seconds of a trouble until versions change. A cut host counts the others as lost after some two.
MIN_LEAD_SECONDS, MAX_LEAD_SECONDS = 0.2, 3.0
# Seconds from one change to the next one, or to the end of the trouble; and the most changes.
MIN_CHANGE_SECONDS, MAX_CHANGE_SECONDS = 0.7, 2.0
MAX_CHANGES = 3
LEAVE_SHARE = 0.5
# Seconds of each event; the most streams that each engine breaks off in the seconds of a break.
# With more, engines count as failing most of the time.
EVENT_SECONDS, BREAK_SECONDS, BROKEN_STREAMS = 0.1, 0.25, 2
# The share of streams whose callers lose their connections, and the seconds until then.
LOST_SHARE = 0.7
MIN_LOST_SECONDS, MAX_LOST_SECONDS = 0.1, 0.4
# The kinds of faults beside the troubles.
BESIDE = ("kill", "stop", "reload", "change_configuration")


@dataclass(frozen=True)
class Trouble:
    """How hosts miss changes."""

    name: str
    is_cut: bool
    is_stopped: bool


KINDS_OF_TROUBLE = (
    Trouble("cut", is_cut=True, is_stopped=False),
    Trouble("stop", is_cut=False, is_stopped=True),
    Trouble("cut and stop", is_cut=True, is_stopped=True),
)


class MissedFaults(Faults):
    """Has hosts miss changes of versions `troubles` times, beside other faults."""

    def __init__(self, site, rng, versions, stores, troubles):
        """Use `stores`, the proxies between the hosts and the store by host."""
        super().__init__(site, rng)
        self._versions = versions
        self._stores = stores
        self._count = troubles
        self._troubles = random.Random(rng.random())

    def list_kinds(self, planned):
        return [getattr(self, name) for name in BESIDE]

    async def run(self, seconds, planned=False, has_regions=False):
        breaking = asyncio.ensure_future(self._break_all())
        try:
            await asyncio.sleep(SETTLE_SECONDS)
            troubles = asyncio.ensure_future(self._make_troubles())
            # The other faults go on until the last trouble is over.
            while not troubles.done():
                await super().run(seconds / self._count, planned=True)
            await troubles
        finally:
            breaking.cancel()
        for engine in self._versions.list_all():
            engine.script.steps.clear()

    async def _break_all(self):
        """Have all engines break off streams, again and again."""
        engines = self._versions.list_all()
        while True:
            for engine in engines:
                engine.seconds = EVENT_SECONDS
                missing = BROKEN_STREAMS - len(engine.script.steps)
                engine.script.steps.extend(["cut-early"] * missing)
            await asyncio.sleep(BREAK_SECONDS)

    async def _make_troubles(self):
        for _ in range(self._count):
            await self._miss_changes()
            await asyncio.sleep(self._troubles.uniform(MIN_CALM_SECONDS, MAX_CALM_SECONDS))

    async def _miss_changes(self):
        """Let some hosts, but not all, miss changes of versions."""
        hosts = sorted(self._site.hosts)
        names = self._troubles.sample(hosts, self._troubles.randint(1, len(hosts) - 1))
        trouble = self._troubles.choice(KINDS_OF_TROUBLE)
        self.log.append(f"{trouble.name} {'+'.join(sorted(names))}")
        await self._reserve(names)
        # A host that starts while it is cut off would refuse all callers.
        await wait_for_hosts(self._site)
        with ExitStack() as stack:
            if trouble.is_cut:
                stack.enter_context(self._cut_off(names))
            if trouble.is_stopped:
                stack.enter_context(self._stopped(names))
            await self._change_some_versions()
        self._busy_hosts.difference_update(names)

    async def _change_some_versions(self):
        await asyncio.sleep(self._troubles.uniform(MIN_LEAD_SECONDS, MAX_LEAD_SECONDS))
        for _ in range(self._troubles.randint(1, MAX_CHANGES)):
            self._change_versions()
            seconds = self._troubles.uniform(MIN_CHANGE_SECONDS, MAX_CHANGE_SECONDS)
            await asyncio.sleep(seconds)

    def _change_versions(self):
        """Let a version leave, or one come, which may have served before."""
        serving = self._versions.list_serving()
        absent = [build for build in VERSIONS if build not in serving]
        leaves = not absent or (len(serving) > 1 and self._troubles.random() < LEAVE_SHARE)
        build = self._troubles.choice(serving if leaves else absent)
        self.log.append(f"{build} {'leaves' if leaves else 'comes'}")
        if leaves:
            self._versions.leave(build)
        else:
            self._versions.come(build)

    @contextmanager
    def _cut_off(self, names):
        """Cut hosts off from the store and from all hosts but each other."""
        hosts = self._site.hosts
        others = set(hosts) - set(names)
        for name, host in hosts.items():
            unreachable = others if name in names else names
            ips = [hosts[other].settings["ip"] for other in unreachable]
            host.unreachable_file.write_text(json.dumps(ips))
        for name in names:
            self._stores[name].set_mode(ProxyMode.SILENT)
        try:
            yield
        finally:
            for host in hosts.values():
                host.unreachable_file.unlink(missing_ok=True)
            for name in names:
                self._stores[name].set_mode(ProxyMode.PASS)

    @contextmanager
    def _stopped(self, names):
        """Let the processes of hosts stand still."""
        for name in names:
            self._site.hosts[name].send(signal.SIGSTOP)
        try:
            yield
        finally:
            for name in names:
                self._site.hosts[name].send(signal.SIGCONT)


class PatientCallers(CallerSet):
    """Callers of streams, most of them, who try to take up broken ones beyond a trouble.

    Many lose their connections while a stream begins.
    """

    patience_seconds = 12.0
    max_taken_up = 120

    def _draw_kind(self):
        return self._rng.choice(KINDS)

    async def _request(self, caller, host, key, kind, stream="", after=0):
        is_lost = kind == RESUMABLE_KIND and not stream and self._rng.random() < LOST_SHARE
        if not is_lost:
            return await super()._request(caller, host, key, kind, stream, after)
        seconds = self._rng.uniform(MIN_LOST_SECONDS, MAX_LOST_SECONDS)
        loss = asyncio.get_running_loop().call_later(seconds, caller.reset)
        try:
            return await super()._request(caller, host, key, kind, stream, after)
        finally:
            loss.cancel()


async def run_missed_round(seed, folder, hosts=4, seconds=6.0, callers=CALLERS, troubles=TROUBLES):
    """Run one round. The last item of its faults is the number of streams taken up."""
    rng = random.Random(seed)
    site = ProcessSite(folder)
    versions = Versions(site, first=VERSIONS[:1])
    stores = {}

    async def add_upstreams():
        # Hosts that can't confirm keys would refuse all requests.
        site.bounds["strictRevoke"] = False
        stores.update(await site.add_store_proxies([f"g{number}" for number in range(hosts)]))
        await versions.add_engines()

    await site.build(hosts, add_upstreams=add_upstreams)
    try:
        await wait_for_hosts(site)
        caller_set = PatientCallers(site, rng, callers)
        faults = MissedFaults(site, random.Random(f"faults of {seed}"), versions, stores, troubles)
        caller_set.start()
        await faults.run(seconds)
        await caller_set.finish()
        observations = caller_set.observations
        findings = faults.findings + await check_recovery(site)
        findings += check_round(site, observations)
        findings += promises.check_taken_up(observations, versions.served)
        served = sum(1 for item in observations if item.answer and item.answer.status == 200)
        taken_up = len({item.stream for item in observations if item.stream})
        faults.log.append(f"{taken_up} streams taken up")
        return Outcome(seed, findings, faults.log, len(observations), served, 0)
    finally:
        await site.close()
