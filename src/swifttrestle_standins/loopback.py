"""Loopback addresses that are picked first and bound later, also again after a restart."""

import os
import socket
from collections import deque

# Ports picked before that are not picked again: a few of them belong to one host, and are bound
# later. One host's port for callers was that of all hosts' exchange, once in some hundred runs of
# the tests: its callers' connections were closed without an answer.
_picked: deque[int] = deque(maxlen=4096)


def pick_ip(number: int) -> str:
    """Return a loopback address of this process alone.

    A port is picked first and bound later; on an address of its own no other process, and no
    outgoing connection, can take it in between.
    """
    high, low = divmod(os.getpid(), 250)
    return f"127.{1 + high % 250}.{1 + low}.{number + 1}"


def pick_port(ip: str) -> int:
    """Return a port that is free at an address for TCP and UDP now, another one each time."""
    while True:
        with (
            socket.socket() as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind((ip, 0))
            port: int = stream.getsockname()[1]
            if port in _picked:
                continue
            try:
                datagram.bind((ip, port))
            except OSError:
                continue
            _picked.append(port)
            return port
