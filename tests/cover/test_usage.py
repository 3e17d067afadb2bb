"""Usage counts: windows, merging of hosts' counts, drafts, and records on the duty lease."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from swifttrestle.errors import BadEntryError, FrameError
from swifttrestle.internal.policy.usage_windows import (
    COLLECT_SECONDS,
    REPORT_DEADLINE_SECONDS,
    list_due_windows,
    list_unacknowledged_reports,
)
from swifttrestle.internal.protocol.usage import (
    WORKSPACES_PER_PART,
    split_counts,
    unpack_counts,
)
from swifttrestle.internal.state.duties import (
    KEPT_REPORTS,
    DutyLease,
    RecordedCapacity,
    RecordedOrder,
    RecordedUsage,
    UsageDraft,
    read_duty_lease,
)
from swifttrestle.internal.state.usage import UsageMeter, WindowCounts, find_window

# Windows of five seconds: the end of window 10 is at 55 s.
WINDOW_SECONDS, WINDOW_END_SECONDS = 5.0, 55.0


@pytest.mark.parametrize(
    ("at", "wanted"), [(50.0, 10), (54.999, 10), (55.0, 11), (1_767_225_600.0, 353_445_120)]
)
def test_windows_divide_unix_time(at, wanted):
    assert find_window(at, WINDOW_SECONDS) == wanted


@pytest.mark.parametrize(
    ("counted", "written", "now", "wanted"),
    [
        ([10], [], WINDOW_END_SECONDS, []),
        # A window is due only after the time for late counts.
        ([10], [], WINDOW_END_SECONDS + COLLECT_SECONDS - 0.1, []),
        ([10], [], WINDOW_END_SECONDS + COLLECT_SECONDS, [10]),
        ([8, 9, 10], [8], WINDOW_END_SECONDS + COLLECT_SECONDS, [9, 10]),
        # Windows without requests after the last report are due too.
        ([], [8], WINDOW_END_SECONDS + COLLECT_SECONDS, [9, 10]),
        ([], [], WINDOW_END_SECONDS + COLLECT_SECONDS, []),
        # The platform accepts no reports of windows that ended long ago.
        ([1, 10], [], WINDOW_END_SECONDS + COLLECT_SECONDS, [10]),
        ([], [1], WINDOW_END_SECONDS + REPORT_DEADLINE_SECONDS, [11, 12, 13, 14, 15]),
    ],
)
def test_windows_are_due_after_the_time_for_late_counts(counted, written, now, wanted):
    reports = [RecordedUsage(window, {}) for window in written]
    assert list_due_windows(counted, reports, now, WINDOW_SECONDS) == wanted


def test_unacknowledged_reports_are_sent_again():
    first, second = RecordedUsage(1, {"a": 1}, taken=True), RecordedUsage(2, {"a": 2})
    assert list_unacknowledged_reports([first, second]) == [second]


def test_counts_are_correct_with_lost_repeated_or_late_messages():
    meter = UsageMeter("here 1")
    meter.note("club", 10)
    for counts in ({"club": 2}, {"club": 3, "liaison": 1}, {"club": 2}):
        meter.take(WindowCounts("there 1", 10, counts))
    assert meter.sum(10) == {"club": 4, "liaison": 1}
    # Counts of another incarnation of the same host are added.
    meter.take(WindowCounts("there 2", 10, {"club": 5}))
    assert meter.sum(10) == {"club": 9, "liaison": 1}
    assert meter.list_own([9, 10]) == [WindowCounts("here 1", 10, {"club": 1})]
    meter.drop_before(11)
    assert meter.list_windows() == []


@pytest.mark.parametrize(
    ("reported", "draft", "wanted"),
    [
        ({"h1 1": 4}, None, 4),
        # All sources of the draft still report, and their counts include the draft's.
        ({"h1 1": 4, "h2 1": 3}, (5, ("h1 1", "h2 1")), 7),
        # All sources of the draft are dead; other incarnations report.
        ({"h1 2": 4}, (5, ("h1 1", "h2 1")), 9),
        ({}, (5, ("h1 1",)), 5),
        # One source of the draft is dead.
        ({"h1 1": 4, "h3 1": 2}, (5, ("h1 1", "h2 1")), 7),
    ],
)
def test_counts_of_dead_hosts_are_taken_from_the_draft(reported, draft, wanted):
    meter = UsageMeter("here 1")
    for source, count in reported.items():
        meter.take(WindowCounts(source, 10, {"club": count}))
    stored = UsageDraft(10, {"club": draft[0]}, draft[1]) if draft else None
    assert meter.sum_with_draft(10, stored).get("club", 0) == wanted


def test_counts_of_many_workspaces_are_split_into_several_datagrams():
    counts = {f"workspace-{number:03}": number + 1 for number in range(120)}
    parts = list(split_counts(WindowCounts("h1 1", 10, counts)))
    assert len(parts) == -(-120 // WORKSPACES_PER_PART)
    assert all(len(part) <= 1400 for part in parts)
    meter = UsageMeter("here 1")
    for part in parts:
        meter.take(unpack_counts(part))
    assert meter.sum(10) == counts


@given(st.binary(max_size=80))
def test_arbitrary_bytes_are_parsed_as_counts_or_rejected(data):
    try:
        unpack_counts(data)
    except FrameError:
        return


LEASE = DutyLease(
    "h1@10.0.0.1",
    7,
    3,
    (RecordedOrder(4, "e1", "prefill"),),
    (RecordedCapacity("s", "a", True, 12, 29),),
    (RecordedUsage(10, {"club": 3}, True), RecordedUsage(11, {"club": 2})),
    (UsageDraft(12, {"club": 1}, ("h1 7",)),),
    9,
)


def test_a_lease_is_read_as_it_was_written_also_by_an_earlier_version():
    assert read_duty_lease(LEASE.spec()) == LEASE
    earlier = {"holder": "h", "incarnation": 1, "token": 2, "orders": []}
    assert read_duty_lease(earlier) == DutyLease("h", 1, 2)


@pytest.mark.parametrize(
    "change",
    [
        {"capacity": {}},
        {"capacity": [{"service": "s"}]},
        {"capacity": [{**vars(LEASE.capacity[0]), "count": -1}]},
        {"usage": [{"window": 1, "counts": {"club": -1}, "taken": True}]},
        {"usage": [{"window": 1, "counts": {"club": True}, "taken": True}]},
        {"usage": [{"window": "1", "counts": {}, "taken": True}]},
        {"drafts": [{"window": 1, "counts": {}}]},
        {"writes": -1},
    ],
)
def test_an_invalid_part_of_a_lease_is_rejected(change):
    with pytest.raises(BadEntryError):
        read_duty_lease({**LEASE.spec(), **change})


def test_a_report_replaces_its_draft_and_the_oldest_reports_are_dropped():
    lease = LEASE.with_usage(RecordedUsage(12, {"club": 4}))
    assert lease.drafts == ()
    for window in range(13, 13 + KEPT_REPORTS):
        lease = lease.with_usage(RecordedUsage(window, {}))
    assert [item.window for item in lease.usage] == list(range(13, 13 + KEPT_REPORTS))


def test_an_order_replaces_the_last_one_of_its_service_zone_and_kind():
    lease = LEASE.with_capacity(RecordedCapacity("s", "a", False, 1, 29))
    lease = lease.with_capacity(RecordedCapacity("s", "a", True, 13, 29))
    assert [(item.reclaimable, item.count) for item in lease.capacity] == [(False, 1), (True, 13)]
