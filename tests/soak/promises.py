"""What must hold after a round: from what callers saw and what upstreams recorded."""

from collections import Counter, defaultdict

from tests.soak.callers import ONCE, expected_body

# Crashes of one request after which it may reach few upstreams more, the seconds in which all hosts
# must know of them, and how few.
CRASHES, KNOWN_SECONDS, MORE = 3, 3.0, 3
# Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


def count_runs(site):
    runs = Counter()
    for upstream in site.upstreams.values():
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


def check_orders(site):
    holders = defaultdict(set)
    for name, upstream in site.upstreams.items():
        last = 0
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
