"""JSON log lines on standard output, written without blocking requests.

Lines go into a bounded queue that one thread drains. A line that finds the queue full or cannot
be encoded is dropped and counted, and the next line that is queued reports the number dropped.
loguru's own queue needs shared memory, which hosts do not offer; see docs/design/platform.md.
"""

import os
import sys
import threading
import time
from collections import deque

import orjson

# About ten seconds of a host's usual volume, some megabytes of memory.
MAX_QUEUED_LINES = 4096
# Seconds between two writes; the lines queued meanwhile go out in one call.
FLUSH_INTERVAL_SECONDS = 0.1
# Maximum age of a belief in the log, in seconds; also that of one that was never confirmed.
MAX_LOGGED_AGE_SECONDS = 9999.0


class LineWriter:
    """Writes log lines to a file descriptor from its own thread."""

    def __init__(self, descriptor: int) -> None:
        """Write to `descriptor` once `start` is called."""
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._wake = threading.Event()
        self._host = ""
        self._started = False
        self.dropped = 0
        self._unreported = 0

    def start(self, host: str) -> None:
        """Start writing, with `host` in each line."""
        self._host = host
        self._started = True
        threading.Thread(target=self._run, name="lines", daemon=True).start()

    def put(self, event: str, fields: dict[str, object]) -> None:
        """Queue one line, or drop and count it if the queue is full or it cannot be encoded."""
        if not self._started:
            return
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._count_dropped()
            return
        line = {"time": round(time.time(), 3), "host": self._host, "event": event, **fields}
        if self._unreported:
            line["lines_dropped"] = self._unreported
        try:
            encoded = orjson.dumps(line, default=str)
        except Exception:
            # A request must not fail because of its log line: integers over 64 bits, for example.
            self._count_dropped()
            return
        self._unreported = 0
        self._lines.append(encoded)
        self._wake.set()

    def _count_dropped(self) -> None:
        self.dropped += 1
        self._unreported += 1

    def flush(self) -> None:
        """Write all queued lines."""
        if not self._lines:
            return
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        data = b"\n".join(lines) + b"\n"
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError:
                # The reader has closed its end, so the loss cannot be logged.
                self.dropped += len(lines)
                return

    def _run(self) -> None:
        while True:
            self._wake.wait()
            time.sleep(FLUSH_INTERVAL_SECONDS)
            self._wake.clear()
            self.flush()


WRITER = LineWriter(sys.stdout.fileno() if sys.stdout else 1)


def round_age(seconds: float) -> float:
    """Return an age as lines show it."""
    return round(min(seconds, MAX_LOGGED_AGE_SECONDS), 1)


def log_event(event: str, **fields: object) -> None:
    """Log a decision or a change of this host's state."""
    WRITER.put(event, fields)
