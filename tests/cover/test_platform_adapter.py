"""The adapter to the platform: settings, records, headers, datagrams and malformed input."""

import copy
from pathlib import Path

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from swifttrestle.errors import (
    BadPlatformAnswerError,
    FrameError,
    InvalidSettingError,
    UpstreamBrokenError,
)
from swifttrestle.internal.protocol.gossip import PeerReport, pack_report, unpack_report
from swifttrestle.internal.state.declared import QuotaTolerance, RetrySafety, Role
from swifttrestle.internal.state.prompt_cache import PromptPart
from swifttrestle.platform import wire
from swifttrestle.platform.engine import read_handle, read_report
from swifttrestle.platform.records import read_configuration, read_upstream
from swifttrestle.platform.settings import PATH_VARIABLE, load_host_settings, read_host_settings

SOURCES = Path(__file__).parents[2] / "src" / "swifttrestle"
GOOD = {
    "nodeName": "front-1",
    "ip": "10.1.0.1",
    "zone": "hall-a",
    "listen": {"front": "10.1.0.1:8144", "ready": "10.1.0.1:8140"},
    "internalPorts": [7660, 7675],
    "seeds": ["10.2.0.1:8146"],
    "bootstrap": True,
    "heartbeatMs": 1200,
    "limits": {"maxFds": 4100},
    "bounds": {"drainMs": 2000, "graceS": 8, "configApplyMs": 2000, "leaseMs": 3000,
               "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56},
    "platform": {"address": "10.200.1.7:8142"},
    "somethingNew": {"a": 1},
}  # fmt: skip


def test_settings_are_decoded_into_seconds_and_addresses():
    read = read_host_settings(GOOD)
    assert read.callers == ("10.1.0.1", 8144)
    assert read.internal_port == 7660
    assert read.seeds == (("10.2.0.1", 8146),)
    assert (read.bounds.stop, read.bounds.lease, read.bounds.retry_extra) == (8, 3.0, 56)


@pytest.mark.parametrize(
    ("fields", "wanted"),
    [
        ({}, QuotaTolerance(0, 0, 0)),
        ({"quotaWindowS": None, "quotaSlack": 5}, QuotaTolerance(0, 0, 5)),
        (
            {"quotaWindowS": 8, "quotaOverage": 0.1, "quotaSlack": 190_000},
            QuotaTolerance(8, 0.1, 190_000),
        ),
    ],
    ids=["missing", "in part", "whole"],
)
def test_the_tolerance_of_quotas_is_optional(fields, wanted):
    # Guards against a host that does not start where the platform sets no tolerance.
    read = read_host_settings({**GOOD, "bounds": {**GOOD["bounds"], **fields}})
    assert read.bounds.quota == wanted


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("nodeName", ""),
        ("nodeName", None),
        ("ip", 7),
        ("listen", None),
        ("listen.front", "nowhere"),
        ("listen.ready", "10.0.0.1:99999999"),
        ("internalPorts", []),
        ("internalPorts", ["x"]),
        ("seeds", ["nowhere"]),
        ("platform.address", None),
        ("bounds.graceS", "long"),
        ("bounds.budgetRatio", -1),
        ("bounds.quotaWindowS", -8),
        ("bounds.quotaWindowS", "8"),
        ("bounds.quotaOverage", True),
        ("bounds.quotaOverage", [0.1]),
        ("bounds.quotaSlack", -1),
        ("bounds.quotaSlack", 2**53 + 1),
    ],
)
def test_an_invalid_setting_is_reported_by_name(path, value):
    raw = copy.deepcopy(GOOD)
    *parents, last = path.split(".")
    place = raw
    for parent in parents:
        place = place[parent]
    place[last] = value
    with pytest.raises(InvalidSettingError, match=path.split(".")[-1]):
        read_host_settings(raw)


@pytest.mark.parametrize("path", ["nodeName", "zone", "listen", "bounds", "platform"])
def test_a_missing_setting_is_reported_by_name(path):
    raw = {name: value for name, value in GOOD.items() if name != path}
    with pytest.raises(InvalidSettingError, match=f"{path} is missing"):
        read_host_settings(raw)


@pytest.mark.parametrize("content", [None, b"", b"{", b"[]"])
def test_an_unreadable_settings_file_is_reported(tmp_path, content):
    path = tmp_path / "node.json"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(InvalidSettingError):
        load_host_settings({PATH_VARIABLE: str(path)})
    with pytest.raises(InvalidSettingError, match=PATH_VARIABLE):
        load_host_settings({})


ROUTE = {"name": "r", "host": "A.Example", "pathPrefix": "/p/", "timeoutMs": 1500, "service": "s"}


@pytest.mark.parametrize(
    ("change", "repeat", "streaming"),
    [
        ({"type": "safe"}, RetrySafety.IDEMPOTENT, False),
        ({"type": "unsafe"}, RetrySafety.AT_MOST_ONCE, False),
        ({"type": "streaming"}, RetrySafety.AT_MOST_ONCE, True),
        ({"type": "streaming", "resumable": True}, RetrySafety.IDEMPOTENT, True),
        ({"type": "of a later version"}, RetrySafety.AT_MOST_ONCE, False),
    ],
)
def test_the_type_of_a_route_decides_what_may_be_repeated(change, repeat, streaming):
    (route,) = read_configuration({"version": 3, "routes": [{**ROUTE, **change}]}).routes
    assert (route.repeat, route.streaming) == (repeat, streaming)
    assert (route.host, route.timeout, route.objective) == ("a.example", 1.5, 1.5)


def test_a_split_route_keeps_its_weighted_targets_and_drops_those_without_weight():
    shares = [{"service": "a", "weight": 90}, {"service": "b", "weight": 0}]
    raw = {"version": 3, "routes": [{**ROUTE, "type": "safe", "backends": shares}]}
    (route,) = read_configuration(raw).routes
    assert [(target.service, target.weight) for target in route.targets] == [("a", 90.0)]


def test_a_record_has_the_address_state_and_role_of_an_upstream():
    raw = {"service": "s", "address": "10.0.0.9:80", "zone": "z", "slots": 4, "state": "draining",
           "phase": "prefill", "seq": 9}  # fmt: skip
    record = read_upstream("i-1", raw)
    assert (record.address, record.leaving, record.role) == (("10.0.0.9", 80), True, Role.PREFILL)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**60), 2**60)
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.sampled_from(
            ["version", "routes", "services", "limits", "name", "host", "type", "timeoutMs",
             "service", "backends", "weight", "engine", "slots", "address", "phase", "kvHandle",
             "pathPrefix", "seq", "state", "tenants", "apiKeys", "unit", "ratePerS", "burst",
             "uncachedTokens"]
        ),
        inner,
        max_size=6,
    ),
    max_leaves=20,
)  # fmt: skip


@settings(max_examples=300, deadline=None, derandomize=True)
@given(JSON)
def test_any_json_in_the_store_is_read_or_rejected_with_a_typed_error(raw):
    for read in (read_configuration, lambda value: read_upstream("i", value)):
        try:
            read(raw)
        except BadPlatformAnswerError as error:
            assert "cannot be read" in str(error)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(JSON, st.binary(max_size=40))
def test_any_answer_of_an_engine_is_read_or_rejected_with_a_typed_error(raw, noise):
    for body in (orjson.dumps(raw, option=orjson.OPT_PASSTHROUGH_SUBCLASS), noise):
        for read in (read_handle, read_report):
            try:
                read(body)
            except UpstreamBrokenError as error:
                assert error.code.name == "UPSTREAM_BROKEN"


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=60))
def test_any_datagram_is_read_or_rejected_with_a_typed_error(noise):
    try:
        unpack_report(noise)
    except FrameError as error:
        assert error.code.name == "BAD_FRAME"


def test_a_report_is_unpacked_from_its_datagram_unchanged():
    report = PeerReport(
        "h", "10.0.0.1", "hall-a", 10.0, 5, 7, False, True, True, 2.5, {"i-1": (900, 2)},
        {"s": (10.0, 2.5, 1.5)}, {"i-1": ("decode", 1.5)}, (("o", "ip"),),
    )  # fmt: skip
    assert unpack_report(pack_report(report)) == report


def test_a_large_report_omits_the_list_of_known_hosts():
    known = tuple((f"host-{number}", "10.0.0.1") for number in range(100))
    report = PeerReport(
        "h", "10.0.0.1", "hall-a", 10.0, 5, 7, False, False, False, 0.0, {}, {}, {}, known
    )
    assert unpack_report(pack_report(report)).known == ()


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([wire.TOKEN_SIZES, wire.PROMPT_PARTS, wire.DEADLINE, b"Host"]),
            st.binary(max_size=20),
        ),
        max_size=5,
    )
)
def test_any_headers_of_a_caller_are_read_or_count_as_missing(headers):
    facts = wire.read_request_metadata(headers)
    assert facts.prompt_tokens >= 0
    assert facts.deadline_seconds is None or facts.deadline_seconds >= 0


@pytest.mark.parametrize("deadline", [b"nan", b"inf", b"-5", b"x"])
def test_a_deadline_that_is_not_a_duration_counts_as_missing_or_passed(deadline):
    metadata = wire.read_request_metadata([(b"X-Deadline-Ms", deadline)])
    assert metadata.deadline_seconds is None or metadata.deadline_seconds == 0.0


@pytest.mark.parametrize(
    "number",
    ["", "\u00b2", "-1", "+1", "1_0", "1.5", "x", "9" * 5000, str(2**63), "0" * 5000 + "1"],
    ids=["empty", "superscript", "minus", "plus", "underscore", "point", "letter", "long", "large",
         "zeros"],
)  # fmt: skip
def test_an_unreadable_number_counts_as_missing(number):
    value = number.encode("latin-1")
    sizes = wire.read_request_metadata([(b"X-Token-Usage", value + b"," + value)])
    parts = wire.read_request_metadata([(b"X-Prompt-Prefix", b"a:" + value + b",b:7")])
    assert (sizes.prompt_tokens, sizes.output_tokens) == (0, 0)
    assert parts.parts == (PromptPart("b", 7),)


def test_the_largest_number_is_read():
    number = 2**63 - 1
    value = str(number).encode()
    metadata = wire.read_request_metadata(
        [(b"X-Token-Usage", value + b", 007"), (b"X-Prompt-Prefix", b"a:" + value)]
    )
    assert (metadata.prompt_tokens, metadata.output_tokens) == (number, 7)
    assert metadata.parts == (PromptPart("a", number),)


def test_no_module_outside_the_adapter_uses_names_of_the_platforms_protocol():
    words = {value.decode() for name, value in vars(wire).items() if isinstance(value, bytes)}
    words |= {
        "nodeName", "budgetRatio", "pathPrefix", "targetLatencyMs", "maxAttempts", "kvHandle",
        "expectedRev", "fenceToken", "opType", "kvHoldS", "tokenKvBytes", "heartbeatMs",
        "internalPorts", "waitMs", "hasMore", "pageToken", "draining", "/v1/objects", "/v1/order",
        "/v1/report", "x-instance-id", "ratePerS", "uncachedTokens", "quotaWindowS",
        "quotaOverage", "quotaSlack",
    }  # fmt: skip
    words -= {"host"}
    found = [
        f"{path.relative_to(SOURCES)}: {word}"
        for path in sorted(SOURCES.rglob("*.py"))
        if "platform" not in path.relative_to(SOURCES).parts[:1]
        and path.relative_to(SOURCES).as_posix() not in OWN_INTERFACE
        for word in sorted(words)
        if f'"{word}' in path.read_text().lower() or f'"{word}' in path.read_text()
    ]
    assert found == []


# Swifttrestle's own interface to callers and upstreams, which has some of the same names.
OWN_INTERFACE = {
    path.relative_to(SOURCES).as_posix()
    for folder in ("internal/entry", "internal/protocol")
    for path in (SOURCES / folder).rglob("*.py")
    if path.name != "gossip.py"
}
