"""Who hears this host's reports in a large fleet: representatives, schedulers, greeted hosts."""

import random
from collections.abc import Callable, Iterable

from swifttrestle.internal.coordination.candidates import RoleCandidates
from swifttrestle.internal.coordination.representatives import Representatives
from swifttrestle.internal.policy.scheduling import is_large_fleet
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import Peer, PeerTable

# Seconds without a word of the own zone's representatives after which a host of a large fleet
# speaks to all of its zone itself: both of them missed a heartbeat, and nobody is taken for
# gone yet.
UNTOLD_SECONDS = 0.9
# Silent peers that a host of a large fleet greets with each heartbeat, so that parts of a
# fleet that lost each other meet again.
GREETED_PEERS = 2
# Seconds for which the schedulers of the same members are kept: it takes some milliseconds to find
# 143 of them among 790 hosts, and engines that come or go seldom change them.
SCHEDULERS_SECONDS = 2.0


class ReportRecipients:
    """Chooses hearers by the members and schedulers as this host sees them."""

    def __init__(
        self,
        me: Member,
        peers: PeerTable,
        candidates: RoleCandidates,
        rng: random.Random,
        now: Callable[[], float],
        find_told_at: Callable[[], float],
    ) -> None:
        """Judge by `peers`; `candidates` knows whether this host leaves.

        `find_told_at` returns when a representative of this host's zone was last heard.
        """
        self._me = me
        self._peers = peers
        self._candidates = candidates
        self._rng = rng
        self._now = now
        self._find_told_at = find_told_at
        self._representatives = Representatives(me, self.list_members)
        # Tells the hosts that schedule engines, and whether this host is one of them.
        self.list_schedulers: Callable[[], set[str]] = set
        self.schedules = False
        self._schedulers: set[str] = set()
        # The members for which the schedulers were found, and until when that holds.
        self._schedulers_for = (False, 0)
        self._schedulers_until = 0.0

    def list_members(self) -> tuple[Member, ...]:
        """Return this host and the peers heard of late, with their addresses and zones."""
        return self._peers.list_members(self._now())

    def is_large_fleet(self) -> bool:
        """Return whether the fleet is one in which few hosts speak to all."""
        return is_large_fleet(len(self.list_members()))

    def find_schedulers(self, now: float) -> None:
        """Find the schedulers again where the members have changed."""
        known = self.is_large_fleet(), self._peers.version
        if known == self._schedulers_for and now < self._schedulers_until:
            return
        self._schedulers_for = known
        self._schedulers_until = now + SCHEDULERS_SECONDS
        schedulers = self.list_schedulers()
        self.schedules = self._me.host in schedulers
        self._schedulers = schedulers - {self._me.host}

    def count_schedulers(self) -> int:
        """Return how many other hosts schedule engines."""
        return len(self._schedulers)

    def list_other_schedulers(self) -> list[Peer]:
        """Return the other hosts that schedule engines."""
        return self.list_named(self._schedulers)

    def list_for_heartbeat(self, now: float, told: bool) -> list[Peer]:
        """Return who hears a heartbeat in a large fleet; open work is `told` to schedulers.

        Hosts of a zone book by what its scheduler last told them where that one is silent.
        """
        zone = self._me.zone
        untold = self.is_untold(now)
        recipients = self._representatives.list_own()
        if told:
            recipients |= self._schedulers
        if untold or (told and self.schedules):
            recipients |= {peer.host for peer in self._peers.list_seen(now) if peer.zone == zone}
        if untold:
            recipients |= self._representatives.list_others()
        return self.list_named(recipients)

    def list_for_summary(self) -> list[Member]:
        """Return who hears a summary of this host: its zone, and other representatives."""
        return self._representatives.list_hearers()

    def choose_greeted(self, now: float) -> list[Peer]:
        """Return some peers that have been silent."""
        unseen = self._peers.list_unseen(now)
        return self._rng.sample(unseen, min(GREETED_PEERS, len(unseen)))

    def is_untold(self, now: float) -> bool:
        """Return whether no representative of this host's zone has spoken of late."""
        silent = now - self._find_told_at() >= UNTOLD_SECONDS
        return silent and self.is_large_fleet() and not self.is_representative()

    def is_representative(self) -> bool:
        """Return whether this host represents its zone."""
        return not self._candidates.leaving and self._me.host in self._representatives.list_own()

    def list_named(self, hosts: Iterable[str]) -> list[Peer]:
        """Return the peers of these names that are known."""
        known = self._peers.peers
        return [known[host] for host in hosts if host in known]
