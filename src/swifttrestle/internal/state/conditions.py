"""What is known of what each upstream takes, by its own words."""

from dataclasses import dataclass

NEVER = float("-inf")


@dataclass(frozen=True)
class RateWord:
    """How many requests a second an upstream takes from all hosts, None for no limit.

    `at` is the loop's time at which that was heard.
    """

    rate: float | None = None
    at: float = NEVER


@dataclass
class Condition:
    """What one start of an upstream takes; times are the loop's.

    `rest_until` is when it wants to hear from this host again.
    """

    leaving: bool = False
    word: RateWord = RateWord()
    rest_until: float = NEVER

    @property
    def name(self) -> str:
        """Return the condition in one word, the gravest first, as metrics label it."""
        if self.leaving:
            return "leaving"
        return "limited" if self.word.rate is not None else "open"
