"""Low-overhead caller for the relay benchmark: opens many streams and counts their tokens.

Runs in a separate process, so that its CPU time is not counted as the entry's.
"""

import json
import selectors
import socket
import sys
import time
from typing import cast

from swifttrestle.internal.checks import parse_address

READ_BYTES = 1 << 18
TOKEN_MARK = b'"offset":'
DONE_MARK = b"data: [DONE]"


def open_stream(address: str, path: str, headers: str, body: bytes) -> socket.socket:
    """Send one request and return its non-blocking socket."""
    sock = socket.create_connection(parse_address(address), 30)
    head = f"POST {path} HTTP/1.1\r\nHost: bench\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    sock.sendall(head.encode() + body)
    sock.setblocking(False)
    return sock


def drain(sockets: list[socket.socket], deadline: float) -> dict[str, float]:
    """Read all sockets until they end or the deadline; count tokens and complete answers."""
    selector = selectors.DefaultSelector()
    for opened in sockets:
        selector.register(opened, selectors.EVENT_READ, [b""])
    tokens = whole = 0
    first = last = 0.0
    while selector.get_map() and time.monotonic() < deadline:
        for key, _ in selector.select(1.0):
            sock = cast(socket.socket, key.fileobj)
            data = sock.recv(READ_BYTES)
            if not data:
                selector.unregister(sock)
                sock.close()
                continue
            joined = key.data[0] + data
            tokens += joined.count(TOKEN_MARK) - key.data[0].count(TOKEN_MARK)
            whole += DONE_MARK in joined and DONE_MARK not in key.data[0]
            key.data[0] = joined[-len(DONE_MARK) :]
            last = time.monotonic()
            first = first or last
    return {"tokens": tokens, "whole": whole, "seconds": last - first}


def main() -> None:
    """Read the job from standard input, read all its streams and print the counts."""
    job = json.loads(sys.stdin.read())
    sockets = [
        open_stream(job["address"], job["path"], job["headers"], body.encode())
        for body in job["bodies"]
    ]
    sys.stdout.write(json.dumps(drain(sockets, time.monotonic() + job["seconds"])) + "\n")


if __name__ == "__main__":
    main()
