"""A spoilt entry of the store hides no other one, in lists and in watches."""

import math
import re

import orjson
import pytest

from swifttrestle.internal.decoding import MAX_DEPTH
from swifttrestle.platform.objects import (
    MalformedObject,
    StoredObject,
    decode_answer,
    read_changes,
    read_page,
)

GOOD = b'{"metadata": {"name": "%b", "revision": 3}, "spec": {"a": 1}}'
# Levels that the fast decoder takes, up to and just above its limit.
NEAR_LIMITS = (101, 250, 300, 500, 800, 900, 950, 970, 990, 1000, 1010, 1015, 1020, 1025)
# The specs of entries that cannot be taken.
SPOILT = {
    "5000 digits": b"9" * 5000,
    "5000 digits below zero": b"-" + b"9" * 5000,
    "a long fraction": b"1" * 5000 + b".5",
    "an endless exponent": b"1e999999999",
    "2000 lists": b"[" * 2000 + b"]" * 2000,
    "2000 objects": b'{"a":' * 2000 + b"1" + b"}" * 2000,
    "100000 lists": b"[" * 100_000 + b"]" * 100_000,
    "deep lists twice": b"[" * 2000 + b"]" * 2000 + b", " + b'"b": ' + b"[" * 2000 + b"]" * 2000,
    "half of a pair": b'"\\ud800"',
    "bytes that are no text": b'"\xff\xfe"',
    "brackets in a text": b'"\xff[[[{{\\"[[\\\\"',
    "no number": b"NaN",
    **{f"{levels} lists": b"[" * levels + b"]" * levels for levels in NEAR_LIMITS},
    **{f"{levels} objects": b'{"a":' * levels + b"1" + b"}" * levels for levels in NEAR_LIMITS},
}
PLACES = pytest.mark.parametrize("place", [0, 1, 2], ids=["first", "middle", "last"])
OPENINGS = ("[", '{"a":', '[{"]":', '[[{"a":', '{"[[":[', '[0,[1,{"b":"]","a":')
CASES = pytest.mark.parametrize("spec", SPOILT.values(), ids=SPOILT.keys())


def make_items(spec, place):
    items = [GOOD % b"g1", GOOD % b"g2"]
    items.insert(place, b'{"metadata": {"name": "bad", "revision": 4}, "spec": {"a": %b}}' % spec)
    return items


@CASES
@PLACES
def test_a_spoilt_entry_of_a_list_hides_no_other(spec, place):
    content = b'{"items": [%b], "hasMore": false, "timestamp": 9}' % b", ".join(
        make_items(spec, place)
    )
    page = read_page("servers", decode_answer("/list", content))
    assert [item.name for item in page.items] == ["g1", "g2"]
    assert [item.name for item in page.malformed] == ["bad"]
    assert page.revision.number == 9


@CASES
@PLACES
def test_a_spoilt_entry_of_a_watch_hides_no_other(spec, place):
    events = [b'{"object": %b, "removed": false}' % item for item in make_items(spec, place)]
    content = b'{"events": [%b], "timestamp": 9}' % b", ".join(events)
    changes = read_changes("servers", decode_answer("/watch", content))
    found = {change.item.name: type(change.item) for change in changes.changes}
    assert found == {"g1": StoredObject, "g2": StoredObject, "bad": MalformedObject}


def test_a_deep_value_beside_none_that_is_spoilt_is_kept():
    value = {"a": [[[{"b": ["[", "]", "\\"]}]]]}
    content = orjson.dumps(value)[:-1] + b', "n": 1e999999999}'
    assert decode_answer("/x", content)["a"] == value["a"]


@pytest.mark.parametrize("levels", range(MAX_DEPTH - 12, MAX_DEPTH + 12))
@pytest.mark.parametrize(
    "opening", ["[", '{"a":', '[{"]":', '[[{"a":', '{"[[":[', '[0,[1,{"b":"]","a":']
)
def test_what_is_cut_of_a_deep_value_ends_with_it(opening, levels):
    brackets = [character for character in re.sub('"[^"]*"', "", opening) if character in "[{"]
    opened = math.ceil(levels / len(brackets))
    depth = opened * len(brackets)
    closing = "".join("]" if item == "[" else "}" for item in reversed(brackets))
    deep = opening * opened + "1" + closing * opened
    # The number lets the second decoder read the answer.
    answer = decode_answer("/x", f'[{deep},[[["]"]]],{deep},1e999,7]'.encode())
    assert (answer[1], answer[4]) == ([[["]"]]], 7)
    assert answer[0] == answer[2]
    assert ("too deep" in repr(answer[0])) is (depth + 1 > MAX_DEPTH)
    assert "1e999" in answer[3]
