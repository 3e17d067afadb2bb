"""Keeps a dictionary within a maximum size."""

from typing import Any


def make_room(items: dict[Any, Any], key: object, maximum: int) -> None:
    """Drop the oldest item if another key would exceed the maximum number of items."""
    if key not in items and len(items) >= maximum:
        del items[next(iter(items))]
