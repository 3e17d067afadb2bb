"""Predicts when decode engines of a software version take requests, for streams that it began.

A stream that has begun has no choice of other versions: what is left of its own one may be failing,
in a role change, or held by its backpressure.
"""

from collections.abc import Callable, Iterable

from swifttrestle.internal.state.declared import Role
from swifttrestle.internal.state.fleet import Instance

# Seconds until a version without a decode engine is worth another try: crashed engines hardly start
# sooner, and callers try a few times only.
RECOVERY_SECONDS = 1.0
# Share of Retry-After that is drawn in addition, so that callers do not return all at once.
JITTER_SHARE = 0.5


def predict_return(
    engines: Iterable[Instance], now: float, find_hold_seconds: Callable[[Instance], float]
) -> float | None:
    """Return the seconds until a decode engine is back at the earliest, None if there is none.

    `engines` are those of the version. An engine that fails may be back at any moment.
    """
    return min(
        (
            max(0.0, item.role_changing_until - now, find_hold_seconds(item))
            for item in engines
            if item.role is Role.DECODE
        ),
        default=None,
    )


def choose_return_delay(predicted: float | None, longest: float, drawn: float) -> float:
    """Return Retry-After in seconds for a version that is back after `predicted` seconds, if known.

    Callers heed up to `longest` seconds; `drawn` is random, from 0 to 1.
    """
    seconds = max(RECOVERY_SECONDS, predicted or 0.0)
    return min(longest, seconds * (1 + JITTER_SHARE * drawn))
