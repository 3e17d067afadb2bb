"""Which instances that the discovery list lacks are still used, and until when.

A record may be missing because its upstream withdrew it, or because it lapsed while the store was
away; upstreams whose records lapsed write them again soon after the store's return. What a host
cannot tell from its own calls is which of the two it was: a path that was cut looks to it like a
store that was away. Peers that the store answered all the while know better.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.peers import NEVER
from swifttrestle.internal.state.store_epochs import StoreRevision

# Seconds after an outage in which lapsed upstreams may come back before they count as gone;
# the platform promises about two.
REREGISTRATION_SECONDS = 2.2
# Seconds between looks at what is held back: a peer may prove meanwhile that there was no outage.
POLL_SECONDS = 0.2


@dataclass(frozen=True)
class _Held:
    """A removal that is held back, and the list's revision that told it; times are the loop's."""

    since: float
    until: float
    revision: StoreRevision


class Removals:
    """Drops instances from the fleet, at once or when they had their time to come back."""

    def __init__(
        self, fleet: Fleet, changed: Callable[[], None], find_up_since: Callable[[], float]
    ) -> None:
        """Drop from `fleet` and call `changed` where that happens later.

        `find_up_since` returns the earliest time since when the store has answered some peer
        without a break, infinite where no peer says so.
        """
        self._fleet = fleet
        self._changed = changed
        self._find_up_since = find_up_since
        self._held: dict[str, _Held] = {}
        self._lost_at = NEVER
        self._returned_at = NEVER
        # Until when entries may be missing that the copy lacks from which the store came back.
        self._incomplete_until = NEVER
        # Called with an instance that is dropped.
        self.note_dropped: Callable[[str], None] = do_nothing
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return how many removals are held back."""
        return len(self._held)

    def note_loss(self, answered_at: float) -> None:
        """Take over that the store stopped to answer this host after its last answer."""
        self._lost_at = answered_at

    def note_return(self, now: float) -> None:
        """Take over that the store answers this host again after a loss."""
        self._returned_at = now

    def note_epoch(self, now: float) -> None:
        """Take over that the store came back from a copy, whoever it answered meanwhile."""
        self._incomplete_until = now + REREGISTRATION_SECONDS

    def find_trusted_from(self) -> float:
        """Return the time from which a missing record is one that was withdrawn."""
        by_own = max(self._returned_at + REREGISTRATION_SECONDS, self._incomplete_until)
        return min(by_own, self._find_trusted_by_peers())

    def _find_trusted_by_peers(self) -> float:
        """Return the time from which a missing record is withdrawn by what peers know."""
        up_since = self._find_up_since()
        # A peer that the store answered all the while shows that only this host's path was cut;
        # without its word a host sent requests to an instance for 2.8 s after it had left.
        by_peers = NEVER if up_since <= self._lost_at else up_since + REREGISTRATION_SECONDS
        return max(by_peers, self._incomplete_until)

    def restore(self, name: str) -> bool:
        """Take over that an instance is listed; return whether its removal was held back."""
        return self._held.pop(name, None) is not None

    def remove(self, name: str, until: float, revision: StoreRevision) -> None:
        """Drop an instance, at once or at the loop's time `until` if it is not listed again."""
        if not self._fleet.knows(name):
            return
        now = self._now()
        held = self._held.get(name, _Held(now, until, revision))
        if now >= until:
            self._drop(name, held)
            return
        if name not in self._held:
            seconds = round(until - now, 2)
            log_event("removal held back", instance=name, seconds=seconds, revision=str(revision))
        self._held[name] = replace(held, until=min(until, held.until))
        self._look_later()

    def _drop(self, name: str, held: _Held) -> None:
        self._held.pop(name, None)
        if self._fleet.remove(name):
            self.note_dropped(name)
            seconds = round(self._now() - held.since, 2)
            log_event("instance gone", instance=name, revision=str(held.revision), held=seconds)

    def _look_later(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(POLL_SECONDS, self._look)

    def _look(self) -> None:
        """Drop what is due, by a timer: the next answer of the store may be seconds away."""
        self._timer = None
        now = self._now()
        by_peers = self._find_trusted_by_peers()
        due = {name: held for name, held in self._held.items() if now >= min(held.until, by_peers)}
        for name, held in due.items():
            self._drop(name, held)
        if due:
            self._changed()
        if self._held:
            self._look_later()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
