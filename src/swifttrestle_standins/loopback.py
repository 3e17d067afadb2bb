"""Loopback addresses that are picked first and bound later, also again after a restart."""

import os
import socket


def pick_ip(number: int) -> str:
    """Return a loopback address of this process alone.

    A port is picked first and bound later; on an address of its own no other process, and no
    outgoing connection, can take it in between.
    """
    high, low = divmod(os.getpid(), 250)
    return f"127.{1 + high % 250}.{1 + low}.{number + 1}"


def pick_port(ip: str) -> int:
    """Return a port that is free at an address for TCP and UDP now."""
    while True:
        with (
            socket.socket() as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind((ip, 0))
            port: int = stream.getsockname()[1]
            try:
                datagram.bind((ip, port))
            except OSError:
                continue
            return port
