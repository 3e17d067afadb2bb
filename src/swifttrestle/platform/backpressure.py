"""The headers by which an upstream says in an answer what work it takes."""

import re
from collections.abc import Callable, Sequence

from swifttrestle.internal.state.backpressure import NO_BACKPRESSURE, Backpressure
from swifttrestle.platform.wire import Header

LEAVING = b"server-leaving"
RATE = b"server-limit"
REST = b"retry-after"
# Statuses by which an upstream turns a request away and may name a time of rest.
_TURNED_AWAY = frozenset((429, 503))
# A decimal number as HTTP writes one: no sign, no word such as nan, no digits grouped by _.
_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,3})?")
# Bytes of a word that are shown where it cannot be read.
_SHOWN_BYTES = 40


def read_backpressure(status: int, headers: Sequence[Header]) -> Backpressure:
    """Return what an answer says of its upstream; a word that cannot be read is named as odd.

    Of a word that comes twice the stricter value counts.
    """
    found = [(name.lower(), value) for name, value in headers if name.lower() in _READERS]
    if not found:
        return NO_BACKPRESSURE
    turned_away = status in _TURNED_AWAY
    words = [
        (name, value, _READERS[name](value)) for name, value in found if name != REST or turned_away
    ]
    return Backpressure(
        leaving=any(read for name, _, read in words if name == LEAVING),
        rest=_find_longest([read for name, _, read in words if name == REST]),
        rate=min(
            (read for name, _, read in words if name == RATE and read is not None), default=None
        ),
        unreadable=tuple(_show(name, value) for name, value, read in words if read is None),
    )


def _find_longest(rests: Sequence[float | None]) -> float | None:
    """Return the longest time of rest; None where none of those that came can be read."""
    readable = [item for item in rests if item is not None]
    if rests and not readable:
        return None
    return max(readable, default=0.0)


def _read_flag(value: bytes) -> bool | None:
    return {b"1": True, b"0": False}.get(value.strip())


def _read_decimal(value: bytes) -> float | None:
    text = value.strip()
    if not _DECIMAL.fullmatch(text):
        return None
    number = float(text)
    # A number beyond all that a float holds reads as infinite.
    return number if number != float("inf") else None


def _show(name: bytes, value: bytes) -> str:
    return f"{name.decode()}: {value[:_SHOWN_BYTES].decode('latin-1')}"


_READERS: dict[bytes, Callable[[bytes], float | None]] = {
    LEAVING: _read_flag,
    RATE: _read_decimal,
    REST: _read_decimal,
}
