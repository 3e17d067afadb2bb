"""No quarantine for requests that merely ran beside a crashing one, or failed without a crash."""

import asyncio
import functools
import itertools
from dataclasses import dataclass, field

import pytest

from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.fingerprints import Fingerprint, fingerprint_request
from swifttrestle.internal.transport.messages import Body, Framing, RequestHead
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import DEADLY
from tests.common.http import RawCaller, ask, write_request
from tests.hosted.sites import SHORT, address_of, count_runs, on_site, script
from tests.hosted.test_crashing_requests import (
    ENGINES,
    HOSTS,
    LATER_START_MS,
    RESTART_SECONDS,
    send_repeatedly,
)
from tests.hosted.test_starts import report_starts

STREAM = {"X_Token_Usage": SHORT, "X_Model": "m"}


def find_guard(site, name="g0"):
    return site.gateways[name].gateway._state.guard


def count_quarantined(site):
    return [len(find_guard(site, name).quarantine.list_quarantined()) for name in site.gateways]


async def find_running_upstream(site, request_id):
    """Return the upstream that runs a request, as soon as one does."""
    return await wait_until(
        lambda: next((u for u in site.upstreams.values() if u.runs.get(request_id)), None), "run"
    )


def is_draining(site, upstream):
    """Return whether a host knows that an upstream is draining."""
    return site.gateways["g0"].gateway._fleet.find_current_incarnation(upstream.instance).leaving


@pytest.mark.parametrize(("path", "headers"), [("/card/a", {}), ("/verdict/a", STREAM)])
@on_site(gateways=3, engines=ENGINES, plain=8)
async def test_a_popular_request_beside_one_that_crashes_upstreams_is_served(site, path, headers):
    # It is open at each upstream that crashes, but its answers elsewhere clear it.
    await report_starts(site)
    site.allow_crashes(RESTART_SECONDS, LATER_START_MS)
    for upstream in site.upstreams.values():
        upstream.seconds = 0.02
    ended = asyncio.Event()

    async def call_continuously(caller):
        number = 0
        while not ended.is_set():
            host = address_of(site, HOSTS[number % len(HOSTS)])
            await ask(host, path, f"p{caller}-{number}", body=b"popular", **headers)
            number += 1

    callers = [asyncio.ensure_future(call_continuously(number)) for number in range(12)]
    await send_repeatedly(site, path, DEADLY, headers, attempts=6)
    ended.set()
    await asyncio.gather(*callers)
    await wait_until(lambda: not site.count_crashed(), "all upstreams back")
    for name in HOSTS:
        answer = await ask(address_of(site, name), path, f"last-{name}", body=b"popular", **headers)
        assert (answer.status, answer.whole) == (200, True)
        assert len(find_guard(site, name).quarantine.list_quarantined()) == 1


@pytest.mark.parametrize("step", ["reset", "reset-after", "unsigned", "crossed"])
@on_site(gateways=1, plain=3)
async def test_failures_at_a_live_upstream_do_not_count_as_crashes(site, step):
    await report_starts(site)
    script(site, "s", *[step] * 8)
    for number in range(4):
        await ask(address_of(site), "/card/a", f"r{number}", body=b"same")
    guard = find_guard(site)
    await guard.detector.wait_for_probes()
    assert len(guard.quarantine) == 0
    answer = await ask(address_of(site), "/card/a", "last", body=b"same")
    assert (answer.status, answer.whole) == (200, True)


@on_site(gateways=1, plain=1)
async def test_a_failure_at_a_live_upstream_does_not_count_for_its_later_crash(site):
    await report_starts(site)
    script(site, "s", "reset-after")
    await ask(address_of(site), "/goal/a", "early", body=b"early")
    await find_guard(site).detector.wait_for_probes()
    site.upstreams["s0"].hold.clear()
    asked = asyncio.ensure_future(ask(address_of(site), "/goal/a", "late", body=b"late"))
    await find_running_upstream(site, "late")
    await site.stop_upstream(site.upstreams["s0"])
    await asked
    await wait_until(lambda: len(find_guard(site).quarantine), "the crash")
    assert len(find_guard(site).quarantine) == 1


@on_site(gateways=1, plain=4)
async def test_a_draining_upstream_that_cuts_open_requests_does_not_count_as_a_crash(site):
    await report_starts(site)
    for number in range(2):
        for upstream in site.upstreams.values():
            upstream.hold.clear()
        asked = asyncio.ensure_future(
            ask(address_of(site), "/goal/a", f"l{number}", body=b"same", X_Deadline_Ms="9000")
        )
        busy = await find_running_upstream(site, f"l{number}")
        site.list_upstream(busy, "draining")
        await wait_until(functools.partial(is_draining, site, busy), "draining known")
        await site.stop_upstream(busy)
        assert (await asked).status in (0, 502)
        site.unlist_upstream(busy)
    guard = find_guard(site)
    await guard.detector.wait_for_probes()
    assert len(guard.quarantine) == 0


@on_site(gateways=1, plain=4)
async def test_a_request_that_its_caller_cancelled_does_not_count_as_open_at_a_crash(site):
    await report_starts(site)
    for upstream in site.upstreams.values():
        upstream.hold.clear()
    caller = await RawCaller.connect(address_of(site))
    caller.send(write_request("/card/a", "c1", body=b"same"))
    busy = await find_running_upstream(site, "c1")
    caller.reset()
    await wait_until(lambda: "c1" in busy.cancelled, "end of the work")
    await site.stop_upstream(busy)
    site.unlist_upstream(busy)
    fleet = site.gateways["g0"].gateway._fleet
    await wait_until(lambda: not fleet.knows(busy.instance), "gone")
    assert len(find_guard(site).quarantine) == 0


@on_site(gateways=3)
async def test_an_answer_ends_the_quarantine_of_a_request_at_all_hosts(site):
    # The request is quarantined while it runs at one host, where it then gets its answer.
    await report_starts(site)
    for upstream in site.upstreams.values():
        upstream.hold.clear()
    asked = asyncio.ensure_future(ask(address_of(site, "g2"), "/card/a", "slow", body=b"same"))
    await wait_until(lambda: count_runs(site, "slow"), "run")
    head = RequestHead(b"POST", b"/card/a", ((b"Host", b"site.example"),), Framing.LENGTH, 4)
    fingerprint = fingerprint_request(head, "", Body.from_bytes(b"same"))
    now = asyncio.get_running_loop().time()
    record = CrashRecord(fingerprint, (Crash("i-1", now - 2), Crash("i-2", now - 1)))
    for host in HOSTS:
        find_guard(site, host).merge_crash_records([record], "test")
    refused = await ask(address_of(site), "/card/a", "early", body=b"same")
    assert (refused.status, refused.retry_after > 1) == (503, True)
    for upstream in site.upstreams.values():
        upstream.hold.set()
    assert (await asked).status == 200
    await wait_until(lambda: not any(count_quarantined(site)), "quarantine cleared")
    for host in HOSTS:
        assert (await ask(address_of(site, host), "/card/a", host, body=b"same")).status == 200


@on_site(gateways=2)
async def test_a_request_with_a_quarantined_head_waits_until_its_body_is_complete(site):
    # Only the body distinguishes it from the quarantined request.
    await report_starts(site)
    head = RequestHead(b"POST", b"/card/a", ((b"Host", b"site.example"),), Framing.LENGTH, 4)
    fingerprint = fingerprint_request(head, "", Body.from_bytes(b"same"))
    now = asyncio.get_running_loop().time()
    record = CrashRecord(fingerprint, (Crash("i-1", now - 2), Crash("i-2", now - 1)))
    find_guard(site, "g0").merge_crash_records([record], "test")
    for last, status in ((b"e", 503), (b"x", 200)):
        caller = await RawCaller.connect(address_of(site))
        request = write_request("/card/a", f"p{status}", body=b"sam" + last)
        caller.send(request[:-1])
        await asyncio.sleep(0.02)
        assert count_runs(site, f"p{status}") == 0
        caller.send(request[-1:])
        assert (await caller.read_answer()).status == status
        caller.close()


async def request_lift(site, query, method="POST"):
    address = site.gateways["g0"].metrics_address
    return await ask(address, f"/debug/quarantine/lift{query}", "lift", method=method)


@on_site(gateways=3)
async def test_an_operator_lifts_a_quarantine_at_all_hosts(site):
    gateways = [item.gateway for item in site.gateways.values()]
    await wait_until(lambda: all(len(item.live_hosts()) == 3 for item in gateways), "all hosts")
    now = asyncio.get_running_loop().time()
    fingerprint = Fingerprint(bytes(8), bytes(range(8)))
    for number in range(2):
        find_guard(site, "g1").report_crash([fingerprint], Crash(f"i-{number}", now))
    await wait_until(lambda: all(count_quarantined(site)), "known")
    assert (await request_lift(site, f"?name={fingerprint}")).status == 200
    await wait_until(lambda: not any(count_quarantined(site)), "lifted")


@pytest.mark.parametrize(
    ("query", "method", "status"),
    [
        ("", "POST", 400),
        ("?name=", "POST", 400),
        ("?name=zz-zz", "POST", 400),
        ("?name=00-00", "POST", 400),
        (f"?name={'00' * 8}-{'00' * 8}", "POST", 404),
        (f"?name={'00' * 8}-{'00' * 8}", "GET", 405),
    ],
)
@on_site()
async def test_an_invalid_request_to_lift_a_quarantine_is_rejected(site, query, method, status):
    assert (await request_lift(site, query, method)).status == status


# Seconds after the last crash within which requests that merely ran beside it are served.
NEIGHBOUR_SECONDS = 2.0


@dataclass
class Neighbours:
    """Callers that each repeat a request of their own until it is served."""

    site: object
    path: str
    headers: dict
    served_at: dict = field(default_factory=dict)

    async def call(self, caller):
        for number in itertools.count():
            host = address_of(self.site, HOSTS[(caller + number) % len(HOSTS)])
            name = f"n{caller}-{number}"
            answer = await ask(host, self.path, name, body=b"sound %d" % caller, **self.headers)
            if answer.status == 200 and answer.whole:
                self.served_at[caller] = asyncio.get_running_loop().time()
                return
            await asyncio.sleep(0.1)


@pytest.mark.parametrize(("path", "headers"), [("/card/a", {}), ("/verdict/a", STREAM)])
@on_site(gateways=3, engines=("prefill", *("decode",) * 4), plain=4)
async def test_requests_that_ran_beside_a_crashing_one_are_served_soon_after(site, path, headers):
    """Guards against refusing neighbours of a crashing request for the length of a quarantine."""
    await report_starts(site)
    site.allow_crashes(RESTART_SECONDS, LATER_START_MS)
    for upstream in site.upstreams.values():
        upstream.seconds = 0.1
    neighbours = Neighbours(site, path, headers)
    callers = [asyncio.ensure_future(neighbours.call(number)) for number in range(16)]
    for _ in range(3):
        await asyncio.gather(
            *(ask(address_of(site, host), path, f"d-{host}", body=DEADLY, **headers)
              for host in HOSTS)
        )  # fmt: skip
    crashed_at = asyncio.get_running_loop().time()
    await asyncio.wait(callers, timeout=NEIGHBOUR_SECONDS)
    late = [number for number in range(16) if number not in neighbours.served_at]
    for caller in callers:
        caller.cancel()
    assert len(site.crashes) >= 2
    assert not late
    assert max(neighbours.served_at.values()) <= crashed_at + NEIGHBOUR_SECONDS
