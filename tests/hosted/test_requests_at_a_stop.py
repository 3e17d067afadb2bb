"""At a planned stop every request that was read gets an answer, or goes on until the end."""

import asyncio
from dataclasses import dataclass

import pytest

from swifttrestle.internal.forward.open_requests import plan_stop
from swifttrestle_standins.hosted.cuts import Cut
from swifttrestle_standins.hosted.site import make_route, wait_until
from tests.common.http import RawCaller, write_request
from tests.hosted.sites import LONG, SHORT, address_of, build_site, count_runs, on_built

# Seconds between SIGTERM and SIGKILL. The tests take about as long.
GRACE_SECONDS = 3.0
TIMES = plan_stop(0.0, GRACE_SECONDS)
# Longer than any stop.
TIMEOUT_MS = 30_000
# Seconds by which an answer may come later than planned on a busy machine.
SLACK_SECONDS = 0.5
ROUTES = [
    make_route("batch", "streaming", "model", timeoutMs=TIMEOUT_MS, targetLatencyMs=10_000),
    make_route("once", "unsafe", "alerts", timeoutMs=TIMEOUT_MS),
    make_route("again", "safe", "alerts", timeoutMs=TIMEOUT_MS),
]


@dataclass(frozen=True)
class Wait:
    """A request that waits at a stop, and the status that it gets by `answered_at` seconds."""

    path: str
    tokens: str
    status: int
    answered_at: float


WAITS = {
    "in the queue": Wait("/batch/a", SHORT, 503, TIMES.last_wait),
    "in the queue for a prefill": Wait("/batch/a", LONG, 503, TIMES.last_wait),
    "for a path": Wait("/once/a", SHORT, 503, TIMES.last_wait),
    "between attempts": Wait("/again/a", SHORT, 503, TIMES.last_wait),
    "for an answer that may be repeated": Wait("/again/a", SHORT, 502, TIMES.last_answer),
    "for an answer": Wait("/once/a", SHORT, 502, TIMES.last_answer),
    "for a prefill": Wait("/batch/a", LONG, 503, TIMES.last_answer),
}


async def build_stopping_site():
    site = await build_site(gateways=0, engines=("prefill", "decode"))
    site.routes = ROUTES
    site.bounds = {"graceS": GRACE_SECONDS}
    site.declare()
    await site.add_gateway("g0", 0)
    await site.wait_ready()
    return site


class Callers:
    """The callers of one site; `answers` has the answer and its time by request."""

    def __init__(self, site):
        self.site = site
        self.tasks = {}

    def ask(self, name, path, tokens):
        self.tasks[name] = asyncio.ensure_future(self._ask(name, path, tokens))

    async def _ask(self, name, path, tokens):
        caller = await RawCaller.connect(address_of(self.site))
        caller.send(write_request(path, name, X_Token_Usage=tokens))
        answer = await caller.read_answer()
        caller.close()
        return answer, asyncio.get_running_loop().time()


async def make_wait(site, callers, wait):
    """Have the request `waiting` wait as the case says."""
    for upstream in site.upstreams.values():
        upstream.hold.clear()
    match wait:
        case "in the queue" | "in the queue for a prefill":
            tokens = WAITS[wait].tokens
            # As many as the engines run, of which one slot is kept for urgent requests.
            for number in range(20):
                callers.ask(f"before-{number}", "/batch/a", tokens)
            await asyncio.sleep(0.3)
        case "for a path" | "between attempts":
            site.gateways["g0"].paths.start_cut(Cut.HANG)
    callers.ask("waiting", WAITS[wait].path, WAITS[wait].tokens)
    await asyncio.sleep(0.3)
    assert not callers.tasks["waiting"].done()


@pytest.mark.parametrize("wait", WAITS)
@pytest.mark.parametrize("seconds", [0.0, 0.6])
@on_built(build_stopping_site)
async def test_a_request_that_waits_at_a_stop_is_answered(site, wait, seconds):
    callers, gateway = Callers(site), site.gateways["g0"].gateway
    await make_wait(site, callers, wait)
    await asyncio.sleep(seconds)
    stopped_at = asyncio.get_running_loop().time()
    gateway.stop()
    # A second signal and a reload change nothing.
    await asyncio.sleep(0.2)
    gateway.stop()
    gateway.reload()
    answer, answered_at = await callers.tasks["waiting"]
    assert (answer.status, answer.whole) == (WAITS[wait].status, True)
    assert answered_at - stopped_at <= WAITS[wait].answered_at + SLACK_SECONDS
    assert answer.status == 502 or count_runs(site, "waiting") == 0
    for upstream in site.upstreams.values():
        upstream.hold.set()
    async with asyncio.timeout(GRACE_SECONDS):
        await site.gateways["g0"].task
    assert count_runs(site, "waiting") <= 1


@on_built(build_stopping_site)
async def test_a_waiting_request_that_would_run_past_the_end_is_refused_at_once(site):
    callers, gateway = Callers(site), site.gateways["g0"].gateway
    gateway._state.demand.note_hold("batch", GRACE_SECONDS)
    await make_wait(site, callers, "in the queue")
    stopped_at = asyncio.get_running_loop().time()
    gateway.stop()
    answer, answered_at = await callers.tasks["waiting"]
    assert answer.status == 503
    assert answer.retry_after < SLACK_SECONDS
    assert answered_at - stopped_at <= SLACK_SECONDS


@on_built(build_stopping_site)
async def test_a_waiting_request_is_served_if_an_engine_is_free_in_time(site):
    callers, gateway = Callers(site), site.gateways["g0"].gateway
    await make_wait(site, callers, "in the queue")
    gateway.stop()
    await asyncio.sleep(TIMES.last_wait / 2)
    for upstream in site.upstreams.values():
        upstream.hold.set()
    answer, _ = await callers.tasks["waiting"]
    assert (answer.status, answer.whole) == (200, True)


@on_built(build_stopping_site)
async def test_a_stream_that_runs_at_a_stop_goes_on_until_the_end(site):
    callers, gateway = Callers(site), site.gateways["g0"].gateway
    engine = site.upstreams["e1"]
    engine.events, engine.seconds = 10, TIMES.last_answer / 12
    callers.ask("running", "/batch/a", SHORT)
    await wait_until(lambda: count_runs(site, "running"), "a run")
    gateway.stop()
    answer, _ = await callers.tasks["running"]
    assert (answer.status, answer.whole) == (200, True)
