"""Invalid entries of other writers: each is skipped, and the others are used.

Guards against one malformed entry that makes every list and watch fail, and against invalid records
that are used as instances.
"""

import asyncio
import random

import orjson
import pytest

from swifttrestle.errors import BadEntryError, BadPlatformAnswerError
from swifttrestle.internal.coordination.discovery.discovery import Discovery
from swifttrestle.internal.coordination.store.entries import SkippedEntries, UpstreamEntries
from swifttrestle.internal.state.declared import Quota, QuotaUnit, Role
from swifttrestle.internal.state.fleet import Fleet
from swifttrestle.internal.state.routes import RouteTable
from swifttrestle.internal.state.store_epochs import StoreRevision
from swifttrestle.platform import objects
from swifttrestle.platform.records import read_configuration, read_upstream
from swifttrestle_standins.hosted.direct import DirectStore
from swifttrestle_standins.virtual_time import run_in_virtual_time
from tests.common.discovery import StandaloneRelay

GOOD = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "phase": "decode",
    "models": [],
    "seq": 7,
}
OMITTED = "(left out)"


def make_spec(**fields):
    changed = {**GOOD, **fields}
    return {name: value for name, value in changed.items() if value is not OMITTED}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *[("state", value) for value in ("banana", 3, None, OMITTED, "", ["ready"], True)],
        *[("service", value) for value in (7, ["s"], "", None, OMITTED, {"a": 1}, "s\ud800")],
        *[("zone", value) for value in ({"a": 1}, 4, "", OMITTED)],
        *[("slots", value) for value in (-3, 0, True, 1e300, 4.5, "4", OMITTED, 10**9)],
        *[
            ("address", value)
            for value in ("10.0.0.1:0", "engine.example:80", "10.0.0.1", ":80", 80, OMITTED)
        ],
        *[("address", value) for value in ("0.0.0.0:80", "224.0.0.1:80", "10.0.0.1:99999")],
        *[("phase", value) for value in ("reading", 1, ["decode"])],
        *[("born", value) for value in ("1", -1, 0, 1.5, True, [], 2**70)],
        *[("seq", value) for value in ("7", -1, True)],
        *[("version", value) for value in (1, "")],
        *[("coldRemainingMs", value) for value in ("0", -1)],
        ("models", {"m": 1}),
    ],
    ids=repr,
)
def test_an_invalid_field_of_a_record_is_named_in_the_error(field, value):
    with pytest.raises(BadEntryError) as caught:
        read_upstream("i", make_spec(**{field: value}))
    assert caught.value.field == field
    assert caught.value.reason


@pytest.mark.parametrize("spec", [None, 7, "text", [], [GOOD], True])
def test_a_record_that_is_not_a_map_is_refused(spec):
    with pytest.raises(BadEntryError, match="not a JSON object"):
        read_upstream("i", spec)


@pytest.mark.parametrize(
    ("fields", "role", "leaving", "born"),
    [
        ({}, Role.DECODE, False, 0),
        ({"phase": OMITTED, "models": OMITTED}, Role.NONE, False, 0),
        ({"phase": None, "state": "draining"}, Role.NONE, True, 0),
        ({"born": 1764720000000, "something": "new"}, Role.DECODE, False, 1764720000000),
        ({"seq": OMITTED, "version": OMITTED, "coldRemainingMs": 2.5}, Role.DECODE, False, 0),
    ],
)
def test_a_valid_record_is_read_with_unknown_or_missing_optional_fields(
    fields, role, leaving, born
):
    record = read_upstream("i", make_spec(**fields))
    assert (record.role, record.leaving, record.born) == (role, leaving, born)
    assert record.address == ("10.0.0.1", 80)


def read_workspaces(*changes):
    workspaces = [
        {"name": f"w{number}", "apiKeys": [f"key-of-w{number}"], **fields}
        for number, fields in enumerate(changes)
    ]
    return read_configuration({"version": 3, "tenants": workspaces})


@pytest.mark.parametrize(
    ("fields", "wanted"),
    [
        ({}, None),
        ({"unit": "tokens", "burst": 7, "uncachedTokens": 9}, None),
        ({"ratePerS": 0, "burst": 7}, None),
        ({"ratePerS": None}, None),
        ({"ratePerS": 12.5}, Quota(12.5, 0.0, QuotaUnit.REQUESTS, 0)),
        ({"ratePerS": 2**53, "unit": None, "burst": 2**53}, Quota(2.0**53, 2.0**53)),
        ({"ratePerS": 5, "unit": "requests", "burst": 2}, Quota(5.0, 2.0)),
        (
            {"unit": "tokens", "uncachedTokens": 200, "ratePerS": 279715, "burst": 279715},
            Quota(279715.0, 279715.0, QuotaUnit.TOKENS, 200),
        ),
    ],
    ids=repr,
)
def test_a_quota_is_read_with_defaults_for_missing_fields(fields, wanted):
    # Guards against a limit where the configuration has none, and the reverse.
    configuration = read_workspaces(fields, {})
    assert [item.quota for item in configuration.workspaces] == [wanted, None]
    table = RouteTable(configuration)
    found = [table.find_quota(name) for name in ("w0", "w1", "no-such-workspace")]
    assert found == [wanted, None, None]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *[("unit", value) for value in ("banana", "", "TOKENS", 1, True, ["tokens"])],
        *[
            (field, value)
            for field in ("ratePerS", "burst", "uncachedTokens")
            for value in (-1, -0.5, "7", True, [7], {}, 2**53 + 2, 1e300, float("nan"))
        ],
        ("uncachedTokens", 1.5),
    ],
    ids=repr,
)
@pytest.mark.parametrize("rate", [{}, {"ratePerS": 5}], ids=["no limit", "limit"])
def test_an_invalid_field_of_a_quota_is_named_and_the_version_not_applied(field, value, rate):
    # Guards against a version that is applied in part, and against a host that is ended by it.
    with pytest.raises(BadEntryError) as caught:
        read_workspaces({}, {**rate, field: value})
    assert (caught.value.field, repr(caught.value.value)) == (field, repr(value))
    assert "w1" in str(caught.value)
    assert caught.value.reason


def make_item(name="i", revision=3, spec=GOOD):
    return {"metadata": {"name": name, "revision": revision}, "spec": spec}


MALFORMED_ITEMS = [
    {},
    {"spec": GOOD},
    {"metadata": None, "spec": GOOD},
    {"metadata": {"name": "i"}, "spec": GOOD},
    {"metadata": {"revision": 3}, "spec": GOOD},
    make_item(name=7),
    make_item(name=""),
    make_item(revision="new"),
    make_item(revision=-1),
    make_item(revision=True),
    [],
    None,
    "item",
    b'{"metadata":{"name":"i","revision":3},"spec":{"service":"\xff\xfe"}}',
    b'{"metadata":{"name":"\xc3\x28","revision":3},"spec":{}}',
    b'{"metadata":{"name":"i","revision":3},"spec":{"slots":NaN}}',
    b'{"metadata":{"name":"i","revision":3},"spec":"\\ud800"}',
]


def write(items):
    return b"[" + b",".join(i if isinstance(i, bytes) else orjson.dumps(i) for i in items) + b"]"


@pytest.mark.parametrize("place", [0, 1, 2], ids=["first", "between", "last"])
@pytest.mark.parametrize("item", MALFORMED_ITEMS, ids=lambda item: repr(item)[:60])
def test_an_invalid_item_does_not_hide_others(item, place):
    items = [make_item("a"), make_item("z")]
    items.insert(place, item)
    answer = b'{"items":%s,"hasMore":false,"timestamp":9}' % write(items)
    page = objects.read_page("servers", objects.decode_answer("/", answer))
    assert [found.name for found in page.items] == ["a", "z"]
    assert len(page.malformed) == 1
    events = [b'{"removed":false,"object":%s}' % write([found])[1:-1] for found in items]
    watched = b'{"events":%s,"timestamp":9}' % write(events)
    changes = objects.read_changes("servers", objects.decode_answer("/", watched)).changes
    good = [found.item.name for found in changes if isinstance(found.item, objects.StoredObject)]
    assert good == ["a", "z"]


@pytest.mark.parametrize(
    "raw",
    [None, [], {}, {"items": []}, {"items": 3, "timestamp": 1}, {"items": [], "timestamp": "x"}],
)
def test_an_answer_that_is_not_a_list_is_an_error(raw):
    with pytest.raises(BadPlatformAnswerError):
        objects.read_page("servers", raw)


class PagedStore(DirectStore):
    """Lists the pages that a test sets, with invalid items."""

    def __init__(self, pages):
        super().__init__()
        self.pages = pages

    async def _answer(self, method, path, body=None):
        after = path.partition("after=")[2]
        number = int(after[1:]) + 1 if after else 0
        more = number + 1 < len(self.pages)
        return {"items": self.pages[number], "hasMore": more, "timestamp": 5}


@pytest.mark.parametrize(
    "pages",
    [
        [[{}, make_item("p0")], [make_item("p1")]],
        [[make_item("p0"), {}], [make_item("p1")]],
        [[make_item("p0"), {"metadata": {"name": "p0", "revision": "x"}}], [make_item("p1")]],
    ],
)
def test_paging_continues_after_an_invalid_item(pages):
    snapshot = asyncio.run(PagedStore(pages).list("servers"))
    assert [item.name for item in snapshot.items] == ["p0", "p1"]
    assert len(snapshot.malformed) == 1
    assert snapshot.complete


def test_a_page_without_any_name_ends_the_list_as_incomplete():
    pages = [[make_item("p0")], [{}, None], [make_item("p2")]]
    snapshot = asyncio.run(PagedStore(pages).list("servers"))
    assert [item.name for item in snapshot.items] == ["p0"]
    assert not snapshot.complete


class Host:
    """One host's discovery, with the fields that it skipped and the changes that it relayed."""

    def __init__(self):
        self.store = DirectStore()
        self.fleet = Fleet()
        self.skipped = []
        self.relayed = []
        relay = StandaloneRelay()
        relay.send = self.relayed.append
        relay.should_relay = lambda: True
        self.discovery = Discovery(
            self.store,
            self.fleet,
            random.Random(1),
            relay,
            changed=lambda: None,
            find_up_since=lambda: float("inf"),
            skipped=SkippedEntries(lambda kind, field: self.skipped.append(field)),
        )

    def put(self, name, **fields):
        self.store.stand_in.put("servers", name, make_spec(**fields))

    async def run(self):
        task = asyncio.ensure_future(self.discovery.run())
        # Past the time in which entries that expired before the start may be written again.
        await asyncio.sleep(5)
        return task

    def uses(self):
        return sorted(item.record.instance for item in self.fleet.list_service("s"))


def test_an_entry_that_becomes_invalid_is_not_used_until_its_next_valid_record():
    async def scenario():
        host = Host()
        for name in ("a", "b"):
            host.put(name)
        task = await host.run()
        assert host.uses() == ["a", "b"]
        host.put("a", state="banana")
        await asyncio.sleep(2)
        assert host.uses() == ["b"]
        assert host.relayed[-1].removed == ("a",)
        host.put("a")
        await asyncio.sleep(2)
        assert host.uses() == ["a", "b"]
        assert host.skipped == ["state"]
        task.cancel()

    run_in_virtual_time(scenario())


def test_an_invalid_entry_is_counted_once_for_each_content():
    async def scenario():
        host = Host()
        host.put("a", slots=-3)
        host.put("b")
        task = await host.run()
        host.store.stand_in.discard_history()
        host.put("b", slots=8)
        await asyncio.sleep(3)
        assert host.skipped == ["slots"]
        host.put("a", slots=-4)
        await asyncio.sleep(3)
        assert host.skipped == ["slots", "slots"]
        assert host.uses() == ["b"]
        task.cancel()

    run_in_virtual_time(scenario())


def test_a_change_is_relayed_although_a_second_one_follows_in_the_same_watch():
    # Guards against dropping a relayed change when a later one of the same watch is not relayed.
    async def scenario():
        host = Host()
        host.put("a")
        task = await host.run()
        host.put("a", state="draining")
        host.put("a", state="draining", coldRemainingMs=40)
        await asyncio.sleep(2)
        assert [record.leaving for message in host.relayed for record in message.records][-1]
        task.cancel()

    run_in_virtual_time(scenario())


def test_a_service_that_is_not_declared_is_not_used_until_it_is():
    fleet = Fleet()
    fleet.put(read_upstream("i", GOOD))
    fleet.declared = frozenset(("t",))
    assert fleet.list_service("s") == []
    assert fleet.list_engine_services() == []
    fleet.declared = frozenset(("s", "t"))
    assert [item.name for item in fleet.list_service("s")] == ["i"]
    assert fleet.list_engine_services() == ["s"]


def test_a_start_time_that_was_written_once_may_not_be_missing_later():
    fleet = Fleet()
    skipped = []
    entries = UpstreamEntries(fleet, SkippedEntries(lambda kind, field: skipped.append(field)))
    with_start = objects.StoredObject("servers", "i", StoreRevision(0, 1), make_spec(born=5))
    without_start = objects.StoredObject("servers", "i", StoreRevision(0, 2), GOOD)
    assert entries.read(with_start).born == 5
    assert entries.read(without_start) is None
    assert skipped == ["born"]
    entries.discard("i")
    assert entries.read(without_start).born == 0
