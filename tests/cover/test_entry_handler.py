"""Malformed input of any kind raises a typed error with a result code, and nothing else."""

import string

import msgpack
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from swifttrestle.errors import (
    BadPlatformAnswerError,
    FrameError,
    RefusedError,
    UpstreamError,
)
from swifttrestle.internal.entry.requests import read_completion, read_terms
from swifttrestle.internal.protocol import platform
from swifttrestle.internal.protocol.calls import read_retry_after
from swifttrestle.internal.protocol.engine import read_load_report
from swifttrestle.internal.protocol.peers import (
    Heartbeat,
    Identity,
    PullShards,
    ShardCopy,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.protocol.tokens import TokenChecker
from swifttrestle.internal.state.config import read_shard
from swifttrestle.internal.transport.streams import decode_frame
from swifttrestle.resources import KINDS, Service, parse_resource

FUZZ = settings(max_examples=150, deadline=None, derandomize=True)
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
REPORT_FIELDS = ["boot", "role", "model", "version", "adapters", "changing", "last_order"]
REPORT_FIELDS += ["active", "at", "slots"]
SERVICE = Service(name="chat", type="model", model="m", priority="normal")


class Headers:
    """An exchange that has only headers."""

    def __init__(self, **values):
        self.values = values

    def header(self, name):
        return self.values.get(name.replace("-", "_"), "")


@FUZZ
@given(st.binary(max_size=200), st.booleans())
def test_any_bytes_as_a_body_are_read_or_refused(body, chat):
    try:
        read_completion(body, chat)
    except RefusedError as error:
        assert error.ran.value == "not run"


@FUZZ
@given(st.dictionaries(st.sampled_from(["model", "messages", "prompt", "stream", "max_tokens"]),
                       PLAIN), st.booleans())  # fmt: skip
def test_any_json_as_a_body_is_read_or_refused(value, chat):
    try:
        read_completion(orjson.dumps(value), chat)
    except RefusedError as error:
        assert error.ran.value == "not run"


@FUZZ
@given(st.text(max_size=30), st.text(max_size=30), st.text(max_size=30), st.text(max_size=30))
def test_any_headers_are_read_or_refused(request_id, priority, deadline, fixed):
    headers = Headers(
        X_Request_Id=request_id, X_Priority=priority, X_Deadline_Ms=deadline, X_May_Not_Repeat=fixed
    )
    try:
        terms = read_terms(headers, SERVICE, "w", 0.0)
    except RefusedError:
        return
    assert set(terms.caller_id) <= set(string.ascii_letters + string.digits + "._-")
    assert 0 < terms.deadline <= SERVICE.deadline_ms / 1000


def test_a_caller_can_lower_its_priority_but_not_raise_it():
    urgent = Headers(X_Priority="urgent")
    background = Headers(X_Priority="background")
    assert read_terms(urgent, SERVICE, "w", 0.0).priority == "normal"
    assert read_terms(background, SERVICE, "w", 0.0).priority == "background"


@FUZZ
@given(st.binary(max_size=100) | PLAIN.map(msgpack.packb))
def test_any_frame_is_a_message_or_a_frame_error(body):
    try:
        message = unpack_message(decode_frame(body))
    except FrameError:
        return
    assert isinstance(message, Heartbeat | PullShards | ShardCopy)


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat(Identity("n", "entry", "h", "z", "1:2", 3), {"a": 1}, None, {"e": 2}, True),
        Heartbeat(Identity("n", "entry", "h", "z", "1:2", 3), None, {"e": 4}, {}),
        PullShards(("fleet", "drains")),
        ShardCopy("fleet", 7, [{"kind": "Model"}]),
    ],
)
def test_a_message_is_unpacked_as_it_was_packed(message):
    assert unpack_message(decode_frame(msgpack.packb(pack_message(message)))) == message


@FUZZ
@given(st.binary(max_size=120))
def test_any_answer_of_the_object_api_is_read_or_refused(data):
    try:
        platform._read_event(data)
    except BadPlatformAnswerError:
        return


@FUZZ
@given(PLAIN)
def test_any_object_of_the_object_api_is_read_or_refused(value):
    for read in (
        platform._read_object,
        lambda v: read_shard("x", v if isinstance(v, dict) else {}),
    ):
        try:
            read(value)
        except BadPlatformAnswerError:
            continue


@FUZZ
@given(st.dictionaries(st.sampled_from(REPORT_FIELDS), PLAIN))
def test_any_report_of_an_engine_is_read_or_refused(value):
    try:
        read_load_report(value)
    except UpstreamError:
        return


@FUZZ
@given(st.sampled_from([*KINDS, "Nothing"]), PLAIN, PLAIN)
def test_any_resource_is_parsed_or_every_fault_is_named(kind, name, spec):
    match parse_resource(kind, name, spec):
        case Success(resource):
            again = parse_resource(kind, name, resource.spec())
            assert again.unwrap() == resource
        case Failure(faults):
            assert faults
            assert all(fault.field and fault.message for fault in faults)


def make_event(offset, request="r1", attempt=1, text="w "):
    choice = b'{"index":0,"delta":{"content":"%s"}}' % text.encode()
    head = b'data: {"id":"%s","attempt":%d,"offset":%d,' % (request.encode(), attempt, offset)
    return head + b'"choices":[%s]}\n\n' % choice


FINISH = (
    b'data: {"id":"r1","attempt":1,"offset":3,"choices":[{"index":0,"delta":{},'
    b'"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n'
)
GOOD = b"".join(make_event(offset) for offset in range(3)) + FINISH


@FUZZ
@given(st.lists(st.integers(0, len(GOOD)), max_size=8))
def test_a_valid_stream_is_complete_however_it_is_cut_into_pieces(cuts):
    checker = TokenChecker("r1", 1, 0)
    edges = [0, *sorted(cuts), len(GOOD)]
    out = b"".join(checker.take(GOOD[a:b]) for a, b in zip(edges, edges[1:], strict=False))
    assert (out, checker.whole, checker.fault, checker.offset) == (GOOD, True, None, 3)


@FUZZ
@given(st.binary(max_size=60), st.integers(0, len(GOOD)))
def test_a_stream_with_inserted_bytes_is_not_taken_for_a_complete_answer(noise, at):
    checker = TokenChecker("r1", 1, 0)
    data = GOOD[:at] + noise + GOOD[at:]
    out = checker.take(data)
    if checker.whole and checker.fault is None:
        # Noise within a token's text is valid text; the number of tokens is unchanged.
        assert checker.offset == 3
    assert data.startswith(out)


@pytest.mark.parametrize(
    ("bad", "delivered"),
    [
        (make_event(0) + make_event(0), 1),
        (make_event(0) + make_event(2), 1),
        (make_event(0, request="r2"), 0),
        (make_event(0, attempt=2), 0),
        (make_event(0) + b"data: [DONE]\n\n", 1),
        (GOOD + make_event(3), 3),
    ],
    ids=["doubled", "gap", "crossed", "late attempt", "short", "after the end"],
)
def test_a_faulty_stream_is_delivered_up_to_its_first_fault(bad, delivered):
    checker = TokenChecker("r1", 1, 0)
    out = checker.take(bad)
    assert checker.fault is not None
    assert checker.offset == delivered
    assert out.count(b'"content"') == delivered


def test_an_event_with_other_spacing_and_key_order_is_accepted():
    checker = TokenChecker("r1", 1, 0)
    event = b'data: {"choices": [{"delta": {"content": "x"}}], '
    event += b'"offset": 0, "attempt": 1, "id": "r1"}\n\n'
    assert checker.take(event) == event
    assert checker.offset == 1


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("3", 3.0), ("", 0.0), ("soon", 0.0), ("-1", 0.0), ("nan", 0.0), ("1e9", 0)],
)
def test_a_retry_after_is_seconds_or_ignored(text, seconds):
    assert read_retry_after(text) == seconds
