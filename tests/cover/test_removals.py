"""When an instance that the discovery list lacks gets no more work, around outages of the store."""

import asyncio

import pytest

from swifttrestle.internal.protocol.listings import ListingChanges, join_changes
from swifttrestle.internal.state.declared import Role, UpstreamRecord
from swifttrestle.internal.state.store_epochs import StoreRevision
from swifttrestle_standins.virtual_time import run_in_virtual_time
from tests.common.discovery import RECORD, Host, StandaloneRelay

# Seconds after which a withdrawn instance must get no more work.
WITHDRAWAL_SECONDS = 2.0
# Seconds for which the store and the path to it must have worked before that bound applies.
STEADY_SECONDS = 3.0


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("seconds_after_outage", [3.0, 3.15, 3.5, 4.2, 5.0])
@pytest.mark.parametrize(
    ("failure_mode", "outage_seconds"), [("silent", 5.1), ("silent", 8.6), ("busy", 5.0)]
)
def test_an_instance_that_is_withdrawn_after_an_outage_is_removed_in_time(
    failure_mode, outage_seconds, seconds_after_outage, seed
):
    # Guards against held back removals that are checked only after the next watch.
    async def scenario():
        host = Host(seed)
        await asyncio.sleep(6.0 + seed * 0.37)
        await host.lose_store(failure_mode, outage_seconds)
        await asyncio.sleep(seconds_after_outage)
        assert host.knows("s0")
        host.store.stand_in.remove("servers", "s0")
        await asyncio.sleep(WITHDRAWAL_SECONDS)
        assert not host.knows("s0")
        assert host.knows("s1")
        host.task.cancel()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(("failure_mode", "outage_seconds"), [("silent", 5.1), ("busy", 5.0)])
def test_an_instance_whose_record_expired_in_an_outage_stays_in_use_if_written_again_in_time(
    failure_mode, outage_seconds, seed
):
    async def scenario():
        host = Host(seed)
        await asyncio.sleep(6.0 + seed * 0.37)
        lost = asyncio.ensure_future(host.lose_store(failure_mode, outage_seconds))
        await asyncio.sleep(outage_seconds - 1.0)
        host.store.stand_in.remove("servers", "s0")
        await lost
        await asyncio.sleep(1.9)
        assert host.knows("s0")
        host.store.stand_in.put("servers", "s0", RECORD)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert host.knows("s0")
        host.task.cancel()

    run_in_virtual_time(scenario())


class Follower(StandaloneRelay):
    """The relay of a host in a large fleet that receives changes from others."""

    def should_watch(self):
        return False


def next_revision(revision, count=1):
    return StoreRevision(revision.epoch, revision.number + count)


async def start_follower():
    """Return a host that knows the list and has lost the store, and the list's revision."""
    host = Host(1, Follower())
    await asyncio.sleep(3.0)
    host.store.set_failure_mode("silent")
    return host, host.discovery._revision


def test_a_relaying_host_that_reaches_the_store_is_trusted_although_another_lost_it():
    # Guards against holding back a trusted removal because another sender distrusts removals.
    async def scenario():
        host, revision = await start_follower()
        host.relay.take(ListingChanges(revision, revision, 2.2))
        host.relay.take(ListingChanges(revision, next_revision(revision), 0.0, removed=("s0",)))
        assert not host.knows("s0")
        host.relay.take(
            ListingChanges(
                next_revision(revision), next_revision(revision, 2), 2.2, removed=("s1",)
            )
        )
        assert host.knows("s1")
        await asyncio.sleep(2.5)
        assert not host.knows("s1")
        host.task.cancel()

    run_in_virtual_time(scenario())


def test_a_removal_is_held_back_no_longer_than_the_shortest_time_of_any_sender():
    async def scenario():
        host, revision = await start_follower()
        host.relay.take(ListingChanges(revision, next_revision(revision), 2.2, removed=("s0",)))
        host.relay.take(ListingChanges(revision, next_revision(revision), 0.5, removed=("s0",)))
        assert host.knows("s0")
        await asyncio.sleep(0.8)
        assert not host.knows("s0")
        host.task.cancel()

    run_in_virtual_time(scenario())


class Aggregator(StandaloneRelay):
    """The relay of a host that watches the list and relays changes, beside another one."""

    def __init__(self):
        super().__init__()
        self.sent = []

    def should_relay(self):
        return True

    def send(self, changes):
        self.sent.append(changes)


def test_a_host_that_relays_a_watch_does_not_claim_changes_that_another_host_relayed():
    # Guards against instances that stay unknown: the host knows their records already, so its
    # message omits them, and recipients that take it for complete never read them.
    async def scenario():
        host = Host(1, Aggregator())
        await asyncio.sleep(3.0)
        revision = host.discovery._revision
        newest = next_revision(revision)
        host.relay.take(ListingChanges(revision, newest, 0.0, records=(make_record("s2"),)))
        host.relay.sent.clear()
        host.store.stand_in.put("servers", "s2", RECORD)
        await asyncio.sleep(1.0)
        assert host.knows("s2")
        about_newest = [item for item in host.relay.sent if item.revision >= newest]
        assert about_newest
        assert not [item for item in about_newest if item.since < newest and not item.records]
        host.task.cancel()

    run_in_virtual_time(scenario())


def make_record(name, leaving=False):
    return UpstreamRecord(name, "alerts", ("10.0.0.9", 80), "a", 6, leaving, Role.NONE)


@pytest.mark.parametrize(
    ("before", "after", "joined"),
    [
        # Only the final state counts, and a gap between the two messages stays visible.
        (
            ListingChanges(
                StoreRevision(0, 3), StoreRevision(0, 5), 0.0, (make_record("s0"),), ("s1",)
            ),
            ListingChanges(
                StoreRevision(0, 5), StoreRevision(0, 8), 1.0, (make_record("s1"),), ("s0",)
            ),
            ListingChanges(
                StoreRevision(0, 3), StoreRevision(0, 8), 1.0, (make_record("s1"),), ("s0",)
            ),
        ),
        (
            ListingChanges(
                StoreRevision(0, 3), StoreRevision(0, 5), 0.0, (make_record("s0"),), ("s1",)
            ),
            ListingChanges(StoreRevision(0, 5), StoreRevision(0, 6), 0.0),
            ListingChanges(
                StoreRevision(0, 3), StoreRevision(0, 6), 0.0, (make_record("s0"),), ("s1",)
            ),
        ),
        (
            ListingChanges(StoreRevision(0, 3), StoreRevision(0, 5), 0.0, (make_record("s0"),), ()),
            ListingChanges(StoreRevision(0, 6), StoreRevision(0, 8), 0.0, (), ("s1",)),
            ListingChanges(StoreRevision(0, 6), StoreRevision(0, 8), 0.0, (), ("s1",)),
        ),
    ],
)
def test_a_message_repeats_the_previous_one(before, after, joined):
    assert join_changes(before, after) == joined
