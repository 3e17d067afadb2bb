"""Datagrams about quotas survive their encoding, and malformed ones are refused."""

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
    split_workspaces,
    unpack_message,
)

NUMBERS = st.integers(0, MAX_INT64)
NAMES = st.text(st.characters(codec="utf-8"), min_size=1, max_size=MAX_TEXT_CHARS)
DISTINCT_NAMES = st.lists(NAMES, unique=True, max_size=12)
AMOUNTS = st.floats(0, allow_infinity=False, allow_nan=False)
MESSAGES = st.one_of(
    st.builds(QuotaRequest, NUMBERS, NAMES, st.integers(1, MAX_INT64)),
    st.builds(QuotaReply, NUMBERS, AMOUNTS, NUMBERS),
    st.builds(QuotaReturn, NUMBERS, NAMES),
    st.builds(CollectRequest, NUMBERS, DISTINCT_NAMES.map(tuple)),
    st.builds(
        CollectReply,
        NUMBERS,
        st.dictionaries(NAMES, AMOUNTS, max_size=12).map(lambda items: tuple(items.items())),
    ),
)


@given(MESSAGES)
def test_a_message_survives_its_datagram(message):
    assert unpack_message(pack_message(message)) == message


@given(st.binary(max_size=60))
def test_any_bytes_are_parsed_or_refused_with_a_frame_error(data):
    try:
        unpack_message(data)
    except FrameError:
        pass


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
        (4, 5, ["w1", 7]),
        (4, 5, ["w1", "w1"]),
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


@given(st.lists(NAMES, unique=True, max_size=120))
def test_requests_and_replies_of_a_split_collection_fit_their_datagrams(names):
    parts = list(split_workspaces(names))
    assert [name for part in parts for name in part] == names
    for part in parts:
        reply = CollectReply(MAX_INT64, tuple((name, 0.1) for name in part))
        for message in (CollectRequest(MAX_INT64, part), reply):
            # The socket adds the byte of the datagram's kind.
            assert 1 + len(pack_message(message)) <= MAX_DATAGRAM_BYTES


def test_workspaces_of_the_largest_plan_are_collected_with_few_datagrams():
    assert len(list(split_workspaces(f"workspace-{n}" for n in range(310)))) <= 6
