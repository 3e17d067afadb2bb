"""Decides whether other hosts may use upstreams that this host's list lacks.

A host that is cut off, or stood still, does not notice that its list has become old: nothing tells
it. What it can notice is that the store no longer answers, and that other hosts have become silent.
"""

import asyncio
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


def is_outdated(observed: ListObservation) -> bool:
    """Return whether a list is older than what other hosts may have.

    While the store answers no host, and none is lost, no host learns of new upstreams.
    """
    told_by_store = observed.store_answers_peers or observed.lost_hosts > 0
    return observed.age > MAX_LIST_AGE_SECONDS and told_by_store


def may_lack_upstreams(observed: ListObservation) -> bool:
    """Return whether other hosts may use upstreams that a list lacks.

    Lost hosts may have learnt of them in the very moment.
    """
    return observed.lost_hosts > 0 or is_outdated(observed)


class ListFreshness(ABC):
    """Knows how current this host's list of upstreams is."""

    @abstractmethod
    def find_known_at(self) -> float:
        """Return the event loop's time as of which the list shows what any host may use."""

    @abstractmethod
    def may_lack_upstreams(self) -> bool:
        """Return whether other hosts may use upstreams that this host's list lacks."""

    @abstractmethod
    def has_heard_all_since(self, at: float) -> bool:
        """Return whether all live hosts were heard since a time of the event loop's clock."""

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

    def has_heard_all_since(self, at: float) -> bool:
        """Return True."""
        return True

    def is_cut_off(self) -> bool:
        """Return False."""
        return False
