"""Processes follow the list while it has odd entries, one at a time and hundreds at once."""

import asyncio
import contextlib
import json
import re

import pytest

from swifttrestle_standins.hosted.upstreams import StandInUpstream
from tests.common.http import RawCaller, ask, write_request
from tests.common.odd_entries import list_odd_entries
from tests.soak.processes import KEY, ProcessSite
from tests.soak.rounds import wait_for_hosts

# Longest time in which a host must apply a change, and within which small requests are answered.
FOLLOW_SECONDS, ANSWER_SECONDS = 2.0, 5.0
POLL_SECONDS = 0.05
# A process of this size keeps the entries that it has read; a fresh one has some 30 MB.
MAX_RESIDENT_KB = 150_000
# Ten pages of the store.
MANY = 500
# Bytes of all entries at once.
MAX_TOGETHER_BYTES = 8_000_000
# Values that the interpreter can't print, or that only one of the decoders takes.
ONE_AT_A_TIME = (
    "990 lists in models",
    "1018 lists in place of the entry",
    "5000 digits in slots",
    "name with no UTF-8",
)


def list_small_entries():
    """Return the odd entries that are small enough to be stored hundreds at a time."""
    entries = list_odd_entries().values()
    return [entry for entry in entries if len(entry) < MAX_TOGETHER_BYTES // MANY]


async def read_listed(host):
    """Return the upstreams that a host lists, or None if it does not answer."""
    with contextlib.suppress(OSError, ValueError, TimeoutError):
        caller = await RawCaller.connect(host.ops_address)
        caller.send(write_request("/debug/state", "state", method="GET"))
        try:
            async with asyncio.timeout(FOLLOW_SECONDS):
                answer = await caller.read_answer()
        finally:
            caller.close()
        return {item["instance"] for item in json.loads(answer.body)["instances"].values()}
    return None


class OddList:
    """Two hosts, and an upstream whose entry comes and goes beside the odd ones."""

    def __init__(self, folder):
        self.site = ProcessSite(folder)
        self.late = []
        self.statuses = []

    async def start(self):
        await self.site.build(2)
        await wait_for_hosts(self.site)
        self.pids = {name: host.process.pid for name, host in self.site.hosts.items()}
        self.upstream = StandInUpstream("s8", "alerts", "hall-a")
        await self.site.add_upstream(self.upstream)
        await self.wait_listed(True)

    async def change(self, what):
        """Remove an entry and write it again; note the hosts that don't follow in time."""
        self.site.unlist_upstream(self.upstream)
        await self.wait_listed(False, what)
        self.site.list_upstream(self.upstream)
        await self.wait_listed(True, what)

    async def wait_listed(self, listed, what="at first"):
        waits = [self._follow(name, listed, what) for name in self.site.hosts]
        await asyncio.gather(*waits)

    async def _follow(self, name, listed, what):
        try:
            async with asyncio.timeout(FOLLOW_SECONDS):
                while True:
                    known = await read_listed(self.site.hosts[name])
                    if known is not None and ("s8" in known) is listed:
                        return
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            self.late.append((name, "listed" if listed else "removed", what))

    async def start_again(self, name):
        host = self.site.hosts[name]
        await host.kill()
        await host.start()
        self.pids[name] = host.process.pid
        await wait_for_hosts(self.site)

    async def send_requests(self):
        """Send small requests to the host that runs throughout, until cancelled."""
        for number in range(10**9):
            async with asyncio.timeout(ANSWER_SECONDS):
                callers = self.site.hosts["g0"].callers
                answer = await ask(callers, "/card/x", f"card-{number}", X_Key=KEY)
            self.statuses.append(answer.status)
            await asyncio.sleep(POLL_SECONDS)

    def list_running(self):
        """Return the processes that run on from their start."""
        hosts = self.site.hosts.items()
        return {name: host.process.pid for name, host in hosts if host.is_running}

    def read_resident_kb(self):
        sizes = []
        for pid in self.list_running().values():
            with open(f"/proc/{pid}/status") as status:
                sizes.append(int(re.search(r"VmRSS:\s+(\d+)", status.read())[1]))
        return sizes


def run_on_odd_list(folder, play):
    async def run():
        odd = OddList(folder)
        requests = None
        try:
            await odd.start()
            requests = asyncio.ensure_future(odd.send_requests())
            await play(odd)
            assert not requests.done()
        finally:
            if requests is not None:
                requests.cancel()
            await odd.site.close()
        return odd

    return asyncio.run(run())


def check(odd):
    assert odd.late == []
    assert set(odd.statuses) == {200}
    assert max(odd.sizes) < MAX_RESIDENT_KB


def test_processes_follow_the_list_beside_each_odd_entry(tmp_path):
    entries = list_odd_entries()

    async def play(odd):
        for label in ONE_AT_A_TIME:
            odd.site.store.put_raw("servers", "odd", entries[label])
            await odd.change(label)
        assert odd.list_running() == odd.pids
        odd.sizes = odd.read_resident_kb()

    check(run_on_odd_list(tmp_path, play))


@pytest.mark.parametrize("pieces", [1, 8])
def test_processes_start_and_follow_a_list_of_many_odd_entries(tmp_path, pieces):
    entries = list_small_entries()

    async def play(odd):
        faults = odd.site.store.faults
        faults.pieces, faults.late_seconds, faults.pause_seconds = pieces, 0.05, 0.005
        for number in range(MANY):
            # Before and behind the sound ones.
            name = f"{'az'[number % 2]}{number:03d}"
            odd.site.store.put_raw("servers", name, entries[number % len(entries)])
        await odd.change("many entries")
        await odd.start_again("g1")
        await odd.change("after a start")
        assert odd.list_running() == odd.pids
        odd.sizes = odd.read_resident_kb()

    check(run_on_odd_list(tmp_path, play))
