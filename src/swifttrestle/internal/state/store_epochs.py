"""Which history of the store an answer belongs to: a store may come back from an older copy."""

from collections.abc import Callable
from dataclasses import dataclass

from swifttrestle.errors import OldEpochError
from swifttrestle.internal.callbacks import do_nothing
from swifttrestle.internal.event_log import log_event

# Seconds for which a store must have named nothing but a lower epoch until that one counts: far
# over the time in which answers from before a return may still arrive.
FALL_SECONDS = 3.0


@dataclass(frozen=True, order=True)
class StoreRevision:
    """A revision of the store in the epoch that gave it out.

    With each return from a copy the epoch rises and numbers are given out again, so that numbers
    of two epochs say nothing about each other. A store that names no epoch is in epoch 0.
    """

    epoch: int
    number: int

    def __str__(self) -> str:
        """Return the form that lines show."""
        return f"{self.epoch}.{self.number}"


# Before all that any store gives out.
NO_REVISION = StoreRevision(0, 0)


class StoreEpochs:
    """The epoch that the store is in, by what its answers name."""

    def __init__(self) -> None:
        """Start with no answer."""
        self.current = 0
        # The loop's time at which the current epoch was first named; 0 where none ever was.
        self.since = 0.0
        # How often the store has come back since this process first heard of an epoch.
        self.returns = 0
        # Called after each return.
        self.on_return: Callable[[], None] = do_nothing
        self._named = False
        self._lower_since: float | None = None
        self._told_odd = ""

    def take(self, named: int | None, now: float) -> None:
        """Take over what an answer names, None where it names none; raise OldEpochError.

        An answer without a readable epoch is of the current one. A lower one was made before the
        store's return, and tells nothing of the store as it is; only where nothing else is heard
        for a while was the store set up anew under a lower number.
        """
        if named is None:
            return
        if named == self.current and self._named:
            self._lower_since = None
            return
        if named < self.current and not self._is_fallen(named, now):
            raise OldEpochError(f"the answer is of epoch {named}, the store is in {self.current}")
        self._begin(named, now)

    def note_unreadable(self, text: str) -> None:
        """Tell once of an epoch that cannot be read."""
        if text != self._told_odd:
            self._told_odd = text
            log_event("store epoch not read", named=text[:80], epoch=self.current)

    def describe(self) -> dict[str, int]:
        """Return what operators ask: the epoch, and the returns that this process has seen."""
        return {"epoch": self.current, "returns": self.returns}

    def _is_fallen(self, named: int, now: float) -> bool:
        if self._lower_since is None:
            self._lower_since = now
            log_event("store names a lower epoch", named=named, epoch=self.current)
        return now - self._lower_since >= FALL_SECONDS

    def _begin(self, named: int, now: float) -> None:
        # A process that has just started knows no history that could have been lost.
        returned, self._named = self._named, True
        self.returns += returned
        log_event("store epoch", before=self.current, epoch=named, returns=self.returns)
        self.current, self.since = named, now
        self._lower_since = None
        if returned:
            self.on_return()
