"""The duty lease when the store is restored from a copy: one host at a time acts, tokens increase.

Hosts, store and calls run in virtual time. Calls arrive up to a second after they are sent, and the
checks are made on arrivals, as engines and the platform see them.
"""

import asyncio
import random

import pytest

from swifttrestle.errors import LeaseLostError, PlatformUnavailableError
from swifttrestle.internal.coordination.duties.duty_lease import ARRIVAL_SECONDS, DutyLeaseManager
from swifttrestle_standins.hosted.direct import DirectStore
from swifttrestle_standins.hosted.store import StandInStore
from swifttrestle_standins.virtual_time import run_in_virtual_time
from tests.common.fakes import make_skipped_entries

LEASE_SECONDS = 3.0
TICK_SECONDS = 0.5
# Age of the oldest copy, and the maximum outage of the store.
OLDEST_COPY_SECONDS, MAX_OUTAGE_SECONDS = 10.0, 3.0
RUN_SECONDS = 60.0


class Site:
    """Hosts that contend for the lease, a store that is restored from copies, and arrived calls."""

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
            self.copies = [*self.copies, self.stand_in.copy_contents()][-20:]
            await asyncio.sleep(OLDEST_COPY_SECONDS / 20)

    async def restore_store(self):
        """Restore the store from a random copy, in some cases after an outage."""
        outage = self.rng.choice((0.0, 0.1, self.rng.random() * MAX_OUTAGE_SECONDS))
        if outage:
            self._set_store_state(self.rng.choice(("silent", "busy")))
            await asyncio.sleep(outage)
        self.stand_in.restore(self.rng.choice(self.copies))
        self._set_store_state("up")

    def _set_store_state(self, state):
        for host in self.hosts:
            host.store.set_failure_mode(state)

    async def run(self):
        tasks = [asyncio.ensure_future(host.run()) for host in self.hosts]
        tasks.append(asyncio.ensure_future(self.keep_copies()))
        tasks.append(asyncio.ensure_future(self.disconnect_hosts()))
        end = asyncio.get_running_loop().time() + RUN_SECONDS
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.rng.choice((0.3, 2.0, self.rng.random() * 15.0)))
            await self.restore_store()
        await asyncio.sleep(12.0)
        for task in tasks:
            task.cancel()

    async def disconnect_hosts(self):
        """Disconnect one host at a time from the store for a random time."""
        while True:
            await asyncio.sleep(self.rng.random() * 10.0)
            host = self.rng.choice(self.hosts)
            host.store.set_failure_mode(self.rng.choice(("silent", "busy")))
            await asyncio.sleep(self.rng.random() * 6.0)
            host.store.set_failure_mode("up")


class Host:
    """A host that acquires the lease if it can, records orders and sends them."""

    def __init__(self, name, site):
        self.name = name
        self.site = site
        self.store = DirectStore(site.stand_in)
        self.manager = DutyLeaseManager(
            self.store, "roles", name, 1, LEASE_SECONDS, make_skipped_entries()
        )
        # Speed of the host's clock.
        self.clock_rate = 1.0 + 0.02 * (site.rng.random() - 0.5)

    async def run(self):
        rng = self.site.rng
        while True:
            await asyncio.sleep(TICK_SECONDS * self.clock_rate)
            try:
                if await self.manager.try_acquire() and rng.random() < 0.4:
                    _, until = await self.manager.record("e1", rng.choice(("prefill", "decode")))
                    await asyncio.sleep(rng.choice((0.0, 0.2, 0.45)))
                    lease = self.manager.lease
                    if lease is not None and asyncio.get_running_loop().time() <= until:
                        self.site.send(self.name, lease.token)
            except (LeaseLostError, PlatformUnavailableError):
                pass


def find_violations(arrived):
    """Return the violations that engines and the platform would see in the arrived calls."""
    violations = []
    holders = {}
    highest = 0
    # The successive holders: name and time of the last call.
    terms = []
    for at, host, token in sorted(arrived):
        if holders.setdefault(token, host) != host:
            violations.append(f"{at:.2f}: {host} uses the token of {holders[token]}")
        if token < highest:
            violations.append(f"{at:.2f}: {host} uses token {token} after token {highest}")
        highest = max(highest, token)
        if terms and terms[-1][0] == host:
            terms[-1] = (host, at)
            continue
        if len(terms) > 1 and terms[-2][0] == host and at - terms[-2][1] < LEASE_SECONDS:
            violations.append(f"{at:.2f}: {host} and {terms[-1][0]} act at the same time")
        terms.append((host, at))
    return violations


@pytest.mark.parametrize("seed", range(60))
def test_one_host_at_a_time_acts_and_tokens_increase_over_restores_of_the_store(seed):
    site = Site(seed)
    run_in_virtual_time(site.run())
    assert find_violations(site.arrived) == []
    # Hosts act again after each outage and each restore.
    assert len(site.arrived) >= 10
