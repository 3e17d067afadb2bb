"""A host to which most new connections go, beyond what its processor serves."""

import asyncio
import itertools
import time

import pytest

from tests.common.http import RawCaller, ask, write_request
from tests.hosted.sites import SHORT, address_of, count_runs, on_site

KINDS = {
    "not repeatable": ("/goal/a", {}),
    "repeatable": ("/card/a", {}),
    "stream": ("/verdict/a", {"X_Token_Usage": SHORT, "X_Model": "m"}),
}
# Seconds for which the event loop stands still at a time, as with too much work for a processor.
BUSY_SECONDS = 0.08
# Callers that connect at once, and the rounds within which an overload must show.
CALLERS = 20
MAX_ROUNDS = 8
NUMBERS = itertools.count()


async def keep_busy():
    while True:
        time.sleep(BUSY_SECONDS)
        await asyncio.sleep(0)


async def connect_crowd(site, path, headers):
    """Send a request on each of many new connections at once; return the answers by id."""
    names = [f"r{next(NUMBERS)}" for _ in range(CALLERS)]
    calls = [ask(address_of(site), path, name, **headers) for name in names]
    return dict(zip(names, await asyncio.gather(*calls), strict=True))


async def find_closed(site, path, headers):
    """Return the requests whose connections were closed without an answer, in the first round."""
    for _ in range(MAX_ROUNDS):
        answers = await connect_crowd(site, path, headers)
        closed = [name for name, answer in answers.items() if answer.status == 0]
        if closed:
            return closed
    return []


@pytest.mark.parametrize(("path", "headers"), KINDS.values(), ids=KINDS)
@on_site()
async def test_an_overloaded_host_closes_new_connections_unread(site, path, headers):
    kept = await RawCaller.connect(address_of(site))
    busy = asyncio.ensure_future(keep_busy())
    closed = await find_closed(site, path, headers)
    kept.send(write_request(path, "kept", **headers))
    kept_answer = await kept.read_answer()
    busy.cancel()
    kept.close()
    assert closed
    assert not any(count_runs(site, name) for name in closed)
    # Requests on open connections are served on.
    assert kept_answer.status == 200


@on_site()
async def test_a_host_accepts_all_connections_again_after_an_overload(site):
    busy = asyncio.ensure_future(keep_busy())
    assert await find_closed(site, "/card/a", {})
    busy.cancel()
    async with asyncio.timeout(10):
        while any(a.status != 200 for a in (await connect_crowd(site, "/card/a", {})).values()):
            await asyncio.sleep(0.1)


@on_site()
async def test_an_overloaded_host_still_accepts_some_connections(site):
    busy = asyncio.ensure_future(keep_busy())
    assert await find_closed(site, "/card/a", {})
    served = 0
    for _ in range(3):
        answers = await connect_crowd(site, "/card/a", {})
        served += sum(answer.status == 200 for answer in answers.values())
    busy.cancel()
    assert served


@on_site()
async def test_a_host_that_stood_still_once_accepts_connections(site):
    for _ in range(3):
        time.sleep(0.5)
        await asyncio.sleep(0.3)
        answers = await connect_crowd(site, "/card/a", {})
        assert {answer.status for answer in answers.values()} == {200}
