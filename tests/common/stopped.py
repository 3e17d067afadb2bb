"""Controllers that freeze or kill themselves right before or after sending an order.

The engine client is replaced in these programs, so the system needs no switch for tests.
"""

import signal
import sys
import threading

import fire

from swifttrestle.controller import PROGRAM, Controller
from swifttrestle.internal.process import run_program
from swifttrestle.internal.protocol.engine import HttpEngine
from swifttrestle.internal.settings import ControllerSettings

VERSION = "v2"


def signal_current_thread(signal_number):
    """Send a signal to the current thread.

    The signal takes effect before the thread continues; a signal to the process may be handled by
    another thread, while this one goes on to send the order.
    """
    signal.pthread_kill(threading.get_ident(), signal_number)


class StoppingEngine(HttpEngine):
    """Signals its own process right before or right after the first order of version v2."""

    stops_left = 1
    signal_number = signal.SIGSTOP
    before = True

    def send_order(self, order_id, fence, wanted):
        if wanted is None or wanted.version != VERSION or not StoppingEngine.stops_left:
            super().send_order(order_id, fence, wanted)
            return
        StoppingEngine.stops_left = 0
        if self.before:
            # The lease has been checked and nothing has been sent.
            sys.stderr.write("stopped before the send\n")
            signal_current_thread(self.signal_number)
            super().send_order(order_id, fence, wanted)
        else:
            super().send_order(order_id, fence, wanted)
            sys.stderr.write("stopped after the send\n")
            signal_current_thread(self.signal_number)


def _run(signal_number, before):
    StoppingEngine.signal_number = signal_number
    StoppingEngine.before = before

    def run(settings):
        Controller(settings, lambda upstream: StoppingEngine(upstream.address)).run()

    fire.Fire(lambda **flags: run_program(PROGRAM, ControllerSettings, flags, run))


def frozen_before_send():
    _run(signal.SIGSTOP, before=True)


def killed_before_send():
    _run(signal.SIGKILL, before=True)


def killed_after_send():
    _run(signal.SIGKILL, before=False)
