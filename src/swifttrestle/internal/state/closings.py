"""Upstreams that are closed to new work during a planned change.

Each change uses two generations, derived from the number of its order: an even one closes the
upstream, the odd one after it opens it again. The highest generation wins, so that updates may
arrive late, twice or out of order.
"""

import threading
from collections.abc import Callable


def closing_generation(number: int) -> int:
    """Return the generation with which an order closes its upstream."""
    return 2 * number


def opening_generation(number: int) -> int:
    """Return the generation with which an order opens its upstream again."""
    return 2 * number + 1


class ClosingTable:
    """The highest known generation of each upstream."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._generations: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []
        self.changes = 0

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change."""
        self._listeners.append(listener)

    def merge(self, generations: dict[str, int]) -> bool:
        """Store the generations that are newer; return whether any was."""
        with self._lock:
            newer = {
                name: generation
                for name, generation in generations.items()
                if generation > self._generations.get(name, 0)
            }
            self._generations.update(newer)
            self.changes += bool(newer)
        if newer:
            for listener in self._listeners:
                listener()
        return bool(newer)

    def is_closed(self, upstream: str) -> bool:
        """Return whether the upstream is closed to new work."""
        generation = self._generations.get(upstream, 1)
        return generation % 2 == 0

    def snapshot(self) -> dict[str, int]:
        """Return a copy of all generations."""
        with self._lock:
            return dict(self._generations)

    def closed(self) -> tuple[str, ...]:
        """Return the upstreams that are closed."""
        with self._lock:
            return tuple(name for name, number in self._generations.items() if number % 2 == 0)
