"""Quarantine of requests and prompt parts that crash upstreams.

A request that crashes every upstream that runs it may be repeated under new ids at any host. Each
crash costs all requests that are open at the upstream. These are suspected as well until one of
their attempts succeeds.

Requests that differ may crash upstreams by a part of their prompts that they have in common. So a
crash also counts against the parts that open prompts share with others, until one of these is
answered.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from swifttrestle.internal.eviction import make_room
from swifttrestle.internal.policy.quarantine_periods import (
    ANSWERED_PART_RULE,
    CRASHES_TOLD_TO_ALL,
    PART_RULE,
    REQUEST_RULE,
    QuarantinePeriod,
    QuarantineRule,
    find_period,
)
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.fingerprints import Fingerprint

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
# Maximum number of recorded answers, by which late reports of earlier crashes are ignored.
MAX_CLEARANCES = 4096


@dataclass
class _History:
    """The crashes of one request or prompt part, the latest first."""

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

    def list_starts(self) -> set[str]:
        """Return the incarnations that crashed."""
        return {crash.start for crash in self.crashes}


class Quarantine:
    """Crash records of requests and prompt parts by fingerprint; times are the loop's seconds."""

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
        """Return the number of crash records."""
        return len(self._histories)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        """Return whether a fingerprint has a crash record."""
        return fingerprint in self._histories

    def knows_head(self, head: bytes) -> bool:
        """Return whether any request with a crash record has this head in its fingerprint."""
        return head in self._head_counts

    def note(self, fingerprint: Fingerprint, crashes: Iterable[Crash], now: float) -> bool:
        """Record crashes held against a fingerprint; return whether any of them is new."""
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
        del history.crashes[self._find_rule(fingerprint).max_crashes :]
        if history.crashes == before:
            return False
        self._store(fingerprint, history)
        return True

    def clear_crashes(self, fingerprint: Fingerprint, at: float) -> CrashRecord | None:
        """Record that a request got an answer at a time.

        Return its record up to then if that clears any crash. What crashes every upstream never
        gets an answer.
        """
        at = max(at, self._answered_at.pop(fingerprint, at))
        make_room(self._answered_at, fingerprint, MAX_CLEARANCES)
        self._answered_at[fingerprint] = at
        history = self._histories.get(fingerprint)
        if history is None:
            return None
        remaining = [crash for crash in history.crashes if crash.at > at + REPORT_DELAY_SECONDS]
        if len(remaining) == len(history.crashes):
            return None
        cleared = _make_record(fingerprint, history)
        history.crashes = remaining
        if len(remaining) < _find_least_crashes(fingerprint):
            self._quarantined.discard(fingerprint)
        if not remaining:
            self._remove(fingerprint)
        return cleared

    def find_answer(self, record: CrashRecord) -> float | None:
        """Return when a request got its last answer, if that clears all crashes of a record."""
        at = self._answered_at.get(record.name)
        return at if at is not None and at + REPORT_DELAY_SECONDS >= record.last_crash_at else None

    def find_wait(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the seconds until this host may send a request; 0 if it may now."""
        period = self._find_period(fingerprint)
        if period is None:
            return 0.0
        return max(0.0, period.started_at + period.seconds * self._release_factor - now)

    def needs_trial(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is or was quarantined, so that it is tried with care."""
        return self._find_period(fingerprint) is not None

    def may_crash_last(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is suspected enough to be kept from the last upstream."""
        history = self._histories.get(fingerprint)
        if history is None:
            return False
        if not fingerprint.is_part:
            return True
        suspected = len(history.crashes) >= CRASHES_TOLD_TO_ALL
        return suspected and fingerprint not in self._answered_at

    def find(self, fingerprint: Fingerprint) -> CrashRecord | None:
        """Return the crash record of a fingerprint."""
        history = self._histories.get(fingerprint)
        return None if history is None else _make_record(fingerprint, history)

    def list_quarantined(self) -> list[CrashRecord]:
        """Return the crash records of what is or recently was quarantined."""
        return [
            _make_record(fingerprint, self._histories[fingerprint])
            for fingerprint in self._quarantined
        ]

    def expire(self, now: float) -> None:
        """Remove the records without a recent crash."""
        for fingerprint, history in list(self._histories.items()):
            if now - history.eviction_key[1] >= CRASH_RETENTION_SECONDS:
                self._remove(fingerprint)

    def _store(self, fingerprint: Fingerprint, history: _History) -> None:
        if fingerprint not in self._histories:
            if len(self._histories) >= MAX_REQUESTS:
                self._evict()
            self._head_counts[fingerprint.head] += 1
            self._histories[fingerprint] = history
        if len(history.crashes) >= _find_least_crashes(fingerprint):
            self._quarantined.add(fingerprint)

    def _find_rule(self, fingerprint: Fingerprint) -> QuarantineRule:
        if not fingerprint.is_part:
            return REQUEST_RULE
        return ANSWERED_PART_RULE if fingerprint in self._answered_at else PART_RULE

    def _find_period(self, fingerprint: Fingerprint) -> QuarantinePeriod | None:
        """Return the latest quarantine of a fingerprint, unless another explains its crashes."""
        history = self._histories.get(fingerprint)
        if history is None:
            return None
        period = find_period(history.crashes, self._find_rule(fingerprint))
        if period is None or self._is_explained(fingerprint, history):
            return None
        return period

    def _is_explained(self, fingerprint: Fingerprint, history: _History) -> bool:
        """Return whether something quarantined that is more suspect was open at all crashes too.

        What was merely open beside it, or in the same prompts, is then not refused.
        """
        starts = history.list_starts()
        suspicion = self._rank_suspicion(fingerprint)
        return any(
            self._rank_suspicion(other) > suspicion
            and starts <= self._histories[other].list_starts()
            for other in self._quarantined
        )

    def _rank_suspicion(self, fingerprint: Fingerprint) -> tuple[bool, int, bool]:
        """Return a sort key: what has never been answered, and was open at most crashes, is last.

        A part is more suspect than a request that was open at the same crashes.
        """
        crashes = self._histories[fingerprint].crashes
        return fingerprint not in self._answered_at, len(crashes), fingerprint.is_part

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


def _find_least_crashes(fingerprint: Fingerprint) -> int:
    """Return the number of crashes that may quarantine."""
    return (PART_RULE if fingerprint.is_part else REQUEST_RULE).crashes


def _make_record(fingerprint: Fingerprint, history: _History) -> CrashRecord:
    return CrashRecord(fingerprint, tuple(history.crashes))
