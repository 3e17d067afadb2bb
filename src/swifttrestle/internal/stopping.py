"""Stop signals of multi-threaded processes."""

import signal
import threading

# Longest time for which the main thread blocks. Python runs signal handlers in the main thread
# only, but the kernel may deliver a signal to any thread, which does not wake a main thread that
# waits without a timeout.
WAKE_INTERVAL_SECONDS = 0.5


def catch_stop_signals(stopping: threading.Event) -> None:
    """Set `stopping` on SIGTERM and SIGINT; call this in the main thread."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())


def wait_until_stopped(stopping: threading.Event) -> None:
    """Wait for `stopping`; call this in the main thread."""
    while not stopping.wait(WAKE_INTERVAL_SECONDS):
        pass
