"""The hosts that count for the others, while one of them handles its peers' datagrams late.

Guards against two hosts that both grant what only one may.
"""

import asyncio
import contextlib

import pytest

from swifttrestle.internal.state.fingerprints import Fingerprint
from swifttrestle.internal.state.permit_buckets import TRIAL_SECONDS
from swifttrestle.internal.state.upstream_conditions import RateLimit
from swifttrestle_standins.hosted.site import wait_until
from tests.hosted.sites import build_site, on_built

FINGERPRINT = Fingerprint(b"head", b"body")


async def build_fleet():
    site = await build_site(gateways=3)
    for running in site.gateways.values():
        gateway = running.gateway
        await wait_until(lambda g=gateway: len(g.live_hosts()) == 3, "all hosts known")
    return site


def limiter_of(site, host):
    return site.gateways[host].gateway._state.permits


def owners_of(site, key, zone):
    return [item.host for item in limiter_of(site, "g0")._find_owners(key, zone)]


def other_than(site, owners):
    return next(name for name in site.gateways if name not in owners)


def apply_limit(site, rate):
    now = asyncio.get_running_loop().time()
    for name in site.gateways:
        conditions = limiter_of(site, name)._conditions
        conditions.apply_rate_limit("s0", RateLimit(rate, now), "test")


@contextlib.contextmanager
def late(limiter):
    """Have a host handle its peers' datagrams afterwards."""
    socket, waiting = limiter._socket, []
    receive = socket.datagram_received
    socket.datagram_received = lambda *datagram: waiting.append(datagram)
    try:
        yield
    finally:
        socket.datagram_received = receive
        for datagram in waiting:
            receive(*datagram)


async def take_until_denied(limiter, start):
    """Return the number of permits that a host gets at once."""
    for count in range(100):
        seconds, _ = await limiter._ask_owners(start, "hall-a", True)
        if seconds > 0:
            return count
    return 100


@on_built(build_fleet)
async def test_the_second_owner_does_not_grant_again_what_the_first_one_has(site):
    apply_limit(site, 1.0)
    owners = owners_of(site, "s0", "hall-a")
    first, second = (limiter_of(site, name) for name in owners)
    asking = limiter_of(site, other_than(site, owners))
    # Both owners have counted for long enough to grant a burst.
    for limiter in (first, second):
        limiter._grant("s0", True)
    await asyncio.sleep(3.0)
    assert await take_until_denied(first, "s0") >= 2
    with late(first):
        await asyncio.sleep(0.05)
        assert await take_until_denied(asking, "s0") <= 1


@on_built(build_fleet)
async def test_a_permit_that_comes_late_serves_the_next_request(site):
    apply_limit(site, 10.0)
    owners = owners_of(site, "s0", "hall-a")
    first = limiter_of(site, owners[0])
    asking = limiter_of(site, other_than(site, owners))
    first._grant("s0", True)
    await asyncio.sleep(0.3)
    with late(first):
        await asking._ask_owners("s0", "hall-a", True)
    # The query was sent twice, and has one result.
    await wait_until(lambda: asking._late_permits.get("s0"), "late permit")
    await asyncio.sleep(0.05)
    assert len(asking._late_permits["s0"]) == 1
    instance = site.gateways["g0"].gateway.list_instances()["s0"]
    end = await asking._take_permit(instance, True)
    assert end <= asyncio.get_running_loop().time() + 1.5
    assert not asking._late_permits.get("s0")


@pytest.mark.parametrize("is_late", [False, True], ids=["in time", "late"])
def test_no_second_host_allows_a_trial_at_the_same_time(is_late):
    @on_built(build_fleet)
    async def run(site):
        owners = owners_of(site, str(FINGERPRINT), "")
        first = limiter_of(site, owners[0])
        others = [limiter_of(site, name) for name in site.gateways if name != owners[0]]
        with late(first) if is_late else contextlib.nullcontext():
            waits = [await item.request_trial(FINGERPRINT) for item in (first, *others)]
        assert waits[0] == 0
        assert all(0 < seconds <= TRIAL_SECONDS for seconds in waits[1:])

    run()


@on_built(build_fleet)
async def test_the_second_owner_knows_a_trial_when_the_first_one_is_gone(site):
    owners = owners_of(site, str(FINGERPRINT), "")
    first, second = (limiter_of(site, name) for name in owners)
    assert await first.request_trial(FINGERPRINT) == 0
    await asyncio.sleep(0.05)
    assert second._allow_trial(str(FINGERPRINT)) > 0
