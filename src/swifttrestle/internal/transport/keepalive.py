"""TCP keepalive: has the kernel end a connection whose other end is gone."""

import socket


def set_keepalive(
    sock: socket.socket, idle_seconds: int, interval_seconds: int, probes: int
) -> None:
    """Probe after `idle_seconds`, then at each interval; end after so many without a response.

    Raises OSError.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval_seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
