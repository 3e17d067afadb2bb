"""Limits how long a request may wait for engines.

Requests that can still meet their route's latency objective go first. Late ones use the remaining
capacity for as long as their callers wait, and are refused at once if that is predicted to be too
late.
"""

from dataclasses import dataclass

from swifttrestle.internal.state.declared import Route

# Callers abandon a stream after the longest of these times without an event: a minimum in seconds,
# and multiples of the objectives for latency and for gaps between events (callers' protocol).
MIN_STREAM_TIMEOUT_SECONDS = 2.0
STREAM_TIMEOUT_OBJECTIVES = 4.0
STREAM_TIMEOUT_GAP_OBJECTIVES = 8.0
# Share of the latency objective by which the prefill must be done, including waits; the rest is
# for copying the KV cache, the first token and the network.
PREFILL_DEADLINE_SHARE = 0.75
# Share of the objective for which a request waits, in case an engine becomes free sooner than
# predicted, before it counts as late. Open work drains no faster than the remaining time, so a
# longer wait would seldom bring an engine, and would delay the caller.
IN_TIME_WAIT_SHARE = 0.1
# Share of the caller's timeout after which a late request that still waits is refused: the rest is
# needed to prefill it. A caller that waits longer is served worse than by a refusal.
LATE_WAIT_LIMIT_SHARE = 0.7
# Offered load, as a share of prefill capacity, from which no capacity is left for late requests.
FULL_LOAD_SHARE = 0.95


@dataclass(frozen=True)
class Backlog:
    """The prefill work before a late request, in prompt tokens and tokens a second.

    `tokens` are those of its queue, including its own, and `open` those already assigned to
    engines. `capacity` is the prefill rate of all engines, `share` the part of it that serves this
    queue, and `offered` the rate that callers offer.
    """

    tokens: float
    capacity: float
    offered: float
    share: float
    open: float = 0.0


def find_caller_timeout(route: Route) -> float:
    """Return the seconds for which a caller waits for the first event, or for the answer."""
    if not route.streaming:
        return route.timeout
    stream_timeout = max(
        MIN_STREAM_TIMEOUT_SECONDS,
        STREAM_TIMEOUT_OBJECTIVES * route.objective,
        STREAM_TIMEOUT_GAP_OBJECTIVES * route.gap_objective,
    )
    return min(stream_timeout, route.timeout)


def predict_late_prefill(backlog: Backlog) -> float:
    """Return the seconds until a late request is prefilled by the remaining capacity."""
    load = backlog.offered / max(1e-9, backlog.capacity)
    remaining_capacity = backlog.capacity * (1.0 - load)
    if load >= FULL_LOAD_SHARE or remaining_capacity <= 0:
        return float("inf")
    return (backlog.open + backlog.tokens / backlog.share) / remaining_capacity
