"""How long a host waits after a failed call before it makes the next one."""

import random

# A pause is drawn between this share of it and one and a half times as much, so that hosts do not
# all ask at once when what they lost comes back.
LEAST_SHARE, SPREAD = 0.5, 1.0
# Doublings after which a pause grows no more, whatever its longest length.
MOST_DOUBLINGS = 6


def draw_backoff(rng: random.Random, failures: int, first: float, longest: float) -> float:
    """Return the seconds to wait after so many failures in a row, one at least.

    The pause doubles from `first` to `longest`, both in seconds.
    """
    pause = min(longest, first * 2 ** min(failures - 1, MOST_DOUBLINGS))
    return pause * (LEAST_SHARE + SPREAD * rng.random())


def find_max_backoff(seconds: float) -> float:
    """Return the longest wait that is drawn for a pause of some seconds."""
    return seconds * (LEAST_SHARE + SPREAD)
