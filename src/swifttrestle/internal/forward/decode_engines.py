"""Chooses decode engines for requests; streams that have begun wait for one of their version."""

import asyncio
from collections.abc import Collection

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.engine_admission import (
    MAX_RETRY_AFTER_SECONDS,
    MAX_RETRY_AFTER_SHARE,
    MIN_RETRY_AFTER_SECONDS,
)
from swifttrestle.internal.forward.gateway_state import GatewayState
from swifttrestle.internal.policy.placement import pick_decode_engine
from swifttrestle.internal.policy.version_return import choose_return_delay, predict_return
from swifttrestle.internal.policy.waiting import LATE_WAIT_LIMIT_SHARE, find_caller_timeout
from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance

# Seconds between two looks for a decode engine of a version that has none.
POLL_SECONDS = 0.1


class DecodeEngines:
    """Chooses decode engines for the requests of all model services."""

    def __init__(self, state: GatewayState) -> None:
        """Use the host's shared state."""
        self._state = state

    async def take(self, ctx: Context, reason: str) -> Instance:
        """Return a decode engine; raise RefusedError if there is none.

        A stream that has begun waits for one of its version that may be back in time.
        """
        while True:
            now = _now()
            try:
                return self.pick(ctx, reason, now)
            except RefusedError:
                predicted = self._predict_return(ctx, now)
                if predicted is None or not self.may_wait(ctx, max(predicted, POLL_SECONDS)):
                    raise
            await asyncio.sleep(POLL_SECONDS)

    def pick(self, ctx: Context, reason: str, now: float) -> Instance:
        """Return a decode engine that takes requests now; raise RefusedError if there is none."""
        decoder = self._find(ctx, now)
        if decoder is None:
            raise self._refuse(ctx, reason, now)
        return decoder

    def may_wait(self, ctx: Context, seconds: float) -> bool:
        """Return whether a stream that is taken up may wait for so long before its first event."""
        if ctx.build is None or ctx.may_have_run:
            return False
        longest = min(ctx.age + ctx.seconds_left, find_caller_timeout(ctx.route))
        return ctx.age + seconds < longest * LATE_WAIT_LIMIT_SHARE

    def have_all_restarted(self, ctx: Context) -> bool:
        """Return whether all listed engines of a stream's version are known to have restarted."""
        listed = self._state.fleet.list_service(ctx.service.name)
        fitting = [item for item in listed if item.record.build == ctx.build]
        return bool(fitting) and all(item.restarted_unlisted for item in fitting)

    def can_begin(self, ctx: Context, build: str) -> bool:
        """Return whether a decode engine of a version could begin a request's stream now."""
        now = _now()
        engines = self._state.list_usable(ctx.service.name, now, ctx.urgent, build)
        return self._choose(ctx, engines, ctx.excluded, now, may_queue=False) is not None

    def has_other(self, ctx: Context, usable: list[Instance], excluded: Collection[str]) -> bool:
        """Return whether one of the usable engines could continue a request's answer."""
        fitting = [item for item in usable if item.may_continue(ctx.build)]
        return self._choose(ctx, fitting, excluded, _now(), may_queue=False) is not None

    def _find(self, ctx: Context, now: float) -> Instance | None:
        if ctx.build is None:
            engines = self._state.list_usable(ctx.service.name, now, ctx.urgent)
            return self._choose(ctx, engines, ctx.excluded, now, may_queue=False)
        # A stream that has begun has no choice of other versions.
        engines = self._state.list_accepting(ctx.service.name, now, ctx.urgent, ctx.build)
        failing = {item.name for item in engines if self._state.ejector.is_ejected(item.name, now)}
        sound = [item for item in engines if item.name not in failing]
        found = self._choose(ctx, sound, ctx.excluded, now, may_queue=True)
        if found is not None or not failing:
            return found
        # Rather one that may fail again than none.
        reached = [
            item
            for item in engines
            if item.name in failing
            and item.takes_work(Role.DECODE, now)
            and self._state.prober.may_be_reached(item)
        ]
        return self._choose(ctx, reached, ctx.excluded, now, may_queue=True)

    def _choose(
        self,
        ctx: Context,
        engines: list[Instance],
        excluded: Collection[str],
        now: float,
        may_queue: bool,
    ) -> Instance | None:
        return pick_decode_engine(
            engines,
            self._state.zone,
            excluded,
            now,
            urgent=ctx.urgent,
            may_queue=may_queue,
            topology=self._state.fleet.topology,
        )

    def _predict_return(self, ctx: Context, now: float) -> float | None:
        """Return the seconds until a version has a decode engine, None if it has none at all."""
        engines = [
            item
            for item in self._state.fleet.list_service(ctx.service.name)
            if item.may_continue(ctx.build)
        ]
        return predict_return(
            engines,
            now,
            lambda item: self._state.conditions.find_wait_seconds(item, now, ctx.urgent),
        )

    def _refuse(self, ctx: Context, reason: str, now: float) -> RefusedError:
        held_seconds = self._state.find_wait_seconds(
            ctx.service.name, now, (Role.DECODE,), ctx.urgent
        )
        code = Code.UPSTREAMS_HELD if held_seconds else Code.UPSTREAM_REFUSED
        seconds = held_seconds
        if ctx.build is not None:
            longest = min(MAX_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SHARE * ctx.seconds_left)
            predicted = self._predict_return(ctx, now)
            seconds = choose_return_delay(predicted, longest, self._state.rng.random())
        return ctx.refuse(code, reason, max(MIN_RETRY_AFTER_SECONDS, seconds))


def _now() -> float:
    return asyncio.get_running_loop().time()
