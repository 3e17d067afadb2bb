"""The load that callers offer to each service on all hosts, whether it is served or not."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Time constant of the average of offered load. It exceeds the time of an engine's role change, so
# that swings shorter than a role change cause none.
AVERAGE_SECONDS = 4.0
# Assumed time for which a request holds a decode slot, until one is measured.
DEFAULT_HOLD_SECONDS = 0.5
# Weight of a new sample in the moving average of hold times.
HOLD_SAMPLE_WEIGHT = 0.1
# Weight of a new sample in the moving average of the share of prompt tokens that need prefill,
# which varies widely between requests.
READ_SHARE_SAMPLE_WEIGHT = 0.02


@dataclass(frozen=True)
class Demand:
    """Offered load: prompt tokens per second to prefill, and decode slots in use on average.

    `read_slots` are the decode slots of requests whose prompt is prefilled by another engine
    first; such a slot is in use only if that prefill happens.
    """

    read_tokens: float = 0.0
    decode_slots: float = 0.0
    read_slots: float = 0.0

    def plus(self, other: "Demand") -> "Demand":
        """Return the sum of both."""
        return Demand(
            self.read_tokens + other.read_tokens,
            self.decode_slots + other.decode_slots,
            self.read_slots + other.read_slots,
        )

    def minus(self, other: "Demand") -> "Demand":
        """Return the difference, with each field at least zero."""
        return Demand(
            max(0.0, self.read_tokens - other.read_tokens),
            max(0.0, self.decode_slots - other.decode_slots),
            max(0.0, self.read_slots - other.read_slots),
        )

    def times(self, factor: float) -> "Demand":
        """Return the demand multiplied by a factor."""
        return Demand(
            self.read_tokens * factor, self.decode_slots * factor, self.read_slots * factor
        )

    def count_slots(self, read_rate: float) -> float:
        """Return the decode slots in use at a prefill rate in prompt tokens per second."""
        if self.read_tokens <= read_rate:
            return self.decode_slots
        return self.decode_slots - self.read_slots * (1 - read_rate / self.read_tokens)


class DemandMeter:
    """Measures the load that this host's callers offer, and adds that reported by peers."""

    def __init__(self) -> None:
        self._sums: dict[str, Demand] = defaultdict(Demand)
        self._at: dict[str, float] = {}
        self._hold_seconds: dict[str, float] = {}
        self._read_shares: dict[str, float] = {}
        self._peers: dict[str, Mapping[str, Demand]] = {}

    def note_arrival(self, service: str, route: str, tokens: int, now: float) -> None:
        """Count an offered request; `tokens` are the prompt tokens for another engine to prefill.

        All tokens of a prompt count, even if engines have some of them cached: requests with cached
        parts are served more often, so the cached share of served requests overestimates that of
        all requests.
        """
        hold = self._hold_seconds.get(route, DEFAULT_HOLD_SECONDS)
        offered = Demand(tokens, hold, hold if tokens else 0.0)
        self._sums[service] = self._decayed(service, now).plus(offered)
        self._at[service] = now

    def note_read(self, service: str, tokens: int, unread: int) -> None:
        """Update the share of prompt tokens that need prefill, by one request."""
        if tokens <= 0:
            return
        known = self._read_shares.get(service, 1.0)
        self._read_shares[service] = known + READ_SHARE_SAMPLE_WEIGHT * (unread / tokens - known)

    def read_share(self, service: str) -> float:
        """Return the share of the tokens of long prompts that need prefill."""
        return self._read_shares.get(service, 1.0)

    def note_hold(self, route: str, seconds: float) -> None:
        """Update the average time for which a route's requests hold a decode slot."""
        known = self._hold_seconds.get(route, seconds)
        self._hold_seconds[route] = known + HOLD_SAMPLE_WEIGHT * (seconds - known)

    def find_hold_seconds(self, route: str) -> float:
        """Return the average time for which a route's requests hold a decode slot; 0 if unknown."""
        return self._hold_seconds.get(route, 0.0)

    def own(self, now: float) -> dict[str, Demand]:
        """Return the load offered to this host, by service."""
        return {
            service: self._decayed(service, now).times(1 / AVERAGE_SECONDS)
            for service in list(self._sums)
        }

    def note_peer(self, peer: str, offered: Mapping[str, Demand]) -> None:
        """Store the load that a peer reports."""
        self._peers[peer] = offered

    def drop_peer(self, peer: str) -> None:
        """Drop the load reported by a peer."""
        self._peers.pop(peer, None)

    def sum_of(self, peers: Iterable[str], now: float) -> dict[str, Demand]:
        """Return the load offered to this host and the given peers, by service."""
        sums: dict[str, Demand] = defaultdict(Demand, self.own(now))
        for peer in peers:
            for service, offered in self._peers.get(peer, {}).items():
                sums[service] = sums[service].plus(offered)
        return dict(sums)

    def total(self, service: str, now: float) -> Demand:
        """Return the load offered to all hosts for a service."""
        total = self.own(now).get(service, Demand())
        for offered in self._peers.values():
            total = total.plus(offered.get(service, Demand()))
        return total

    def _decayed(self, service: str, now: float) -> Demand:
        sums = self._sums[service]
        return sums.times(math.exp(-max(0.0, now - self._at.get(service, now)) / AVERAGE_SECONDS))
