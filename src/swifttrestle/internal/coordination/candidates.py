"""Which host is to plan roles: one candidate, so that hosts don't write against each other.

The lease itself decides; this only says who is to ask for it.
"""

from collections.abc import Callable

from swifttrestle.internal.policy.scheduling import is_large_fleet, list_representatives
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import NEVER, PeerTable


class RoleCandidates:
    """The hosts that may plan roles, in order.

    Those that cannot reach the store are left out: they could neither hold the lease nor take
    it. In a large fleet representatives alone are candidates, besides a host that has the
    lease already: they are the ones who hear of all hosts.
    """

    def __init__(self, me: Member, peers: PeerTable, now: Callable[[], float]) -> None:
        """Judge by the peers that are known."""
        self._me = me
        self._peers = peers
        self._now = now
        self.leaving = False
        self.holds_duty_lease = False
        self._lacks_store_until = NEVER

    @property
    def store_unreachable(self) -> bool:
        """Whether this host could not reach the store of late."""
        return self._now() < self._lacks_store_until

    def mark_store_unreachable(self, seconds: float) -> None:
        """Be no candidate for so many seconds."""
        self._lacks_store_until = self._now() + seconds

    def note_store_back(self) -> None:
        """Be a candidate again: the store has answered this host since."""
        self._lacks_store_until = NEVER

    def is_candidate(self) -> bool:
        """Return whether this host is to plan roles: the holder while it lives, or the first."""
        return not self.leaving and (
            self.holds_duty_lease or self.list_order()[:1] == [self._me.host]
        )

    def is_next_candidate(self) -> bool:
        """Return whether this host takes the planning over where the candidate is gone."""
        return not self.leaving and self._me.host in self.list_order()[:2]

    def find_holder(self, zone: str) -> str:
        """Return the host of a zone that holds the lease, by its own word, or ""."""
        if self.holds_duty_lease:
            return self._me.host
        now = self._now()
        return next(
            (
                peer.host
                for peer in self._peers.peers.values()
                if peer.zone == zone and peer.is_heard(now) and peer.holds_duty_lease(now)
            ),
            "",
        )

    def list_order(self) -> list[str]:
        """Return the hosts in the order in which they are to hold the duties."""
        now = self._now()
        members = self._peers.list_members(now)
        able = {member.host for member in members}
        if is_large_fleet(len(members)):
            zones = {member.zone for member in members}
            able = {item.host for zone in zones for item in list_representatives(members, zone)}
        order = []
        for member in members:
            holds, lacks = self._read_flags(member.host, now)
            if not lacks and (holds or member.host in able):
                order.append((not holds, member.host))
        return [host for _, host in sorted(order)]

    def _read_flags(self, host: str, now: float) -> tuple[bool, bool]:
        if host == self._me.host:
            return self.holds_duty_lease, self.store_unreachable
        peer = self._peers.peers[host]
        return peer.holds_duty_lease(now), peer.store_unreachable(now)
