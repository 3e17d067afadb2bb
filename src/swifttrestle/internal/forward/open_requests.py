"""The requests that this host owes an answer, and how each of them ends at a planned stop.

A request that waits (in a queue, between attempts, for a path, a peer or a quota) and may outlast
the process is refused as soon as that is known: another host can serve it. One that an upstream is
at work on goes on.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.forward.context import Context

# Retry-After, in seconds, of a stopping host. Short, since the caller retries at another one.
STOPPING_RETRY_SECONDS = 0.05
# Seconds before its kill at which the process exits even with open requests, and their maximum
# share of the time that it has.
KILL_MARGIN_SECONDS = 0.4
MAX_KILL_MARGIN_SHARE = 1 / 12
# Seconds before its exit at which the last answers are written, and their maximum share.
WRITE_MARGIN_SECONDS = 0.2
MAX_WRITE_MARGIN_SHARE = 1 / 24
# Seconds from the start of a stop until new callers are no longer sent here, and their maximum
# share of the time: the load balancer checks readiness once a second and removes a host after two
# failures.
DEREGISTRATION_SECONDS = 2.5
MAX_DEREGISTRATION_SHARE = 0.5


@dataclass(frozen=True)
class StopTimes:
    """Times of a planned stop, in the loop's time.

    At `last_wait` the load balancer has removed the host. Requests that may outlast the process
    wait for an upstream until then, all others until `last_answer`; the process exits at `end`.
    """

    last_wait: float
    last_answer: float
    end: float


def plan_stop(now: float, seconds: float) -> StopTimes:
    """Return the times of a stop that begins now, `seconds` before the process is killed."""
    end = now + seconds - min(KILL_MARGIN_SECONDS, seconds * MAX_KILL_MARGIN_SHARE)
    return StopTimes(
        last_wait=now + min(DEREGISTRATION_SECONDS, seconds * MAX_DEREGISTRATION_SHARE),
        last_answer=end - min(WRITE_MARGIN_SECONDS, seconds * MAX_WRITE_MARGIN_SHARE),
        end=end,
    )


@dataclass(eq=False)
class OpenRequest:
    """One request without an answer yet; `scope` ends its service early."""

    ctx: Context
    scope: asyncio.Timeout
    stopped: bool = False


class OpenRequests:
    """The open requests of this host, which a planned stop works off."""

    def __init__(self, find_run_seconds: Callable[[str], float]) -> None:
        """Expect a run on a route to take the time that `find_run_seconds` returns."""
        self._find_run_seconds = find_run_seconds
        self._open: set[OpenRequest] = set()
        self._times: StopTimes | None = None

    def begin_stop(self, times: StopTimes) -> None:
        """Begin a planned stop; the first call holds."""
        if self._times is None:
            self._times = times

    @contextlib.contextmanager
    def enter(self, ctx: Context, scope: asyncio.Timeout) -> Iterator[OpenRequest]:
        """Register a request for as long as it is served."""
        item = OpenRequest(ctx, scope)
        self._open.add(item)
        try:
            yield item
        finally:
            self._open.discard(item)

    def check(self, route: str, seconds: float, now: float) -> None:
        """Raise RefusedError for a new request that may outlast the process.

        `seconds` is the longest time for which its route lets it take.
        """
        if self._times is not None and self._outlasts(route, now + seconds, now):
            raise RefusedError(
                Code.STOPPING, "this host is stopping; retry at another one", STOPPING_RETRY_SECONDS
            )

    def work_off(self, now: float) -> None:
        """End the requests that this host can no longer serve."""
        for item in self._open:
            if self._must_end(item, now):
                item.stopped = True
                item.scope.reschedule(now)

    def _must_end(self, item: OpenRequest, now: float) -> bool:
        ctx = item.ctx
        # One whose deadline has passed is about to be answered.
        is_ending = item.stopped or item.scope.expired()
        if self._times is None or is_ending or ctx.answer.begun:
            return False
        if now >= self._times.last_answer:
            return True
        # What may have run gets no such promise: its caller is better off waiting for an answer.
        waits = not ctx.open_calls and not ctx.may_have_run
        return waits and self._outlasts(ctx.route.name, ctx.deadline, now)

    def _outlasts(self, route: str, deadline: float, now: float) -> bool:
        """Return whether a request that was not sent yet may not be over before the end.

        Before the last wait, one is kept if a run of usual length would be.
        """
        assert self._times is not None
        if deadline <= self._times.last_answer:
            return False
        return (
            now >= self._times.last_wait
            or now + self._find_run_seconds(route) > self._times.last_answer
        )
