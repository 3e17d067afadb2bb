"""How soon all hosts know of a request that crashes upstreams, and how many datagrams that takes.

Uses real relays and guards with a simulated network in virtual time.
"""

import asyncio
import random

import pytest

from swifttrestle.internal.coordination.sharing import quarantine_relay
from swifttrestle.internal.coordination.sharing.quarantine_relay import (
    PUSH_SECONDS,
    SUSPENDED_SECONDS,
    QuarantineRelay,
)
from swifttrestle.internal.forward.crash_guard import CrashGuard
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.policy.quarantine_periods import FIRST_QUARANTINE_SECONDS
from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle.internal.state.crash_records import Crash
from swifttrestle.internal.state.fingerprints import Fingerprint
from swifttrestle_standins.virtual_time import run_in_virtual_time
from tests.common.network import DATAGRAM_SECONDS, Network, Socket, make_members

# Seconds within which all hosts must know of a crash.
BOUND_SECONDS = 3.0
# Maximum datagrams of one crash with 48 open requests in a large fleet: two owners of each record.
DATAGRAMS_PER_CRASH = 2 * 48 * (1 + quarantine_relay.CRASH_REPEATS)


class Host:
    """A guard and its relay."""

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

    def observe_crash(self, fingerprints, start):
        """Report a crash of an upstream as this host would observe it."""
        self.guard.report_crash(fingerprints, Crash(start, now()))

    def refuses(self, fingerprint):
        return self.guard.quarantine.find_wait(fingerprint, now()) > 0


def now():
    return asyncio.get_running_loop().time()


def make_fingerprint(number=7):
    return Fingerprint(bytes(8), random.Random(number).randbytes(8))


def make_hosts(count, seed, lost_share=0.0):
    network = Network(seed)
    network.lost_share = lost_share
    members = make_members(count)
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
        assert now() - began < 60, "the condition did not hold within 60 s"
    return now() - began


@pytest.mark.parametrize("lost_share", [0.0, 0.3], ids=["all arrive", "three in ten are lost"])
@pytest.mark.parametrize("count", [2, 8, 65, 195])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_hosts_learn_of_crashes_that_different_hosts_saw(count, lost_share, seed):
    async def work():
        network, hosts = make_hosts(count, seed, lost_share)
        observers = random.Random(seed).sample(hosts, 2)

        async def scenario():
            await asyncio.sleep(5 * PUSH_SECONDS)
            for number, host in enumerate(observers):
                host.observe_crash([make_fingerprint()], f"i-{number}")
            return await wait_for(lambda: all(host.refuses(make_fingerprint()) for host in hosts))

        return await with_relays(hosts, scenario())

    seconds = run_in_virtual_time(work())
    # With losses the repeated and periodic messages are needed.
    assert seconds <= (0.1 if not lost_share else BOUND_SECONDS)


@pytest.mark.parametrize("count", [8, 65, 195])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hosts_that_were_cut_off_learn_of_crashes_soon_after_they_reconnect(count, seed):
    async def work():
        network, hosts = make_hosts(count, seed)

        async def scenario():
            network.cut = {host.member.ip for host in hosts if host.member.zone == "z0"}
            outside = [host for host in hosts if host.member.zone != "z0"]
            for number, host in enumerate(outside[:2]):
                host.observe_crash([make_fingerprint()], f"i-{number}")
            await wait_for(lambda: all(host.refuses(make_fingerprint()) for host in outside))
            await asyncio.sleep(2.0)
            network.cut = set()
            return await wait_for(lambda: all(host.refuses(make_fingerprint()) for host in hosts))

        return await with_relays(hosts, scenario())

    assert run_in_virtual_time(work()) <= BOUND_SECONDS


@pytest.mark.parametrize("count", [8, 195])
def test_a_host_that_has_started_requests_records(count):
    async def work():
        network, hosts = make_hosts(count, 1)
        late = hosts[-1]

        async def scenario():
            late_receiver = network.receivers[late.member.ip]
            network.receivers[late.member.ip] = lambda *_: None
            hosts[0].observe_crash([make_fingerprint()], "i-0")
            hosts[0].observe_crash([make_fingerprint()], "i-1")
            await wait_for(lambda: all(host.refuses(make_fingerprint()) for host in hosts[:-1]))
            network.receivers[late.member.ip] = late_receiver
            task = asyncio.ensure_future(late.relay.run())
            seconds = await wait_for(lambda: late.refuses(make_fingerprint()))
            task.cancel()
            return seconds

        return await with_relays(hosts[:-1], scenario())

    assert run_in_virtual_time(work()) <= PUSH_SECONDS + 3 * DATAGRAM_SECONDS


@pytest.mark.parametrize("count", [8, 195])
def test_an_answer_at_one_host_clears_the_request_at_all_hosts(count):
    async def work():
        network, hosts = make_hosts(count, 1)

        async def scenario():
            for number in range(2):
                hosts[0].observe_crash([make_fingerprint()], f"i-{number}")
            await wait_for(lambda: all(host.refuses(make_fingerprint()) for host in hosts))
            hosts[-1].guard.clear_crashes(make_fingerprint())
            return await wait_for(
                lambda: not any(host.refuses(make_fingerprint()) for host in hosts)
            )

        seconds = await with_relays(hosts, scenario())
        return seconds, max(len(host.guard.quarantine) for host in hosts)

    seconds, remaining = run_in_virtual_time(work())
    assert seconds <= 0.1
    assert remaining == 0


@pytest.mark.parametrize("count", [8, 195])
def test_a_host_that_missed_a_clearance_receives_it_after_its_own_next_message(count):
    # Its periodic message shows others that it still refuses the request.
    async def work():
        network, hosts = make_hosts(count, 1)

        async def scenario():
            for number in range(2):
                hosts[0].observe_crash([make_fingerprint()], f"i-{number}")
            await wait_for(lambda: all(host.refuses(make_fingerprint()) for host in hosts))
            await asyncio.sleep((quarantine_relay.CRASH_REPEATS + 1) * PUSH_SECONDS)
            network.lost_share = 0.5
            hosts[-1].guard.clear_crashes(make_fingerprint())
            await asyncio.sleep(0.1)
            network.lost_share = 0.0
            missed = sum(host.refuses(make_fingerprint()) for host in hosts)
            seconds = await wait_for(
                lambda: not any(host.refuses(make_fingerprint()) for host in hosts)
            )
            return missed, seconds

        return await with_relays(hosts, scenario())

    missed, seconds = run_in_virtual_time(work())
    assert missed > 0
    assert seconds <= 2 * PUSH_SECONDS


@pytest.mark.parametrize("count", [8, 195, 790])
def test_a_crash_of_a_full_engine_is_sent_in_few_datagrams(count):
    # Guards against each host notifying all others of its own open request.
    async def work():
        network, hosts = make_hosts(count, 1)
        for number in range(48):
            hosts[number % count].observe_crash([make_fingerprint(number)], "i-0")
        await asyncio.sleep(1.0)
        return network.sent, is_large_fleet(count)

    sent, large = run_in_virtual_time(work())
    assert sent <= (DATAGRAMS_PER_CRASH if large else 48 * (count - 1))


@pytest.mark.parametrize("count", [8, 195])
def test_hosts_send_nothing_while_nothing_is_quarantined(count):
    async def work():
        network, hosts = make_hosts(count, 1)

        async def scenario():
            await asyncio.sleep(10 * PUSH_SECONDS)
            sync_messages = network.sent
            hosts[0].observe_crash([make_fingerprint()], "i-0")
            await asyncio.sleep((quarantine_relay.CRASH_REPEATS + 1) * PUSH_SECONDS)
            sent_before = network.sent
            await asyncio.sleep(20.0)
            return sync_messages, network.sent - sent_before

        return await with_relays(hosts, scenario())

    sync_messages, later = run_in_virtual_time(work())
    # Some sync requests after the start, and no further messages for a single crash.
    assert sync_messages <= count * quarantine_relay.SYNC_REQUESTS * quarantine_relay.PUSHED_HOSTS
    assert later == 0


def test_periodic_messages_cost_a_host_under_three_kilobytes_a_second():
    async def work():
        network, hosts = make_hosts(20, 1)

        async def scenario():
            for number in range(200):
                for start in ("i-7f3a91c2aa@1764720000000", "i-02d9e6b4bb@1764720000000"):
                    hosts[0].observe_crash([make_fingerprint(number)], start)
            await asyncio.sleep(FIRST_QUARANTINE_SECONDS / 2)
            before = network.bytes
            await asyncio.sleep(4.0)
            return (network.bytes - before) / 4.0 / len(hosts)

        return await with_relays(hosts, scenario())

    assert 0 < run_in_virtual_time(work()) < 3000


def test_a_host_that_was_suspended_requests_records():
    async def work():
        network, hosts = make_hosts(8, 1)
        suspended = hosts[-1]

        async def scenario():
            await asyncio.sleep(5 * PUSH_SECONDS)
            assert suspended.relay._sync_requests_left == 0
            # All of its timers are late by the time of the suspension.
            loop = asyncio.get_running_loop()
            loop._time_selector.now += SUSPENDED_SECONDS + 0.1
            await asyncio.sleep(0)
            await wait_for(lambda: suspended.relay._sync_requests_left > 0)

        await with_relays(hosts, scenario())

    run_in_virtual_time(work())
