"""What must hold after every scenario, read from the stand-ins' own records."""

from collections import Counter, defaultdict

from tests.common.load import Call, Load


def check_orders(engine: str, orders: list[dict], checked: bool) -> None:
    """No conflicting orders, no order of an old holder applied, no stream cut by an order."""
    highest = 0
    for order in orders:
        assert order["effect"] != "conflict", f"{engine}: an order met another one: {order}"
        if order["effect"] == "applied":
            assert order["cut"] == 0, f"{engine}: an order cut {order['cut']} streams: {order}"
            assert order["token"] >= highest, f"{engine}: an old holder's order: {order}"
        if order["effect"] != "refused":
            highest = max(highest, order["token"])
    if not checked:
        terms = [order["token"] >> 20 for order in orders]
        assert terms == sorted(terms), f"{engine}: orders of two holders crossed: {terms}"
    applied = Counter(order["order_id"] for order in orders if order["effect"] == "applied")
    for order_id, times in applied.items():
        assert times == 1, f"{engine}: {order_id} took effect {times} times"


def check_answers(loads: dict[str, Load], versions: tuple[str, ...]) -> None:
    """Each whole answer is the answer to its own question; no offset twice or missing."""
    for load in loads.values():
        for call in load.calls:
            answer = call.answer
            assert answer is not None, f"{call.id} was never answered"
            if answer.whole:
                assert call.is_right(versions), f"{call.id} got a wrong answer: {answer}"
            assert answer.offsets == list(range(len(answer.offsets))), f"{call.id}: {answer}"


def check_not_run(loads: dict[str, Load], runs: list[dict]) -> None:
    """Whoever was told 'not run' at last, and never tried before, did not run."""
    digests = {run["digest"] for run in runs if "digest" in run}
    ids = {run["id"] for run in runs}
    for call in _all_calls(loads):
        answer = call.answer
        if answer is None or answer.error.get("ran") != "not run":
            continue
        ran = call.id in ids if call.service == "alerts" else bool(call.digests & digests)
        assert not ran, f"{call.id} was told 'not run' and ran: {answer.error}"


def check_once(loads: dict[str, Load], runs: list[dict]) -> None:
    """No call that may not be repeated ran more than once."""
    times = Counter(run["id"] for run in runs)
    for call in _all_calls(loads):
        if call.service == "alerts":
            assert times[call.id] <= 1, f"{call.id} ran {times[call.id]} times"


def check_epochs_written(history: list[dict]) -> None:
    """Accepted shards were written with rising epochs."""
    last: dict[str, int] = defaultdict(int)
    for event in history:
        stored = event["object"]
        if stored["kind"] == "Accepted":
            assert event["type"] == "put"
            epoch = stored["spec"]["epoch"]
            assert epoch == last[stored["name"]] + 1, f"{stored['name']} went to {epoch}"
            last[stored["name"]] = epoch


def check_epochs_seen(samples: dict[str, list[dict[str, int]]]) -> None:
    """No process, not even a restarted one, was seen to go back to an older epoch."""
    for name, seen in samples.items():
        highest: dict[str, int] = defaultdict(int)
        for epochs in seen:
            for shard, epoch in epochs.items():
                assert epoch >= highest[shard], f"{name}: {shard} went back to {epoch}"
                highest[shard] = epoch


def _all_calls(loads: dict[str, Load]) -> list[Call]:
    return [call for load in loads.values() for call in load.calls]
