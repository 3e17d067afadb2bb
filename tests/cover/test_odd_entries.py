"""Entries with odd values hide no others, and what is taken of them can be passed on."""

import asyncio

import orjson
import pytest

from swifttrestle.errors import (
    BadEntryError,
    FrameError,
    UpstreamBrokenError,
    UpstreamUnreachedError,
)
from swifttrestle.internal.coordination.store.entries import UpstreamEntries
from swifttrestle.internal.protocol.listings import ListingChanges, pack_changes, unpack_changes
from swifttrestle.internal.protocol.stream_builds import (
    StreamNote,
    pack_message,
    unpack_message,
)
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.store_epochs import StoreRevision
from swifttrestle.internal.state.stream_builds import StreamOrigin
from swifttrestle.internal.transport.dialer import Dialer
from swifttrestle.platform.engine import read_handle
from swifttrestle.platform.objects import MalformedObject, decode_answer, read_changes, read_page
from swifttrestle.platform.records import read_upstream
from swifttrestle_standins.hosted.direct import DirectStore
from tests.common.fakes import make_skipped_entries
from tests.common.odd_entries import ADDRESSES, SPEC, list_odd_entries, list_odd_names, write_entry

ODD = list_odd_entries()
EACH_ENTRY = pytest.mark.parametrize("entry", ODD.values(), ids=ODD)
NAMES = list_odd_names()
EACH_NAME = pytest.mark.parametrize("name", NAMES.values(), ids=NAMES)
# Four pages of the store.
MANY = 200
CONTROLS = ("\0", "\n", "\r\nX-Other: 1", "\x1f", "\x7f")


def read_all(items):
    """Return the records that a host uses of some items."""
    entries = UpstreamEntries(Fleet(), make_skipped_entries())
    return [record for record in map(entries.read, items) if record is not None]


@EACH_ENTRY
@pytest.mark.parametrize("count", [1, 20])
def test_others_are_read_beside_odd_entries(entry, count):
    items = [write_entry("first"), *[entry] * count, write_entry("last")]
    content = b'{"items":[%b],"hasMore":false,"timestamp":9}' % b",".join(items)
    page = read_page("servers", decode_answer("/", content))
    records = read_all((*page.items, *page.malformed))
    assert {"first", "last"} <= {record.instance for record in records}
    events = b",".join(b'{"removed":false,"object":%b}' % item for item in items)
    content = b'{"events":[%b],"timestamp":9}' % events
    changes = read_changes("servers", decode_answer("/", content)).changes
    assert {"first", "last"} <= {record.instance for record in read_all(c.item for c in changes)}


@EACH_ENTRY
def test_a_record_that_is_taken_can_be_passed_on_to_peers(entry):
    content = b'{"items":[%b],"timestamp":9}' % entry
    page = read_page("servers", decode_answer("/", content))
    malformed = tuple(item.name for item in page.malformed if item.name)
    for record in read_all(page.items):
        changes = ListingChanges(StoreRevision(0, 1), StoreRevision(0, 2), 0.0, (record,))
        assert unpack_changes(pack_changes(changes)) == changes
        note = StreamNote(b"stream", StreamOrigin(record.service, record.build))
        assert unpack_message(pack_message(note)) == note
    changes = ListingChanges(StoreRevision(0, 1), StoreRevision(0, 2), 0.0, (), malformed)
    assert unpack_changes(pack_changes(changes)) == changes


@pytest.mark.parametrize("address", [*ADDRESSES.values(), "::1:1", "127.255.255.255:9"], ids=repr)
def test_an_address_that_is_taken_can_be_dialed(address):
    # An error of another kind ends a request without any answer.
    try:
        record = read_upstream("i", {**SPEC, "address": address})
    except BadEntryError:
        return
    with pytest.raises(UpstreamUnreachedError):
        asyncio.run(Dialer().dial(record.address))


@EACH_NAME
def test_a_list_goes_on_behind_pages_of_odd_names(name):
    async def list_names():
        store = DirectStore()
        for number in range(MANY):
            written = orjson.dumps(name[0])[:-1] + b'%04d"' % number if not name[1] else name[1]
            entry = write_entry("odd", metadata={"name": written})
            store.stand_in.put_raw("servers", f"{name[0]}{number:04d}", entry)
        for good in ("a0", "z9"):
            store.stand_in.put("servers", good, orjson.loads(orjson.dumps(SPEC)))
        snapshot = await store.list("servers")
        assert snapshot.complete
        return {record.instance for record in read_all(snapshot.items)}

    assert {"a0", "z9"} <= asyncio.run(list_names())


@pytest.mark.parametrize("control", CONTROLS, ids=repr)
@pytest.mark.parametrize("field", ["service", "zone", "version"])
def test_a_text_with_a_control_character_is_refused(field, control):
    entry = write_entry("odd", {field: "a" + control})
    page = read_page("servers", decode_answer("/", b'{"items":[%b],"timestamp":9}' % entry))
    assert read_all(page.items) == []


@pytest.mark.parametrize("control", CONTROLS, ids=repr)
def test_a_name_with_a_control_character_is_refused(control):
    # Names are sent in request heads.
    entry = write_entry("a" + control)
    page = read_page("servers", decode_answer("/", b'{"items":[%b],"timestamp":9}' % entry))
    assert [type(item) for item in page.malformed] == [MalformedObject]


@pytest.mark.parametrize("control", CONTROLS, ids=repr)
def test_an_engines_handle_with_a_control_character_is_refused(control):
    # Handles are sent to other engines in request heads.
    with pytest.raises(UpstreamBrokenError):
        read_handle(orjson.dumps({"kvHandle": "h" + control, "tokens": 1}))


RECORD = read_upstream("i", {**SPEC, "leaves_ms": 1000})
SENT = pack_changes(ListingChanges(StoreRevision(0, 1), StoreRevision(0, 2), 0.0, (RECORD,), ()))


@pytest.mark.parametrize(
    ("place", "value"),
    [
        (1, ""), (1, "x" * 300), (1, "a\n"), (3, ""), (3, "x" * 300), (10, "x" * 300),
        (2, ["10.0.0.1", 70000]), (2, ["10.0.0.1", -1]), (2, ["10.0.0.1", 0]),
        (2, ["10.0.0.1", 2**64 - 1]), (2, ["host.example", 80]), (2, ["0.0.0.0", 80]),
        (2, ["10.0.0.1\0", 80]), (2, ["255.255.255.255", 80]), (4, 0), (4, -5), (4, 10**18),
        (7, -7), (7, 2**63), (9, -1.0), (0, "a\n"), (0, "x" * 300),
    ],
    ids=repr,
)  # fmt: skip
def test_a_peers_record_is_checked_as_the_stores(place, value):
    import msgpack

    values = msgpack.unpackb(SENT)
    values[3][0][place] = value
    with pytest.raises(FrameError):
        unpack_changes(msgpack.packb(values))
