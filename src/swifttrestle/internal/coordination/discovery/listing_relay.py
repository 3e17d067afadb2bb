"""Relays changes of the discovery list within a zone of a large fleet.

Watches must be short, so that a host notices a broken path to the store in time. To limit the calls
to the store, only a few hosts of each zone watch the list and relay changes to the others.
"""

from collections.abc import Callable, Sequence

from swifttrestle.internal.policy.scheduling import is_large_fleet, list_aggregators
from swifttrestle.internal.protocol.listings import ListingChanges, pack_changes, unpack_changes
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket


class ListingRelay:
    """Sends changes of the list to this host's zone, and receives those of other hosts."""

    def __init__(
        self,
        socket: PeerSocket,
        host: str,
        list_members: Callable[[], Sequence[Member]],
        has_duty: Callable[[], bool],
    ) -> None:
        """Use the host's socket and its view of the live hosts.

        A host for which `has_duty` is true watches the list itself, to notice a broken path to the
        store.
        """
        self._has_duty = has_duty
        self._socket = socket
        self._host = host
        self._list_members = list_members

    def set_receiver(self, handle: Callable[[ListingChanges], None]) -> None:
        """Call `handle` with the changes that other hosts send."""
        self._socket.set_receiver(
            DatagramKind.LISTING, lambda data, _: handle(unpack_changes(data))
        )

    def should_watch(self) -> bool:
        """Return whether this host must watch the list itself."""
        return (
            not is_large_fleet(len(self._list_members())) or self._has_duty() or self.should_relay()
        )

    def should_relay(self) -> bool:
        """Return whether this host must relay changes to its zone."""
        members = self._list_members()
        if not is_large_fleet(len(members)):
            return False
        return any(
            item.host == self._host for item in list_aggregators(members, self._find_zone(members))
        )

    def send(self, changes: ListingChanges) -> None:
        """Send changes to the other hosts of this host's zone."""
        members = self._list_members()
        zone = self._find_zone(members)
        data = pack_changes(changes)
        for member in members:
            if member.zone == zone and member.host != self._host:
                self._socket.send(member.ip, DatagramKind.LISTING, data)

    def _find_zone(self, members: Sequence[Member]) -> str:
        return next((item.zone for item in members if item.host == self._host), "")
