"""Stop signals of multi-threaded processes."""

import subprocess
import sys

import pytest

TIMEOUT_SECONDS = 20
PROGRAM = """
import signal, threading
from swifttrestle.internal.stopping import catch_stop_signals, wait_until_stopped

stopping = threading.Event()
catch_stop_signals(stopping)

def receive_signal():
    signal.pthread_kill(threading.get_ident(), signal.{signal_name})
    threading.Event().wait()

timer = threading.Timer(0.5, receive_signal)
timer.daemon = True
timer.start()
wait_until_stopped(stopping)
"""


@pytest.mark.parametrize("signal_name", ["SIGTERM", "SIGINT"])
def test_a_signal_that_is_delivered_to_any_thread_stops_the_process(signal_name):
    # A main thread that waits without a timeout is not woken by a signal to another thread.
    program = PROGRAM.format(signal_name=signal_name)
    done = subprocess.run([sys.executable, "-c", program], timeout=TIMEOUT_SECONDS, check=False)
    assert done.returncode == 0
