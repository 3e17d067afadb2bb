"""What lies in the store of quarantined requests, whoever wrote it."""

import asyncio
import time

import pytest

from swifttrestle.internal.coordination.quarantine_store import (
    MOST_STORED,
    QUARANTINE_KIND,
    QUARANTINE_NAME,
)
from swifttrestle.internal.protocol.quarantine import pack_fingerprint
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.request_fingerprints import RequestFingerprint
from swifttrestle_standins.hosted.site import wait_until
from tests.common.http import ask
from tests.hosted.sites import address_of, on_site
from tests.hosted.test_innocents import count_quarantined, find_guard

OBJECT = QUARANTINE_KIND, QUARANTINE_NAME
NAME = RequestFingerprint(bytes(8), bytes(range(8)))
GOOD = {
    "name": pack_fingerprint(NAME).hex(),
    "crashes": [{"start": "i-1", "at": 1}, {"start": "i-2", "at": 2}],
}
STRAY = [
    None, 7, "text", [], {}, {"name": 7, "crashes": []}, {**GOOD, "crashes": []},
    {**GOOD, "crashes": [7]}, {**GOOD, "crashes": [{"start": "i-1"}]},
    {**GOOD, "crashes": [{"start": "", "at": 1}]}, {**GOOD, "crashes": [{"start": "i", "at": -1}]},
    {**GOOD, "crashes": [{"start": "i", "at": 1.5}]},
    {**GOOD, "crashes": [{"start": "i", "at": True}]},
    {**GOOD, "name": "zz"}, {**GOOD, "name": "00"}, {**GOOD, "name": None},
]  # fmt: skip


def make_good():
    now = int(time.time() * 1000)
    return {**GOOD, "crashes": [{"start": f"i-{n}", "at": now - 1000 * n} for n in range(2)]}


async def start_again(site, number):
    """Start a host that knows nothing."""
    site.gateways["g0"].task.cancel()
    await asyncio.gather(site.gateways["g0"].task, return_exceptions=True)
    await site.add_gateway("g0", number)
    await site.wait_ready("g0")


@pytest.mark.parametrize("stray", STRAY, ids=lambda stray: str(stray)[:40])
@on_site()
async def test_a_stray_entry_hides_no_other(site, stray):
    site.store.put(*OBJECT, {"requests": [stray, make_good(), stray]})
    await start_again(site, 1)
    await wait_until(lambda: count_quarantined(site) == [1], "the good entry")
    assert find_guard(site).quarantine.list_quarantined()[0].name == NAME
    assert (await ask(address_of(site), "/card/a", "c1")).status == 200


@pytest.mark.parametrize("spec", [None, 7, "text", [], {}, {"requests": 7}, {"requests": {}}])
@on_site()
async def test_an_object_of_another_writer_neither_ends_a_host_nor_its_keeping(site, spec):
    site.store.put(*OBJECT, spec)
    await start_again(site, 1)
    assert (await ask(address_of(site), "/card/a", "c1")).status == 200
    now = asyncio.get_running_loop().time()
    crashes = (Crash("i-1", now), Crash("i-2", now))
    find_guard(site).report_crash([NAME], crashes[0])
    find_guard(site).report_crash([NAME], crashes[1])
    await wait_until(lambda: len(read_requests(site)) == 1, "kept in the store")
    assert read_requests(site)[0]["name"] == GOOD["name"]


def read_requests(site):
    spec = site.store.objects[OBJECT]["spec"] if OBJECT in site.store.objects else None
    requests = spec.get("requests") if isinstance(spec, dict) else None
    return requests if isinstance(requests, list) else []


def list_calls(site):
    return [call for call in site.store.calls if QUARANTINE_KIND in call]


@on_site(gateways=3)
async def test_one_host_writes_and_an_acquittal_is_written_as_well(site):
    await wait_until(lambda: len(list_calls(site)) == 3, "all hosts' reading at their start")
    gateways = [item.gateway for item in site.gateways.values()]
    await wait_until(lambda: all(len(item.live_hosts()) == 3 for item in gateways), "all hosts")
    now = asyncio.get_running_loop().time()
    for number in range(2):
        find_guard(site, f"g{number}").report_crash([NAME], Crash(f"i-{number}", now))
    await wait_until(lambda: len(read_requests(site)) == 1, "kept")
    await wait_until(lambda: all(count_quarantined(site)), "known")
    find_guard(site, "g2").clear_crashes(NAME)
    await wait_until(lambda: not read_requests(site), "acquittal kept")
    # A look and a write for each of the two changes.
    assert len(list_calls(site)) <= 3 + 4


@on_site(gateways=1)
async def test_the_object_stays_small_whatever_callers_send(site):
    now = asyncio.get_running_loop().time()
    names = [
        RequestFingerprint(bytes(8), number.to_bytes(8, "big"))
        for number in range(MOST_STORED + 50)
    ]
    for number in range(2):
        find_guard(site).report_crash(names, Crash(f"i-{number}", now))
    await wait_until(lambda: read_requests(site), "kept")
    assert len(read_requests(site)) == MOST_STORED


@on_site(gateways=2)
async def test_what_was_quarantined_while_the_store_was_away_is_kept_on_its_return(site):
    site.store.faults.down = True
    now = asyncio.get_running_loop().time()
    case = CrashRecord(NAME, (Crash("i-1", now), Crash("i-2", now)))
    for crash in case.crashes:
        find_guard(site).report_crash([NAME], crash)
    await wait_until(lambda: all(count_quarantined(site)), "known")
    await asyncio.sleep(0.2)
    site.store.faults.down = False
    await wait_until(lambda: len(read_requests(site)) == 1, "kept")
