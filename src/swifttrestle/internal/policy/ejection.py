"""Leaving broken upstreams out, with a cap, and bringing them back slowly.

Busy is not broken: only failures to connect, broken streams and silence count, never a
refusal for load. The cap keeps the rest from being crushed when many break at once. Both
follow the paper ("Remove the broken server, keep the busy one"); docs/design/guards.md has
the measurement.
"""

from dataclasses import dataclass

FAILURES_TO_EJECT = 3
# What failures to connect count for: a refused connection shows that nobody listens, and one
# that does not come up may be a lost packet once, but hardly twice in a row.
REFUSED_CONNECTION_WEIGHT = FAILURES_TO_EJECT
SILENT_CONNECTION_WEIGHT = 2
# Seconds for which one request tries an upstream that comes back, before another one may.
TRIAL_SECONDS = 0.5
BASE_SECONDS = 2.0
LONGEST_SECONDS = 6.0
FORGET_SECONDS = 60.0


@dataclass
class Health:
    """One upstream's failures in a row and its time left out, in monotonic seconds."""

    failures: int = 0
    ejections: int = 0
    out_until: float = float("-inf")
    back_since: float = float("-inf")
    on_trial: bool = False

    def is_tried(self, now: float) -> bool:
        """Return whether it is back, and no request has shown yet that it works."""
        return self.on_trial and now >= self.back_since


class Ejector:
    """Keeps the health of upstreams; used under its owner's lock."""

    def __init__(self, cap: float, return_seconds: float) -> None:
        """Leave out at most this share at once; come back over so many seconds."""
        self.cap = cap
        self.return_seconds = return_seconds
        self._health: dict[str, Health] = {}

    def note_success(self, name: str, now: float) -> None:
        """Count an answer that came as it should."""
        health = self._health.get(name)
        if health is None:
            return
        health.failures = 0
        if health.is_tried(now):
            health.on_trial = False
            health.out_until = now
        if now - health.out_until > FORGET_SECONDS:
            health.ejections = 0

    def note_use(self, name: str, now: float) -> None:
        """Leave an upstream that comes back to the one request that tries it first."""
        health = self._health.get(name)
        if health is not None and health.is_tried(now):
            health.out_until = now + TRIAL_SECONDS

    def note_failure(self, name: str, group: list[str], now: float, weight: int = 1) -> bool:
        """Count a failure; return whether the upstream is left out from now on."""
        health = self._health.setdefault(name, Health())
        health.failures += weight
        if health.is_tried(now):
            # It failed the request that tried it.
            health.out_until = now
            health.failures = FAILURES_TO_EJECT
        if health.failures < FAILURES_TO_EJECT or self.is_ejected(name, now):
            return False
        out = sum(1 for other in group if self.is_ejected(other, now))
        if out + 1 > max(1, int(self.cap * len(group))):
            return False
        seconds = min(LONGEST_SECONDS, BASE_SECONDS * 2**health.ejections)
        health.ejections += 1
        health.failures = 0
        health.out_until = now + seconds
        health.back_since = health.out_until
        health.on_trial = True
        return True

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether the upstream is left out now."""
        health = self._health.get(name)
        return health is not None and now < health.out_until

    def share(self, name: str, now: float) -> float:
        """Return the share of its requests that an upstream is to get, from 0.1 to 1."""
        health = self._health.get(name)
        if health is None or self.return_seconds <= 0:
            return 1.0
        return min(1.0, max(0.1, (now - health.back_since) / self.return_seconds))
