"""The persisted quarantine, also with entries of other writers."""

import asyncio
import time

import pytest

from swifttrestle.internal.coordination.sharing.quarantine_store import (
    MAX_STORED_REQUESTS,
    QUARANTINE_KIND,
    QUARANTINE_NAME,
)
from swifttrestle.internal.protocol.quarantine import pack_fingerprint
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.fingerprints import Fingerprint
from swifttrestle_standins.hosted.site import wait_until
from tests.common.http import ask
from tests.hosted.sites import address_of, on_site
from tests.hosted.test_unaffected_requests import count_quarantined, find_guard

OBJECT = QUARANTINE_KIND, QUARANTINE_NAME
FINGERPRINT = Fingerprint(bytes(8), bytes(range(8)))
VALID = {
    "name": pack_fingerprint(FINGERPRINT).hex(),
    "crashes": [{"start": "i-1", "at": 1}, {"start": "i-2", "at": 2}],
}
INVALID = [
    None, 7, "text", [], {}, {"name": 7, "crashes": []}, {**VALID, "crashes": []},
    {**VALID, "crashes": [7]}, {**VALID, "crashes": [{"start": "i-1"}]},
    {**VALID, "crashes": [{"start": "", "at": 1}]},
    {**VALID, "crashes": [{"start": "i", "at": -1}]},
    {**VALID, "crashes": [{"start": "i", "at": 1.5}]},
    {**VALID, "crashes": [{"start": "i", "at": True}]},
    {**VALID, "name": "zz"}, {**VALID, "name": "00"}, {**VALID, "name": None},
]  # fmt: skip


def make_valid():
    now = int(time.time() * 1000)
    return {**VALID, "crashes": [{"start": f"i-{n}", "at": now - 1000 * n} for n in range(2)]}


async def replace_host(site, number):
    """Replace the host by a new one without any state."""
    site.gateways["g0"].task.cancel()
    await asyncio.gather(site.gateways["g0"].task, return_exceptions=True)
    await site.add_gateway("g0", number)
    await site.wait_ready("g0")


@pytest.mark.parametrize("invalid", INVALID, ids=lambda invalid: str(invalid)[:40])
@on_site()
async def test_an_invalid_entry_does_not_hide_others(site, invalid):
    site.store.put(*OBJECT, {"requests": [invalid, make_valid(), invalid]})
    await replace_host(site, 1)
    await wait_until(lambda: count_quarantined(site) == [1], "the valid entry")
    assert find_guard(site).quarantine.list_quarantined()[0].name == FINGERPRINT
    assert (await ask(address_of(site), "/card/a", "c1")).status == 200


@pytest.mark.parametrize("spec", [None, 7, "text", [], {}, {"requests": 7}, {"requests": {}}])
@on_site()
async def test_an_invalid_object_neither_stops_a_host_nor_its_writes(site, spec):
    site.store.put(*OBJECT, spec)
    await replace_host(site, 1)
    assert (await ask(address_of(site), "/card/a", "c1")).status == 200
    now = asyncio.get_running_loop().time()
    crashes = (Crash("i-1", now), Crash("i-2", now))
    find_guard(site).report_crash([FINGERPRINT], crashes[0])
    find_guard(site).report_crash([FINGERPRINT], crashes[1])
    await wait_until(lambda: len(read_requests(site)) == 1, "stored")
    assert read_requests(site)[0]["name"] == VALID["name"]


def read_requests(site):
    spec = site.store.objects[OBJECT]["spec"] if OBJECT in site.store.objects else None
    requests = spec.get("requests") if isinstance(spec, dict) else None
    return requests if isinstance(requests, list) else []


def list_calls(site):
    return [call for call in site.store.calls if QUARANTINE_KIND in call]


@on_site(gateways=3)
async def test_one_host_writes_quarantined_and_cleared_requests(site):
    await wait_until(lambda: len(list_calls(site)) == 3, "initial reads of all hosts")
    gateways = [item.gateway for item in site.gateways.values()]
    await wait_until(lambda: all(len(item.live_hosts()) == 3 for item in gateways), "all hosts")
    now = asyncio.get_running_loop().time()
    for number in range(2):
        find_guard(site, f"g{number}").report_crash([FINGERPRINT], Crash(f"i-{number}", now))
    await wait_until(lambda: len(read_requests(site)) == 1, "stored")
    await wait_until(lambda: all(count_quarantined(site)), "known")
    find_guard(site, "g2").clear_crashes(FINGERPRINT)
    await wait_until(lambda: not read_requests(site), "clearance stored")
    # A read and a write for each of the two changes.
    assert len(list_calls(site)) <= 3 + 4


@on_site(gateways=1)
async def test_the_object_holds_a_limited_number_of_requests(site):
    now = asyncio.get_running_loop().time()
    fingerprints = [
        Fingerprint(bytes(8), number.to_bytes(8, "big"))
        for number in range(MAX_STORED_REQUESTS + 50)
    ]
    for number in range(2):
        find_guard(site).report_crash(fingerprints, Crash(f"i-{number}", now))
    await wait_until(lambda: read_requests(site), "stored")
    assert len(read_requests(site)) == MAX_STORED_REQUESTS


@on_site(gateways=2)
async def test_a_request_quarantined_during_an_outage_of_the_store_is_written_after_it(site):
    site.store.faults.down = True
    now = asyncio.get_running_loop().time()
    record = CrashRecord(FINGERPRINT, (Crash("i-1", now), Crash("i-2", now)))
    for crash in record.crashes:
        find_guard(site).report_crash([FINGERPRINT], crash)
    await wait_until(lambda: all(count_quarantined(site)), "known")
    await asyncio.sleep(0.2)
    site.store.faults.down = False
    await wait_until(lambda: len(read_requests(site)) == 1, "stored")
