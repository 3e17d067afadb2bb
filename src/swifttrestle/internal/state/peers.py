"""Failure detection of the other hosts, by their own heartbeats and by reports of other hosts."""

from collections.abc import Iterable
from dataclasses import dataclass

from swifttrestle.internal.state.members import Member

# Seconds without a heartbeat after which a peer counts as gone: four lost heartbeats.
PEER_TIMEOUT_SECONDS = 2.0
# The same for a peer known by others' reports, which are up to two heartbeats older. A peer whose
# heartbeats no longer reach its reporters is withdrawn explicitly.
REPORTED_PEER_TIMEOUT_SECONDS = 3.0
# Seconds for which a peer that announced its stop counts as stopping. All rosters from before the
# announcement have expired by then.
LEAVING_SECONDS = 2 * PEER_TIMEOUT_SECONDS
# Seconds for which a peer's report that the store answers is valid: two heartbeats. In a large
# fleet, the next report may come much later, and the store may have failed by then.
STORE_REPORT_SECONDS = 1.2
# Seconds for which the computed list of members is cached.
MEMBERS_CACHE_SECONDS = 0.1

# Precedes the IP of a host whose name is not known yet.
SEED_PREFIX = "seed "

NEVER = float("-inf")
UNKNOWN = float("inf")


@dataclass
class Peer:
    """One other host; times are the event loop's.

    `last_heartbeat_at` is the time of its last heartbeat here, `reported_at` the last time at which
    another host reported it as live, unless that was withdrawn. `heard_at` is the later one of
    both, also after a withdrawal. The other `_at` fields are the times of its last report of
    that state.
    """

    host: str
    ip: str
    zone: str = ""
    link_mbps: float = 0.0
    incarnation: int = 0
    last_heartbeat_at: float = NEVER
    reported_at: float = NEVER
    heard_at: float = NEVER
    leaving_at: float = NEVER
    held_duty_lease_at: float = NEVER
    store_unreachable_at: float = NEVER
    # Since when the store has answered it without interruption, and when it reported that.
    store_since: float = UNKNOWN
    store_reported_at: float = NEVER

    def is_alive(self, now: float) -> bool:
        """Return whether this host has received a recent heartbeat from it."""
        return now - self.last_heartbeat_at < PEER_TIMEOUT_SECONDS

    def is_seen(self, now: float) -> bool:
        """Return whether it is alive here or was recently reported by another host."""
        return self.is_alive(now) or now - self.reported_at < REPORTED_PEER_TIMEOUT_SECONDS

    def is_live(self, now: float) -> bool:
        """Return whether it is a member: recently seen and not stopping."""
        return self.is_seen(now) and now - self.leaving_at >= LEAVING_SECONDS

    def holds_duty_lease(self, now: float) -> bool:
        """Return whether it has recently been reported to hold the duty lease."""
        return now - self.held_duty_lease_at < PEER_TIMEOUT_SECONDS

    def store_unreachable(self, now: float) -> bool:
        """Return whether it has recently reported that it cannot reach the store."""
        return now - self.store_unreachable_at < PEER_TIMEOUT_SECONDS


@dataclass(frozen=True)
class Heartbeat:
    """State that a peer reports of itself.

    `store_seconds` is the time for which the store has answered it without interruption, 0 if the
    store does not answer and None if the message does not include it.
    """

    member: Member
    incarnation: int
    leaving: bool = False
    holds_duty_lease: bool = False
    store_unreachable: bool = False
    store_seconds: float | None = None


class PeerTable:
    """All other hosts that this one knows of."""

    def __init__(self, local_member: Member) -> None:
        self._local_member = local_member
        self.peers: dict[str, Peer] = {}
        self._cached_members: tuple[Member, ...] = (local_member,)
        self._cached_until = NEVER
        # Rises with each change of the members, for caches of values derived from them.
        self.version = 0

    def add_seed(self, ip: str) -> None:
        """Add a host of which only the IP is known, until its first heartbeat names it."""
        if ip != self._local_member.ip and all(peer.ip != ip for peer in self.peers.values()):
            self.peers[SEED_PREFIX + ip] = Peer(SEED_PREFIX + ip, ip)

    def add_peer(self, host: str, ip: str) -> None:
        """Add a host by name and IP."""
        if host and ip and host != self._local_member.host and host not in self.peers:
            self.peers[host] = Peer(host, ip)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a peer's heartbeat; return whether it has become a member by it."""
        member = heartbeat.member
        self.peers.pop(SEED_PREFIX + member.ip, None)
        peer = self.peers.setdefault(member.host, Peer(member.host, member.ip))
        if heartbeat.incarnation < peer.incarnation and peer.is_alive(now):
            # A late datagram of an earlier incarnation. A peer that has been silent may return
            # with a lower number, which comes from its wall clock and may jump back.
            return False
        was_live = peer.is_live(now)
        peer.ip, peer.zone, peer.link_mbps = member.ip, member.zone, member.link_mbps
        peer.incarnation = heartbeat.incarnation
        peer.last_heartbeat_at = peer.heard_at = now
        peer.leaving_at = now if heartbeat.leaving else NEVER
        peer.held_duty_lease_at = now if heartbeat.holds_duty_lease else NEVER
        peer.store_unreachable_at = now if heartbeat.store_unreachable else NEVER
        if heartbeat.store_seconds is not None:
            peer.store_since = (
                now - heartbeat.store_seconds if heartbeat.store_seconds > 0 else UNKNOWN
            )
            peer.store_reported_at = now
        if was_live is heartbeat.leaving:
            self._cached_until = NEVER
        return not was_live and not heartbeat.leaving

    def note_reported(self, members: Iterable[Member], at: float, now: float) -> None:
        """Record that another host reports members as live at the time `at`."""
        for member in members:
            if member.host == self._local_member.host:
                continue
            peer = self.peers.get(member.host)
            if peer is None:
                self.peers.pop(SEED_PREFIX + member.ip, None)
                peer = self.peers[member.host] = Peer(member.host, member.ip)
            if not peer.is_alive(now):
                peer.ip, peer.zone, peer.link_mbps = member.ip, member.zone, member.link_mbps
            if not peer.is_seen(now):
                self._cached_until = NEVER
            peer.reported_at = max(peer.reported_at, at)
            peer.heard_at = max(peer.heard_at, at)

    def withdraw(self, host: str) -> None:
        """Discard the reports of a host whose heartbeats no reporter receives."""
        peer = self.peers.get(host)
        if peer is not None:
            peer.reported_at = NEVER
            self._cached_until = NEVER

    def list_members(self, now: float) -> tuple[Member, ...]:
        """Return all members, this host included, sorted by name."""
        if now >= self._cached_until:
            live = [
                Member(peer.host, peer.ip, peer.zone, peer.link_mbps)
                for peer in self.peers.values()
                if peer.is_live(now)
            ]
            members = tuple(sorted((*live, self._local_member), key=lambda member: member.host))
            if members != self._cached_members:
                self._cached_members = members
                self.version += 1
            self._cached_until = now + MEMBERS_CACHE_SECONDS
        return self._cached_members

    def find_store_up_since(self, now: float) -> float:
        """Return since when the store has answered some peer without interruption.

        Infinite if no peer has recently reported so: an outage of the store cannot then be
        distinguished from a broken path to it.
        """
        reported = (
            peer.store_since
            for peer in self.peers.values()
            if now - peer.store_reported_at < STORE_REPORT_SECONDS
        )
        return min(reported, default=UNKNOWN)

    def list_alive(self, now: float) -> list[Member]:
        """Return the members of which this host has received a recent heartbeat."""
        return [
            Member(peer.host, peer.ip, peer.zone, peer.link_mbps)
            for peer in self.peers.values()
            if peer.is_alive(now) and peer.is_live(now)
        ]

    def list_seen(self, now: float) -> list[Peer]:
        """Return the recently seen peers, including stopping ones."""
        return [peer for peer in self.peers.values() if peer.is_seen(now)]

    def is_alone(self, now: float) -> bool:
        """Return whether other hosts are known by name, and none is live."""
        named = any(not name.startswith(SEED_PREFIX) for name in self.peers)
        return named and not any(peer.is_live(now) for peer in self.peers.values())

    def list_silent(self, now: float, since: float) -> list[Peer]:
        """Return the peers that are not live now, and were heard after the time `since`."""
        return [
            peer for peer in self.peers.values() if peer.heard_at > since and not peer.is_live(now)
        ]

    def list_unseen(self, now: float) -> list[Peer]:
        """Return the peers not recently seen, including those known by name or IP alone."""
        return [peer for peer in self.peers.values() if not peer.is_seen(now)]
