"""Keeps requests that crash upstreams from the others, and finds out which ones do."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Collection, Sequence

from swifttrestle.codes import Code
from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.crashes import CrashWatch
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quarantine import Quarantine, is_quarantined
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint
from swifttrestle.internal.transport.pool import ConnectionPool

# Seconds after which to ask again while another copy of the request is tried: about as long as a
# run that crashes its upstream takes until all hosts know of it.
TRIED_RETRY_SECONDS = 1.0
# Seconds after a crash for which the request under it is kept from the last upstream of its kind:
# about as long as a crashed one is away.
SPARED_SECONDS = 4.0

Teller = Callable[[Sequence[CrashRecord]], None]
AcquittalTeller = Callable[[RequestFingerprint, float, bool], None]


class CrashGuard:
    """One host's look at all attempts before they are sent and after they have ended."""

    def __init__(self, pool: ConnectionPool, quarantine: Quarantine, metrics: Metrics) -> None:
        """Look at upstreams through `pool`; keep what is known in `quarantine`."""
        self.watch = CrashWatch(pool, self._note_crash)
        self.quarantine = quarantine
        self._metrics = metrics
        # Quarantined requests that are tried here now.
        self._tried: set[RequestFingerprint] = set()
        # Whether no other upstream could take the work of one now, of those whose starts are not
        # among some that have crashed.
        self.is_last: Callable[[Instance, Collection[str]], bool] = _never
        # Asks whether a quarantined request may be tried now; returns 0, or the seconds to wait.
        self.request_trial: Callable[[RequestFingerprint], Awaitable[float]] = _allow_trial
        # Called with what this host found out: peers need it before the next attempt.
        self.announce_crash_records: Teller = do_nothing
        self.announce_clearance: AcquittalTeller = do_nothing

    async def check(self, ctx: Context) -> RequestFingerprint | None:
        """Return a request's name if something is held against it.

        Raises RefusedError for one that is kept from upstreams. Few requests wait here: those
        whose host and path are those of a request that was open at a crash, until their
        body is whole and tells whether they are the same.
        """
        name = await self._find_known(ctx)
        if name is None:
            return None
        case = self.quarantine.find(name)
        seconds = self.quarantine.find_wait(name, _now())
        if not seconds and case and is_quarantined(case):
            seconds = await self._find_trial_wait(name, ctx)
        if seconds:
            self._metrics.count("quarantine_refusals_total", service=ctx.service.name)
            ctx.note(f"quarantined {name}")
            raise ctx.refuse(Code.QUARANTINED, "upstreams crashed under this request", seconds)
        return name if case else None

    def _spare_last(
        self, ctx: Context, name: RequestFingerprint | None, instance: Instance
    ) -> None:
        """Keep a request under which an upstream has just crashed from the last one that is left.

        Its repeat would crash that as well, and nobody would be served until one is back. What has
        got part of its answer goes on.
        """
        case = self.quarantine.find(name) if name is not None else None
        if case is None or ctx.first_byte is not None:
            return
        if not self.is_last(instance, [crash.start for crash in case.crashes]):
            return
        seconds = case.last_crash_at + SPARED_SECONDS - _now()
        if seconds > 0:
            self._metrics.count("quarantine_refusals_total", service=ctx.service.name)
            ctx.note(f"the last upstream is spared {name}")
            raise ctx.refuse(Code.QUARANTINED, "an upstream crashed under this request", seconds)

    async def _find_trial_wait(self, name: RequestFingerprint, ctx: Context) -> float:
        """Return 0 where a quarantined request may be tried here now, or the seconds to wait."""
        if self._is_tried(name, ctx):
            return TRIED_RETRY_SECONDS
        if not ctx.on_trial:
            seconds = await self.request_trial(name)
            if seconds > 0:
                # Whoever tries it now has told all hosts by then whether it may go.
                return min(seconds, TRIED_RETRY_SECONDS)
            ctx.on_trial = True
        return 0.0

    def _is_tried(self, name: RequestFingerprint, ctx: Context) -> bool:
        """Return whether a quarantined request is tried now, or has been, in this very request.

        A try is one attempt: whether that ended its upstream may show only by a later start.
        """
        return name in self._tried or ctx.runs > 0 or ctx.lost_reads > 0

    @contextlib.asynccontextmanager
    async def attempt(
        self, ctx: Context, instance: Instance, *, acquits: bool = True
    ) -> AsyncIterator[None]:
        """Look at one attempt at an upstream; raise RefusedError where it must not be made.

        Where it `acquits`, its end without an error means that the request got its own answer.
        """
        if ctx.runs or ctx.lost_reads or await self._find_known(ctx) is not None:
            # Its attempt before this one may just have ended an upstream.
            await self.watch.finish_looks()
        name = await self.check(ctx)
        self._spare_last(ctx, name, instance)
        if name is not None:
            self._tried.add(name)
        try:
            with ctx.open_at(instance):
                yield
        finally:
            if name is not None:
                self._tried.discard(name)
        if acquits:
            await self._note_answered(ctx)

    def clear_crashes(self, name: RequestFingerprint, source: str = "its answer") -> None:
        """Take over that a request got its own answer here, and tell others of it."""
        case = self.quarantine.find(name)
        now = _now()
        if case is not None and self.apply_clearance(name, now, source):
            self.announce_clearance(name, now, is_quarantined(case))

    def report_crash(self, names: Sequence[RequestFingerprint], crash: Crash) -> None:
        """Take over a crash that this host saw, and tell others of it."""
        news = [name for name in names if self._note(name, (crash,), "own")]
        self.announce_crash_records(self._find_all(news))

    def merge_crash_records(self, cases: Sequence[CrashRecord], source: str) -> list[CrashRecord]:
        """Take over what is known elsewhere; return what is known now where that was news."""
        news = [case.name for case in cases if self._note(case.name, case.crashes, source)]
        return self._find_all(news)

    def apply_clearance(self, name: RequestFingerprint, at: float, source: str) -> bool:
        """Take over that a request got its own answer; return whether that was news."""
        if not self.quarantine.clear_crashes(name, at):
            return False
        log_event("request acquitted", name=str(name), source=source)
        return True

    def _find_all(self, names: Sequence[RequestFingerprint]) -> list[CrashRecord]:
        cases = (self.quarantine.find(name) for name in names)
        return [case for case in cases if case is not None]

    async def _find_known(self, ctx: Context) -> RequestFingerprint | None:
        """Return the request's name if something may be held against it."""
        if not len(self.quarantine):
            return None
        if not self.quarantine.knows_head(ctx.fingerprint_head):
            return None
        # A body that never gets whole ends with its caller's connection or the request's time.
        await ctx.request.body.wait_for_end()
        return ctx.name

    async def _note_answered(self, ctx: Context) -> None:
        # Whatever was heard of it while it ran counts as well.
        name = await self._find_known(ctx) if ctx.request.body.complete else None
        if name is not None:
            self.clear_crashes(name)

    def _note_crash(self, instance: Instance, names: Sequence[RequestFingerprint]) -> None:
        self._metrics.count("upstream_crashes_total", service=instance.record.service)
        self.report_crash(names, Crash(instance.name, _now()))

    def _note(self, name: RequestFingerprint, crashes: Sequence[Crash], source: str) -> bool:
        now = _now()
        if not self.quarantine.note(name, crashes, now):
            return False
        case = self.quarantine.find(name)
        if case is not None and is_quarantined(case):
            log_event(
                "request quarantined",
                name=str(name),
                source=source,
                crashes=[crash.start for crash in case.crashes],
                seconds=round(self.quarantine.find_wait(name, now), 1),
            )
        return True


async def _allow_trial(_: RequestFingerprint) -> float:
    """Let it be tried: nobody else could."""
    return 0.0


def _never(_: Instance, __: Collection[str]) -> bool:
    """Return that it is not."""
    return False


def _now() -> float:
    return asyncio.get_running_loop().time()
