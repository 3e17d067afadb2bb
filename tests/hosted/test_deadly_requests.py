"""Requests that crash each upstream that begins to run them.

One such request came again and again, each time under a new id and at another host. Nothing
remembered it once an attempt was over: it was open at all of 11 engines that ended within 12 s, no
other request at more than two, and each burst took all engines that made tokens within 0.3 s. Three
of the lines, of three hosts within 0.5 s:

    18.894 "tokens":[7841,354],"steps":["105:decoder i-9d729b78ce failed: 5012 UPSTREAM_BROKEN: the
           upstream closed the connection","105:decoder i-63627a3c82 after event None","200:decoder
           i-63627a3c82 failed: 5012 UPSTREAM_BROKEN: the upstream closed the connection"]
    19.185 "tokens":[7841,354],"steps":["83:decoder i-924b8650a7 failed: 5012 UPSTREAM_BROKEN: ...
    19.382 "tokens":[7841,354],"steps":["145:decoder i-563d97a87e failed: 5012 UPSTREAM_BROKEN: ...
"""

import asyncio
import itertools

import pytest

from swifttrestle.internal.forward.gateway_state import LAST_BYTES_SECONDS
from swifttrestle.internal.policy import scheduling
from swifttrestle_standins.hosted.site import Crashing, wait_until
from swifttrestle_standins.hosted.upstreams import DEADLY, DEADLY_PROMPT
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, address_of, on_site
from tests.hosted.test_starts import tell_starts

ENGINES = ("prefill", "prefill", "prefill", "decode", "decode", "decode", "decode", "decode")
HOSTS = ("g0", "g1", "g2")
AWAY_SECONDS = 0.2
LATER_START_MS = 60_000
# Seconds between two attempts: what a crash is known by takes some milliseconds.
PAUSE_SECONDS = 0.1
ATTEMPTS = 15
# The users allow three crashes of a request; whatever the hosts do, one more may be under way.
MOST_CRASHES = 3
KINDS = [
    ("/card/a", DEADLY, {}),
    ("/goal/a", DEADLY, {}),
    ("/verdict/a", DEADLY, {"X_Token_Usage": SHORT, "X_Model": "m"}),
    ("/verdict/a", DEADLY, {"X_Token_Usage": LONG, "X_Model": "m"}),
    ("/verdict/a", DEADLY_PROMPT, {"X_Token_Usage": LONG, "X_Model": "m"}),
    ("/chat/a", DEADLY, {"X_Token_Usage": SHORT, "X_Model": "m"}),
]
NAMES = ["repeatable", "not-repeatable", "stream", "after-its-reading", "in-its-reading", "chat"]
NUMBERS = itertools.count()


async def send_again_and_again(
    site, path, body, headers, attempts=ATTEMPTS, hosts=HOSTS, sources=(None,)
):
    """Send a request under ever new ids, at each host in turn, from each source in turn."""
    answers = []
    for _ in range(attempts):
        number = next(NUMBERS)
        host = address_of(site, hosts[number % len(hosts)])
        source = sources[number % len(sources)]
        answers.append(await ask(host, path, f"d{number}", source, body=body, **headers))
        await asyncio.sleep(PAUSE_SECONDS)
    return answers


def assert_kept_back(site, answers):
    """Few upstreams crashed, and the last caller was told to come back in some time."""
    assert len(site.crashes) <= MOST_CRASHES
    assert answers[-1].status == 503
    assert answers[-1].retry_after > 1


def all_hosts_know_starts(site):
    starts = {f"{name}@{item.born}" for name, item in site.upstreams.items()}
    gateways = [item.gateway for item in site.gateways.values()]
    return all(starts <= set(gateway.list_instances()) for gateway in gateways)


async def start_anew(site):
    """End all hosts at once and start them again; they remember nothing by themselves."""
    for name in HOSTS:
        site.gateways[name].task.cancel()
    await asyncio.gather(*(site.gateways[name].task for name in HOSTS), return_exceptions=True)
    for number, name in enumerate(HOSTS):
        await site.add_gateway(name, len(HOSTS) + number)
    await site.wait_ready(*HOSTS)


@pytest.mark.parametrize(("path", "body", "headers"), KINDS, ids=NAMES)
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_a_request_that_crashes_its_upstreams_is_kept_from_the_others(
    site, path, body, headers
):
    await tell_starts(site)
    site.allow_crashes(AWAY_SECONDS, LATER_START_MS)
    answers = await send_again_and_again(site, path, body, headers)
    assert_kept_back(site, answers)


@pytest.mark.parametrize(("path", "body", "headers"), KINDS, ids=NAMES)
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_the_same_request_from_many_addresses_is_one(site, path, body, headers):
    """A caller has many addresses, of its own connections or of what stands before it.

    The address was part of what made two requests the same, so that each address began at no crash:
    the requests that were held under 14 ended engines had one body, one host and one path, and 15
    addresses; where an address came a second time it was kept back, 12 of 52 times.
    """
    await tell_starts(site)
    site.allow_crashes(AWAY_SECONDS, LATER_START_MS)
    sources = [f"127.0.0.{number}" for number in range(2, 38)]
    answers = await send_again_and_again(site, path, body, headers, sources=sources)
    assert_kept_back(site, answers)


@pytest.mark.parametrize(("path", "body", "headers"), KINDS[:4], ids=NAMES[:4])
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_hosts_that_never_saw_a_deadly_request_keep_it_back_from_other_addresses(
    site, path, body, headers
):
    await tell_starts(site)
    site.allow_crashes(AWAY_SECONDS, LATER_START_MS)
    sources = [f"127.0.0.{number}" for number in range(2, 38)]
    seen = {"hosts": HOSTS[:1], "sources": sources[:18]}
    await send_again_and_again(site, path, body, headers, attempts=6, **seen)
    before = len(site.crashes)
    others = {"hosts": HOSTS[1:], "sources": sources[18:]}
    answers = await send_again_and_again(site, path, body, headers, attempts=6, **others)
    assert before <= MOST_CRASHES
    assert len(site.crashes) == before
    assert all(answer.status == 503 for answer in answers)


@pytest.mark.parametrize(("path", "body", "headers"), KINDS, ids=NAMES)
@on_site(gateways=6, engines=ENGINES, plain=8)
async def test_keepers_tell_all_hosts_of_a_large_fleet(site, path, body, headers, monkeypatch):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 2)
    await tell_starts(site)
    gateways = [item.gateway for item in site.gateways.values()]
    await wait_until(lambda: all(len(item.live_hosts()) == 6 for item in gateways), "all hosts")
    site.allow_crashes(AWAY_SECONDS, LATER_START_MS)
    answers = await send_again_and_again(site, path, body, headers)
    assert len(site.crashes) <= MOST_CRASHES
    assert answers[-1].status == 503
    guards = [item._state.guard for item in gateways]
    await wait_until(lambda: all(len(item.quarantine) for item in guards), "known at all hosts")


@pytest.mark.parametrize("way", [Crashing.OTHER_ID, Crashing.SILENT], ids=["other id", "silent"])
@on_site(gateways=3, plain=8)
async def test_upstreams_that_crash_in_other_ways_count_as_well(site, way):
    # One that falls silent is known to have ended by the list and by its address together, and by
    # then the request's own time is over, so that the next attempt may come in between.
    await tell_starts(site)
    site.allow_crashes(1.0, LATER_START_MS, way)
    answers = await send_again_and_again(site, "/card/a", DEADLY, {}, attempts=8)
    assert len(site.crashes) <= MOST_CRASHES + (way is Crashing.SILENT)
    assert answers[-1].status == 503


@pytest.mark.parametrize(("path", "body", "headers"), KINDS[:5], ids=NAMES[:5])
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_a_crash_behind_a_port_that_stays_open_counts_by_the_next_start(
    site, path, body, headers
):
    """A supervisor keeps the listening socket, so that the address of a dead upstream answers.

    What broke off was forgotten as soon as the address took a connection, and the word of the later
    start, which came a second after it, found nothing: 16 to 42 upstreams ended as before.
    """
    await tell_starts(site)
    site.allow_crashes(1.0, LATER_START_MS, Crashing.SUPERVISED)
    answers = []
    for _ in range(6):
        answers += await send_again_and_again(site, path, body, headers, attempts=1)
        # The crash is known by the next start alone: no host can hold it against the request
        # before the list has told it of that.
        await wait_until(lambda: not site.count_away(), "all upstreams back")
        await wait_until(lambda: all_hosts_know_starts(site), "the next starts heard of")
        # What the former start sent may arrive for so long yet, and breaks off so long after that.
        await asyncio.sleep(2 * LAST_BYTES_SECONDS + PAUSE_SECONDS)
    assert_kept_back(site, answers)


@pytest.mark.parametrize(("path", "body", "headers"), KINDS[:3], ids=NAMES[:3])
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_hosts_that_all_start_anew_still_know_what_crashed_upstreams(
    site, path, body, headers
):
    await tell_starts(site)
    site.allow_crashes(AWAY_SECONDS, LATER_START_MS)
    await send_again_and_again(site, path, body, headers)
    before = len(site.crashes)
    await start_anew(site)
    await wait_until(lambda: not site.count_away(), "all upstreams back")
    await send_again_and_again(site, path, body, headers)
    assert before <= MOST_CRASHES
    assert len(site.crashes) == before


@pytest.mark.parametrize(("path", "body", "headers"), KINDS[:4], ids=NAMES[:4])
@on_site(gateways=3, engines=("prefill", "prefill", "decode", "decode"), plain=2)
async def test_the_last_upstream_is_spared_a_request_that_has_just_crashed_another(
    site, path, body, headers
):
    """Of two engines that made tokens one crashed under a request, the other under its repeat.

    Nobody was served for two seconds, 0.2 s after the first crash and with four engines that read
    prompts (0.178 of the worth of that time; 0.5 to 0.8 with the last one spared):

        5.482 crash of i-24c7350d06   5.709 crash of i-4f97a2fdff   "0 of 4 decode, 1 wanted"
    """
    await tell_starts(site)
    site.allow_crashes(2.0, LATER_START_MS)
    await ask(address_of(site), path, "deadly", body=body, **headers)
    guards = [item.gateway._state.guard for item in site.gateways.values()]
    await wait_until(lambda: all(len(item.quarantine) for item in guards), "known at all hosts")
    assert len(site.crashes) == 1
    for number, name in enumerate(HOSTS):
        answer = await ask(address_of(site, name), path, f"d{number}", body=body, **headers)
        assert (answer.status, answer.retry_after > 1) == (503, True)
        other = await ask(address_of(site, name), path, f"other{number}", body=b"x", **headers)
        assert (other.status, other.whole) == (200, True)
    assert len(site.crashes) == 1


@pytest.mark.parametrize("large", [False, True], ids=["small fleet", "large fleet"])
@on_site(gateways=8, plain=24)
async def test_one_host_at_a_time_tries_whether_a_request_still_crashes_upstreams(
    site, large, monkeypatch
):
    """Each host let one copy go after the first quarantine, at a moment of its own.

    In a fleet of 83 hosts these moments were 30 ms apart, and a crash is known to all 100 ms and
    more after its copy was sent: seven more upstreams crashed under one request that came 26 times
    a second, 14 in all.
    """
    if large:
        monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 2)
    await tell_starts(site)
    gateways = [item.gateway for item in site.gateways.values()]
    await wait_until(lambda: all(len(item.live_hosts()) == 8 for item in gateways), "all hosts")
    site.allow_crashes(AWAY_SECONDS, LATER_START_MS)
    for upstream in site.upstreams.values():
        upstream.seconds = 0.2
    hosts = list(site.gateways)
    await send_again_and_again(site, "/goal/a", DEADLY, {}, attempts=3, hosts=hosts)
    guards = [item._state.guard for item in gateways]
    await wait_until(
        lambda: all(item.quarantine.list_quarantined() for item in guards), "quarantined"
    )
    before = len(site.crashes)
    # The first quarantine is over at all hosts at once, as it nearly is where they are many.
    for guard in guards:
        guard.quarantine.find_wait = lambda name, now: 0.0
    calls = [ask(address_of(site, name), "/goal/a", f"t{name}", body=DEADLY) for name in hosts]
    answers = await asyncio.gather(*calls)
    assert len(site.crashes) <= before + 1
    assert sum(answer.status == 503 for answer in answers) >= len(hosts) - 1
