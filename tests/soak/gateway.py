"""Starts a gateway whose dialer lists its connections to upstreams and can be cut.

The proxies can't refuse the connections of one host alone, and peers are asked to relay only those
that are not established.
"""

import asyncio
import contextlib
import json
import os
import runpy
import time
from pathlib import Path

import swifttrestle.gateway
from swifttrestle.internal.forward.handler import GatewayHandler
from swifttrestle.internal.transport.datagrams import PeerSocket
from swifttrestle.internal.transport.dialer import CONNECT_TIMEOUT_SECONDS, Dialer
from swifttrestle_standins.hosted.cuts import Cut, make_cut_error

PROGRAM = Path(__file__).resolve().parents[2] / "deploy" / "gateway.py"
# The file that names the cut while there is one, and the file in which the dialer lists the ends
# of its connections (its own port and the upstream's) with their times.
CUT_FILE, DIALED_FILE = "SOAK_CUT_FILE", "SOAK_DIALED_FILE"
# The file that names the peers' IPs and the upstreams' addresses that the process can't reach. With
# DATAGRAMS_TO before it, an IP is one to which its datagrams are lost, while those from it arrive.
DATAGRAMS_TO = "datagrams to "
UNREACHABLE_FILE = "SOAK_UNREACHABLE_FILE"
# The environment variable with the processor time of a request, in milliseconds.
COST_VARIABLE = "SOAK_REQUEST_MS"


class CuttableDialer(Dialer):
    """Lists its connections; establishes none while its file names a cut."""

    def __init__(self, cut_file, dialed_file):
        super().__init__()
        self._cut_file = cut_file
        self._dialed = os.open(dialed_file, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    async def dial(self, address):
        cut = self._read_cut()
        if cut is Cut.HANG:
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
        if cut is not None:
            raise make_cut_error(address, cut)
        connection = await super().dial(address)
        local = connection.transport.get_extra_info("sockname")
        if local is not None:
            os.write(self._dialed, b"%d %d %f\n" % (local[1], address[1], time.monotonic()))
        cut = self._read_cut()
        if cut is not None:
            connection.close()
            raise make_cut_error(address, cut)
        return connection

    def _read_cut(self):
        # There is no file, or it is being written.
        with contextlib.suppress(OSError, KeyError):
            return Cut[self._cut_file.read_text()]
        return None


class CuttableGateway(swifttrestle.gateway.Gateway):
    """A gateway whose paths to upstreams can be cut, also those that no peer relays."""

    def __init__(self, settings):
        super().__init__(settings)
        files = [Path(os.environ[name]) for name in (CUT_FILE, DIALED_FILE)]
        for pool in (self._state.pool, self._state.direct_pool):
            pool.dialer = CuttableDialer(*files)


def read_dialed(file):
    """Return the time of the last connection with each pair of ends."""
    try:
        lines = file.read_text().splitlines()
    except FileNotFoundError:
        return {}
    fields = [line.split() for line in lines]
    return {(int(local), int(remote)): float(at) for local, remote, at in fields}


def slow_down_handler():
    """Let each request of this process's gateway take processor time."""
    seconds = float(os.environ.get(COST_VARIABLE, "0")) / 1000
    if not seconds:
        return
    handle = GatewayHandler.handle

    async def handle_slowly(self, request, reply):
        end = time.process_time() + seconds
        while time.process_time() < end:
            pass
        await handle(self, request, reply)

    GatewayHandler.handle = handle_slowly


def cut_off(file):
    """Let this process reach none of the peers and upstreams that a file names, if there is one."""
    connect = asyncio.BaseEventLoop.create_connection
    send, receive = PeerSocket.send, PeerSocket.datagram_received

    def is_cut_off(*names):
        # There is no file, or it is being written.
        with contextlib.suppress(OSError, ValueError):
            return not set(names).isdisjoint(json.loads(file.read_text()))
        return False

    async def connect_if_reachable(self, factory, host=None, port=None, **options):
        if is_cut_off(host, f"{host}:{port}"):
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise TimeoutError
        return await connect(self, factory, host, port, **options)

    def send_if_reachable(self, ip, kind, data):
        if not is_cut_off(ip, DATAGRAMS_TO + ip):
            send(self, ip, kind, data)

    def receive_if_reachable(self, data, addr):
        if not is_cut_off(addr[0]):
            receive(self, data, addr)

    asyncio.BaseEventLoop.create_connection = connect_if_reachable
    PeerSocket.send, PeerSocket.datagram_received = send_if_reachable, receive_if_reachable


if __name__ == "__main__":
    slow_down_handler()
    cut_off(Path(os.environ[UNREACHABLE_FILE]))
    swifttrestle.gateway.Gateway = CuttableGateway
    runpy.run_path(str(PROGRAM))
