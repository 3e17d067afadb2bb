"""What must hold after a round: from what callers saw and what upstreams recorded."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Any

from bench.limits import allow, count_worst
from tests.soak.callers import ONCE, expected_body
from tests.soak.processes import OTHER_KEY

# Crashes of one request after which it may reach few upstreams more, the seconds in which all hosts
# must know of them, and how few.
CRASHES, KNOWN_SECONDS, MORE = 3, 3.0, 3
# Seconds in which hosts learn of a limit.
LEARN_SECONDS = 3.0
# Seconds after which a version must be in force at all hosts.
IN_FORCE_SECONDS = 2.0
# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


@dataclass(frozen=True)
class NamedLimit:
    """A limit that an upstream named, in requests a second, and the loop's times of it."""

    upstream: Any
    rate: float
    began: float
    ended: float


def list_all(site):
    """Return all upstreams that there were, with what they recorded."""
    return [*site.upstreams.values(), *site.duties.ended]


def count_runs(site):
    runs = Counter()
    for upstream in list_all(site):
        runs.update(upstream.runs)
    return runs


def check_answers(seen):
    for item in seen:
        answer = item.answer
        if answer is None or not answer.whole or answer.status != 200:
            continue
        if answer.headers.get("x-request-id") != item.name:
            yield f"{item.name}: answered with {answer.headers.get('x-request-id')}"
        if answer.body != expected_body(item.kind, item.name):
            yield f"{item.name}: another body: {answer.body[:80]!r}"


def check_runs(seen, runs):
    for item in seen:
        if item.kind not in ONCE:
            continue
        if runs[item.name] > 1:
            yield f"{item.name}: ran {runs[item.name]} times"
        if item.answer is not None and item.answer.status in NOT_RUN and runs[item.name]:
            yield f"{item.name}: refused with {item.answer.status} and ran"


def check_planned(seen, runs):
    """In a round of planned work alone no request that ran goes without its answer."""
    for item in seen:
        lost = item.answer is not None and item.answer.status == 0
        if lost and runs[item.name]:
            yield f"{item.name}: ran, and its connection to {item.host} ended without an answer"


def check_keys(seen, runs, removed, bound, brought):
    """`removed` holds when each key was taken away; it may be served for `bound` seconds more.

    `brought` holds when keys came after the beginning. Hosts may refuse one until its version must
    be in force: a round was found by 401 for a key that all four hosts heard of 0.25 s after the
    first of these.
    """
    for item in seen:
        at = removed.get(item.key)
        if at is not None and item.began > at + bound and runs[item.name]:
            late = item.began - at
            yield f"{item.name}: ran with {item.key}, sent {late:.2f} s after that was taken away"
        in_force_at = brought.get(item.key, float("-inf")) + IN_FORCE_SECONDS
        refused = item.answer is not None and item.answer.status == 401
        if at is None and refused and item.began > in_force_at:
            yield f"{item.name}: refused for {item.key}, which is in force"


def check_workspaces(site, seen):
    """Upstreams learn whose key a request carries, and never the key."""
    owners = {item.name: "liaison" if item.key == OTHER_KEY else "club" for item in seen}
    for upstream in list_all(site):
        for name, headers in upstream.arrivals:
            if "x-key" in headers:
                yield f"{name}: its key was passed on"
            if name in owners and headers.get("x-tenant") != owners[name]:
                yield f"{name}: {headers.get('x-tenant')} in place of {owners[name]}"


def check_duties(site):
    yield from site.duties.broken


def check_orders(site):
    holders = defaultdict(set)
    for upstream in list_all(site):
        name, last = upstream.instance, 0
        for order in getattr(upstream, "arrived_orders", ()):
            if order["fenceToken"] < last:
                yield f"{name}: order with token {order['fenceToken']} after {last}"
            last = max(last, order["fenceToken"])
            holders[order["fenceToken"]].add(order["holder"])
    for token, names in holders.items():
        if len(names) > 1:
            yield f"token {token} used by {sorted(names)}"


def check_versions(versions):
    """`versions` holds, for each life of a process, the versions that it showed in order."""
    for life, shown in versions.items():
        if shown != sorted(shown):
            yield f"{life}: versions went back: {shown}"


def check_crashes(crash_times):
    """`crash_times` holds, for each deadly request, when it crashed an upstream."""
    for body, times in crash_times.items():
        late = [at for at in times[CRASHES:] if at > times[CRASHES - 1] + KNOWN_SECONDS]
        if len(late) > MORE:
            yield f"{body!r}: {len(times)} crashes, {len(late)} of them late"


def check_limits(limits):
    """In a round of planned work alone an upstream gets no more than it takes."""
    for limit in limits:
        first = limit.began + LEARN_SECONDS
        times = [at for at in limit.upstream.arrived_at if first <= at <= limit.ended]
        worst, allowed = count_worst(times), allow(limit.rate)
        if worst > allowed:
            yield f"{limit.upstream.instance}: {worst} requests in a window, {allowed} allowed"
