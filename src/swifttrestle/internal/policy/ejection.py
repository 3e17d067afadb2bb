"""Outlier ejection: takes failing upstreams out of rotation, up to a cap, and ramps them up again.

Only failures to connect, broken streams and timeouts count, never a refusal for load. The cap
prevents overload of the remaining upstreams when many fail at once. Both follow the paper ("Remove
the broken server, keep the busy one"); see docs/design/guards.md.
"""

from dataclasses import dataclass

FAILURES_TO_EJECT = 3
# Failures that a failed connection counts for: a refused one proves that nothing listens, while a
# single timeout may be a lost packet. Two in a row hardly are.
REFUSED_CONNECTION_WEIGHT = FAILURES_TO_EJECT
CONNECT_TIMEOUT_WEIGHT = 2
# After an ejection a single request probes the upstream. Seconds until another one may.
PROBE_INTERVAL_SECONDS = 0.5
FIRST_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 6.0
# Seconds after an ejection from which a success resets the number of ejections, which determines
# the duration of the next one.
EJECTIONS_RESET_SECONDS = 60.0


@dataclass
class Health:
    """One upstream's consecutive failures and ejections; times are monotonic seconds.

    `returned_at` is the end of its last ejection. After that, probes change `ejected_until`, and
    `probing` stays set until one succeeds.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    returned_at: float = float("-inf")
    probing: bool = False

    def is_probing(self, now: float) -> bool:
        """Return whether its ejection is over but no request has succeeded since."""
        return self.probing and now >= self.returned_at


class Ejector:
    """Tracks the health of upstreams; not thread-safe."""

    def __init__(self, cap: float, return_seconds: float) -> None:
        """Eject at most the share `cap` at once; ramp up over `return_seconds`."""
        self.cap = cap
        self.return_seconds = return_seconds
        self._health: dict[str, Health] = {}

    def note_success(self, name: str, now: float) -> None:
        """Record a successful response."""
        health = self._health.get(name)
        if health is None:
            return
        health.failures = 0
        if health.is_probing(now):
            health.probing = False
            health.ejected_until = now
        if now - health.ejected_until > EJECTIONS_RESET_SECONDS:
            health.ejections = 0

    def note_use(self, name: str, now: float) -> None:
        """Record that a request is sent.

        One that probes the upstream prevents further requests for PROBE_INTERVAL_SECONDS.
        """
        health = self._health.get(name)
        if health is not None and health.is_probing(now):
            health.ejected_until = now + PROBE_INTERVAL_SECONDS

    def note_failure(self, name: str, group: list[str], now: float, weight: int = 1) -> bool:
        """Record a failure; return whether that ejects the upstream."""
        health = self._health.setdefault(name, Health())
        health.failures += weight
        if health.is_probing(now):
            # The probe failed.
            health.ejected_until = now
            health.failures = FAILURES_TO_EJECT
        if health.failures < FAILURES_TO_EJECT or self.is_ejected(name, now):
            return False
        ejected = sum(1 for other in group if self.is_ejected(other, now))
        if ejected + 1 > max(1, int(self.cap * len(group))):
            return False
        seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**health.ejections)
        health.ejections += 1
        health.failures = 0
        health.ejected_until = now + seconds
        health.returned_at = health.ejected_until
        health.probing = True
        return True

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether the upstream is ejected."""
        health = self._health.get(name)
        return health is not None and now < health.ejected_until

    def share(self, name: str, now: float) -> float:
        """Return the share of its normal load that an upstream should get, from 0.1 to 1."""
        health = self._health.get(name)
        if health is None or self.return_seconds <= 0:
            return 1.0
        return min(1.0, max(0.1, (now - health.returned_at) / self.return_seconds))
