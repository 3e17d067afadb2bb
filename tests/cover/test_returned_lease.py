"""The duties' lease where the store comes back from a copy: who may act, and under which token.

Hosts, store and calls run in virtual time. What is sent arrives up to a second later; what is
judged is what arrives, as engines and the platform see it.
"""

import asyncio
import random

import pytest

from swifttrestle.errors import LeaseLostError, PlatformUnavailableError
from swifttrestle.internal.coordination.duty_lease import ARRIVAL_SECONDS, DutyLeaseManager
from swifttrestle_standins.hosted.direct import DirectStore
from swifttrestle_standins.hosted.store import StandInStore
from swifttrestle_standins.virtual_time import run_in_virtual_time
from tests.common.fakes import skip_silently

LEASE_SECONDS = 3.0
TICK_SECONDS = 0.5
# Seconds for which the oldest copy lies behind, and the longest absence of the store.
OLDEST_COPY_SECONDS, LONGEST_AWAY_SECONDS = 10.0, 3.0
PLAY_SECONDS = 60.0


class Site:
    """Hosts that all want the lease, a store that goes away and comes back, and what arrives."""

    def __init__(self, seed, hosts=3):
        self.rng = random.Random(seed)
        self.stand_in = StandInStore()
        self.arrived = []
        self.copies = []
        self.hosts = [Host(f"h{number}", self) for number in range(hosts)]

    def send(self, host, token):
        at = asyncio.get_running_loop().time() + self.rng.random() * ARRIVAL_SECONDS
        self.arrived.append((at, host, token))

    async def keep_copies(self):
        while True:
            self.copies = [*self.copies, self.stand_in.take_copy()][-20:]
            await asyncio.sleep(OLDEST_COPY_SECONDS / 20)

    async def come_back(self):
        """Go away for a moment, for all or for nobody to see, and come back from some copy."""
        away = self.rng.choice((0.0, 0.1, self.rng.random() * LONGEST_AWAY_SECONDS))
        if away:
            self._set_way(self.rng.choice(("silent", "busy")))
            await asyncio.sleep(away)
        self.stand_in.come_back(self.rng.choice(self.copies))
        self._set_way("up")

    def _set_way(self, way):
        for host in self.hosts:
            host.store.set_way(way)

    async def play(self):
        tasks = [asyncio.ensure_future(host.run()) for host in self.hosts]
        tasks.append(asyncio.ensure_future(self.keep_copies()))
        tasks.append(asyncio.ensure_future(self.break_paths()))
        end = asyncio.get_running_loop().time() + PLAY_SECONDS
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.rng.choice((0.3, 2.0, self.rng.random() * 15.0)))
            await self.come_back()
        await asyncio.sleep(12.0)
        for task in tasks:
            task.cancel()

    async def break_paths(self):
        """Cut one host off for a while, and another one after it."""
        while True:
            await asyncio.sleep(self.rng.random() * 10.0)
            host = self.rng.choice(self.hosts)
            host.store.set_way(self.rng.choice(("silent", "busy")))
            await asyncio.sleep(self.rng.random() * 6.0)
            host.store.set_way("up")


class Host:
    """One host's part: it takes the lease where it can, writes down, and sends."""

    def __init__(self, name, site):
        self.name = name
        self.site = site
        self.store = DirectStore(site.stand_in)
        self.keeper = DutyLeaseManager(self.store, "roles", name, 1, LEASE_SECONDS, skip_silently())
        # A clock that runs a little slow or fast.
        self.pace = 1.0 + 0.02 * (site.rng.random() - 0.5)

    async def run(self):
        rng = self.site.rng
        while True:
            await asyncio.sleep(TICK_SECONDS * self.pace)
            try:
                if await self.keeper.campaign() and rng.random() < 0.4:
                    _, until = await self.keeper.record("e1", rng.choice(("prefill", "decode")))
                    await asyncio.sleep(rng.choice((0.0, 0.2, 0.45)))
                    lease = self.keeper.lease
                    if lease is not None and asyncio.get_running_loop().time() <= until:
                        self.site.send(self.name, lease.token)
            except (LeaseLostError, PlatformUnavailableError):
                pass


def find_faults(arrived):
    """Return what engines and the platform would hold against calls that arrive so."""
    faults = []
    holders = {}
    highest = 0
    # Of each holder in turn: its name, and its latest act.
    turns = []
    for at, host, token in sorted(arrived):
        if holders.setdefault(token, host) != host:
            faults.append(f"{at:.2f}: {host} uses the token of {holders[token]}")
        if token < highest:
            faults.append(f"{at:.2f}: {host} acts under a token that fell")
        highest = max(highest, token)
        if turns and turns[-1][0] == host:
            turns[-1] = (host, at)
            continue
        if len(turns) > 1 and turns[-2][0] == host and at - turns[-2][1] < LEASE_SECONDS:
            faults.append(f"{at:.2f}: {host} and {turns[-1][0]} take turns")
        turns.append((host, at))
    return faults


@pytest.mark.parametrize("seed", range(60))
def test_one_host_at_a_time_acts_and_tokens_rise_over_all_returns(seed):
    site = Site(seed)
    run_in_virtual_time(site.play())
    assert find_faults(site.arrived) == []
    # The duties go on: every absence and every return is over after some seconds.
    assert len(site.arrived) >= 10
