"""The times of a planned stop, and what waits at an entry of the own interface then."""

import asyncio
import contextlib
import math
import threading
from types import SimpleNamespace

import pytest

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.clock import MonotonicClock
from swifttrestle.internal.entry.admission_queue import (
    MAX_STOP_WAIT_SHARE,
    AdmissionRequest,
    BlockingAdmissionQueue,
)
from swifttrestle.internal.entry.requests import RequestTerms
from swifttrestle.internal.forward.open_requests import OpenRequests, plan_stop
from swifttrestle.internal.policy.admission import Admission, AdmissionResult, Decision
from swifttrestle.internal.policy.routing import RequestEstimate

STOP_SECONDS = 0.6


@pytest.mark.parametrize("seconds", [0.0, 0.5, 2.0, 8.0, 60.0])
def test_a_stop_works_off_what_is_owed_in_order(seconds):
    times = plan_stop(100.0, seconds)
    assert 100.0 <= times.last_wait <= times.last_answer <= times.end <= 100.0 + seconds


@pytest.mark.parametrize("seconds", [0.5, 2.0, 8.0, 60.0])
def test_an_answer_goes_on_into_the_last_sixth_of_a_stop(seconds):
    assert plan_stop(0.0, seconds).last_answer > seconds * 5 / 6


def test_a_request_whose_deadline_has_just_passed_does_not_disturb_the_stop():
    # Guards against a stop that ends by an error, which would cut all other requests.
    async def run():
        loop = asyncio.get_running_loop()
        requests = OpenRequests(lambda _: 0.0)
        requests.begin_stop(plan_stop(loop.time() - 10.0, 8.0))
        scope = asyncio.timeout(0.01)
        with contextlib.suppress(TimeoutError), requests.enter(make_waiting_request(), scope):
            async with scope:
                try:
                    await asyncio.sleep(60)
                finally:
                    requests.work_off(loop.time())
                    await asyncio.sleep(0.01)

    asyncio.run(run())


def make_waiting_request():
    return SimpleNamespace(
        answer=SimpleNamespace(begun=False), open_calls=0, may_have_run=False,
        route=SimpleNamespace(name="r"), deadline=math.inf,
    )  # fmt: skip


class NeverAdmitted(Admission):
    """Lets all requests wait."""

    def decide(self, *_):
        return AdmissionResult(Decision.WAIT, (), 1.0)


def wait_in(queue, deadline):
    """Wait in the queue; return the code of the refusal, and the seconds that it took."""
    clock = MonotonicClock()
    began = clock.now()
    terms = RequestTerms("", "w", "normal", deadline, began, repeatable=True)
    request = AdmissionRequest(
        terms, RequestEstimate(1, 1, "normal"), NeverAdmitted(), 10, list, lambda _: False
    )
    with pytest.raises(RefusedError) as refusal:
        queue.admit("model", request)
    return refusal.value, clock.now() - began


@pytest.mark.parametrize(
    ("deadline", "code"),
    [(60.0, Code.STOPPING), (STOP_SECONDS / 2, Code.DEADLINE_PASSED)],
    ids=["outlasts the stop", "ends before"],
)
def test_a_request_in_an_entrys_queue_is_refused_before_the_entry_ends(deadline, code):
    # Guards against requests that wait in an entry until its process is gone.
    queue = BlockingAdmissionQueue(MonotonicClock())
    stop = threading.Timer(0.05, queue.stop, [STOP_SECONDS])
    stop.start()
    refusal, seconds = wait_in(queue, deadline)
    stop.join()
    assert refusal.code is code
    assert seconds < 0.05 + STOP_SECONDS


def test_a_request_in_an_entrys_queue_waits_for_part_of_the_stop():
    queue = BlockingAdmissionQueue(MonotonicClock())
    queue.stop(STOP_SECONDS)
    refusal, seconds = wait_in(queue, 60.0)
    assert seconds >= STOP_SECONDS * MAX_STOP_WAIT_SHARE
    assert refusal.retry_after is not None
