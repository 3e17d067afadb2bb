"""Backpressure headers of upstreams, and the datagrams by which hosts share rate limits."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from swifttrestle.errors import FrameError
from swifttrestle.internal.protocol.permits import (
    LeavingUpdate,
    PermitCount,
    PermitReply,
    PermitRequest,
    RateLimitUpdate,
    TrialNotice,
    TrialRequest,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.state.backpressure import Backpressure
from swifttrestle.internal.state.upstream_conditions import RateLimit
from swifttrestle.platform.backpressure import read_backpressure

LIMIT, LEAVING, REST = b"Server-Limit", b"server-leaving", b"Retry-After"


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, [], Backpressure()),
        (200, [(b"Content-Type", b"x")], Backpressure()),
        (200, [(LIMIT, b"4.1")], Backpressure(rate=4.1)),
        (200, [(LIMIT, b" 4 ")], Backpressure(rate=4.0)),
        (503, [(b"SERVER-LIMIT", b"0")], Backpressure(rate=0.0)),
        (200, [(LIMIT, b"1e300")], Backpressure(rate=1e300)),
        (200, [(LIMIT, b"9.7"), (LIMIT, b"4.1")], Backpressure(rate=4.1)),
        (
            200,
            [(LIMIT, b"x"), (LIMIT, b"4.1")],
            Backpressure(rate=4.1, unreadable=("server-limit: x",)),
        ),
        (200, [(LIMIT, b"")], Backpressure(unreadable=("server-limit: ",))),
        (200, [(LIMIT, b"-1")], Backpressure(unreadable=("server-limit: -1",))),
        (200, [(LIMIT, b"nan")], Backpressure(unreadable=("server-limit: nan",))),
        (200, [(LIMIT, b"inf")], Backpressure(unreadable=("server-limit: inf",))),
        (200, [(LIMIT, b"1e999")], Backpressure(unreadable=("server-limit: 1e999",))),
        (200, [(LIMIT, b"1_0")], Backpressure(unreadable=("server-limit: 1_0",))),
        (200, [(LEAVING, b"1")], Backpressure(leaving=True)),
        (200, [(LEAVING, b"0")], Backpressure()),
        (200, [(LEAVING, b"0"), (LEAVING, b"1")], Backpressure(leaving=True)),
        (200, [(LEAVING, b"yes")], Backpressure(unreadable=("server-leaving: yes",))),
        (503, [(REST, b"3")], Backpressure(cool_down=3.0)),
        (429, [(REST, b"0.25")], Backpressure(cool_down=0.25)),
        (503, [(REST, b"1"), (REST, b"3")], Backpressure(cool_down=3.0)),
        (503, [(REST, b"0")], Backpressure()),
        (200, [(REST, b"3")], Backpressure()),
        (200, [(REST, b"soon")], Backpressure()),
        (503, [(REST, b"-3")], Backpressure(cool_down=None, unreadable=("retry-after: -3",))),
        (
            503,
            [(REST, b"Thu, 03 Dec 2026 06:00:00 GMT")],
            Backpressure(
                cool_down=None, unreadable=("retry-after: Thu, 03 Dec 2026 06:00:00 GMT",)
            ),
        ),
    ],
)
def test_each_form_of_a_header_is_parsed_or_reported_as_unreadable(status, headers, expected):
    assert read_backpressure(status, headers) == expected


@given(
    st.integers(100, 599),
    st.lists(st.tuples(st.sampled_from([LIMIT, LEAVING, REST, b"x"]), st.binary(max_size=60))),
)
def test_no_header_value_raises_an_error(status, headers):
    found = read_backpressure(status, headers)
    assert found.rate is None or 0 <= found.rate < float("inf")
    assert found.cool_down is None or 0 <= found.cool_down < float("inf")


@pytest.mark.parametrize(
    "message",
    [
        PermitRequest(7, "e1@5", True, RateLimit()),
        PermitRequest(7, "e1", False, RateLimit(4.5, 99.0)),
        PermitReply(7, "e1", 0.0, RateLimit(None, 98.5)),
        PermitReply(7, "e1", 0.25, RateLimit(4.5, 99.0)),
        RateLimitUpdate("e1", RateLimit(0.0, 100.0), relay=True),
        LeavingUpdate("e1", relay=True),
        TrialRequest(7, "00aa-11bb"),
        PermitCount(2**40, "e1@5"),
        TrialNotice("00aa-11bb"),
    ],
)
def test_permit_messages_are_unchanged_by_encoding_and_decoding(message):
    assert unpack_message(pack_message(message, now=100.0), now=100.0) == message


@given(st.binary(max_size=60))
def test_corrupt_permit_datagrams_raise_only_frame_errors(data):
    with contextlib.suppress(FrameError):
        unpack_message(data, now=100.0)


@pytest.mark.parametrize(
    "values",
    [
        (1, -1, "e1", True, 4.5, 0.0),
        (1, 7, "", True, 4.5, 0.0),
        (1, 7, "e" * 401, True, 4.5, 0.0),
        (2, 7, "e1", -0.5, 4.5, 0.0),
        (2, 7, "e1", float("inf"), 4.5, 0.0),
        (2, 7, "e1", float("nan"), 4.5, 0.0),
        (3, 0, "e1", True, -4.5, 0.0),
        (3, 0, "e1", True, 4.5, -1.0),
        (9, 0, "e1", True, 4.5, 0.0),
        (3, 0, "e1", True, 4.5),
    ],
)
def test_a_permit_datagram_with_a_wrong_field_raises_a_frame_error(values):
    import msgpack

    with pytest.raises(FrameError):
        unpack_message(msgpack.packb(values), now=100.0)
