"""Invariants that hold after every scenario, checked on the records of the stand-ins."""

from collections import Counter, defaultdict

from tests.common.load import Call, Load


def check_orders(engine: str, orders: list[dict], checked: bool) -> None:
    """Check that orders neither conflict, nor apply with a stale token, nor abort streams."""
    highest = 0
    for order in orders:
        assert order["effect"] != "conflict", f"{engine}: conflicting orders: {order}"
        if order["effect"] == "applied":
            assert order["cut"] == 0, f"{engine}: an order aborted {order['cut']} streams: {order}"
            assert order["token"] >= highest, f"{engine}: an old holder's order: {order}"
        if order["effect"] != "refused":
            highest = max(highest, order["token"])
    if not checked:
        lease_terms = [order["token"] >> 20 for order in orders]
        assert lease_terms == sorted(lease_terms), (
            f"{engine}: orders of two holders interleaved: {lease_terms}"
        )
    applied = Counter(order["order_id"] for order in orders if order["effect"] == "applied")
    for order_id, times in applied.items():
        assert times == 1, f"{engine}: {order_id} was applied {times} times"


def check_answers(loads: dict[str, Load], versions: tuple[str, ...]) -> None:
    """Check that complete answers match their requests, without repeated or missing offsets."""
    for load in loads.values():
        for call in load.calls:
            answer = call.answer
            assert answer is not None, f"{call.id} got no answer"
            if answer.whole:
                assert call.is_correct(versions), f"{call.id} got a wrong answer: {answer}"
            assert answer.offsets == list(range(len(answer.offsets))), f"{call.id}: {answer}"


def check_not_run(loads: dict[str, Load], runs: list[dict]) -> None:
    """Check that calls whose last answer says 'not run' did not run."""
    digests = {run["digest"] for run in runs if "digest" in run}
    ids = {run["id"] for run in runs}
    for call in _all_calls(loads):
        answer = call.answer
        if answer is None or answer.error.get("ran") != "not run":
            continue
        ran = call.id in ids if call.service == "alerts" else bool(call.digests & digests)
        assert not ran, f"{call.id} ran, but its answer says 'not run': {answer.error}"


def check_once(loads: dict[str, Load], runs: list[dict]) -> None:
    """Check that calls that may not be repeated ran at most once."""
    times = Counter(run["id"] for run in runs)
    for call in _all_calls(loads):
        if call.service == "alerts":
            assert times[call.id] <= 1, f"{call.id} ran {times[call.id]} times"


def check_epochs_written(history: list[dict]) -> None:
    """Check that each accepted shard was written with consecutive epochs."""
    last: dict[str, int] = defaultdict(int)
    for event in history:
        stored = event["object"]
        if stored["kind"] == "Accepted":
            assert event["type"] == "put"
            epoch = stored["spec"]["epoch"]
            assert epoch == last[stored["name"]] + 1, f"{stored['name']}: unexpected epoch {epoch}"
            last[stored["name"]] = epoch


def check_epochs_seen(samples: dict[str, list[dict[str, int]]]) -> None:
    """Check that no process, also after a restart, reverted to an older epoch."""
    for name, seen in samples.items():
        highest: dict[str, int] = defaultdict(int)
        for epochs in seen:
            for shard, epoch in epochs.items():
                assert epoch >= highest[shard], f"{name}: {shard} reverted to epoch {epoch}"
                highest[shard] = epoch


def _all_calls(loads: dict[str, Load]) -> list[Call]:
    return [call for load in loads.values() for call in load.calls]
