"""Selects the host that contends for the duty lease, which avoids conflicting writes by hosts.

Only the lease decides which host performs the duties.
"""

from collections.abc import Callable

from swifttrestle.internal.policy.scheduling import is_large_fleet, list_aggregators
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import NEVER, PeerTable


class DutyCandidates:
    """The hosts that may hold the duty lease, in order of preference.

    Hosts that cannot reach the store are left out, since they can neither hold nor take the lease.
    In a large fleet, only the zone aggregators and the current holder are candidates: only
    aggregators receive reports from all hosts.
    """

    def __init__(self, me: Member, peers: PeerTable, now: Callable[[], float]) -> None:
        """Choose among the peers in `peers` and this host, `me`."""
        self._me = me
        self._peers = peers
        self._now = now
        self.leaving = False
        self.holds_duty_lease = False
        self._store_unreachable_until = NEVER

    @property
    def store_unreachable(self) -> bool:
        """Whether a recent call of this host to the store failed."""
        return self._now() < self._store_unreachable_until

    def mark_store_unreachable(self, seconds: float) -> None:
        """Withdraw this host as a candidate for `seconds`."""
        self._store_unreachable_until = self._now() + seconds

    def mark_store_reachable(self) -> None:
        """Make this host a candidate again, since the store has answered it."""
        self._store_unreachable_until = NEVER

    def is_candidate(self) -> bool:
        """Return whether this host contends for the lease, as its holder or the first in order."""
        return not self.leaving and (
            self.holds_duty_lease or self.list_candidates()[:1] == [self._me.host]
        )

    def is_next_candidate(self) -> bool:
        """Return whether this host is one of the first two candidates."""
        return not self.leaving and self._me.host in self.list_candidates()[:2]

    def find_holder(self, zone: str) -> str:
        """Return the host that holds the lease, preferably one of a zone, or ""."""
        if self.holds_duty_lease:
            return self._me.host
        now = self._now()
        holders = [
            peer
            for peer in self._peers.peers.values()
            if peer.is_seen(now) and peer.holds_duty_lease(now)
        ]
        near = [peer for peer in holders if peer.zone == zone]
        return next((peer.host for peer in (*near, *holders)), "")

    def list_candidates(self) -> list[str]:
        """Return the candidates in order of preference, the holder first."""
        now = self._now()
        members = self._peers.list_members(now)
        eligible = {member.host for member in members}
        if is_large_fleet(len(members)):
            zones = {member.zone for member in members}
            eligible = {item.host for zone in zones for item in list_aggregators(members, zone)}
        order = []
        for member in members:
            holds_lease, unreachable = self._read_flags(member.host, now)
            if not unreachable and (holds_lease or member.host in eligible):
                order.append((not holds_lease, member.host))
        return [host for _, host in sorted(order)]

    def _read_flags(self, host: str, now: float) -> tuple[bool, bool]:
        if host == self._me.host:
            return self.holds_duty_lease, self.store_unreachable
        peer = self._peers.peers[host]
        return peer.holds_duty_lease(now), peer.store_unreachable(now)
