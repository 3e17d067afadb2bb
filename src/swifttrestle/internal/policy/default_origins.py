"""Decides which origin a route's streams have that were stored nowhere else.

Hosts store where a stream began before its caller gets the first event, unless it began at its
route's default origin. So a stream of which nothing is stored began there. The default changes only
once no stream that began at it can be taken up anymore; see docs/design/stream-versions.md.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from swifttrestle.internal.state.stream_builds import MEMORY_SECONDS, StreamOrigin

# Longest time, in seconds, for which a host relies on a default that it has read.
TRUST_SECONDS = 20.0
# Seconds without an upstream of a default origin after which it is given up.
GIVE_UP_SECONDS = 1.0
# Seconds from then on after which no stream without a note is left.
CHANGE_SECONDS = TRUST_SECONDS + MEMORY_SECONDS


@dataclass(frozen=True)
class DefaultOrigin:
    """Where streams without a note began.

    While it is not `settled`, all new streams get a note, and those without one are unknown.
    """

    origin: StreamOrigin
    settled: bool = True


@dataclass(frozen=True)
class RouteObservation:
    """What a host sees of a route; times are in seconds.

    `upstreams` has the number of upstreams by origin at which streams may begin now. The default
    origin has not been among these for `absent`, and is not settled for `unsettled`. The route is
    known for `listed`, which is infinite if it was there from the beginning.
    """

    upstreams: Mapping[StreamOrigin, int]
    absent: float
    unsettled: float
    listed: float


def choose_default(
    current: DefaultOrigin | None, observed: RouteObservation
) -> DefaultOrigin | None:
    """Return the default origin of a route, given the one that is stored, if any."""
    if not observed.upstreams:
        return current
    if current is None:
        # Streams at the location of a new route may have begun on another one.
        return _choose_new(observed) if observed.listed >= MEMORY_SECONDS else None
    if current.origin in observed.upstreams:
        return DefaultOrigin(current.origin)
    if current.settled:
        return DefaultOrigin(current.origin, settled=observed.absent < GIVE_UP_SECONDS)
    gone = min(observed.absent, observed.unsettled) >= CHANGE_SECONDS
    return _choose_new(observed) if gone else current


def _choose_new(observed: RouteObservation) -> DefaultOrigin:
    upstreams = observed.upstreams
    origin = max(upstreams, key=lambda item: (upstreams[item], item.service, item.build))
    return DefaultOrigin(origin)
