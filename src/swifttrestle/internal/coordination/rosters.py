"""Who lives in a large fleet: representatives of each zone hear its hosts and tell all others.

Where every host spoke to every other one, heartbeats would grow with the square of their
number. Here a host speaks to the representatives of its zone alone. They tell their zone, and
the representatives of the other zones, by summaries that name the rosters by digests.
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

# Seconds after which a roster that nobody confirms any more is forgotten.
KEPT_SECONDS = 10.0
# Seconds for which a representative's word stands for its whole zone: two heartbeats.
FRESH_SECONDS = PEER_TIMEOUT_SECONDS / 2
# Seconds before the entries of a roster are asked for again: some round trips.
ASK_SECONDS = 0.2


@dataclass
class _Asked:
    """A roster that was asked for: when, and the latest time at which it was said to be true."""

    at: float
    true_at: float


@dataclass(frozen=True)
class _Word:
    """The rosters that a representative last confirmed, and when."""

    digests: frozenset[bytes]
    at: float


class Rosters:
    """The rosters that this host knows, and the exchange of them."""

    def __init__(
        self,
        me: Member,
        socket: PeerSocket,
        peers: PeerTable,
        take: Callable[[RosterSummary, str], None],
        now: Callable[[], float],
    ) -> None:
        """Write into `peers`; hand each summary, with its sender's IP, to `take`."""
        self._me = me
        self._socket = socket
        self._peers = peers
        self._take = take
        self._now = now
        self._known: dict[bytes, Roster] = {}
        self._confirmed_at: dict[bytes, float] = {}
        self._asked: dict[bytes, _Asked] = {}
        self._parts: dict[bytes, dict[int, RosterPart]] = {}
        # The newest roster that each representative made, and when it was heard.
        self._heard: dict[str, tuple[bytes, float]] = {}
        self._words: dict[str, _Word] = {}
        self._told: frozenset[bytes] = frozenset()
        # When a representative of this host's own zone was last heard.
        self.reported_at = NEVER
        socket.receive(DatagramKind.ROSTER, self._receive)

    def refresh_own(self) -> RosterConfirmation:
        """Return the mark of this host's zone as it hears it now."""
        heard = self._peers.list_heard(self._now())
        zone = self._me.zone
        return self._keep(Roster.of(zone, [self._me, *(i for i in heard if i.zone == zone)]))

    def list_strays(self) -> tuple[RosterConfirmation, ...]:
        """Return marks for hosts of other zones that this one hears, and none of their zone.

        They are told of by this host until their zone has representatives again.
        """
        now = self._now()
        heard = [item for item in self._peers.list_heard(now) if item.zone != self._me.zone]
        fresh = [digest for digest, at in self._heard.values() if now - at < FRESH_SECONDS]
        covered = self._list_hosts(fresh)
        zones = {item.zone for item in heard if item.host not in covered}
        return tuple(
            self._keep(Roster.of(zone, (item for item in heard if item.zone == zone)))
            for zone in sorted(zones)
        )

    def list_others(self, own: RosterConfirmation) -> tuple[RosterConfirmation, ...]:
        """Return the marks that other representatives made, but for one equal to this host's."""
        now = self._now()
        self._heard = {
            host: heard
            for host, heard in self._heard.items()
            if now - heard[1] < PEER_TIMEOUT_SECONDS
        }
        # Two representatives that hear the same hosts make the same roster: the later word counts.
        latest: dict[bytes, float] = {}
        for digest, at in self._heard.values():
            latest[digest] = max(at, latest.get(digest, NEVER))
        return tuple(
            RosterConfirmation(digest, round(now - at, 3))
            for digest, at in latest.items()
            if digest != own.digest
        )

    def is_news(self, marks: Sequence[RosterConfirmation]) -> bool:
        """Return whether what this host hears has changed since its last summary."""
        return not self._told.issuperset(mark.digest for mark in marks)

    def send(self, summary: RosterSummary, members: Iterable[Member]) -> None:
        """Send a summary to all who hear this host."""
        self._told = frozenset(mark.digest for mark in (summary.own, *summary.others))
        data = pack_roster_message(summary)
        for member in members:
            self._socket.send(member.ip, DatagramKind.ROSTER, data)

    def answer(self, summary: RosterSummary, ip: str) -> None:
        """Send a summary to a host that asked for help."""
        self._send(summary, ip)

    def _keep(self, roster: Roster) -> RosterConfirmation:
        digest = roster.digest()
        self._known[digest] = roster
        self._confirmed_at[digest] = self._now()
        return RosterConfirmation(digest, 0.0)

    def expire(self) -> None:
        """Forget rosters that nobody confirms any more."""
        now = self._now()
        for digest, at in list(self._confirmed_at.items()):
            if now - at > KEPT_SECONDS:
                self._known.pop(digest, None)
                del self._confirmed_at[digest]
        for host, word in list(self._words.items()):
            if now - word.at > KEPT_SECONDS:
                del self._words[host]
        for digest, asked in list(self._asked.items()):
            if now - asked.at > KEPT_SECONDS:
                self._parts.pop(digest, None)
                del self._asked[digest]

    # Called by the socket.

    def _receive(self, data: bytes, ip: str) -> None:
        """Take a datagram over; raise FrameError."""
        message = unpack_roster_message(data)
        match message:
            case RosterSummary():
                self._take_summary(message, ip)
            case RosterRequest(digests):
                self._answer(digests, ip)
            case RosterPart():
                self._take_part(message)

    def _take_summary(self, summary: RosterSummary, ip: str) -> None:
        if summary.host == self._me.host:
            raise FrameError("a summary names this host as its sender")
        now = self._now()
        if summary.zone == self._me.zone:
            self.reported_at = now
        self._heard[summary.host] = (summary.own.digest, now)
        self._take(summary, ip)
        self._confirm(summary, ip, now)
        self._note_word(summary, now)

    def _note_word(self, summary: RosterSummary, now: float) -> None:
        """Withdraw the hosts that a representative told of before and nobody tells of now."""
        digests = frozenset(mark.digest for mark in (summary.own, *summary.others))
        if not digests <= self._known.keys():
            return
        before = self._words.get(summary.host)
        self._words[summary.host] = _Word(digests, now)
        if before is None or digests >= before.digests:
            return
        told = {
            digest
            for word in self._words.values()
            if now - word.at < PEER_TIMEOUT_SECONDS
            for digest in word.digests
        }
        for host in self._list_hosts(before.digests) - self._list_hosts(told):
            self._peers.withdraw(host)

    def _list_hosts(self, digests: Iterable[bytes]) -> set[str]:
        known = (self._known[digest] for digest in digests if digest in self._known)
        return {member.host for roster in known for member in roster.members}

    def _confirm(self, summary: RosterSummary, ip: str, now: float) -> None:
        unknown = []
        for mark in (summary.own, *summary.others):
            at = now - max(0.0, mark.age)
            roster = self._known.get(mark.digest)
            if roster is not None:
                self._confirmed_at[mark.digest] = now
                self._peers.note_reported(roster.members, at, now)
            elif self._may_ask(mark.digest, at, now):
                unknown.append(mark.digest)
        if unknown:
            self._send(RosterRequest(tuple(unknown)), ip)

    def _may_ask(self, digest: bytes, true_at: float, now: float) -> bool:
        """Note a roster that is not known; return whether to ask for it now."""
        asked = self._asked.setdefault(digest, _Asked(NEVER, true_at))
        asked.true_at = max(asked.true_at, true_at)
        if now - asked.at < ASK_SECONDS:
            return False
        asked.at = now
        return True

    def _answer(self, digests: tuple[bytes, ...], ip: str) -> None:
        for digest in digests:
            roster = self._known.get(digest)
            if roster is None:
                # It has changed since; the next summary names the new one.
                continue
            for part in split_roster(roster):
                self._send(part, ip)

    def _take_part(self, part: RosterPart) -> None:
        if part.digest in self._known or part.digest not in self._asked:
            return
        parts = self._parts.setdefault(part.digest, {})
        parts[part.number] = part
        if len(parts) < part.parts:
            return
        del self._parts[part.digest]
        members = [member for number in sorted(parts) for member in parts[number].members]
        roster = Roster.of(part.zone, members)
        if roster.digest() != part.digest:
            raise FrameError("the parts of a roster do not fit together")
        now = self._now()
        self._known[part.digest] = roster
        self._confirmed_at[part.digest] = now
        self._peers.note_reported(roster.members, self._asked.pop(part.digest).true_at, now)
        log_event("roster learned", zone=roster.zone, hosts=len(roster.members))

    def _send(self, message: RosterMessage, ip: str) -> None:
        self._socket.send(ip, DatagramKind.ROSTER, pack_roster_message(message))
