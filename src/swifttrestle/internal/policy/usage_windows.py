"""Decides which usage windows to report now.

Counts come in from all hosts, some of them late or never. A report may have been sent by a former
holder of the duty. Sending a second, different report for a window is an error that cannot be
undone, while a missing report only loses its window.
"""

from collections.abc import Collection, Sequence

from swifttrestle.internal.state.duties import RecordedUsage

# Seconds after a window's end at which its counts are recorded: enough for several reports of each
# host, and early enough for the platform's deadline.
COLLECT_SECONDS = 2.5
# Seconds after its end from which a window that was never recorded is dropped: the platform
# rejects later reports.
REPORT_DEADLINE_SECONDS = 30.0


def list_unacknowledged_reports(reports: Sequence[RecordedUsage]) -> list[RecordedUsage]:
    """Return the recorded reports without an acknowledgement, to be resent unchanged."""
    return [item for item in reports if not item.taken]


def may_have_been_reported(window: int, until: float, seconds: float) -> bool:
    """Return whether a former holder whose records are lost may have reported a window.

    It may have acted until the Unix time `until`. Its report cannot be repeated unchanged, so the
    window is not reported again.
    """
    return (window + 1) * seconds + COLLECT_SECONDS <= until


def list_due_windows(
    counted_windows: Collection[int],
    reports: Sequence[RecordedUsage],
    now: float,
    seconds: float,
) -> list[int]:
    """Return the windows of `seconds` that are due to be recorded at the Unix time `now`.

    After the first report each window is due, even one without requests: otherwise it could not
    be distinguished from one whose report is missing.
    """
    written = {item.window for item in reports}
    last = int((now - COLLECT_SECONDS) // seconds) - 1
    first = int((now - REPORT_DEADLINE_SECONDS) // seconds)
    following = range(max(written) + 1, last + 1) if written else ()
    due = {window for window in (*counted_windows, *following) if first <= window <= last}
    return sorted(due - written)
