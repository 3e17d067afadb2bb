"""How hosts keep together to the requests a second that an upstream takes from all of them.

The load that this answers: an upstream in need names a few requests a second while some hundred
hosts have work for it. With a share for each host, each could still send one at once, which alone
is more than such an upstream takes. So one host counts for all, and the others ask it before they
send; docs/design/upstream-limits.md compares the ways.
"""

from collections.abc import Sequence

from swifttrestle.internal.policy.placement import rank
from swifttrestle.internal.state.members import Member

# Requests that may go at once after a pause, and those of them that are kept for urgent ones.
MOST_AT_ONCE = 3.0
URGENT_RESERVE = 1.0
# Requests a second that are sent to an upstream that takes none: somebody has to hear when it
# takes some again.
MIN_REQUESTS_PER_SECOND = 0.25
# Seconds after which a host that was turned away may ask again at the latest in a small fleet, and
# asks a second that a keeper gets at most in a large one: all hosts are told when a limit changes,
# so that none waits for that.
LONGEST_PAUSE = 1.0
MOST_ASKS_A_SECOND = 50.0
# Hosts that count for an upstream, in turn: the second one where the first does not answer.
KEEPERS = 2
# Times that each is asked: one lost datagram must not have two hosts count at once.
ASK_ATTEMPTS = 2


class TokenBucket:
    """Counts the requests that an upstream takes, for as many hosts as ask."""

    def __init__(self, now: float) -> None:
        """Start with none to give: a former keeper may have given some just before."""
        self._tokens = 0.0
        self._at = now
        self._turned_away = 0

    def take(
        self, rate: float, urgent: bool, now: float, longest_pause: float = LONGEST_PAUSE
    ) -> float:
        """Take one request; return 0, or the seconds after which to ask again.

        Those who are turned away one after another are told to come back one after another.
        """
        self._tokens = min(MOST_AT_ONCE, self._tokens + max(0.0, now - self._at) * rate)
        self._at = now
        needed = 1.0 if urgent else 1.0 + URGENT_RESERVE
        if self._tokens >= needed:
            self._tokens -= 1.0
            self._turned_away = 0
            return 0.0
        seconds = (needed - self._tokens + self._turned_away) / rate
        self._turned_away += 1
        return min(longest_pause, seconds)


def find_max_retry_seconds(hosts: int) -> float:
    """Return the seconds after which a host that was turned away asks again at the latest."""
    return max(LONGEST_PAUSE, hosts / MOST_ASKS_A_SECOND)


def find_owners(members: Sequence[Member], start: str, zone: str) -> list[Member]:
    """Return the hosts that count for an upstream in a zone, the first one first.

    They are near it where its zone has hosts, and have the fastest links of these.
    """
    near = [item for item in members if item.zone == zone] or list(members)
    fastest = max((item.link_mbps for item in near), default=0.0)
    ranked = sorted(
        near,
        key=lambda item: (item.link_mbps == fastest, rank(f"limit|{start}", item.host)),
        reverse=True,
    )
    return ranked[:KEEPERS]
