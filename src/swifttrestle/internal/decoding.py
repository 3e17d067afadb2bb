"""Decodes JSON and msgpack of other writers, up to a depth that any code can handle.

The decoders take deeper values than the interpreter can print or compare.
"""

from typing import Any

import msgpack
import orjson

# Levels of lists and maps in a readable value. Few enough for the stack of any caller.
MAX_DEPTH = 100
_CONTAINERS = (list, dict)


class TooDeepError(ValueError):
    """A value has more than MAX_DEPTH levels."""

    def __init__(self) -> None:
        """State the limit; the value cannot be shown."""
        super().__init__(f"the value is too deep; give at most {MAX_DEPTH} levels")


def decode_json(content: bytes) -> Any:
    """Return decoded JSON; raise ValueError if it is invalid or too deep."""
    return _check_depth(orjson.loads(content))


def decode_msgpack(content: bytes) -> Any:
    """Return decoded msgpack; raise ValueError or UnpackException if it is invalid or too deep."""
    return _check_depth(msgpack.unpackb(content))


def _check_depth(value: Any) -> Any:
    if is_too_deep(value):
        raise TooDeepError
    return value


def is_too_deep(value: Any) -> bool:
    """Return whether a decoded value has more than MAX_DEPTH levels of lists and maps."""
    level = [value] if isinstance(value, _CONTAINERS) else []
    for _ in range(MAX_DEPTH):
        if not level:
            return False
        level = [
            inner
            for item in level
            for inner in (item.values() if isinstance(item, dict) else item)
            if isinstance(inner, _CONTAINERS)
        ]
    return bool(level)
