"""Decides whether this host reaches an upstream directly or through a peer, and which peers to ask.

A direct path counts as cut once direct connections failed twice in a row while a peer reached the
same upstream. One may be a lost packet; without such a peer the upstream itself may have ended.
"""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from swifttrestle.internal.policy.distance import NO_REGIONS, Topology
from swifttrestle.internal.state.members import Member

# Connections in a row that only a peer established, after which a path counts as cut.
RELAYED_TO_CUT = 2
# Peers that are asked to relay one connection.
MAX_RELAYS = 3
# Peers that are ranked for one connection in a large fleet.
MAX_RANKED = 16
# Seconds for which a peer that did not reach an upstream is asked last.
UNREACHED_SECONDS = 1.0


@dataclass(frozen=True)
class Cut:
    """A cut direct path: since when, in the event loop's time, and the peer that showed it."""

    since: float
    relay: str


class UpstreamPaths:
    """The direct paths of one host that are cut, and the peers' last results."""

    def __init__(
        self, local_member: Member, rng: random.Random, topology: Topology = NO_REGIONS
    ) -> None:
        """Start with no path cut."""
        self._local_member = local_member
        self._topology = topology
        self._rng = rng
        self._cuts: dict[str, Cut] = {}
        # The event loop's time of the newest cut.
        self.last_cut_at = float("-inf")
        # The connections in a row that only a peer established, by instance.
        self._relayed: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        self._unreached_at: dict[tuple[str, str], float] = {}

    @property
    def cuts(self) -> dict[str, Cut]:
        """The cut paths by instance."""
        return dict(self._cuts)

    @property
    def suspects(self) -> list[str]:
        """The instances that a peer alone has reached, too seldom for a cut."""
        return [instance for instance in self._relayed if instance not in self._cuts]

    def is_cut(self, instance: str) -> bool:
        """Return whether the direct path to an instance is cut."""
        return instance in self._cuts

    def note_relayed(self, instance: str, relay: str, now: float) -> bool:
        """Record that only a peer reached an instance; return whether that shows a new cut."""
        self._relayed[instance] = self._relayed.get(instance, 0) + 1
        if instance in self._cuts or self._relayed[instance] < RELAYED_TO_CUT:
            return False
        self._cuts[instance] = Cut(now, relay)
        self.last_cut_at = now
        return True

    def note_direct(self, instance: str) -> Cut | None:
        """Record that an instance was reached directly; return the cut that has ended."""
        self._relayed.pop(instance, None)
        return self._cuts.pop(instance, None)

    def retain(self, instances: Collection[str], now: float) -> None:
        """Forget the instances that are not among these, and outdated results."""
        for instance in set(self._relayed) - set(instances):
            self._relayed.pop(instance)
            self._cuts.pop(instance, None)
        self._unreached_at = {
            key: at for key, at in self._unreached_at.items() if now - at < UNREACHED_SECONDS
        }
        self._failed_at = {
            host: at for host, at in self._failed_at.items() if now - at < UNREACHED_SECONDS
        }

    def note_relay(self, host: str, instance: str, reached: bool, now: float) -> None:
        """Record whether a peer reached an instance."""
        if reached:
            self._failed_at.pop(host, None)
            self._unreached_at.pop((host, instance), None)
            return
        self._failed_at[host] = now
        self._unreached_at[host, instance] = now

    def choose_relays(
        self, instance: str, zone: str, members: Sequence[Member], now: float
    ) -> list[Member]:
        """Return the peers to ask for an instance in `zone`, the most promising first.

        Peers that have just failed come last, since they may be cut as well; among equals, the
        shortest path saves traffic between zones. Sound peers share the connections.
        """

        def rank(item: Member) -> tuple[bool, bool, float, float]:
            unreached_at = self._unreached_at.get((item.host, instance), float("-inf"))
            failed_at = self._failed_at.get(item.host, float("-inf"))
            return (
                now - unreached_at < UNREACHED_SECONDS,
                now - failed_at < UNREACHED_SECONDS,
                self._measure_round_trip(item.zone, zone),
                self._rng.random(),
            )

        peers = [item for item in members if item.host != self._local_member.host]
        if len(peers) > MAX_RANKED:
            peers = self._rng.sample(peers, MAX_RANKED)
        return sorted(peers, key=rank)[:MAX_RELAYS]

    def _measure_round_trip(self, relay_zone: str, zone: str) -> float:
        """Return the round trip in seconds to an upstream in `zone` through a relay."""
        to_relay = self._topology.measure(self._local_member.zone, relay_zone)
        to_upstream = self._topology.measure(relay_zone, zone)
        return to_relay.round_trip_seconds + to_upstream.round_trip_seconds
