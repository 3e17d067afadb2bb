"""When crashes quarantine a request or a prompt part, and for how long."""

from collections.abc import Iterable
from dataclasses import dataclass

from swifttrestle.internal.state.crash_records import Crash, CrashRecord

# Seconds of each later quarantine, started by a crash during the trial after the previous one.
# Crashes during a quarantine do not count: they are from attempts that were in flight, or from
# hosts that did not know of the quarantine yet. If they counted, a popular request would be refused
# for minutes where all engines crash twice within half a second. One crash in ten minutes is what
# upstreams have anyway.
LONG_QUARANTINE_SECONDS = 600.0
# Number of crashes, without an answer since, at which a request is quarantined. With one, all
# requests that were open at a crash would be; few of them are open at a second one.
CRASHES_TO_QUARANTINE = 2
# Seconds of the first quarantine: long enough for the crashed upstreams to restart. A popular
# harmless request whose copies were open at two crashes waits no longer.
FIRST_QUARANTINE_SECONDS = 5.0
# Number of crashes from which on all hosts know a record: what was open at one crash alone is
# mostly harmless.
CRASHES_TOLD_TO_ALL = 2


@dataclass(frozen=True)
class QuarantineRule:
    """How many crashes, without an answer since, start a quarantine, and its duration in seconds.

    `max_crashes` is the number of crashes that a record keeps, the latest ones.
    """

    crashes: int
    first_seconds: float
    max_crashes: int


REQUEST_RULE = QuarantineRule(CRASHES_TO_QUARANTINE, FIRST_QUARANTINE_SECONDS, max_crashes=4)
# A part is open at a crash more often than a request, as other requests have it as well.
PART_RULE = QuarantineRule(3, FIRST_QUARANTINE_SECONDS, max_crashes=8)
# An answered part may crash engines after a change of their software. It is tried again at once,
# since many requests may have it.
ANSWERED_PART_RULE = QuarantineRule(5, 1.0, max_crashes=8)


@dataclass(frozen=True)
class QuarantinePeriod:
    """A quarantine: its start, in the loop's time, and its duration in seconds."""

    started_at: float
    seconds: float


def find_period(
    crashes: Iterable[Crash], rule: QuarantineRule = REQUEST_RULE
) -> QuarantinePeriod | None:
    """Return the latest quarantine that crashes lead to, even if it is over."""
    period: QuarantinePeriod | None = None
    by_time = sorted(crashes, key=lambda crash: crash.at)
    for crash in by_time[rule.crashes - 1 :]:
        if period is None:
            period = QuarantinePeriod(crash.at, rule.first_seconds)
        elif crash.at >= period.started_at + period.seconds:
            period = QuarantinePeriod(crash.at, LONG_QUARANTINE_SECONDS)
    return period


def concerns_all_hosts(record: CrashRecord) -> bool:
    """Return whether a record has crashes enough for all hosts to know it."""
    return len(record.crashes) >= CRASHES_TOLD_TO_ALL
