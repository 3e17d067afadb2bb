"""Decides whether to accept a caller's API key, by the age of the configuration in force.

A revoked key must not be accepted for longer than a bound, even by a host that is suspended or
cannot reach the store, so keys are accepted only while the configuration was confirmed recently
enough. A key that may be newer than the configuration is not rejected for good.
"""

from enum import Enum

# Seconds by which clocks may drift apart within the bound. A hundred times the drift of steady
# clocks in a few seconds, and 2 % of a bound of 5 s.
CLOCK_MARGIN_SECONDS = 0.1
# Maximum age in seconds of the configuration at which an unknown key is rejected with 401, which is
# final for its caller. The key may be newer than an older configuration. A version is in force
# everywhere within some hundred milliseconds.
UNKNOWN_KEY_SECONDS = 1.5
# Seconds after which a caller whose key could not be confirmed may retry: about the interval
# between two confirmations. Another host may be able to confirm it at once.
CONFIRM_RETRY_SECONDS = 0.5


class Verdict(Enum):
    """The result of checking a key."""

    ALLOWED = "allowed"
    UNKNOWN = "unknown"
    UNCONFIRMED = "unconfirmed"


def check_key(known: bool, age: float, bound: float) -> Verdict:
    """Check a key; `known` is whether the configuration in force has it.

    `age` is the seconds from the last confirmation that this configuration is the newest to the
    receipt of the request. `bound` is the number of seconds for which a removed key may still be
    accepted; infinite where revocation has no bound.
    """
    if not is_fresh(age, bound):
        return Verdict.UNCONFIRMED
    if known:
        return Verdict.ALLOWED
    return Verdict.UNKNOWN if age <= UNKNOWN_KEY_SECONDS else Verdict.UNCONFIRMED


def is_fresh(age: float, bound: float) -> bool:
    """Return whether a configuration that was confirmed `age` seconds ago may be used for keys."""
    return age <= bound - CLOCK_MARGIN_SECONDS
