"""Versions that take longer on a link than a call usually takes."""

import asyncio

import pytest

from swifttrestle.internal.coordination.exchange import ConfigurationExchange
from swifttrestle_standins.hosted.site import wait_until
from swifttrestle_standins.loopback import pick_ip, pick_port
from swifttrestle_standins.pieces import cut_pieces
from tests.hosted.sites import on_site

# A whole answer takes this many pieces with a pause in seconds after each: 3 s, which is over the
# 2 s of a usual call.
PIECES = 12
PAUSE_SECONDS = 0.25


class ThinLink:
    """Passes streams on from one address to another, answers in pieces with pauses."""

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
    # A version of 4,248 routes, about a megabyte, was sent to hosts with links of 5 Mbit/s. Each
    # copy had a time for its whole, 1 s from a peer and 2 s from the store, and both shared the
    # link: one host received 520 to 650 KB/s for twelve seconds, logged "configuration not
    # fetched ... TimeoutError()" eight times, and answered 404 for a new route 3.17 s after the
    # version was acknowledged (bound 3 s).
    keeper = site.gateways["g0"].gateway._configuration
    if source == "store":
        site.store.faults.pause_seconds = PAUSE_SECONDS
        site.store.faults.pieces = PIECES
        version = site.declare()
        await wait_until(lambda: keeper.version == version, "version in force")
        return
    port = pick_port(pick_ip(0))
    serving = ConfigurationExchange(pick_ip(1), port, keeper)
    link = ThinLink(pick_ip(2), port, pick_ip(1))
    await serving.open()
    await link.open()
    fetched = FetchingKeeper()
    asking = ConfigurationExchange(pick_ip(3), port, fetched)
    asking.fetch_later("peer", pick_ip(2), keeper.version)
    try:
        await wait_until(lambda: fetched.taken or asking._fetching.done(), "the fetch's end")
        assert fetched.taken == [keeper.version]
    finally:
        link.close()
        serving.close()


class FetchingKeeper:
    """A keeper that knows nothing, and what it was given."""

    version = 0
    raw = None

    def __init__(self):
        self.taken = []

    def take_copy(self, copy, _):
        self.taken.append(copy.raw["version"])


@on_site(gateways=2)
async def test_a_copy_from_a_peer_ends_the_read_of_the_same_version_from_the_store(site):
    # Both copies of a large version shared one thin link, and each made the other late; requests
    # waited behind them for five seconds.
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
        lambda: sum(call.startswith(asked) for call in site.store.calls) == 2, "watches go on"
    )
    assert "GET /v1/objects/config" not in site.store.calls
