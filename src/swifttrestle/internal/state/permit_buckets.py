"""The permits and trials that this host has granted as an owner, and what other owners have."""

from swifttrestle.internal.eviction import make_room
from swifttrestle.internal.policy.rate_limits import (
    MIN_REQUESTS_PER_SECOND,
    TokenBucket,
    find_max_retry_seconds,
)
from swifttrestle.internal.state.upstream_conditions import NEVER

# Seconds between two trials of a quarantined request: longer than it takes until all hosts know
# whether it crashed its upstream.
TRIAL_SECONDS = 3.0
# Maximum number of upstreams, or of quarantined requests, that a host counts for. A tenth of all
# upstreams that there may be.
MAX_BUCKETS = 1000


class PermitBuckets:
    """Token buckets by upstream: of the limits that this host owns, and of its share of others.

    Used only from the event loop, whose times these are.
    """

    def __init__(self, first_count: int) -> None:
        """Count the granted permits from `first_count` on."""
        self._first_count = first_count
        self._owned: dict[str, TokenBucket] = {}
        # Used while this host reaches no owner.
        self._shares: dict[str, TokenBucket] = {}
        self._granted: dict[str, int] = {}

    def take(self, start: str, rate: float, urgent: bool, hosts: int, now: float) -> float:
        """Take a permit as an owner in a fleet of `hosts`; return 0, or the seconds to wait."""
        rate = _raise_to_minimum(rate)
        return self._take(self._owned, start, rate, urgent, find_max_retry_seconds(hosts), now)

    def take_share(self, start: str, rate: float, urgent: bool, hosts: int, now: float) -> float:
        """Take a permit of this host's equal share; return 0, or the seconds to wait."""
        share = _raise_to_minimum(rate) / hosts
        return self._take(self._shares, start, share, urgent, find_max_retry_seconds(hosts), now)

    def drop_share(self, start: str) -> None:
        """Drop what remains of a share, which would accumulate until it is needed next."""
        self._shares.pop(start, None)

    def drop(self, start: str) -> None:
        """Drop the buckets of an upstream without a limit."""
        self._owned.pop(start, None)
        self._shares.pop(start, None)

    def count_granted(self, start: str) -> int:
        """Return the number of granted permits of an upstream, counted from the first count on."""
        return self._granted.get(start, self._first_count)

    def note_count(self, start: str, host: str, count: int, rate: float, now: float) -> None:
        """Record how many permits another host has granted so far."""
        bucket = self._find(self._owned, start, now)
        bucket.note_count(host, count, _raise_to_minimum(rate), now)

    def _take(
        self,
        buckets: dict[str, TokenBucket],
        start: str,
        rate: float,
        urgent: bool,
        max_retry_seconds: float,
        now: float,
    ) -> float:
        bucket = self._find(buckets, start, now)
        seconds = bucket.take(rate, urgent, now, max_retry_seconds)
        if seconds == 0:
            granted = self.count_granted(start) + 1
            make_room(self._granted, start, MAX_BUCKETS)
            self._granted[start] = granted
        return seconds

    @staticmethod
    def _find(buckets: dict[str, TokenBucket], start: str, now: float) -> TokenBucket:
        bucket = buckets.get(start)
        if bucket is None:
            # Those of stopped upstreams are not removed otherwise.
            make_room(buckets, start, MAX_BUCKETS)
            bucket = buckets[start] = TokenBucket(now)
        return bucket


class TrialTimes:
    """When each quarantined request was last tried, in the event loop's time."""

    def __init__(self) -> None:
        """Start without trials."""
        self._tried_at: dict[str, float] = {}

    def allow(self, key: str, now: float) -> float:
        """Allow a trial; return 0, or the seconds until one is allowed."""
        seconds = self._tried_at.get(key, NEVER) + TRIAL_SECONDS - now
        if seconds > 0:
            return seconds
        self.note(key, now)
        return 0.0

    def note(self, key: str, now: float) -> None:
        """Record a trial."""
        make_room(self._tried_at, key, MAX_BUCKETS)
        self._tried_at[key] = now


def _raise_to_minimum(rate: float) -> float:
    return max(rate, MIN_REQUESTS_PER_SECOND)
