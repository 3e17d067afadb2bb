"""Finds the aggregators of availability zones, and the summaries' recipients."""

from collections.abc import Callable, Sequence

from swifttrestle.internal.policy.scheduling import list_aggregators
from swifttrestle.internal.state.members import Member


class ZoneAggregators:
    """Finds the aggregators of all zones by the members that this host knows."""

    def __init__(self, me: Member, list_members: Callable[[], Sequence[Member]]) -> None:
        """Use the current members at each call."""
        self._me = me
        self._list_members = list_members

    def list_own(self) -> set[str]:
        """Return the aggregators of this host's zone."""
        found = list_aggregators(self._list_members(), self._me.zone)
        return {item.host for item in found}

    def list_others(self) -> set[str]:
        """Return the aggregators of all other zones."""
        members = self._list_members()
        zones = {member.zone for member in members} - {self._me.zone}
        return {item.host for zone in zones for item in list_aggregators(members, zone)}

    def list_recipients(self) -> list[Member]:
        """Return the recipients of this host's summary: its zone and the other aggregators."""
        others = self.list_others()
        return [
            item
            for item in self._list_members()
            if item.host != self._me.host and (item.zone == self._me.zone or item.host in others)
        ]
