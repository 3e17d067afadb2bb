"""Loopback addresses that are picked first and bound later, also after a restart."""

import os
import random
import socket
from collections import deque

# The range of picked ports, below that from which the kernel gives ports to outgoing connections.
FIRST_PORT = 10_000
END_PORT = 32_768
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
    """Return a port that is free for TCP and UDP at an address and was not picked recently.

    No outgoing connection from the address gets it before it is bound.
    """
    while True:
        port = random.randrange(FIRST_PORT, END_PORT)
        if port in _picked or not _is_free(ip, port):
            continue
        _picked.append(port)
        return port


def _is_free(ip: str, port: int) -> bool:
    with (
        socket.socket() as stream,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
    ):
        try:
            stream.bind((ip, port))
            datagram.bind((ip, port))
        except OSError:
            return False
    return True
