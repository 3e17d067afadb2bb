"""Words of crashes that reach a host late, since it was stopped while they were on their way.

Two crashes within 30 ms quarantined a popular call for some seconds, as they should. A host that
was stopped just then took the words up 2.5 s later, with the ages that they had when they were
sent, and counted the same two crashes of the same two starts a second time. It told all others,
so that the call was refused everywhere for more than ten minutes:

    0.033 "request quarantined" "crashes":["e2","e3"],"seconds":12.0
    7.781 "request quarantined" "crashes":["e2","e3","e2","e3"],"seconds":713.5
"""

import asyncio

from swifttrestle.internal.policy.quarantine import FIRST_QUARANTINE_SECONDS, RELEASE_JITTER_SHARE
from swifttrestle.internal.state.crash_records import Crash
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint
from swifttrestle_standins.hosted.site import wait_until
from tests.hosted.sites import on_site
from tests.hosted.test_innocents import count_quarantined, find_guard

NAME = RequestFingerprint(bytes(8), bytes(range(8)))
LATE_SECONDS = 2.5


@on_site(gateways=3)
async def test_a_crash_that_is_told_late_is_the_same_crash(site):
    gateways = [item.gateway for item in site.gateways.values()]
    await wait_until(lambda: all(len(item.live_hosts()) == 3 for item in gateways), "all hosts")
    relay = site.gateways["g2"].gateway._crashes
    receive, held = relay._receive, []
    socket = site.gateways["g2"].gateway._crashes._socket
    socket._receivers[5] = lambda data, ip: held.append((data, ip))
    now = asyncio.get_running_loop().time()
    for number in range(2):
        find_guard(site, "g0").report_crash([NAME], Crash(f"e{number}", now))
    await wait_until(lambda: len(held) >= 2, "words on their way")
    await asyncio.sleep(LATE_SECONDS)
    socket._receivers[5] = receive
    for data, ip in held:
        receive(data, ip)
    await wait_until(lambda: all(count_quarantined(site)), "known")
    # Every host has told every other one by then.
    await asyncio.sleep(3.0)
    for name in site.gateways:
        case = find_guard(site, name).quarantine.find(NAME)
        assert sorted(crash.start for crash in case.crashes) == ["e0", "e1"]
        wait = find_guard(site, name).quarantine.find_wait(NAME, now)
        assert wait <= FIRST_QUARANTINE_SECONDS * (1 + RELEASE_JITTER_SHARE) + LATE_SECONDS + 1
