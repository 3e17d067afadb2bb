"""Datagrams about quotas survive their encoding, and malformed ones are refused."""

import contextlib

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_INT64, MAX_TEXT_CHARS
from swifttrestle.internal.protocol.gossip import MAX_DATAGRAM_BYTES
from swifttrestle.internal.protocol.quotas import (
    CollectReply,
    CollectRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    pack_message,
    split_wanted,
    unpack_message,
)

NUMBERS = st.integers(0, MAX_INT64)
NAMES = st.text(st.characters(codec="utf-8"), min_size=1, max_size=MAX_TEXT_CHARS)
AMOUNTS = st.floats(0, allow_infinity=False, allow_nan=False)
COSTS = st.integers(1, MAX_INT64)


def make_pairs(values):
    return st.dictionaries(NAMES, values, max_size=12).map(lambda items: tuple(items.items()))


MESSAGES = st.one_of(
    st.builds(QuotaRequest, NUMBERS, NAMES, COSTS),
    st.builds(QuotaReply, NUMBERS, AMOUNTS, NUMBERS),
    st.builds(QuotaReturn, NUMBERS, NAMES),
    st.builds(CollectRequest, NUMBERS, make_pairs(COSTS)),
    st.builds(CollectReply, NUMBERS, make_pairs(AMOUNTS)),
)


@given(MESSAGES)
def test_a_message_survives_its_datagram(message):
    assert unpack_message(pack_message(message)) == message


@given(st.binary(max_size=60))
def test_any_bytes_are_parsed_or_refused_with_a_frame_error(data):
    with contextlib.suppress(FrameError):
        unpack_message(data)


@pytest.mark.parametrize(
    "values",
    [
        (),
        7,
        "text",
        {1: 1, 2: 2, 3: 3, 4: 4},
        (1, 5),
        (1, 5, "w1"),
        (1, 5, "w1", 3, 3),
        (9, 5, "w1", 3),
        ("1", 5, "w1", 3),
        (1, -1, "w1", 3),
        (1, 2**64 - 1, "w1", 3),
        (1, True, "w1", 3),
        (1, 5, "", 3),
        (1, 5, "w" * (MAX_TEXT_CHARS + 1), 3),
        (1, 5, b"w1", 3),
        (1, 5, "w1", 0),
        (1, 5, "w1", -3),
        (1, 5, "w1", 3.5),
        (1, 5, "w1", None),
        (2, 5, -0.1, 3),
        (2, 5, float("nan"), 3),
        (2, 5, float("inf"), 3),
        (2, 5, 0.1, -1),
        (2, 5, 0.1, 1.5),
        (3, 5, 7),
        (3, 5, ["w1"]),
        (4, 5, "w1"),
        (4, 5, ["w1"]),
        (4, 5, [["w1"]]),
        (4, 5, [["w1", 0]]),
        (4, 5, [["w1", 1.5]]),
        (4, 5, [["w1", 1], ["w1", 2]]),
        (5, 5, ["w1"]),
        (5, 5, [["w1"]]),
        (5, 5, [["w1", -1]]),
        (5, 5, [["w1", float("nan")]]),
        (5, 5, [["w1", float("inf")]]),
        (5, 5, [["w1", 1], ["w1", 2]]),
        (5, 5, {"w1": 1}),
    ],
    ids=repr,
)
def test_a_malformed_datagram_is_refused(values):
    # An amount that is not a finite number, or one handed over twice, would create units.
    with pytest.raises(FrameError):
        unpack_message(msgpack.packb(values))


@given(make_pairs(COSTS))
def test_requests_and_replies_of_a_split_collection_fit_their_datagrams(wanted):
    parts = list(split_wanted(wanted))
    assert tuple(pair for part in parts for pair in part) == wanted
    for part in parts:
        reply = CollectReply(MAX_INT64, tuple((name, 0.1) for name, _ in part))
        for message in (CollectRequest(MAX_INT64, part), reply):
            # The socket adds the byte of the datagram's kind.
            assert 1 + len(pack_message(message)) <= MAX_DATAGRAM_BYTES


def test_workspaces_of_the_largest_plan_are_collected_with_few_datagrams():
    wanted = [(f"workspace-{n}", MAX_INT64) for n in range(310)]
    assert len(list(split_wanted(wanted))) <= 6


@pytest.mark.parametrize("origin", ["", "10.1.0.35"])
def test_a_query_that_was_passed_on_names_the_host_that_asked(origin):
    request = QuotaRequest(7, "w", 17_000, origin)
    assert unpack_message(pack_message(request)) == request


@pytest.mark.parametrize("origin", [None, 7, "host", "10.1.0"])
def test_a_query_with_an_invalid_origin_is_refused(origin):
    with pytest.raises(FrameError):
        unpack_message(pack_message(QuotaRequest(7, "w", 17_000, origin)))
