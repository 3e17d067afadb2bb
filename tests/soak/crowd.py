"""Sends most new connections to one of some hosts: python -m tests.soak.crowd [--rate 300].

Each request costs a host's processor some milliseconds, so that one host serves few of them. The
rest goes to all hosts alike. A caller whose connection is closed without an answer tries another
host once, as the platform's callers do.
"""

import asyncio
import os
import random
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path

import fire

from swifttrestle_standins.hosted.upstreams import StandInUpstream
from tests.common.http import ask
from tests.soak.gateway import COST_VARIABLE
from tests.soak.processes import KEY, ProcessSite

SERVICES = 12
REQUEST_SECONDS = 2.0


class Crowd:
    """Calls of plain requests; `share` of the new connections go to the first host."""

    def __init__(self, site, seed):
        self._hosts = [host.callers for host in site.hosts.values()]
        self._rng = random.Random(seed)
        self._tasks = set()
        self._number = 0
        # Outcomes of requests by the phase in which they were sent.
        self.outcomes = {}

    async def run(self, phase, seconds, rate, share):
        """Send requests for some seconds at a rate, with `share` of them to the first host."""
        counts = self.outcomes.setdefault(phase, Counter())
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            crowded = self._rng.random() < share
            host = self._hosts[0] if crowded else self._rng.choice(self._hosts)
            task = asyncio.ensure_future(self._call(host, counts))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(rate))

    async def _call(self, host, counts):
        status = await self._try(host)
        if status == 0:
            counts["closed unread"] += 1
            others = [item for item in self._hosts if item != host]
            status = await self._try(self._rng.choice(others))
        counts["served" if status == 200 else f"failed with {status}"] += 1

    async def _try(self, host):
        self._number += 1
        try:
            async with asyncio.timeout(REQUEST_SECONDS):
                answer = await ask(host, "/card/a", f"r{self._number}", X_Key=KEY)
        except (TimeoutError, OSError):
            return -1
        return answer.status

    async def finish(self):
        """Wait for the last requests."""
        await asyncio.gather(*self._tasks)


async def measure(hosts, rate, cost_ms, seconds, seed):
    """Return the outcomes before, while and after most connections go to one host."""
    os.environ[COST_VARIABLE] = str(cost_ms)
    site = ProcessSite(Path(tempfile.mkdtemp(prefix="crowd-")))
    try:
        await site.build(hosts)
        for number in range(SERVICES):
            await site.add_upstream(StandInUpstream(f"c{number}", "alerts", "hall-a"))
        await asyncio.sleep(3.0)
        crowd = Crowd(site, seed)
        await crowd.run("before", 3.0, rate, 0.0)
        await crowd.run("first seconds", 3.0, 1.5 * rate, 0.95)
        await crowd.run("while crowded", seconds, 1.5 * rate, 0.95)
        await crowd.run("next seconds", 2.0, rate, 0.0)
        await crowd.run("after", 3.0, rate, 0.0)
        await crowd.finish()
        return crowd.outcomes
    finally:
        await site.close()


def main(hosts=4, rate=120.0, cost_ms=10.0, seconds=6.0, seed=1):
    """Print the outcomes; `rate` is requests a second of all callers before."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    outcomes = asyncio.run(measure(hosts, rate, cost_ms, seconds, seed))
    for phase, counts in outcomes.items():
        total = sum(count for name, count in counts.items() if name != "closed unread")
        share = counts["served"] / total
        print(f"{phase:15} {total:6} requests, {share:.3f} served, {dict(counts)}")


if __name__ == "__main__":
    fire.Fire(main)
