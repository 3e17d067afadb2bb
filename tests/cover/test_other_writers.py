"""Any input of other writers is read or refused with a typed error, without affecting the rest."""

import json

import msgpack
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from swifttrestle.errors import (
    BadEntryError,
    BadPlatformAnswerError,
    FrameError,
    UpstreamBrokenError,
)
from swifttrestle.internal.coordination.store.entries import SkippedEntries, UpstreamEntries
from swifttrestle.internal.protocol.bookings import (
    BookingQuery,
    Grant,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.protocol.copies import unpack_copy
from swifttrestle.internal.protocol.gossip import PeerReport, pack_report, unpack_report
from swifttrestle.internal.protocol.listings import ListingChanges, pack_changes, unpack_changes
from swifttrestle.internal.protocol.rosters import unpack_roster_message
from swifttrestle.internal.state.bookings import BookingRequest
from swifttrestle.internal.state.declared import Configuration, UpstreamRecord
from swifttrestle.internal.state.duties import read_duty_lease
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.routes import RouteTable
from swifttrestle.internal.state.store_epochs import StoreRevision
from swifttrestle.platform import objects
from swifttrestle.platform.engine import read_cached_parts, read_handle, read_report
from swifttrestle.platform.records import read_configuration, read_upstream

SEEDED = settings(derandomize=True, max_examples=300, deadline=None, database=None)

LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(-(2**63), 2**63 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["ready", "draining", "decode", "10.0.0.1:80", "s", "a"])
)
JSON = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
GOOD = {
    "service": "s", "address": "10.0.0.1:80", "zone": "a", "version": "v1", "slots": 4,
    "state": "ready", "coldRemainingMs": 0, "phase": "decode", "models": [], "seq": 7,
    "born": 1764720000000,
}  # fmt: skip
# Valid entries with some fields replaced or left out.
ENTRIES = st.builds(
    lambda changed, dropped: {k: v for k, v in {**GOOD, **changed}.items() if k not in dropped},
    st.dictionaries(st.sampled_from(sorted(GOOD)), JSON, max_size=3),
    st.sets(st.sampled_from(sorted(GOOD)), max_size=2),
)
ROUTE = {
    "name": "r", "host": "h", "pathPrefix": "/a/", "type": "safe", "timeoutMs": 100,
    "service": "s", "targetLatencyMs": 50, "priority": 0, "maxAttempts": 1,
}  # fmt: skip
ROUTES = st.builds(
    lambda changed: {**ROUTE, **changed},
    st.dictionaries(st.sampled_from([*sorted(ROUTE), "backends"]), JSON, max_size=2),
)


def write(value):
    return json.dumps(value).encode()


def make_item(name, spec):
    return {"metadata": {"name": name, "revision": 1}, "spec": spec}


def is_plain(value):
    """Return whether the value survives JSON unchanged."""
    try:
        return orjson.loads(orjson.dumps(value)) == value
    except (TypeError, ValueError):
        return False


@SEEDED
@given(JSON | ENTRIES)
def test_an_entry_is_read_as_a_complete_record_or_refused(spec):
    try:
        record = read_upstream("i", spec)
    except BadEntryError as error:
        assert error.field and error.reason
        return
    assert isinstance(record, UpstreamRecord)
    assert record.slots >= 1 and record.service and record.zone and 0 < record.address[1] < 65536


@SEEDED
@given(
    st.lists(
        JSON | ENTRIES.map(lambda spec: {"metadata": {"name": "x", "revision": 1}, "spec": spec}),
        max_size=4,
    ),
    st.data(),
)
def test_valid_items_are_read_among_any_others(others, data):
    others = [item for item in others if is_plain(item)]
    good = [make_item(name, GOOD) for name in ("g0", "g1")]
    items = data.draw(st.permutations([*others, *good]))
    raw = objects.decode_answer("/", write({"items": items, "timestamp": 1}))
    page = objects.read_page("servers", raw)
    entries = UpstreamEntries(Fleet(), SkippedEntries(lambda kind, field: None))
    fleet = Fleet()
    for item in (*page.malformed, *page.items):
        record = entries.read(item)
        if record is not None:
            fleet.put(record)
    assert {"g0", "g1"} <= fleet.list_names()
    assert len(page.items) + len(page.malformed) == len(items)


@SEEDED
@given(st.binary(max_size=40))
def test_any_bytes_in_one_entry_do_not_hide_another(content):
    # A string that is not UTF-8 ends at the next quotation mark, so those are left out.
    text = content.replace(b'"', b"").replace(b"\\", b"")
    other = b'{"metadata":{"name":"x","revision":1},"spec":{"service":"%s"}}' % text
    good = write(make_item("g", GOOD))
    raw = objects.decode_answer("/", b'{"items":[%s,%s],"timestamp":1}' % (other, good))
    page = objects.read_page("servers", raw)
    assert page.items[-1].name == "g"


@SEEDED
@given(st.binary(max_size=60) | JSON.map(write))
def test_any_answer_of_the_store_is_read_or_refused(content):
    for read in (objects.read_page, objects.read_changes):
        try:
            read("servers", objects.decode_answer("/", content))
        except BadPlatformAnswerError:
            continue


@SEEDED
@given(st.binary(max_size=60) | JSON.map(write))
def test_any_answer_of_an_engine_is_read_or_counts_as_broken(content):
    for read in (read_report, read_handle, read_cached_parts):
        try:
            read(content)
        except UpstreamBrokenError:
            continue


@SEEDED
@given(
    JSON
    | st.fixed_dictionaries(
        {"version": JSON, "routes": st.lists(ROUTES | JSON, max_size=2), "services": JSON}
    )
)
def test_any_configuration_is_read_completely_or_refused(spec):
    try:
        configuration = read_configuration(spec)
    except BadEntryError:
        return
    assert isinstance(configuration, Configuration)
    RouteTable(configuration)


@SEEDED
@given(
    JSON
    | st.fixed_dictionaries({"holder": JSON, "incarnation": JSON, "token": JSON, "orders": JSON})
)
def test_any_lease_is_read_completely_or_refused(spec):
    try:
        lease = read_duty_lease(spec)
    except BadEntryError:
        return
    assert read_duty_lease(lease.spec()) == lease


def pack(value):
    try:
        return msgpack.packb(value)
    except (OverflowError, ValueError, UnicodeEncodeError):
        return b"\xc1"


REPORT = PeerReport("h", "10.0.0.1", "a", 10.0, 1, 2, False, False, False, 1.0, {}, {}, {})
ASK = BookingQuery(1, BookingRequest("s", "a", 10, "p", 0, True, 1.0, 0.1, 0.1))


def replace_values(data):
    """Return datagrams of a message with some values replaced."""
    values = msgpack.unpackb(data)
    changes = st.dictionaries(st.integers(0, len(values) - 1), JSON, max_size=3)
    return changes.map(lambda new: pack([new.get(n, value) for n, value in enumerate(values)]))


GOOD_DATAGRAMS = (
    pack_report(REPORT),
    pack_message("h", ASK),
    pack_message("h", Grant(1, "e", "d", 10, 0.1)),
    pack_changes(
        ListingChanges(
            StoreRevision(0, 1), StoreRevision(0, 2), 0.0, (read_upstream("i", GOOD),), ("gone",)
        )
    ),
)
DATAGRAMS = st.binary(max_size=60) | JSON.map(pack)


@pytest.mark.parametrize(
    "unpack", [unpack_report, unpack_message, unpack_changes, unpack_roster_message, unpack_copy]
)
@SEEDED
@given(
    data=DATAGRAMS
    | replace_values(pack_report(REPORT))
    | replace_values(pack_message("h", ASK))
    | st.lists(JSON, min_size=1, max_size=9).map(pack)
)
def test_any_datagram_is_read_or_refused_with_a_frame_error(unpack, data):
    try:
        unpack(data)
    except FrameError:
        return
