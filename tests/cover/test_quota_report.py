"""What entries report on quotas, and the lines of `swifttrestle-ctl status` on them."""

import pytest

from swifttrestle.internal.entry import quota_reporter
from swifttrestle.internal.entry.quota_reporter import QuotaReporter, find_interval
from swifttrestle.internal.entry.quotas import EntryQuotas
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.quota_report import (
    QUOTA_STATUS,
    QuotaReport,
    describe_quotas,
    read_quota_report,
)
from swifttrestle.internal.workspace_quota import WorkspaceQuota
from swifttrestle.resources import Workspace
from tests.common.fakes import FakeApi, FakeClock

QUOTA = WorkspaceQuota(rate_per_s=50.0, burst=80.0, unit="tokens")
LIMIT = "quota w1: 50 tokens a second, burst 80"


def report(admitted=0, refused=0, rate=50.0, at=100.0):
    seen = {"rate_per_s": rate, "burst": 80.0, "unit": "tokens", "window_seconds": 8.0}
    seen |= {"admitted": admitted, "refused": refused}
    return QuotaReport(at, 8.0, {"w1": seen})


@pytest.mark.parametrize(
    ("reports", "lines"),
    [
        ({}, [f"{LIMIT}; reported by no entry"]),
        ({"n1": QuotaReport(100.0, 8.0, {})}, [f"{LIMIT}; reported by no entry"]),
        (
            {"n2": report(30, 1), "n1": report(12, 2)},
            [f"{LIMIT}; in 8 s 42 tokens admitted, 3 refused; reported by n1, n2"],
        ),
        (
            {"n1": report(12), "n2": report(5, at=60.0)},
            [
                f"{LIMIT}; in 8 s 12 tokens admitted, 0 refused; reported by n1",
                "quotas: no report of n2 for 41 s",
            ],
        ),
        (
            {"n1": report(rate=20.0)},
            [
                f"{LIMIT}; in 8 s 0 tokens admitted, 0 refused; reported by n1",
                "  n1 enforces 20 tokens a second",
            ],
        ),
    ],
    ids=["none", "without the workspace", "two", "silent", "earlier quota"],
)
def test_status_sums_up_what_entries_report(reports, lines):
    assert list(describe_quotas({"w1": QUOTA}, reports, 101.0)) == lines


def test_status_has_no_line_on_quotas_if_none_is_declared():
    assert list(describe_quotas({}, {"n1": report(at=0.0)}, 101.0)) == []


@pytest.mark.parametrize(("entries", "seconds"), [(1, 8.0), (160, 8.0), (395, 19.75)])
def test_large_fleets_report_less_often(entries, seconds):
    """Guards against reports that use up the platform's limit of writes."""
    assert find_interval(entries) == seconds


class ReportedEntry:
    """The quotas of one entry, and its reporter."""

    def __init__(self):
        self.api = FakeApi()
        self.quotas = EntryQuotas("n1", FakeClock(), Metrics(), lambda: ["n1"])
        self.reporter = QuotaReporter(self.api, "n1", self.quotas)

    def declare(self, quota):
        workspace = Workspace(name="w1", key_sha256=("0" * 64,), quota=quota)
        self.quotas.configure({"w1": workspace})

    def read(self):
        stored = self.api.objects.get((QUOTA_STATUS, "n1"))
        return None if stored is None else read_quota_report(stored.spec)


def test_an_entry_reports_its_quotas_until_none_is_in_force(monkeypatch):
    monkeypatch.setattr(quota_reporter.time, "time", lambda: 100.0)
    entry = ReportedEntry()
    entry.reporter.report(8.0)
    assert (entry.read(), entry.api.writes) == (None, 0)
    entry.declare(QUOTA)
    entry.reporter.report(8.0)
    assert entry.read() == QuotaReport(100.0, 8.0, entry.quotas.describe())
    entry.declare(None)
    entry.reporter.report(8.0)
    assert entry.read() is None


def test_an_entry_that_stops_deletes_its_report():
    entry = ReportedEntry()
    entry.declare(QUOTA)
    entry.reporter.report(8.0)
    entry.reporter.stop()
    assert entry.read() is None


def test_a_report_that_the_platform_did_not_take_is_written_later():
    entry = ReportedEntry()
    entry.declare(QUOTA)
    entry.api.down = True
    entry.reporter.report(8.0)
    entry.api.down = False
    entry.reporter.report(8.0)
    assert entry.read() is not None
