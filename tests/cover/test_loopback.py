"""Addresses that a fleet of processes picks stay its own until they are bound."""

import socket

from swifttrestle_standins.fleet import Fleet
from swifttrestle_standins.loopback import pick_ip, pick_port


def test_an_outgoing_connection_does_not_take_an_address_that_was_picked(tmp_path):
    host, port = Fleet(tmp_path).pick_address().split(":")
    with socket.socket() as caller, socket.socket() as server:
        # The port that the system might give to any outgoing connection over loopback.
        caller.bind(("127.0.0.1", int(port)))
        server.bind((host, int(port)))
        assert server.getsockname() == (host, int(port))


def test_no_two_processes_of_a_fleet_share_an_address(tmp_path):
    fleet = Fleet(tmp_path)
    hosts = [fleet.pick_address().split(":")[0] for _ in range(20)]
    assert len(set(hosts)) == len(hosts)


def test_no_port_is_picked_twice():
    # Ports of one host are picked before any of them is bound: by chance two were the same.
    ports = [pick_port(pick_ip(number % 3)) for number in range(2000)]
    assert len(set(ports)) == len(ports)
