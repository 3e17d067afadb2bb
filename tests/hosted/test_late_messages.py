"""Crash messages that a host reads late, since it was suspended when they arrived.

Guards against counting the same crashes twice, which would multiply the time of the quarantine.
"""

import asyncio

from swifttrestle.internal.policy.quarantine import RELEASE_JITTER_SHARE
from swifttrestle.internal.policy.quarantine_periods import FIRST_QUARANTINE_SECONDS
from swifttrestle.internal.state.crash_records import Crash
from swifttrestle.internal.state.fingerprints import Fingerprint
from swifttrestle_standins.hosted.site import wait_until
from tests.hosted.sites import on_site
from tests.hosted.test_unaffected_requests import count_quarantined, find_guard

FINGERPRINT = Fingerprint(bytes(8), bytes(range(8)))
LATE_SECONDS = 2.5


@on_site(gateways=3)
async def test_a_crash_that_is_received_late_is_not_counted_twice(site):
    gateways = [item.gateway for item in site.gateways.values()]
    await wait_until(lambda: all(len(item.live_hosts()) == 3 for item in gateways), "all hosts")
    relay = site.gateways["g2"].gateway._quarantine_relay
    receive, held = relay._receive, []
    socket = site.gateways["g2"].gateway._quarantine_relay._socket
    socket._receivers[5] = lambda data, ip: held.append((data, ip))
    now = asyncio.get_running_loop().time()
    for number in range(2):
        find_guard(site, "g0").report_crash([FINGERPRINT], Crash(f"e{number}", now))
    await wait_until(lambda: len(held) >= 2, "messages in transit")
    await asyncio.sleep(LATE_SECONDS)
    socket._receivers[5] = receive
    for data, ip in held:
        receive(data, ip)
    await wait_until(lambda: all(count_quarantined(site)), "known")
    # By then every host has sent its records to every other one.
    await asyncio.sleep(3.0)
    for name in site.gateways:
        record = find_guard(site, name).quarantine.find(FINGERPRINT)
        assert sorted(crash.start for crash in record.crashes) == ["e0", "e1"]
        wait_seconds = find_guard(site, name).quarantine.find_wait(FINGERPRINT, now)
        assert (
            wait_seconds <= FIRST_QUARANTINE_SECONDS * (1 + RELEASE_JITTER_SHARE) + LATE_SECONDS + 1
        )
