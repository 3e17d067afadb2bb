"""The output of `swifttrestle-ctl status` on quotas, from the reports of the entries."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from swifttrestle.internal.workspace_quota import WorkspaceQuota

QUOTA_STATUS = "QuotaStatus"
# Intervals without a new report after which an entry counts as silent.
MAX_MISSED_REPORTS = 3


@dataclass(frozen=True)
class QuotaReport:
    """What one entry reports; `quotas` has its state dump by workspace.

    `at` is the Unix time of the report, and `interval` the seconds to the next one.
    """

    at: float
    interval: float
    quotas: Mapping[str, Mapping[str, Any]]

    def is_silent(self, now: float) -> bool:
        """Return whether later reports are missing at a Unix time."""
        return now - self.at > MAX_MISSED_REPORTS * self.interval


def read_quota_report(spec: Mapping[str, Any]) -> QuotaReport:
    """Return the report of a stored object."""
    return QuotaReport(spec["at"], spec["interval"], spec["quotas"])


def describe_quotas(
    declared: Mapping[str, WorkspaceQuota], reports: Mapping[str, QuotaReport], now: float
) -> Iterator[str]:
    """Yield the lines on the declared quotas, with the reports by entry at a Unix time."""
    live = {name: report for name, report in reports.items() if not report.is_silent(now)}
    for workspace, quota in sorted(declared.items()):
        found = {name: live[name].quotas.get(workspace) for name in sorted(live)}
        yield from _describe_quota(workspace, quota, {n: item for n, item in found.items() if item})
    for name in sorted(set(reports) - set(live)) if declared else ():
        yield f"quotas: no report of {name} for {now - reports[name].at:.0f} s"


def _describe_quota(
    workspace: str, quota: WorkspaceQuota, found: Mapping[str, Mapping[str, Any]]
) -> Iterator[str]:
    limit = f"{quota.rate_per_s:g} {quota.unit} a second, burst {quota.burst:g}"
    if not found:
        yield f"quota {workspace}: {limit}; reported by no entry"
        return
    admitted = sum(item["admitted"] for item in found.values())
    refused = sum(item["refused"] for item in found.values())
    window = max(item["window_seconds"] for item in found.values())
    yield (
        f"quota {workspace}: {limit}; in {window:g} s {admitted} {quota.unit} admitted, "
        f"{refused} refused; reported by {', '.join(found)}"
    )
    for name, item in found.items():
        if any(item[field] != value for field, value in vars(quota).items()):
            yield f"  {name} enforces {item['rate_per_s']:g} {item['unit']} a second"
