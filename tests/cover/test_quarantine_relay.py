"""How soon all hosts know of a request that crashes upstreams, and what the telling costs.

The hosts are the real relays and guards; the network between them delays, loses and cuts datagrams
in virtual time.
"""

import asyncio
import random

import pytest

from swifttrestle.internal.coordination import quarantine_relay
from swifttrestle.internal.coordination.quarantine_relay import (
    PUSH_SECONDS,
    SLEPT_SECONDS,
    QuarantineRelay,
)
from swifttrestle.internal.forward.crash_guard import CrashGuard
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quarantine import FIRST_QUARANTINE_SECONDS, Quarantine
from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle.internal.state.crash_records import Crash
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint
from swifttrestle_standins.virtual_time import run_in_virtual_time

# Seconds that a datagram takes at most, and within which all hosts must know.
DATAGRAM_SECONDS = 0.02
BOUND_SECONDS = 3.0
# Datagrams of one crash with 48 open requests, at most: a small fleet tells all, a large one two
# keepers for each request.
DATAGRAMS_PER_CRASH = 2 * 48 * (1 + quarantine_relay.TOLD_AGAIN)


class Network:
    """Carries datagrams between hosts by their IPs."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.receivers = {}
        self.lost_share = 0.0
        self.cut = set()
        self.sent = 0
        self.bytes = 0

    def send(self, source, target, data):
        self.sent += 1
        self.bytes += len(data)
        if self.rng.random() < self.lost_share or (source in self.cut) != (target in self.cut):
            return
        delay = self.rng.uniform(0.001, DATAGRAM_SECONDS)
        asyncio.get_running_loop().call_later(delay, self.receivers[target], data, source)


class Socket:
    """One host's end of the network."""

    def __init__(self, network, ip):
        self.network = network
        self.ip = ip

    def receive(self, _, receiver):
        self.network.receivers[self.ip] = receiver

    def send(self, ip, _, data):
        self.network.send(self.ip, ip, data)


class Host:
    """A guard and its relay; it sees what `see_crash` tells it."""

    def __init__(self, network, member, members, seed):
        rng = random.Random(f"{seed} {member.host}")
        self.member = member
        self.guard = CrashGuard(None, Quarantine(rng.random()), Metrics())
        self.changes = 0
        self.relay = QuarantineRelay(
            Socket(network, member.ip), member.host, self.guard, lambda: members, rng, self.change
        )

    def change(self):
        self.changes += 1

    def see_crash(self, names, start):
        """Take over that an upstream ended, as a look at its address tells it."""
        self.guard.report_crash(names, Crash(start, now()))

    def refuses(self, name):
        return self.guard.quarantine.find_wait(name, now()) > 0


def now():
    return asyncio.get_running_loop().time()


def make_name(number=7):
    return RequestFingerprint(bytes(8), random.Random(number).randbytes(8))


def make_hosts(count, seed, lost_share=0.0):
    network = Network(seed)
    network.lost_share = lost_share
    members = tuple(
        Member(f"h{n}", f"10.0.{n // 250}.{n % 250}", f"z{n % 3}", 1000.0) for n in range(count)
    )
    return network, [Host(network, member, members, seed) for member in members]


async def with_relays(hosts, work):
    """Run the hosts' relays beside some work."""
    tasks = [asyncio.ensure_future(host.relay.run()) for host in hosts]
    try:
        return await work
    finally:
        for task in tasks:
            task.cancel()


async def wait_for(check):
    """Return the seconds until a condition holds."""
    began = now()
    while not check():
        await asyncio.sleep(0.01)
        assert now() - began < 60, "it does not come"
    return now() - began


@pytest.mark.parametrize("lost_share", [0.0, 0.3], ids=["all arrive", "three in ten are lost"])
@pytest.mark.parametrize("count", [2, 8, 65, 195])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_hosts_know_of_crashes_that_different_hosts_saw(count, lost_share, seed):
    async def work():
        network, hosts = make_hosts(count, seed, lost_share)
        seers = random.Random(seed).sample(hosts, 2)

        async def story():
            await asyncio.sleep(5 * PUSH_SECONDS)
            for number, host in enumerate(seers):
                host.see_crash([make_name()], f"i-{number}")
            return await wait_for(lambda: all(host.refuses(make_name()) for host in hosts))

        return await with_relays(hosts, story())

    seconds = run_in_virtual_time(work())
    # Without losses by two words and one that tells all, with them by what is told again.
    assert seconds <= (0.1 if not lost_share else BOUND_SECONDS)


@pytest.mark.parametrize("count", [8, 65, 195])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hosts_that_were_cut_off_know_soon_after_they_are_back(count, seed):
    async def work():
        network, hosts = make_hosts(count, seed)

        async def story():
            network.cut = {host.member.ip for host in hosts if host.member.zone == "z0"}
            outside = [host for host in hosts if host.member.zone != "z0"]
            for number, host in enumerate(outside[:2]):
                host.see_crash([make_name()], f"i-{number}")
            await wait_for(lambda: all(host.refuses(make_name()) for host in outside))
            await asyncio.sleep(2.0)
            network.cut = set()
            return await wait_for(lambda: all(host.refuses(make_name()) for host in hosts))

        return await with_relays(hosts, story())

    assert run_in_virtual_time(work()) <= BOUND_SECONDS


@pytest.mark.parametrize("count", [8, 195])
def test_a_host_that_has_started_asks(count):
    async def work():
        network, hosts = make_hosts(count, 1)
        late = hosts[-1]

        async def story():
            late_receiver = network.receivers[late.member.ip]
            network.receivers[late.member.ip] = lambda *_: None
            hosts[0].see_crash([make_name()], "i-0")
            hosts[0].see_crash([make_name()], "i-1")
            await wait_for(lambda: all(host.refuses(make_name()) for host in hosts[:-1]))
            network.receivers[late.member.ip] = late_receiver
            task = asyncio.ensure_future(late.relay.run())
            seconds = await wait_for(lambda: late.refuses(make_name()))
            task.cancel()
            return seconds

        return await with_relays(hosts[:-1], story())

    assert run_in_virtual_time(work()) <= PUSH_SECONDS + 3 * DATAGRAM_SECONDS


@pytest.mark.parametrize("count", [8, 195])
def test_an_answer_anywhere_lets_a_request_go_everywhere(count):
    async def work():
        network, hosts = make_hosts(count, 1)

        async def story():
            for number in range(2):
                hosts[0].see_crash([make_name()], f"i-{number}")
            await wait_for(lambda: all(host.refuses(make_name()) for host in hosts))
            hosts[-1].guard.clear_crashes(make_name())
            return await wait_for(lambda: not any(host.refuses(make_name()) for host in hosts))

        seconds = await with_relays(hosts, story())
        return seconds, max(len(host.guard.quarantine) for host in hosts)

    seconds, left = run_in_virtual_time(work())
    assert seconds <= 0.1
    assert left == 0


@pytest.mark.parametrize("count", [8, 195])
def test_a_host_that_missed_an_answer_hears_of_it_with_its_own_next_word(count):
    # Its word of the quarantine tells others that it goes on refusing.
    async def work():
        network, hosts = make_hosts(count, 1)

        async def story():
            for number in range(2):
                hosts[0].see_crash([make_name()], f"i-{number}")
            await wait_for(lambda: all(host.refuses(make_name()) for host in hosts))
            await asyncio.sleep((quarantine_relay.TOLD_AGAIN + 1) * PUSH_SECONDS)
            network.lost_share = 0.5
            hosts[-1].guard.clear_crashes(make_name())
            await asyncio.sleep(0.1)
            network.lost_share = 0.0
            missed = sum(host.refuses(make_name()) for host in hosts)
            seconds = await wait_for(lambda: not any(host.refuses(make_name()) for host in hosts))
            return missed, seconds

        return await with_relays(hosts, story())

    missed, seconds = run_in_virtual_time(work())
    assert missed > 0
    assert seconds <= 2 * PUSH_SECONDS


@pytest.mark.parametrize("count", [8, 195, 790])
def test_a_crash_of_a_full_engine_is_told_with_few_datagrams(count):
    # 48 requests were open, each at another host as far as there are so many. If each host told all
    # others, one crash would be 38,000 datagrams at 790 hosts.
    async def work():
        network, hosts = make_hosts(count, 1)
        for number in range(48):
            hosts[number % count].see_crash([make_name(number)], "i-0")
        await asyncio.sleep(1.0)
        return network.sent, is_large_fleet(count)

    sent, large = run_in_virtual_time(work())
    assert sent <= (DATAGRAMS_PER_CRASH if large else 48 * (count - 1))


@pytest.mark.parametrize("count", [8, 195])
def test_hosts_say_nothing_while_nothing_is_quarantined(count):
    async def work():
        network, hosts = make_hosts(count, 1)

        async def story():
            await asyncio.sleep(10 * PUSH_SECONDS)
            asked = network.sent
            hosts[0].see_crash([make_name()], "i-0")
            await asyncio.sleep((quarantine_relay.TOLD_AGAIN + 1) * PUSH_SECONDS)
            told = network.sent
            await asyncio.sleep(20.0)
            return asked, network.sent - told

        return await with_relays(hosts, story())

    asked, later = run_in_virtual_time(work())
    # A few questions after the start, and no word of one crash again.
    assert asked <= count * quarantine_relay.ASKS * quarantine_relay.PUSHED_HOSTS
    assert later == 0


def test_what_is_told_again_costs_a_host_under_three_kilobytes_a_second():
    async def work():
        network, hosts = make_hosts(20, 1)

        async def story():
            for number in range(200):
                for start in ("i-7f3a91c2aa@1764720000000", "i-02d9e6b4bb@1764720000000"):
                    hosts[0].see_crash([make_name(number)], start)
            await asyncio.sleep(FIRST_QUARANTINE_SECONDS / 2)
            before = network.bytes
            await asyncio.sleep(4.0)
            return (network.bytes - before) / 4.0 / len(hosts)

        return await with_relays(hosts, story())

    assert 0 < run_in_virtual_time(work()) < 3000


def test_a_host_that_slept_asks():
    async def work():
        network, hosts = make_hosts(8, 1)
        sleeper = hosts[-1]

        async def story():
            await asyncio.sleep(5 * PUSH_SECONDS)
            assert sleeper.relay._asks == 0
            # All of its timers come late by as long as it slept.
            loop = asyncio.get_running_loop()
            loop._jumping.now += SLEPT_SECONDS + 0.1
            await asyncio.sleep(0)
            await wait_for(lambda: sleeper.relay._asks > 0)

        await with_relays(hosts, story())

    run_in_virtual_time(work())
