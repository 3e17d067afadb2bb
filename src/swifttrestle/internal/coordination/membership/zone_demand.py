"""Demand of whole zones, in place of reports by each of their hosts."""

from swifttrestle.internal.state.demand import Demand, DemandMeter
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import PEER_TIMEOUT_SECONDS, PeerTable

# Read tokens a second, decode slots and read slots, by service, as encoded in messages.
EncodedDemand = dict[str, tuple[float, float, float]]


class ZoneDemand:
    """Updates a meter with the latest demand of each host or zone."""

    def __init__(self, me: Member, peers: PeerTable, meter: DemandMeter) -> None:
        """Update `meter`."""
        self._me = me
        self._peers = peers
        self._meter = meter
        self._updated_at: dict[str, float] = {}

    def list_own(self, now: float) -> EncodedDemand:
        """Return this host's demand, encoded for a message."""
        return _encode(self._meter.own(now))

    def sum_own_zone(self, now: float) -> EncodedDemand:
        """Return the demand of this host's zone, summed over the hosts that report to it."""
        zone = self._me.zone
        hosts = [item.host for item in self._peers.list_alive(now) if item.zone == zone]
        return _encode(self._meter.sum_of(hosts, now))

    def update_host(self, host: str, demand: EncodedDemand) -> None:
        """Store the demand of one host."""
        self._meter.note_peer(host, _decode(demand))

    def update_zone(self, zone: str, demand: EncodedDemand, now: float) -> None:
        """Store the demand of a zone, in place of that of its hosts."""
        for peer in self._peers.peers.values():
            if peer.zone == zone:
                self._meter.drop_peer(peer.host)
        sums = _decode(demand)
        if zone == self._me.zone:
            own = self._meter.own(now)
            sums = {name: item.minus(own.get(name, Demand())) for name, item in sums.items()}
        self._meter.note_peer(_make_zone_key(zone), sums)
        self._updated_at[zone] = now

    def drop_zone(self, zone: str) -> None:
        """Drop a zone's sum, since its hosts report to this host directly."""
        if self._updated_at.pop(zone, None) is not None:
            self._meter.drop_peer(_make_zone_key(zone))

    def expire(self, now: float) -> None:
        """Drop the demand of hosts and zones whose last report is too old."""
        for peer in self._peers.peers.values():
            if not peer.is_alive(now):
                self._meter.drop_peer(peer.host)
        for zone, at in list(self._updated_at.items()):
            if now - at >= PEER_TIMEOUT_SECONDS:
                self.drop_zone(zone)


def _make_zone_key(zone: str) -> str:
    """Return the key of a zone's sum in the meter, which is no host's name."""
    return f"zone {zone}"


def _encode(demand: dict[str, Demand]) -> EncodedDemand:
    return {
        name: (round(item.read_tokens), round(item.decode_slots, 2), round(item.read_slots, 2))
        for name, item in demand.items()
    }


def _decode(demand: EncodedDemand) -> dict[str, Demand]:
    return {name: Demand(*values) for name, values in demand.items()}
