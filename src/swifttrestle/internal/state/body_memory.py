"""How the memory for the bodies of callers' requests is shared out between open requests.

A request gets the memory for its whole body before more than the first bytes of it are read. So the
bodies that are being read can always be read to their ends, and the others wait unread at their
callers. Large bodies leave a part of the memory to small ones, and get theirs in order of arrival.
"""

import asyncio
import contextlib
from collections.abc import Callable

from swifttrestle.internal.callbacks import do_nothing

# Shares of the limit on the process's memory: for all bodies, for the part of these that large ones
# leave to small ones, and for the first bytes of those that wait.
ALL_BODIES_SHARE = 0.4
SMALL_BODIES_SHARE = 0.1
WAITING_BODIES_SHARE = 0.1
# Largest small body.
SMALL_BODY_BYTES = 128 * 1024
# Weight of a new sample in the moving average of the time for which large bodies are held.
HOLD_SAMPLE_WEIGHT = 0.2
# Seconds for which the places of those that wait are taken as known.
PLACES_SECONDS = 0.1


class BodyReservation:
    """The memory of one request's body; `granted` is whether the whole body may be read."""

    def __init__(
        self, memory: "BodyMemory", needed_bytes: int, known: bool, on_granted: Callable[[], None]
    ) -> None:
        """Need memory for `needed_bytes`, which is the most if the size is not `known`."""
        self._memory = memory
        self._known = known
        self._on_granted = on_granted
        self._turn: asyncio.Event | None = None
        self.needed_bytes = needed_bytes
        self.granted = False
        self.released = False
        # The loop's time of the grant.
        self.granted_at = 0.0
        # Bytes that were read while it waits.
        self.read_bytes = 0
        # Bytes needed by those whose turn comes before, and by itself.
        self.bytes_ahead = needed_bytes

    @property
    def large(self) -> bool:
        """Whether the body is, or may be, a large one."""
        return self.needed_bytes > SMALL_BODY_BYTES

    @property
    def readable(self) -> bool:
        """Whether more of the body may be read now; one of unknown size may turn out small."""
        if self.granted or self.released:
            return True
        return not self._known and self.read_bytes <= SMALL_BODY_BYTES

    @property
    def crowded(self) -> bool:
        """Whether the first bytes of those that wait take more memory than they may."""
        return self._memory.crowded

    def note_read(self, size: int) -> None:
        """Record that `size` bytes of the body have been read in all."""
        if not self.granted:
            self._memory.note_waiting(self, size)

    def note_end(self, size: int, now: float) -> None:
        """Record that the body has ended, with `size` bytes."""
        if size < self.needed_bytes:
            self._memory.shrink(self, size, now)

    def release(self, now: float) -> None:
        """Give the memory back at the loop's time `now`; further calls do nothing."""
        self._memory.release(self, now)

    def predict_wait(self, now: float) -> float | None:
        """Return the seconds until the memory is predicted to be granted, None if unknown."""
        return self._memory.predict_wait(self, now)

    async def wait(self, seconds: float) -> None:
        """Wait until the memory is granted, but not longer than `seconds`."""
        self._turn = self._turn or asyncio.Event()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._turn.wait()

    def grant(self, now: float) -> None:
        """Let the whole body be read."""
        self.granted = True
        self.granted_at = now
        if self._turn is not None:
            self._turn.set()
        self._on_granted()


class BodyMemory:
    """The memory of one process for the bodies of requests."""

    def __init__(self, limit_bytes: float = float("inf")) -> None:
        """Share out a part of `limit_bytes`, the limit on the memory of the process."""
        self._max_bytes = limit_bytes * ALL_BODIES_SHARE
        self._max_large_bytes = limit_bytes * (ALL_BODIES_SHARE - SMALL_BODIES_SHARE)
        self._max_waiting_bytes = limit_bytes * WAITING_BODIES_SHARE
        # Bytes that were granted, those of large bodies among them, and those read of bodies that
        # wait.
        self.granted_bytes = 0
        self._granted_large_bytes = 0
        self.waiting_bytes = 0
        # Those that wait, in the order of their arrival.
        self._small: dict[BodyReservation, None] = {}
        self._large: dict[BodyReservation, None] = {}
        # Bytes that they need.
        self._needed_bytes = 0
        # Seconds for which large bodies are held, on average; None if unknown.
        self._hold_seconds: float | None = None
        self._places_known_at = float("-inf")

    @property
    def waiting(self) -> int:
        """The number of bodies that wait."""
        return len(self._small) + len(self._large)

    @property
    def crowded(self) -> bool:
        """Whether the first bytes of those that wait take more than their share."""
        return self.waiting_bytes > self._max_waiting_bytes

    def describe(self) -> dict[str, float]:
        """Return the state for operators: bytes, and the number of those that wait."""
        return {
            "limit": self._max_bytes,
            "granted": self.granted_bytes,
            "read_of_waiting": self.waiting_bytes,
            "waiting": self.waiting,
        }

    def reserve(
        self,
        needed_bytes: int,
        known: bool,
        now: float,
        on_granted: Callable[[], None] = do_nothing,
    ) -> BodyReservation:
        """Reserve memory for a body; `on_granted` is called if that is granted only later.

        `known` is whether `needed_bytes` is the size of the body, or only the most it may be.
        """
        item = BodyReservation(self, needed_bytes, known, on_granted)
        if not self._find_line(item) and self._fits(item):
            item.granted = True
            item.granted_at = now
            self._charge(item, item.needed_bytes)
            return item
        self._enqueue(item)
        if item.large:
            item.bytes_ahead = self._needed_bytes
        else:
            item.bytes_ahead = sum(other.needed_bytes for other in self._small)
        return item

    def note_waiting(self, item: BodyReservation, size: int) -> None:
        """Record how much was read of a body that waits."""
        if item.released:
            return
        self.waiting_bytes += size - item.read_bytes
        item.read_bytes = size

    def shrink(self, item: BodyReservation, size: int, now: float) -> None:
        """Reduce what a body needs to its size."""
        if item.released:
            return
        if item.granted:
            self._charge(item, -item.needed_bytes)
            item.needed_bytes = size
            self._charge(item, size)
        else:
            self._dequeue(item)
            item.needed_bytes = size
            self._enqueue(item)
        self._serve(now)

    def release(self, item: BodyReservation, now: float) -> None:
        """Take a body's memory back, or its place among those that wait."""
        if item.released:
            return
        item.released = True
        if item.granted:
            self._charge(item, -item.needed_bytes)
            self._note_held(item, now)
        else:
            self._dequeue(item)
            self.waiting_bytes -= item.read_bytes
        self._serve(now)

    def predict_wait(self, item: BodyReservation, now: float) -> float | None:
        """Return the seconds until a body's turn, None if unknown."""
        if self._hold_seconds is None or not self._granted_large_bytes:
            return None
        if now - self._places_known_at >= PLACES_SECONDS:
            self._places_known_at = now
            self._find_places()
        return self._hold_seconds * item.bytes_ahead / self._granted_large_bytes

    def _serve(self, now: float) -> None:
        """Grant memory to those whose turn it is."""
        for line in (self._small, self._large):
            while line and self._fits(item := next(iter(line))):
                self._dequeue(item)
                self.waiting_bytes -= item.read_bytes
                self._charge(item, item.needed_bytes)
                item.grant(now)

    def _fits(self, item: BodyReservation) -> bool:
        """Return whether a body's memory is free; one at a time goes on however large it is."""
        all_bytes = self.granted_bytes + item.needed_bytes
        if not item.large:
            return all_bytes <= self._max_bytes or not self.granted_bytes
        if not self._granted_large_bytes:
            return True
        large_bytes = self._granted_large_bytes + item.needed_bytes
        return all_bytes <= self._max_bytes and large_bytes <= self._max_large_bytes

    def _charge(self, item: BodyReservation, size: int) -> None:
        self.granted_bytes += size
        if item.large:
            self._granted_large_bytes += size

    def _find_line(self, item: BodyReservation) -> dict[BodyReservation, None]:
        return self._large if item.large else self._small

    def _enqueue(self, item: BodyReservation) -> None:
        self._find_line(item)[item] = None
        self._needed_bytes += item.needed_bytes

    def _dequeue(self, item: BodyReservation) -> None:
        del self._find_line(item)[item]
        self._needed_bytes -= item.needed_bytes

    def _note_held(self, item: BodyReservation, now: float) -> None:
        """Update the average time for which large bodies are held."""
        if not item.large:
            return
        seconds = now - item.granted_at
        known = seconds if self._hold_seconds is None else self._hold_seconds
        self._hold_seconds = known + HOLD_SAMPLE_WEIGHT * (seconds - known)

    def _find_places(self) -> None:
        """Determine how many bytes are needed before the turn of each that waits."""
        total = 0
        for line in (self._small, self._large):
            for item in line:
                total += item.needed_bytes
                item.bytes_ahead = total
