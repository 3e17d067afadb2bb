"""Engines booked through a zone's scheduler: counts, queueing, lost datagrams, takeovers."""

import asyncio
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from swifttrestle.errors import FrameError
from swifttrestle.internal.forward import scheduled_booking
from swifttrestle.internal.forward.booking import LocalBooker
from swifttrestle.internal.forward.gateway_state import GatewayState, RetryBudgets
from swifttrestle.internal.forward.scheduled_booking import ScheduledBooker
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.scheduling import (
    find_scheduler,
    find_scheduling_group,
    is_large_fleet,
)
from swifttrestle.internal.protocol.bookings import (
    BookingQuery,
    End,
    Grant,
    Refuse,
    Wait,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.state.bookings import Booking, BookingRequest, NoCapacity, Outcome, Stage
from swifttrestle.internal.state.declared import Role, UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet, Instance
from swifttrestle.internal.state.members import Member

# A prompt that takes three seconds at the default prefill rate: long enough that delays of the test
# machine do not matter.
REQUEST = BookingRequest("s", "a", 300_000, "part", 0, True, 20.0, 1.0, 3.5)


class Network:
    """Datagrams between hosts of one event loop; drops those for which `lose` returns true."""

    def __init__(self):
        self.receivers, self.lose, self.sent = {}, lambda message: False, []

    def socket(self, ip):
        return _Socket(self, ip)


class _Socket:
    def __init__(self, network, ip):
        self.network, self.ip = network, ip

    def set_receiver(self, _, receiver):
        self.network.receivers[self.ip] = receiver

    def send(self, ip, _, data):
        message = unpack_message(data)[1]
        self.network.sent.append(message)
        if not self.network.lose(message) and ip in self.network.receivers:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.network.receivers[ip], data, self.ip)


class Host:
    """One host's booker, with its own fleet of the same engines."""

    def __init__(self, network, name, members, engines, seed=1):
        fleet = Fleet()
        for engine, role in engines:
            fleet.put(UpstreamRecord(engine, "s", ("127.0.0.1", 1), "a", 10, False, role))
        budgets = RetryBudgets(0.2, 50, 10)
        self.state = GatewayState("a", fleet, budgets, Metrics(), random.Random(seed))
        self.booker = ScheduledBooker(
            LocalBooker(self.state), self.state, network.socket(name), name, lambda: members
        )

    def open_work(self):
        return sum(item.own.requests for item in self.state.fleet.instances.values())


TWO_ENGINES = (("p", Role.PREFILL), ("d", Role.DECODE))


def run_hosts(act, monkeypatch, names="hij", engines=TWO_ENGINES, answer_seconds=30.0):
    """Run `act` with the hosts; the scheduler comes first."""
    monkeypatch.setattr(scheduled_booking, "is_large_fleet", lambda _: True)
    monkeypatch.setattr(scheduled_booking, "REPLY_TIMEOUT_SECONDS", answer_seconds)

    async def run():
        network = Network()
        members = [Member(name, name, "a") for name in names]
        hosts = {name: Host(network, name, members, engines) for name in names}
        first = find_scheduler(members, "s", "").host
        others = [host for name, host in hosts.items() if name != first]
        await act(network, members, hosts[first], *others)

    asyncio.run(run())


def end_both_stages(host, booking):
    host.booker.end(booking, Stage.READ, Outcome.DONE, 0.05)
    host.booker.end(booking, Stage.DECODE, Outcome.DONE, 0.01)


async def run_pending_tasks():
    for _ in range(5):
        await asyncio.sleep(0)


def test_the_scheduler_counts_bookings_of_other_hosts_until_they_end(monkeypatch):
    async def act(_, members, scheduler, other, third):
        booking = await other.booker.book(REQUEST)
        assert (booking.reader.name, booking.decoder.name) == ("p", "d")
        assert booking.reference.host == find_scheduler(members, "s", "").host
        assert scheduler.open_work() == 2
        assert other.open_work() == third.open_work() == 0
        end_both_stages(other, booking)
        await run_pending_tasks()
        assert scheduler.open_work() == 0

    run_hosts(act, monkeypatch)


def test_hosts_that_ask_at_the_same_time_do_not_overload_an_engine(monkeypatch):
    async def act(_, members, scheduler, *others):
        asked = [host.booker.book(REQUEST) for host in others for _ in range(5)]
        found = await asyncio.gather(*asked)
        reader = scheduler.state.fleet.instances["p"]
        own_seconds = REQUEST.tokens / reader.effective_read_rate
        assert 0 < reader.predict_wait() <= REQUEST.max_prefill_wait + own_seconds
        assert sum(isinstance(item, Booking) for item in found) == 2
        refused = [item.waiting for item in found if isinstance(item, NoCapacity)]
        assert sorted(refused) == [0] + [1] * 7

    run_hosts(act, monkeypatch)


def test_a_waiting_request_gets_the_engine_that_another_host_releases(monkeypatch):
    async def act(network, members, scheduler, other, third):
        first, second = await other.booker.book(REQUEST), await third.booker.book(REQUEST)
        waiting = asyncio.ensure_future(third.booker.book(REQUEST))
        await run_pending_tasks()
        assert Wait in {type(message) for message in network.sent}
        end_both_stages(other, first)
        assert isinstance(await waiting, Booking)
        end_both_stages(third, second)

    run_hosts(act, monkeypatch)


def test_a_request_that_would_be_placed_too_late_is_refused_at_once(monkeypatch):
    async def act(network, members, scheduler, other, third):
        held = [await other.booker.book(REQUEST) for _ in range(2)]
        waiting = asyncio.ensure_future(third.booker.book(REQUEST))
        await run_pending_tasks()
        # A prompt takes three seconds, and a request waits one second at most.
        refused = asyncio.ensure_future(third.booker.book(REQUEST))
        await run_pending_tasks()
        assert refused.done()
        assert refused.result().waiting == 1
        assert not waiting.done()
        end_both_stages(other, held[0])
        assert isinstance(await waiting, Booking)

    run_hosts(act, monkeypatch)


def test_hosts_book_locally_and_stop_asking_a_scheduler_that_does_not_reply(monkeypatch):
    async def act(network, members, scheduler, other, _):
        network.lose = lambda message: isinstance(message, Grant)
        for _ in range(scheduled_booking.MISSED_REPLIES_TO_SUSPEND):
            booking = await other.booker.book(REQUEST)
            assert booking.reference is None
            await run_pending_tasks()
            # The scheduler's booking of the lost reply was released.
            assert scheduler.open_work() == 0
            end_both_stages(other, booking)
        network.sent.clear()
        end_both_stages(other, await other.booker.book(REQUEST))
        assert not network.sent

    monkeypatch.setattr(scheduled_booking, "SUSPEND_SECONDS", 30.0)
    run_hosts(act, monkeypatch, answer_seconds=0.05)


def test_a_scheduler_is_asked_again_after_one_lost_reply(monkeypatch):
    async def act(network, members, scheduler, other, _):
        network.lose = lambda message: isinstance(message, Grant)
        end_both_stages(other, await other.booker.book(REQUEST))
        network.lose = lambda message: False
        monkeypatch.setattr(scheduled_booking, "REPLY_TIMEOUT_SECONDS", 30.0)
        assert (await other.booker.book(REQUEST)).reference is not None

    run_hosts(act, monkeypatch, answer_seconds=0.05)


def test_a_caller_that_disconnects_while_it_waits_leaves_nothing_booked(monkeypatch):
    async def act(_, members, scheduler, other, third):
        held = [await other.booker.book(REQUEST) for _ in range(2)]
        waiting = asyncio.ensure_future(third.booker.book(REQUEST))
        await run_pending_tasks()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        await run_pending_tasks()
        for booking in held:
            end_both_stages(other, booking)
        await run_pending_tasks()
        assert scheduler.open_work() == 0

    run_hosts(act, monkeypatch)


@pytest.mark.parametrize(
    ("seconds", "host_lost", "open_work"), [(0.1, False, 2), (30, False, 0), (0.1, True, 0)]
)
def test_a_booking_whose_end_is_lost_expires_with_its_request_or_host(
    monkeypatch, seconds, host_lost, open_work
):
    async def act(network, members, scheduler, other, _):
        booking = await other.booker.book(REQUEST)
        network.lose = lambda message: isinstance(message, End)
        end_both_stages(other, booking)
        if host_lost:
            members[:] = [item for item in members if item.host != other.booker._host]
        scheduler.booker._scheduler.drop_expired(asyncio.get_running_loop().time() + seconds)
        assert scheduler.open_work() == open_work

    run_hosts(act, monkeypatch)


def test_a_restarted_host_does_not_reuse_its_booking_numbers(monkeypatch):
    async def act(network, members, scheduler, other, _):
        held = await other.booker.book(REQUEST)
        restarted = Host(network, other.booker._host, members, TWO_ENGINES, seed=2)
        booking = await restarted.booker.book(REQUEST)
        assert booking.reference not in (None, held.reference)

    run_hosts(act, monkeypatch)


def test_the_scheduler_ejects_an_engine_that_failed_at_another_host(monkeypatch):
    engines = [("p", Role.PREFILL), ("q", Role.PREFILL), ("d", Role.DECODE)]

    async def act(_, members, scheduler, other, third):
        broken = []
        for _ in range(3):
            booking = await other.booker.book(REQUEST)
            broken.append(booking.reader)
            other.booker.end(booking, Stage.READ, Outcome.BROKEN, 0.1)
            other.booker.end(booking, Stage.DECODE, Outcome.CANCELLED, 0.1)
            await run_pending_tasks()
        assert broken == [broken[0]] * 3
        assert (await third.booker.book(REQUEST)).reader is not broken[0]

    run_hosts(act, monkeypatch, engines=engines)


def test_a_host_is_not_given_an_engine_that_it_cannot_use(monkeypatch):
    engines = [("p", Role.PREFILL), ("q", Role.PREFILL), ("d", Role.DECODE)]

    async def act(_, members, scheduler, other, third):
        chosen = (await other.booker.book(REQUEST)).reader
        other.state.note_refusal(chosen, asyncio.get_running_loop().time())
        assert (await other.booker.book(REQUEST)).reader is not chosen

    run_hosts(act, monkeypatch, engines=engines)


def test_a_draining_engine_is_not_used_even_if_the_scheduler_grants_it(monkeypatch):
    # The scheduler may not know that it is draining, if it cannot reach the store.
    engines = [("p", Role.PREFILL), ("d", Role.DECODE), ("e", Role.DECODE)]

    async def act(_, members, scheduler, other, third):
        for name in ("d", "e"):
            record = other.state.fleet.instances[name].record
            other.state.fleet.put(replace(record, leaving=True))
            found = await other.booker.book(REQUEST)
            if isinstance(found, Booking):
                assert not found.decoder.record.leaving
        assert isinstance(found, NoCapacity)
        await run_pending_tasks()
        # Grants that were not used were released.
        assert scheduler.open_work() <= 2

    run_hosts(act, monkeypatch, engines=engines)


def test_a_grant_of_an_engine_that_has_just_started_to_drain_is_released(monkeypatch):
    async def act(network, members, scheduler, other, third):
        record = other.state.fleet.instances["d"].record

        def start_to_drain(message):
            if isinstance(message, Grant):
                other.state.fleet.put(replace(record, leaving=True))
            return False

        network.lose = start_to_drain
        assert isinstance(await other.booker.book(REQUEST), NoCapacity)
        await run_pending_tasks()
        assert scheduler.open_work() == 0

    run_hosts(act, monkeypatch)


def test_short_prompts_do_not_wait_behind_long_ones(monkeypatch):
    async def act(_, members, scheduler, other, third):
        held = [await other.booker.book(REQUEST) for _ in range(2)]
        waiting = asyncio.ensure_future(other.booker.book(REQUEST))
        await run_pending_tasks()
        short = BookingRequest("s", "a", 100, "part", 1, False, 20.0, 1.0, 3.5)
        assert (await third.booker.book(short)).direct
        assert not waiting.done()
        assert isinstance(await waiting, NoCapacity)
        assert len(held) == 2

    run_hosts(act, monkeypatch)


@pytest.mark.parametrize(
    ("zones", "zone", "group"),
    [
        ("aaaa", "a", "a"),
        ("aaabbbb", "a", ""),
        ("bbbb", "a", ""),
        ("aaaabbbb", "b", "b"),
        ("", "a", ""),
    ],
)
def test_a_zone_with_enough_engines_is_scheduled_on_its_own(zones, zone, group):
    engines = [
        Instance(UpstreamRecord(f"e{n}", "s", ("h", 1), name, 10, False, Role.PREFILL))
        for n, name in enumerate(zones)
    ]
    assert find_scheduling_group(engines, zone) == group


def test_all_hosts_find_the_same_scheduler_and_another_one_without_it():
    members = [Member(f"h{n}", f"ip{n}", "ab"[n % 2]) for n in range(20)]
    first = find_scheduler(members, "s", "a")
    assert first.zone == "a"
    assert find_scheduler(members[::-1], "s", "a") == first
    rest = [item for item in members if item != first]
    assert find_scheduler(rest, "s", "a") not in (None, first)
    assert find_scheduler([], "s", "a") is None
    slow = [Member(f"h{n}", f"ip{n}", "a", 10.0) for n in range(9)]
    assert find_scheduler([*slow, Member("fast", "ip", "a", 200.0)], "s", "a").host == "fast"
    assert (is_large_fleet(16), is_large_fleet(17)) == (False, True)


@pytest.mark.parametrize(
    "message",
    [
        BookingQuery(
            1, BookingRequest("s", "a", 9, "p", 0, True, 1.5, 0.1, 0.2, True, frozenset({"e"}))
        ),
        Wait(2),
        Grant(3, "p", "d", 9000, 0.25),
        Grant(3, "p", "d", 9000, 0.25, 700, "e", 0.008),
        Refuse(4, 7, 0.5),
        End(5, Stage.DECODE, Outcome.REFUSED, 0.125),
    ],
)
def test_a_booking_message_is_unchanged_after_packing_and_unpacking(message):
    assert unpack_message(pack_message("host", message)) == ("host", message)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.one_of(st.binary(max_size=60), st.lists(st.integers(0, 6), max_size=14).map(bytes)))
def test_a_malformed_booking_datagram_raises_a_frame_error(noise):
    try:
        unpack_message(noise)
    except FrameError as error:
        assert error.code.name == "BAD_FRAME"
