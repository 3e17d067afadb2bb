"""Controllers that stop themselves at one exact step, for scenarios that need that step.

The product has no switch for this: the sender is replaced here, in the test's own program.
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


def stop_here(number):
    """Stop the process before this thread runs another line.

    The signal goes to this very thread. One sent to the process may be taken by another
    thread, and this one then runs on for a moment: long enough for a send under load.
    """
    signal.pthread_kill(threading.get_ident(), number)


class StoppingEngine(HttpEngine):
    """Stops its process right before or right after the first order of version v2."""

    stops_left = 1
    number = signal.SIGSTOP
    before = True

    def send_order(self, order_id, fence, wanted):
        if wanted is None or wanted.version != VERSION or not StoppingEngine.stops_left:
            super().send_order(order_id, fence, wanted)
            return
        StoppingEngine.stops_left = 0
        if self.before:
            # The lease was checked, and nothing has been sent.
            sys.stderr.write("stopped before the send\n")
            stop_here(self.number)
            super().send_order(order_id, fence, wanted)
        else:
            super().send_order(order_id, fence, wanted)
            sys.stderr.write("stopped after the send\n")
            stop_here(self.number)


def _run(number, before):
    StoppingEngine.number = number
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
