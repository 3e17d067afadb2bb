"""How long removed keys are accepted, depending on confirmations of the configuration."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from swifttrestle.errors import BadEntryError, FrameError
from swifttrestle.internal.coordination.configuration import freshness_monitor
from swifttrestle.internal.policy import revocation
from swifttrestle.internal.policy.revocation import Verdict, check_key
from swifttrestle.internal.protocol.freshness import (
    FreshnessQuery,
    FreshnessReply,
    pack_freshness_query,
    pack_freshness_reply,
    unpack_freshness,
)
from swifttrestle.internal.state.config_freshness import ConfigurationFreshness
from swifttrestle.internal.state.declared import Workspace
from swifttrestle.internal.state.median_clock import MedianClock
from swifttrestle.internal.state.peers import NEVER
from swifttrestle.internal.state.routes import RouteTable
from swifttrestle.internal.state.workspaces import WorkspaceKeys, digest_key
from swifttrestle.platform.records import read_configuration
from swifttrestle.platform.settings import read_host_settings
from tests.cover.test_platform_adapter import GOOD, ROUTE

BOUND = 5.0
FRESH_AGE, OLD_AGE = 1.0, 4.95


@pytest.mark.parametrize(
    ("known", "age", "bound", "wanted"),
    [
        (True, FRESH_AGE, BOUND, Verdict.ALLOWED),
        (True, BOUND - revocation.CLOCK_MARGIN_SECONDS, BOUND, Verdict.ALLOWED),
        (True, OLD_AGE, BOUND, Verdict.UNCONFIRMED),
        (True, float("inf"), BOUND, Verdict.UNCONFIRMED),
        (True, float("inf"), float("inf"), Verdict.ALLOWED),
        (False, FRESH_AGE, BOUND, Verdict.UNKNOWN),
        # The key may be newer than this host's version, and a 401 would be final for its caller.
        (False, revocation.UNKNOWN_KEY_SECONDS + 0.1, BOUND, Verdict.UNCONFIRMED),
        (False, float("inf"), float("inf"), Verdict.UNCONFIRMED),
    ],
)
def test_a_key_is_checked_by_the_configuration_and_the_age_of_its_confirmation(
    known, age, bound, wanted
):
    assert check_key(known, age, bound) is wanted


@pytest.mark.parametrize(
    ("here", "confirmations", "later", "wanted"),
    [
        (0, [], 0, NEVER),
        (3, [(3, 10.0)], 3, 10.0),
        (3, [(3, 10.0), (3, 9.0)], 3, 10.0),
        # A later version removed keys only after the confirmation of the earlier one.
        (4, [(3, 10.0)], 4, 10.0),
        # A confirmation of a version that this host lacks counts once it has that version.
        (3, [(3, 10.0), (4, 12.0)], 3, 10.0),
        (3, [(3, 10.0), (4, 12.0)], 4, 12.0),
        (3, [(4, 12.0), (5, 13.0)], 4, NEVER),
        (3, [(0, 12.0)], 3, NEVER),
    ],
)
def test_a_confirmation_counts_for_its_version_and_for_later_ones(
    here, confirmations, later, wanted
):
    version = [here]
    freshness = ConfigurationFreshness(lambda: version[0])
    for confirmation in confirmations:
        freshness.note(*confirmation)
    version[0] = later
    assert freshness.confirmed_at == wanted


class Host:
    """One host of the model, with a steady clock of its own."""

    def __init__(self, clock_ahead):
        self.clock_ahead = clock_ahead
        self.version = 1
        self.freshness = ConfigurationFreshness(lambda: self.version)

    def clock(self, now):
        return now + self.clock_ahead

    def read(self, store, sent, answered):
        """Read the store; the response is made at `answered`, before this is called."""
        version = store.version_at(answered)
        self.version = max(self.version, version)
        self.freshness.note(version, self.clock(sent))

    def ask(self, peer, sent, answered):
        """Query a peer whose version has arrived here by the time of its reply."""
        age = peer.clock(answered) - peer.freshness.confirmed_at
        if peer.freshness.confirmed_at == NEVER:
            return
        self.freshness.note(peer.version, self.clock(sent) - age)

    def takes_key(self, now):
        """Return whether a request with the key that version 2 removes is served."""
        age = self.clock(now) - self.freshness.confirmed_at
        return check_key(self.version < 2, age, BOUND) is Verdict.ALLOWED


class Store:
    """A store whose operator removes the key at a given time."""

    def __init__(self, removed_at):
        self.removed_at = removed_at

    def version_at(self, now):
        return 2 if now >= self.removed_at else 1


TIMES = st.floats(0, 30, allow_nan=False)
DELAYS = st.floats(0, 20, allow_nan=False)
HOSTS = st.integers(0, 2)
STEPS = st.tuples(st.sampled_from(["read", "ask", "serve"]), TIMES, DELAYS, DELAYS, HOSTS, HOSTS)


@given(
    removed_at=TIMES,
    ahead=st.lists(st.floats(-1000, 1000), min_size=3, max_size=3),
    steps=st.lists(STEPS, max_size=25),
)
def test_no_key_is_served_beyond_its_bound_whatever_is_delayed_or_suspended(
    removed_at, ahead, steps
):
    """Any order of reads, queries and delays, with hosts that are suspended meanwhile.

    A message is sent, answered some time later, and used some time after that: a host that is
    suspended or cut off finds old replies in its sockets. The request is sent just before it is
    received; a delay of the request would only make it older.
    """
    store = Store(removed_at)
    hosts = [Host(item) for item in ahead]
    events = []
    for what, sent, way, back, one, other in steps:
        events.append((sent + way + back, what, sent, sent + way, one, other))
    for now, what, sent, answered, one, other in sorted(events):
        host = hosts[one]
        if what == "read":
            host.read(store, sent, answered)
        elif what == "ask" and one != other:
            # Uses the peer's present state, which is at least as new as at the time of its reply.
            host.ask(hosts[other], sent, min(answered, now))
        elif what == "serve" and host.takes_key(now):
            assert now <= removed_at + BOUND


def test_the_intervals_leave_time_for_an_outage_within_the_bound():
    """Check the sum in docs/INVARIANTS.md: the maximum age of a confirmation, one query lost."""
    max_jitter = 1 + freshness_monitor.JITTER_SHARE / 2
    query_interval = BOUND * freshness_monitor.QUERY_INTERVAL_SHARE * max_jitter
    max_age = BOUND * freshness_monitor.READ_INTERVAL_SHARE * max_jitter + query_interval
    assert max_age <= 1.9
    # A host whose query was lost queries all zones with the next one.
    assert max_age + query_interval >= BOUND * freshness_monitor.WIDEN_AGE_SHARE
    # The rest of the bound covers an outage of the store in which no request is refused.
    assert BOUND - revocation.CLOCK_MARGIN_SECONDS - max_age >= 3.0


@pytest.mark.parametrize(
    "message", [FreshnessQuery(12.5, 1.7e9), FreshnessReply(12.5, 7, 0.25, 1.7e9)]
)
def test_queries_and_replies_are_read_as_they_were_written(message):
    pack = pack_freshness_query if isinstance(message, FreshnessQuery) else pack_freshness_reply
    assert unpack_freshness(pack(message)) == message


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x90",
        pack_freshness_query(FreshnessQuery(-1.0, 1.0)),
        pack_freshness_query(FreshnessQuery(float("nan"), 1.0)),
        pack_freshness_reply(FreshnessReply(1.0, 0, 1.0, 1.0)),
        pack_freshness_reply(FreshnessReply(1.0, 2**63, 1.0, 1.0)),
        pack_freshness_reply(FreshnessReply(1.0, 1, float("inf"), 1.0)),
    ],
)
def test_a_datagram_that_is_neither_query_nor_reply_is_refused(data):
    with pytest.raises(FrameError):
        unpack_freshness(data)


@given(st.binary(max_size=64))
def test_any_bytes_are_a_message_or_are_refused(data):
    try:
        unpack_freshness(data)
    except FrameError:
        return


@pytest.mark.parametrize(
    ("clocks", "own", "wanted"),
    [
        ([], 1000.0, 1000.0),
        ([1000.1, 1000.2], 1000.0, 1000.1),
        # The clocks of single hosts may jump, including this host's own.
        ([1000.0, 1000.0], 1002.0, 1000.0),
        ([1002.0, 1000.0], 1000.0, 1000.0),
    ],
)
def test_the_time_of_day_is_the_median_of_the_hosts_clocks(clocks, own, wanted):
    clock = [50.0]
    median_clock = MedianClock(lambda: clock[0], lambda: own + clock[0] - 50.0)
    for number, wall in enumerate(clocks):
        median_clock.note(f"h{number}", wall)
    clock[0] += 1.0
    assert median_clock.now() == pytest.approx(wanted + 1.0)


# Declared workspaces.

SECRET = "k-very-secret"


def read_workspaces(*raw, **more):
    return read_configuration({"version": 3, "tenants": list(raw), **more}).workspaces


def test_workspaces_are_read_without_their_keys():
    (read,) = read_workspaces({"name": "club", "apiKeys": [SECRET, "other"], "priority": 1})
    assert (read.name, read.priority, len(read.key_digests)) == ("club", 1, 2)
    assert SECRET not in repr(read)
    assert read_configuration({"version": 3}).workspaces is None
    assert read_workspaces() == ()


@pytest.mark.parametrize(
    "raw",
    [
        None,
        "club",
        {"apiKeys": [SECRET]},
        {"name": "", "apiKeys": [SECRET]},
        {"name": "club", "apiKeys": SECRET},
        {"name": "club"},
        {"name": "club", "apiKeys": [SECRET, 7]},
        {"name": "club", "apiKeys": [SECRET, ""]},
        {"name": "club", "apiKeys": [SECRET], "priority": -1},
        {"name": "club", "apiKeys": [SECRET], "priority": "high"},
        {"name": "club", "apiKeys": [SECRET], "priority": True},
    ],
)
def test_an_invalid_workspace_is_refused_without_showing_a_key(raw):
    with pytest.raises(BadEntryError) as refusal:
        read_workspaces(raw)
    assert SECRET not in str(refusal.value)
    assert SECRET not in repr(refusal.value.value)


def test_two_workspaces_cannot_have_one_key():
    with pytest.raises(BadEntryError) as refusal:
        read_workspaces({"name": "a", "apiKeys": [SECRET]}, {"name": "b", "apiKeys": [SECRET]})
    assert SECRET not in str(refusal.value)


def test_an_invalid_entry_beside_workspaces_shows_no_key():
    raw = {"name": "club", "apiKeys": [SECRET]}
    with pytest.raises(BadEntryError) as refusal:
        read_workspaces(raw, routes=[{"name": "r"}])
    assert SECRET not in str(refusal.value)


def test_only_the_exact_key_finds_its_workspace():
    keys = WorkspaceKeys([Workspace("club", frozenset({digest_key(b"one")}), 1)])
    assert keys.find(b"one").name == "club"
    for wrong in (b"", b"on", b"one ", b"x" * 10_000, b"\xff"):
        assert keys.find(wrong) is None


@pytest.mark.parametrize(
    ("route_priority", "workspace", "wanted"),
    [(0, 0, True), (0, 1, False), (2, 0, True), (0, None, True), (2, None, False)],
)
def test_the_priority_of_a_workspace_replaces_that_of_the_route(route_priority, workspace, wanted):
    routes = [
        {**ROUTE, "type": "safe", "priority": route_priority},
        {**ROUTE, "name": "q", "pathPrefix": "/q/", "type": "safe", "priority": 0},
    ]
    raw = [{"name": "first", "apiKeys": ["a"], "priority": 0}, {"name": "mine", "apiKeys": ["b"]}]
    if workspace is not None:
        raw[1]["priority"] = workspace
    table = RouteTable(read_configuration({"version": 3, "routes": routes, "tenants": raw}))
    mine = table.keys.find(b"b")
    assert table.is_urgent(table.find("a.example", "/p/x"), "s", mine) is wanted


@pytest.mark.parametrize(
    ("bounds", "wanted"),
    [
        ({}, float("inf")),
        ({"strictRevoke": False, "revokeMs": 5000}, float("inf")),
        ({"strictRevoke": True, "revokeMs": 5000}, 5.0),
    ],
)
def test_the_bound_of_a_removed_key_is_a_setting(bounds, wanted):
    read = read_host_settings({**GOOD, "bounds": {**GOOD["bounds"], **bounds}})
    assert read.bounds.revocation_seconds == wanted
