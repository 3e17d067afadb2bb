"""Detects requests and prompt parts that crash upstreams, and quarantines them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Collection, Sequence

from swifttrestle.codes import Code
from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.forward.context import Context
from swifttrestle.internal.forward.crash_detection import CrashDetector
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.quarantine import Quarantine
from swifttrestle.internal.policy.quarantine_periods import concerns_all_hosts
from swifttrestle.internal.state.crash_records import Crash, CrashRecord, OpenRequest
from swifttrestle.internal.state.fingerprints import Fingerprint
from swifttrestle.internal.state.fleet import Instance
from swifttrestle.internal.transport.pool import ConnectionPool

# Retry time while another copy of a quarantined request is tried: about as long as it takes until
# all hosts know of a crash.
TRIAL_RETRY_SECONDS = 1.0
# Seconds after a crash for which the request is not sent to the last available upstream: about as
# long as the crashed one takes to restart.
LAST_UPSTREAM_HOLD_SECONDS = 4.0

# Seconds by which a request with several quarantined parts is tried later than those with one.
SEVERAL_PARTS_DELAY_SECONDS = 5.0

RecordsCallback = Callable[[Sequence[CrashRecord]], None]
ClearanceCallback = Callable[[Fingerprint, float, bool], None]


class CrashGuard:
    """Checks all attempts of a host before they are sent and after they have ended."""

    def __init__(self, pool: ConnectionPool, quarantine: Quarantine, metrics: Metrics) -> None:
        """Probe upstreams through `pool`; record crashes in `quarantine`."""
        self.detector = CrashDetector(pool, self._note_crash)
        self.quarantine = quarantine
        self._metrics = metrics
        # What is tried in requests of this host now, and may be quarantined.
        self._trials: set[Fingerprint] = set()
        # Returns whether no upstream could take over for an instance; those in the collection have
        # crashed and do not count.
        self.is_last: Callable[[Instance, Collection[str]], bool] = _never
        # Asks whether a quarantined request may be tried; returns 0, or the seconds to wait.
        self.request_trial: Callable[[Fingerprint], Awaitable[float]] = _allow_trial
        # Called with the crashes and clearances that this host detects, to notify its peers.
        self.announce_crash_records: RecordsCallback = do_nothing
        self.announce_clearance: ClearanceCallback = do_nothing

    async def check(self, ctx: Context) -> list[Fingerprint]:
        """Return what of a request was open at a crash; refuse a quarantined request.

        That is its fingerprint, and those of the parts of its prompt. Requests that share the
        method, host, path and workspace of one that was open at a crash wait here until their body
        is complete. Raises RefusedError.
        """
        suspects = await self._find_suspects(ctx)
        held = [item for item in suspects if self.quarantine.needs_trial(item)]
        if not held:
            return suspects
        seconds = self._find_wait(held)
        if not seconds:
            seconds = await self._find_trial_wait(held, ctx)
        if seconds:
            self._metrics.count("quarantine_refusals_total", service=ctx.service.name)
            ctx.note(f"quarantined {', '.join(map(str, held))}")
            raise ctx.refuse(Code.QUARANTINED, "upstreams crashed during this request", seconds)
        return suspects

    def holds_back(self, ctx: Context) -> bool:
        """Return whether another attempt of a request would be refused as quarantined."""
        return any(map(self.quarantine.needs_trial, ctx.describe_open().fingerprints))

    def _find_wait(self, held: Sequence[Fingerprint]) -> float:
        """Return the seconds until a request may be tried in which these are quarantined.

        With several quarantined parts a crash would not show which one is to blame. So prompts
        that have just one of them are tried first.
        """
        now = _now()
        if sum(item.is_part for item in held) > 1:
            now -= SEVERAL_PARTS_DELAY_SECONDS
        return max(self.quarantine.find_wait(item, now) for item in held)

    def _protect_last(
        self, ctx: Context, suspects: Sequence[Fingerprint], instance: Instance
    ) -> None:
        """Refuse a request that may have just crashed an upstream if only one other is available.

        It could crash that as well and make the service unavailable. A request that has got part of
        its answer continues.
        """
        if ctx.first_byte is not None:
            return
        for fingerprint in suspects:
            record = self.quarantine.find(fingerprint)
            if record is None or not self.quarantine.may_crash_last(fingerprint):
                continue
            if not self.is_last(instance, [crash.start for crash in record.crashes]):
                continue
            seconds = record.last_crash_at + LAST_UPSTREAM_HOLD_SECONDS - _now()
            if seconds > 0:
                self._metrics.count("quarantine_refusals_total", service=ctx.service.name)
                ctx.note(f"last upstream protected from {fingerprint}")
                message = "an upstream crashed during this request"
                raise ctx.refuse(Code.QUARANTINED, message, seconds)

    async def _find_trial_wait(self, held: Sequence[Fingerprint], ctx: Context) -> float:
        """Return 0 if this host may try a quarantined request now, or the seconds to wait."""
        if any(self._has_trial(item, ctx) for item in held):
            return TRIAL_RETRY_SECONDS
        if not ctx.is_trial:
            for fingerprint in held:
                seconds = await self.request_trial(fingerprint)
                if seconds > 0:
                    # After TRIAL_RETRY_SECONDS, all hosts know the result of the current trial.
                    return min(seconds, TRIAL_RETRY_SECONDS)
            ctx.is_trial = True
        return 0.0

    def _has_trial(self, fingerprint: Fingerprint, ctx: Context) -> bool:
        """Return whether a quarantined request is being tried, or has been by this very request.

        A trial is a single attempt, since a crash may be detected only by the upstream's restart.
        """
        return fingerprint in self._trials or ctx.runs > 0 or ctx.failed_prefills > 0

    @contextlib.asynccontextmanager
    async def attempt(
        self, ctx: Context, instance: Instance, *, is_final_answer: bool = True
    ) -> AsyncIterator[None]:
        """Guard one attempt at an upstream; raise RefusedError if it must not be made.

        `is_final_answer` is whether an attempt that ends without an error answers the request.
        """
        if ctx.runs or ctx.failed_prefills or await self._find_suspects(ctx):
            # The previous attempt may just have crashed an upstream.
            await self.detector.wait_for_probes()
        suspects = await self.check(ctx)
        self._protect_last(ctx, suspects, instance)
        # A harmless part that was open at a crash is in many requests at once.
        tried = [item for item in suspects if not item.is_part or self.quarantine.needs_trial(item)]
        self._trials.update(tried)
        try:
            with ctx.record_cancellation(instance):
                yield
        finally:
            self._trials.difference_update(tried)
        if is_final_answer:
            await self._record_answer(ctx)

    def clear_crashes(self, fingerprint: Fingerprint, source: str = "its answer") -> None:
        """Record that a request got its answer here, and notify other hosts."""
        now = _now()
        cleared = self.apply_clearance(fingerprint, now, source)
        if cleared is not None:
            self.announce_clearance(fingerprint, now, concerns_all_hosts(cleared))

    def report_crash(self, fingerprints: Sequence[Fingerprint], crash: Crash) -> None:
        """Record a crash that this host detected, and notify other hosts."""
        new_fingerprints = [
            fingerprint
            for fingerprint in fingerprints
            if self._record_crashes(fingerprint, (crash,), "own")
        ]
        self.announce_crash_records(self._find_all(new_fingerprints))

    def merge_crash_records(self, records: Sequence[CrashRecord], source: str) -> list[CrashRecord]:
        """Merge records from elsewhere; return the resulting records of those that were new."""
        new_fingerprints = [
            record.name
            for record in records
            if self._record_crashes(record.name, record.crashes, source)
        ]
        return self._find_all(new_fingerprints)

    def apply_clearance(
        self, fingerprint: Fingerprint, at: float, source: str
    ) -> CrashRecord | None:
        """Record that a request got its answer; return the record that this cleared, if any."""
        cleared = self.quarantine.clear_crashes(fingerprint, at)
        # A harmless part is open at most crashes.
        if cleared is not None and (not fingerprint.is_part or concerns_all_hosts(cleared)):
            event = "prompt part acquitted" if fingerprint.is_part else "request acquitted"
            log_event(event, name=str(fingerprint), source=source)
        return cleared

    def _find_all(self, fingerprints: Sequence[Fingerprint]) -> list[CrashRecord]:
        records = (self.quarantine.find(fingerprint) for fingerprint in fingerprints)
        return [record for record in records if record is not None]

    async def _find_suspects(self, ctx: Context) -> list[Fingerprint]:
        """Return the fingerprints of a request and of its prompt's parts that were at a crash."""
        if not len(self.quarantine):
            return []
        own = await self._find_suspect(ctx)
        candidates = (*(() if own is None else (own,)), *ctx.part_fingerprints)
        return [item for item in candidates if item in self.quarantine]

    async def _find_suspect(self, ctx: Context) -> Fingerprint | None:
        """Return the request's fingerprint if a request with the same head was open at a crash."""
        if not self.quarantine.knows_head(ctx.fingerprint_head):
            return None
        # Ends at the latest when the caller disconnects or the deadline passes.
        await ctx.request.body.wait_for_end()
        return ctx.fingerprint

    async def _record_answer(self, ctx: Context) -> None:
        # Crashes may have been reported while the request ran.
        fingerprint = await self._find_suspect(ctx) if ctx.request.body.complete else None
        if fingerprint is not None:
            self.clear_crashes(fingerprint)
        # An engine that continued an answer may have had little left to write.
        if not ctx.stream_written or ctx.first_byte is None or not ctx.part_fingerprints:
            return
        self._clear_parts(ctx)

    def _clear_parts(self, ctx: Context) -> None:
        for part in ctx.part_fingerprints:
            self.clear_crashes(part)

    def _note_crash(self, instance: Instance, requests: Sequence[OpenRequest]) -> None:
        self._metrics.count("upstream_crashes_total", service=instance.record.service)
        # Several open prompts may have the same part.
        fingerprints = dict.fromkeys(name for item in requests for name in item.fingerprints)
        self.report_crash(list(fingerprints), Crash(instance.name, _now()))

    def _record_crashes(
        self, fingerprint: Fingerprint, crashes: Sequence[Crash], source: str
    ) -> bool:
        now = _now()
        if not self.quarantine.note(fingerprint, crashes, now):
            return False
        record = self.quarantine.find(fingerprint)
        if record is not None and self.quarantine.needs_trial(fingerprint):
            log_event(
                "prompt part quarantined" if fingerprint.is_part else "request quarantined",
                name=str(fingerprint),
                source=source,
                crashes=[crash.start for crash in record.crashes],
                seconds=round(self.quarantine.find_wait(fingerprint, now), 1),
            )
        return True


async def _allow_trial(_: Fingerprint) -> float:
    """Allow the trial: the default without peers."""
    return 0.0


def _never(_: Instance, __: Collection[str]) -> bool:
    return False


def _now() -> float:
    return asyncio.get_running_loop().time()
