"""Quotas of workspaces at an entry: declaration, shares, refusals and refunds."""

import hashlib
import math
from contextlib import contextmanager
from types import SimpleNamespace

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.coordination.quotas.recent_counts import WINDOW_SECONDS
from swifttrestle.internal.entry.handler import EntryHandler
from swifttrestle.internal.entry.quotas import (
    ACCRUAL_SECONDS,
    MAX_RETRY_AFTER_SECONDS,
    EntryQuotas,
)
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.state.config import ConfigStore
from swifttrestle.internal.state.declared import Quota, QuotaTolerance
from swifttrestle.internal.workspace_quota import MAX_QUOTA, WorkspaceQuota
from swifttrestle.resources import Model, Service, Workspace, group_resources, parse_resource
from tests.common.fakes import FakeClock

KEY = "key-of-w1"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()


def declare(rate=100, burst=100, unit="tokens", name="w1"):
    quota = None if rate is None else WorkspaceQuota(rate_per_s=rate, burst=burst, unit=unit)
    return {name: Workspace(name=name, key_sha256=(DIGEST,), quota=quota)}


class QuotaEntry:
    """The quotas of one of some entries, and a clock that ticks them as the program does."""

    def __init__(self, entries=1, **quota):
        self.clock = FakeClock()
        self.metrics = Metrics()
        self.names = [f"n{number}" for number in range(entries)]
        self.listings = 0
        self.quotas = EntryQuotas("n0", self.clock, self.metrics, self._list_entries)
        self.quotas.configure(declare(**quota))

    def _list_entries(self):
        self.listings += 1
        return self.names

    def wait(self, seconds):
        end = self.clock.time + seconds
        while self.clock.time < end:
            self.clock.time = min(end, self.clock.time + ACCRUAL_SECONDS)
            self.quotas.accrue()

    def ask(self, tokens, error=None):
        """Return None for an admitted request, or its refusal; `error` ends an admitted one."""
        try:
            with self.quotas.charge("w1", tokens):
                if error is not None:
                    raise error
        except RefusedError as refusal:
            return None if refusal is error else refusal
        return None

    def describe(self):
        return self.quotas.describe()["w1"]


# Declarations.


@pytest.mark.parametrize(
    ("quota", "field"),
    [
        ({"rate_per_s": -1}, "quota.rate_per_s"),
        ({"rate_per_s": "many"}, "quota.rate_per_s"),
        ({"rate_per_s": True}, "quota.rate_per_s"),
        ({"rate_per_s": math.nan}, "quota.rate_per_s"),
        ({"rate_per_s": math.inf}, "quota.rate_per_s"),
        ({"rate_per_s": MAX_QUOTA + 1}, "quota.rate_per_s"),
        ({"rate_per_s": None}, "quota.rate_per_s"),
        ({}, "quota.rate_per_s"),
        ({"rate_per_s": 1, "burst": -0.5}, "quota.burst"),
        ({"rate_per_s": 1, "burst": 10**400}, "quota.burst"),
        ({"rate_per_s": 1, "unit": "words"}, "quota.unit"),
        ({"rate_per_s": 1, "unit": 7}, "quota.unit"),
        ({"rate_per_s": 1, "limit": 5}, "quota.'limit'"),
        (5, "quota"),
        ([], "quota"),
        ("tokens", "quota"),
    ],
)
def test_an_invalid_quota_is_refused_with_its_field_and_value(quota, field):
    match parse_resource("Workspace", "w1", {"key_sha256": [DIGEST], "quota": quota}):
        case Failure((fault,)):
            assert fault.field == field
            assert fault.message
        case other:
            raise AssertionError(other)


def test_all_faults_of_a_quota_are_named_at_once():
    quota = {"rate_per_s": -1, "burst": -1, "unit": "words", "limit": 5}
    match parse_resource("Workspace", "w1", {"key_sha256": [DIGEST], "quota": quota}):
        case Failure(faults):
            assert len(faults) == len(quota)
        case other:
            raise AssertionError(other)


@pytest.mark.parametrize(
    ("given_quota", "read"),
    [
        (None, None),
        ({"rate_per_s": 5}, WorkspaceQuota(rate_per_s=5.0)),
        (
            {"rate_per_s": MAX_QUOTA, "burst": 0.5, "unit": "tokens"},
            WorkspaceQuota(rate_per_s=float(MAX_QUOTA), burst=0.5, unit="tokens"),
        ),
    ],
)
def test_a_quota_is_read_as_it_was_written(given_quota, read):
    match parse_resource("Workspace", "w1", {"key_sha256": [DIGEST], "quota": given_quota}):
        case Success(workspace):
            assert workspace.quota == read
            again = parse_resource("Workspace", "w1", workspace.spec())
            assert again.unwrap() == workspace
        case other:
            raise AssertionError(other)


def test_a_workspace_without_a_quota_is_written_without_the_field():
    """Guards against entries of an earlier version skipping each workspace for the new field."""
    assert "quota" not in declare(rate=None)["w1"].spec()


# Shares.


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.integers(1, 5),
    st.integers(1, 500),
    st.integers(0, 2000),
    st.lists(st.tuples(st.sampled_from([0.0, 0.01, 0.3, 1.0, 5.0]), st.integers(1, 900))),
)
def test_what_entries_admit_in_a_window_keeps_to_the_quota(entries, rate, burst, requests):
    """Guards against admitting more than the rate, the burst and one large request an entry."""
    fleet = [QuotaEntry(entries, rate=rate, burst=burst) for _ in range(entries)]
    admitted = []
    for pause, cost in requests:
        for entry in fleet:
            entry.wait(pause)
            if entry.ask(cost) is None:
                admitted.append((entry.clock.time, cost))
    capacity = max(1, rate / 2, burst)
    largest = max((cost for _, cost in requests), default=0)
    excess = entries * max(0, largest - capacity / entries)
    for first, _ in admitted:
        for window in (1.0, 8.0):
            spent = sum(cost for at, cost in admitted if first <= at <= first + window)
            assert spent <= rate * window + capacity + excess + 1e-6


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.integers(1, 4),
    st.floats(0.2, 1000),
    st.floats(0, 1000),
    st.lists(st.integers(1, 3000), min_size=1, max_size=30),
)
def test_a_refused_request_fits_after_its_retry_after(entries, rate, burst, costs):
    """Guards against requests that are refused for ever, or whose Retry-After is too short."""
    entry = QuotaEntry(entries, rate=rate, burst=burst)
    largest = int(QuotaTolerance().find_limit(Quota(rate, burst)))
    for cost in (min(cost, largest) for cost in costs):
        refusal = entry.ask(cost)
        if refusal is not None:
            assert refusal.code is Code.QUOTA_EXCEEDED
            assert refusal.retry_after > 0
            entry.wait(refusal.retry_after + 1e-6)
            assert entry.ask(cost) is None


def test_a_request_that_no_window_allows_is_refused_and_uses_up_nothing():
    """Guards against one huge request that keeps its workspace waiting for hours."""
    entry = QuotaEntry(rate=100, burst=100)
    refusal = entry.ask(100_000)
    assert refusal.retry_after == MAX_RETRY_AFTER_SECONDS
    assert entry.ask(100) is None


def test_a_refused_request_would_not_have_fitted_earlier():
    entry = QuotaEntry(rate=100, burst=100)
    assert entry.ask(100) is None
    refusal = entry.ask(60)
    assert refusal.retry_after == pytest.approx(0.6)
    entry.wait(0.55)
    assert entry.ask(60) is not None


def test_refused_requests_are_told_to_return_one_after_the_other():
    entry = QuotaEntry(rate=100, burst=100)
    entry.ask(100)
    assert [round(entry.ask(50).retry_after, 3) for _ in range(3)] == [0.5, 1.0, 1.5]


@pytest.mark.parametrize("entries", [1, 3, 8])
@pytest.mark.parametrize(("unit", "tokens"), [("tokens", 40), ("tokens", 700), ("requests", 7)])
def test_demand_of_half_the_quota_is_not_refused(entries, unit, tokens):
    """Guards against refusals within the quota, also of requests over an entry's share."""
    cost = 1 if unit == "requests" else tokens
    rate = 1000 if unit == "tokens" else 20
    entry = QuotaEntry(entries, rate=rate, burst=rate, unit=unit)
    pause = cost * entries / (0.5 * rate)
    for _ in range(50):
        assert entry.ask(tokens) is None
        entry.wait(pause)


def test_a_burst_of_many_seconds_is_kept_over_a_pause():
    """Guards against a pool that loses what it holds when no request comes for some seconds."""
    entry = QuotaEntry(rate=10, burst=1000)
    entry.wait(100)
    assert entry.ask(100) is None
    entry.wait(5)
    assert entry.ask(900) is None


@pytest.mark.parametrize(("entries", "share"), [(1, 100), (2, 50), (5, 20)])
def test_an_entry_has_an_equal_share_of_the_quota(entries, share):
    entry = QuotaEntry(entries, rate=100, burst=100)
    assert sum(entry.ask(1) is None for _ in range(200)) == share


@pytest.mark.parametrize(
    ("names", "admitted"), [(["n0", "n1", "n2", "n3"], 25), (["n0"], 100), ([], 100)]
)
def test_shares_follow_the_live_entries(names, admitted):
    entry = QuotaEntry(2, rate=100, burst=100)
    entry.names = names
    entry.wait(10)
    assert sum(entry.ask(1) is None for _ in range(200)) == admitted


# Refunds.


@pytest.mark.parametrize(
    ("code", "given_back"),
    [
        (Code.OVERLOADED, True),
        (Code.QUARANTINED, True),
        (Code.REPEATED_ID, True),
        (Code.ANSWER_LOST, False),
        (Code.STREAM_BROKEN, False),
    ],
)
def test_only_a_request_that_did_not_run_gets_its_charge_back(code, given_back):
    entry = QuotaEntry(rate=100, burst=100)
    assert entry.ask(100, RefusedError(code, "refused later")) is None
    assert (entry.ask(100) is None) == given_back


def test_an_unexpected_error_keeps_the_charge():
    """Guards against running requests for nothing where an error hides whether they ran."""
    entry = QuotaEntry(rate=100, burst=100)
    with pytest.raises(ValueError, match="unexpected"):
        entry.ask(100, ValueError("unexpected"))
    assert entry.ask(100) is not None


def test_a_returned_charge_does_not_raise_the_pool_over_its_capacity():
    entry = QuotaEntry(rate=100, burst=100)

    def refuse_late():
        with entry.quotas.charge("w1", 100):
            entry.wait(10)
            raise RefusedError(Code.OVERLOADED, "refused later")

    with pytest.raises(RefusedError):
        refuse_late()
    assert entry.describe()["available"] == 100


# Changes.


@pytest.mark.parametrize(
    ("changed", "admitted"),
    [
        ({"rate": 10, "burst": 10}, 10),
        ({"rate": 10, "burst": 0}, 5),
        ({"rate": 200, "burst": 500}, 100),
        ({"rate": 0}, 300),
        ({"rate": None}, 300),
        ({"rate": 20, "burst": 20, "unit": "requests"}, 20),
        ({"name": "w2"}, 300),
    ],
    ids=["lowered", "no burst", "raised", "rate 0", "taken away", "other unit", "deleted"],
)
def test_a_changed_quota_holds_at_once(changed, admitted):
    entry = QuotaEntry(rate=100, burst=100)
    entry.wait(5)
    entry.quotas.configure(declare(**changed))
    assert sum(entry.ask(1) is None for _ in range(300)) == admitted


def test_a_debt_in_one_unit_is_not_paid_off_in_another():
    """Guards against a workspace that waits for thousands of requests, having used tokens."""
    entry = QuotaEntry(rate=100, burst=100)
    entry.ask(6000)
    assert entry.ask(1) is not None
    entry.quotas.configure(declare(rate=10, burst=10, unit="requests"))
    assert entry.ask(1) is None


def test_a_raised_quota_is_used_from_then_on():
    entry = QuotaEntry(rate=10, burst=10)
    entry.wait(5)
    entry.quotas.configure(declare(rate=1000, burst=1000))
    entry.wait(0.5)
    assert entry.ask(500) is None


def test_other_changes_of_the_configuration_do_not_fill_a_spent_quota():
    entry = QuotaEntry(rate=100, burst=100)
    entry.ask(100)
    for _ in range(3):
        entry.quotas.configure(declare(rate=100, burst=100))
    assert entry.ask(1) is not None


def test_without_a_quota_nothing_is_counted():
    entry = QuotaEntry(rate=None)
    entry.wait(5)
    assert entry.ask(10**9) is None
    assert (entry.listings, entry.quotas.describe(), entry.metrics.snapshot()) == (0, {}, {})


# What operators see.


def test_operators_see_the_quota_and_what_was_admitted_and_refused():
    entry = QuotaEntry(2, rate=100, burst=100)
    for _ in range(3):
        entry.ask(30)
    seen = entry.describe()
    assert (seen["rate_per_s"], seen["burst"], seen["unit"]) == (100, 100, "tokens")
    assert (seen["entries"], seen["admitted"], seen["refused"]) == (2, 30, 60)
    counters = entry.metrics.snapshot()
    assert counters["quota_admitted_tokens_total{workspace=w1}"] == 30
    assert counters["quota_refused_total{workspace=w1}"] == 2
    entry.wait(WINDOW_SECONDS + 1)
    assert (entry.describe()["admitted"], entry.describe()["refused"]) == (0, 0)


# The handler.


class QuotaHandler:
    """A handler whose components record what a request uses."""

    def __init__(self, rate):
        self.used = []
        self.entry = QuotaEntry(rate=None)
        guard = SimpleNamespace(
            begin=lambda *_: self.used.append("tracked"), end=lambda *_, **__: 0
        )
        attempts = SimpleNamespace(guard=guard, make_id=lambda: "r1")
        table = SimpleNamespace(adapter_label=lambda _: "", configure=lambda _: None)
        queue = SimpleNamespace(notify=lambda: None, admit=self._refuse_admission)
        self.handler = EntryHandler(
            config=ConfigStore(), table=table, queue=queue,
            relay_context=SimpleNamespace(attempts=attempts),
            claims=SimpleNamespace(hold=self._claim), quotas=self.entry.quotas, metrics=Metrics(),
            threads=10, max_streams=10, connect_seconds=1.0,
        )  # fmt: skip
        guard.check = lambda _: None
        service = Service(name="chat", type="model", model="m", repeatable=False, max_tokens=50)
        model = Model(name="m", versions=("v1",), version="v1")
        workspace = declare(rate=rate, burst=rate)["w1"]
        current = group_resources([service, model, workspace])
        self.handler._config.current = current
        self.handler._configure(current)

    @contextmanager
    def _claim(self, *_):
        self.used.append("claimed")
        yield

    def _refuse_admission(self, *_):
        self.used.append("waited")
        raise RefusedError(Code.OVERLOADED, "the queue is full", 1)

    def send(self, **body):
        exchange = FakeExchange({"model": "chat", "prompt": "one two three", **body})
        self.handler.handle(exchange)
        return exchange


class FakeExchange:
    """A request of a text completion, and its response."""

    method, path = "POST", "/v1/completions"

    def __init__(self, body):
        self._body = orjson.dumps(body)

    def header(self, name):
        return {"Authorization": f"Bearer {KEY}", "X-Request-Id": "c1"}.get(name, "")

    def read_body(self):
        return self._body

    def discard_body(self):
        pass

    def reply_json(self, status, body, headers=()):
        self.status, self.code, self.headers = status, body["error"]["code"], dict(headers)


def test_a_request_over_its_quota_neither_waits_claims_nor_is_tracked():
    tested = QuotaHandler(rate=10)
    # Larger than the share, and admitted into debt; its refusal gives the charge back.
    assert tested.send().code == Code.OVERLOADED
    assert tested.used == ["tracked", "claimed", "waited"]
    assert tested.entry.describe()["available"] == 10
    tested.entry.ask(100)
    tested.used.clear()
    refused = tested.send()
    assert (refused.status, refused.code) == (429, Code.QUOTA_EXCEEDED)
    assert int(refused.headers["Retry-After"]) >= 10
    assert tested.used == []
    assert tested.handler.open_requests == 0


@pytest.mark.parametrize(("max_tokens", "output"), [(20, 20), (0, 50), (900, 50)])
def test_a_completion_costs_its_prompt_and_the_most_that_it_may_answer(max_tokens, output):
    tested = QuotaHandler(rate=10_000)
    costs = []
    tested.entry.quotas._take = lambda _, tokens: costs.append(tokens) or 0
    tested.send(max_tokens=max_tokens)
    tested.send(max_tokens=max_tokens, prompt="one two three " * 20)
    short, long = costs
    assert short >= output
    assert long > short
    assert short - output < 30
