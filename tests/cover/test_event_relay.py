"""A resumed stream continues after the last event that its caller has got as a whole.

Guards against a byte more that makes two events of one, or one of two.
"""

import asyncio

import pytest

from swifttrestle.errors import UpstreamBrokenError
from swifttrestle.internal.forward.events import EventRelay
from swifttrestle.internal.metrics import Metrics
from swifttrestle.internal.transport.messages import Body, Framing, ResponseHead
from swifttrestle_standins.hosted.upstreams import make_event

STREAM = b"".join(make_event("x", number) for number in range(1, 4))
HEAD = ResponseHead(200, (), Framing.CHUNKED, 0, False, None)


class FakeContext:
    """Collects what goes to the caller, as the request's context and as its reply."""

    def __init__(self):
        self.reply = self
        self.sent = b""

    def note_first_byte(self):
        pass

    async def start(self, *_):
        pass

    async def send(self, data):
        self.sent += data

    async def end(self):
        pass


async def relay_cut_stream(data):
    """Relay a stream that is cut after `data`; return what the caller got, and the last event."""
    ctx, relay, body = FakeContext(), EventRelay(True, Metrics()), Body(keep=False)
    body.feed(data)
    body.fail(UpstreamBrokenError("cut", sent=True))
    with pytest.raises(UpstreamBrokenError):
        await relay.relay(ctx, HEAD, body)
    last = relay.last_event or b"0"
    # An id with another byte in it names no event of this stream.
    return ctx.sent, int(last) if last.isdigit() else 0


@pytest.mark.parametrize("noise", [b"\n", b"\r", b"\x00", b":", b"d"])
def test_no_event_is_skipped_after_a_byte_more_and_a_cut(noise):
    async def run():
        for at in range(len(STREAM) + 1):
            noisy = STREAM[:at] + noise + STREAM[at:]
            for cut in range(at + 1, len(noisy) + 1):
                sent, last = await relay_cut_stream(noisy[:cut])
                clean = sent[:at] + sent[at + 1 :]
                for number in range(1, min(last, 3) + 1):
                    assert b"data: x %d\n" % number in clean, (at, cut, sent, last)

    asyncio.run(run())
