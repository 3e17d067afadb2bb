"""How long a request may wait for engines: while it can be in time, and after that.

A request that can still be answered within its objective goes first. One that cannot is answered
late from what those leave, as long as its caller is there; where they leave too little for its
turn to come before that, it is refused at once.
"""

from dataclasses import dataclass

from swifttrestle.internal.state.declared import Route

# Callers give a stream up after the longest of these without an event: so many seconds,
# objectives and longest pauses (callers' protocol).
LEAST_SILENCE_SECONDS = 2.0
SILENT_OBJECTIVES = 4.0
SILENT_PAUSES = 8.0
# Share of the objective within which a prompt must have been read, its waits included; the rest
# is for the copy of its KV cache, the first token and the way to the caller.
PREFILL_DEADLINE_SHARE = 0.75
# Share of the objective for which a request that could not be placed in time waits for an engine
# that is free sooner than predicted. What is open drains no faster than the time that is left,
# so a longer wait would seldom bring a place, and hold its caller up.
WAIT_SHARE = 0.1
# Share of the caller's patience after which a request that still waits is given up: what is
# left is needed to read it, and whoever is held for longer is served worse by a refusal.
LATE_SHARE = 0.7
# Offered load, as a share of what engines read, from which on nothing is left for late requests.
FULL_LOAD = 0.95


@dataclass(frozen=True)
class Backlog:
    """What stands before a late request: prompt tokens, and tokens a second at all engines.

    `tokens` are those of its queue up to its own, `open` those that engines have taken already,
    `share` is the part of all engines that serves this queue, `offered` what callers offer.
    """

    tokens: float
    capacity: float
    offered: float
    share: float
    open: float = 0.0


def find_patience(route: Route) -> float:
    """Return the seconds for which a caller waits for the first event, or for its answer."""
    if not route.streaming:
        return route.timeout
    silence = max(
        LEAST_SILENCE_SECONDS,
        SILENT_OBJECTIVES * route.objective,
        SILENT_PAUSES * route.gap_objective,
    )
    return min(silence, route.timeout)


def predict_late_turn(backlog: Backlog) -> float:
    """Return the seconds until a late request is read, from what requests in time leave."""
    load = backlog.offered / max(1e-9, backlog.capacity)
    left = backlog.capacity * (1.0 - load)
    if load >= FULL_LOAD or left <= 0:
        return float("inf")
    return (backlog.open + backlog.tokens / backlog.share) / left
