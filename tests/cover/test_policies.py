"""Admission, routing, retries, ejection, configuration acceptance and closings of engines."""

import random

import orjson
import pytest

from swifttrestle.internal.coordination.configuration.acceptance import (
    MAX_SHARD_BYTES,
    decide_acceptance,
    split_shards,
)
from swifttrestle.internal.policy.admission import DeadlineAdmission, Decision
from swifttrestle.internal.policy.ejection import FAILURES_TO_EJECT, Ejector
from swifttrestle.internal.policy.retry_budget import RetryBudget
from swifttrestle.internal.policy.routing import (
    Candidate,
    LeastPredicted,
    LeastReported,
    RequestEstimate,
)
from swifttrestle.internal.protocol.peers import ShardCopy
from swifttrestle.internal.protocol.platform import StoredObject
from swifttrestle.internal.state.closings import (
    ClosingTable,
    closing_generation,
    opening_generation,
)
from swifttrestle.internal.state.config import ConfigStore
from swifttrestle.resources import Upstream

DIGEST = "a" * 64


def make_candidate(name="c", **change):
    values = {"near": True, "waiting_tokens": 0, "inflight": 0, "slots": 10, "cached_tokens": 0}
    return Candidate(name, **(values | change))


@pytest.mark.parametrize(
    ("inflight", "priority", "left", "ahead", "decision"),
    [
        (0, "normal", 60, 0, Decision.GO),
        (8, "normal", 60, 0, Decision.WAIT),
        (8, "urgent", 60, 0, Decision.GO),
        (14, "urgent", 60, 0, Decision.GO),
        (0, "normal", 0.05, 0, Decision.REFUSE),
        (0, "normal", 60, 1, Decision.WAIT),
        (10, "normal", 60, 5, Decision.REFUSE),
    ],
)
def test_a_request_is_admitted_queued_or_refused(inflight, priority, left, ahead, decision):
    work = RequestEstimate(100, 10, priority)
    admission = DeadlineAdmission(0.2)
    result = admission.decide([make_candidate(inflight=inflight)], work, left, ahead, 5)
    assert result.decision is decision
    if decision is Decision.REFUSE:
        assert 1 <= result.retry_after <= 30


def test_routing_prefers_a_cached_prefix_unless_the_queue_is_longer():
    work = RequestEstimate(4000, 10)
    cached = make_candidate("cached", cached_tokens=3900)
    empty = make_candidate("empty")
    rng = random.Random(1)
    assert LeastPredicted().pick([cached, empty], work, rng) is cached
    busy = make_candidate("cached", cached_tokens=3900, waiting_tokens=20_000)
    assert LeastPredicted().pick([busy, empty], work, rng) is empty


def test_routing_prefers_the_faster_engine():
    old, new = make_candidate("old", prefill_rate=1000), make_candidate("new", prefill_rate=9000)
    assert LeastPredicted().pick([old, new], RequestEstimate(4000, 1), random.Random(1)) is new


def test_entry_processes_with_the_same_old_report_do_not_all_choose_the_same_engine():
    idle = [make_candidate(f"c{n}", inflight=n / 10, reported_inflight=n / 10) for n in range(10)]
    chosen = {
        LeastPredicted().pick(idle, RequestEstimate(10, 10), random.Random(n)).name
        for n in range(8)
    }
    chosen_by_report = {
        LeastReported().pick(idle, RequestEstimate(10, 10), random.Random(n)).name for n in range(8)
    }
    assert len(chosen_by_report) == 1
    assert len(chosen) >= 3


def test_retries_are_limited_to_a_share_of_requests():
    budget = RetryBudget(0.1)
    for _ in range(200):
        budget.note_request(0.0)
    assert sum(budget.take(0.0) for _ in range(200)) == 20


def test_ejections_are_capped_and_the_ramp_up_is_gradual():
    ejector = Ejector(0.34, 10.0)
    group = [f"u{n}" for n in range(6)]
    for name in group:
        for _ in range(FAILURES_TO_EJECT):
            ejector.note_failure(name, group, 100.0)
    ejected = [name for name in group if ejector.is_ejected(name, 101.0)]
    assert len(ejected) == 2
    assert not ejector.is_ejected(ejected[0], 102.5)
    assert ejector.share(ejected[0], 103.0) == pytest.approx(0.1)
    assert ejector.share(ejected[0], 107.0) == pytest.approx(0.5)
    assert ejector.share(ejected[0], 200.0) == 1.0


@pytest.mark.parametrize("order", [[1, 2, 3], [3, 2, 1], [2, 2, 1, 3], [3, 1, 3]])
def test_an_older_epoch_never_replaces_a_newer_one(order):
    store = ConfigStore()
    seen = []
    for epoch in order:
        store.apply([ShardCopy("fleet", epoch, [])])
        seen.append(store.epochs()["fleet"])
    assert seen == sorted(seen)
    assert seen[-1] == 3


@pytest.mark.parametrize("order", [[2, 3], [3, 2], [2, 3, 2, 2], [2, 5, 4]])
def test_the_highest_generation_wins_in_any_order(order):
    table = ClosingTable()
    for generation in order:
        table.merge({"e": generation})
    assert not table.is_closed("e")
    table.merge({"e": closing_generation(9)})
    assert table.is_closed("e")
    assert table.closed() == ("e",)
    table.merge({"e": opening_generation(9)})
    assert not table.is_closed("e")


def stored(kind, name, **spec):
    return StoredObject(kind, name, 1, spec)


GOOD = [
    stored("Model", "m", versions=["v1"], version="v1"),
    stored("Service", "chat", type="model", model="m"),
]


@pytest.mark.parametrize(
    ("edited", "message", "kept"),
    [
        ([GOOD[0], stored("Service", "chat", type="model", model="x")], "'x' is not declared", "m"),
        ([GOOD[0], stored("Service", "chat", type="odd")], "'odd' is not a choice", "m"),
        ([GOOD[1]], "'m' is not declared", "m"),
        ([stored("Model", "m", versions=["v1"], version="v2"), GOOD[1]], "'v2'", "m"),
    ],
    ids=["unknown model", "bad field", "model deleted", "version not listed"],
)
def test_an_invalid_edit_leaves_the_accepted_resource_in_place(edited, message, kept):
    accepted = decide_acceptance(GOOD, {}).accepted
    assert len(accepted) == 2
    verdict = decide_acceptance(edited, accepted)
    assert verdict.accepted == accepted
    assert any(message in str(fault) for fault in verdict.faults)


def test_valid_edits_are_accepted_beside_an_invalid_one():
    accepted = decide_acceptance(GOOD, {}).accepted
    edits = [
        *GOOD,
        stored("Service", "bad", type="odd"),
        stored("Workspace", "w", key_sha256=[DIGEST]),
    ]
    verdict = decide_acceptance(edits, accepted)
    assert set(verdict.accepted) == {"Model/m", "Service/chat", "Workspace/w"}
    assert [fault.resource for fault in verdict.faults] == ["Service/bad"]


def test_shards_of_the_largest_supported_fleet_stay_under_the_limit():
    zones = [f"zone-{n}" for n in range(13)]
    upstreams = {
        f"Upstream/u{n}": Upstream(
            name=f"worker-of-some-length-{n}", type="engine", address="10.200.100.100:12345",
            zone=zones[n % 13], model=f"some-model-name-{n % 11}",
        )
        for n in range(10_000)
    }  # fmt: skip
    sizes = [len(orjson.dumps(shard)) for shard in split_shards(upstreams).values()]
    assert len(sizes) == 13
    assert max(sizes) < MAX_SHARD_BYTES
