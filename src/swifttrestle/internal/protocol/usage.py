"""Datagrams with a host's usage counts of a time window."""

from collections.abc import Iterator
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_COUNTED_REQUESTS, check_integer, check_text
from swifttrestle.internal.decoding import decode_msgpack
from swifttrestle.internal.state.usage import WindowCounts

# Workspaces per datagram; with names of up to 20 characters it fits one packet.
WORKSPACES_PER_PART = 50
# Highest accepted number of a window. With windows of one second it lasts until long after the year
# 10,000.
MAX_WINDOW = 2**48


def split_counts(counts: WindowCounts) -> Iterator[bytes]:
    """Yield the datagrams of a window's counts."""
    items = sorted(counts.counts.items())
    for start in range(0, len(items), WORKSPACES_PER_PART):
        part = dict(items[start : start + WORKSPACES_PER_PART])
        yield msgpack.packb([counts.source, counts.window, part])


def unpack_counts(data: bytes) -> WindowCounts:
    """Parse the counts of a datagram; raise FrameError."""
    try:
        values: Any = decode_msgpack(data)
        match values:
            case [str(source), window, dict(counts)]:
                return WindowCounts(
                    source,
                    check_integer(window, 0, MAX_WINDOW),
                    {
                        check_text(name): check_integer(count, 0, MAX_COUNTED_REQUESTS)
                        for name, count in counts.items()
                    },
                )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise FrameError(f"usage datagram malformed: {error!r}") from None
    raise FrameError("usage datagram with a missing or wrong field")
