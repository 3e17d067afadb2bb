"""How long a request is kept from upstreams that crashed under it.

The load that this answers: one request crashes each upstream that begins to run it, and comes again
and again under new ids at any host. Each crash costs an upstream for seconds and all that was open
there. Others that ran beside it crash with it and come again as well, once or twice.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint

# Crashes under which a request was open, without an answer since, from which on it is kept from
# upstreams. Most of what is open at a crash is innocent; little of that is open at the next one.
# Of the streams beside such a request 10.8, 2.0 and 1.8 in 100 are not served with 2, 4 and 8
# engines (`python -m bench quarantine`, 20 seeds of a minute); at three crashes 10.7, 3.1 and 1.6,
# without a quarantine 90, 87 and 77. At one, 4.6, 2.5 and 2.0, but then each ordinary crash would
# turn away all that was open there.
CRASHES_TO_QUARANTINE = 2
# Seconds of the first quarantine: upstreams are back by then. An innocent popular call, of which no
# copy ran elsewhere between two crashes, waits no longer; with 3 or 10 s the model serves as many.
FIRST_QUARANTINE_SECONDS = 5.0
# Seconds after a crash of the copy that was tried next: one crash in ten minutes is what upstreams
# suffer anyway. Crashes before that, of copies that were under way or went out from a host that had
# just started, do not count for it: a popular call was refused for minutes where all engines
# crashed twice within half a second.
LONG_SECONDS = 600.0
# Hosts let a request go again at different moments, over this share of its quarantine: the first
# one finds out for all, within some tens of milliseconds, whether it still crashes upstreams.
RELEASE_JITTER_SHARE = 0.5
# Seconds after the last crash at which it is forgotten: more than the longest quarantine, so that
# the next crash after one is again one too many.
CRASH_RETENTION_SECONDS = 1200.0

# Seconds by which a crash that others tell may seem later than it was: their words take so long.
# An answer acquits of those as well; what crashes each upstream never gets one.
TOLD_LATE_SECONDS = 0.2
# Requests that are remembered, 600 bytes each with one crash: a host's part of the crashes of a
# hundred full engines. Beyond that those under which the fewest upstreams crashed go first.
MOST_CASES = 4096
# The share that goes at once, so that the search for them is seldom.
DROPPED_SHARE = 0.125
# Crashes kept of one request: the latest, one more than what makes it sure.
MOST_CRASHES = 4
# Answers that are remembered, against older words of crashes that still come in.
MOST_ACQUITTALS = 4096


@dataclass(frozen=True)
class Term:
    """One quarantine of a request: since when, in the loop's time, and for how many seconds."""

    since: float
    seconds: float


def find_term(crashes: Iterable[Crash]) -> Term | None:
    """Return the latest quarantine that a request's crashes come to, over or not."""
    term: Term | None = None
    in_order = sorted(crashes, key=lambda crash: crash.at)
    for crash in in_order[CRASHES_TO_QUARANTINE - 1 :]:
        if term is None:
            term = Term(crash.at, FIRST_QUARANTINE_SECONDS)
        elif crash.at >= term.since + term.seconds:
            term = Term(crash.at, LONG_SECONDS)
    return term


def is_quarantined(case: CrashRecord) -> bool:
    """Return whether a request's crashes are enough to keep it from upstreams for some time."""
    return len(case.crashes) >= CRASHES_TO_QUARANTINE


@dataclass
class _Known:
    """The crashes of one request, the latest first."""

    crashes: list[Crash] = field(default_factory=list)

    @property
    def order(self) -> tuple[int, float]:
        """Rank: what is dropped first comes first."""
        return len(self.crashes), self.crashes[0].at if self.crashes else 0.0

    def has(self, crash: Crash) -> bool:
        """Return whether a crash is one of those, whenever it was told: a start ends once.

        By their times alone two words of one crash seemed to be two where a host had been stopped
        between them, and a call that was quarantined for seconds was so for minutes.
        """
        return any(item.start == crash.start for item in self.crashes)


class Quarantine:
    """Cases by name; times are the loop's seconds."""

    def __init__(self, late_share: float) -> None:
        """Let requests go late by this share of `RELEASE_JITTER_SHARE`, from 0 to 1: another one
        at each host.
        """
        self._late = 1 + RELEASE_JITTER_SHARE * late_share
        self._known: dict[RequestFingerprint, _Known] = {}
        self._heads: Counter[bytes] = Counter()
        self._quarantined: set[RequestFingerprint] = set()
        self._acquitted: dict[RequestFingerprint, float] = {}

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._known)

    def knows_head(self, head: bytes) -> bool:
        """Return whether any remembered request has this half of its name."""
        return head in self._heads

    def note(self, name: RequestFingerprint, crashes: Iterable[Crash], now: float) -> bool:
        """Take over crashes under a request; return whether one of them is news."""
        known = self._known.get(name) or _Known()
        acquitted_at = self._acquitted.get(name, float("-inf"))
        before = list(known.crashes)
        for crash in crashes:
            old = (
                crash.at <= acquitted_at + TOLD_LATE_SECONDS
                or now - crash.at >= CRASH_RETENTION_SECONDS
            )
            if not old and not known.has(crash):
                known.crashes.append(crash)
        known.crashes.sort(key=lambda crash: crash.at, reverse=True)
        # What is older than those kept must not be news each time that a peer tells it.
        del known.crashes[MOST_CRASHES:]
        if known.crashes == before:
            return False
        self._keep(name, known)
        return True

    def clear_crashes(self, name: RequestFingerprint, at: float) -> bool:
        """Take over that a request got its own answer; return whether crashes are forgotten.

        What crashes each upstream that runs it never gets one.
        """
        self._acquitted.pop(name, None)
        self._acquitted[name] = at
        if len(self._acquitted) > MOST_ACQUITTALS:
            del self._acquitted[next(iter(self._acquitted))]
        known = self._known.get(name)
        if known is None:
            return False
        left = [crash for crash in known.crashes if crash.at > at + TOLD_LATE_SECONDS]
        changed = len(left) < len(known.crashes)
        known.crashes = left
        if len(left) < CRASHES_TO_QUARANTINE:
            self._quarantined.discard(name)
        if not left:
            self._close(name)
        return changed

    def find_answer(self, case: CrashRecord) -> float | None:
        """Return when a request got its own answer, if that was after all crashes of a case."""
        at = self._acquitted.get(case.name)
        return at if at is not None and at + TOLD_LATE_SECONDS >= case.last_crash_at else None

    def find_wait(self, name: RequestFingerprint, now: float) -> float:
        """Return the seconds until this host lets a request go to an upstream, 0 for at once."""
        known = self._known.get(name)
        term = None if known is None else find_term(known.crashes)
        if term is None:
            return 0.0
        return max(0.0, term.since + term.seconds * self._late - now)

    def find(self, name: RequestFingerprint) -> CrashRecord | None:
        """Return what is known against a request."""
        known = self._known.get(name)
        return None if known is None else _make_case(name, known)

    def list_quarantined(self) -> list[CrashRecord]:
        """Return the requests that are kept from upstreams, or were until a while ago."""
        return [_make_case(name, self._known[name]) for name in self._quarantined]

    def expire(self, now: float) -> None:
        """Forget what is long past."""
        for name, known in list(self._known.items()):
            if now - known.order[1] >= CRASH_RETENTION_SECONDS:
                self._close(name)

    def _keep(self, name: RequestFingerprint, known: _Known) -> None:
        if name not in self._known:
            if len(self._known) >= MOST_CASES:
                self._drop_some()
            self._heads[name.head] += 1
            self._known[name] = known
        if len(known.crashes) >= CRASHES_TO_QUARANTINE:
            self._quarantined.add(name)

    def _close(self, name: RequestFingerprint) -> None:
        del self._known[name]
        self._quarantined.discard(name)
        self._heads[name.head] -= 1
        if not self._heads[name.head]:
            del self._heads[name.head]

    def _drop_some(self) -> None:
        ranked = sorted(self._known, key=lambda name: self._known[name].order)
        for name in ranked[: max(1, int(MOST_CASES * DROPPED_SHARE))]:
            self._close(name)


def _make_case(name: RequestFingerprint, known: _Known) -> CrashRecord:
    return CrashRecord(name, tuple(known.crashes))
