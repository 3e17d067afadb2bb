"""Loopback addresses that are picked first and bound later, also after a restart."""

import os
import socket
from collections import deque

# Recently picked ports, which are not picked again: several ports of one host are picked before any
# of them is bound, and must differ. If callers' port were also the exchange's, callers' connections
# would be closed without an answer.
_picked: deque[int] = deque(maxlen=4096)


def pick_ip(number: int) -> str:
    """Return a loopback address that only this process uses.

    No other process and no outgoing connection can take a port of it between picking and binding.
    """
    high, low = divmod(os.getpid(), 250)
    return f"127.{1 + high % 250}.{1 + low}.{number + 1}"


def pick_port(ip: str) -> int:
    """Return a port that is free for TCP and UDP at an address and was not picked recently."""
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
