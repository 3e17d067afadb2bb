"""Parses the response headers by which an upstream limits or refuses requests."""

import re
from collections.abc import Callable, Sequence

from swifttrestle.internal.state.backpressure import NO_BACKPRESSURE, Backpressure
from swifttrestle.platform.wire import Header

LEAVING_HEADER = b"server-leaving"
RATE_LIMIT_HEADER = b"server-limit"
RETRY_AFTER_HEADER = b"retry-after"
# Statuses of refusals. With other statuses, Retry-After is ignored.
_REFUSAL_STATUSES = frozenset((429, 503))
# An unsigned decimal number; float() would also accept nan, inf and digits grouped by _.
_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]{1,3})?")
# Longest part of an unreadable value that is logged.
_MAX_SHOWN_BYTES = 40


def read_backpressure(status: int, headers: Sequence[Header]) -> Backpressure:
    """Return the backpressure that a response signals, with the headers that cannot be read.

    Of a repeated header, the stricter value applies.
    """
    found = [(name.lower(), value) for name, value in headers if name.lower() in _PARSERS]
    if not found:
        return NO_BACKPRESSURE
    is_refusal = status in _REFUSAL_STATUSES
    values = [
        (name, value, _PARSERS[name](value))
        for name, value in found
        if name != RETRY_AFTER_HEADER or is_refusal
    ]
    return Backpressure(
        leaving=any(parsed for name, _, parsed in values if name == LEAVING_HEADER),
        cool_down=_find_max([parsed for name, _, parsed in values if name == RETRY_AFTER_HEADER]),
        rate=min(
            (
                parsed
                for name, _, parsed in values
                if name == RATE_LIMIT_HEADER and parsed is not None
            ),
            default=None,
        ),
        unreadable=tuple(
            _format_header(name, value) for name, value, parsed in values if parsed is None
        ),
    )


def _find_max(seconds: Sequence[float | None]) -> float | None:
    """Return the longest time, 0 if there is none, or None if none of them can be read."""
    readable = [item for item in seconds if item is not None]
    if seconds and not readable:
        return None
    return max(readable, default=0.0)


def _read_flag(value: bytes) -> bool | None:
    return {b"1": True, b"0": False}.get(value.strip())


def _read_decimal(value: bytes) -> float | None:
    text = value.strip()
    if not _DECIMAL.fullmatch(text):
        return None
    number = float(text)
    # A number beyond the range of a float is parsed as infinity.
    return number if number != float("inf") else None


def _format_header(name: bytes, value: bytes) -> str:
    return f"{name.decode()}: {value[:_MAX_SHOWN_BYTES].decode('latin-1')}"


_PARSERS: dict[bytes, Callable[[bytes], float | None]] = {
    LEAVING_HEADER: _read_flag,
    RATE_LIMIT_HEADER: _read_decimal,
    RETRY_AFTER_HEADER: _read_decimal,
}
