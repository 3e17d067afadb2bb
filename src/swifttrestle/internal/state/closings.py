"""Which upstreams are closed to new work for a planned change, by generation.

Each change of an upstream uses two generations, taken from the number of its order: the
even one closes, the odd one after it opens again. A higher generation always wins, so news
may come late, twice and by any way.
"""

import threading
from collections.abc import Callable


def closing_generation(number: int) -> int:
    """Return the generation at which the order of this number closes its upstream."""
    return 2 * number


def opening_generation(number: int) -> int:
    """Return the generation at which the order of this number opens its upstream again."""
    return 2 * number + 1


class ClosingTable:
    """The highest generation known of each upstream."""

    def __init__(self) -> None:
        """Start with no upstream closed."""
        self._lock = threading.Lock()
        self._generations: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []
        self.changes = 0

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change."""
        self._listeners.append(listener)

    def merge(self, generations: dict[str, int]) -> bool:
        """Take over what is newer; return whether anything was."""
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
        """Return all generations."""
        with self._lock:
            return dict(self._generations)

    def closed(self) -> tuple[str, ...]:
        """Return the upstreams that are closed."""
        with self._lock:
            return tuple(name for name, number in self._generations.items() if number % 2 == 0)
