"""Decides whether other hosts may use upstreams that this host and its live peers do not know.

A host that is cut off, or stood still, does not notice that its list has become old: nothing tells
it. What it can notice is that other hosts have become silent.
"""

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass

from swifttrestle.internal.state.stream_builds import MEMORY_SECONDS

# Age in seconds up to which a list counts as current: two watches of the store, and its delays.
MAX_LIST_AGE_SECONDS = 4.0
# Seconds before the list's own time in which a host must have been heard to be missed.
LOST_SECONDS = MEMORY_SECONDS


@dataclass(frozen=True)
class ListObservation:
    """What a host knows of its list and of the other hosts.

    `age` is the time in seconds since the store was asked for the state that the list has. Of the
    hosts that were heard shortly before that or later, `lost_hosts` are silent without having
    announced their stop, and `stopped_hosts` announced it. `is_alone` is whether other hosts are
    known by name and none is heard.
    """

    age: float
    lost_hosts: int = 0
    stopped_hosts: int = 0
    is_alone: bool = False


def may_lack_upstreams(observed: ListObservation) -> bool:
    """Return whether hosts may use upstreams that neither this host nor its live peers know.

    Those that are lost may have learnt of them. So may those that have stopped and started again,
    unless the list was current after that.
    """
    if observed.lost_hosts or observed.is_alone:
        return True
    return observed.stopped_hosts > 0 and observed.age > MAX_LIST_AGE_SECONDS


class ListFreshness(ABC):
    """Knows how current this host's list of upstreams is."""

    @abstractmethod
    def find_known_at(self) -> float:
        """Return the event loop's time as of which live hosts know what any host may use."""

    @abstractmethod
    def may_lack_upstreams(self) -> bool:
        """Return whether hosts may use upstreams that no live host knows."""

    @abstractmethod
    def is_cut_off(self) -> bool:
        """Return whether this host has lost others and the store."""


class AlwaysFresh(ListFreshness):
    """For hosts without peers, whose list is the only one."""

    def find_known_at(self) -> float:
        """Return the present."""
        return asyncio.get_running_loop().time()

    def may_lack_upstreams(self) -> bool:
        """Return False."""
        return False

    def is_cut_off(self) -> bool:
        """Return False."""
        return False
