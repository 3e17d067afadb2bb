"""Planned stops of processes that work in threads."""

import subprocess
import sys

import pytest

WAIT_SECONDS = 20
PROGRAM = """
import signal, threading
from swifttrestle.internal.stopping import catch_stop_signals, wait_until_stopped

stopping = threading.Event()
catch_stop_signals(stopping)

def be_given_the_signal():
    signal.pthread_kill(threading.get_ident(), signal.{number})
    threading.Event().wait()

timer = threading.Timer(0.5, be_given_the_signal)
timer.daemon = True
timer.start()
wait_until_stopped(stopping)
"""


@pytest.mark.parametrize("number", ["SIGTERM", "SIGINT"])
def test_a_signal_that_any_thread_is_given_stops_the_process(number):
    # A controller that was told to stop under load logged no "stopping" and was killed after 30 s
    # (its last line 22:32:53.291, its end 22:33:23.3). Its main thread waited without a bound; a
    # signal that the system gives to another thread does not wake it.
    program = PROGRAM.format(number=number)
    done = subprocess.run([sys.executable, "-c", program], timeout=WAIT_SECONDS, check=False)
    assert done.returncode == 0
