"""Forwards requests to plain services."""

import asyncio
import functools
from collections.abc import Collection
from dataclasses import dataclass

from swifttrestle.codes import Code
from swifttrestle.errors import (
    FailedByUpstreamError,
    RefusedError,
    UpstreamBrokenError,
    UpstreamBusyError,
    UpstreamError,
    UpstreamHeldError,
    UpstreamLeavingError,
    UpstreamSilentError,
    UpstreamUnreachedError,
)
from swifttrestle.internal.forward.attempt import AttemptPlan, make_attempt
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.events import EventRelay
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.forward.path_waiting import RETRY_SECONDS, may_connect_later
from swifttrestle.internal.policy.distance import Distance
from swifttrestle.internal.policy.placement import pick_plain_instance
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance, OpenWork
from swifttrestle.internal.transport.silence import SilenceLimit
from swifttrestle.platform.wire import ForwardingHeaders

# Timeout of an attempt that may be repeated, as a share of the time to the deadline. Below one
# half, so that a second attempt still has time.
FIRST_ATTEMPT_SHARE = 0.45
# Retry-After where the request did not run. About one request's work.
RETRY_AFTER_SECONDS = 0.1
# Maximum rejections of one request. They show that the service is full.
MAX_REJECTIONS = 2
# Further rejections where the next instance is in another region: those before show only that the
# service is full in this one.
MAX_REJECTIONS_OTHER_REGION = 1
ONE_REQUEST = OpenWork(0, 1)


@dataclass
class _Course:
    """How the attempts of one request went; `reason` is that of the last failure.

    `charged` is whether the next attempt has been taken from the retry budget or needs none,
    `left_silent` whether a silent instance was given up, and `unreached` whether the last
    connection may be made a little later.
    """

    reason: str
    charged: bool = False
    left_silent: bool = False
    unreached: bool = False
    waits: int = 0


class PlainForwarder:
    """Sends a request to an instance, and to another one if it may be repeated."""

    def __init__(self, state: GatewayState) -> None:
        """Use the host's shared state."""
        self._state = state

    async def serve(self, ctx: Context) -> None:
        """Serve one request; raise RefusedError if it cannot be served."""
        loop = asyncio.get_running_loop()
        self._state.budgets.find(ctx.service.name).note_request(loop.time())
        course = _Course(f"service {ctx.service.name} has no available instance")
        while True:
            instance = self._choose(ctx, loop.time())
            if instance is None or not self._may_attempt(ctx, loop.time(), course, instance):
                await self._wait_or_refuse(ctx, course)
                continue
            ctx.note(
                f"to {instance.name} {self._state.measure(instance).value} "
                f"open={instance.total.requests}"
            )
            try:
                await self._attempt(ctx, instance)
                return
            except UpstreamError as error:
                self._record_failure(ctx, instance, error, course)

    def _record_failure(
        self, ctx: Context, instance: Instance, error: UpstreamError, course: _Course
    ) -> None:
        """Record a failed attempt and what it leaves to the next one."""
        course.reason = str(error)
        ctx.note(course.reason)
        now = asyncio.get_running_loop().time()
        match error:
            case UpstreamHeldError():
                course.charged = True
                return
            case UpstreamUnreachedError():
                # Nothing was sent, so the next attempt is no repeat.
                ctx.sent_attempts -= 1
                course.charged = True
                course.unreached = error.may_be_path
                self._note_broken(ctx, instance, error)
                ctx.excluded.add(instance.name)
                return
            case UpstreamLeavingError():
                self._state.remove_replaced(instance)
            case UpstreamBusyError():
                self._state.note_refusal(instance, now)
            case UpstreamBrokenError():
                self._note_broken(ctx, instance, error)
        ctx.excluded.add(instance.name)
        course.charged = ctx.use_reserved_retry()
        course.left_silent = course.left_silent or isinstance(error, UpstreamSilentError)

    async def _wait_or_refuse(self, ctx: Context, course: _Course) -> None:
        """Wait before instances are tried again; raise RefusedError if that is of no use.

        A silent instance that was left goes on in a moment, if it was sound; so do those that no
        connection reached, which may have been a lost packet.
        """
        left_silent = course.left_silent and ctx.runs < ctx.route.max_attempts
        waits_for_path = course.unreached and may_connect_later(ctx)
        if ctx.answer.begun or not (left_silent or waits_for_path):
            raise self._refuse(ctx, course.reason, asyncio.get_running_loop().time())
        await asyncio.sleep(RETRY_SECONDS * 2**course.waits)
        course.waits += 1 if left_silent else 0
        ctx.excluded.clear()

    def _refuse(self, ctx: Context, reason: str, now: float) -> RefusedError:
        """Return the error for a request that may be sent to no further instance."""
        wait_seconds = self._state.find_wait_seconds(
            ctx.service.name, now, (Role.NONE,), ctx.urgent
        )
        if wait_seconds:
            reason = f"no instance accepts requests for another {wait_seconds:.2f} s"
            return ctx.refuse(Code.UPSTREAMS_HELD, reason, wait_seconds)
        return ctx.refuse(Code.NO_UPSTREAM, reason, RETRY_AFTER_SECONDS)

    def _choose(self, ctx: Context, now: float) -> Instance | None:
        usable = self._state.list_usable(ctx.service.name, now, ctx.urgent, ctx.build)
        return self._pick(usable, ctx.excluded, now)

    def _may_attempt(self, ctx: Context, now: float, course: _Course, instance: Instance) -> bool:
        """Return whether another attempt may be made, and take it from the retry budget."""
        if ctx.sent_attempts == 0:
            return True
        if ctx.may_have_run and not ctx.repeatable:
            return False
        if ctx.runs >= ctx.route.max_attempts:
            return False
        if ctx.answer.begun:
            return False
        max_rejections = MAX_REJECTIONS
        if self._state.measure(instance) is Distance.OTHER_REGION:
            max_rejections += MAX_REJECTIONS_OTHER_REGION
        if ctx.sent_attempts - ctx.runs >= max_rejections and not course.left_silent:
            return False
        return course.charged or self._state.budgets.find(ctx.service.name).take(now)

    def _reserve_replacement(self, ctx: Context, instance: Instance) -> bool:
        """Return whether another instance takes over from a silent one, and reserve its retry."""
        if not ctx.may_run_again or self._state.guard.holds_back(ctx):
            return False
        return self._state.reserve_takeover(ctx, instance, self._has_other)

    def _has_other(self, usable: list[Instance], excluded: Collection[str]) -> bool:
        return self._pick(usable, excluded, asyncio.get_running_loop().time()) is not None

    def _pick(
        self, usable: list[Instance], excluded: Collection[str], now: float
    ) -> Instance | None:
        state = self._state
        return pick_plain_instance(
            usable, state.zone, excluded, now, state.rng, state.fleet.topology
        )

    async def _attempt(self, ctx: Context, instance: Instance) -> None:
        silence = SilenceLimit(
            ctx.seconds_left * FIRST_ATTEMPT_SHARE,
            functools.partial(self._reserve_replacement, ctx, instance),
            ctx.withdraw_retry,
        )
        now = asyncio.get_running_loop().time()
        may_retry = ctx.may_run_again and self._state.budgets.find(ctx.service.name).allows(now)
        plan = AttemptPlan(
            instance,
            ForwardingHeaders(instance.record.instance, ctx.seconds_left),
            silence,
            retry_failure=may_retry,
        )
        relay = None
        if ctx.route.streaming:
            relay = EventRelay(ctx.route.resumable, self._state.metrics, self._state.streams)
        instance.own = instance.own.plus(ONE_REQUEST)
        self._state.ejector.note_use(instance.name, now)
        try:
            async with self._state.attempt(ctx, instance):
                ctx.sent_attempts += 1
                await make_attempt(ctx, self._state.pool, plan, relay)
            self._state.ejector.note_success(instance.name, asyncio.get_running_loop().time())
        finally:
            instance.own = instance.own.minus(ONE_REQUEST)

    def _note_broken(self, ctx: Context, instance: Instance, error: UpstreamBrokenError) -> None:
        if error.sent:
            ctx.runs += 1
        if not isinstance(error, FailedByUpstreamError):
            now = asyncio.get_running_loop().time()
            self._state.note_broken(ctx, instance, now, error)
