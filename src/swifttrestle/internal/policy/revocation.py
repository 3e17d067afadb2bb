"""Decides whether to accept a caller's API key, by the age of the configuration in force.

A revoked key must not be accepted for longer than a bound, even by a host that is suspended or
cannot reach the store. A valid key is accepted for as long as that is certain, and a key that may
be newer than the known configuration is not rejected for good.
"""

from enum import Enum

# Seconds by which clocks may drift apart within the bound.
CLOCK_MARGIN = 0.1
# Age in seconds of the known configuration from which an unknown key may be newer than that: 401
# is final for its caller.
UNKNOWN_KEY_SECONDS = 1.5
# Seconds after which a caller whose key could not be confirmed may retry: about the interval
# between two confirmations.
CONFIRM_RETRY_SECONDS = 0.5


class Verdict(Enum):
    """The result of checking a key."""

    ALLOWED = "allowed"
    UNKNOWN = "unknown"
    UNCONFIRMED = "unconfirmed"


def check_key(known: bool, age: float, bound: float) -> Verdict:
    """Check a key; `known` tells whether the configuration in force has it.

    `age` is the seconds from the last confirmation that this configuration is the newest to the
    receipt of the request. `bound` is for how many seconds after its removal a key may be
    accepted; infinite where revocation has no bound.
    """
    if not is_fresh(age, bound):
        return Verdict.UNCONFIRMED
    if known:
        return Verdict.ALLOWED
    return Verdict.UNKNOWN if age <= UNKNOWN_KEY_SECONDS else Verdict.UNCONFIRMED


def is_fresh(age: float, bound: float) -> bool:
    """Return whether a configuration that was confirmed `age` seconds ago may be used for keys."""
    return age <= bound - CLOCK_MARGIN
