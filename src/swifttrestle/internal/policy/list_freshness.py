"""Decides whether other hosts may use upstreams that this host's list lacks.

A host that is cut off, or stood still, does not notice that its list has become old: nothing tells
it. What it can notice is that the store no longer answers, and that other hosts have become silent.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from swifttrestle.internal.state.stream_builds import MEMORY_SECONDS

# Age in seconds up to which a list counts as current: two watches of the store, and its delays.
MAX_LIST_AGE_SECONDS = 4.0
# Seconds for which a host that fell silent without a word may serve on, unheard here.
LOST_SECONDS = MEMORY_SECONDS


@dataclass(frozen=True)
class ListObservation:
    """What a host knows of the age of its list.

    `age` is the time in seconds since the store was asked for the state that the list has.
    `lost_hosts` is the number of hosts that have fallen silent within LOST_SECONDS without
    announcing their stop, and `store_answers_peers` whether a peer reports that the store answers.
    """

    age: float
    lost_hosts: int
    store_answers_peers: bool


def may_lack_upstreams(observed: ListObservation) -> bool:
    """Return whether other hosts may use upstreams that a list lacks.

    While the store answers no host, no host learns of new ones. Lost hosts may reach it.
    """
    if observed.lost_hosts:
        return True
    return observed.age > MAX_LIST_AGE_SECONDS and observed.store_answers_peers


class ListFreshness(ABC):
    """Knows how current this host's list of upstreams is."""

    @abstractmethod
    def may_lack_upstreams(self) -> bool:
        """Return whether other hosts may use upstreams that this host's list lacks."""

    @abstractmethod
    def is_cut_off(self) -> bool:
        """Return whether this host has lost others and the store."""


class AlwaysFresh(ListFreshness):
    """For hosts without peers, whose list is the only one."""

    def may_lack_upstreams(self) -> bool:
        """Return False."""
        return False

    def is_cut_off(self) -> bool:
        """Return False."""
        return False
