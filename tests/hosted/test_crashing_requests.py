"""Requests that crash every upstream that runs them are quarantined.

Such a request may be repeated under new ids and at other hosts, and would crash all upstreams.
"""

import asyncio
import itertools

import pytest

from swifttrestle.internal.forward.gateway_state import LATE_DATA_SECONDS
from swifttrestle.internal.policy import scheduling
from swifttrestle_standins.hosted.site import CrashMode, wait_until
from swifttrestle_standins.hosted.upstreams import DEADLY, DEADLY_PROMPT
from tests.common.http import ask
from tests.hosted.sites import LONG, SHORT, address_of, on_site
from tests.hosted.test_starts import report_starts

ENGINES = ("prefill", "prefill", "prefill", "decode", "decode", "decode", "decode", "decode")
HOSTS = ("g0", "g1", "g2")
RESTART_SECONDS = 0.2
LATER_START_MS = 60_000
# Seconds between two attempts, so that the hosts can detect a crash.
PAUSE_SECONDS = 0.1
ATTEMPTS = 15
# Crashes that a request may cause in all.
MAX_CRASHES = 3
KINDS = [
    ("/card/a", DEADLY, {}),
    ("/goal/a", DEADLY, {}),
    ("/verdict/a", DEADLY, {"X_Token_Usage": SHORT, "X_Model": "m"}),
    ("/verdict/a", DEADLY, {"X_Token_Usage": LONG, "X_Model": "m"}),
    ("/verdict/a", DEADLY_PROMPT, {"X_Token_Usage": LONG, "X_Model": "m"}),
    ("/chat/a", DEADLY, {"X_Token_Usage": SHORT, "X_Model": "m"}),
]
NAMES = ["repeatable", "not-repeatable", "stream", "after-its-prefill", "in-its-prefill", "chat"]
NUMBERS = itertools.count()


async def send_repeatedly(
    site, path, body, headers, attempts=ATTEMPTS, hosts=HOSTS, sources=(None,)
):
    """Send a request repeatedly under new ids, to each host and from each source in turn."""
    answers = []
    for _ in range(attempts):
        number = next(NUMBERS)
        host = address_of(site, hosts[number % len(hosts)])
        source = sources[number % len(sources)]
        answers.append(await ask(host, path, f"d{number}", source, body=body, **headers))
        await asyncio.sleep(PAUSE_SECONDS)
    return answers


def assert_quarantined(site, answers):
    """Check that few upstreams crashed, and that the last attempt was refused for some time."""
    assert len(site.crashes) <= MAX_CRASHES
    assert answers[-1].status == 503
    assert answers[-1].retry_after > 1


def all_hosts_list_restarted(site):
    starts = {f"{name}@{item.born}" for name, item in site.upstreams.items()}
    gateways = [item.gateway for item in site.gateways.values()]
    return all(starts <= set(gateway.list_instances()) for gateway in gateways)


async def restart_hosts(site):
    """Stop all hosts at once and start them again without their state."""
    for name in HOSTS:
        site.gateways[name].task.cancel()
    await asyncio.gather(*(site.gateways[name].task for name in HOSTS), return_exceptions=True)
    for number, name in enumerate(HOSTS):
        await site.add_gateway(name, len(HOSTS) + number)
    await site.wait_ready(*HOSTS)


@pytest.mark.parametrize(("path", "body", "headers"), KINDS, ids=NAMES)
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_a_request_that_crashes_its_upstreams_is_quarantined(site, path, body, headers):
    await report_starts(site)
    site.allow_crashes(RESTART_SECONDS, LATER_START_MS)
    answers = await send_repeatedly(site, path, body, headers)
    assert_quarantined(site, answers)


@pytest.mark.parametrize(("path", "body", "headers"), KINDS, ids=NAMES)
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_a_request_is_the_same_from_any_caller_address(site, path, body, headers):
    """Guards against treating repeats from other addresses, such as proxies', as new requests."""
    await report_starts(site)
    site.allow_crashes(RESTART_SECONDS, LATER_START_MS)
    sources = [f"127.0.0.{number}" for number in range(2, 38)]
    answers = await send_repeatedly(site, path, body, headers, sources=sources)
    assert_quarantined(site, answers)


@pytest.mark.parametrize(("path", "body", "headers"), KINDS[:4], ids=NAMES[:4])
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_hosts_refuse_a_quarantined_request_that_they_have_never_seen(
    site, path, body, headers
):
    await report_starts(site)
    site.allow_crashes(RESTART_SECONDS, LATER_START_MS)
    sources = [f"127.0.0.{number}" for number in range(2, 38)]
    seen = {"hosts": HOSTS[:1], "sources": sources[:18]}
    await send_repeatedly(site, path, body, headers, attempts=6, **seen)
    before = len(site.crashes)
    others = {"hosts": HOSTS[1:], "sources": sources[18:]}
    answers = await send_repeatedly(site, path, body, headers, attempts=6, **others)
    assert before <= MAX_CRASHES
    assert len(site.crashes) == before
    assert all(answer.status == 503 for answer in answers)


@pytest.mark.parametrize(("path", "body", "headers"), KINDS, ids=NAMES)
@on_site(gateways=6, engines=ENGINES, plain=8)
async def test_owners_notify_all_hosts_of_a_large_fleet(site, path, body, headers, monkeypatch):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 2)
    await report_starts(site)
    gateways = [item.gateway for item in site.gateways.values()]
    await wait_until(lambda: all(len(item.live_hosts()) == 6 for item in gateways), "all hosts")
    site.allow_crashes(RESTART_SECONDS, LATER_START_MS)
    answers = await send_repeatedly(site, path, body, headers)
    assert len(site.crashes) <= MAX_CRASHES
    assert answers[-1].status == 503
    guards = [item._state.guard for item in gateways]
    await wait_until(lambda: all(len(item.quarantine) for item in guards), "known at all hosts")


@pytest.mark.parametrize("mode", [CrashMode.OTHER_ID, CrashMode.SILENT], ids=["other id", "silent"])
@on_site(gateways=3, plain=8)
async def test_upstreams_that_crash_in_other_ways_count_as_well(site, mode):
    # A crash without closed connections is detected only after the request has timed out, so that
    # another attempt may be sent before that.
    await report_starts(site)
    site.allow_crashes(1.0, LATER_START_MS, mode)
    answers = await send_repeatedly(site, "/card/a", DEADLY, {}, attempts=8)
    assert len(site.crashes) <= MAX_CRASHES + (mode is CrashMode.SILENT)
    assert answers[-1].status == 503


@pytest.mark.parametrize(("path", "body", "headers"), KINDS[:5], ids=NAMES[:5])
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_a_crash_behind_a_port_that_stays_open_is_detected_by_the_restart(
    site, path, body, headers
):
    """Guards against missing crashes of upstreams whose supervisor holds the listening socket."""
    await report_starts(site)
    site.allow_crashes(1.0, LATER_START_MS, CrashMode.SUPERVISED)
    answers = []
    for _ in range(6):
        answers += await send_repeatedly(site, path, body, headers, attempts=1)
        # A host can detect the crash only once the discovery list contains the restarted upstream.
        await wait_until(lambda: not site.count_crashed(), "all upstreams back")
        await wait_until(lambda: all_hosts_list_restarted(site), "all restarts listed")
        # Hosts wait for late data before they close connections, and before they report the crash.
        await asyncio.sleep(2 * LATE_DATA_SECONDS + PAUSE_SECONDS)
    assert_quarantined(site, answers)


@pytest.mark.parametrize(("path", "body", "headers"), KINDS[:3], ids=NAMES[:3])
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_a_quarantine_survives_a_restart_of_all_hosts(site, path, body, headers):
    await report_starts(site)
    site.allow_crashes(RESTART_SECONDS, LATER_START_MS)
    await send_repeatedly(site, path, body, headers)
    before = len(site.crashes)
    await restart_hosts(site)
    await wait_until(lambda: not site.count_crashed(), "all upstreams back")
    await send_repeatedly(site, path, body, headers)
    assert before <= MAX_CRASHES
    assert len(site.crashes) == before


@pytest.mark.parametrize(("path", "body", "headers"), KINDS[:4], ids=NAMES[:4])
@on_site(gateways=3, engines=("prefill", "prefill", "decode", "decode"), plain=2)
async def test_a_request_that_has_just_crashed_an_upstream_is_not_sent_to_the_last_one(
    site, path, body, headers
):
    """Guards against a repeat that crashes the last upstream and makes the service unavailable."""
    await report_starts(site)
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
async def test_only_one_host_at_a_time_tries_a_quarantined_request_again(site, large, monkeypatch):
    """Guards against several trials, and so crashes, before the first one is known to all hosts."""
    if large:
        monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 2)
    await report_starts(site)
    gateways = [item.gateway for item in site.gateways.values()]
    await wait_until(lambda: all(len(item.live_hosts()) == 8 for item in gateways), "all hosts")
    site.allow_crashes(RESTART_SECONDS, LATER_START_MS)
    for upstream in site.upstreams.values():
        upstream.seconds = 0.2
    hosts = list(site.gateways)
    await send_repeatedly(site, "/goal/a", DEADLY, {}, attempts=3, hosts=hosts)
    guards = [item._state.guard for item in gateways]
    await wait_until(
        lambda: all(item.quarantine.list_quarantined() for item in guards), "quarantined"
    )
    before = len(site.crashes)
    # Ends the first quarantine at all hosts at once.
    for guard in guards:
        guard.quarantine.find_wait = lambda name, now: 0.0
    calls = [ask(address_of(site, name), "/goal/a", f"t{name}", body=DEADLY) for name in hosts]
    answers = await asyncio.gather(*calls)
    assert len(site.crashes) <= before + 1
    assert sum(answer.status == 503 for answer in answers) >= len(hosts) - 1
