"""Soak rounds in which hosts miss changes of software versions, as they are cut off or stopped.

One version serves at first. Cut hosts reach neither the store nor other hosts than those that are
cut off with them; callers and upstreams reach them all the same. Streams break all the time, and
are taken up at any host, until the trouble is over.
"""

import asyncio
import json
import random
import signal
from contextlib import contextmanager

from tests.soak import promises
from tests.soak.callers import CallerSet
from tests.soak.faults import Faults
from tests.soak.lost_rounds import CALLERS, KINDS, VERSIONS, Versions
from tests.soak.processes import ProcessSite, split_address
from tests.soak.proxy import Proxy, ProxyMode
from tests.soak.rounds import Outcome, check_recovery, check_round, wait_for_hosts

TROUBLES = 2
# How hosts miss changes: whether they are cut off, and whether they are stopped.
FORMS = {"cut": (True, False), "stop": (False, True), "cut and stop": (True, True)}
# Seconds before the first trouble, in which hosts learn where streams begin, and between two.
SETTLE_SECONDS, MIN_CALM_SECONDS, MAX_CALM_SECONDS = 2.0, 0.5, 2.0
# Seconds of a trouble until versions change: others count as lost at a cut host after some two.
MIN_LEAD_SECONDS, MAX_LEAD_SECONDS = 0.2, 3.0
# Seconds from one change to the next one, or to the end of the trouble; and the most changes.
MIN_CHANGE_SECONDS, MAX_CHANGE_SECONDS = 0.7, 2.0
MAX_CHANGES = 3
LEAVE_SHARE = 0.5
# Seconds of each event, and the streams that each engine breaks off at a time.
EVENT_SECONDS, BREAK_SECONDS, BROKEN_STREAMS = 0.05, 0.25, 8
# Hosts whose keys are not confirmed would refuse all callers during a cut.
KEY_BOUND_MS = 60_000
# The kinds of faults beside the troubles.
BESIDE = ("kill", "stop", "reload", "change_configuration")


class MissedFaults(Faults):
    """Has hosts miss changes of versions, some times, beside other faults."""

    def __init__(self, site, rng, versions, stores):
        """Use the proxies `stores` between the hosts and the store, by host."""
        super().__init__(site, rng)
        self._versions = versions
        self._stores = stores
        self._troubles = random.Random(rng.random())

    def list_kinds(self, planned):
        return [getattr(self, name) for name in BESIDE]

    async def run(self, seconds, planned=False, has_regions=False):
        breaking = asyncio.ensure_future(self._break_all())
        await asyncio.sleep(SETTLE_SECONDS)
        troubles = asyncio.ensure_future(self._make_troubles())
        # The other faults go on until the last trouble is over.
        while not troubles.done():
            await super().run(seconds / TROUBLES, planned=True)
        await troubles
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
        for _ in range(TROUBLES):
            await self._miss_changes()
            await asyncio.sleep(self._troubles.uniform(MIN_CALM_SECONDS, MAX_CALM_SECONDS))

    async def _miss_changes(self):
        """Let some hosts, but not all, miss changes of versions."""
        hosts = sorted(self._site.hosts)
        names = self._troubles.sample(hosts, self._troubles.randint(1, len(hosts) - 1))
        form = self._troubles.choice(list(FORMS))
        self.log.append(f"{form} {'+'.join(sorted(names))}")
        await self._reserve(names)
        is_cut, is_stopped = FORMS[form]
        with self._cut_off(names if is_cut else ()), self._stopped(names if is_stopped else ()):
            await asyncio.sleep(self._troubles.uniform(MIN_LEAD_SECONDS, MAX_LEAD_SECONDS))
            for _ in range(self._troubles.randint(1, MAX_CHANGES)):
                self._change_versions()
                seconds = self._troubles.uniform(MIN_CHANGE_SECONDS, MAX_CHANGE_SECONDS)
                await asyncio.sleep(seconds)
        self._busy_hosts.difference_update(names)

    async def _reserve(self, names):
        """Wait until no other fault of some hosts is in progress, and let none begin."""
        while self._busy_hosts & set(names):
            await asyncio.sleep(0.02)
        self._busy_hosts.update(names)

    def _change_versions(self):
        """Let a version leave, or one come, which may have served before."""
        serving = self._versions.list_serving()
        absent = [build for build in VERSIONS if build not in serving]
        leaves = not absent or (len(serving) > 1 and self._troubles.random() < LEAVE_SHARE)
        build = self._troubles.choice(serving if leaves else absent)
        self.log.append(f"{build} {'leaves' if leaves else 'comes'}")
        (self._versions.leave if leaves else self._versions.come)(build)

    @contextmanager
    def _cut_off(self, names):
        hosts = self._site.hosts
        others = [name for name in hosts if name not in names] if names else []
        for group, cut in ((names, others), (others, names)):
            ips = [hosts[name].settings["ip"] for name in cut]
            for name in group:
                hosts[name].unreachable_file.write_text(json.dumps(ips))
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
        for name in names:
            self._site.hosts[name].send(signal.SIGSTOP)
        try:
            yield
        finally:
            for name in names:
                self._site.hosts[name].send(signal.SIGCONT)


class PatientCallers(CallerSet):
    """Callers of streams, most of them, who try to take up broken ones beyond a trouble."""

    patience_seconds = 12.0
    max_taken_up = 120

    def _draw_kind(self):
        return self._rng.choice(KINDS)


async def add_stores(site, hosts):
    """Put a proxy between each host and the store; return these by host."""
    stores = {}
    for name in [f"g{number}" for number in range(hosts)]:
        proxy = site.proxies[f"store of {name}"] = Proxy(split_address(site.store_address))
        stores[name] = proxy
        site.store_addresses[name] = await proxy.open()
    return stores


async def run_missed_round(seed, folder, hosts=4, seconds=6.0, callers=CALLERS):
    """Run one round."""
    rng = random.Random(seed)
    site = ProcessSite(folder)
    versions = Versions(site, first=VERSIONS[:1])
    stores = {}

    async def add_upstreams():
        site.bounds["revokeMs"] = KEY_BOUND_MS
        stores.update(await add_stores(site, hosts))
        await versions.add_engines()

    await site.build(hosts, add_upstreams=add_upstreams)
    try:
        await wait_for_hosts(site)
        caller_set = PatientCallers(site, rng, callers)
        faults = MissedFaults(site, random.Random(f"faults of {seed}"), versions, stores)
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
