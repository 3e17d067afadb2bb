"""Which hosts represent their availability zones, and who hears them."""

from collections.abc import Callable, Sequence

from swifttrestle.internal.policy.scheduling import list_representatives
from swifttrestle.internal.state.members import Member


class Representatives:
    """The representatives of all zones, by the members as this host sees them."""

    def __init__(self, me: Member, list_members: Callable[[], Sequence[Member]]) -> None:
        """Judge by the members of the moment."""
        self._me = me
        self._list_members = list_members

    def list_own(self) -> set[str]:
        """Return the representatives of this host's zone."""
        found = list_representatives(self._list_members(), self._me.zone)
        return {item.host for item in found}

    def list_others(self) -> set[str]:
        """Return the representatives of all other zones."""
        members = self._list_members()
        zones = {member.zone for member in members} - {self._me.zone}
        return {item.host for zone in zones for item in list_representatives(members, zone)}

    def list_hearers(self) -> list[Member]:
        """Return who hears a summary of this host: its zone, and other representatives."""
        others = self.list_others()
        return [
            item
            for item in self._list_members()
            if item.host != self._me.host and (item.zone == self._me.zone or item.host in others)
        ]
