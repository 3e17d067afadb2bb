"""Distances between availability zones, and what they cost.

Every decision that compares zones uses this module. With one region, or with none named, two
different zones are always of the same region, so that no decision depends on regions.

When a region is left: for one request, if its upstreams are refused, gone or full, or if another
region serves the request sooner in spite of the longer round trip. No state is kept of that, so
the region is used again as soon as it has capacity. Requests do not oscillate between two regions
whose loads are nearly equal, since the round trip counts against the region that is not the
caller's.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

# Round trips in seconds, of 1.4 ms one way between zones of a region and 12 ms between regions.
# Those within a zone are negligible.
SAME_REGION_ROUND_TRIP_SECONDS = 0.003
OTHER_REGION_ROUND_TRIP_SECONDS = 0.024
# How many times as long as within a zone a copy of KV cache takes (engines' protocol).
SAME_REGION_COPY_FACTOR = 2.0
OTHER_REGION_COPY_FACTOR = 10.0


class Distance(Enum):
    """How far two availability zones are from each other; the value is the name in metrics."""

    SAME_ZONE = "same_zone"
    SAME_REGION = "same_region"
    OTHER_REGION = "other_region"

    @property
    def round_trip_seconds(self) -> float:
        """Time of a round trip."""
        return _ROUND_TRIP_SECONDS[self]

    @property
    def extra_seconds(self) -> float:
        """Time by which a round trip exceeds one within a region; 0 within a region."""
        return max(0.0, self.round_trip_seconds - SAME_REGION_ROUND_TRIP_SECONDS)

    @property
    def relative_round_trip(self) -> float:
        """Round trip relative to one within a region."""
        return self.round_trip_seconds / SAME_REGION_ROUND_TRIP_SECONDS

    @property
    def copy_factor(self) -> float:
        """Duration of a copy of KV cache, relative to one within a zone."""
        return _COPY_FACTORS[self]

    @property
    def extra_copy_factor(self) -> float:
        """Part of `copy_factor` that exceeds the one within a region; 0 within a region."""
        return max(0.0, self.copy_factor - SAME_REGION_COPY_FACTOR)


_ROUND_TRIP_SECONDS = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: SAME_REGION_ROUND_TRIP_SECONDS,
    Distance.OTHER_REGION: OTHER_REGION_ROUND_TRIP_SECONDS,
}
_COPY_FACTORS = {
    Distance.SAME_ZONE: 1.0,
    Distance.SAME_REGION: SAME_REGION_COPY_FACTOR,
    Distance.OTHER_REGION: OTHER_REGION_COPY_FACTOR,
}


@dataclass(frozen=True)
class Topology:
    """The region of each availability zone, as far as known."""

    regions: Mapping[str, str] = field(default_factory=dict)

    def measure(self, zone: str, other: str) -> Distance:
        """Return the distance between two zones; those of unknown region count as near."""
        if zone == other:
            return Distance.SAME_ZONE
        region = self.find_region(zone)
        other_region = self.find_region(other)
        if not region or not other_region or region == other_region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def is_same_region(self, zone: str, other: str) -> bool:
        """Return whether two zones are of the same region, or the region of one is unknown."""
        return self.measure(zone, other) is not Distance.OTHER_REGION

    def find_region(self, zone: str) -> str:
        """Return the region of a zone, empty if it is unknown."""
        return self.regions.get(zone, "")


NO_REGIONS = Topology()
