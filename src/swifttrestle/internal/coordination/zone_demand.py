"""What callers offer to whole zones, in place of what each of their hosts tells."""

from swifttrestle.internal.state.demand import Demand, DemandMeter
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import PEER_TIMEOUT_SECONDS, PeerTable

Offered = dict[str, tuple[float, float, float]]


class ZoneDemand:
    """Keeps a meter to what is fresh, host by host or zone by zone."""

    def __init__(self, me: Member, peers: PeerTable, meter: DemandMeter) -> None:
        """Write into a meter."""
        self._me = me
        self._peers = peers
        self._meter = meter
        self._told_at: dict[str, float] = {}

    def list_own(self, now: float) -> Offered:
        """Return what this host is offered, as datagrams hold it."""
        return _write_offered(self._meter.own(now))

    def sum_own_zone(self, now: float) -> Offered:
        """Return what all of this host's zone is offered, by the hosts that it hears."""
        zone = self._me.zone
        heard = [item.host for item in self._peers.list_heard(now) if item.zone == zone]
        return _write_offered(self._meter.sum_of(heard, now))

    def update_host(self, host: str, offered: Offered) -> None:
        """Take over what one host is offered."""
        self._meter.note_peer(host, _read_offered(offered))

    def update_zone(self, zone: str, offered: Offered, now: float) -> None:
        """Take over what a zone is offered, in place of what its hosts told one by one."""
        for peer in self._peers.peers.values():
            if peer.zone == zone:
                self._meter.forget_peer(peer.host)
        sums = _read_offered(offered)
        if zone == self._me.zone:
            own = self._meter.own(now)
            sums = {name: item.minus(own.get(name, Demand())) for name, item in sums.items()}
        self._meter.note_peer(_name_zone(zone), sums)
        self._told_at[zone] = now

    def drop_zone(self, zone: str) -> None:
        """Drop a zone's sum: this host hears its hosts one by one."""
        if self._told_at.pop(zone, None) is not None:
            self._meter.forget_peer(_name_zone(zone))

    def expire(self, now: float) -> None:
        """Drop what was not told again."""
        for peer in self._peers.peers.values():
            if not peer.is_heard(now):
                self._meter.forget_peer(peer.host)
        for zone, at in list(self._told_at.items()):
            if now - at >= PEER_TIMEOUT_SECONDS:
                self.drop_zone(zone)


def _name_zone(zone: str) -> str:
    """Return the name under which a zone's sum stands among single hosts."""
    return f"zone {zone}"


def _write_offered(offered: dict[str, Demand]) -> Offered:
    return {
        name: (round(item.read_tokens), round(item.decode_slots, 2), round(item.read_slots, 2))
        for name, item in offered.items()
    }


def _read_offered(offered: Offered) -> dict[str, Demand]:
    return {name: Demand(*figures) for name, figures in offered.items()}
