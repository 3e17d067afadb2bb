"""How a process that works in threads learns that it is to stop."""

import signal
import threading

# Seconds between two looks of the main thread. Python runs signal handlers in the main thread
# alone, and the system may give a signal to any thread: a main thread that waits without a bound
# is not woken then, and the process runs on until it is killed.
POLL_SECONDS = 0.5


def catch_stop_signals(stopping: threading.Event) -> None:
    """Have SIGTERM and SIGINT set an event; call this in the main thread."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())


def wait_until_stopped(stopping: threading.Event) -> None:
    """Wait for the event; call this in the main thread."""
    while not stopping.wait(POLL_SECONDS):
        pass
