"""How a host knows that others may use upstreams that neither it nor its live peers know."""

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

YOUNG, OLD = 1.0, MAX_LIST_AGE_SECONDS + 1
ME, PEER = Member("h0", "10.0.0.1", "a"), Member("h1", "10.0.0.2", "a")
OTHER = Member("h2", "10.0.0.3", "a")
SILENT_SECONDS = PEER_TIMEOUT_SECONDS + MAX_LIST_AGE_SECONDS


@pytest.mark.parametrize(
    ("observed", "wanted"),
    [
        (ListObservation(YOUNG), False),
        # An outage of the store alone: all hosts are heard.
        (ListObservation(OLD), False),
        (ListObservation(YOUNG, lost_hosts=1), True),
        (ListObservation(OLD, lost_hosts=1), True),
        # Planned stops while the store answers.
        (ListObservation(YOUNG, stopped_hosts=1), False),
        (ListObservation(OLD, stopped_hosts=1), True),
        # Also a host that knows the others by name alone.
        (ListObservation(YOUNG, is_alone=True), True),
        (ListObservation(OLD, is_alone=True), True),
    ],
)
def test_hosts_that_are_not_heard_may_use_upstreams_that_others_do_not_know(observed, wanted):
    assert may_lack_upstreams(observed) == wanted


def build_freshness(peers, fleet):
    return ObservedFreshness(fleet, peers, lambda: True)


def play_silence(prepare, silent_seconds, confirmed=False):
    """Return whether a host misses others, and is cut off, some seconds after it heard a peer.

    `prepare` tells it of the peer.

    The list is confirmed at that moment, or at the end if `confirmed`.
    """

    async def scenario():
        peers, fleet = PeerTable(ME), Fleet()
        loop = asyncio.get_running_loop()
        fleet.confirmed_at = loop.time()
        prepare(peers, loop.time())
        await asyncio.sleep(silent_seconds)
        if confirmed:
            fleet.confirmed_at = loop.time()
        freshness = build_freshness(peers, fleet)
        return freshness.may_lack_upstreams(), freshness.is_cut_off()

    return run_in_virtual_time(scenario())


def hear(peers, now):
    peers.record_heartbeat(Heartbeat(PEER, 1), now)


def hear_stop(peers, now):
    peers.record_heartbeat(Heartbeat(PEER, 1, leaving=True), now)


def hear_report(peers, now):
    peers.note_reported([PEER], now, now)


def hear_and_withdraw(peers, now):
    peers.note_reported([PEER], now, now)
    peers.withdraw(PEER.host)


def know_by_name(peers, now):
    peers.add_peer(PEER.host, PEER.ip)


def hear_two(peers, now):
    """Hear two hosts, of which one goes on to be heard."""
    hear(peers, now)
    peers.record_heartbeat(Heartbeat(OTHER, 1), now)
    asyncio.ensure_future(hear_on(peers, OTHER))


def hear_stop_of_one(peers, now):
    hear_stop(peers, now)
    asyncio.ensure_future(hear_on(peers, OTHER))


async def hear_on(peers, member):
    while True:
        peers.record_heartbeat(Heartbeat(member, 1), asyncio.get_running_loop().time())
        await asyncio.sleep(0.5)


@pytest.mark.parametrize("seconds", [SILENT_SECONDS, 250.0, 3600.0])
@pytest.mark.parametrize("prepare", [hear, hear_stop, hear_report, hear_and_withdraw, know_by_name])
def test_a_host_that_is_not_heard_is_missed_until_the_list_is_confirmed(prepare, seconds):
    assert play_silence(prepare, seconds) == (True, True)


@pytest.mark.parametrize(
    ("prepare", "seconds", "may_lack"),
    [
        (hear, 0.5, False),
        (hear, SILENT_SECONDS, True),
        (hear_two, LOST_SECONDS + 1, False),
        (hear_two, SILENT_SECONDS, True),
        (hear_stop_of_one, SILENT_SECONDS, False),
        (know_by_name, SILENT_SECONDS, True),
        (hear_and_withdraw, 0.5, True),
    ],
)
def test_a_host_whose_list_is_confirmed_misses_those_that_fell_silent_lately(
    prepare, seconds, may_lack
):
    assert play_silence(prepare, seconds, confirmed=True)[0] == may_lack


def test_a_host_that_hears_the_others_misses_nothing_however_old_its_list_is():
    async def scenario():
        peers, fleet = PeerTable(ME), Fleet()
        loop = asyncio.get_running_loop()
        fleet.confirmed_at = loop.time()
        freshness = build_freshness(peers, fleet)
        for _ in range(100):
            hear(peers, loop.time())
            await asyncio.sleep(1.0)
            assert not freshness.may_lack_upstreams()
            assert freshness.find_known_at() == loop.time()

    run_in_virtual_time(scenario())


@pytest.mark.parametrize(
    ("named", "heard", "alone"),
    [([], [], False), (["h1"], [], True), (["h1", "h2"], ["h1"], False)],
)
def test_a_host_that_hears_none_of_those_it_knows_by_name_is_alone(named, heard, alone):
    # Guards against a host that is cut off from its start and taken for the only one. Others that
    # are known by name alone may be gone for long.
    peers = PeerTable(ME)
    peers.add_seed("10.0.0.9")
    for number, name in enumerate(named):
        peers.add_peer(name, f"10.0.0.{number + 2}")
    for name in heard:
        peers.record_heartbeat(Heartbeat(Member(name, "10.0.0.2", "a"), 1), 1000.0)
    assert peers.is_alone(1000.0) == alone
