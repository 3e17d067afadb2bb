"""Finds the ends of server-sent events in a stream that arrives in parts."""

import re

from swifttrestle.errors import ResponseLimit, UpstreamLimitError

# The end of a line and the empty line that ends an event. Lines may end with CRLF.
_EMPTY_LINE = re.compile(rb"\n\r?\n")
# Bytes of an empty line that may have arrived while its end is missing.
_OVERLAP_BYTES = 2
# Maximum bytes of an event.
MAX_EVENT_BYTES = 1024 * 1024


class EventScanner:
    """Splits received bytes into complete events and the beginning of the next one."""

    def __init__(self) -> None:
        """Start without bytes."""
        self._rest = bytearray()
        # Whether an event has arrived completely.
        self.any_complete = False

    @property
    def incomplete_bytes(self) -> int:
        """The number of received bytes of an event whose end is missing."""
        return len(self._rest.strip(b"\r\n"))

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return those of the events that are complete by now.

        Raises UpstreamLimitError if an incomplete event is too long.
        """
        scanned_bytes = max(0, len(self._rest) - _OVERLAP_BYTES)
        self._rest += data
        end = _find_last_end(self._rest, scanned_bytes)
        complete = bytes(self._rest[:end])
        del self._rest[:end]
        self.any_complete = self.any_complete or end > 0
        if len(self._rest) > MAX_EVENT_BYTES:
            raise UpstreamLimitError(ResponseLimit.EVENT, MAX_EVENT_BYTES)
        return complete


def split_events(complete_events: bytes) -> list[bytes]:
    """Return events without the empty lines that end them."""
    return [event for event in _EMPTY_LINE.split(complete_events) if event]


def _find_last_end(data: bytearray, start: int) -> int:
    """Return the index behind the last event that ends in `data` from `start` on, or 0."""
    end = 0
    for match in _EMPTY_LINE.finditer(data, start):
        end = match.end()
    return end
