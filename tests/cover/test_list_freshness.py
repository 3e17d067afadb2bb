"""How a host knows that others may use upstreams that its list lacks."""

import asyncio

import pytest

from swifttrestle.internal.coordination.discovery.observed_freshness import ObservedFreshness
from swifttrestle.internal.policy.list_freshness import (
    LOST_SECONDS,
    MAX_LIST_AGE_SECONDS,
    ListObservation,
    is_outdated,
    may_lack_upstreams,
)
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import PEER_TIMEOUT_SECONDS, Heartbeat, PeerTable
from swifttrestle_standins.virtual_time import run_in_virtual_time

OLD_AGE = MAX_LIST_AGE_SECONDS + 1
ME, PEER = Member("h0", "10.0.0.1", "a"), Member("h1", "10.0.0.2", "a")


@pytest.mark.parametrize(
    ("age", "lost_hosts", "store_answers_peers", "outdated", "may_lack"),
    [
        (1.0, 0, True, False, False),
        (1.0, 0, False, False, False),
        # An outage of the store for all: no host learns of others.
        (OLD_AGE, 0, False, False, False),
        (OLD_AGE, 0, True, True, True),
        # Those that are lost may reach it.
        (OLD_AGE, 1, False, True, True),
        (1.0, 1, False, False, True),
    ],
)
def test_a_list_may_lack_upstreams_if_others_may_have_a_newer_one(
    age, lost_hosts, store_answers_peers, outdated, may_lack
):
    observed = ListObservation(age, lost_hosts, store_answers_peers)
    assert (is_outdated(observed), may_lack_upstreams(observed)) == (outdated, may_lack)


@pytest.mark.parametrize(
    ("silent_seconds", "leaving", "lost", "heard"),
    [
        (0.5, False, False, True),
        (PEER_TIMEOUT_SECONDS + 0.5, False, True, False),
        (PEER_TIMEOUT_SECONDS + 0.5, True, False, False),
        (LOST_SECONDS + 1, False, False, False),
    ],
)
def test_a_host_is_lost_while_it_may_serve_on_unheard(silent_seconds, leaving, lost, heard):
    async def scenario():
        peers = PeerTable(ME)
        freshness = ObservedFreshness(Fleet(), peers, lambda: True)
        began = asyncio.get_running_loop().time()
        peers.record_heartbeat(Heartbeat(PEER, 1, leaving), began)
        await asyncio.sleep(silent_seconds)
        assert bool(freshness.observe().lost_hosts) == lost
        assert freshness.is_cut_off() == lost
        live = [item.host for item in peers.list_members(began + silent_seconds)]
        # A host that is no longer live need not be heard.
        assert freshness.has_heard_all_since(began + 0.1) == (PEER.host not in live)
        assert (PEER.host in live) == heard

    run_in_virtual_time(scenario())
