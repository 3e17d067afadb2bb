"""Which hosts count as live, by their own heartbeats and by the reports of others."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from swifttrestle.errors import FrameError
from swifttrestle.internal.coordination.duties.role_orders import RoleOrders
from swifttrestle.internal.coordination.membership.candidates import DutyCandidates
from swifttrestle.internal.coordination.membership.recipients import ReportRecipients
from swifttrestle.internal.coordination.membership.rosters import Rosters
from swifttrestle.internal.coordination.membership.zone_demand import ZoneDemand
from swifttrestle.internal.coordination.store.store_availability import StoreAvailability
from swifttrestle.internal.policy.distance import Topology
from swifttrestle.internal.policy.scheduling import list_aggregators
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


def make_heartbeat(member, incarnation=1, **flags):
    return Heartbeat(member, incarnation, **flags)


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [(0.0, ["me", "other"]), (1.9, ["me", "other"]), (2.1, ["me"]), (60.0, ["me"])],
)
def test_a_peer_is_live_for_two_seconds_after_its_last_heartbeat(seconds, expected):
    table = PeerTable(ME)
    assert table.record_heartbeat(make_heartbeat(OTHER), 10.0)
    assert names(table, 10.0 + seconds) == expected


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [(0.0, ["far", "me"]), (2.4, ["far", "me"]), (2.6, ["me"])],
)
def test_a_peer_that_others_report_is_live_from_its_last_heartbeat_to_them(seconds, expected):
    table = PeerTable(ME)
    table.note_reported((FAR, ME), at=9.5, now=10.0)
    assert names(table, 10.0 + seconds) == expected


def test_an_older_report_does_not_replace_a_newer_one():
    table = PeerTable(ME)
    table.note_reported((FAR,), at=10.0, now=10.0)
    table.note_reported((FAR,), at=8.5, now=10.0)
    assert names(table, 11.5) == ["far", "me"]


def test_a_stopping_peer_is_not_a_member_although_others_still_report_it():
    table = PeerTable(ME)
    table.record_heartbeat(make_heartbeat(FAR), 10.0)
    assert names(table, 10.0) == ["far", "me"]
    table.record_heartbeat(make_heartbeat(FAR, leaving=True), 10.1)
    table.note_reported((FAR,), at=10.4, now=10.5)
    assert names(table, 10.5) == ["me"]
    assert [peer.host for peer in table.list_seen(10.5)] == ["far"]


def test_a_peer_that_stopped_is_live_again_by_its_own_heartbeat_at_once_and_by_reports_later():
    table = PeerTable(ME)
    table.record_heartbeat(make_heartbeat(FAR, 1, leaving=True), 10.0)
    table.note_reported((FAR,), at=14.1, now=14.1)
    assert names(table, 14.1) == ["far", "me"]
    table.record_heartbeat(make_heartbeat(FAR, 1, leaving=True), 15.0)
    table.record_heartbeat(make_heartbeat(FAR, 2), 15.2)
    assert names(table, 15.2) == ["far", "me"]


def test_a_late_datagram_of_an_earlier_incarnation_is_ignored():
    table = PeerTable(ME)
    table.record_heartbeat(make_heartbeat(OTHER, 7), 10.0)
    table.record_heartbeat(make_heartbeat(OTHER, 6, leaving=True), 10.1)
    assert names(table, 10.2) == ["me", "other"]


def test_a_silent_peer_may_return_with_a_lower_incarnation():
    # The incarnation is taken from the time of day, which can jump back.
    table = PeerTable(ME)
    table.record_heartbeat(make_heartbeat(OTHER, 7), 10.0)
    table.record_heartbeat(make_heartbeat(OTHER, 6), 13.0)
    assert names(table, 13.0) == ["me", "other"]


def test_a_seed_is_replaced_by_the_host_that_answers_from_its_address():
    table = PeerTable(ME)
    table.add_seed(OTHER.ip)
    table.add_seed(ME.ip)
    table.add_seed(OTHER.ip)
    assert list(table.peers) == [f"seed {OTHER.ip}"]
    table.record_heartbeat(make_heartbeat(OTHER), 1.0)
    assert list(table.peers) == ["other"]


def test_the_version_rises_only_with_changes_of_the_members():
    table = PeerTable(ME)
    table.list_members(0.0)
    table.record_heartbeat(make_heartbeat(OTHER), 10.0)
    table.list_members(10.0)
    first = table.version
    table.record_heartbeat(make_heartbeat(OTHER), 10.5)
    table.list_members(10.7)
    assert table.version == first
    table.list_members(13.0)
    assert table.version == first + 1


# Rosters.


def make_roster(count, zone="b"):
    return Roster.of(zone, (Member(f"h{n:03}", f"10.1.0.{n}", zone, 10.0) for n in range(count)))


@pytest.mark.parametrize("count", [0, 1, ENTRIES_PER_PART, ENTRIES_PER_PART + 1, 100])
def test_the_parts_of_a_roster_contain_each_host_once_and_fit_one_packet(count):
    roster = make_roster(count)
    parts = list(split_roster(roster))
    assert [member for part in parts for member in part.members] == list(roster.members)
    assert [part.number for part in parts] == list(range(parts[0].parts))
    assert all(len(pack_roster_message(part)) < 1400 for part in parts)


def test_a_roster_digest_depends_on_zone_and_members_but_not_on_their_order():
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
def test_a_roster_message_is_read_as_it_was_written(message):
    assert unpack_roster_message(pack_roster_message(message)) == message


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_any_bytes_are_a_roster_message_or_refused(noise):
    try:
        unpack_roster_message(noise)
    except FrameError as error:
        assert error.code.name == "BAD_FRAME"


def test_a_summary_of_the_largest_fleet_fits_one_packet():
    confirmations = tuple(RosterConfirmation(bytes([n] * 8), 1.234) for n in range(26))
    demand = {f"model-{n:02}": (123456.0, 123.45, 12.34) for n in range(11)}
    summary = RosterSummary(
        "front-kirkos-hall-61", "kirkos-hall", 1000.0, 1 << 62, 38000, False,
        "front-kirkos-hall-1", confirmations[0], confirmations[1:], demand,
    )  # fmt: skip
    assert len(pack_roster_message(summary)) < 1400


class InstantNetwork:
    """Delivers datagrams between the sockets of several hosts immediately."""

    def __init__(self):
        self.receivers = {}
        self.sent = []

    def socket(self, ip):
        return _NetworkSocket(self, ip)


class _NetworkSocket:
    def __init__(self, network, ip):
        self.network = network
        self.ip = ip

    def set_receiver(self, _kind, receiver):
        self.network.receivers[self.ip] = receiver

    def send(self, ip, _kind, data):
        self.network.sent.append(unpack_roster_message(data))
        if ip in self.network.receivers:
            self.network.receivers[ip](data, self.ip)


def make_rosters(network, member, clock, alive=()):
    table = PeerTable(member)
    for peer in alive:
        table.record_heartbeat(make_heartbeat(peer), clock[0])
    rosters = Rosters(member, network.socket(member.ip), table, lambda *_: None, lambda: clock[0])
    return table, rosters


def summarise(rosters, member, others=()):
    return RosterSummary(
        member.host, member.zone, 10.0, 1, 0, False, "", rosters.refresh_own(), tuple(others)
    )


def test_a_host_requests_a_roster_once_and_then_needs_only_its_digest():
    network, clock = InstantNetwork(), [10.0]
    hosts = make_roster(40).members
    _, far = make_rosters(network, FAR, clock, alive=hosts)
    table, _ = make_rosters(network, ME, clock)
    far.send(summarise(far, FAR), [ME])
    assert len(names(table, 10.0)) == 42
    assert sum(isinstance(item, RosterPart) for item in network.sent) == 2
    network.sent.clear()
    clock[0] = 11.0
    far.send(summarise(far, FAR), [ME])
    assert [type(item) for item in network.sent] == [RosterSummary]
    assert len(names(table, 13.9)) == 42
    assert names(table, 14.1) == ["me"]


def test_the_entries_of_a_lost_datagram_are_requested_again():
    network, clock = InstantNetwork(), [10.0]
    _, far = make_rosters(network, FAR, clock, alive=make_roster(5).members)
    table, _ = make_rosters(network, ME, clock)
    receive = network.receivers.pop(FAR.ip)
    far.send(summarise(far, FAR), [ME])
    assert names(table, 10.0) == ["me"]
    network.receivers[FAR.ip] = receive
    clock[0] = 10.5
    far.send(summarise(far, FAR), [ME])
    assert len(names(table, 10.5)) == 7


def test_an_aggregator_relays_the_rosters_of_others_with_their_age():
    network, clock = InstantNetwork(), [10.0]
    _, far = make_rosters(network, FAR, clock, alive=make_roster(5).members)
    other_table, other = make_rosters(network, OTHER, clock)
    table, _ = make_rosters(network, ME, clock)
    far.send(summarise(far, FAR), [OTHER])
    assert "far" in names(other_table, 10.0)
    clock[0] = 11.0
    own = other.refresh_own()
    other.send(summarise(other, OTHER, others=other.list_others(own)), [ME])
    assert len(names(table, 11.0)) == 8
    # Its last heartbeat was at 10.0, whenever that was relayed.
    assert len(names(table, 12.9)) == 8
    assert names(table, 13.1) == ["me", "other"]


def test_aggregators_with_different_rosters_do_not_override_each_other():
    network, clock = InstantNetwork(), [10.0]
    hosts = make_roster(3).members
    _, first = make_rosters(network, FAR, clock, alive=hosts[:2])
    second_member = Member("far2", "10.0.1.2", "b", 5.0)
    _, second = make_rosters(network, second_member, clock, alive=hosts[1:])
    table, _ = make_rosters(network, ME, clock)
    first.send(summarise(first, FAR), [ME])
    second.send(summarise(second, second_member), [ME])
    assert names(table, 10.0) == ["far", "far2", "h000", "h001", "h002", "me"]


def test_a_host_that_an_aggregator_no_longer_reports_is_gone_with_its_next_summary():
    network, clock = InstantNetwork(), [10.0]
    hosts = make_roster(3).members
    far_table, far = make_rosters(network, FAR, clock, alive=hosts)
    table, _ = make_rosters(network, ME, clock)
    far.send(summarise(far, FAR), [ME])
    clock[0] = 12.2
    for item in hosts[1:]:
        far_table.record_heartbeat(make_heartbeat(item), 12.2)
    far.send(summarise(far, FAR), [ME])
    assert names(table, 12.2) == ["far", "h001", "h002", "me"]


def test_a_host_that_another_aggregator_still_reports_is_not_gone():
    network, clock = InstantNetwork(), [10.0]
    hosts = make_roster(2).members
    second_member = Member("far2", "10.0.1.2", "b", 5.0)
    far_table, far = make_rosters(network, FAR, clock, alive=hosts)
    second_table, second = make_rosters(network, second_member, clock, alive=hosts)
    table, _ = make_rosters(network, ME, clock)
    for _ in range(5):
        clock[0] += 0.5
        far_table.record_heartbeat(make_heartbeat(hosts[0]), clock[0])
        for item in hosts:
            second_table.record_heartbeat(make_heartbeat(item), clock[0])
        far.send(summarise(far, FAR), [ME])
        second.send(summarise(second, second_member), [ME])
        assert names(table, clock[0]) == ["far", "far2", "h000", "h001", "me"]


def test_orphaned_hosts_are_reported_by_any_host_that_receives_their_heartbeats():
    network, clock = InstantNetwork(), [10.0]
    hosts = make_roster(3).members
    _, other = make_rosters(network, OTHER, clock, alive=hosts)
    table, _ = make_rosters(network, ME, clock)
    other.send(summarise(other, OTHER, others=other.list_orphaned()), [ME])
    assert names(table, 10.0) == ["h000", "h001", "h002", "me", "other"]


def test_a_roster_that_its_sender_has_replaced_is_not_relayed():
    network, clock = InstantNetwork(), [10.0]
    hosts = make_roster(3).members
    far_table, far = make_rosters(network, FAR, clock, alive=hosts)
    _, other = make_rosters(network, OTHER, clock)
    clock[0] = 11.5
    far.send(summarise(far, FAR), [OTHER])
    clock[0] = 12.1
    for item in hosts[1:]:
        far_table.record_heartbeat(make_heartbeat(item), 12.1)
    # The first host has been silent for too long.
    far.send(summarise(far, FAR), [OTHER])
    (confirmation,) = other.list_others(other.refresh_own())
    assert {item.host for item in other._known[confirmation.digest].members} == {
        "far",
        "h001",
        "h002",
    }


def test_a_host_that_was_only_reported_is_in_no_roster_of_this_host():
    network, clock = InstantNetwork(), [10.0]
    _, other = make_rosters(network, OTHER, clock, alive=[Member("gone", "10.0.0.9", "a", 1.0)])
    table, mine = make_rosters(network, ME, clock)
    other.send(summarise(other, OTHER), [ME])
    assert "gone" in names(table, 10.0)
    # Otherwise two hosts that relay each other's reports would report a lost host as live forever.
    assert [member.host for member in mine._known[mine.refresh_own().digest].members] == ["me"]


def test_parts_that_do_not_match_their_digest_are_refused():
    network, clock = InstantNetwork(), [10.0]
    table, _ = make_rosters(network, ME, clock)
    digest = make_roster(2).digest()
    summary = RosterSummary("far", "b", 10.0, 1, 0, False, "", RosterConfirmation(digest, 0.0))
    network.receivers[ME.ip](pack_roster_message(summary), FAR.ip)
    forged = RosterPart(digest, "b", 0, 1, make_roster(3).members)
    with pytest.raises(FrameError):
        network.receivers[ME.ip](pack_roster_message(forged), FAR.ip)
    assert names(table, 10.0) == ["me"]


def test_parts_that_were_not_requested_are_ignored():
    network, clock = InstantNetwork(), [10.0]
    table, _ = make_rosters(network, ME, clock)
    part = next(split_roster(make_roster(3)))
    network.receivers[ME.ip](pack_roster_message(part), FAR.ip)
    assert names(table, 10.0) == ["me"]


def test_rosters_that_are_no_longer_confirmed_are_discarded():
    network, clock = InstantNetwork(), [10.0]
    _, mine = make_rosters(network, ME, clock)
    mine.refresh_own()
    clock[0] = 21.0
    mine.expire()
    assert not mine._known


# Role orders that peers report.


def make_orders(clock, role=Role.PREFILL):
    fleet = Fleet()
    fleet.put(UpstreamRecord("i", "s", ("127.0.0.1", 1), "a", 8, False, role))
    return fleet.instances["i"], RoleOrders(fleet, lambda: clock[0])


def test_an_order_that_hosts_relay_to_each_other_expires_in_time():
    clock = [10.0]
    _, first = make_orders(clock)
    _, second = make_orders(clock)
    first.note("i", Role.DECODE, 11.0)
    for _ in range(200):
        clock[0] += 0.1
        second.apply_shared(first.list_recent(), "first")
        first.apply_shared(second.list_recent(), "second")
    assert not first.list_recent()
    assert not second.list_recent()


def test_a_newer_order_replaces_an_older_one_and_not_the_reverse():
    clock = [10.0]
    engine, orders = make_orders(clock)
    orders.note("i", Role.DECODE, 15.0)
    orders.apply_shared({"i": ("prefill", 1.0)}, "late peer")
    assert engine.role is Role.DECODE
    assert orders.list_recent() == {"i": ("decode", 5.0)}
    orders.apply_shared({"i": ("prefill", 9.0)}, "peer")
    assert engine.role is Role.PREFILL


def test_orders_that_a_host_reads_late_do_not_undo_a_later_one():
    # Guards against an order's age that is counted from its reading after a standstill.
    clock = [10.0]
    engine, orders = make_orders(clock)
    # Peers sent these at 1 s and 4 s, each as its order was accepted; this host stood still.
    orders.apply_shared({"i": ("decode", 1.0)}, "late peer")
    clock[0] += 0.001
    orders.apply_shared({"i": ("prefill", 1.0)}, "late peer")
    clock[0] = 10.2
    orders.apply_shared({"i": ("prefill", -5.2)}, "peer")
    assert engine.role is Role.PREFILL


def test_an_unknown_role_is_skipped():
    clock = [10.0]
    engine, orders = make_orders(clock)
    orders.apply_shared({"i": ("dreaming", 1.0)}, "peer")
    assert engine.role is Role.PREFILL


# Demand of whole zones.


def test_the_sum_of_a_zone_replaces_the_demand_of_its_hosts():
    table, meter = PeerTable(ME), DemandMeter()
    zones = ZoneDemand(ME, table, meter)
    table.record_heartbeat(make_heartbeat(FAR), 10.0)
    zones.update_host("far", {"s": (100.0, 1.0, 0.0)})
    zones.update_zone("b", {"s": (300.0, 3.0, 1.0)}, 10.0)
    assert meter.total("s", 10.0) == Demand(300.0, 3.0, 1.0)


def test_the_demand_of_this_host_is_not_counted_twice_in_the_sum_of_its_zone():
    table, meter = PeerTable(ME), DemandMeter()
    zones = ZoneDemand(ME, table, meter)
    meter.note_arrival("s", "route", 4000, 10.0)
    own = meter.own(10.0)["s"]
    zones.update_zone("a", {"s": (own.read_tokens + 500.0, own.decode_slots, 0.0)}, 10.0)
    assert meter.total("s", 10.0).read_tokens == pytest.approx(own.read_tokens + 500.0)


def test_a_zone_that_is_no_longer_reported_is_dropped():
    table, meter = PeerTable(ME), DemandMeter()
    zones = ZoneDemand(ME, table, meter)
    zones.update_zone("b", {"s": (300.0, 3.0, 1.0)}, 10.0)
    zones.expire(11.9)
    assert meter.total("s", 11.9).read_tokens == 300.0
    zones.expire(12.1)
    assert meter.total("s", 12.1) == Demand()


def test_the_sum_of_the_own_zone_is_dropped_where_each_of_its_hosts_reports_itself():
    table, meter = PeerTable(ME), DemandMeter()
    zones = ZoneDemand(ME, table, meter)
    zones.update_zone("a", {"s": (300.0, 3.0, 1.0)}, 10.0)
    zones.drop_zone("a")
    assert meter.total("s", 10.0) == Demand()
    assert zones.sum_own_zone(10.0) == {}


# The candidate for planning roles.

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
            table.record_heartbeat(make_heartbeat(item), clock[0])
    return table, DutyCandidates(me, table, lambda: clock[0])


def list_candidates(clock):
    return [item.host for item in HOSTS if make_candidates(item.host, clock)[1].is_candidate()]


def test_one_host_of_a_large_fleet_is_the_candidate_and_an_aggregator_of_its_zone():
    found = list_candidates([10.0])
    assert len(found) == 1
    aggregators = [i.host for zone in "ab" for i in list_aggregators(HOSTS, zone)]
    assert found == [min(aggregators)]


@pytest.mark.parametrize("host", ["a0", "a5", "b11"])
def test_the_holder_of_the_lease_stays_the_candidate_even_if_not_an_aggregator(host):
    clock = [10.0]
    _, candidates = make_candidates(host, clock)
    candidates.holds_duty_lease = True
    assert candidates.is_candidate()
    candidates.leaving = True
    assert not candidates.is_candidate()


def test_the_candidate_yields_to_a_holder_until_that_is_no_longer_reported():
    clock = [10.0]
    first = list_candidates(clock)[0]
    table, candidates = make_candidates(first, clock)
    holder = next(item for item in HOSTS if item.host != first)
    table.record_heartbeat(make_heartbeat(holder, holds_duty_lease=True), 10.0)
    assert not candidates.is_candidate()
    assert candidates.is_next_candidate()
    for item in HOSTS:
        if item.host != first:
            table.note_reported([item], 12.5, 12.5)
    clock[0] = 12.6
    assert candidates.is_candidate()


def test_a_host_that_cannot_reach_the_store_is_no_candidate_until_its_report_is_old():
    clock = [10.0]
    first = list_candidates(clock)[0]
    _, candidates = make_candidates(first, clock)
    candidates.mark_store_unreachable(3.0)
    assert not candidates.is_candidate()
    clock[0] = 11.0
    assert not candidates.is_candidate()
    other_table, other_candidates = make_candidates(first, clock)
    assert other_candidates.is_candidate()
    clock[0] = 13.1
    for item in HOSTS:
        other_table.note_reported([item], 13.0, 13.0)
    assert other_candidates.is_candidate()


@pytest.mark.parametrize(
    ("heartbeats", "asked_at", "expected"),
    [
        # A summary does not mention the store and must not override its sender's report.
        ([(10.0, 6.0), (10.1, None)], 10.2, 4.0),
        ([(10.0, 6.0), (10.5, 0.0)], 10.6, float("inf")),
        # In a large fleet a host receives few reports regularly, and many only at the start.
        ([(10.0, 6.0), (11.0, None)], 11.3, float("inf")),
        ([(10.0, None)], 10.1, float("inf")),
    ],
)
def test_the_store_counts_as_available_to_a_peer_by_its_own_last_report(
    heartbeats, asked_at, expected
):
    table = PeerTable(ME)
    for at, seconds in heartbeats:
        table.record_heartbeat(make_heartbeat(OTHER, store_seconds=seconds), at)
    assert table.find_store_up_since(asked_at) == expected


@pytest.mark.parametrize(
    ("answers", "interrupted", "asked_at", "expected"),
    [
        ((1.0, 3.4, 5.8), False, 6.0, 5.0),
        # The store may have been unavailable in a gap that is longer than any call.
        ((1.0, 5.0), False, 6.0, 1.0),
        ((1.0, 3.4), True, 3.5, 0.0),
        ((1.0, 3.4), False, 7.0, 0.0),
        ((), False, 1.0, 0.0),
    ],
)
def test_the_store_counts_as_available_from_the_first_answer_after_an_outage(
    answers, interrupted, asked_at, expected
):
    availability = StoreAvailability()
    for at in answers:
        availability.record_answer(at)
    if interrupted:
        availability.record_outage()
    assert availability.find_available_seconds(asked_at) == expected


@pytest.mark.parametrize(
    ("regions", "changes"),
    [
        ({}, {"other", "far"}),
        ({"a": "r", "b": "r"}, {"other", "far"}),
        ({"a": "r", "b": "q"}, {"other"}),
    ],
)
def test_schedulers_of_other_regions_get_open_work_with_heartbeats_alone(regions, changes):
    # Reports of each change to all regions would be most of the gossip between them.
    clock = [10.0]
    table = PeerTable(ME)
    members = [ME, OTHER, FAR, *make_roster(20).members]
    for member in members[1:]:
        table.record_heartbeat(make_heartbeat(member), clock[0])
    recipients = ReportRecipients(
        ME,
        table,
        DutyCandidates(ME, table, lambda: clock[0]),
        random.Random(1),
        lambda: clock[0],
        lambda: clock[0],
        Topology(regions),
    )
    recipients.list_schedulers = lambda: {"me", "other", "far"}
    recipients.refresh_schedulers(clock[0])
    assert {peer.host for peer in recipients.list_other_schedulers()} == changes
    heartbeat = {peer.host for peer in recipients.list_for_heartbeat(clock[0], has_work=True)}
    assert {"other", "far"} <= heartbeat
