"""Since when the store has answered this host without a break, for hosts that lost it."""

from swifttrestle.internal.state.peers import NEVER

# Seconds after the last answer for which the store still counts as reached: a watch of 1.6 s with
# its margin of 0.8 s lies between two answers, and some time for a slow host.
FRESH_SECONDS = 3.0


class StoreAvailability:
    """The answers of the store to this host's regular calls; times are the loop's."""

    def __init__(self) -> None:
        """Start without an answer."""
        self._since = NEVER
        # The last answer, minus infinity after a break.
        self.answered_at = NEVER

    def record_answer(self, now: float) -> None:
        """Take over that the store has answered."""
        if now - self.answered_at > FRESH_SECONDS:
            self._since = now
        self.answered_at = now

    def record_outage(self) -> None:
        """Take over that a call was not answered, or that no more calls are made for now.

        A host that makes none cannot vouch for the store: an outage of two seconds would lie
        between two of its answers, and lapsed instances would be dropped by its word.
        """
        self.answered_at = NEVER

    def find_available_seconds(self, now: float) -> float:
        """Return for how many seconds the store has answered without a break, 0 where it does not.

        Peers take it as proof that the store was there in that time.
        """
        if now - self.answered_at > FRESH_SECONDS:
            return 0.0
        return now - self._since
