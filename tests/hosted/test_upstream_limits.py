"""All hosts together keep to the rate limit that an upstream states in its answers.

Guards against ignoring the header, and against each host using the whole limit on its own.
"""

import asyncio
import contextlib
import itertools
import random
from dataclasses import dataclass

import pytest

from bench.limits import allow, count_worst
from swifttrestle.errors import UpstreamHeldError
from swifttrestle.internal.policy import scheduling
from swifttrestle_standins.hosted.site import wait_until
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, address_of, on_site

ENGINES = ("prefill", "prefill", "prefill", "decode", "decode", "decode", "decode", "decode")
STREAM = {"X_Token_Usage": SHORT, "X_Model": "m"}
READING = {"X_Token_Usage": LONG, "X_Model": "m"}
# Seconds from the first answer with a limit until all hosts must keep to it.
LEARN_SECONDS = 1.0
LOAD_SECONDS = 5.2
REQUESTS_A_SECOND = 50
NUMBERS = itertools.count()


@dataclass(frozen=True)
class Load:
    """Requests that are sent to each host in turn."""

    path: str
    headers: dict


PLAIN, ONCE = Load("/card/a", {}), Load("/goal/a", {})
STREAMS, READINGS = Load("/verdict/a", STREAM), Load("/verdict/a", READING)


@contextlib.asynccontextmanager
async def load_of(site, load):
    """Send requests continuously; yield the growing list of their answers."""
    answers, waiting = [], set()

    async def send(number):
        hosts = list(site.gateways)
        host = address_of(site, hosts[number % len(hosts)])
        answers.append(await ask(host, load.path, f"l{number}", **load.headers))

    async def send_all():
        while True:
            task = asyncio.ensure_future(send(next(NUMBERS)))
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(1 / REQUESTS_A_SECOND)

    sender = asyncio.ensure_future(send_all())
    try:
        yield answers
    finally:
        sender.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)


@contextlib.asynccontextmanager
async def late_host(site, host, seconds, seed):
    """Have a host handle its peers' datagrams late: about `seconds` of each twice as long."""
    socket = site.gateways[host].gateway._state.permits._socket
    receive, waiting, rng = socket.datagram_received, [], random.Random(seed)

    async def pause_and_go_on():
        while True:
            await asyncio.sleep(seconds * (0.5 + rng.random()))
            socket.datagram_received = lambda *datagram: waiting.append(datagram)
            await asyncio.sleep(seconds * (0.5 + rng.random()))
            socket.datagram_received = receive
            for datagram in waiting:
                receive(*datagram)
            waiting.clear()

    task = asyncio.ensure_future(pause_and_go_on())
    try:
        yield
    finally:
        task.cancel()
        socket.datagram_received = receive


def list_served(site, load):
    """Return the upstreams that received such requests, the busiest first."""
    role = {"verdict": "prefill" if load is READINGS else "decode"}.get(load.path.split("/")[1])
    found = [
        item
        for item in site.upstreams.values()
        if item.arrived_at and getattr(item, "role", None) == role
    ]
    return sorted(found, key=lambda item: len(item.arrived_at), reverse=True)


async def apply_limit(site, load, rate, everywhere=False):
    """Have the busiest upstream state a limit under load, or with `everywhere` all of its service.

    Return them, and the time from which they did.
    """
    await wait_until(lambda: list_served(site, load), "served")
    await asyncio.sleep(0.5)
    busiest = list_served(site, load)[0]
    upstreams = [item for item in site.upstreams.values() if item.service == busiest.service]
    if not everywhere:
        upstreams = [busiest]
    for upstream in upstreams:
        upstream.extra_headers = [(b"Server-Limit", f"{rate}".encode())]
    began = asyncio.get_running_loop().time()
    await asyncio.sleep(LEARN_SECONDS + LOAD_SECONDS)
    return upstreams, began


def assert_limit_kept(upstreams, began, rate):
    learned_at = began + LEARN_SECONDS
    worst = [count_worst([at for at in item.arrived_at if at >= learned_at]) for item in upstreams]
    assert max(worst) <= allow(rate)


@pytest.mark.parametrize(
    ("load", "rate"),
    [(PLAIN, 4.1), (ONCE, 4.1), (STREAMS, 2.9), (READINGS, 2.9), (PLAIN, 0.5), (PLAIN, 0)],
    ids=["repeatable", "once", "streams", "readings", "half a request", "none at all"],
)
@on_site(gateways=3, engines=ENGINES, plain=6)
async def test_all_hosts_together_keep_to_an_upstreams_limit(site, load, rate):
    async with load_of(site, load):
        upstreams, began = await apply_limit(site, load, rate)
    assert_limit_kept(upstreams, began, rate)


@pytest.mark.parametrize(
    ("load", "rate"),
    [(PLAIN, 4.1), (STREAMS, 2.0), (READINGS, 2.0)],
    ids=["repeatable", "streams", "readings"],
)
@on_site(gateways=3, engines=ENGINES, plain=4)
async def test_a_service_of_which_all_name_a_limit_is_kept_to_all_of_them(site, load, rate):
    async with load_of(site, load):
        upstreams, began = await apply_limit(site, load, rate, everywhere=True)
    assert_limit_kept(upstreams, began, rate)


@pytest.mark.parametrize("load", [PLAIN, STREAMS], ids=["repeatable", "streams"])
@pytest.mark.parametrize(("seconds", "seed"), [(0.12, 1), (0.3, 2), (0.5, 3)])
@on_site(gateways=3, engines=ENGINES, plain=4)
async def test_a_host_that_counts_late_lets_no_more_requests_through(site, load, seconds, seed):
    async with load_of(site, load), late_host(site, "g0", seconds, seed):
        upstreams, began = await apply_limit(site, load, 2.0, everywhere=True)
    assert_limit_kept(upstreams, began, 2.0)


@pytest.mark.parametrize(
    ("load", "rate"), [(PLAIN, 2.0), (STREAMS, 2.0), (READINGS, 2.0)], ids=["plain", "s", "r"]
)
@on_site(gateways=8, engines=ENGINES, plain=4)
async def test_hosts_that_book_through_schedulers_keep_to_the_limit(site, load, rate, monkeypatch):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 4)
    async with load_of(site, load):
        upstreams, began = await apply_limit(site, load, rate)
    assert_limit_kept(upstreams, began, rate)


@pytest.mark.parametrize("load", [PLAIN, STREAMS, READINGS], ids=["plain", "streams", "readings"])
@on_site(gateways=1, engines=ENGINES, plain=2)
async def test_a_request_is_sent_to_another_upstream_if_its_own_stops_accepting_before(site, load):
    # The limit is learned between the choice of the upstream and the first byte.
    permits = site.gateways["g0"].gateway._state.permits
    use, held = permits.use, []

    async def raise_held_once(ctx, instance):
        if not held:
            held.append(instance.name)
            raise UpstreamHeldError(f"{instance.name} accepts no requests", 0.1)
        await use(ctx, instance)

    permits.use = raise_held_once
    answer = await ask(address_of(site), load.path, "r1", **load.headers)
    assert (answer.status, answer.whole) == (200, True)
    assert len(held) == 1
    assert not site.gateways["g0"].gateway.count_open_requests()
