"""Picked loopback addresses stay free until they are bound."""

import contextlib
import socket
from pathlib import Path

from swifttrestle_standins.fleet import Fleet
from swifttrestle_standins.loopback import pick_ip, pick_port


def occupy_port(caller, fleet):
    """Bind a caller's socket to the port of a picked address on 127.0.0.1; return the address.

    A port of 127.0.0.1 may be in TIME_WAIT and cannot be bound then; another address is picked.
    """
    while True:
        host, port = fleet.pick_address().split(":")
        with contextlib.suppress(OSError):
            caller.bind(("127.0.0.1", int(port)))
            return host, int(port)


def test_an_outgoing_connection_does_not_take_an_address_that_was_picked(tmp_path):
    with socket.socket() as caller, socket.socket() as server:
        host, port = occupy_port(caller, Fleet(tmp_path))
        assert caller.getsockname() == ("127.0.0.1", port)
        server.bind((host, port))
        assert server.getsockname() == (host, port)


def test_no_two_processes_of_a_fleet_share_an_address(tmp_path):
    fleet = Fleet(tmp_path)
    hosts = [fleet.pick_address().split(":")[0] for _ in range(20)]
    assert len(set(hosts)) == len(hosts)


def test_no_port_is_picked_twice():
    # Several ports of one host are picked before any of them is bound.
    ports = [pick_port(pick_ip(number % 3)) for number in range(2000)]
    assert len(set(ports)) == len(ports)


def test_no_port_is_picked_that_an_outgoing_connection_may_get():
    # Hosts connect from their own addresses, also while they start.
    first = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    assert all(pick_port(pick_ip(0)) < first for _ in range(200))
