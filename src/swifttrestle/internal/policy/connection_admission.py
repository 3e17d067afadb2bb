"""Which new connections of callers a host accepts while its event loop is overloaded.

A load balancer may send most new connections to one host. Requests that it reads then wait for its
processor, although others are idle. A connection that it closes without reading from it costs its
caller a few milliseconds, after which the caller tries another host.
"""

from collections import deque

# Seconds between measurements of the loop's lag.
LAG_INTERVAL_SECONDS = 0.1
# Lag, in seconds, from which on a host counts as overloaded, and the one below which it does not.
HIGH_LAG_SECONDS = 0.06
LOW_LAG_SECONDS = 0.03
# Number of consecutive measurements of a high lag. A single one may be a process that was suspended
# or a collection of garbage.
HIGH_MEASUREMENTS = 3
# Factors by which the accepted rate of connections falls and rises again, and the seconds between
# two changes, in which the previous change shows in the lag.
DECREASE_FACTOR = 0.7
INCREASE_FACTOR = 1.15
CHANGE_SECONDS = 0.25
# Connections a second that are accepted at least, so that the host is not taken for a dead one.
MIN_RATE = 5.0
# Seconds over which the rates of connections are averaged.
RATE_SECONDS = 0.5
# Seconds for which connections may be accepted ahead of the rate.
BURST_SECONDS = 0.1


class ConnectionAdmission:
    """Limits the rate of accepted connections by the lag of the event loop.

    All times are the loop's seconds, and rates are connections a second.
    """

    def __init__(self) -> None:
        """Accept all connections at first."""
        # The rate of accepted connections; None while it is not limited.
        self.rate: float | None = None
        self._high_measurements = 0
        self._next_change_at = float("-inf")
        self._tokens = 0.0
        self._tokens_at = 0.0
        self._offered: deque[float] = deque()
        self._accepted: deque[float] = deque()

    def admits(self, now: float) -> bool:
        """Return whether a new connection is accepted."""
        _add_time(self._offered, now)
        if self.rate is not None and not self._take_token(self.rate, now):
            return False
        _add_time(self._accepted, now)
        return True

    def note_lag(self, lag: float, now: float) -> None:
        """Record a measurement of the loop's lag and adjust the accepted rate."""
        self._high_measurements = self._high_measurements + 1 if lag > HIGH_LAG_SECONDS else 0
        if now < self._next_change_at:
            return
        if self._high_measurements >= HIGH_MEASUREMENTS:
            self._decrease(now)
        elif lag < LOW_LAG_SECONDS and self.rate is not None:
            self._increase(self.rate, now)

    def _decrease(self, now: float) -> None:
        current = _find_rate(self._accepted, now)
        if self.rate is not None:
            current = min(current, self.rate)
        self.rate = max(MIN_RATE, DECREASE_FACTOR * current)
        self._next_change_at = now + CHANGE_SECONDS

    def _increase(self, rate: float, now: float) -> None:
        self.rate = INCREASE_FACTOR * rate
        if _find_rate(self._offered, now) < rate:
            self.rate = None
        self._next_change_at = now + CHANGE_SECONDS

    def _take_token(self, rate: float, now: float) -> bool:
        earned = rate * (now - self._tokens_at)
        self._tokens = min(max(1.0, rate * BURST_SECONDS), self._tokens + earned)
        self._tokens_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def _add_time(times: deque[float], now: float) -> None:
    times.append(now)
    _drop_old(times, now)


def _drop_old(times: deque[float], now: float) -> None:
    while times and times[0] < now - RATE_SECONDS:
        times.popleft()


def _find_rate(times: deque[float], now: float) -> float:
    _drop_old(times, now)
    return len(times) / RATE_SECONDS
