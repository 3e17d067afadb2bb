"""The store is restored from an older copy: writes that it acknowledged since then are lost."""

import asyncio

import pytest

from swifttrestle.internal.coordination.membership.registration import PEER_KIND
from swifttrestle.internal.coordination.sharing.quarantine_store import (
    QUARANTINE_KIND,
    QUARANTINE_NAME,
)
from swifttrestle.internal.policy import scheduling
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.fingerprints import Fingerprint
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.hosted.upstreams import StandInUpstream
from tests.hosted.sites import build_site, on_built, on_site, restore_store, wait_in_force

# Kind of objects that hosts do not read; writing them raises the store's revision.
OTHER_KIND = "others"
OUTAGE_SECONDS = 0.4


def write_others(site, count):
    for number in range(count):
        site.store.put(OTHER_KIND, "counter", {"number": f"{site.store.revision} {number}"})


async def wait_for_revision(site):
    """Wait until all hosts have the store's newest revision of the list."""
    site.list_upstream(site.upstreams["s1"], "ready")
    target = site.store.revision
    for item in site.gateways.values():
        discovery = item.gateway._discovery
        await wait_until(lambda d=discovery: d._revision.number >= target, "the newest revision")


async def restore_without_writes(site, lost, cut=True, outage_seconds=OUTAGE_SECONDS):
    """Restore the store without its last writes, after hosts have read all of them."""
    copy = site.store.copy_contents()
    write_others(site, lost)
    site.store.put("servers", "s1", {**site.store.objects["servers", "s1"]["spec"], "seq": lost})
    await wait_for_revision(site)
    await restore_store(site, copy, outage_seconds, cut)


def hosts_using(site, instance):
    """Return the hosts that give an instance new work."""
    return {
        name
        for name, item in site.gateways.items()
        for known in item.gateway.list_instances().values()
        if known.record.instance == instance and not known.record.leaving
    }


RESTORES = [
    pytest.param({"lost": 20}, id="20 writes lost"),
    pytest.param({"lost": 400}, id="400 writes lost"),
    pytest.param({"lost": 400, "cut": False}, id="connections kept"),
    pytest.param({"lost": 400, "outage_seconds": 0.0}, id="no outage"),
    pytest.param(
        {"lost": 400, "cut": False, "outage_seconds": 0.0}, id="no outage, connections kept"
    ),
]


@pytest.mark.parametrize("restore_options", RESTORES)
@on_site(gateways=3)
async def test_an_upstream_that_drains_after_a_restore_gets_no_new_work(site, restore_options):
    await restore_without_writes(site, **restore_options)
    site.list_upstream(site.upstreams["s0"], "draining")
    await wait_until(lambda: not hosts_using(site, "s0"), "withdrawn at all hosts")


@pytest.mark.parametrize("restore_options", RESTORES)
@on_site(gateways=3)
async def test_an_upstream_that_is_listed_after_a_restore_is_used(site, restore_options):
    await restore_without_writes(site, **restore_options)
    await site.add_upstream(StandInUpstream("s9", "alerts", "hall-a"))
    await wait_until(lambda: hosts_using(site, "s9") == set(site.gateways), "used by all hosts")


@on_site(gateways=3)
async def test_changes_under_reused_revisions_are_not_missed(site):
    # The store passes the hosts' revision before any of them calls, so that no watch gets 410.
    copy = site.store.copy_contents()
    write_others(site, 5)
    await wait_for_revision(site)
    site.store.restore(copy)
    site.list_upstream(site.upstreams["s0"], "draining")
    write_others(site, 20)
    await wait_until(lambda: not hosts_using(site, "s0"), "withdrawn at all hosts")


@pytest.mark.parametrize("restore_options", RESTORES[1:3])
@on_site(gateways=5)
async def test_a_large_fleet_learns_of_an_upstream_that_drains_after_a_restore(
    site, restore_options, monkeypatch
):
    monkeypatch.setattr(scheduling, "SMALL_FLEET_HOSTS", 2)
    await restore_without_writes(site, **restore_options)
    site.list_upstream(site.upstreams["s0"], "draining")
    await wait_until(lambda: not hosts_using(site, "s0"), "withdrawn at all hosts")


@pytest.mark.parametrize("epoch_text", [b"", b"-3", b"banana", b"0", b"99999999999999999999", b"7"])
@on_site(gateways=2)
async def test_an_invalid_epoch_loses_no_change(site, epoch_text):
    await wait_for_revision(site)
    site.store.faults.epoch_text = epoch_text
    site.list_upstream(site.upstreams["s0"], "draining")
    version = site.declare()
    await wait_until(lambda: not hosts_using(site, "s0"), "withdrawn at all hosts")
    await wait_in_force(site, version)
    assert not any(item.task.done() for item in site.gateways.values())


@on_site(gateways=2)
async def test_a_host_that_starts_after_a_restore_is_ready_with_the_version_of_its_peers(site):
    copy = site.store.copy_contents()
    version = site.declare()
    others = [item.gateway for item in site.gateways.values()]
    await wait_in_force(site, version)
    site.store.restore(copy)
    started = (await site.add_gateway("g7", 7)).gateway
    await wait_until(started.is_ready, "ready")
    assert started.config_version == version
    assert all(g.config_version == version for g in others)


@on_site(gateways=1)
async def test_a_version_is_in_force_although_a_pending_watch_misses_it(site):
    gateway = site.gateways["g0"].gateway
    gateway._configuration._choose_watch_seconds = lambda: 3600.0
    copy = site.store.copy_contents()
    write_others(site, 5)
    first = site.declare()
    watch = f"GET /v1/objects/config?watch={site.store.revision}&waitMs=3600000"
    await wait_until(lambda: gateway.config_version == first, "in force")
    await wait_until(lambda: watch in site.store.calls, "the long watch")
    site.store.restore(copy)
    second = site.declare()
    await wait_until(lambda: gateway.config_version == second, "in force again")


@on_site(gateways=2)
async def test_a_version_under_a_reused_revision_is_in_force(site):
    copy = site.store.copy_contents()
    first = site.declare()
    await wait_in_force(site, first)
    number = site.store.objects["config", "main"]["metadata"]["revision"]
    site.store.restore(copy)
    second = site.declare()
    assert site.store.objects["config", "main"]["metadata"]["revision"] == number
    await wait_in_force(site, second)


@on_site(gateways=2)
async def test_a_key_that_a_version_under_a_reused_revision_removes_is_refused(site):
    # No watch reports the version: only reads of the entry can confirm it.
    site.workspaces = [{"name": "club", "apiKeys": ["key-1", "key-2"]}]
    copy = site.store.copy_contents()
    site.declare()
    gateways = [item.gateway for item in site.gateways.values()]
    await wait_in_force(site, site._version)
    for gateway in gateways:
        await gateway._configuration.confirm()
    site.store.restore(copy)
    site.workspaces = [{"name": "club", "apiKeys": ["key-2"]}]
    version = site.declare()
    for gateway in gateways:
        await gateway._configuration.confirm()
        assert gateway.config_version == version


async def build_site_with_early_copy():
    """Start a site and keep a copy of its store from before any host registered."""
    site = await build_site(gateways=0)
    site.early = site.store.copy_contents()
    for number in range(3):
        await site.add_gateway(f"g{number}", number)
    await site.wait_ready()
    return site


def list_registered(site):
    return {name for kind, name in site.store.objects if kind == PEER_KIND}


@on_built(build_site_with_early_copy)
async def test_hosts_register_their_addresses_again_after_a_restore(site):
    await wait_until(lambda: list_registered(site) == set(site.gateways), "registered")
    site.store.restore(site.early)
    await wait_until(lambda: list_registered(site) == set(site.gateways), "registered again")


@on_built(build_site_with_early_copy)
async def test_a_host_that_starts_after_a_restore_knows_the_quarantined_requests(site):
    now = asyncio.get_running_loop().time()
    record = CrashRecord(Fingerprint(bytes(8), b"deadly66"), (Crash("i-1", now), Crash("i-2", now)))
    for item in site.gateways.values():
        item.gateway._state.guard.merge_crash_records([record], "a test")
        item.gateway._quarantine_store.note_change()
    await wait_until(lambda: (QUARANTINE_KIND, QUARANTINE_NAME) in site.store.objects, "stored")
    site.store.restore(site.early)
    await wait_until(
        lambda: (QUARANTINE_KIND, QUARANTINE_NAME) in site.store.objects, "stored again"
    )
    await wait_until(lambda: list_registered(site) == set(site.gateways), "registered again")
    for item in site.gateways.values():
        item.task.cancel()
    started = (await site.add_gateway("g7", 7)).gateway
    guard = started._state.guard
    await wait_until(guard.quarantine.list_quarantined, "known")
    assert guard.quarantine.list_quarantined()[0].name == record.name
