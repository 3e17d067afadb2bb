"""Which windows of usage are to be reported now, and with what.

Load pattern: a window's counts come in from all hosts, some late, some never; the holder of the
duty may be new, and what a former one wrote down may or may not have reached the platform. A
second report that differs from the first is a fault that cannot be mended; a missing one only
costs its window.
"""

from collections.abc import Collection, Sequence

from swifttrestle.internal.state.duties import RecordedUsage

# Seconds after a window's end at which it is written down: three words of each host fit, and half
# a minute of the platform's patience of ten seconds is left for an outage.
COLLECT_SECONDS = 2.5
# Seconds after its end from which a window that was never written down is given up: the platform
# takes no report so late.
REPORT_DEADLINE_SECONDS = 30.0


def list_unacknowledged_reports(reports: Sequence[RecordedUsage]) -> list[RecordedUsage]:
    """Return what was written down and not acknowledged: it is sent again exactly as it stands."""
    return [item for item in reports if not item.taken]


def may_have_been_reported(window: int, until: float, seconds: float) -> bool:
    """Return whether a holder of whom no word is left may have reported a window.

    That one may have acted until a Unix time. Its report cannot be repeated as it was, and a
    missing one costs its window alone.
    """
    return (window + 1) * seconds + COLLECT_SECONDS <= until


def list_due_windows(
    counted: Collection[int],
    reports: Sequence[RecordedUsage],
    now: float,
    seconds: float,
) -> list[int]:
    """Return the windows of so many seconds that are to be written down at a Unix time.

    Where windows were reported before, each one since is due, also without a request: a missing
    report cannot be told from one that says so.
    """
    written = {item.window for item in reports}
    last = int((now - COLLECT_SECONDS) // seconds) - 1
    first = int((now - REPORT_DEADLINE_SECONDS) // seconds)
    follows = range(max(written) + 1, last + 1) if written else ()
    due = {window for window in (*counted, *follows) if first <= window <= last}
    return sorted(due - written)
