"""The duty of reporting usage: hosts tell what they count, one of them writes down and reports."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from swifttrestle.errors import LeaseLostError
from swifttrestle.internal.coordination.duty_lease import DutyLeaseManager
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.policy.usage_windows import (
    list_due_windows,
    list_unacknowledged_reports,
    may_have_been_reported,
)
from swifttrestle.internal.protocol.usage import split_counts, unpack_counts
from swifttrestle.internal.state.duties import DutyLease, RecordedUsage, UsageDraft
from swifttrestle.internal.state.median_clock import MedianClock
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.usage import KEPT_WINDOWS, UsageMeter, find_window
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket
from swifttrestle.platform.duties import CallOutcome, DutyApiClient, LeaseCredentials

# Seconds between two words of a host on what it has counted; each word repeats the one before.
TELL_SECONDS = 1.0
# Seconds after a window's end until which it is told again.
REPORTED_PEER_TIMEOUT_SECONDS = 2.0
# Seconds between two writes of what is counted of the open windows: what is lost with all hosts at
# once. A write costs one call to the store.
DRAFT_SECONDS = 2.0


class UsageDuty:
    """Counts, tells, gathers, and reports while this host holds the lease of the duties."""

    def __init__(
        self,
        source: str,
        socket: PeerSocket,
        lease: DutyLeaseManager,
        calls: DutyApiClient | None,
        list_collectors: Callable[[], Sequence[Member]],
        holds_duties: Callable[[], bool],
        has_workspaces: Callable[[], bool],
        true_time: MedianClock,
        seconds: float,
        metrics: Metrics,
    ) -> None:
        """Count windows of so many `seconds`; without `calls` or seconds nothing is counted.

        `list_collectors` returns the holder of the duties and those who would follow it, without
        this host.
        """
        self.meter = UsageMeter(source)
        self._socket = socket
        self._lease = lease
        self._calls = calls
        self._list_collectors = list_collectors
        self._holds_duties = holds_duties
        self._has_workspaces = has_workspaces
        self._true_time = true_time
        self._seconds = seconds
        self._metrics = metrics
        self._told: set[str] = set()
        self._drafted_at = float("-inf")
        socket.receive(DatagramKind.USAGE, lambda data, _: self.meter.take(unpack_counts(data)))

    def count_request(self, workspace: str) -> None:
        """Count one request that has begun to run now."""
        if self._calls is not None and self._seconds:
            self.meter.note(workspace, self._find_window(self._true_time.now()))

    async def run(self) -> None:
        """Tell and report for as long as the process lives."""
        if self._calls is None or not self._seconds:
            return
        while True:
            await asyncio.sleep(TELL_SECONDS)
            if not self._has_workspaces():
                continue
            self._tell()
            if self._holds_duties() and self._lease.lease is not None:
                try:
                    await self._report(self._calls)
                except LeaseLostError as error:
                    log_event("usage reports wait", reason=str(error))

    def describe(self) -> list[dict[str, Any]]:
        """Return the windows that are written down, and those that are counted here, oldest first.

        Only the holder of the duties hears of all hosts' counts.
        """
        lease = self._lease.lease
        reported = lease.usage if lease else ()
        written = {item.window for item in reported}
        told = [
            {
                "window": item.window,
                "state": "taken" if item.taken else "not acknowledged",
                "counts": dict(item.counts),
            }
            for item in reported
        ]
        counted = [
            {"window": window, "state": "counted", "counts": self.meter.sum(window)}
            for window in self.meter.list_windows()
            if window not in written
        ]
        return told + counted

    def _find_window(self, at: float) -> int:
        return find_window(at, self._seconds)

    # Telling.

    def _tell(self) -> None:
        now = self._true_time.now()
        self.meter.forget_before(self._find_window(now) - KEPT_WINDOWS)
        fresh = range(
            self._find_window(now - REPORTED_PEER_TIMEOUT_SECONDS), self._find_window(now) + 1
        )
        collectors = self._list_collectors()
        for member in collectors:
            # One who has just come to gather has heard nothing of the windows before.
            windows = fresh if member.host in self._told else self.meter.list_windows()
            for counts in self.meter.list_own(windows):
                for part in split_counts(counts):
                    self._socket.send(member.ip, DatagramKind.USAGE, part)
        self._told = {member.host for member in collectors}

    # Reporting.

    async def _report(self, calls: DutyApiClient) -> None:
        lease = self._lease.lease
        assert lease is not None
        counted = self._list_counted(lease)
        due = list_due_windows(counted, lease.usage, self._true_time.now(), self._seconds)
        until = float("-inf")
        if due:
            until = await self._lease.write_down(lambda held: self._add_reports(held, due))
            self._drafted_at = _now()
        elif list_unacknowledged_reports(lease.usage):
            # The lease is shown to be held still, right before what it covers is sent again.
            until = await self._lease.write_down(lambda held: held)
        elif _now() - self._drafted_at >= DRAFT_SECONDS:
            self._drafted_at = _now()
            await self._lease.write_down(self._add_drafts)
        for report in list_unacknowledged_reports(
            self._lease.lease.usage if self._lease.lease else ()
        ):
            if _now() > until:
                log_event("usage not sent", window=report.window, reason="its time was over")
                return
            await self._send(calls, report)

    def _list_counted(self, lease: DutyLease) -> list[int]:
        """Return the windows of which anything is known, by hosts or by drafts of dead ones."""
        drafted = {item.window for item in lease.drafts}
        return sorted(drafted | set(self.meter.list_windows()))

    def _add_reports(self, lease: DutyLease, due: Sequence[int]) -> DutyLease:
        drafts = {item.window: item for item in lease.drafts}
        for window in due:
            counts = self.meter.sum_with_draft(window, drafts.get(window))
            doubtful = self._is_doubtful(window)
            if doubtful:
                log_event("usage left out", window=window, reason="it may have been reported")
            lease = lease.with_usage(RecordedUsage(window, counts, taken=doubtful))
        return self._add_drafts(lease)

    def _is_doubtful(self, window: int) -> bool:
        """Return whether a window may have been reported without a word of it being left."""
        until = self._true_time.now() - _now() + self._lease.unknown_until
        return may_have_been_reported(window, until, self._seconds)

    def _add_drafts(self, lease: DutyLease) -> DutyLease:
        """Write down what is counted so far of the windows that are not reported yet."""
        before = {item.window: item for item in lease.drafts}
        written = {item.window for item in lease.usage}
        windows = [item for item in self._list_counted(lease) if item not in written]
        drafts = []
        for window in windows:
            known = before.get(window)
            sources = set(self.meter.list_sources(window)) | set(known.sources if known else ())
            counts = self.meter.sum_with_draft(window, known)
            drafts.append(UsageDraft(window, counts, tuple(sorted(sources))))
        return replace(lease, drafts=tuple(drafts))

    async def _send(self, calls: DutyApiClient, report: RecordedUsage) -> None:
        lease = self._lease.lease
        if lease is None:
            return
        outcome = await calls.report_usage(
            LeaseCredentials(lease.holder, lease.token), report.window, report.counts
        )
        self._metrics.count("usage_reports_total", outcome=outcome.value)
        log_event(
            "usage reported",
            window=report.window,
            requests=sum(report.counts.values()),
            workspaces=len(report.counts),
            token=lease.token,
            outcome=outcome.value,
        )
        if outcome in (CallOutcome.TAKEN, CallOutcome.REFUSED):
            # A refused one is not taken later either; it is written down with the next report.
            self._lease.note_usage(replace(report, taken=True))


def _now() -> float:
    return asyncio.get_running_loop().time()
