"""Many large bodies that are open at once fit into the memory that a process may use."""

import asyncio
import gc

import orjson
import pytest

from swifttrestle.internal.transport.caller import CallerConnection
from swifttrestle.internal.transport.messages import Body
from swifttrestle_standins.hosted.site import Site, make_route, wait_until
from swifttrestle_standins.hosted.upstreams import StandInUpstream
from tests.common.http import RawCaller, ask, write_request
from tests.hosted.sites import address_of, count_runs, on_built

MEMORY_MB = 20
# What bodies may take of it: their share, and the first bytes of those that wait.
BODIES_BYTES = MEMORY_MB * 1_000_000 // 2
LARGE = bytes(2_000_000)
SMALL = bytes(20_000)
# Bodies of these callers take more than twice as much.
CALLERS = 12


async def build():
    """Start a site with a service for large requests, which holds them, and one for small ones."""
    site = Site(process_limits={"memoryMb": MEMORY_MB})
    await site.start()
    site.services = [{"name": "large", "maxConns": 200}, {"name": "small", "maxConns": 200}]
    site.routes = [
        make_route("large", "unsafe", "large", timeoutMs=20_000),
        make_route("small", "safe", "small"),
    ]
    await site.add_upstream(StandInUpstream("l0", "large", "hall-a", slots=CALLERS))
    await site.add_upstream(StandInUpstream("s0", "small", "hall-a"))
    site.declare(maxBodyBytes=len(LARGE))
    await site.add_gateway("g0", 0)
    await site.wait_ready()
    site.upstreams["l0"].hold.clear()
    return site


def count_body_bytes(site):
    """Return the bytes of callers' bodies that the gateway has in memory."""
    callers = site.gateways["g0"].gateway._listeners._callers
    total = 0
    for item in gc.get_objects():
        if type(item) is Body:
            owner = getattr(item.resume_reading, "__self__", None)
            if isinstance(owner, CallerConnection) and owner._connections is callers:
                total += sum(len(piece) for piece in item.list_kept())
    return total


async def find_peak_bytes(site, seconds=0.5):
    """Return the most bytes of bodies in memory, until that has not grown for some time."""
    loop = asyncio.get_running_loop()
    peak, grown_at = -1, loop.time()
    while loop.time() < grown_at + seconds:
        found = count_body_bytes(site)
        if found > peak:
            peak, grown_at = found, loop.time()
        await asyncio.sleep(0.02)
    return peak


def find_memory(site):
    return site.gateways["g0"].gateway._body_memory


def write_with_length(name, body=LARGE, **headers):
    return write_request("/large/a", name, body=body, **headers)


def write_in_chunks(name, body=LARGE, **headers):
    head = write_request("/large/a", name, **headers).removesuffix(b"Content-Length: 0\r\n\r\n")
    return head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


WRITERS = {"with lengths": write_with_length, "in chunks": write_in_chunks}


async def send(site, data):
    """Send bytes on a new connection and return it."""
    caller = await RawCaller.connect(address_of(site))
    caller.send(data)
    return caller


async def fill_memory(site, write=write_with_length):
    """Have callers send more than fits; return their connections once no more is read."""
    callers = [await send(site, write(f"r{number}")) for number in range(CALLERS)]
    await find_peak_bytes(site)
    return callers


def release_upstreams(site):
    for upstream in site.upstreams.values():
        upstream.hold.set()


@pytest.mark.parametrize("write", WRITERS.values(), ids=WRITERS.keys())
def test_bodies_that_are_open_at_once_stay_within_the_memory_and_are_all_served(write):
    @on_built(build)
    async def run(site):
        callers = [await send(site, write(f"r{number}")) for number in range(CALLERS)]
        assert await find_peak_bytes(site) <= BODIES_BYTES
        release_upstreams(site)
        peak = asyncio.ensure_future(find_peak_bytes(site))
        answers = [await caller.read_answer() for caller in callers]
        assert [answer.status for answer in answers] == [200] * CALLERS
        assert await peak <= BODIES_BYTES
        assert [count_runs(site, f"r{number}") for number in range(CALLERS)] == [1] * CALLERS
        await wait_until(lambda: find_memory(site).granted_bytes == 0, "given back")
        for caller in callers:
            caller.close()

    run()


@on_built(build)
async def test_small_requests_are_served_beside_large_ones_that_wait(site):
    callers = await fill_memory(site)
    assert find_memory(site).waiting
    for number in range(20):
        answer = await ask(address_of(site), "/small/a", f"s{number}", body=SMALL)
        assert answer.status == 200
    release_upstreams(site)
    assert [(await caller.read_answer()).status for caller in callers] == [200] * CALLERS


@on_built(build)
async def test_a_request_without_memory_in_time_is_refused_before_its_deadline(site):
    callers = await fill_memory(site)
    answer = await ask(address_of(site), "/large/a", "late", body=LARGE, X_Deadline_Ms=900)
    assert (answer.status, orjson.loads(answer.body)["error"]) == (503, "BODY_MEMORY_FULL")
    assert 0 < answer.retry_after <= 10
    assert count_runs(site, "late") == 0
    release_upstreams(site)
    assert [(await caller.read_answer()).status for caller in callers] == [200] * CALLERS


@on_built(build)
async def test_a_request_is_refused_at_once_while_too_many_wait(site):
    """Their first bytes alone take more than their share of the memory."""
    waiting = [await send(site, write_with_length(f"w{number}")) for number in range(60)]
    await find_peak_bytes(site)
    assert await find_peak_bytes(site) <= BODIES_BYTES
    answer = await ask(address_of(site), "/small/a", "s0", body=SMALL)
    assert answer.status == 200
    release_upstreams(site)
    answers = [await caller.read_answer() for caller in waiting]
    assert {answer.status for answer in answers} == {200, 503}
    # Those that came before keep their places.
    assert {answer.status for answer in answers[:20]} == {200}
    runs = [count_runs(site, f"w{number}") for number in range(60)]
    assert runs == [1 if answer.status == 200 else 0 for answer in answers]


@on_built(build)
async def test_a_caller_that_leaves_gives_back_its_memory_or_its_place(site):
    callers = await fill_memory(site)
    for caller in callers:
        caller.reset()
    memory = find_memory(site)
    await wait_until(lambda: not memory.waiting and not memory.granted_bytes, "given back")
    assert memory.waiting_bytes == 0


@on_built(build)
async def test_a_caller_is_asked_for_its_body_only_once_there_is_memory(site):
    callers = await fill_memory(site)
    head = write_with_length("r-asked", Expect="100-continue").removesuffix(LARGE)
    caller = await send(site, head)
    reply = asyncio.ensure_future(caller.reader.readuntil(b"\r\n\r\n"))
    done, _ = await asyncio.wait((reply,), timeout=0.3)
    assert not done
    release_upstreams(site)
    assert await reply == b"HTTP/1.1 100 Continue\r\n\r\n"
    caller.send(LARGE)
    assert (await caller.read_answer()).status == 200
    assert [(await item.read_answer()).status for item in callers] == [200] * CALLERS


@on_built(build)
async def test_a_large_request_behind_another_one_on_its_connection_is_served(site):
    callers = await fill_memory(site)
    pipelined = await send(site, write_with_length("p0") + write_with_length("p1"))
    release_upstreams(site)
    assert [(await pipelined.read_answer()).status for _ in range(2)] == [200, 200]
    assert [(await item.read_answer()).status for item in callers] == [200] * CALLERS
