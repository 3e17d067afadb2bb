"""Encoding of configuration copies that hosts send each other."""

import zlib

import msgpack
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from swifttrestle.errors import FrameError
from swifttrestle.internal.protocol import copies
from swifttrestle.internal.protocol.copies import ConfigurationCopy, pack_copy, unpack_copy
from swifttrestle.internal.state.store_epochs import StoreRevision

COPY = ConfigurationCopy(
    StoreRevision(0, 70), {"version": 9, "routes": [{"name": f"r{n}"} for n in range(500)]}
)


def test_a_copy_is_unchanged_by_packing_and_unpacking():
    assert unpack_copy(pack_copy(COPY)) == COPY


def test_a_large_version_is_compressed_to_under_a_fifth_of_its_size():
    routes = [
        {"name": f"r-{n * 7919 % 99991:07x}", "host": "site.example", "pathPrefix": f"/{n:08x}/"}
        for n in range(4000)
    ]
    assert (
        len(pack_copy(ConfigurationCopy(StoreRevision(0, 1), routes)))
        < len(orjson.dumps(routes)) / 5
    )


@pytest.mark.parametrize("kept", [0, 1, 10, -1])
def test_a_truncated_copy_is_refused(kept):
    with pytest.raises(FrameError):
        unpack_copy(pack_copy(COPY)[:kept])


@pytest.mark.parametrize(
    "content", [b"no zlib", zlib.compress(b"no json"), zlib.compress(orjson.dumps(7))[:-3], 7, None]
)
def test_malformed_content_is_refused(content):
    with pytest.raises(FrameError):
        unpack_copy(msgpack.packb((1, content)))


def test_a_version_that_unpacks_to_more_than_the_limit_is_refused(monkeypatch):
    monkeypatch.setattr(copies, "MAX_CONFIGURATION_BYTES", 1000)
    with pytest.raises(FrameError):
        unpack_copy(pack_copy(ConfigurationCopy(StoreRevision(0, 1), "x" * 2000)))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=60))
def test_any_bytes_are_unpacked_or_refused_with_a_frame_error(data):
    try:
        unpack_copy(data)
    except FrameError as error:
        assert error.code.name == "BAD_FRAME"
