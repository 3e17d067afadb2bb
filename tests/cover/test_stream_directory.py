"""Which service and version a stream goes on at, as hosts know and ask each other.

Uses real directories with a simulated network in virtual time.
"""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from swifttrestle.errors import FrameError
from swifttrestle.internal.forward.stream_directory import (
    QUERIES,
    QUERY_SECONDS,
    SharedStreamDirectory,
    TakeUp,
)
from swifttrestle.internal.policy.list_freshness import ListFreshness
from swifttrestle.internal.policy.stream_builds import (
    Continuation,
    StreamKnowledge,
    choose_continuation,
)
from swifttrestle.internal.protocol.stream_builds import (
    MAX_STREAM_BYTES,
    StreamNote,
    StreamQuery,
    StreamReply,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.state.declared import UpstreamRecord
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.stream_builds import (
    MAX_GAP_SECONDS,
    MAX_STREAMS,
    MEMORY_SECONDS,
    StreamBuilds,
    StreamOrigin,
)
from swifttrestle_standins.virtual_time import run_in_virtual_time
from tests.common.network import Network, Socket, make_members

SERVICE = "s"
OLD, NEW = StreamOrigin(SERVICE, "v1"), StreamOrigin(SERVICE, "v2")
BOTH = ("v1", "v2")
# Seconds until noted streams have arrived.
DELIVERY_SECONDS = 0.1


class Hosts:
    """Some hosts with their directories; each knows the live ones among them."""

    def __init__(self, count, seed=0, builds=BOTH):
        self.network = Network(seed)
        self.members = make_members(count)
        self.directories = {}
        self.fleet = Fleet()
        for number, build in enumerate(builds):
            self.fleet.put(make_record(number, build))
        for member in self.members:
            self.start(member, first_start=True)

    def start(self, member, first_start=False):
        """Start a host, or start it again without what it knew."""
        self.directories[member.host] = SharedStreamDirectory(
            Socket(self.network, member.ip),
            member.host,
            self.fleet,
            lambda: self.members,
            1,
            first_start,
        )

    def kill(self, *hosts):
        gone = [item for item in self.members if item.host in hosts]
        self.network.cut.update(item.ip for item in gone)
        self.members = tuple(item for item in self.members if item not in gone)

    def list_keepers(self, host, stream):
        return [item.host for item in self.directories[host]._list_peers(stream)[:2]]

    async def begin(self, host, stream, origin):
        self.directories[host].note_begun(stream, origin)
        await asyncio.sleep(DELIVERY_SECONDS)

    async def find(self, host, stream):
        return await self.directories[host].find_continuation(stream, SERVICE)


def make_record(number, build):
    address = (f"10.1.0.{number}", 80)
    return UpstreamRecord(f"i{number}", SERVICE, address, "z0", 4, False, build=build)


def name_stream(number):
    return f"stream {number}".encode()


@pytest.mark.parametrize("count", [2, 8, 17, 195])
def test_each_host_finds_where_a_stream_of_another_one_began(count):
    async def scenario():
        hosts = Hosts(count)
        rng = random.Random(count)
        for number in range(20):
            stream, origin = name_stream(number), rng.choice((OLD, NEW))
            await hosts.begin(f"h{rng.randrange(count)}", stream, origin)
            found = await hosts.find(f"h{rng.randrange(count)}", stream)
            assert found == Continuation(True, origin)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("lost_keepers", [0, 1])
@pytest.mark.parametrize("count", [4, 8, 195])
def test_a_stream_is_found_after_its_host_and_a_keeper_were_lost(count, lost_keepers):
    async def scenario():
        for number in range(20):
            hosts = Hosts(count)
            stream = name_stream(number)
            await hosts.begin("h0", stream, NEW)
            hosts.kill("h0", *hosts.list_keepers("h0", stream)[:lost_keepers])
            for host in [item.host for item in hosts.members][:8]:
                assert await hosts.find(host, stream) == Continuation(True, NEW)

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("seed", range(5))
def test_lost_datagrams_never_lead_to_a_wrong_version(seed):
    async def scenario():
        hosts = Hosts(8, seed)
        hosts.network.lost_share = 0.3
        found = []
        for number in range(100):
            await hosts.begin("h0", name_stream(number), NEW)
            found.append(await hosts.find("h1", name_stream(number)))
        assert set(found) <= {Continuation(True, NEW), Continuation(False)}
        # Both notes of 9 in 100 streams are lost.
        assert found.count(Continuation(True, NEW)) >= 80

    run_in_virtual_time(scenario())


class KnowingArchive:
    """Knows of each stream that it began at one origin."""

    async def find(self, route, url, stream):
        return OLD


@pytest.mark.parametrize(
    ("builds", "archive", "queries", "wanted"),
    [
        # The store knows: the silent peer need not reply.
        (("v1",), KnowingArchive(), 1, Continuation(True, OLD)),
        # Nobody else knows: it may be the one that noted the stream.
        (("v1",), None, 1 + QUERIES, Continuation(False)),
        (BOTH, None, QUERIES, Continuation(False)),
    ],
)
def test_a_silent_peer_is_asked_again_only_where_it_may_change_the_decision(
    builds, archive, queries, wanted
):
    async def scenario():
        hosts = Hosts(8, builds=builds)
        directory = hosts.directories["h0"]
        directory._archive = archive
        hosts.network.cut.add(directory._list_peers(b"unknown")[0].ip)
        began = asyncio.get_running_loop().time()
        take_up = TakeUp(None, "site.example/")
        assert await directory.find_continuation(b"unknown", SERVICE, take_up) == wanted
        return asyncio.get_running_loop().time() - began

    assert run_in_virtual_time(scenario()) == pytest.approx(queries * QUERY_SECONDS)


class ScriptedFreshness(ListFreshness):
    """Says what a test sets."""

    def __init__(self):
        self.lacks = False
        self.heard_at = float("inf")
        # None while the list is current.
        self.known_at = None

    def find_known_at(self):
        return asyncio.get_running_loop().time() if self.known_at is None else self.known_at

    def may_lack_upstreams(self):
        return self.lacks

    def has_heard_all_since(self, at):
        return self.heard_at >= at

    def is_cut_off(self):
        return False


@pytest.mark.parametrize(
    ("lacks", "heard_after", "lost_after", "allowed"),
    [
        (False, 0.0, None, True),
        (False, 0.4, None, True),
        (False, 0.4, 0.2, False),
        (False, None, None, False),
        (True, 0.0, None, False),
    ],
)
def test_a_stream_that_nobody_knows_goes_on_only_at_a_host_that_hears_all_others(
    lacks, heard_after, lost_after, allowed
):
    async def scenario():
        hosts = Hosts(8, builds=("v1",))
        freshness = ScriptedFreshness()
        hosts.directories["h0"]._freshness = freshness
        for member in hosts.members:
            await hosts.find(member.host, b"first look")
        loop = asyncio.get_running_loop()
        began = loop.time()
        freshness.lacks = lacks
        freshness.heard_at = began if heard_after == 0.0 else float("-inf")
        if heard_after:
            loop.call_later(heard_after, setattr, freshness, "heard_at", began + heard_after)
        if lost_after:
            loop.call_later(lost_after, setattr, freshness, "lacks", True)
        found = await hosts.find("h0", b"unknown")
        assert found == (Continuation(True, OLD) if allowed else Continuation(False))
        # Neither does it vouch for its list to others.
        found = await hosts.find("h1", b"unknown")
        assert found.allowed or freshness.lacks

    run_in_virtual_time(scenario())


def test_versions_that_a_host_may_have_missed_count_once_its_list_is_current_again():
    async def scenario():
        hosts = Hosts(2, builds=("v1",))
        freshness = ScriptedFreshness()
        for item in hosts.directories.values():
            item._freshness = freshness
        observers = [asyncio.ensure_future(item.run()) for item in hosts.directories.values()]
        assert (await hosts.find("h0", b"unknown")).allowed
        freshness.known_at = freshness.find_known_at()
        await asyncio.sleep(MAX_GAP_SECONDS + 1)
        freshness.known_at = None
        assert not (await hosts.find("h0", b"unknown")).allowed
        await asyncio.sleep(MEMORY_SECONDS + 1)
        assert (await hosts.find("h0", b"unknown")).allowed
        for item in observers:
            item.cancel()

    run_in_virtual_time(scenario())


def test_a_stream_that_no_host_knows_is_refused_for_as_long_as_versions_are_remembered():
    async def scenario():
        hosts = Hosts(8)
        observers = [asyncio.ensure_future(item.run()) for item in hosts.directories.values()]
        assert await hosts.find("h1", b"unknown") == Continuation(False)
        hosts.fleet.remove("i0")
        assert await hosts.find("h1", b"unknown") == Continuation(False)
        await asyncio.sleep(MEMORY_SECONDS + 1)
        assert await hosts.find("h1", b"unknown") == Continuation(True, NEW)
        for item in observers:
            item.cancel()

    run_in_virtual_time(scenario())


def test_a_restarted_host_learns_of_a_former_version_from_its_peers():
    async def scenario():
        hosts = Hosts(8)
        for member in hosts.members:
            await hosts.find(member.host, b"first look")
        hosts.fleet.remove("i0")
        hosts.start(hosts.members[1])
        assert await hosts.find("h1", b"unknown") == Continuation(False)

    run_in_virtual_time(scenario())


def test_a_host_that_no_peer_answers_continues_only_its_own_streams():
    async def scenario():
        hosts = Hosts(8, builds=("v1",))
        await hosts.begin("h0", b"own", OLD)
        await hosts.begin("h1", b"other", OLD)
        hosts.network.cut.add(hosts.members[0].ip)
        hosts.start(hosts.members[0])
        await hosts.begin("h0", b"own", OLD)
        assert await hosts.find("h0", b"own") == Continuation(True, OLD)
        assert await hosts.find("h0", b"other") == Continuation(False)

    run_in_virtual_time(scenario())


KNOWN, NOTHING, SEVERAL = (
    StreamKnowledge(NEW, True),
    StreamKnowledge(None, False, OLD),
    StreamKnowledge(None, True),
)


@pytest.mark.parametrize(
    ("own", "replies", "asked", "wanted"),
    [
        (KNOWN, [], 0, Continuation(True, NEW)),
        (NOTHING, [NOTHING, KNOWN], 4, Continuation(True, NEW)),
        (SEVERAL, [KNOWN], 4, Continuation(True, NEW)),
        (NOTHING, [NOTHING], 1, Continuation(True, OLD)),
        (NOTHING, [], 0, Continuation(True, OLD)),
        (NOTHING, [], 1, Continuation(False)),
        (NOTHING, [NOTHING], 2, Continuation(False)),
        (NOTHING, [NOTHING, SEVERAL], 2, Continuation(False)),
        (SEVERAL, [NOTHING], 1, Continuation(False)),
        (SEVERAL, [], 0, Continuation(False)),
    ],
)
def test_a_stream_goes_on_where_it_began_or_where_there_is_no_choice(own, replies, asked, wanted):
    assert choose_continuation(own, replies, asked) == wanted


def test_the_oldest_streams_are_forgotten_first():
    builds = StreamBuilds()
    for number in range(MAX_STREAMS + 2):
        builds.note_stream(name_stream(number), OLD, 0.0)
    assert builds.find(name_stream(1), 0.0) is None
    assert builds.find(name_stream(2), 0.0) == OLD
    builds.note_stream(name_stream(5), OLD, MEMORY_SECONDS)
    builds.expire(MEMORY_SECONDS)
    assert builds.find(name_stream(3), 0.0) is None
    assert builds.find(name_stream(5), MEMORY_SECONDS) == OLD


@pytest.mark.parametrize(
    "message",
    [
        StreamNote(b"x", OLD),
        StreamQuery(7, b"", "s"),
        StreamReply(7, NEW, True),
        StreamReply(0, None, False),
    ],
)
def test_a_message_about_a_stream_is_unchanged_after_packing_and_unpacking(message):
    assert unpack_message(pack_message(message)) == message


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.one_of(st.binary(max_size=60), st.lists(st.integers(0, 255), max_size=14).map(bytes)))
def test_a_malformed_datagram_about_a_stream_raises_a_frame_error(noise):
    try:
        unpack_message(noise)
    except FrameError as error:
        assert error.code.name == "BAD_FRAME"


@pytest.mark.parametrize(
    "message",
    [
        StreamNote(b"x" * (MAX_STREAM_BYTES + 1), OLD),
        StreamNote(b"x", StreamOrigin("s" * 500, "v1")),
        StreamQuery(-1, b"x", "s"),
    ],
)
def test_a_message_about_a_stream_with_a_value_out_of_range_is_rejected(message):
    with pytest.raises(FrameError):
        unpack_message(pack_message(message))
