"""In a large fleet a few hosts of each zone watch the discovery list and tell the others.

Each watch is a call to the store, and a short one, since a host has to notice in time that its
path to the store is broken; many hosts that all watch ask the same question all the time.
"""

from collections.abc import Callable, Sequence

from swifttrestle.internal.policy.scheduling import is_large_fleet, list_representatives
from swifttrestle.internal.protocol.listings import ListingChanges, pack_changes, unpack_changes
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket


class ListingRelay:
    """Sends changes of the list to this host's zone, and hands on those that come from it."""

    def __init__(
        self,
        socket: PeerSocket,
        host: str,
        list_members: Callable[[], Sequence[Member]],
        has_duty: Callable[[], bool],
    ) -> None:
        """Use the host's socket and its view of the hosts that live.

        A host that `has_duty` watches for itself, so that it notices where it is cut off.
        """
        self._has_duty = has_duty
        self._socket = socket
        self._host = host
        self._list_members = list_members

    def receive(self, take: Callable[[ListingChanges], None]) -> None:
        """Hand changes from other hosts to `take`."""
        self._socket.receive(DatagramKind.LISTING, lambda data, _: take(unpack_changes(data)))

    def should_watch(self) -> bool:
        """Return whether this host is to watch the list itself."""
        return (
            not is_large_fleet(len(self._list_members())) or self._has_duty() or self.should_relay()
        )

    def should_relay(self) -> bool:
        """Return whether this host is to watch the list for others too."""
        members = self._list_members()
        if not is_large_fleet(len(members)):
            return False
        return any(
            item.host == self._host for item in list_representatives(members, self._zone(members))
        )

    def send(self, changes: ListingChanges) -> None:
        """Tell this host's zone; for a host that tells."""
        members = self._list_members()
        zone = self._zone(members)
        data = pack_changes(changes)
        for member in members:
            if member.zone == zone and member.host != self._host:
                self._socket.send(member.ip, DatagramKind.LISTING, data)

    def _zone(self, members: Sequence[Member]) -> str:
        return next((item.zone for item in members if item.host == self._host), "")
