"""A site of two regions, one with the zones hall-a and hall-b, the other one with hall-c.

Requests leave a region only where its upstreams don't serve them, and return to it. A region that
is cut off from the other one serves its callers by itself.
"""

import asyncio
import contextlib

import pytest

from swifttrestle.errors import PlatformUnavailableError
from swifttrestle.internal.checks import parse_address
from swifttrestle.internal.coordination.sharing import relayed_paths
from swifttrestle.internal.policy import scheduling
from swifttrestle.internal.policy.home_zones import rank_zones
from swifttrestle.internal.state_dump import describe_fleet
from swifttrestle_standins.hosted.cuts import Cut, make_cut_error
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import StandInEngine, StandInUpstream
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, address_of, count_runs, on_site

REGIONS = {"hall-a": "r", "hall-b": "r", "hall-c": "q"}
ROLES = ("prefill", "prefill", "decode", "decode")
WEIGHTS = dict.fromkeys(REGIONS, len(ROLES))
# Prefill time of a prompt. The shared part takes longer than two round trips to the other region
# only at such a rate.
PREFILL_SECONDS = 0.09
# Seconds until hosts count as gone and their engines' paths as cut.
DETECTION_SECONDS = 3.0


@pytest.fixture(autouse=True)
def make_fleet_large(monkeypatch):
    # Two hosts, as in the smaller region.
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 1)


async def build_regions(site):
    """Add two hosts, four engines and two plain upstreams in each zone."""
    site.regions = REGIONS
    for zone in REGIONS:
        for number, role in enumerate(ROLES):
            engine = StandInEngine(f"{zone}-e{number}", "model", zone, role)
            if role == "prefill":
                engine.seconds = PREFILL_SECONDS
            await site.add_upstream(engine)
        for number in range(2):
            await site.add_upstream(StandInUpstream(f"{zone}-s{number}", "alerts", zone))
    for number, zone in enumerate(REGIONS):
        for host in range(2):
            await site.add_gateway(f"{zone}-{host}", 10 * number + host, zone)
    await site.wait_ready()
    for running in site.gateways.values():
        gateway = running.gateway
        await wait_for_hosts(gateway, len(site.gateways))
        await wait_until(lambda g=gateway: len(g.list_instances()) == len(site.upstreams), "list")


async def wait_for_hosts(gateway, count):
    await wait_until(lambda: len(gateway.live_hosts()) == count, f"{count} hosts")


def find_part(*order):
    """Return the name of a part with these zones in its order of preference."""
    names = (f"p{number}" for number in range(1000))
    return next(name for name in names if rank_zones(f"m/{name}", WEIGHTS)[: len(order)] == order)


async def ask_for_part(site, zone, request, part):
    headers = {"X_Token_Usage": LONG, "X_Model": "m", "X_Prompt_Prefix": f"{part}:8000,own:1000"}
    return await ask(address_of(site, f"{zone}-0"), "/verdict/a", request, **headers)


async def check_part(site, zone, request, part):
    """Send a prompt from a zone; return the zones of the engines that received it."""
    answer = await ask_for_part(site, zone, request, part)
    assert (answer.status, answer.whole) == (200, True), answer
    assert count_runs(site, request) == 1
    return find_zones(site, request)


def find_zones(site, request):
    return {
        upstream.zone
        for upstream in site.upstreams.values()
        if any(name == request for name, _ in upstream.arrivals)
    }


async def ask_plain(site, zone, request):
    return await ask(address_of(site, f"{zone}-0"), "/card/a", request, method="GET")


class RegionCut:
    """Cuts a region off from the other hosts, their upstreams and the store."""

    def __init__(self, site, region):
        self._site = site
        self._inside = {zone for zone, name in REGIONS.items() if name == region}
        self._by_ip = {item.settings.ip: item for item in site.gateways.values()}
        self.active = False
        self._store_calls = []
        for running in site.gateways.values():
            self._wrap_socket(running)

    def _crosses(self, zone, other):
        return self.active and (zone in self._inside) != (other in self._inside)

    def crosses_hosts(self, ip, other):
        """Return whether the path between two hosts is cut."""
        return self._crosses(self._by_ip[ip].settings.zone, self._by_ip[other].settings.zone)

    def _wrap_socket(self, running):
        socket = running.gateway._gossip._socket
        send = socket.send

        def send_unless_cut(ip, kind, data):
            if ip not in self._by_ip or not self.crosses_hosts(running.settings.ip, ip):
                send(ip, kind, data)

        socket.send = send_unless_cut

    def start(self):
        self.active = True
        for running in self._site.gateways.values():
            zone = running.settings.zone
            addresses = {
                parse_address(self._site.addresses[name])
                for name, upstream in self._site.upstreams.items()
                if self._crosses(zone, upstream.zone)
            }
            running.paths.start_cut(Cut.HANG, addresses)
            if zone in self._inside:
                store = running.gateway._store
                self._store_calls.append((store, store._call))
                store._call = refuse_call

    def end(self):
        self.active = False
        for running in self._site.gateways.values():
            running.paths.heal()
        for store, call in self._store_calls:
            store._call = call


async def refuse_call(*_):
    """Replace a call to the store by a failure."""
    raise PlatformUnavailableError("unreachable")


def cut_relays(monkeypatch, cut):
    """Let no connection be relayed across a cut."""
    dial_through = relayed_paths.dial_through

    async def dial_unless_cut(ip, relay, instance):
        if cut.crosses_hosts(ip, relay[0]):
            raise make_cut_error(relay, Cut.HANG)
        return await dial_through(ip, relay, instance)

    monkeypatch.setattr(relayed_paths, "dial_through", dial_unless_cut)


@on_site(gateways=0, engines=(), plain=0)
async def test_a_region_that_is_cut_off_serves_by_itself_and_rejoins(site, monkeypatch):
    await build_regions(site)
    inside, outside = (site.gateways[f"{zone}-0"].gateway for zone in ("hall-c", "hall-a"))
    part_of_a, part_of_c = find_part("hall-a"), find_part("hall-c")
    assert await check_part(site, "hall-c", "before-c", part_of_a) == {"hall-a"}
    assert await check_part(site, "hall-a", "before-a", part_of_c) == {"hall-c"}

    cut = RegionCut(site, "q")
    cut_relays(monkeypatch, cut)
    cut.start()
    await wait_for_hosts(inside, 2)
    await wait_for_hosts(outside, 4)
    await asyncio.sleep(DETECTION_SECONDS)
    for number in range(5):
        assert await check_part(site, "hall-c", f"cut-c{number}", part_of_a) == {"hall-c"}
        zones = await check_part(site, "hall-a", f"cut-a{number}", part_of_c)
        assert zones <= {"hall-a", "hall-b"}
        assert (await ask_plain(site, "hall-c", f"plain-c{number}")).status == 200
        assert (await ask_plain(site, "hall-a", f"plain-a{number}")).status == 200

    cut.end()
    for gateway in (inside, outside):
        await wait_for_hosts(gateway, len(site.gateways))
    # Home zones are cached for a second.
    await asyncio.sleep(1.0)
    assert await check_part(site, "hall-c", "after-c", part_of_a) == {"hall-a"}
    assert await check_part(site, "hall-a", "after-a", part_of_c) == {"hall-c"}


def count_sent(site, zone, distance):
    counts = site.gateways[f"{zone}-0"].gateway._state.metrics.snapshot()
    name = "gateway_requests_by_distance_total"
    return sum(count for key, count in counts.items() if name in key and distance in key)


@on_site(gateways=0, engines=(), plain=0)
async def test_operators_see_the_distance_of_requests_and_the_region_of_instances(site):
    await build_regions(site)
    await check_part(site, "hall-c", "far", find_part("hall-a"))
    # One for prefill and one for decode.
    assert count_sent(site, "hall-c", "other_region") == 2
    assert (await ask_plain(site, "hall-c", "near")).status == 200
    assert count_sent(site, "hall-c", "same_zone") == 1
    fleet = site.gateways["hall-c-0"].gateway._fleet
    regions = {item["zone"]: item["region"] for item in describe_fleet(fleet).values()}
    assert regions == REGIONS


@on_site(gateways=0, engines=(), plain=0)
async def test_requests_during_the_detection_of_a_cut_are_served(site, monkeypatch):
    await build_regions(site)
    part = find_part("hall-a")
    await check_part(site, "hall-c", "before", part)
    cut = RegionCut(site, "q")
    cut_relays(monkeypatch, cut)
    cut.start()
    answers = []
    for number in range(40):
        answers.append(await ask_for_part(site, "hall-c", f"d{number}", part))
        await asyncio.sleep(0.05)
    served = [item for item in answers if (item.status, item.whole) == (200, True)]
    assert len(served) >= 38, [item.status for item in answers]


@on_site(gateways=0, engines=(), plain=0)
async def test_the_callers_region_books_without_the_home_zones_scheduler(site):
    await build_regions(site)
    # By hash alone hall-b would be asked next, in the region of the silent scheduler.
    part = find_part("hall-a", "hall-b")
    members = site.gateways["hall-c-0"].gateway.list_members()
    scheduler = scheduling.find_scheduler(members, "model", "hall-a").host
    site.gateways[scheduler].gateway._gossip._socket.close()
    assert await check_part(site, "hall-c", "silent", part) == {"hall-c"}
    assert await check_part(site, "hall-b", "near", part) == {"hall-b"}


def unlist(site, upstream):
    site.unlist_upstream(upstream)


def drain(site, upstream):
    site.list_upstream(upstream, "draining")


def refuse(site, upstream):
    upstream.rest = b"30"


def relist(site, upstream):
    upstream.rest = b""
    site.list_upstream(upstream)


def count_known(site, gateway):
    now = asyncio.get_running_loop().time()
    usable = gateway._state.list_usable("alerts", now)
    return sum(1 for item in usable if item.record.zone == "hall-c")


@pytest.mark.parametrize("fail", [unlist, drain], ids=lambda item: item.__name__)
@on_site(gateways=0, engines=(), plain=0)
async def test_a_region_without_plain_upstreams_uses_the_other_one_and_returns(site, fail):
    await build_regions(site)
    gateway = site.gateways["hall-c-0"].gateway
    upstreams = [site.upstreams[f"hall-c-s{number}"] for number in range(2)]
    assert (await ask_plain(site, "hall-c", "before")).status == 200
    assert find_zones(site, "before") == {"hall-c"}
    for upstream in upstreams:
        fail(site, upstream)
    await wait_until(lambda: not count_known(site, gateway), "gone")
    for number in range(5):
        assert (await ask_plain(site, "hall-c", f"away{number}")).status == 200
        assert find_zones(site, f"away{number}") <= {"hall-a", "hall-b"}
    for upstream in upstreams:
        relist(site, upstream)
    try:
        await wait_until(lambda: count_known(site, gateway) == 2, "back")
    except TimeoutError:
        now = asyncio.get_running_loop().time()
        for n, r in site.gateways.items():
            g = r.gateway
            print(
                "DBG",
                n,
                {
                    k: (i.record.leaving, g.is_ejected(k), round(i.refused_until - now, 1))
                    for k, i in g.list_instances().items()
                    if k.startswith("hall-c-s")
                },
                count_known(site, g),
            )
        print("DBG", {k: v for k, v in site.store.objects.items() if k[1].startswith("hall-c-s")})
        raise
    for number in range(5):
        assert (await ask_plain(site, "hall-c", f"back{number}")).status == 200
        assert find_zones(site, f"back{number}") == {"hall-c"}


@on_site(gateways=0, engines=(), plain=0)
async def test_a_region_whose_plain_upstreams_refuse_is_left_for_their_cool_down(site):
    await build_regions(site)
    upstreams = [site.upstreams[f"hall-c-s{number}"] for number in range(2)]
    for upstream in upstreams:
        upstream.rest = b"1"
    answers = [await ask_plain(site, "hall-c", f"r{number}") for number in range(10)]
    assert [item.status for item in answers] == [200] * 10
    # Each of the two is asked once, not once for each request.
    assert sum(len(item.arrivals) for item in upstreams) <= 2
    for upstream in upstreams:
        upstream.rest = b""
    await asyncio.sleep(1.2)
    assert (await ask_plain(site, "hall-c", "back")).status == 200
    assert find_zones(site, "back") == {"hall-c"}


@on_site(gateways=0, engines=(), plain=0)
async def test_a_region_whose_plain_upstreams_are_silent_is_left_after_some_requests(site):
    await build_regions(site)
    held = []
    for number in range(2):
        held += site._blackhole(site.upstreams[f"hall-c-s{number}"])
    with contextlib.ExitStack() as stack:
        for item in held:
            stack.callback(item.close)
        answers = [await ask_plain(site, "hall-c", f"s{number}") for number in range(12)]
        statuses = [item.status for item in answers]
        assert statuses[-6:] == [200] * 6, statuses
        assert find_zones(site, "s11") <= {"hall-a", "hall-b"}


@on_site(gateways=0, engines=(), plain=0)
async def test_full_engines_of_a_region_pass_requests_on_until_they_have_room(site):
    await build_regions(site)
    decoders = [site.upstreams[f"hall-c-e{number}"] for number in (2, 3)]
    for decoder in decoders:
        decoder.hold.clear()
    address = address_of(site, "hall-c-0")
    asks = [
        asyncio.ensure_future(ask(address, "/chat/a", f"f{number}", X_Token_Usage=SHORT))
        for number in range(20)
    ]
    names = {f"f{number}" for number in range(20)}
    await wait_until(lambda: all(find_zones(site, name) for name in names), "all sent")
    away = {name for name in names if find_zones(site, name) <= {"hall-a", "hall-b"}}
    # Of the eight slots of each, seven are for requests that are not urgent.
    assert len(away) == 20 - 2 * 7
    for decoder in decoders:
        decoder.hold.set()
    assert [item.status for item in await asyncio.gather(*asks)] == [200] * 20
    assert (await ask(address, "/chat/a", "room", X_Token_Usage=SHORT)).status == 200
    assert find_zones(site, "room") == {"hall-c"}
