"""How long requests wait for engines, and which are refused at once."""

import asyncio
import math
import random
from dataclasses import replace

import pytest

from swifttrestle.internal.forward.booking import LocalBooker
from swifttrestle.internal.forward.gateway_state import GatewayState, RetryBudgets
from swifttrestle.internal.forward.wait_prediction import WaitPredictor
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.placement import pick_prefill_engine
from swifttrestle.internal.policy.waiting import Backlog, find_caller_timeout, predict_late_prefill
from swifttrestle.internal.protocol.bookings import BookingQuery, pack_message, unpack_message
from swifttrestle.internal.state.bookings import Booking, BookingRequest, NoCapacity
from swifttrestle.internal.state.declared import RetrySafety, Role, Route, Target, UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet, Instance, OpenWork

ROUTE = Route(
    "r", "h", "/r/", RetrySafety.AT_MOST_ONCE, True, False, 6.0, 0.3, 0.2, 0, 1, (Target("s", 1.0),)
)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, 2.0),
        ({"objective": 0.6}, 2.4),
        ({"gap_objective": 0.5}, 4.0),
        ({"timeout": 1.5}, 1.5),
        ({"streaming": False}, 6.0),
    ],
)
def test_the_callers_timeout_follows_the_callers_protocol(changes, expected):
    assert find_caller_timeout(replace(ROUTE, **changes)) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("backlog", "seconds"),
    [
        (Backlog(1000, 1000, 0, 1.0), 1.0),
        (Backlog(1000, 1000, 500, 1.0), 2.0),
        (Backlog(1000, 1000, 500, 0.25), 8.0),
        (Backlog(1000, 1000, 1000, 1.0), math.inf),
        (Backlog(1000, 1000, 3000, 1.0), math.inf),
        (Backlog(1000, 0, 0, 1.0), math.inf),
        # Work that is assigned already is prefilled by all engines, whatever the queue's share.
        (Backlog(1000, 1000, 0, 0.25, open=2000), 6.0),
    ],
)
def test_late_requests_get_the_remaining_capacity(backlog, seconds):
    assert predict_late_prefill(backlog) == pytest.approx(seconds)


def make_prefill_engine(name, wait=0.0):
    record = UpstreamRecord(name, "s", (name, 1), "a", 40, False, Role.PREFILL)
    engine = Instance(record)
    engine.own = OpenWork(int(wait * engine.effective_read_rate), 1 if wait else 0)
    return engine


@pytest.mark.parametrize(
    ("wait", "tokens", "latest", "found"),
    [
        # 20,000 tokens take 0.2 s to prefill.
        (0.0, 20_000, 0.3, True),
        (0.2, 20_000, 0.3, False),
        (0.2, 20_000, math.inf, True),
        # No engine can be in time, so only the wait decides.
        (0.2, 40_000, 0.3, True),
        (0.6, 40_000, 0.3, False),
    ],
)
def test_a_prompt_goes_to_an_engine_that_can_be_in_time(wait, tokens, latest, found):
    readers = [make_prefill_engine("p", wait)]
    chosen = pick_prefill_engine(readers, tokens, "part", (), 0.0, 0.5, latest=latest)
    assert (chosen is not None) is found


# Two seconds of prefill at the default rate: long enough that delays of the test machine do not
# matter.
REQUEST = BookingRequest(
    "s", "a", 200_000, "part", 0, True, 60.0, 0.0, 30.0, max_wait=50.0, latest_read=30.0
)


def run_booker(act):
    async def run():
        fleet = Fleet()
        for name, role in (("p", Role.PREFILL), ("d", Role.DECODE)):
            fleet.put(UpstreamRecord(name, "s", (name, 1), "a", 40, False, role))
        state = GatewayState("a", fleet, RetryBudgets(0.2, 10, 10), Metrics(), random.Random(1))
        # Has too many open streams to prefill long prompts itself.
        fleet.instances["d"].own = OpenWork(0, 30)
        await act(state, LocalBooker(state), fleet.instances["p"])

    asyncio.run(run())


async def run_pending_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


def test_a_late_request_waits_for_an_engine_that_is_nearly_idle():
    async def act(state, booker, reader):
        reader.own = OpenWork(4_000_000, 1)
        late = asyncio.ensure_future(booker.book(REQUEST))
        await run_pending_tasks()
        assert not late.done()
        # A wait of 20 s is short enough for a request in time, but not for a late one.
        reader.own = OpenWork(2_000_000, 1)
        booker.serve_queues()
        await run_pending_tasks()
        assert not late.done()
        reader.own = OpenWork()
        booker.serve_queues()
        assert isinstance(await late, Booking)

    run_booker(act)


def test_requests_in_time_go_before_late_ones():
    async def act(state, booker, reader):
        reader.own = OpenWork(4_000_000, 1)
        late = asyncio.ensure_future(booker.book(REQUEST))
        await run_pending_tasks()
        in_time = asyncio.ensure_future(booker.book(replace(REQUEST, longest_wait=40.0)))
        await run_pending_tasks()
        reader.own = OpenWork()
        booker.serve_queues()
        assert isinstance(await in_time, Booking)
        late.cancel()
        await asyncio.gather(late, return_exceptions=True)

    run_booker(act)


@pytest.mark.parametrize(("offered", "refused"), [(0.5, False), (1.0, True), (3.0, True)])
def test_a_late_request_is_refused_at_once_if_no_capacity_remains(offered, refused):
    async def act(state, booker, reader):
        reader.own = OpenWork(1_500_000, 1)
        now = asyncio.get_running_loop().time()
        # Offered work is averaged over four seconds.
        state.demand.note_arrival("s", "r", int(offered * reader.effective_read_rate * 4), now)
        request = replace(REQUEST, max_prefill_wait=10.0, latest_read=10.0)
        booking = asyncio.ensure_future(booker.book(request))
        await run_pending_tasks()
        assert booking.done() is refused
        if refused:
            assert isinstance(booking.result(), NoCapacity)
        booking.cancel()
        await asyncio.gather(booking, return_exceptions=True)

    run_booker(act)


def test_the_times_of_a_request_are_unchanged_after_packing_and_unpacking():
    for request in (REQUEST, replace(REQUEST, latest_read=math.inf)):
        assert unpack_message(pack_message("h", BookingQuery(1, request))) == (
            "h",
            BookingQuery(1, request),
        )


@pytest.mark.parametrize(("hosts", "share"), [(1, 1.0), (9, 1 / 9), (65, 0.5)])
def test_a_queue_has_a_hosts_share_of_the_engines_or_a_schedulers(hosts, share):
    state = GatewayState(
        "a", Fleet(), RetryBudgets(0.2, 10, 10, hosts=hosts), Metrics(), random.Random(1)
    )
    readers = [
        Instance(UpstreamRecord(f"{zone}{n}", "s", ("h", 1), zone, 40, False, Role.PREFILL))
        for zone in "ab"
        for n in range(5)
    ]
    assert WaitPredictor(state)._find_capacity_share(REQUEST, readers) == pytest.approx(share)
