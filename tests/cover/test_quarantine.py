"""What is held against a request, for how long, and what hosts tell each other of it."""

import contextlib
import random

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from swifttrestle.errors import FrameError
from swifttrestle.internal.policy.hash_ring import KEEPERS, HashRing
from swifttrestle.internal.policy.quarantine import (
    CRASH_RETENTION_SECONDS,
    CRASHES_TO_QUARANTINE,
    FIRST_QUARANTINE_SECONDS,
    LONG_SECONDS,
    MOST_ACQUITTALS,
    MOST_CASES,
    SPREAD,
    Quarantine,
    find_term,
    is_quarantined,
)
from swifttrestle.internal.protocol.gossip import MAX_DATAGRAM_BYTES
from swifttrestle.internal.protocol.quarantine import (
    Clearance,
    CrashUpdate,
    pack_crash_update,
    split_records,
    unpack_crash_update,
)
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.request_fingerprints import (
    RequestFingerprint,
    fingerprint_head,
    fingerprint_request,
)
from swifttrestle.internal.transport.messages import Body, Framing, RequestHead

NOW = 1000.0


def make_name(number=0, head=0):
    return RequestFingerprint(head.to_bytes(8, "big"), number.to_bytes(8, "big"))


def make_crashes(count, at=NOW):
    return [Crash(f"i-{number}@1764720000000", at) for number in range(count)]


def make_quarantine(crashes=0, name=None, late=0.0):
    quarantine = Quarantine(late)
    if crashes:
        quarantine.note(name or make_name(), make_crashes(crashes), NOW)
    return quarantine


@pytest.mark.parametrize(
    ("times", "seconds"),
    [
        ([], 0),
        ([0.0], 0),
        ([0.0, 0.1], FIRST_QUARANTINE_SECONDS),
        # Copies that were under way, or went out from a host that did not know yet.
        ([0.0, 0.1, 0.2, 0.6], FIRST_QUARANTINE_SECONDS),
        # The copy that was tried next.
        ([0.0, 0.1, 0.1 + FIRST_QUARANTINE_SECONDS], LONG_SECONDS),
        ([0.0, 0.1, 3.0, 0.2 + FIRST_QUARANTINE_SECONDS], LONG_SECONDS),
        ([0.0, 0.1, 0.2 + FIRST_QUARANTINE_SECONDS, 0.3 + FIRST_QUARANTINE_SECONDS], LONG_SECONDS),
    ],
)
def test_a_request_is_kept_back_longer_where_the_copy_that_was_tried_crashed_too(times, seconds):
    quarantine = make_quarantine()
    crashes = [Crash(f"i-{number}", NOW + at) for number, at in enumerate(times)]
    quarantine.note(make_name(), reversed(crashes), NOW + 10)
    term = find_term(crashes)
    assert (term.seconds if term else 0) == seconds
    began = term.since if term else NOW
    assert quarantine.find_wait(make_name(), began) == pytest.approx(seconds)
    assert quarantine.find_wait(make_name(), began + seconds) == 0
    assert len(quarantine.list_quarantined()) == (len(times) >= CRASHES_TO_QUARANTINE)


def test_a_crash_that_is_told_twice_counts_once():
    quarantine = make_quarantine(1)
    assert not quarantine.note(make_name(), make_crashes(1), NOW)
    later = NOW + 1.9
    assert not quarantine.note(make_name(), make_crashes(1, later), later)
    assert quarantine.find_wait(make_name(), NOW) == 0
    assert quarantine.note(make_name(), make_crashes(2), NOW)


def test_a_crash_older_than_those_that_are_kept_is_no_news():
    quarantine = make_quarantine()
    crashes = [Crash(f"i-{number}", NOW - 10 * number) for number in range(6)]
    assert quarantine.note(make_name(), crashes, NOW)
    assert not quarantine.note(make_name(), crashes, NOW)
    assert [crash.start for crash in quarantine.find(make_name()).crashes] == [
        "i-0", "i-1", "i-2", "i-3"
    ]  # fmt: skip


def test_a_start_ends_once_however_late_that_is_told():
    quarantine = make_quarantine(2)
    for later in (NOW + 2, NOW + 60):
        assert not quarantine.note(make_name(), make_crashes(2, later), later)
    assert quarantine.find_wait(make_name(), NOW) == FIRST_QUARANTINE_SECONDS


def test_the_next_crash_after_a_long_quarantine_is_one_too_many():
    quarantine = make_quarantine(2)
    tried = NOW + FIRST_QUARANTINE_SECONDS
    quarantine.note(make_name(), [Crash("i-8", tried)], tried)
    later = tried + LONG_SECONDS * (1 + SPREAD)
    quarantine.expire(later)
    quarantine.note(make_name(), [Crash("i-9", later)], later)
    assert quarantine.find_wait(make_name(), later) == LONG_SECONDS


def test_hosts_let_a_request_go_at_different_moments():
    waits = {make_quarantine(2, late=share).find_wait(make_name(), NOW) for share in (0, 0.5, 1)}
    assert sorted(waits) == [
        FIRST_QUARANTINE_SECONDS * factor for factor in (1, 1 + SPREAD / 2, 1 + SPREAD)
    ]


@pytest.mark.parametrize("crashes", [1, 2, 3])
def test_its_own_answer_acquits_a_request_of_all_crashes_before_it(crashes):
    quarantine = make_quarantine(crashes)
    assert quarantine.clear_crashes(make_name(), NOW + 0.1)
    assert quarantine.find_wait(make_name(), NOW + 0.1) == 0
    assert (len(quarantine), quarantine.list_quarantined()) == (0, [])
    # Words of those crashes may still come in from others.
    assert not quarantine.note(make_name(), make_crashes(4, NOW + 0.2), NOW + 0.2)
    assert quarantine.note(make_name(), [Crash("i-7", NOW + 1)], NOW + 1)


def test_an_answer_does_not_acquit_of_a_crash_after_it():
    quarantine = make_quarantine()
    quarantine.note(make_name(), [Crash("a", NOW), Crash("b", NOW + 2)], NOW + 2)
    assert quarantine.clear_crashes(make_name(), NOW + 1)
    assert [crash.start for crash in quarantine.find(make_name()).crashes] == ["b"]
    assert quarantine.list_quarantined() == []


def test_what_is_long_past_is_forgotten():
    quarantine = make_quarantine(3)
    quarantine.expire(NOW + CRASH_RETENTION_SECONDS)
    assert (len(quarantine), quarantine.knows_head(make_name().head)) == (0, False)
    assert not quarantine.note(make_name(), make_crashes(3), NOW + CRASH_RETENTION_SECONDS)


def test_a_caller_that_sends_ever_new_deadly_requests_fills_no_host():
    quarantine = make_quarantine(3, make_name(10**6))
    for number in range(2 * MOST_CASES):
        quarantine.note(make_name(number, head=number % 7), make_crashes(1), NOW + number)
        quarantine.clear_crashes(make_name(number, head=9), NOW)
    assert len(quarantine) <= MOST_CASES
    assert len(quarantine._acquitted) <= MOST_ACQUITTALS
    # Those under which the most upstreams crashed are kept.
    assert quarantine.find_wait(make_name(10**6), NOW) == FIRST_QUARANTINE_SECONDS
    assert sum(quarantine._heads.values()) == len(quarantine)


# The name of a request.

HEAD = RequestHead(b"POST", b"/a/b?c", ((b"Host", b"site.example"),), Framing.LENGTH, 4)


def name_of(head=HEAD, workspace="", chunks=(b"body",)):
    body = Body()
    for chunk in chunks:
        body.feed(chunk)
    body.end()
    return fingerprint_request(head, workspace, body)


def test_the_same_request_has_the_same_name_however_its_body_came():
    other = RequestHead(
        b"POST", b"/a/b?c", ((b"X-Request-Id", b"2"), (b"host", b"SITE.example")), Framing.CHUNKED
    )
    assert name_of() == name_of(other, chunks=(b"bo", b"dy"))


@pytest.mark.parametrize(
    "name",
    [
        name_of(workspace="club"),
        name_of(chunks=(b"bodY",)),
        name_of(chunks=()),
        name_of(RequestHead(b"PUT", b"/a/b?c", HEAD.headers, Framing.LENGTH)),
        name_of(RequestHead(b"POST", b"/a/b?d", HEAD.headers, Framing.LENGTH)),
        name_of(RequestHead(b"POST", b"/a/b?c", ((b"Host", b"other"),), Framing.LENGTH)),
    ],
    ids=["workspace", "body", "no body", "method", "path", "host"],
)
def test_other_requests_have_other_names(name):
    assert name != name_of()


def test_a_request_has_no_name_until_its_body_is_whole():
    body = Body()
    body.feed(b"bo")
    assert fingerprint_request(HEAD, "", body) is None
    body.fail(ValueError("broken off"))
    assert fingerprint_request(HEAD, "", body) is None


def test_parts_of_a_head_cannot_be_taken_for_each_other():
    one = RequestHead(b"GET", b"b", ((b"host", b"a"),), Framing.NONE)
    other = RequestHead(b"GET", b"", ((b"host", b"ab"),), Framing.NONE)
    assert fingerprint_head(one, "c") != fingerprint_head(other, "c")


# What hosts tell each other.

CASES = st.builds(
    CrashRecord,
    st.builds(make_name, st.integers(0, 2**64 - 1), st.integers(0, 2**64 - 1)),
    st.lists(
        st.builds(Crash, st.text(min_size=1, max_size=40), st.floats(0, NOW)),
        min_size=1, max_size=4,
    ).map(tuple),
)  # fmt: skip


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(CASES, max_size=40), st.booleans())
def test_news_come_out_as_they_went_in(records, wants_all):
    news = CrashUpdate(tuple(records), (Clearance(make_name(3), NOW - 4),), wants_all)
    read = unpack_crash_update(pack_crash_update(news, NOW), NOW + 100)
    assert read.wants_all == wants_all
    assert [case.name for case in read.records] == [case.name for case in records]
    ages = [crash.at - 100 for case in read.records for crash in case.crashes]
    assert ages == pytest.approx([crash.at for case in records for crash in case.crashes])
    assert read.clearances[0].at == pytest.approx(NOW + 96)


def test_news_of_many_cases_fit_into_datagrams():
    records = [
        CrashRecord(make_name(number), tuple(Crash(f"i-{n:010x}@1764720000000", NOW - n)
                                      for n in range(4)))
        for number in range(50)
    ]  # fmt: skip
    parts = list(split_records(records))
    assert [case for part in parts for case in part.records] == records
    assert max(len(pack_crash_update(part, NOW)) for part in parts) <= MAX_DATAGRAM_BYTES


STRAY = [
    b"",
    b"\xc1",
    msgpack.packb(7),
    msgpack.packb([[], []]),
    msgpack.packb([[[b"short", [["i-1", 0.5]]]], [], False]),
    msgpack.packb([[[bytes(16), []]], [], False]),
    msgpack.packb([[[bytes(16), [["i-1", 0.5]] * 17]], [], False]),
    msgpack.packb([[[bytes(16), [["", 0.5]]]], [], False]),
    msgpack.packb([[[bytes(16), [["x" * 500, 0.5]]]], [], False]),
    msgpack.packb([[[bytes(16), [["i-1", -1.0]]]], [], False]),
    msgpack.packb([[[bytes(16), [["i-1", float("nan")]]]], [], False]),
    msgpack.packb([[[bytes(16), [["i-1", float("inf")]]]], [], False]),
    msgpack.packb([[[bytes(16), [["i-1", "old"]]]], [], False]),
    msgpack.packb([[], [["name", 0.5]], False]),
]


@pytest.mark.parametrize("data", STRAY)
def test_a_stray_datagram_is_refused_with_a_typed_error(data):
    with pytest.raises(FrameError):
        unpack_crash_update(data, NOW)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_no_bytes_do_more_than_raise_a_typed_error(data):
    with contextlib.suppress(FrameError):
        unpack_crash_update(data, NOW)


# Who keeps a request's case.


def make_members(count):
    return [Member(f"h{n}", f"10.0.{n // 250}.{n % 250}", f"z{n % 13}", 1000.0)
            for n in range(count)]  # fmt: skip


@pytest.mark.parametrize("hosts", [1, 2, 17, 195, 790])
def test_every_host_finds_the_same_keepers(hosts):
    members = make_members(hosts)
    shuffled = random.Random(1).sample(members, len(members))
    for number in range(50):
        name = name_of(chunks=(str(number).encode(),))
        keepers = HashRing(members).find(name)
        assert keepers == HashRing(shuffled).find(name)
        assert len(set(keepers)) == min(KEEPERS, hosts)


def test_nobody_keeps_anything_without_members():
    assert HashRing(()).find(make_name()) == []


def test_a_keeper_that_is_lost_leaves_the_other_one():
    members = make_members(195)
    name = name_of()
    first, second = HashRing(members).find(name)
    assert HashRing([item for item in members if item != first]).find(name)[0] == second


def test_quarantined_is_what_crashed_upstreams_often_enough():
    assert not is_quarantined(
        CrashRecord(make_name(), tuple(make_crashes(CRASHES_TO_QUARANTINE - 1)))
    )
    assert is_quarantined(CrashRecord(make_name(), tuple(make_crashes(CRASHES_TO_QUARANTINE))))
