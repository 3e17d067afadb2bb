"""JSON log lines on standard output that never hold up a request.

Lines go into a bounded queue that one thread drains. A line that finds the queue full is
dropped and counted, and the next line that gets through tells how many were lost. loguru's
own queue needs shared memory, which hosts do not offer, so this module takes its place on
the gateway; docs/design/platform.md has the reason.
"""

import os
import sys
import threading
import time
from collections import deque

import orjson

# Lines that may wait: about ten seconds of a host's usual volume, some megabytes of memory.
QUEUE_LINES = 4096
# Seconds between two writes; lines of that time go out in one call.
DRAIN_SECONDS = 0.1


class LineWriter:
    """Writes lines to a file descriptor from a thread of its own."""

    def __init__(self, descriptor: int) -> None:
        """Write to a descriptor; `start` begins."""
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._wake = threading.Event()
        self._process = ""
        self._started = False
        self.dropped = 0
        self._untold = 0

    def start(self, process: str) -> None:
        """Name the process in each line and begin to write."""
        self._process = process
        self._started = True
        threading.Thread(target=self._run, name="lines", daemon=True).start()

    def put(self, event: str, fields: dict[str, object]) -> None:
        """Queue one line, or count it as dropped."""
        if not self._started:
            return
        if len(self._lines) >= QUEUE_LINES:
            self.dropped += 1
            self._untold += 1
            return
        line = {"time": round(time.time(), 3), "host": self._process, "event": event, **fields}
        if self._untold:
            line["lines_dropped"] = self._untold
            self._untold = 0
        self._lines.append(orjson.dumps(line, default=str))
        self._wake.set()

    def flush(self) -> None:
        """Write what waits; used at the end of the process."""
        if not self._lines:
            return
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        data = b"\n".join(lines) + b"\n"
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError:
                # Nobody reads any more: there is nowhere left to say so.
                self.dropped += len(lines)
                return

    def _run(self) -> None:
        while True:
            self._wake.wait()
            time.sleep(DRAIN_SECONDS)
            self._wake.clear()
            self.flush()


WRITER = LineWriter(sys.stdout.fileno() if sys.stdout else 1)


def log_event(event: str, **fields: object) -> None:
    """Log one decision, or one change of what this host believes."""
    WRITER.put(event, fields)
