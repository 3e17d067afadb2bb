"""Distributed rate limiting: all hosts together keep to an upstream's requests a second.

An overloaded upstream may announce a limit far below the number of hosts, so that a share for
each host would still exceed it. Instead one host, the owner of the limit, counts for all, and the
others ask it before they send. docs/design/upstream-limits.md compares the alternatives.
"""

from collections.abc import Sequence

from swifttrestle.internal.policy.distance import NO_REGIONS, Topology
from swifttrestle.internal.policy.placement import rank
from swifttrestle.internal.state.members import Member

# Burst size in requests, and the part of it reserved for urgent ones.
BURST_REQUESTS = 3.0
URGENT_RESERVE_REQUESTS = 1.0
# Requests a second that are sent even to an upstream with a limit of zero, to learn when it is
# raised.
MIN_REQUESTS_PER_SECOND = 0.25
# Maximum time after which a refused host asks again in a small fleet. In a large one it is longer,
# so that an owner gets at most MAX_QUERIES_PER_SECOND. All hosts are notified when a limit changes.
MAX_RETRY_SECONDS = 1.0
MAX_QUERIES_PER_SECOND = 50.0
# Number of owners of a limit: the second one is asked if the first does not answer.
OWNERS_PER_LIMIT = 2
# Queries to an owner before the next one is asked. With one, a single lost datagram would make two
# hosts count the same limit at once.
ASK_ATTEMPTS = 2
# Seconds for which an owner that did not reply is not asked.
OWNER_SUSPEND_SECONDS = 1.0
# Seconds of a limit that an owner may be in debt for what others have granted. Longer than hosts
# are late; what was granted earlier burdens no upstream any more.
MAX_DEBT_SECONDS = 1.0
# Difference of two counts of one host over which they are of different starts of it.
MAX_COUNT_STEP = 1000


class TokenBucket:
    """Token bucket for the requests of all hosts to an upstream."""

    def __init__(self, now: float) -> None:
        """Start empty, since the previous owner may have just granted a burst."""
        self._tokens = 0.0
        self._updated_at = now
        self._refusals = 0
        # The last count of each other host that has granted permits.
        self._counts: dict[str, int] = {}

    def take(
        self, rate: float, urgent: bool, now: float, max_retry_seconds: float = MAX_RETRY_SECONDS
    ) -> float:
        """Take one token; return 0, or the seconds after which to ask again.

        Consecutive refusals get increasing times, so that hosts do not ask again all at once.
        """
        self._refill(rate, now)
        needed = 1.0 if urgent else 1.0 + URGENT_RESERVE_REQUESTS
        if self._tokens >= needed:
            self._tokens -= 1.0
            self._refusals = 0
            return 0.0
        seconds = (needed - self._tokens + self._refusals) / rate
        self._refusals += 1
        return min(max_retry_seconds, seconds)

    def note_count(self, host: str, count: int, rate: float, now: float) -> None:
        """Take the tokens that another host has granted, of which it has granted `count` so far.

        Counts may be lost, repeated or out of order.
        """
        step = count - self._counts.get(host, count - 1)
        if abs(step) > MAX_COUNT_STEP:
            step = 1
        if step <= 0:
            return
        self._counts[host] = count
        self._refill(rate, now)
        self._tokens = max(self._tokens - step, min(self._tokens, -MAX_DEBT_SECONDS * rate))

    def _refill(self, rate: float, now: float) -> None:
        refilled = self._tokens + max(0.0, now - self._updated_at) * rate
        self._tokens = min(BURST_REQUESTS, refilled)
        self._updated_at = now


def find_max_retry_seconds(hosts: int) -> float:
    """Return the maximum time in seconds after which a refused host asks again."""
    return max(MAX_RETRY_SECONDS, hosts / MAX_QUERIES_PER_SECOND)


def find_owners(
    members: Sequence[Member], start: str, zone: str, topology: Topology = NO_REGIONS
) -> list[Member]:
    """Return the owners of the limit of an upstream in a zone, in order of preference.

    Prefers hosts in its zone, then in its region, and among them those with the fastest link.
    """
    in_zone = [item for item in members if item.zone == zone]
    in_region = [item for item in members if topology.is_same_region(zone, item.zone)]
    near = in_zone or in_region or list(members)
    fastest = max((item.link_mbps for item in near), default=0.0)
    ranked = sorted(
        near,
        key=lambda item: (item.link_mbps == fastest, rank(f"limit|{start}", item.host)),
        reverse=True,
    )
    return ranked[:OWNERS_PER_LIMIT]
