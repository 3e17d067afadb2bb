"""Soak rounds in which all hosts are killed at once while software versions come and leave.

In every other round the store fails too. In the others, streams whose version serves must go on.
"""

import asyncio
import random
from collections import defaultdict
from dataclasses import dataclass, field

from swifttrestle_standins.hosted.upstreams import StandInEngine
from tests.soak import promises
from tests.soak.callers import CallerSet
from tests.soak.faults import Faults
from tests.soak.processes import BUILDS, ZONES, ProcessSite
from tests.soak.rounds import Outcome, check_recovery, check_round, wait_for_hosts

# The versions that may come and leave; the first ones serve from the start.
VERSIONS = (*BUILDS, "v3")
# Engines of each version that decode, beside the site's own ones.
MORE_DECODERS = 2
LOSSES = 2
# Seconds of each event of a stream before a loss, so that streams are under way then; for how long;
# and the seconds that hosts have to learn of a version that leaves before a loss.
SLOW_EVENT_SECONDS, SLOW_SECONDS, LISTED_SECONDS = 0.3, 0.7, 0.3
# Pauses between the end of all hosts and their next start, and between losses.
MIN_DOWN_SECONDS, MAX_DOWN_SECONDS = 0.1, 1.5
MIN_CALM_SECONDS, MAX_CALM_SECONDS = 1.0, 2.5
LEAVE_SHARE, COME_SHARE = 0.8, 0.7
# The kinds of faults beside the losses, and those that are added in every other round.
BESIDE = ("stop", "kill", "pause", "reload", "change_configuration")
STORE_FAULTS = ("stop_store", "restore_store", "reset_proxy", "disturb_proxy", "drain", "cut_host")
KINDS = ("verdict", "verdict", "verdict", "chat", "card")
CALLERS = 30


@dataclass
class Versions:
    """The engines of each version, and the periods in which it served.

    The versions in `first` serve from the start.
    """

    site: ProcessSite
    first: tuple = BUILDS
    engines: dict = field(default_factory=lambda: defaultdict(list))
    periods: dict = field(default_factory=lambda: defaultdict(list))

    async def add_engines(self):
        """Add engines to the site; those of later versions are not listed yet."""
        # The number of engines is that of the round.
        del self.site.services[0]["scaling"]
        for engine in [item for item in self.site.upstreams.values() if item.service == "model"]:
            self.engines[engine.build].append(engine)
        for number, build in enumerate(VERSIONS):
            for decoder in range(MORE_DECODERS):
                engine = StandInEngine(f"m{number}{decoder}", "model", ZONES[number % 2], "decode")
                engine.build, engine.shows_build = build, True
                await self.site.add_upstream(engine)
                self.engines[build].append(engine)
        now = asyncio.get_running_loop().time()
        for build in VERSIONS:
            if build in self.first:
                self.periods[build].append((now, float("inf")))
            else:
                self._unlist(build)

    def list_all(self):
        return [engine for group in self.engines.values() for engine in group]

    def list_serving(self):
        return [build for build, periods in self.periods.items() if periods[-1][1] == float("inf")]

    def come(self, build):
        """List the engines of a version."""
        for engine in self.engines[build]:
            self.site.list_upstream(engine)
        self.periods[build].append((asyncio.get_running_loop().time(), float("inf")))

    def leave(self, build):
        """Have the engines of a version drain and leave the list; they serve what comes late."""
        for engine in self.engines[build]:
            self.site.list_upstream(engine, "draining")
        self._unlist(build)
        began, _ = self.periods[build].pop()
        self.periods[build].append((began, asyncio.get_running_loop().time()))

    def _unlist(self, build):
        for engine in self.engines[build]:
            self.site.unlist_upstream(engine)

    def served(self, build, began, ended):
        """Return whether a version served throughout."""
        return any(first <= began and ended <= last for first, last in self.periods[build])


class LostFaults(Faults):
    """Kills all hosts at once, some times, beside other faults."""

    def __init__(self, site, rng, versions, store_fails):
        super().__init__(site, rng)
        self._versions = versions
        self._store_fails = store_fails
        self._losses = random.Random(rng.random())

    def list_kinds(self, planned):
        names = BESIDE + STORE_FAULTS * self._store_fails
        return [getattr(self, name) for name in names]

    async def run(self, seconds, planned=False, has_regions=False):
        losses = asyncio.ensure_future(self._lose_hosts())
        # The other faults go on until the last loss is over.
        while not losses.done():
            await super().run(seconds / LOSSES, planned=True)
        await losses

    async def _lose_hosts(self):
        for _ in range(LOSSES):
            await asyncio.sleep(self._losses.uniform(MIN_CALM_SECONDS, MAX_CALM_SECONDS))
            await self._lose_all()

    async def _lose_all(self):
        """Kill all hosts at once, and start them again; versions may change before or meanwhile."""
        before = self._losses.random() < 0.5
        changes = self._draw_changes()
        down_seconds = self._losses.uniform(MIN_DOWN_SECONDS, MAX_DOWN_SECONDS)
        self.log.append(f"lose all, {'before' if before else 'meanwhile'} {changes}")
        await self._reserve(self._site.hosts)
        await self._slow_down_streams()
        if before:
            self._change(changes)
            await asyncio.sleep(LISTED_SECONDS)
        hosts = list(self._site.hosts.values())
        await asyncio.gather(*(host.kill() for host in hosts))
        self._speed_up_streams()
        if not before:
            self._change(changes)
        await asyncio.sleep(down_seconds)
        await asyncio.gather(*(host.start() for host in hosts))
        self._busy_hosts.difference_update(self._site.hosts)

    def _draw_changes(self):
        serving = self._versions.list_serving()
        absent = [build for build in VERSIONS if build not in serving]
        changes = []
        if absent and self._losses.random() < COME_SHARE:
            changes.append(("come", self._losses.choice(absent)))
        if len(serving) + len(changes) > 1 and self._losses.random() < LEAVE_SHARE:
            changes.append(("leave", self._losses.choice(serving)))
        return changes

    def _change(self, changes):
        for change, build in changes:
            getattr(self._versions, change)(build)

    async def _slow_down_streams(self):
        for engine in self._versions.list_all():
            engine.usual_seconds, engine.seconds = engine.seconds, SLOW_EVENT_SECONDS
        await asyncio.sleep(SLOW_SECONDS)

    def _speed_up_streams(self):
        for engine in self._versions.list_all():
            engine.seconds = engine.usual_seconds


class StreamCallers(CallerSet):
    """Callers of streams, most of them, who take broken ones up until all hosts are back."""

    patience_seconds = 8.0
    max_taken_up = 12

    def _draw_kind(self):
        return self._rng.choice(KINDS)


async def run_lost_round(seed, folder, hosts=4, seconds=6.0, callers=CALLERS):
    """Run one round; the store fails in those with an odd seed."""
    rng = random.Random(seed)
    store_fails = seed % 2 == 1
    site = ProcessSite(folder)
    versions = Versions(site)
    await site.build(hosts, add_upstreams=versions.add_engines)
    try:
        await wait_for_hosts(site)
        caller_set = StreamCallers(site, rng, callers)
        faults = LostFaults(site, random.Random(f"faults of {seed}"), versions, store_fails)
        caller_set.start()
        await faults.run(seconds)
        await caller_set.finish()
        observations = caller_set.observations
        findings = faults.findings + await check_recovery(site)
        findings += check_round(site, observations)
        if not store_fails:
            findings += promises.check_taken_up(observations, versions.served)
        served = sum(1 for item in observations if item.answer and item.answer.status == 200)
        taken_up = len({item.stream for item in observations if item.stream})
        faults.log.append(f"{taken_up} streams taken up")
        return Outcome(seed, findings, faults.log, len(observations), served, 0)
    finally:
        await site.close()
