"""Quarantine of requests that crash upstreams.

A request that crashes every upstream that runs it may be repeated under new ids at any host. Each
crash costs all requests that are open at the upstream. These are suspected as well until one of
their attempts succeeds.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from swifttrestle.internal.eviction import make_room
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.fingerprints import Fingerprint

# Number of crashes, without an answer since, at which a request is quarantined. With one, all
# requests that were open at a crash would be; few of them are open at a second one.
CRASHES_TO_QUARANTINE = 2
# Seconds of the first quarantine: long enough for the crashed upstreams to restart. A popular
# harmless request whose copies were open at two crashes waits no longer.
FIRST_QUARANTINE_SECONDS = 5.0
# Seconds of each later one, started by a crash during the trial after the previous one. Crashes
# during a quarantine do not count: they are from attempts that were in flight, or from hosts that
# did not know of the quarantine yet. If they counted, a popular request would be refused for
# minutes where all engines crash twice within half a second. One crash in ten minutes is what
# upstreams have anyway.
LONG_QUARANTINE_SECONDS = 600.0
# Hosts release a request at different times, spread over this share of its quarantine, so that
# the first host's trial shows all others whether it still crashes upstreams.
RELEASE_JITTER_SHARE = 0.5
# Seconds after its last crash at which a request's record is removed: more than the longest
# quarantine, so that a crash after it starts another one.
CRASH_RETENTION_SECONDS = 1200.0

# Seconds by which the time of a crash reported by a peer may be late. An answer also clears crashes
# up to this much after itself. That is safe, since a request that crashes every upstream never gets
# an answer.
REPORT_DELAY_SECONDS = 0.2
# Maximum number of requests with a record; those with the fewest crashes are evicted first. About
# 600 bytes each with one crash; enough for a host's part of the crashes of a hundred full engines.
MAX_REQUESTS = 4096
# Share of these that is evicted at once, to amortize the search.
EVICTED_SHARE = 0.125
# Maximum number of crashes in a request's record; the latest ones are kept.
MAX_CRASHES_PER_REQUEST = 4
# Maximum number of recorded answers, by which late reports of earlier crashes are ignored.
MAX_CLEARANCES = 4096


@dataclass(frozen=True)
class QuarantinePeriod:
    """A quarantine: its start, in the loop's time, and its duration in seconds."""

    started_at: float
    seconds: float


def find_period(crashes: Iterable[Crash]) -> QuarantinePeriod | None:
    """Return the latest quarantine that a request's crashes lead to, even if it is over."""
    period: QuarantinePeriod | None = None
    by_time = sorted(crashes, key=lambda crash: crash.at)
    for crash in by_time[CRASHES_TO_QUARANTINE - 1 :]:
        if period is None:
            period = QuarantinePeriod(crash.at, FIRST_QUARANTINE_SECONDS)
        elif crash.at >= period.started_at + period.seconds:
            period = QuarantinePeriod(crash.at, LONG_QUARANTINE_SECONDS)
    return period


def is_quarantined(record: CrashRecord) -> bool:
    """Return whether a request has crashes enough for a quarantine, even if that is over."""
    return len(record.crashes) >= CRASHES_TO_QUARANTINE


@dataclass
class _History:
    """The crashes of one request, the latest first."""

    crashes: list[Crash] = field(default_factory=list)

    @property
    def eviction_key(self) -> tuple[int, float]:
        """Sort key: the lowest one is evicted first."""
        return len(self.crashes), self.crashes[0].at if self.crashes else 0.0

    def has(self, crash: Crash) -> bool:
        """Return whether a crash is known already.

        Compares only the incarnation, which crashes once: reports of one crash may differ in time.
        By time, two reports of one crash would count as two where a host was suspended in between,
        and quarantine the request for minutes.
        """
        return any(item.start == crash.start for item in self.crashes)


class Quarantine:
    """Crash records of requests by fingerprint; times are the loop's seconds."""

    def __init__(self, jitter: float) -> None:
        """Delay releases by `jitter`, from 0 to 1, times RELEASE_JITTER_SHARE of the quarantine.

        `jitter` differs between hosts.
        """
        self._release_factor = 1 + RELEASE_JITTER_SHARE * jitter
        self._histories: dict[Fingerprint, _History] = {}
        self._head_counts: Counter[bytes] = Counter()
        self._quarantined: set[Fingerprint] = set()
        self._answered_at: dict[Fingerprint, float] = {}

    def __len__(self) -> int:
        """Return the number of requests with a crash record."""
        return len(self._histories)

    def knows_head(self, head: bytes) -> bool:
        """Return whether any request with a crash record has this head in its fingerprint."""
        return head in self._head_counts

    def note(self, fingerprint: Fingerprint, crashes: Iterable[Crash], now: float) -> bool:
        """Record crashes during a request; return whether any of them is new."""
        history = self._histories.get(fingerprint) or _History()
        answered_at = self._answered_at.get(fingerprint, float("-inf"))
        before = list(history.crashes)
        for crash in crashes:
            ignored = (
                crash.at <= answered_at + REPORT_DELAY_SECONDS
                or now - crash.at >= CRASH_RETENTION_SECONDS
            )
            if not ignored and not history.has(crash):
                history.crashes.append(crash)
        history.crashes.sort(key=lambda crash: crash.at, reverse=True)
        # Drops older crashes before the comparison, so that repeated reports of them are not new.
        del history.crashes[MAX_CRASHES_PER_REQUEST:]
        if history.crashes == before:
            return False
        self._store(fingerprint, history)
        return True

    def clear_crashes(self, fingerprint: Fingerprint, at: float) -> bool:
        """Record that a request got an answer at a time; return whether that clears any crash.

        A request that crashes every upstream never gets one.
        """
        self._answered_at.pop(fingerprint, None)
        make_room(self._answered_at, fingerprint, MAX_CLEARANCES)
        self._answered_at[fingerprint] = at
        history = self._histories.get(fingerprint)
        if history is None:
            return False
        remaining = [crash for crash in history.crashes if crash.at > at + REPORT_DELAY_SECONDS]
        changed = len(remaining) < len(history.crashes)
        history.crashes = remaining
        if len(remaining) < CRASHES_TO_QUARANTINE:
            self._quarantined.discard(fingerprint)
        if not remaining:
            self._remove(fingerprint)
        return changed

    def find_answer(self, record: CrashRecord) -> float | None:
        """Return when a request got its last answer, if that clears all crashes of a record."""
        at = self._answered_at.get(record.name)
        return at if at is not None and at + REPORT_DELAY_SECONDS >= record.last_crash_at else None

    def find_wait(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the seconds until this host may send a request; 0 if it may now."""
        history = self._histories.get(fingerprint)
        period = None if history is None else find_period(history.crashes)
        if period is None:
            return 0.0
        return max(0.0, period.started_at + period.seconds * self._release_factor - now)

    def find(self, fingerprint: Fingerprint) -> CrashRecord | None:
        """Return the crash record of a request."""
        history = self._histories.get(fingerprint)
        return None if history is None else _make_record(fingerprint, history)

    def list_quarantined(self) -> list[CrashRecord]:
        """Return the crash records of requests that are or recently were quarantined."""
        return [
            _make_record(fingerprint, self._histories[fingerprint])
            for fingerprint in self._quarantined
        ]

    def expire(self, now: float) -> None:
        """Remove the records of requests without a recent crash."""
        for fingerprint, history in list(self._histories.items()):
            if now - history.eviction_key[1] >= CRASH_RETENTION_SECONDS:
                self._remove(fingerprint)

    def _store(self, fingerprint: Fingerprint, history: _History) -> None:
        if fingerprint not in self._histories:
            if len(self._histories) >= MAX_REQUESTS:
                self._evict()
            self._head_counts[fingerprint.head] += 1
            self._histories[fingerprint] = history
        if len(history.crashes) >= CRASHES_TO_QUARANTINE:
            self._quarantined.add(fingerprint)

    def _remove(self, fingerprint: Fingerprint) -> None:
        del self._histories[fingerprint]
        self._quarantined.discard(fingerprint)
        self._head_counts[fingerprint.head] -= 1
        if not self._head_counts[fingerprint.head]:
            del self._head_counts[fingerprint.head]

    def _evict(self) -> None:
        ranked = sorted(
            self._histories, key=lambda fingerprint: self._histories[fingerprint].eviction_key
        )
        for fingerprint in ranked[: max(1, int(MAX_REQUESTS * EVICTED_SHARE))]:
            self._remove(fingerprint)


def _make_record(fingerprint: Fingerprint, history: _History) -> CrashRecord:
    return CrashRecord(fingerprint, tuple(history.crashes))
