"""Epochs of the store, which change when the store is restored from an older copy."""

from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.errors import OldEpochError
from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.event_log import log_event

# Seconds for which the store must name only lower epochs until a lower one is accepted: far longer
# than responses from before a restore can be delayed.
LOWER_EPOCH_SECONDS = 3.0


@dataclass(frozen=True, order=True)
class StoreRevision:
    """A revision of the store, and the epoch in which it was issued.

    Each restore from a copy raises the epoch and issues revision numbers again, so that numbers of
    two epochs cannot be compared. A store that names no epoch is in epoch 0.
    """

    epoch: int
    number: int

    def __str__(self) -> str:
        """Return the form shown in log lines."""
        return f"{self.epoch}.{self.number}"


# Precedes all revisions that a store issues.
NO_REVISION = StoreRevision(0, 0)


class StoreEpochs:
    """Tracks the store's current epoch by its responses."""

    def __init__(self) -> None:
        self.current = 0
        # The event loop's time at which the current epoch was first named, 0 if none was.
        self.since = 0.0
        # The number of restores since this process first received an epoch.
        self.returns = 0
        # Called after each restore.
        self.on_restore: Callable[[], None] = do_nothing
        self._has_epoch = False
        self._lower_since: float | None = None
        self._logged_text = ""

    def take(self, named: int | None, now: float) -> None:
        """Update by the epoch that a response names, None if none; raise OldEpochError.

        A response without a readable epoch belongs to the current one. A response with a lower
        epoch dates from before a restore and is rejected, unless only lower ones arrive for
        LOWER_EPOCH_SECONDS: then the store was recreated with a lower epoch.
        """
        if named is None:
            return
        if named == self.current and self._has_epoch:
            self._lower_since = None
            return
        if named < self.current and not self._accepts_lower(named, now):
            raise OldEpochError(f"response of store epoch {named}; current epoch: {self.current}")
        self._enter(named, now)

    def note_unreadable(self, text: str) -> None:
        """Log an unparseable epoch, once per text."""
        if text != self._logged_text:
            self._logged_text = text
            log_event("store epoch not read", named=text[:80], epoch=self.current)

    def describe(self) -> dict[str, int]:
        """Return the epoch and the number of restores seen, for operators."""
        return {"epoch": self.current, "returns": self.returns}

    def _accepts_lower(self, named: int, now: float) -> bool:
        if self._lower_since is None:
            self._lower_since = now
            log_event("store names a lower epoch", named=named, epoch=self.current)
        return now - self._lower_since >= LOWER_EPOCH_SECONDS

    def _enter(self, named: int, now: float) -> None:
        # The first epoch that a process receives is no restore.
        restored, self._has_epoch = self._has_epoch, True
        self.returns += restored
        log_event("store epoch", before=self.current, epoch=named, returns=self.returns)
        self.current, self.since = named, now
        self._lower_since = None
        if restored:
            self.on_restore()
