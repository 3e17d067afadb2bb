"""How a host knows that others may use upstreams that its list lacks."""

import asyncio

import pytest

from swifttrestle.internal.coordination.discovery.observed_freshness import ObservedFreshness
from swifttrestle.internal.policy.list_freshness import (
    LOST_SECONDS,
    MAX_LIST_AGE_SECONDS,
    ListObservation,
    may_lack_upstreams,
)
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import PEER_TIMEOUT_SECONDS, Heartbeat, PeerTable
from swifttrestle_standins.virtual_time import run_in_virtual_time

OLD_AGE = MAX_LIST_AGE_SECONDS + 1
ME, PEER = Member("h0", "10.0.0.1", "a"), Member("h1", "10.0.0.2", "a")


@pytest.mark.parametrize(
    ("age", "lost_hosts", "store_answers_peers", "wanted"),
    [
        (1.0, 0, True, False),
        (1.0, 0, False, False),
        # An outage of the store for all: no host learns of others.
        (OLD_AGE, 0, False, False),
        (OLD_AGE, 0, True, True),
        # Those that are lost may reach it.
        (OLD_AGE, 1, False, True),
        (1.0, 1, False, True),
    ],
)
def test_a_list_may_lack_upstreams_if_others_may_have_a_newer_one(
    age, lost_hosts, store_answers_peers, wanted
):
    assert may_lack_upstreams(ListObservation(age, lost_hosts, store_answers_peers)) == wanted


@pytest.mark.parametrize(
    ("silent_seconds", "leaving", "lost", "live"),
    [
        (0.5, False, False, True),
        (PEER_TIMEOUT_SECONDS + 0.5, False, True, False),
        (PEER_TIMEOUT_SECONDS + 0.5, True, False, False),
        (LOST_SECONDS + 1, False, False, False),
    ],
)
def test_a_host_is_lost_while_it_may_serve_on_unheard(silent_seconds, leaving, lost, live):
    async def scenario():
        peers = PeerTable(ME)
        freshness = ObservedFreshness(Fleet(), peers, lambda: True)
        began = asyncio.get_running_loop().time()
        peers.record_heartbeat(Heartbeat(PEER, 1, leaving), began)
        await asyncio.sleep(silent_seconds)
        assert bool(freshness.observe().lost_hosts) == lost
        assert freshness.is_cut_off() == lost
        members = [item.host for item in peers.list_members(began + silent_seconds)]
        assert (PEER.host in members) == live

    run_in_virtual_time(scenario())


@pytest.mark.parametrize(
    ("named", "heard", "lost"), [([], [], 0), (["h1"], [], 1), (["h1", "h2"], ["h1"], 0)]
)
def test_a_host_that_has_heard_none_of_those_it_knows_has_lost_them(named, heard, lost):
    # Guards against a host that is cut off from its start and taken for the only one. Others that
    # are known by name alone may be gone for long.
    peers = PeerTable(ME)
    peers.add_seed("10.0.0.9")
    for number, name in enumerate(named):
        peers.add_peer(name, f"10.0.0.{number + 2}")
    for name in heard:
        peers.record_heartbeat(Heartbeat(Member(name, "10.0.0.2", "a"), 1), 1000.0)
    assert len(peers.list_lost(1000.0, LOST_SECONDS)) == lost
