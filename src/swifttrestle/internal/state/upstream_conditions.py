"""The work that each upstream accepts, by the backpressure that it signals."""

from dataclasses import dataclass, field

NEVER = float("-inf")
# Time for which a single request probes an upstream after its cool-down, before others follow.
TRIAL_SECONDS = 0.5


@dataclass(frozen=True)
class RateLimit:
    """Requests per second that an upstream accepts from all hosts, None for no limit.

    `at` is the event loop's time at which the limit was received.
    """

    rate: float | None = None
    at: float = NEVER


@dataclass
class UpstreamCondition:
    """What one incarnation of an upstream accepts; times are the event loop's.

    `cool_down_until` is the end of the cool-down that it asked this host for. After that, a single
    request probes it until `tried_until`. `denied_until` is the time at which its rate limit may
    permit another request of this host, by urgency. `seen_at` is when it was last listed, 0 if
    never.
    """

    leaving: bool = False
    rate_limit: RateLimit = RateLimit()
    cool_down_until: float = NEVER
    tried_until: float = NEVER
    # Whether it has accepted no request since it asked for a cool-down.
    awaiting_trial: bool = False
    denied_until: dict[bool, float] = field(default_factory=dict)
    seen_at: float = 0.0
    # The malformed headers of its last response that had any.
    unreadable: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """The metric label of the most severe condition: leaving, limited or open."""
        if self.leaving:
            return "leaving"
        return "limited" if self.rate_limit.rate is not None else "open"

    def find_wait_seconds(self, now: float, urgent: bool, permitted: bool = False) -> float:
        """Return the seconds until it accepts a request from this host, 0 if it does now.

        A request with a permit is not delayed by the rate limit.
        """
        denied = NEVER if permitted else self.denied_until.get(urgent, NEVER)
        return max(0.0, max(self.cool_down_until, self.tried_until, denied) - now)

    def start_cool_down(self, until: float) -> None:
        """Start or extend a cool-down until the event loop's time `until`."""
        self.cool_down_until = max(until, self.cool_down_until)
        self.tried_until = NEVER
        self.awaiting_trial = True

    def note_sent(self, now: float) -> None:
        """Hold back other requests while the one sent now probes it after its cool-down.

        Otherwise all waiting requests would reach it at once.
        """
        if self.awaiting_trial:
            self.tried_until = now + TRIAL_SECONDS

    def note_accepted(self, sent_at: float) -> bool:
        """Record that it accepted a request sent at `sent_at`; return whether its trial ends."""
        if not self.awaiting_trial or sent_at < self.cool_down_until:
            return False
        self.awaiting_trial = False
        self.tried_until = NEVER
        return True

    def deny(self, until: float, urgent: bool) -> None:
        """Deny requests until a time; a denial of urgent requests applies to all."""
        self.denied_until[False] = max(until, self.denied_until.get(False, NEVER))
        if urgent:
            self.denied_until[True] = until

    def lift_denials(self) -> None:
        """Clear the denials of an earlier limit."""
        self.denied_until.clear()
