"""Usage reports: hosts send counts to the holder of the duty lease, which reports the sums."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from swifttrestle.errors import LeaseLostError
from swifttrestle.internal.coordination.duties.duty_lease import DutyLeaseManager
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

# Time between two messages of a host with its counts, which are cumulative.
SEND_INTERVAL_SECONDS = 1.0
# Time after a window's end until which its counts are sent again.
RESEND_SECONDS = 2.0
# Time between two writes of drafts of open windows to the lease. If all hosts fail at once, counts
# since the last write are lost.
DRAFT_INTERVAL_SECONDS = 2.0


class UsageDuty:
    """Counts requests, collects counts, and reports them while this host holds the duty lease."""

    def __init__(
        self,
        source: str,
        socket: PeerSocket,
        lease: DutyLeaseManager,
        api_client: DutyApiClient | None,
        list_collectors: Callable[[], Sequence[Member]],
        holds_lease: Callable[[], bool],
        has_workspaces: Callable[[], bool],
        clock: MedianClock,
        window_seconds: float,
        metrics: Metrics,
    ) -> None:
        """Set up; nothing is counted if `api_client` is None or `window_seconds` is 0.

        `list_collectors` returns the holder of the duty lease and its standbys, without this host.
        """
        self.meter = UsageMeter(source)
        self._socket = socket
        self._lease = lease
        self._api_client = api_client
        self._list_collectors = list_collectors
        self._holds_lease = holds_lease
        self._has_workspaces = has_workspaces
        self._clock = clock
        self._window_seconds = window_seconds
        self._metrics = metrics
        self._known_collectors: set[str] = set()
        self._drafted_at = float("-inf")
        socket.set_receiver(
            DatagramKind.USAGE, lambda data, _: self.meter.take(unpack_counts(data))
        )

    def count_request(self, workspace: str) -> None:
        """Count one request that has just started to run."""
        if self._api_client is not None and self._window_seconds:
            self.meter.note(workspace, self._find_window(self._clock.now()))

    async def run(self) -> None:
        """Send counts and reports periodically; return at once if nothing is counted."""
        if self._api_client is None or not self._window_seconds:
            return
        while True:
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
            if not self._has_workspaces():
                continue
            self._send_counts()
            if self._holds_lease() and self._lease.lease is not None:
                try:
                    await self._report(self._api_client)
                except LeaseLostError as error:
                    log_event("usage reports wait", reason=str(error))

    def describe(self) -> list[dict[str, Any]]:
        """Return the recorded windows, then those that are only counted, oldest first.

        Counts of all hosts are complete only at the holder of the duty lease.
        """
        lease = self._lease.lease
        reports = lease.usage if lease else ()
        recorded = {item.window for item in reports}
        reported = [
            {
                "window": item.window,
                "state": "taken" if item.taken else "not acknowledged",
                "counts": dict(item.counts),
            }
            for item in reports
        ]
        counted = [
            {"window": window, "state": "counted", "counts": self.meter.sum(window)}
            for window in self.meter.list_windows()
            if window not in recorded
        ]
        return reported + counted

    def _find_window(self, at: float) -> int:
        return find_window(at, self._window_seconds)

    # Sending of counts.

    def _send_counts(self) -> None:
        now = self._clock.now()
        self.meter.drop_before(self._find_window(now) - KEPT_WINDOWS)
        recent = range(self._find_window(now - RESEND_SECONDS), self._find_window(now) + 1)
        collectors = self._list_collectors()
        for member in collectors:
            # A new collector also gets the earlier windows.
            windows = recent if member.host in self._known_collectors else self.meter.list_windows()
            for counts in self.meter.list_own(windows):
                for part in split_counts(counts):
                    self._socket.send(member.ip, DatagramKind.USAGE, part)
        self._known_collectors = {member.host for member in collectors}

    # Reporting.

    async def _report(self, api_client: DutyApiClient) -> None:
        lease = self._lease.lease
        assert lease is not None
        counted = self._list_counted(lease)
        due = list_due_windows(counted, lease.usage, self._clock.now(), self._window_seconds)
        until = float("-inf")
        if due:
            until = await self._lease.write_change(lambda held: self._add_reports(held, due))
            self._drafted_at = _now()
        elif list_unacknowledged_reports(lease.usage):
            # Each send, also a repeated one, must follow shortly after a write of the lease.
            until = await self._lease.write_change(lambda held: held)
        elif _now() - self._drafted_at >= DRAFT_INTERVAL_SECONDS:
            self._drafted_at = _now()
            await self._lease.write_change(self._add_drafts)
        for report in list_unacknowledged_reports(
            self._lease.lease.usage if self._lease.lease else ()
        ):
            if _now() > until:
                log_event(
                    "usage not sent",
                    window=report.window,
                    reason="lease last written too long ago",
                )
                return
            await self._send_report(api_client, report)

    def _list_counted(self, lease: DutyLease) -> list[int]:
        """Return the windows for which there are counts of hosts or drafts."""
        drafted = {item.window for item in lease.drafts}
        return sorted(drafted | set(self.meter.list_windows()))

    def _add_reports(self, lease: DutyLease, due: Sequence[int]) -> DutyLease:
        drafts = {item.window: item for item in lease.drafts}
        for window in due:
            counts = self.meter.sum_with_draft(window, drafts.get(window))
            may_be_reported = self._may_have_been_reported(window)
            if may_be_reported:
                log_event("usage left out", window=window, reason="may have been reported already")
            lease = lease.with_usage(RecordedUsage(window, counts, taken=may_be_reported))
        return self._add_drafts(lease)

    def _may_have_been_reported(self, window: int) -> bool:
        """Return whether a window may have been reported by a holder whose record is lost."""
        until = self._clock.now() - _now() + self._lease.unknown_until
        return may_have_been_reported(window, until, self._window_seconds)

    def _add_drafts(self, lease: DutyLease) -> DutyLease:
        """Return the lease with drafts of the counts of all windows that are not reported yet."""
        known_drafts = {item.window: item for item in lease.drafts}
        reported = {item.window for item in lease.usage}
        windows = [item for item in self._list_counted(lease) if item not in reported]
        drafts = []
        for window in windows:
            known = known_drafts.get(window)
            sources = set(self.meter.list_sources(window)) | set(known.sources if known else ())
            counts = self.meter.sum_with_draft(window, known)
            drafts.append(UsageDraft(window, counts, tuple(sorted(sources))))
        return replace(lease, drafts=tuple(drafts))

    async def _send_report(self, api_client: DutyApiClient, report: RecordedUsage) -> None:
        lease = self._lease.lease
        if lease is None:
            return
        outcome = await api_client.report_usage(
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
            # A refused report is not sent again. The next write of the lease records the outcome.
            self._lease.update_usage(replace(report, taken=True))


def _now() -> float:
    return asyncio.get_running_loop().time()
