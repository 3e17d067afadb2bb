"""Authenticated streams between entries and controllers: msgpack frames over TCP.

Before any frame is decoded, both sides prove by fixed-size messages that they know the shared
secret. A proof covers both nonces and the role of its sender, so that it can neither be replayed
nor reflected.
"""

import hmac
import os
import socket
import struct
import threading
from typing import Any

import msgpack

from swifttrestle.errors import FrameError, PeerUnknownError

MAGIC = b"swt1"
NONCE_BYTES = 16
PROOF_BYTES = 32
MAX_FRAME_BYTES = 4_000_000
CONNECT_TIMEOUT_SECONDS = 2.0
HANDSHAKE_TIMEOUT_SECONDS = 3.0
SEND_TIMEOUT_SECONDS = 5.0
_LENGTH = struct.Struct("!I")


class PeerStream:
    """One stream to a peer, after the handshake; `send` is thread-safe."""

    def __init__(self, sock: socket.socket, silence_seconds: float) -> None:
        """Use a connected socket; `receive` fails after `silence_seconds` without a frame."""
        self._sock = sock
        self._send_lock = threading.Lock()
        self.sent_bytes = 0
        self.received_bytes = 0
        sock.settimeout(silence_seconds)
        # Limits the time for which a peer that does not read can block the sender.
        timeout = struct.pack("ll", int(SEND_TIMEOUT_SECONDS), 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, value: Any) -> None:
        """Send one value as a frame; raise OSError if the stream is broken."""
        body = msgpack.packb(value)
        if len(body) > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {len(body)} bytes exceeds {MAX_FRAME_BYTES} bytes")
        with self._send_lock:
            self._sock.sendall(_LENGTH.pack(len(body)) + body)
            self.sent_bytes += len(body) + _LENGTH.size

    def receive(self) -> Any:
        """Return the next value; raise FrameError, or OSError if the stream is broken."""
        (size,) = _LENGTH.unpack(_read_exactly(self._sock, _LENGTH.size))
        if size > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {size} bytes exceeds {MAX_FRAME_BYTES} bytes")
        body = _read_exactly(self._sock, size)
        self.received_bytes += size + _LENGTH.size
        return decode_frame(body)

    def close(self) -> None:
        """Close the stream, which also ends a `receive` in another thread."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        finally:
            self._sock.close()


def decode_frame(body: bytes) -> Any:
    """Decode the body of a frame; raise FrameError."""
    try:
        return msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
        raise FrameError(f"frame malformed: {type(error).__name__}") from None


def connect_stream(address: tuple[str, int], secret: str, silence_seconds: float) -> PeerStream:
    """Connect to a peer with mutual authentication; raise PeerUnknownError."""
    sock = socket.create_connection(address, CONNECT_TIMEOUT_SECONDS)
    try:
        sock.settimeout(HANDSHAKE_TIMEOUT_SECONDS)
        own_nonce = os.urandom(NONCE_BYTES)
        sock.sendall(MAGIC + own_nonce)
        peer_nonce = _read_exactly(sock, NONCE_BYTES)
        sock.sendall(_prove(secret, b"dialer", own_nonce, peer_nonce))
        proof = _read_exactly(sock, PROOF_BYTES)
        if not hmac.compare_digest(proof, _prove(secret, b"listener", own_nonce, peer_nonce)):
            raise PeerUnknownError("listener does not know the shared secret")
        return PeerStream(sock, silence_seconds)
    except BaseException:
        sock.close()
        raise


def accept_stream(sock: socket.socket, secret: str, silence_seconds: float) -> PeerStream:
    """Accept a connection with mutual authentication; raise PeerUnknownError."""
    try:
        sock.settimeout(HANDSHAKE_TIMEOUT_SECONDS)
        opening = _read_exactly(sock, len(MAGIC) + NONCE_BYTES)
        if not opening.startswith(MAGIC):
            raise PeerUnknownError(f"dialer uses another protocol: {opening[: len(MAGIC)]!r}")
        peer_nonce = opening[len(MAGIC) :]
        own_nonce = os.urandom(NONCE_BYTES)
        sock.sendall(own_nonce)
        proof = _read_exactly(sock, PROOF_BYTES)
        if not hmac.compare_digest(proof, _prove(secret, b"dialer", peer_nonce, own_nonce)):
            raise PeerUnknownError("dialer does not know the shared secret")
        sock.sendall(_prove(secret, b"listener", peer_nonce, own_nonce))
        return PeerStream(sock, silence_seconds)
    except BaseException:
        sock.close()
        raise


def _prove(secret: str, role: bytes, dialer_nonce: bytes, listener_nonce: bytes) -> bytes:
    return hmac.digest(secret.encode(), role + dialer_nonce + listener_nonce, "sha256")


def _read_exactly(sock: socket.socket, size: int) -> bytes:
    pieces = []
    while size:
        piece = sock.recv(min(size, 65536))
        if not piece:
            raise ConnectionResetError("the peer closed the stream")
        pieces.append(piece)
        size -= len(piece)
    return b"".join(pieces)
