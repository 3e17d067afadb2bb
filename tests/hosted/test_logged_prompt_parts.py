"""The log lines of requests and crashes name the prompt parts, so that a common one is seen."""

import pytest

from swifttrestle.internal.event_log import WRITER
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import DEADLY
from tests.common.http import ask
from tests.hosted.sites import SHORT, address_of, on_site
from tests.hosted.test_starts import report_starts

HEADERS = {"X_Token_Usage": SHORT, "X_Model": "m"}


def find_fields(lines, event):
    return next((fields for name, fields in lines if name == event), None)


@pytest.mark.parametrize(
    ("parts", "shared"),
    [("aa:20,bb:10,cc:20", ("aa", "bb")), ("cc:50", ())],
    ids=["three parts", "its own part alone"],
)
@on_site(engines=("prefill", "decode", "decode", "decode", "decode"))
async def test_a_crash_is_logged_with_the_parts_that_were_open(site, parts, shared, monkeypatch):
    lines = []
    monkeypatch.setattr(WRITER, "put", lambda event, fields: lines.append((event, fields)))
    await report_starts(site)
    site.allow_crashes(0.2, 60_000)
    await ask(address_of(site), "/chat/a", "c1", body=DEADLY, X_Prompt_Prefix=parts, **HEADERS)
    crash = await wait_until(lambda: find_fields(lines, "upstream crashed"), "the crash")
    request = await wait_until(lambda: find_fields(lines, "request"), "the request")
    assert crash["parts"] == dict.fromkeys(shared, 1)
    assert request.get("parts", ()) == shared
