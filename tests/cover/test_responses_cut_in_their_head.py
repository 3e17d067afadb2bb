"""Responses that end inside their head, or inside their framing, to the blocking clients.

Guards against a 200 without a body made of a response whose upstream stopped in its head.
"""

import socket
import struct
import threading

import pytest

from swifttrestle.errors import SwifttrestleError, UpstreamBrokenError
from swifttrestle.internal.protocol.calls import EngineCall, call_plain, open_stream, start_prefill
from swifttrestle.internal.protocol.engine import HttpEngine
from swifttrestle.internal.protocol.platform import RestObjectApi

TIMEOUT_SECONDS = 5.0
CALL = EngineCall("r1", 1, 0, 10, "m", "v", "", "hello", "normal")
CONTENT = (
    b'{"handle": "h1", "boot": "b1", "model": "m", "version": 7, "changing": false, "active": 0, '
    b'"last_order": "", "kind": "k", "name": "n", "spec": {}, "objects": []}'
)
TYPE = b"Content-Type: application/json\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % len(CONTENT)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"%x\r\n%b\r\n0\r\n\r\n" % (len(CONTENT), CONTENT)
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
# Whole responses by their framing.
RESPONSES = {
    "length": OK + TYPE + LENGTH + CONTENT,
    "length first": OK + LENGTH[:-2] + TYPE + b"\r\n" + CONTENT,
    "chunks": OK + TYPE + CHUNKED + CHUNKS,
    "behind 100": b"HTTP/1.1 100 Continue\r\n\r\n" + OK + TYPE + LENGTH + CONTENT,
    "behind 103": HINTS + OK + TYPE + LENGTH + CONTENT,
    "behind two": HINTS + b"HTTP/1.1 100 Continue\r\n\r\n" + OK + TYPE + CHUNKED + CHUNKS,
    "until the end": OK + TYPE + b"\r\n" + CONTENT,
}


class CuttingServer:
    """Sends `data` in response to each request, and ends the connection."""

    def __init__(self, reset):
        self.data = b""
        self._reset = reset
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._listener.close()

    def _serve(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            with sock:
                received = b""
                while b"\r\n\r\n" not in received:
                    received += sock.recv(65536)
                sock.sendall(self.data)
                if self._reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                else:
                    sock.shutdown(socket.SHUT_WR)
                    sock.settimeout(TIMEOUT_SECONDS)
                    while sock.recv(65536):
                        pass


def read_plain(address):
    return call_plain(address, "/a", b"", {}, connect_seconds=1.0, seconds=TIMEOUT_SECONDS).body


def read_prefill(address):
    return start_prefill(address, CALL, 1.0, TIMEOUT_SECONDS)


def read_stream(address):
    stream = open_stream(address, CALL, 1.0, TIMEOUT_SECONDS)
    stream.sock.close()
    return stream.first


def read_state(address):
    return HttpEngine(address).read_state()


def read_object(address):
    return RestObjectApi(f"http://{address}", "test", "").read("k", "n")


# Clients, and whether they tell from a response's framing that its body was cut.
CLIENTS = {
    "plain": (read_plain, True),
    "prefill": (read_prefill, True),
    "control": (read_state, True),
    "platform": (read_object, True),
    # The last event tells that a stream is whole.
    "stream": (read_stream, False),
}


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("data", RESPONSES.values(), ids=RESPONSES.keys())
@pytest.mark.parametrize(("read", "knows_end"), CLIENTS.values(), ids=CLIENTS.keys())
def test_a_response_that_is_cut_in_its_head_is_no_response(read, knows_end, data, reset):
    server = CuttingServer(reset)
    framed = any(item in data for item in (b"Content-Length", b"chunked"))
    head_bytes = data.rindex(b"\r\n\r\n", 0, data.index(CONTENT)) + len(b"\r\n\r\n")
    end = len(data) if framed and knows_end else head_bytes
    taken = []
    for size in range(end):
        server.data = data[:size]
        try:
            read(server.address)
        except SwifttrestleError:
            continue
        taken.append(size)
    server.close()
    assert taken == []


@pytest.mark.parametrize("data", RESPONSES.values(), ids=RESPONSES.keys())
@pytest.mark.parametrize("read", [item[0] for item in CLIENTS.values()], ids=CLIENTS.keys())
def test_a_whole_response_is_read_behind_any_interim_ones(read, data):
    server = CuttingServer(reset=False)
    server.data = data
    assert read(server.address)
    server.close()


def test_a_refusal_that_is_cut_in_its_head_does_not_say_that_nothing_ran():
    server = CuttingServer(reset=False)
    server.data = b"HTTP/1.1 503 Service Unavailable\r\nContent-Le"
    with pytest.raises(UpstreamBrokenError) as caught:
        read_plain(server.address)
    assert caught.value.sent
    server.close()
