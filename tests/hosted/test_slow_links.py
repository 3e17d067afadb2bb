"""Configuration versions whose transfer over a slow link exceeds the timeout of other calls."""

import asyncio

import pytest

from swifttrestle.internal.coordination.configuration.exchange import ConfigurationExchange
from swifttrestle.internal.coordination.membership.peer_listener import PeerListener
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.loopback import pick_ip, pick_port
from swifttrestle_standins.pieces import cut_pieces
from tests.hosted.sites import on_site

# Number of pieces of an answer, with a pause after each. Together, the pauses exceed the
# timeout of a call.
PIECES = 12
PAUSE_SECONDS = 0.25


class SlowLink:
    """Forwards streams to another address, and sends the answers in pieces with pauses."""

    def __init__(self, ip, port, target):
        self._address = (ip, port)
        self._target = target
        self._server = None

    async def open(self):
        self._server = await asyncio.start_server(self._accept, *self._address)

    def close(self):
        self._server.close()

    async def _accept(self, reader, writer):
        peer_reader, peer_writer = await asyncio.open_connection(self._target, self._address[1])
        try:
            peer_writer.write(await reader.readline())
            content = await peer_reader.read(-1)
            for piece in cut_pieces(content, PIECES):
                writer.write(piece)
                await asyncio.sleep(PAUSE_SECONDS)
        finally:
            writer.close()
            peer_writer.close()


@pytest.mark.parametrize("source", ["store", "peer"])
@on_site()
async def test_a_version_that_arrives_slowly_is_read_to_its_end(site, source):
    # Guards against a timeout for the whole transfer, which slow links exceed.
    watcher = site.gateways["g0"].gateway._configuration
    if source == "store":
        site.store.faults.pause_seconds = PAUSE_SECONDS
        site.store.faults.pieces = PIECES
        version = site.declare()
        await wait_until(lambda: watcher.version == version, "version in force")
        return
    port = pick_port(pick_ip(0))
    serving = PeerListener(pick_ip(1), port)
    ConfigurationExchange(serving, port, watcher)
    link = SlowLink(pick_ip(2), port, pick_ip(1))
    await serving.open()
    await link.open()
    fetched = FetchingWatcher()
    asking = ConfigurationExchange(PeerListener(pick_ip(3), port), port, fetched)
    asking.fetch_later("peer", pick_ip(2), watcher.version)
    try:
        await wait_until(lambda: fetched.received or asking._fetching.done(), "the fetch's end")
        assert fetched.received == [watcher.version]
    finally:
        link.close()
        serving.close()


class FetchingWatcher:
    """A configuration watcher without a version, which records the versions that it receives."""

    version = 0
    raw = None

    def __init__(self):
        self.received = []

    def apply_copy(self, copy, _):
        self.received.append(copy.raw["version"])


@on_site(gateways=2)
async def test_a_copy_from_a_peer_ends_the_read_of_the_same_version_from_the_store(site):
    # Guards against two copies of a large version that delay each other on a slow link.
    first, second = (site.gateways[name].gateway for name in ("g0", "g1"))
    for host in (first, second):
        await wait_until(lambda h=host: len(h.live_hosts()) == 2, "both hosts")
    began = asyncio.Event()

    async def read_without_end(*_):
        began.set()
        await asyncio.Event().wait()

    watch = second._store.watch
    second._store.watch = read_without_end
    await wait_until(began.is_set, "a read that does not end")
    second._store.watch = watch
    site.store.calls.clear()
    version = site.declare()
    revision = site.store.objects["config", "main"]["metadata"]["revision"]
    await wait_until(lambda: second.config_version == version, "version in force")
    asked = f"GET /v1/objects/config?watch={revision}&"
    await wait_until(
        lambda: sum(call.startswith(asked) for call in site.store.calls) == 2, "watches continue"
    )
    assert "GET /v1/objects/config" not in site.store.calls
