"""Suspension of the machine: all timers and ages use a clock that includes suspended time.

Otherwise a host that was suspended between the record of an order and its sending would send it
after another host has taken the lease.
"""

import ast
import asyncio
import time
from pathlib import Path

import pytest

from swifttrestle.internal import clock
from swifttrestle.internal.boottime_loop import run_in_loop
from swifttrestle.internal.clock import MonotonicClock, read_boottime_seconds
from swifttrestle.internal.coordination.duties.duty_lease import SEND_SECONDS, DutyLeaseManager
from swifttrestle.internal.state.store_epochs import StoreEpochs, StoreRevision
from swifttrestle.platform.objects import StoredObject
from tests.common.fakes import make_skipped_entries

SOURCES = Path(clock.__file__).parents[1]
SUSPENDED_SECONDS = 7.0
FIRST = StoreRevision(0, 1)


@pytest.fixture
def suspension(monkeypatch):
    """Return a function that simulates a suspension of the machine for some seconds."""
    suspended = [0.0]

    def read(which):
        assert which == time.CLOCK_BOOTTIME
        return time.monotonic() + suspended[0]

    def suspend(seconds):
        suspended[0] += seconds

    monkeypatch.setattr(clock, "read_kernel_clock", read)
    return suspend


def test_the_clock_includes_suspended_time():
    assert read_boottime_seconds() == pytest.approx(time.clock_gettime(time.CLOCK_BOOTTIME), abs=5)
    assert MonotonicClock().now() == pytest.approx(read_boottime_seconds(), abs=5)


def test_a_timer_whose_delay_passes_during_a_suspension_is_due_after_it(suspension):
    async def work():
        loop = asyncio.get_running_loop()
        fired = []
        loop.call_later(SUSPENDED_SECONDS, fired.append, 1)
        suspension(SUSPENDED_SECONDS)
        await asyncio.sleep(0.01)
        return fired

    assert run_in_loop(work()) == [1]


def test_an_order_that_was_recorded_before_a_suspension_is_too_old_after_it(suspension):
    class StoreSuspendedInWrite:
        epochs = StoreEpochs()

        async def get(self, kind, name):
            return StoredObject(kind, name, FIRST, {"holder": "h1", "incarnation": 1, "token": 1,
                                                "orders": []})  # fmt: skip

        async def replace(self, kind, name, spec, revision):
            suspension(SUSPENDED_SECONDS)
            return StoredObject(kind, name, StoreRevision(0, 2), spec)

    async def work():
        manager = DutyLeaseManager(
            StoreSuspendedInWrite(), "roles", "h1", 1, 1.0, make_skipped_entries()
        )
        assert await manager.try_acquire()
        _, until = await manager.record("e1", "decode")
        return asyncio.get_running_loop().time() - until

    seconds_late = run_in_loop(work())
    assert seconds_late == pytest.approx(SUSPENDED_SECONDS - SEND_SECONDS, abs=1)


def test_no_source_reads_a_clock_that_stops_during_suspension():
    uses = [
        f"{path.relative_to(SOURCES)}:{node.lineno}"
        for path in SOURCES.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute) and node.attr in ("monotonic", "perf_counter")
    ]
    assert uses == []
