"""Programs with one mechanism taken out, to show that the scenarios would notice.

Each function stands in for an entry or a controller; see tests/nocover/test_weakened.py.
"""

from swifttrestle import controller, entry
from swifttrestle.errors import UpstreamError
from swifttrestle.internal.coordination.orders import Stage
from swifttrestle.internal.coordination.pools import Pool
from swifttrestle.internal.entry.relay import Relay
from swifttrestle.internal.protocol.tokens import TokenChecker
from swifttrestle.internal.state.config import ConfigStore
from swifttrestle.internal.state.upstreams import UpstreamTable


def controller_that_waits_for_no_entry():
    """Sends orders without asking entries or the engine for open requests."""

    def send_now(self, upstream, view, order):
        self._announce(order)
        fence = self._next_fence()
        view.order = self._log.move(order, Stage.SENT, fence, view.state.boot)
        self._send(view, order.order_id, order.wanted, fence)

    Pool._close_then_send = send_now
    controller.main()


def controller_that_trusts_time_alone():
    """Orders engines that ignore numbers although a former holder may be alive."""
    Pool._has_authority = lambda self, upstream, view: True
    controller.main()


def entry_that_checks_no_token():
    """Delivers whatever an engine streams."""

    def check(self, event):
        if b'"finish_reason"' in event:
            self.finished = True
        elif event == b"data: [DONE]":
            self.whole = True
        else:
            self.offset += 1

    TokenChecker._check = check
    entry.main()


def entry_that_repeats_anything():
    """Forgets that a byte of a call may have been sent."""
    begin = UpstreamError.__init__

    def forget(self, message, sent=False, retry_after=0.0):
        begin(self, message, False, retry_after)

    UpstreamError.__init__ = forget
    entry.main()


def entry_that_resumes_nothing():
    """Gives a broken stream up."""
    Relay._resume = lambda self, error: self._fail(2001, error)
    entry.main()


def entry_that_stops_at_once():
    """Waits for no open request at a planned stop."""
    entry.Entry._stop = lambda self: self.server.stop()
    entry.main()


def entry_that_ignores_drains():
    """Gives work to upstreams that are leaving."""

    def usable(self, name, state, wanted, now):
        return wanted.service.type == "plain" or self._holds_what_is_wanted(state, wanted)

    UpstreamTable._is_usable = usable
    UpstreamTable.begin = _begin_always
    entry.main()


def _begin_always(self, name, uncached):
    self._states[name].open += 1
    return True


def entry_that_asks_no_peer():
    """Learns configuration from the platform alone."""
    ConfigStore.find_outdated = lambda self, epochs: ()
    entry.main()
