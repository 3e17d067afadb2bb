"""What a starting host loads from engines' lists of cached prompt parts."""

import asyncio
import random

import pytest

from swifttrestle.errors import UpstreamBrokenError
from swifttrestle.internal.coordination.sharing.prompt_cache_loader import (
    MAX_QUERIED_ENGINES,
    PromptCacheLoader,
)
from swifttrestle.internal.state.declared import Role, UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.prompt_cache import PromptPart
from swifttrestle.internal.transport.pool import ConnectionPool
from swifttrestle.platform.engine import read_cached_parts
from swifttrestle_standins.pieces import cut_pieces

LIST = b'{"epoch": 1, "nextPageToken": 7, "held": [["", "aa", 4000, "m"], ["", "bb", 30, "m"]]}'


def test_an_engines_list_is_read_with_the_part_names_that_bookings_use():
    assert read_cached_parts(LIST).parts == (PromptPart("m/aa", 4000), PromptPart("m/bb", 30))


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"7",
        b"{}",
        b'{"held": 3}',
        b'{"held": [["", "aa"]]}',
        b'{"held": [["", "a", "x", "m"]]}',
    ],
)
def test_a_list_that_cannot_be_read_is_a_typed_error(body):
    with pytest.raises(UpstreamBrokenError):
        read_cached_parts(body)


def run_loader(answer, schedules_engines=True, engines=1, pieces=1):
    """Load from engines that answer these bytes, in pieces with a pause of 0.2 s between them.

    Return the fleet and the requests that the engines received.
    """

    async def run_all():
        calls = []

        async def serve(reader, writer):
            calls.append(await reader.readuntil(b"\r\n\r\n"))
            first, *rest = cut_pieces(answer, pieces)
            writer.write(first)
            for piece in rest:
                await asyncio.sleep(0.2)
                writer.write(piece)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        fleet = Fleet()
        for number in range(engines):
            record = UpstreamRecord(f"e{number}", "s", address, "a", 40, False, Role.PREFILL)
            fleet.put(record)
        fleet.put(UpstreamRecord("plain", "t", address, "a", 40, False))
        loader = PromptCacheLoader(
            "a", fleet, ConnectionPool(), lambda: schedules_engines, random.Random(1)
        )
        async with asyncio.timeout(20):
            await loader.run()
        server.close()
        return fleet, calls

    return asyncio.run(run_all())


def frame(status, body):
    return b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


def test_a_starting_host_records_the_parts_that_engines_list():
    fleet, calls = run_loader(frame(200, LIST))
    prompt = (PromptPart("m/aa", 4000), PromptPart("m/bb", 30), PromptPart("m/own", 9))
    assert fleet.instances["e0"].cache.count_prefilled(prompt) == 4030
    assert len(calls) == 1
    assert calls[0].startswith(b"GET /v1/kv-list ")


def test_a_list_that_arrives_slowly_is_read_to_its_end():
    # Guards against a timeout for the whole list, which slow links exceed.
    fleet, _ = run_loader(frame(200, LIST), pieces=6)
    assert fleet.instances["e0"].cache.count((PromptPart("m/aa", 4000),)) == 4000


@pytest.mark.parametrize(
    "answer",
    [frame(429, b"{}"), frame(200, b"[]"), b"no answer\r\n\r\n"],
    ids=["429", "[]", "noise"],
)
def test_an_engine_without_a_readable_list_counts_as_empty(answer):
    fleet, _ = run_loader(answer)
    assert fleet.instances["e0"].cache.count((PromptPart("m/aa", 4000),)) == 0


def test_a_host_that_does_not_schedule_engines_queries_none():
    assert run_loader(frame(200, LIST), schedules_engines=False)[1] == []


def test_a_host_queries_a_limited_number_of_engines():
    assert (
        len(run_loader(frame(200, LIST), engines=3 * MAX_QUERIED_ENGINES)[1]) == MAX_QUERIED_ENGINES
    )
