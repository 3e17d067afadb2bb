"""Programs with one safety mechanism disabled, to show that the scenarios detect it.

Each function replaces the entry or the controller; see tests/nocover/test_weakened.py.
"""

from swifttrestle import controller, entry
from swifttrestle.errors import UpstreamError
from swifttrestle.internal.coordination.pools.orders import Stage
from swifttrestle.internal.coordination.pools.pools import Pool
from swifttrestle.internal.entry.relay import Relay
from swifttrestle.internal.protocol.tokens import TokenChecker
from swifttrestle.internal.state.config import ConfigStore
from swifttrestle.internal.state.upstreams import UpstreamTable


def controller_that_waits_for_no_entry():
    """Sends orders without waiting for open requests of entries and of the engine."""

    def send_now(self, upstream, view, order):
        self._announce(order)
        fence = self._next_fence()
        view.order = self._log.move(order, Stage.SENT, fence, view.state.boot)
        self._send(view, order.order_id, order.wanted, fence)

    Pool._close_then_send = send_now
    controller.main()


def controller_that_trusts_time_alone():
    """Sends orders to engines that ignore tokens even while a former holder may be alive."""
    Pool._has_authority = lambda self, upstream, view: True
    controller.main()


def entry_that_checks_no_token():
    """Relays all events of an engine without checking them."""

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
    """Treats every failed call as not sent, so that all are retried."""
    original_init = UpstreamError.__init__

    def init_as_not_sent(self, message, sent=False, retry_after=0.0):
        original_init(self, message, False, retry_after)

    UpstreamError.__init__ = init_as_not_sent
    entry.main()


def entry_that_resumes_nothing():
    """Ends a broken stream with an error instead of resuming it."""
    Relay._resume = lambda self, error: self._fail(2001, error)
    entry.main()


def entry_that_stops_at_once():
    """Stops without waiting for open requests."""
    entry.Entry._stop = lambda self: self.server.stop()
    entry.main()


def entry_that_ignores_drains():
    """Sends requests to draining upstreams."""

    def usable(self, name, state, wanted, now):
        return wanted.service.type == "plain" or self._holds_model(state, wanted)

    UpstreamTable._is_usable = usable
    UpstreamTable.begin = _begin_always
    entry.main()


def _begin_always(self, name, uncached):
    self._states[name].open += 1
    return True


def entry_that_asks_no_peer():
    """Gets configuration only from the platform, not from peers."""
    ConfigStore.find_outdated = lambda self, epochs: ()
    entry.main()
