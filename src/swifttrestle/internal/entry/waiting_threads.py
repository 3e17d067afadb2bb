"""Limits how many worker threads of an entry wait for upstreams.

A request occupies a worker thread until it has its first token.
"""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from swifttrestle.codes import Code
from swifttrestle.errors import RefusedError
from swifttrestle.internal.policy.routing import URGENT

# Share of the worker threads that waiting non-urgent requests may occupy.
NON_URGENT_THREAD_SHARE = 0.6
# Worker threads that waiting requests never occupy.
RESERVED_THREADS = 4


class WaitingThreads:
    """Counts the worker threads that wait; thread-safe."""

    def __init__(self, threads: int) -> None:
        """Limit the waiting ones of so many worker threads."""
        self._threads = threads
        self._lock = threading.Lock()
        self._waiting = 0

    @contextmanager
    def hold(self, priority: str) -> Iterator[None]:
        """Count the current thread as waiting; raise RefusedError if too few are left."""
        self._acquire(priority)
        try:
            yield
        finally:
            with self._lock:
                self._waiting -= 1

    def _acquire(self, priority: str) -> None:
        limit = self._threads - RESERVED_THREADS
        if priority != URGENT:
            limit = int(self._threads * NON_URGENT_THREAD_SHARE)
        with self._lock:
            if self._waiting >= limit:
                raise RefusedError(Code.OVERLOADED, "too many requests wait", 1)
            self._waiting += 1
