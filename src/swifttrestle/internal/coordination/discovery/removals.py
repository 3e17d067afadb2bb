"""Decides when instances that are missing from the discovery list are removed.

A record may be missing because its upstream withdrew it, or because it expired during an outage of
the store; in the second case the upstream writes it again soon after the outage. A host cannot
distinguish an outage from a failure of its own path to the store, unless the store kept answering
some peer.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.peers import NEVER
from swifttrestle.internal.state.store_epochs import StoreRevision

# Seconds after an outage in which upstreams may write expired records again. The platform promises
# about two seconds.
REREGISTRATION_SECONDS = 2.2
# Poll interval in seconds of held back removals; a peer's report may release them earlier.
POLL_SECONDS = 0.2


@dataclass(frozen=True)
class _HeldRemoval:
    """A removal that is held back, and the revision that showed it; times are the loop's."""

    since: float
    until: float
    revision: StoreRevision


class Removals:
    """Drops instances from the fleet, at once or after their time to register again."""

    def __init__(
        self, fleet: Fleet, changed: Callable[[], None], find_up_since: Callable[[], float]
    ) -> None:
        """Drop from `fleet`; call `changed` after a delayed removal.

        `find_up_since` returns the earliest time since when the store has answered some peer
        without interruption, or infinity if no peer reports one.
        """
        self._fleet = fleet
        self._changed = changed
        self._find_up_since = find_up_since
        self._held: dict[str, _HeldRemoval] = {}
        self._unreachable_since = NEVER
        self._reachable_since = NEVER
        # Until when entries may be missing that a restored store lacks.
        self._restore_incomplete_until = NEVER
        # Called with the name of each dropped instance.
        self.on_dropped: Callable[[str], None] = do_nothing
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Return how many removals are held back."""
        return len(self._held)

    def note_outage(self, last_answer_at: float) -> None:
        """Record that the store stopped answering this host after `last_answer_at`."""
        self._unreachable_since = last_answer_at

    def note_outage_end(self, now: float) -> None:
        """Record that the store answers this host again."""
        self._reachable_since = now

    def note_restore(self, now: float) -> None:
        """Record that the store was restored from an older copy."""
        self._restore_incomplete_until = now + REREGISTRATION_SECONDS

    def find_trusted_at(self) -> float:
        """Return the time from which a missing record counts as withdrawn."""
        by_own_calls = max(
            self._reachable_since + REREGISTRATION_SECONDS, self._restore_incomplete_until
        )
        return min(by_own_calls, self._find_trusted_at_by_peers())

    def _find_trusted_at_by_peers(self) -> float:
        """Return the time from which a missing record counts as withdrawn, by peers' reports."""
        up_since = self._find_up_since()
        # A peer that the store kept answering shows that only this host's path had failed. Without
        # its report this host would send requests to an instance for seconds after it had left.
        by_peers = (
            NEVER if up_since <= self._unreachable_since else up_since + REREGISTRATION_SECONDS
        )
        return max(by_peers, self._restore_incomplete_until)

    def cancel(self, name: str) -> bool:
        """Record that an instance is listed; return whether its removal was held back."""
        return self._held.pop(name, None) is not None

    def remove(self, name: str, until: float, revision: StoreRevision) -> None:
        """Drop an instance, at once or at the loop's time `until` unless it is listed by then."""
        if not self._fleet.knows(name):
            return
        now = self._now()
        held = self._held.get(name, _HeldRemoval(now, until, revision))
        if now >= until:
            self._drop(name, held)
            return
        if name not in self._held:
            seconds = round(until - now, 2)
            log_event("removal held back", instance=name, seconds=seconds, revision=str(revision))
        self._held[name] = replace(held, until=min(until, held.until))
        self._schedule_check()

    def _drop(self, name: str, held: _HeldRemoval) -> None:
        self._held.pop(name, None)
        if self._fleet.remove(name):
            self.on_dropped(name)
            seconds = round(self._now() - held.since, 2)
            log_event("instance gone", instance=name, revision=str(held.revision), held=seconds)

    def _schedule_check(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(POLL_SECONDS, self._drop_due)

    def _drop_due(self) -> None:
        """Drop instances whose hold has expired, without waiting for the store's next answer."""
        self._timer = None
        now = self._now()
        by_peers = self._find_trusted_at_by_peers()
        due = {name: held for name, held in self._held.items() if now >= min(held.until, by_peers)}
        for name, held in due.items():
            self._drop(name, held)
        if due:
            self._changed()
        if self._held:
            self._schedule_check()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
