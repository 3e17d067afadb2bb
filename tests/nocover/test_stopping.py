"""Stop signals of multi-threaded processes."""

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

TIMEOUT_SECONDS = 20
EXIT_BAD_SETTING = 2
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


def ignores_reload(pid):
    """Return whether a process ignores SIGHUP; raise OSError if it has ended."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    mask = next(line.split()[1] for line in lines if line.startswith("SigIgn"))
    return int(mask, 16) >> (signal.SIGHUP - 1) & 1


def test_a_reload_that_comes_while_a_gateway_starts_does_not_end_it():
    # Guards against SIGHUP before its handler is set.
    start = str(Path(__file__).parent.parent.parent / "deploy" / "gateway.py")
    # Without settings it exits by itself, after all modules are loaded.
    with subprocess.Popen([sys.executable, start], stderr=subprocess.PIPE) as gateway:
        while not ignores_reload(gateway.pid):
            assert gateway.poll() is None
            time.sleep(0.001)
        gateway.send_signal(signal.SIGHUP)
        gateway.communicate(timeout=TIMEOUT_SECONDS)
        assert gateway.returncode == EXIT_BAD_SETTING
