"""How long the store has answered this host without interruption."""

from swifttrestle.internal.state.peers import NEVER

# Time after the last answer for which the store still counts as available. Exceeds the maximum
# duration of a watch with its margin, the longest regular time between two answers. These are 1.6 s
# and 0.8 s; the rest is for a slow host.
ANSWER_TIMEOUT_SECONDS = 3.0


class StoreAvailability:
    """Tracks the store's answers to this host's regular calls; times are the loop's."""

    def __init__(self) -> None:
        """Start without an answer."""
        self._available_since = NEVER
        # The time of the last answer, minus infinity after an interruption.
        self.last_answer_at = NEVER

    def record_answer(self, now: float) -> None:
        """Record that the store has answered."""
        if now - self.last_answer_at > ANSWER_TIMEOUT_SECONDS:
            self._available_since = now
        self.last_answer_at = now

    def record_outage(self) -> None:
        """Record that a call was not answered, or that no calls are made for now.

        A host that makes no calls could miss a short outage. Peers that relied on its report would
        then remove instances whose entries only expired in that outage.
        """
        self.last_answer_at = NEVER

    def find_available_seconds(self, now: float) -> float:
        """Return the seconds for which the store has answered without interruption, or 0.

        Peers conclude from it that the store had no outage in that time.
        """
        if now - self.last_answer_at > ANSWER_TIMEOUT_SECONDS:
            return 0.0
        return now - self._available_since
