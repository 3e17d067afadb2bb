"""Exponential backoff with jitter."""

import random

# A delay is drawn uniformly between JITTER_MIN and JITTER_MIN + JITTER_RANGE times its nominal
# length, so that hosts do not retry in step when a service recovers.
JITTER_MIN, JITTER_RANGE = 0.5, 1.0
# Caps the exponent, so that the delay cannot overflow after many failures.
MAX_DOUBLINGS = 6


def draw_backoff(rng: random.Random, failures: int, first: float, maximum: float) -> float:
    """Return the seconds to wait after `failures` consecutive failures, at least one.

    The delay doubles from `first` up to `maximum`, both in seconds.
    """
    delay = min(maximum, first * 2 ** min(failures - 1, MAX_DOUBLINGS))
    return delay * (JITTER_MIN + JITTER_RANGE * rng.random())


def find_max_backoff(seconds: float) -> float:
    """Return the longest delay that can be drawn for a nominal delay in seconds."""
    return seconds * (JITTER_MIN + JITTER_RANGE)
