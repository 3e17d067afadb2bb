"""The other hosts: who was heard, who was told of by others, who of them lives now."""

from collections.abc import Iterable
from dataclasses import dataclass

from swifttrestle.internal.state.members import Member

# Seconds of silence after which a peer counts as gone: four lost heartbeats.
PEER_TIMEOUT_SECONDS = 2.0
# The same for a peer that only others told of: their words are up to a second older, two
# heartbeats from host to host, and a lost host is withdrawn by a word of its own.
REPORTED_PEER_TIMEOUT_SECONDS = 3.0
# Seconds for which a peer that said it stops counts as leaving: by then no roster that was
# made before that word is in use any more, and its next start speaks for itself.
LEAVING_SECONDS = 2 * PEER_TIMEOUT_SECONDS
# Seconds for which a peer's word on the store counts: two heartbeats. In a large fleet it may be
# the last one for long, and an outage may follow it.
VOUCHING_SECONDS = 1.2
# Seconds for which the list of members is kept: a tenth of the time in which a silent one is
# found out, and far less often than it is asked for.
KEPT_SECONDS = 0.1

NEVER = float("-inf")
UNKNOWN = float("inf")


@dataclass
class Peer:
    """One other host; times are the loop's, of when something was last heard or told of it."""

    host: str
    ip: str
    zone: str = ""
    link_mbps: float = 0.0
    incarnation: int = 0
    heard_at: float = NEVER
    reported_at: float = NEVER
    leaving_at: float = NEVER
    held_duty_lease_at: float = NEVER
    store_unreachable_at: float = NEVER
    # Since when the store has answered it without a break, by its own word, and when it said so.
    store_since: float = UNKNOWN
    store_told_at: float = NEVER

    def is_heard(self, now: float) -> bool:
        """Return whether it has itself spoken to this host of late."""
        return now - self.heard_at < PEER_TIMEOUT_SECONDS

    def is_seen(self, now: float) -> bool:
        """Return whether it has spoken to this host, or to one that told of it, of late."""
        return self.is_heard(now) or now - self.reported_at < REPORTED_PEER_TIMEOUT_SECONDS

    def is_live(self, now: float) -> bool:
        """Return whether it takes part: seen, and not leaving."""
        return self.is_seen(now) and now - self.leaving_at >= LEAVING_SECONDS

    def holds_duty_lease(self, now: float) -> bool:
        """Return whether it was said of late to hold the lease on roles."""
        return now - self.held_duty_lease_at < PEER_TIMEOUT_SECONDS

    def store_unreachable(self, now: float) -> bool:
        """Return whether it said of late that it cannot reach the store."""
        return now - self.store_unreachable_at < PEER_TIMEOUT_SECONDS


@dataclass(frozen=True)
class Heartbeat:
    """What a peer says of itself.

    `store_seconds` is for how long the store has answered it without a break, 0 where it does not,
    and None where the message does not tell.
    """

    member: Member
    incarnation: int
    leaving: bool = False
    holds_duty_lease: bool = False
    store_unreachable: bool = False
    store_seconds: float | None = None


class PeerTable:
    """All other hosts that this one knows of."""

    def __init__(self, me: Member) -> None:
        """Start with this host alone."""
        self._me = me
        self.peers: dict[str, Peer] = {}
        self._kept: tuple[Member, ...] = (me,)
        self._kept_until = NEVER
        # Rises with each change of the members, so that what follows from them can be kept.
        self.version = 0

    def add_seed(self, ip: str) -> None:
        """Take up a host of which only the IP is known; its answer tells who it is."""
        if ip != self._me.ip and all(peer.ip != ip for peer in self.peers.values()):
            self.peers[f"seed {ip}"] = Peer(f"seed {ip}", ip)

    def add_peer(self, host: str, ip: str) -> None:
        """Take up a host that somebody named."""
        if host and ip and host != self._me.host and host not in self.peers:
            self.peers[host] = Peer(host, ip)

    def note_heard(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take a peer's own word over; return whether it was not among the members before."""
        member = heartbeat.member
        self.peers.pop(f"seed {member.ip}", None)
        peer = self.peers.setdefault(member.host, Peer(member.host, member.ip))
        if heartbeat.incarnation < peer.incarnation and peer.is_heard(now):
            # A late datagram of an earlier start. A peer that has been silent may have come
            # back with a lower number: the time of day, which it is taken from, can jump.
            return False
        was_live = peer.is_live(now)
        peer.ip, peer.zone, peer.link_mbps = member.ip, member.zone, member.link_mbps
        peer.incarnation = heartbeat.incarnation
        peer.heard_at = now
        peer.leaving_at = now if heartbeat.leaving else NEVER
        peer.held_duty_lease_at = now if heartbeat.holds_duty_lease else NEVER
        peer.store_unreachable_at = now if heartbeat.store_unreachable else NEVER
        if heartbeat.store_seconds is not None:
            peer.store_since = (
                now - heartbeat.store_seconds if heartbeat.store_seconds > 0 else UNKNOWN
            )
            peer.store_told_at = now
        if was_live is heartbeat.leaving:
            self._kept_until = NEVER
        return not was_live and not heartbeat.leaving

    def note_reported(self, members: Iterable[Member], at: float, now: float) -> None:
        """Take over that members lived at a time, by the word of a host that heard them."""
        for member in members:
            if member.host == self._me.host:
                continue
            peer = self.peers.get(member.host)
            if peer is None:
                self.peers.pop(f"seed {member.ip}", None)
                peer = self.peers[member.host] = Peer(member.host, member.ip)
            if not peer.is_heard(now):
                peer.ip, peer.zone, peer.link_mbps = member.ip, member.zone, member.link_mbps
            if not peer.is_seen(now):
                self._kept_until = NEVER
            peer.reported_at = max(peer.reported_at, at)

    def withdraw(self, host: str) -> None:
        """Take over that nobody hears a host any more who told of it before."""
        peer = self.peers.get(host)
        if peer is not None:
            peer.reported_at = NEVER
            self._kept_until = NEVER

    def list_members(self, now: float) -> tuple[Member, ...]:
        """Return the hosts that take part, this one among them, in order of name."""
        if now >= self._kept_until:
            live = [
                Member(peer.host, peer.ip, peer.zone, peer.link_mbps)
                for peer in self.peers.values()
                if peer.is_live(now)
            ]
            members = tuple(sorted((*live, self._me), key=lambda member: member.host))
            if members != self._kept:
                self._kept = members
                self.version += 1
            self._kept_until = now + KEPT_SECONDS
        return self._kept

    def find_store_up_since(self, now: float) -> float:
        """Return the earliest time since when the store has answered a peer that tells so now.

        Infinite where none says so: then nobody can tell an outage from a path that was cut.
        """
        told = (
            peer.store_since
            for peer in self.peers.values()
            if now - peer.store_told_at < VOUCHING_SECONDS
        )
        return min(told, default=UNKNOWN)

    def list_heard(self, now: float) -> list[Member]:
        """Return the members that have themselves spoken to this host of late."""
        return [
            Member(peer.host, peer.ip, peer.zone, peer.link_mbps)
            for peer in self.peers.values()
            if peer.is_heard(now) and peer.is_live(now)
        ]

    def list_seen(self, now: float) -> list[Peer]:
        """Return the peers that were heard or told of late, leaving ones among them."""
        return [peer for peer in self.peers.values() if peer.is_seen(now)]

    def list_unseen(self, now: float) -> list[Peer]:
        """Return the peers that are known by name or IP alone, or silent."""
        return [peer for peer in self.peers.values() if not peer.is_seen(now)]
