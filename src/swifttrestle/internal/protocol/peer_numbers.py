"""Limits of the numbers that hosts send to each other, and how a number is held within its limit.

Numbers that are sums count up to their limit, at the sender and at the receiver, so that each fits
a datagram and sums over all hosts of a fleet stay exact.
"""

import math
from typing import Any

# Prompt tokens that await prefill at one engine, as one host reports them: sums over 2**14 hosts
# stay below MAX_INT64.
MAX_OPEN_TOKENS = 2**48
# Requests of one host that are open at one upstream.
MAX_OPEN_REQUESTS = 2**31
# Load that is offered to one service: prompt tokens a second, or decode slots.
MAX_OFFERED = 1e12
# Seconds in a message: some thirty years.
MAX_SECONDS = 1e9


def limit_count(value: Any, limit: int) -> int:
    """Return a number of 0 or more as a whole one of at most `limit`; raise ValueError."""
    return int(limit_number(value, limit))


def limit_number(value: Any, limit: float) -> float:
    """Return a number of 0 or more, at most `limit`; raise ValueError for what is no number.

    Numbers below 0 count as 0.
    """
    if not isinstance(value, int | float) or isinstance(value, bool) or math.isnan(value):
        raise ValueError(f"{value!r:.80} is not a number; give one from 0 to {limit}")
    return max(0, min(limit, value))


def read_seconds(value: Any) -> float:
    """Return a duration of at most MAX_SECONDS in either direction.

    Raises ValueError for what is no number.
    """
    if not isinstance(value, int | float) or isinstance(value, bool) or math.isnan(value):
        raise ValueError(f"{value!r:.80} is not a number of seconds")
    return float(max(-MAX_SECONDS, min(MAX_SECONDS, value)))
