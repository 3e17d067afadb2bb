"""Cuts of hosts reach their connections, from before and new ones, and those of no other host."""

import asyncio
import functools
import json
from types import SimpleNamespace

import pytest

from swifttrestle.errors import UpstreamUnreachedError
from swifttrestle.internal.transport.datagrams import DatagramKind, PeerSocket
from swifttrestle_standins.hosted.cuts import Cut
from tests.soak.cuts import HostCuts
from tests.soak.gateway import CuttableDialer, cut_off
from tests.soak.processes import split_address
from tests.soak.proxy import Proxy

# Time in which nothing must arrive.
HOLD_SECONDS = 0.2


class EchoingSite:
    """Two hosts, and a proxy before an upstream that echoes."""

    def __init__(self, folder):
        self.hosts = {
            name: SimpleNamespace(
                cut_file=folder / f"{name}.cut", dialed_file=folder / f"{name}.dialed"
            )
            for name in ("g0", "g1")
        }
        self.dialers = {
            name: CuttableDialer(host.cut_file, host.dialed_file)
            for name, host in self.hosts.items()
        }
        self.cuts = HostCuts(self.hosts)

    async def start(self):
        self._upstream = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.proxy = Proxy(self._upstream.sockets[0].getsockname()[:2], self.cuts)
        self.address = split_address(await self.proxy.open())

    async def connect(self, name):
        """Connect as a host; return the reader and the writer."""
        connection = await self.dialers[name].dial(self.address)
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        protocol.connection_made(connection.transport)
        connection.transport.set_protocol(protocol)
        loop = asyncio.get_running_loop()
        return reader, asyncio.StreamWriter(connection.transport, protocol, reader, loop)

    def close(self):
        self.proxy.close()
        self._upstream.close()


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)


def on_echoing_site(test):
    @functools.wraps(test)
    def run(tmp_path, *args, **kwargs):
        async def run_on_site():
            site = EchoingSite(tmp_path)
            await site.start()
            try:
                await asyncio.wait_for(test(site, *args, **kwargs), 10)
            finally:
                site.close()

        asyncio.run(run_on_site())

    return run


async def exchange(reader, writer, data=b"data"):
    writer.write(data)
    return await reader.readexactly(len(data))


async def find_state(reader, writer):
    """Return whether a connection is open, held or reset."""
    try:
        async with asyncio.timeout(HOLD_SECONDS):
            return "open" if await exchange(reader, writer) else "reset"
    except TimeoutError:
        return "held"
    except (asyncio.IncompleteReadError, ConnectionError):
        return "reset"


STATES = {Cut.HANG: "held", Cut.RESET: "reset", Cut.REFUSE: "open"}


@pytest.mark.parametrize("form", list(Cut), ids=lambda form: form.name.lower())
def test_a_cut_reaches_the_open_connections_of_its_host_alone(tmp_path, form):
    @on_echoing_site
    async def run(site):
        cut, other = [await site.connect(name) for name in ("g0", "g1")]
        for connection in (cut, other):
            assert await exchange(*connection) == b"data"
        site.cuts.start("g0", form)
        assert await find_state(*cut) == STATES[form]
        assert await find_state(*other) == "open"

    run(tmp_path)


@pytest.mark.parametrize("form", list(Cut), ids=lambda form: form.name.lower())
def test_a_cut_host_establishes_no_connection_until_its_cut_ends(tmp_path, form):
    @on_echoing_site
    async def run(site):
        site.cuts.start("g0", form)
        with pytest.raises(UpstreamUnreachedError) as raised:
            await site.connect("g0")
        assert raised.value.refused is (form is not Cut.HANG)
        assert await exchange(*await site.connect("g1")) == b"data"
        site.cuts.end("g0")
        assert await exchange(*await site.connect("g0")) == b"data"

    run(tmp_path)


def test_what_a_cut_held_arrives_after_it(tmp_path):
    @on_echoing_site
    async def run(site):
        reader, writer = await site.connect("g0")
        assert await exchange(reader, writer) == b"data"
        site.cuts.start("g0", Cut.HANG)
        assert await find_state(reader, writer) == "held"
        site.cuts.end("g0")
        assert await reader.readexactly(4) == b"data"

    run(tmp_path)


def test_an_order_is_recorded_with_the_host_that_dialed_its_connection(tmp_path):
    @on_echoing_site
    async def run(site):
        order = b'POST /v1/order HTTP/1.1\r\n\r\n{"holder":"g0@127.0.0.1"}'
        for name in ("g0", "g1"):
            await exchange(*await site.connect(name), order)
        assert site.proxy.orders == [("g0", "g0"), ("g1", "g0")]

    run(tmp_path)


@pytest.mark.parametrize(("is_listed", "state"), [(True, "held"), (False, "open")])
def test_a_cut_from_some_upstreams_holds_the_connections_to_these_alone(tmp_path, is_listed, state):
    @on_echoing_site
    async def run(site):
        cut, other = [await site.connect(name) for name in ("g0", "g1")]
        for connection in (cut, other):
            assert await exchange(*connection) == b"data"
        listed = "{}:{}".format(*site.address) if is_listed else "127.0.0.1:1"
        site.cuts.start_part("g0", [listed])
        assert await find_state(*cut) == state
        assert await find_state(*other) == "open"
        site.cuts.end_part("g0")

    run(tmp_path)


@pytest.fixture
def unreachable(tmp_path, monkeypatch):
    """Return the file that names what this process can't reach."""
    # Restores the functions that `cut_off` replaces.
    connect = asyncio.BaseEventLoop.create_connection
    monkeypatch.setattr(asyncio.BaseEventLoop, "create_connection", connect)
    for name in ("send", "datagram_received"):
        monkeypatch.setattr(PeerSocket, name, getattr(PeerSocket, name))
    file = tmp_path / "unreachable"
    cut_off(file)
    return file


@pytest.mark.parametrize("is_listed", [True, False])
def test_a_process_connects_to_no_address_that_its_file_names(tmp_path, unreachable, is_listed):
    @on_echoing_site
    async def run(site):
        assert await exchange(*await site.connect("g0")) == b"data"
        address = "{}:{}".format(*site.address)
        unreachable.write_text(json.dumps([address] if is_listed else ["127.0.0.1:1"]))
        if is_listed:
            with pytest.raises(UpstreamUnreachedError):
                await site.connect("g0")
            unreachable.unlink()
        assert await exchange(*await site.connect("g0")) == b"data"

    run(tmp_path)


@pytest.mark.parametrize(("listed", "received"), [([], 2), (["127.0.0.2"], 0), (["127.0.0.3"], 2)])
def test_a_process_exchanges_no_datagrams_with_peers_that_its_file_names(
    unreachable, listed, received
):
    socket, sent = PeerSocket("127.0.0.1", 1), []
    socket._transport = SimpleNamespace(sendto=lambda data, _: sent.append(data))
    socket.set_receiver(DatagramKind.QUOTA, lambda data, _: sent.append(data))
    unreachable.write_text(json.dumps(listed))
    socket.send("127.0.0.2", DatagramKind.QUOTA, b"x")
    socket.datagram_received(bytes((DatagramKind.QUOTA,)) + b"x", ("127.0.0.2", 1))
    assert len(sent) == received
