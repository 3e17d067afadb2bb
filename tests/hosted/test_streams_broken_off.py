"""Streams that their engine breaks off while the connection ends in order."""

import pytest

from swifttrestle.internal.transport.messages import Framing
from tests.common.http import ask
from tests.hosted.sites import SHORT, address_of, make_stream, on_site, script

FRAMINGS = pytest.mark.parametrize("framing", [Framing.CHUNKED, Framing.CLOSE])


def set_framing(site, framing):
    for name, upstream in site.upstreams.items():
        if name.startswith("e"):
            upstream.framing = framing


@FRAMINGS
@on_site()
async def test_a_whole_stream_is_complete_in_each_framing(site, framing):
    set_framing(site, framing)
    for path, name in (("/chat/a", "c1"), ("/verdict/a", "v1")):
        answer = await ask(address_of(site), path, name, X_Token_Usage=SHORT)
        assert (answer.status, answer.whole, answer.body) == (200, True, make_stream(name))


@FRAMINGS
@on_site()
async def test_a_stream_that_ends_inside_an_event_reaches_its_caller_as_cut(site, framing):
    set_framing(site, framing)
    script(site, "e", "end-inside")
    answer = await ask(address_of(site), "/chat/a", "c1", X_Token_Usage=SHORT)
    assert (answer.status, answer.whole) == (200, False)


@on_site()
async def test_an_unframed_stream_without_any_event_reaches_its_caller_as_cut(site):
    set_framing(site, Framing.CLOSE)
    script(site, "e", "end-empty")
    answer = await ask(address_of(site), "/chat/a", "c1", X_Token_Usage=SHORT)
    assert (answer.status, answer.whole) == (200, False)


@pytest.mark.parametrize("step", ["end-inside", "end-empty"])
@on_site()
async def test_a_resumable_stream_that_was_broken_off_is_continued(site, step):
    set_framing(site, Framing.CLOSE)
    script(site, "e", step)
    answer = await ask(address_of(site), "/verdict/a", "v1", X_Token_Usage=SHORT)
    assert (answer.status, answer.whole, answer.body) == (200, True, make_stream("v1"))
