"""Forwards requests to plain services."""

import asyncio
import functools

from swifttrestle.codes import Code
from swifttrestle.errors import (
    FailedByUpstreamError,
    RefusedError,
    UpstreamBrokenError,
    UpstreamBusyError,
    UpstreamHeldError,
    UpstreamLeavingError,
)
from swifttrestle.internal.forward.attempt import AttemptPlan, make_attempt
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.events import EventRelay
from swifttrestle.internal.forward.gateway_state import GatewayState
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
ONE_REQUEST = OpenWork(0, 1)


class PlainForwarder:
    """Sends a request to an instance, and to another one if it may be repeated."""

    def __init__(self, state: GatewayState) -> None:
        """Use the host's shared state."""
        self._state = state

    async def serve(self, ctx: Context) -> None:
        """Serve one request; raise RefusedError if it cannot be served."""
        loop = asyncio.get_running_loop()
        budget = self._state.budgets.find(ctx.service.name)
        budget.note_request(loop.time())
        last_reason = f"service {ctx.service.name} has no available instance"
        budget_charged = False
        while True:
            instance = self._choose(ctx, loop.time())
            if instance is None or not (budget_charged or self._may_attempt(ctx, loop.time())):
                raise self._refuse(ctx, last_reason, loop.time())
            ctx.note(f"to {instance.name} open={instance.total.requests}")
            try:
                await self._attempt(ctx, instance)
                return
            except UpstreamHeldError as error:
                # Nothing was sent, so the next attempt takes nothing from the retry budget.
                budget_charged = True
                last_reason = str(error)
                ctx.note(last_reason)
                continue
            except UpstreamLeavingError as error:
                self._state.remove_replaced(instance)
                last_reason = str(error)
            except UpstreamBusyError as error:
                self._state.note_refusal(instance, loop.time())
                last_reason = str(error)
            except UpstreamBrokenError as error:
                last_reason = str(error)
                self._note_broken(ctx, instance, error)
            ctx.note(last_reason)
            ctx.excluded.add(instance.name)
            budget_charged = ctx.use_reserved_retry()

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
        usable = self._state.list_usable(ctx.service.name, now, ctx.urgent)
        return pick_plain_instance(usable, self._state.zone, ctx.excluded, now, self._state.rng)

    def _may_attempt(self, ctx: Context, now: float) -> bool:
        if ctx.sent_attempts == 0:
            return True
        if ctx.may_have_run and not ctx.repeatable:
            return False
        if ctx.runs >= ctx.route.max_attempts:
            return False
        if ctx.sent_attempts - ctx.runs >= MAX_REJECTIONS or ctx.reply.started:
            return False
        return self._state.budgets.find(ctx.service.name).take(now)

    def _reserve_replacement(self, ctx: Context, instance: Instance) -> bool:
        """Return whether another instance takes over from a silent one, and reserve its retry."""
        if not ctx.repeatable or ctx.runs + 1 >= ctx.route.max_attempts:
            return False
        now = asyncio.get_running_loop().time()
        usable = self._state.list_usable(ctx.service.name, now, ctx.urgent)
        excluded = ctx.excluded | {instance.name}
        if pick_plain_instance(usable, self._state.zone, excluded, now, self._state.rng) is None:
            return False
        return ctx.reserve_retry(self._state.budgets.find(ctx.service.name).take(now))

    async def _attempt(self, ctx: Context, instance: Instance) -> None:
        is_last = ctx.runs + 1 >= ctx.route.max_attempts or not ctx.repeatable
        silence = SilenceLimit(
            ctx.seconds_left * FIRST_ATTEMPT_SHARE,
            functools.partial(self._reserve_replacement, ctx, instance),
        )
        now = asyncio.get_running_loop().time()
        may_retry = not is_last and self._state.budgets.find(ctx.service.name).allows(now)
        plan = AttemptPlan(
            instance,
            ForwardingHeaders(instance.record.instance, ctx.seconds_left),
            silence,
            retry_failure=may_retry,
        )
        relay = EventRelay(ctx.route.resumable) if ctx.route.streaming else None
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
