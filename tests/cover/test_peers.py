"""Who counts as alive, by own hearing and by the word of others."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from swifttrestle.errors import FrameError
from swifttrestle.internal.coordination.candidates import RoleCandidates
from swifttrestle.internal.coordination.role_orders import RoleOrders
from swifttrestle.internal.coordination.rosters import Rosters
from swifttrestle.internal.coordination.store_availability import StoreAvailability
from swifttrestle.internal.coordination.zone_demand import ZoneDemand
from swifttrestle.internal.policy.scheduling import list_representatives
from swifttrestle.internal.protocol.rosters import (
    ENTRIES_PER_PART,
    Roster,
    RosterConfirmation,
    RosterPart,
    RosterRequest,
    RosterSummary,
    pack_roster_message,
    split_roster,
    unpack_roster_message,
)
from swifttrestle.internal.state.declared import Role, UpstreamRecord
from swifttrestle.internal.state.demand import Demand, DemandMeter
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.members import Member
from swifttrestle.internal.state.peers import Heartbeat, PeerTable

ME = Member("me", "10.0.0.1", "a", 100.0)
OTHER = Member("other", "10.0.0.2", "a", 100.0)
FAR = Member("far", "10.0.1.1", "b", 5.0)


def names(table, now):
    return [member.host for member in table.list_members(now)]


def beat(member, incarnation=1, **flags):
    return Heartbeat(member, incarnation, **flags)


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [(0.0, ["me", "other"]), (1.9, ["me", "other"]), (2.1, ["me"]), (60.0, ["me"])],
)
def test_a_peer_lives_for_two_seconds_after_it_was_heard(seconds, expected):
    table = PeerTable(ME)
    assert table.note_heard(beat(OTHER), 10.0)
    assert names(table, 10.0 + seconds) == expected


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [(0.0, ["far", "me"]), (2.4, ["far", "me"]), (2.6, ["me"])],
)
def test_a_peer_that_others_told_of_lives_from_when_they_heard_it(seconds, expected):
    table = PeerTable(ME)
    table.note_reported((FAR, ME), at=9.5, now=10.0)
    assert names(table, 10.0 + seconds) == expected


def test_an_older_word_does_not_shorten_a_newer_one():
    table = PeerTable(ME)
    table.note_reported((FAR,), at=10.0, now=10.0)
    table.note_reported((FAR,), at=8.5, now=10.0)
    assert names(table, 11.5) == ["far", "me"]


def test_a_peer_that_leaves_is_no_member_although_others_still_tell_of_it():
    table = PeerTable(ME)
    table.note_heard(beat(FAR), 10.0)
    assert names(table, 10.0) == ["far", "me"]
    table.note_heard(beat(FAR, leaving=True), 10.1)
    table.note_reported((FAR,), at=10.4, now=10.5)
    assert names(table, 10.5) == ["me"]
    assert [peer.host for peer in table.list_seen(10.5)] == ["far"]


def test_a_peer_that_left_is_back_by_its_own_word_at_once_and_by_that_of_others_later():
    table = PeerTable(ME)
    table.note_heard(beat(FAR, 1, leaving=True), 10.0)
    table.note_reported((FAR,), at=14.1, now=14.1)
    assert names(table, 14.1) == ["far", "me"]
    table.note_heard(beat(FAR, 1, leaving=True), 15.0)
    table.note_heard(beat(FAR, 2), 15.2)
    assert names(table, 15.2) == ["far", "me"]


def test_a_late_datagram_of_an_earlier_start_is_passed_over():
    table = PeerTable(ME)
    table.note_heard(beat(OTHER, 7), 10.0)
    table.note_heard(beat(OTHER, 6, leaving=True), 10.1)
    assert names(table, 10.2) == ["me", "other"]


def test_a_silent_peer_may_come_back_with_a_lower_number():
    # The number is taken from the time of day, which can jump back.
    table = PeerTable(ME)
    table.note_heard(beat(OTHER, 7), 10.0)
    table.note_heard(beat(OTHER, 6), 13.0)
    assert names(table, 13.0) == ["me", "other"]


def test_a_seed_gives_way_to_the_host_that_answers_from_its_address():
    table = PeerTable(ME)
    table.add_seed(OTHER.ip)
    table.add_seed(ME.ip)
    table.add_seed(OTHER.ip)
    assert list(table.peers) == [f"seed {OTHER.ip}"]
    table.note_heard(beat(OTHER), 1.0)
    assert list(table.peers) == ["other"]


def test_the_version_rises_with_each_change_of_the_members_alone():
    table = PeerTable(ME)
    table.list_members(0.0)
    table.note_heard(beat(OTHER), 10.0)
    table.list_members(10.0)
    first = table.version
    table.note_heard(beat(OTHER), 10.5)
    table.list_members(10.7)
    assert table.version == first
    table.list_members(13.0)
    assert table.version == first + 1


# Rosters.


def make_roster(count, zone="b"):
    return Roster.of(zone, (Member(f"h{n:03}", f"10.1.0.{n}", zone, 10.0) for n in range(count)))


@pytest.mark.parametrize("count", [0, 1, ENTRIES_PER_PART, ENTRIES_PER_PART + 1, 100])
def test_the_parts_of_a_roster_hold_each_host_once_and_fit_one_packet(count):
    roster = make_roster(count)
    parts = list(split_roster(roster))
    assert [member for part in parts for member in part.members] == list(roster.members)
    assert [part.number for part in parts] == list(range(parts[0].parts))
    assert all(len(pack_roster_message(part)) < 1400 for part in parts)


def test_a_roster_is_named_by_its_members_in_any_order():
    roster = make_roster(5)
    assert Roster.of("b", reversed(roster.members)).digest() == roster.digest()
    assert Roster.of("b", roster.members[1:]).digest() != roster.digest()
    assert Roster.of("c", roster.members).digest() != roster.digest()


SUMMARY = RosterSummary(
    "far", "b", 10.0, 5, 7, True, "far", RosterConfirmation(b"12345678", 0.0),
    (RosterConfirmation(b"87654321", 0.25),),
    {"s": (10.0, 2.5, 1.5)}, {"i-1": ("decode", -1.5)},
)  # fmt: skip


@pytest.mark.parametrize(
    "message", [SUMMARY, RosterRequest((b"12345678",)), next(split_roster(make_roster(3)))]
)
def test_a_roster_message_survives_its_datagram(message):
    assert unpack_roster_message(pack_roster_message(message)) == message


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_noise_is_no_roster_message(noise):
    try:
        unpack_roster_message(noise)
    except FrameError as error:
        assert error.code.name == "BAD_FRAME"


def test_a_summary_of_the_largest_fleet_fits_one_packet():
    marks = tuple(RosterConfirmation(bytes([n] * 8), 1.234) for n in range(26))
    demand = {f"model-{n:02}": (123456.0, 123.45, 12.34) for n in range(11)}
    summary = RosterSummary(
        "front-kirkos-hall-61", "kirkos-hall", 1000.0, 1 << 62, 38000, False,
        "front-kirkos-hall-1", marks[0], marks[1:], demand,
    )  # fmt: skip
    assert len(pack_roster_message(summary)) < 1400


class Wire:
    """Sockets of some hosts that hand each other's datagrams over at once."""

    def __init__(self):
        self.receivers = {}
        self.sent = []

    def socket(self, ip):
        return _Socket(self, ip)


class _Socket:
    def __init__(self, wire, ip):
        self.wire = wire
        self.ip = ip

    def receive(self, _kind, receiver):
        self.wire.receivers[self.ip] = receiver

    def send(self, ip, _kind, data):
        self.wire.sent.append(unpack_roster_message(data))
        if ip in self.wire.receivers:
            self.wire.receivers[ip](data, self.ip)


def make_rosters(wire, member, clock, heard=()):
    table = PeerTable(member)
    for peer in heard:
        table.note_heard(beat(peer), clock[0])
    rosters = Rosters(member, wire.socket(member.ip), table, lambda *_: None, lambda: clock[0])
    return table, rosters


def summarise(rosters, member, others=()):
    return RosterSummary(
        member.host, member.zone, 10.0, 1, 0, False, "", rosters.refresh_own(), tuple(others)
    )


def test_a_host_asks_for_a_roster_once_and_is_then_told_by_its_digest_alone():
    wire, clock = Wire(), [10.0]
    hosts = make_roster(40).members
    _, far = make_rosters(wire, FAR, clock, heard=hosts)
    table, _ = make_rosters(wire, ME, clock)
    far.send(summarise(far, FAR), [ME])
    assert len(names(table, 10.0)) == 42
    assert sum(isinstance(item, RosterPart) for item in wire.sent) == 2
    wire.sent.clear()
    clock[0] = 11.0
    far.send(summarise(far, FAR), [ME])
    assert [type(item) for item in wire.sent] == [RosterSummary]
    assert len(names(table, 13.9)) == 42
    assert names(table, 14.1) == ["me"]


def test_the_entries_of_a_lost_datagram_are_asked_for_again():
    wire, clock = Wire(), [10.0]
    _, far = make_rosters(wire, FAR, clock, heard=make_roster(5).members)
    table, _ = make_rosters(wire, ME, clock)
    receive = wire.receivers.pop(FAR.ip)
    far.send(summarise(far, FAR), [ME])
    assert names(table, 10.0) == ["me"]
    wire.receivers[FAR.ip] = receive
    clock[0] = 10.5
    far.send(summarise(far, FAR), [ME])
    assert len(names(table, 10.5)) == 7


def test_a_representative_passes_on_what_others_heard_with_its_age():
    wire, clock = Wire(), [10.0]
    _, far = make_rosters(wire, FAR, clock, heard=make_roster(5).members)
    other_table, other = make_rosters(wire, OTHER, clock)
    table, _ = make_rosters(wire, ME, clock)
    far.send(summarise(far, FAR), [OTHER])
    assert "far" in names(other_table, 10.0)
    clock[0] = 11.0
    own = other.refresh_own()
    other.send(summarise(other, OTHER, others=other.list_others(own)), [ME])
    assert len(names(table, 11.0)) == 8
    # It was last heard at 10.0, whenever that was told.
    assert len(names(table, 12.9)) == 8
    assert names(table, 13.1) == ["me", "other"]


def test_two_representatives_that_hear_different_hosts_do_not_undo_each_other():
    wire, clock = Wire(), [10.0]
    hosts = make_roster(3).members
    _, first = make_rosters(wire, FAR, clock, heard=hosts[:2])
    second_member = Member("far2", "10.0.1.2", "b", 5.0)
    _, second = make_rosters(wire, second_member, clock, heard=hosts[1:])
    table, _ = make_rosters(wire, ME, clock)
    first.send(summarise(first, FAR), [ME])
    second.send(summarise(second, second_member), [ME])
    assert names(table, 10.0) == ["far", "far2", "h000", "h001", "h002", "me"]


def test_a_host_that_a_representative_hears_no_more_is_gone_by_its_next_word():
    wire, clock = Wire(), [10.0]
    hosts = make_roster(3).members
    far_table, far = make_rosters(wire, FAR, clock, heard=hosts)
    table, _ = make_rosters(wire, ME, clock)
    far.send(summarise(far, FAR), [ME])
    clock[0] = 12.2
    for item in hosts[1:]:
        far_table.note_heard(beat(item), 12.2)
    far.send(summarise(far, FAR), [ME])
    assert names(table, 12.2) == ["far", "h001", "h002", "me"]


def test_a_host_that_another_representative_still_hears_is_not_gone():
    wire, clock = Wire(), [10.0]
    hosts = make_roster(2).members
    second_member = Member("far2", "10.0.1.2", "b", 5.0)
    far_table, far = make_rosters(wire, FAR, clock, heard=hosts)
    second_table, second = make_rosters(wire, second_member, clock, heard=hosts)
    table, _ = make_rosters(wire, ME, clock)
    for _ in range(5):
        clock[0] += 0.5
        far_table.note_heard(beat(hosts[0]), clock[0])
        for item in hosts:
            second_table.note_heard(beat(item), clock[0])
        far.send(summarise(far, FAR), [ME])
        second.send(summarise(second, second_member), [ME])
        assert names(table, clock[0]) == ["far", "far2", "h000", "h001", "me"]


def test_hosts_of_a_zone_without_representatives_are_told_of_by_whoever_hears_them():
    wire, clock = Wire(), [10.0]
    hosts = make_roster(3).members
    _, other = make_rosters(wire, OTHER, clock, heard=hosts)
    table, _ = make_rosters(wire, ME, clock)
    other.send(summarise(other, OTHER, others=other.list_strays()), [ME])
    assert names(table, 10.0) == ["h000", "h001", "h002", "me", "other"]


def test_a_roster_that_its_maker_has_replaced_is_not_passed_on():
    wire, clock = Wire(), [10.0]
    hosts = make_roster(3).members
    far_table, far = make_rosters(wire, FAR, clock, heard=hosts)
    _, other = make_rosters(wire, OTHER, clock)
    clock[0] = 11.5
    far.send(summarise(far, FAR), [OTHER])
    clock[0] = 12.1
    for item in hosts[1:]:
        far_table.note_heard(beat(item), 12.1)
    # The first host has been silent for too long.
    far.send(summarise(far, FAR), [OTHER])
    (mark,) = other.list_others(other.refresh_own())
    assert {item.host for item in other._known[mark.digest].members} == {"far", "h001", "h002"}


def test_a_host_that_was_only_told_of_is_in_no_roster_of_this_host():
    wire, clock = Wire(), [10.0]
    _, other = make_rosters(wire, OTHER, clock, heard=[Member("gone", "10.0.0.9", "a", 1.0)])
    table, mine = make_rosters(wire, ME, clock)
    other.send(summarise(other, OTHER), [ME])
    assert "gone" in names(table, 10.0)
    # Two hosts that told each other what they were told would keep a lost one alive for ever.
    assert [member.host for member in mine._known[mine.refresh_own().digest].members] == ["me"]


def test_parts_that_do_not_make_up_their_digest_are_refused():
    wire, clock = Wire(), [10.0]
    table, _ = make_rosters(wire, ME, clock)
    digest = make_roster(2).digest()
    summary = RosterSummary("far", "b", 10.0, 1, 0, False, "", RosterConfirmation(digest, 0.0))
    wire.receivers[ME.ip](pack_roster_message(summary), FAR.ip)
    forged = RosterPart(digest, "b", 0, 1, make_roster(3).members)
    with pytest.raises(FrameError):
        wire.receivers[ME.ip](pack_roster_message(forged), FAR.ip)
    assert names(table, 10.0) == ["me"]


def test_parts_that_nobody_asked_for_are_passed_over():
    wire, clock = Wire(), [10.0]
    table, _ = make_rosters(wire, ME, clock)
    part = next(split_roster(make_roster(3)))
    wire.receivers[ME.ip](pack_roster_message(part), FAR.ip)
    assert names(table, 10.0) == ["me"]


def test_rosters_that_nobody_confirms_are_forgotten():
    wire, clock = Wire(), [10.0]
    _, mine = make_rosters(wire, ME, clock)
    mine.refresh_own()
    clock[0] = 21.0
    mine.expire()
    assert not mine._known


# Orders of roles that peers tell of.


def make_orders(clock, role=Role.PREFILL):
    fleet = Fleet()
    fleet.put(UpstreamRecord("i", "s", ("127.0.0.1", 1), "a", 8, False, role))
    return fleet.instances["i"], RoleOrders(fleet, lambda: clock[0])


def test_an_order_that_goes_from_host_to_host_does_not_last_longer_for_it():
    clock = [10.0]
    _, first = make_orders(clock)
    _, second = make_orders(clock)
    first.note("i", Role.DECODE, 11.0)
    for _ in range(200):
        clock[0] += 0.1
        second.take(first.list_recent(), "first")
        first.take(second.list_recent(), "second")
    assert not first.list_recent()
    assert not second.list_recent()


def test_a_newer_order_takes_the_place_of_an_older_one_and_not_the_other_way_round():
    clock = [10.0]
    engine, orders = make_orders(clock)
    orders.note("i", Role.DECODE, 15.0)
    orders.take({"i": ("prefill", 1.0)}, "late peer")
    assert engine.role is Role.DECODE
    assert orders.list_recent() == {"i": ("decode", 5.0)}
    orders.take({"i": ("prefill", 9.0)}, "peer")
    assert engine.role is Role.PREFILL


def test_a_role_that_is_unknown_is_skipped():
    clock = [10.0]
    engine, orders = make_orders(clock)
    orders.take({"i": ("dreaming", 1.0)}, "peer")
    assert engine.role is Role.PREFILL


# Demand of whole zones.


def test_a_zone_s_sum_takes_the_place_of_its_hosts():
    table, meter = PeerTable(ME), DemandMeter()
    zones = ZoneDemand(ME, table, meter)
    table.note_heard(beat(FAR), 10.0)
    zones.update_host("far", {"s": (100.0, 1.0, 0.0)})
    zones.update_zone("b", {"s": (300.0, 3.0, 1.0)}, 10.0)
    assert meter.total("s", 10.0) == Demand(300.0, 3.0, 1.0)


def test_a_host_s_own_work_is_not_counted_twice_in_its_zone_s_sum():
    table, meter = PeerTable(ME), DemandMeter()
    zones = ZoneDemand(ME, table, meter)
    meter.note_arrival("s", "route", 4000, 10.0)
    own = meter.own(10.0)["s"]
    zones.update_zone("a", {"s": (own.read_tokens + 500.0, own.decode_slots, 0.0)}, 10.0)
    assert meter.total("s", 10.0).read_tokens == pytest.approx(own.read_tokens + 500.0)


def test_a_zone_that_nobody_tells_of_any_more_is_dropped():
    table, meter = PeerTable(ME), DemandMeter()
    zones = ZoneDemand(ME, table, meter)
    zones.update_zone("b", {"s": (300.0, 3.0, 1.0)}, 10.0)
    zones.expire(11.9)
    assert meter.total("s", 11.9).read_tokens == 300.0
    zones.expire(12.1)
    assert meter.total("s", 12.1) == Demand()


def test_an_own_zone_that_is_heard_host_by_host_needs_no_sum():
    table, meter = PeerTable(ME), DemandMeter()
    zones = ZoneDemand(ME, table, meter)
    zones.update_zone("a", {"s": (300.0, 3.0, 1.0)}, 10.0)
    zones.drop_zone("a")
    assert meter.total("s", 10.0) == Demand()
    assert zones.sum_own_zone(10.0) == {}


# Who is to plan roles.

HOSTS = [
    Member(f"{zone}{number}", f"10.0.{ord(zone)}.{number}", zone, 10.0)
    for zone in "ab"
    for number in range(12)
]


def make_candidates(host, clock):
    me = next(item for item in HOSTS if item.host == host)
    table = PeerTable(me)
    for item in HOSTS:
        if item is not me:
            table.note_heard(beat(item), clock[0])
    return table, RoleCandidates(me, table, lambda: clock[0])


def list_candidates(clock):
    return [item.host for item in HOSTS if make_candidates(item.host, clock)[1].is_candidate()]


def test_one_host_of_a_large_fleet_is_the_candidate_and_it_represents_its_zone():
    found = list_candidates([10.0])
    assert len(found) == 1
    representatives = [i.host for zone in "ab" for i in list_representatives(HOSTS, zone)]
    assert found == [min(representatives)]


@pytest.mark.parametrize("host", ["a0", "a5", "b11"])
def test_a_host_that_holds_the_lease_stays_the_candidate_whether_it_represents_or_not(host):
    clock = [10.0]
    _, candidates = make_candidates(host, clock)
    candidates.holds_duty_lease = True
    assert candidates.is_candidate()
    candidates.leaving = True
    assert not candidates.is_candidate()


def test_the_candidate_gives_way_to_a_holder_until_that_is_not_told_of_any_more():
    clock = [10.0]
    first = list_candidates(clock)[0]
    table, candidates = make_candidates(first, clock)
    holder = next(item for item in HOSTS if item.host != first)
    table.note_heard(beat(holder, holds_duty_lease=True), 10.0)
    assert not candidates.is_candidate()
    assert candidates.is_next_candidate()
    for item in HOSTS:
        if item.host != first:
            table.note_reported([item], 12.5, 12.5)
    clock[0] = 12.6
    assert candidates.is_candidate()


def test_a_host_without_the_store_is_no_candidate_until_its_word_is_old():
    clock = [10.0]
    first = list_candidates(clock)[0]
    _, candidates = make_candidates(first, clock)
    candidates.mark_store_unreachable(3.0)
    assert not candidates.is_candidate()
    clock[0] = 11.0
    assert not candidates.is_candidate()
    other, others = make_candidates(first, clock)
    assert others.is_candidate()
    clock[0] = 13.1
    for item in HOSTS:
        other.note_reported([item], 13.0, 13.0)
    assert others.is_candidate()


@pytest.mark.parametrize(
    ("beats", "asked_at", "expected"),
    [
        # A summary says nothing of the store, and must not undo what its sender's report said.
        ([(10.0, 6.0), (10.1, None)], 10.2, 4.0),
        ([(10.0, 6.0), (10.5, 0.0)], 10.6, float("inf")),
        # In a large fleet a host hears the reports of few, and of many none after their start.
        ([(10.0, 6.0), (11.0, None)], 11.3, float("inf")),
        ([(10.0, None)], 10.1, float("inf")),
    ],
)
def test_a_peer_vouches_for_the_store_by_its_own_last_word(beats, asked_at, expected):
    table = PeerTable(ME)
    for at, seconds in beats:
        table.note_heard(beat(OTHER, store_seconds=seconds), at)
    assert table.find_store_up_since(asked_at) == expected


@pytest.mark.parametrize(
    ("answers", "broken", "asked_at", "expected"),
    [
        ((1.0, 3.4, 5.8), False, 6.0, 5.0),
        # Nobody knows what the store went through in a gap that is longer than any of its calls.
        ((1.0, 5.0), False, 6.0, 1.0),
        ((1.0, 3.4), True, 3.5, 0.0),
        ((1.0, 3.4), False, 7.0, 0.0),
        ((), False, 1.0, 0.0),
    ],
)
def test_contact_with_the_store_counts_from_the_first_answer_after_a_break(
    answers, broken, asked_at, expected
):
    contact = StoreAvailability()
    for at in answers:
        contact.record_answer(at)
    if broken:
        contact.record_outage()
    assert contact.find_available_seconds(asked_at) == expected
