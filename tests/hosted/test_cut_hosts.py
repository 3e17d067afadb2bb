"""Hosts that are cut from all upstreams while callers, peers and the store reach them."""

import asyncio
import itertools
import random

import pytest

from swifttrestle_standins.hosted.cuts import Cut
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import make_content, make_event
from tests.common.http import RawCaller, write_request
from tests.hosted.sites import LONG, SHORT, address_of, build_site, count_runs, on_built

# Seconds after the start of a cut from which first attempts must be served again.
DETECTION_SECONDS = 3.0
# The stated bounds: served at least two thirds as often as at the other hosts, unless at most
# 10 + 1 in 50 of all first attempts fail there.
SERVED_SHARE = 2 / 3
KINDS = {
    "verdict": {"X_Token_Usage": LONG},
    "chat": {"X_Token_Usage": SHORT},
    "goal": {},
    "card": {"method": "GET"},
}


def make_answer(kind, name):
    if kind in ("goal", "card"):
        return make_content(name)
    return b"".join(make_event(name, number) for number in range(1, 5))


class Load:
    """Callers of each host that never go elsewhere; counts the first attempts by host."""

    def __init__(self, site, rng, phase):
        self._site = site
        self._rng = rng
        self._phase = phase
        self._numbers = itertools.count(1)
        self.served = {name: 0 for name in site.gateways}
        self.failed = {name: [] for name in site.gateways}
        self.names = []

    async def run(self, seconds, callers=8):
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        names = [name for name in self._site.gateways for _ in range(callers)]
        await asyncio.gather(*(self._call(name, until) for name in names))

    async def _call(self, host, until):
        loop = asyncio.get_running_loop()
        caller = None
        while loop.time() < until:
            # Kept connections: thousands of new ones a second would use up the ports.
            caller = caller or await RawCaller.connect(address_of(self._site, host))
            answer = await self._ask(caller, host)
            if not answer.whole or answer.headers.get("connection") == "close":
                caller.close()
                caller = None
            await asyncio.sleep(0.02 * self._rng.random())
        if caller:
            caller.close()

    async def _ask(self, caller, host):
        kind = self._rng.choice(list(KINDS))
        name = f"{kind}-{self._phase}-{next(self._numbers)}"
        changes = {"X_Deadline_Ms": "1500", **KINDS[kind]}
        caller.send(write_request(f"/{kind}/a", name, **changes))
        answer = await caller.read_answer()
        self.names.append((kind, name))
        if (answer.status, answer.whole) == (200, True):
            assert answer.body == make_answer(kind, name)
            self.served[host] += 1
        else:
            self.failed[host].append((kind, answer.status, answer.body))
        return answer


def check_served(site, load, cut):
    """Check the rates at which first attempts were served at the cut hosts and at the others."""
    counts = {
        host: (load.served[host], load.served[host] + len(load.failed[host]))
        for host in site.gateways
    }
    served, asked = (sum(counts[host][side] for host in cut) for side in (0, 1))
    others = [host for host in site.gateways if host not in cut]
    others_served, others_asked = (sum(counts[host][side] for host in others) for side in (0, 1))
    failed = [item for host in cut for item in load.failed[host]]
    assert asked
    assert others_served == others_asked, load.failed
    assert (
        served / asked >= SERVED_SHARE
        or len(failed) <= 10 + (asked + others_asked) / 50
    ), (served, asked, failed[:5])  # fmt: skip


def check_runs(site, load):
    for kind, name in load.names:
        limit = 2 if kind in ("verdict", "card") else 1
        assert count_runs(site, name) <= limit, name


async def build_fleet():
    site = await build_site(gateways=4, engines=("prefill", "decode", "decode"), plain=3)
    for running in site.gateways.values():
        await wait_until(lambda g=running.gateway: len(g.live_hosts()) == 4, "all hosts known")
    return site


@pytest.mark.parametrize("cut", list(Cut), ids=lambda cut: cut.name.lower())
@pytest.mark.parametrize("count", [1, 3])
def test_a_host_that_is_cut_from_all_upstreams_serves_as_the_others_do(count, cut):
    @on_built(build_fleet)
    async def run(site):
        rng = random.Random(count)
        hosts = [f"g{number}" for number in range(count)]
        if cut is not Cut.REFUSE:
            # Open connections; those that live on would serve this load alone.
            await Load(site, rng, "before").run(0.5)
        for host in hosts:
            site.gateways[host].paths.start_cut(cut)
        first = Load(site, rng, "detection")
        await first.run(DETECTION_SECONDS)
        load = Load(site, rng, "cut")
        await load.run(2.0)
        check_served(site, load, hosts)
        for host in hosts:
            site.gateways[host].paths.heal()
        healed = Load(site, rng, "healed")
        await healed.run(1.0)
        check_served(site, healed, hosts)
        for item in (first, load, healed):
            check_runs(site, item)

    run()


def test_a_request_on_a_kept_connection_is_served_while_its_host_is_cut():
    @on_built(build_fleet)
    async def run(site):
        caller = await RawCaller.connect(address_of(site))
        site.gateways["g0"].paths.start_cut(Cut.RESET)
        for number in range(20):
            caller.send(write_request("/card/a", f"k{number}", method="GET"))
            answer = await caller.read_answer()
            assert (answer.status, answer.body) == (200, make_content(f"k{number}"))
        caller.close()

    run()


def find_holder(site):
    """Return the host that holds the duty lease, or None."""
    holders = [
        name
        for name, running in site.gateways.items()
        if running.gateway._gossip.candidates.holds_duty_lease
    ]
    return holders[0] if len(holders) == 1 else None


@on_built(build_fleet)
async def test_a_holder_of_the_duties_that_is_cut_from_all_engines_leaves_them_to_another(site):
    first = await wait_until(lambda: find_holder(site), "a holder")
    host = site.gateways[first]
    host.paths.start_cut(Cut.REFUSE)
    load = Load(site, random.Random(1), "cut")
    calls = asyncio.ensure_future(load.run(2.0))
    await wait_until(lambda: find_holder(site) not in (None, first), "another holder")
    await calls
    host.paths.heal()
    await wait_until(host.gateway._relaying.own.reaches_engines, "healed")
