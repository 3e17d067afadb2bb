"""Distributes the live hosts of a large fleet through zone aggregators.

If every host sent heartbeats to every other one, their number would grow with the square of the
number of hosts. Instead a host reports to the aggregators of its zone only. They send summaries to
their zone and to the aggregators of other zones. A summary contains the digests of rosters, which
are the lists of live hosts.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from swifttrestle.errors import FrameError
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.protocol.rosters import (
    Roster,
    RosterConfirmation,
    RosterMessage,
    RosterPart,
    RosterRequest,
    RosterSummary,
    pack_roster_message,
    split_roster,
    unpack_roster_message,
)
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import NEVER, PEER_TIMEOUT_SECONDS, PeerTable
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket

# Seconds after which a roster that is no longer confirmed is discarded.
ROSTER_RETENTION_SECONDS = 10.0
# Seconds for which an aggregator's summary covers its whole zone: two heartbeats.
COVERAGE_SECONDS = PEER_TIMEOUT_SECONDS / 2
# Seconds before the entries of a roster are requested again.
REQUEST_RETRY_SECONDS = 0.2


@dataclass
class _RequestedRoster:
    """A requested roster: when it was requested, and the latest time at which it was valid."""

    at: float
    valid_at: float


@dataclass(frozen=True)
class _ConfirmedRosters:
    """The rosters that an aggregator confirmed last, and when."""

    digests: frozenset[bytes]
    at: float


class Rosters:
    """Keeps the rosters that this host knows, and exchanges them with peers."""

    def __init__(
        self,
        me: Member,
        socket: PeerSocket,
        peers: PeerTable,
        handle: Callable[[RosterSummary, str], None],
        now: Callable[[], float],
    ) -> None:
        """Write into `peers`; call `handle` with each summary and its sender's IP."""
        self._me = me
        self._socket = socket
        self._peers = peers
        self._handle = handle
        self._now = now
        self._known: dict[bytes, Roster] = {}
        self._confirmed_at: dict[bytes, float] = {}
        self._requested: dict[bytes, _RequestedRoster] = {}
        self._parts: dict[bytes, dict[int, RosterPart]] = {}
        # The latest roster of each aggregator's own zone, and when it was received.
        self._own_rosters: dict[str, tuple[bytes, float]] = {}
        self._confirmed_rosters: dict[str, _ConfirmedRosters] = {}
        self._sent_digests: frozenset[bytes] = frozenset()
        # When a message of an aggregator of this host's zone was last received.
        self.aggregator_message_at = NEVER
        socket.set_receiver(DatagramKind.ROSTER, self._receive)

    def refresh_own(self) -> RosterConfirmation:
        """Return the confirmation of a roster of the zone's hosts that send this one heartbeats."""
        alive = self._peers.list_alive(self._now())
        zone = self._me.zone
        return self._store_roster(
            Roster.of(zone, [self._me, *(i for i in alive if i.zone == zone)])
        )

    def list_orphaned(self) -> tuple[RosterConfirmation, ...]:
        """Return confirmations for orphaned hosts of other zones, which no aggregator reports.

        This host receives their heartbeats and reports them until their zone has aggregators again.
        """
        now = self._now()
        alive = [item for item in self._peers.list_alive(now) if item.zone != self._me.zone]
        covering = [
            digest for digest, at in self._own_rosters.values() if now - at < COVERAGE_SECONDS
        ]
        covered = self._list_hosts(covering)
        zones = {item.zone for item in alive if item.host not in covered}
        return tuple(
            self._store_roster(Roster.of(zone, (item for item in alive if item.zone == zone)))
            for zone in sorted(zones)
        )

    def list_others(self, own: RosterConfirmation) -> tuple[RosterConfirmation, ...]:
        """Return the confirmations of other aggregators, except one that equals `own`."""
        now = self._now()
        self._own_rosters = {
            host: received
            for host, received in self._own_rosters.items()
            if now - received[1] < PEER_TIMEOUT_SECONDS
        }
        # Aggregators of the same live hosts send the same roster: the latest time counts.
        latest: dict[bytes, float] = {}
        for digest, at in self._own_rosters.values():
            latest[digest] = max(at, latest.get(digest, NEVER))
        return tuple(
            RosterConfirmation(digest, round(now - at, 3))
            for digest, at in latest.items()
            if digest != own.digest
        )

    def has_changed(self, confirmations: Sequence[RosterConfirmation]) -> bool:
        """Return whether the rosters have changed since this host's last summary."""
        return not self._sent_digests.issuperset(
            confirmation.digest for confirmation in confirmations
        )

    def send(self, summary: RosterSummary, members: Iterable[Member]) -> None:
        """Send a summary to its recipients."""
        self._sent_digests = frozenset(
            confirmation.digest for confirmation in (summary.own, *summary.others)
        )
        data = pack_roster_message(summary)
        for member in members:
            self._socket.send(member.ip, DatagramKind.ROSTER, data)

    def send_to(self, summary: RosterSummary, ip: str) -> None:
        """Send a summary to a single host."""
        self._send(summary, ip)

    def _store_roster(self, roster: Roster) -> RosterConfirmation:
        digest = roster.digest()
        self._known[digest] = roster
        self._confirmed_at[digest] = self._now()
        return RosterConfirmation(digest, 0.0)

    def expire(self) -> None:
        """Discard rosters that are no longer confirmed."""
        now = self._now()
        for digest, at in list(self._confirmed_at.items()):
            if now - at > ROSTER_RETENTION_SECONDS:
                self._known.pop(digest, None)
                del self._confirmed_at[digest]
        for host, confirmed in list(self._confirmed_rosters.items()):
            if now - confirmed.at > ROSTER_RETENTION_SECONDS:
                del self._confirmed_rosters[host]
        for digest, requested in list(self._requested.items()):
            if now - requested.at > ROSTER_RETENTION_SECONDS:
                self._parts.pop(digest, None)
                del self._requested[digest]

    # Called by the socket.

    def _receive(self, data: bytes, ip: str) -> None:
        """Handle a datagram; raise FrameError."""
        message = unpack_roster_message(data)
        match message:
            case RosterSummary():
                self._handle_summary(message, ip)
            case RosterRequest(digests):
                self._send_rosters(digests, ip)
            case RosterPart():
                self._handle_part(message)

    def _handle_summary(self, summary: RosterSummary, ip: str) -> None:
        if summary.host == self._me.host:
            raise FrameError(f"a summary names this host as its sender ({summary.host})")
        now = self._now()
        if summary.zone == self._me.zone:
            self.aggregator_message_at = now
        self._own_rosters[summary.host] = (summary.own.digest, now)
        self._handle(summary, ip)
        self._confirm(summary, ip, now)
        self._withdraw_unreported(summary, now)

    def _withdraw_unreported(self, summary: RosterSummary, now: float) -> None:
        """Withdraw the hosts that an aggregator reported before and that none reports now."""
        digests = frozenset(confirmation.digest for confirmation in (summary.own, *summary.others))
        if not digests <= self._known.keys():
            return
        before = self._confirmed_rosters.get(summary.host)
        self._confirmed_rosters[summary.host] = _ConfirmedRosters(digests, now)
        if before is None or digests >= before.digests:
            return
        reported = {
            digest
            for confirmed in self._confirmed_rosters.values()
            if now - confirmed.at < PEER_TIMEOUT_SECONDS
            for digest in confirmed.digests
        }
        for host in self._list_hosts(before.digests) - self._list_hosts(reported):
            self._peers.withdraw(host)

    def _list_hosts(self, digests: Iterable[bytes]) -> set[str]:
        known = (self._known[digest] for digest in digests if digest in self._known)
        return {member.host for roster in known for member in roster.members}

    def _confirm(self, summary: RosterSummary, ip: str, now: float) -> None:
        unknown = []
        for confirmation in (summary.own, *summary.others):
            at = now - max(0.0, confirmation.age)
            roster = self._known.get(confirmation.digest)
            if roster is not None:
                self._confirmed_at[confirmation.digest] = now
                self._peers.note_reported(roster.members, at, now)
            elif self._must_request(confirmation.digest, at, now):
                unknown.append(confirmation.digest)
        if unknown:
            self._send(RosterRequest(tuple(unknown)), ip)

    def _must_request(self, digest: bytes, valid_at: float, now: float) -> bool:
        """Record an unknown roster; return whether to request it now."""
        requested = self._requested.setdefault(digest, _RequestedRoster(NEVER, valid_at))
        requested.valid_at = max(requested.valid_at, valid_at)
        if now - requested.at < REQUEST_RETRY_SECONDS:
            return False
        requested.at = now
        return True

    def _send_rosters(self, digests: tuple[bytes, ...], ip: str) -> None:
        for digest in digests:
            roster = self._known.get(digest)
            if roster is None:
                # It has changed since; the next summary names the new one.
                continue
            for part in split_roster(roster):
                self._send(part, ip)

    def _handle_part(self, part: RosterPart) -> None:
        if part.digest in self._known or part.digest not in self._requested:
            return
        parts = self._parts.setdefault(part.digest, {})
        parts[part.number] = part
        if len(parts) < part.parts:
            return
        del self._parts[part.digest]
        members = [member for number in sorted(parts) for member in parts[number].members]
        roster = Roster.of(part.zone, members)
        if roster.digest() != part.digest:
            raise FrameError(
                f"a roster's parts have digest {roster.digest().hex()}, not {part.digest.hex()}"
            )
        now = self._now()
        self._known[part.digest] = roster
        self._confirmed_at[part.digest] = now
        self._peers.note_reported(roster.members, self._requested.pop(part.digest).valid_at, now)
        log_event("roster learned", zone=roster.zone, hosts=len(roster.members))

    def _send(self, message: RosterMessage, ip: str) -> None:
        self._socket.send(ip, DatagramKind.ROSTER, pack_roster_message(message))
