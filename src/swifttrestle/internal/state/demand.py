"""How much work callers offer to each service, served or not, at all hosts together."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Seconds over which offered work is averaged: longer than an engine is away for a change of
# its role, so that a swing which is over by then is not followed.
AVERAGE_SECONDS = 4.0
# Seconds that a request holds a decoding engine's slot until that has been measured.
UNKNOWN_HOLD_SECONDS = 0.5
# Share of the newest measurement in a learned hold time.
LEARN_SHARE = 0.1
# The same for the share of prompts that must be read, which differs much from one to the next.
READ_LEARN_SHARE = 0.02


@dataclass(frozen=True)
class Demand:
    """Offered work: prompt tokens to read a second, and decode slots held at any moment.

    `read_slots` are those of the decode slots whose requests have their prompt read by another
    engine first: they are held only for prompts that are read.
    """

    read_tokens: float = 0.0
    decode_slots: float = 0.0
    read_slots: float = 0.0

    def plus(self, other: "Demand") -> "Demand":
        """Return both together."""
        return Demand(
            self.read_tokens + other.read_tokens,
            self.decode_slots + other.decode_slots,
            self.read_slots + other.read_slots,
        )

    def minus(self, other: "Demand") -> "Demand":
        """Return what is left without the other, nothing below zero."""
        return Demand(
            max(0.0, self.read_tokens - other.read_tokens),
            max(0.0, self.decode_slots - other.decode_slots),
            max(0.0, self.read_slots - other.read_slots),
        )

    def times(self, factor: float) -> "Demand":
        """Return a multiple of it."""
        return Demand(
            self.read_tokens * factor, self.decode_slots * factor, self.read_slots * factor
        )

    def count_slots(self, read_rate: float) -> float:
        """Return the decode slots held where so many prompt tokens a second are read."""
        if self.read_tokens <= read_rate:
            return self.decode_slots
        return self.decode_slots - self.read_slots * (1 - read_rate / self.read_tokens)


class DemandMeter:
    """Measures what this host's callers offer, and adds what peers report."""

    def __init__(self) -> None:
        """Start with nothing offered."""
        self._sums: dict[str, Demand] = defaultdict(Demand)
        self._at: dict[str, float] = {}
        self._holds: dict[str, float] = {}
        self._read_shares: dict[str, float] = {}
        self._peers: dict[str, Mapping[str, Demand]] = {}

    def note_arrival(self, service: str, route: str, tokens: int, now: float) -> None:
        """Count one offered request; `tokens` are those that another engine is to read."""
        hold = self._holds.get(route, UNKNOWN_HOLD_SECONDS)
        # Whole prompts count, although engines keep some parts: prompts that find theirs kept are
        # served more often than others, so the share that is read says too little of the rest.
        offered = Demand(tokens, hold, hold if tokens else 0.0)
        self._sums[service] = self._fade(service, now).plus(offered)
        self._at[service] = now

    def note_read(self, service: str, tokens: int, unread: int) -> None:
        """Learn which share of prompts engines do not keep already and must read."""
        if tokens <= 0:
            return
        known = self._read_shares.get(service, 1.0)
        self._read_shares[service] = known + READ_LEARN_SHARE * (unread / tokens - known)

    def read_share(self, service: str) -> float:
        """Return the share of long prompts' tokens that engines must read."""
        return self._read_shares.get(service, 1.0)

    def note_hold(self, route: str, seconds: float) -> None:
        """Learn how long a route's requests hold a decode slot."""
        known = self._holds.get(route, seconds)
        self._holds[route] = known + LEARN_SHARE * (seconds - known)

    def own(self, now: float) -> dict[str, Demand]:
        """Return what this host is offered, by service."""
        return {
            service: self._fade(service, now).times(1 / AVERAGE_SECONDS)
            for service in list(self._sums)
        }

    def note_peer(self, peer: str, offered: Mapping[str, Demand]) -> None:
        """Take over what a peer is offered."""
        self._peers[peer] = offered

    def forget_peer(self, peer: str) -> None:
        """Drop a peer that does not live any more."""
        self._peers.pop(peer, None)

    def sum_of(self, peers: Iterable[str], now: float) -> dict[str, Demand]:
        """Return what this host and some peers are offered, by service."""
        sums: dict[str, Demand] = defaultdict(Demand, self.own(now))
        for peer in peers:
            for service, offered in self._peers.get(peer, {}).items():
                sums[service] = sums[service].plus(offered)
        return dict(sums)

    def total(self, service: str, now: float) -> Demand:
        """Return what all hosts are offered for a service."""
        total = self.own(now).get(service, Demand())
        for offered in self._peers.values():
            total = total.plus(offered.get(service, Demand()))
        return total

    def _fade(self, service: str, now: float) -> Demand:
        sums = self._sums[service]
        return sums.times(math.exp(-max(0.0, now - self._at.get(service, now)) / AVERAGE_SECONDS))
