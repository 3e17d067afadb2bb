"""Whether a caller's key may be taken for good, by how old the belief in it is.

Load pattern: operators take keys away at any moment, also while hosts stand still, are cut off
or are turned away by the store, and callers go on with them. A key that was taken away must not
be served a bound after that, wherever the request came to; a caller with a good key is best
served as long as that is certain, and one with a new key must not be told that it has none.
"""

from enum import Enum

# Seconds by which clocks of hosts and of operators may run apart within the bound, as it is a few
# seconds long: a hundred times what steady clocks do, and 2 % of the shortest bound in use.
CLOCK_MARGIN = 0.1
# Seconds after which a key that is not known may be newer than the version here: a version is in
# force everywhere within some hundred milliseconds, and 401 is final for its caller.
UNKNOWN_KEY_SECONDS = 1.5
# Seconds after which a caller may come back whose key could not be confirmed: about the time
# between two proofs; another host may know better at once.
CONFIRM_RETRY_SECONDS = 0.5


class Verdict(Enum):
    """What a host may say of a key now."""

    ALLOWED = "allowed"
    UNKNOWN = "unknown"
    UNCONFIRMED = "unconfirmed"


def check_key(known: bool, age: float, bound: float) -> Verdict:
    """Judge a key that the version in force knows, or not.

    `age` is for how many seconds, when the request was received, nothing had proved that version
    to be the newest; `bound` is how long after its removal a key may be served, infinite where
    nothing but the version in force counts.
    """
    if not is_fresh(age, bound):
        return Verdict.UNCONFIRMED
    if known:
        return Verdict.ALLOWED
    return Verdict.UNKNOWN if age <= UNKNOWN_KEY_SECONDS else Verdict.UNCONFIRMED


def is_fresh(age: float, bound: float) -> bool:
    """Return whether keys may be taken by a belief of an age."""
    return age <= bound - CLOCK_MARGIN
