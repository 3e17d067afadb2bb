"""Requests to plain services."""

import asyncio

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
from swifttrestle.internal.policy.placement import pick_plain
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance, OpenWork
from swifttrestle.platform.wire import ForwardingHeaders

# A silent first attempt of a repeatable request ends at this share of what is left, so that
# a second one still has time.
FIRST_ATTEMPT_SHARE = 0.45
# Seconds after which a caller may come back where nothing ran: about one request's work.
RETRY_AFTER_SECONDS = 0.1
# Rejected arrivals of one request before it is given up; they say that the service is full.
MOST_REJECTIONS = 2
ONE = OpenWork(0, 1)


class PlainForwarder:
    """Chooses an instance, and another one where the first proved not to have run."""

    def __init__(self, parts: GatewayState) -> None:
        """Use the host's shared parts."""
        self._state = parts

    async def serve(self, ctx: Context) -> None:
        """Serve one request; raise RefusedError where it is given up on."""
        loop = asyncio.get_running_loop()
        budget = self._state.budgets.find(ctx.service.name)
        budget.note_request(loop.time())
        last = "there is no instance"
        paid = False
        while True:
            instance = self._choose(ctx, loop.time())
            if instance is None or not (paid or self._may_try(ctx, loop.time())):
                raise self._refuse(ctx, last, loop.time())
            ctx.note(f"to {instance.name} open={instance.total.requests}")
            try:
                await self._try(ctx, instance)
                return
            except UpstreamHeldError as error:
                # Nothing was sent: what this attempt cost the budget pays for the next one.
                paid = True
                last = str(error)
                ctx.note(last)
                continue
            except UpstreamLeavingError as error:
                self._state.note_gone(instance)
                last = str(error)
            except UpstreamBusyError as error:
                self._state.note_refusal(instance, loop.time())
                last = str(error)
            except UpstreamBrokenError as error:
                last = str(error)
                self._note_broken(ctx, instance, error)
            ctx.note(last)
            ctx.excluded.add(instance.name)
            paid = False

    def _refuse(self, ctx: Context, reason: str, now: float) -> RefusedError:
        """Return the final answer where no instance may be tried."""
        hold = self._state.find_wait_seconds(ctx.service.name, now, (Role.NONE,), ctx.urgent)
        if hold:
            reason = "each instance takes nothing now by its own word"
            return ctx.refuse(Code.UPSTREAMS_HELD, reason, hold)
        return ctx.refuse(Code.NO_UPSTREAM, reason, RETRY_AFTER_SECONDS)

    def _choose(self, ctx: Context, now: float) -> Instance | None:
        usable = self._state.list_usable(ctx.service.name, now, ctx.urgent)
        return pick_plain(usable, self._state.zone, ctx.excluded, now, self._state.rng)

    def _may_try(self, ctx: Context, now: float) -> bool:
        if ctx.arrivals == 0:
            return True
        if ctx.may_have_run and not ctx.repeatable:
            return False
        if ctx.runs >= ctx.route.max_attempts:
            return False
        if ctx.arrivals - ctx.runs >= MOST_REJECTIONS or ctx.reply.started:
            return False
        return self._state.budgets.find(ctx.service.name).take(now)

    async def _try(self, ctx: Context, instance: Instance) -> None:
        last = ctx.runs + 1 >= ctx.route.max_attempts or not ctx.repeatable
        patience = ctx.left if last else ctx.left * FIRST_ATTEMPT_SHARE
        now = asyncio.get_running_loop().time()
        again = not last and self._state.budgets.find(ctx.service.name).allows(now)
        plan = AttemptPlan(
            instance,
            ForwardingHeaders(instance.record.instance, ctx.left),
            patience,
            retry_failure=again,
        )
        relay = EventRelay(ctx.route.resumable, patience) if ctx.route.streaming else None
        instance.own = instance.own.plus(ONE)
        self._state.ejector.note_use(instance.name, now)
        try:
            async with self._state.attempt(ctx, instance):
                ctx.arrivals += 1
                await make_attempt(ctx, self._state.pool, plan, relay)
            self._state.ejector.note_success(instance.name, asyncio.get_running_loop().time())
        finally:
            instance.own = instance.own.minus(ONE)

    def _note_broken(self, ctx: Context, instance: Instance, error: UpstreamBrokenError) -> None:
        if error.sent:
            ctx.runs += 1
        if not isinstance(error, FailedByUpstreamError):
            now = asyncio.get_running_loop().time()
            self._state.note_broken(ctx, instance, now, error)
