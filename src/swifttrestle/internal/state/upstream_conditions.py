"""What is known of what each upstream takes, by its own words."""

from dataclasses import dataclass, field

NEVER = float("-inf")
# Seconds for which one request tries an upstream after its rest, before another one may.
TRIAL_SECONDS = 0.5


@dataclass(frozen=True)
class RateLimit:
    """How many requests a second an upstream takes from all hosts, None for no limit.

    `at` is the loop's time at which that was heard.
    """

    rate: float | None = None
    at: float = NEVER


@dataclass
class UpstreamCondition:
    """What one start of an upstream takes; times are the loop's.

    `rest_until` is when it wants to hear from this host again, `tried_until` until when one request
    tries it after that, and `denied_until` by urgency when its limit may leave this host a request
    again. `seen_at` is when it was last listed, 0 before that.
    """

    leaving: bool = False
    rate_limit: RateLimit = RateLimit()
    rest_until: float = NEVER
    tried_until: float = NEVER
    # Whether no answer has come yet since it asked for rest.
    rested: bool = False
    denied_until: dict[bool, float] = field(default_factory=dict)
    seen_at: float = 0.0
    # Its last words that could not be read.
    unreadable: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """The condition in one word, the gravest first, as metrics label it."""
        if self.leaving:
            return "leaving"
        return "limited" if self.rate_limit.rate is not None else "open"

    def find_wait_seconds(self, now: float, urgent: bool, permitted: bool = False) -> float:
        """Return the seconds for which it takes no request from this host, 0 where it takes one.

        What its limit leaves to others does not hold back a request that has a permit.
        """
        denied = NEVER if permitted else self.denied_until.get(urgent, NEVER)
        return max(0.0, max(self.rest_until, self.tried_until, denied) - now)

    def rest(self, until: float) -> None:
        """Keep it free of work until a time."""
        self.rest_until = max(until, self.rest_until)
        self.tried_until = NEVER
        self.rested = True

    def note_sent(self, now: float) -> None:
        """Leave it after its rest to the request that is sent now, for a moment.

        All that waits for its rest to end would reach it at once otherwise.
        """
        if self.rested:
            self.tried_until = now + TRIAL_SECONDS

    def note_taken(self, sent_at: float) -> bool:
        """Take over that it took a request; return whether that ends its trial."""
        if not self.rested or sent_at < self.rest_until:
            return False
        self.rested = False
        self.tried_until = NEVER
        return True

    def deny(self, until: float, urgent: bool) -> None:
        """Hold back until a time; what is denied to urgent requests is denied to all."""
        self.denied_until[False] = max(until, self.denied_until.get(False, NEVER))
        if urgent:
            self.denied_until[True] = until

    def lift_denials(self) -> None:
        """Forget what an earlier limit denied."""
        self.denied_until.clear()
