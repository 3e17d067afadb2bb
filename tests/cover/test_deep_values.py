"""Deep values of engines and peers are refused with a typed error, at any depth."""

import zlib

import msgpack
import orjson
import pytest

from swifttrestle.errors import FrameError, UpstreamBrokenError
from swifttrestle.internal.decoding import MAX_DEPTH, TooDeepError, decode_json
from swifttrestle.internal.protocol import (
    bookings,
    copies,
    freshness,
    gossip,
    listings,
    permits,
    quarantine,
    quotas,
    rosters,
    stream_builds,
    usage,
)
from swifttrestle.platform.engine import read_cached_parts, read_handle, read_report

# Up to and above the limits of the decoders; the interpreter prints fewer than 1,000.
LEVELS = (101, 250, 500, 900, 950, 970, 990, 1000, 1010, 1020, 1030, 5000)
ANSWERS = {
    "role": (read_report, b'{"phase":%b}'),
    "start": (read_report, b'{"phase":"decode","born":%b}'),
    "count": (read_report, b'{"phase":"decode","seq":%b}'),
    "unused field": (read_report, b'{"phase":"decode","other":%b}'),
    "part": (read_cached_parts, b'{"held":[["",%b,1,"m"]]}'),
    "model": (read_cached_parts, b'{"held":[["","p",1,%b]]}'),
    "handle": (read_handle, b'{"kvHandle":%b}'),
    "tokens": (read_handle, b'{"kvHandle":"h","tokens":%b}'),
    "whole answer": (read_report, b"%b"),
}
DATAGRAMS = {
    "booking": bookings.unpack_message,
    "counts": usage.unpack_counts,
    "crashes": lambda data: quarantine.unpack_crash_update(data, 0.0),
    "freshness": freshness.unpack_freshness,
    "listing": listings.unpack_changes,
    "permit": lambda data: permits.unpack_message(data, 0.0),
    "quota": quotas.unpack_message,
    "report": gossip.unpack_report,
    "roster": rosters.unpack_roster_message,
    "stream": stream_builds.unpack_message,
}
RECORD = ("i", "s", ("10.0.0.1", 80), "a", 4, False, "decode", 7, False, None, "v1")
# Sound fields of messages.
FIELDS = {
    "listing": ((0, 1), (0, 2), 0.0, [RECORD], []),
    "report": ("h", "10.0.0.1", "a", 1.0, 1, 2, False, False, False, 1.0, {}, {}, {}, [], []),
    "stream": (1, b"stream", "s", "v1"),
    "roster": (1, "h", "a", 1.0, 1, 2, False, "", [(b"d", 1.0)], {}, {}),
    **{name: (1, 1, 1, 1.0, 1.0, 1.0) for name in ("permit", "freshness", "booking")},
    **{name: (1, [], False) for name in ("quota", "crashes", "counts")},
}
EACH_LEVEL = pytest.mark.parametrize("levels", LEVELS)


def nest_lists(levels):
    return b"[" * levels + b"]" * levels


def pack_nested(levels):
    """Return the msgpack of lists of one item."""
    return b"\x91" * levels + b"\xc0"


def list_deep_datagrams(fields, levels):
    """Return datagrams of a message with one deep field each, and a deep one in its place."""
    deep = pack_nested(levels)
    packed = [msgpack.packb(value) for value in fields]
    datagrams = [deep]
    for place, value in enumerate(fields):
        # An item of a list or a map may be deep as well.
        replacements = [deep, b"\x91" + deep, b"\x81\xa1s" + deep]
        if isinstance(value, list | tuple) and value and isinstance(value[0], tuple):
            replacements += [
                b"\x91" + replace_field(value[0], number, deep) for number in range(len(value[0]))
            ]
        for replacement in replacements:
            changed = [*packed[:place], replacement, *packed[place + 1 :]]
            datagrams.append(bytes((0x90 + len(fields),)) + b"".join(changed))
    return datagrams


def replace_field(fields, number, content):
    """Return the msgpack of fields with one replaced."""
    packed = [msgpack.packb(value) for value in fields]
    packed[number] = content
    return bytes((0x90 + len(fields),)) + b"".join(packed)


@EACH_LEVEL
@pytest.mark.parametrize(("read", "body"), ANSWERS.values(), ids=ANSWERS)
def test_a_deep_answer_of_an_engine_counts_as_broken(read, body, levels):
    with pytest.raises(UpstreamBrokenError):
        read(body % nest_lists(levels))


@EACH_LEVEL
def test_a_deep_copy_of_a_peer_is_refused(levels):
    content = zlib.compress(b'{"version":%b}' % nest_lists(levels))
    with pytest.raises(FrameError):
        copies.unpack_copy(msgpack.packb(((1, 1), content)))


@EACH_LEVEL
@pytest.mark.parametrize("kind", DATAGRAMS)
def test_a_deep_datagram_is_read_or_refused(kind, levels):
    for data in list_deep_datagrams(FIELDS[kind], levels):
        try:
            DATAGRAMS[kind](data)
        except FrameError:
            continue


@pytest.mark.parametrize("levels", [0, 1, MAX_DEPTH])
def test_values_of_few_levels_are_read(levels):
    content = nest_lists(levels) if levels else b"7"
    assert decode_json(content) == orjson.loads(content)
    with pytest.raises(TooDeepError):
        decode_json(b'{"a":%b}' % nest_lists(MAX_DEPTH))
