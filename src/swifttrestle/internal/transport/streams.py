"""Streams between the system's own processes: TCP, a shared-secret handshake, msgpack frames.

A stranger is turned away before any frame of it is decoded: both sides first prove, over
fixed-size messages, that they know the shared secret. The proof covers both nonces and the
side it comes from, so that it can neither be replayed nor reflected.
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
FRAME_LIMIT = 4_000_000
CONNECT_SECONDS = 2.0
HANDSHAKE_SECONDS = 3.0
SEND_SECONDS = 5.0
_LENGTH = struct.Struct("!I")


class PeerStream:
    """One stream to a peer, after the handshake; sending is safe from several threads."""

    def __init__(self, sock: socket.socket, silence_seconds: float) -> None:
        """Take a connected socket; `receive` fails after so many seconds without a frame."""
        self._sock = sock
        self._send_lock = threading.Lock()
        self.sent_bytes = 0
        self.received_bytes = 0
        sock.settimeout(silence_seconds)
        # A peer that does not read must not hold up the sender for longer than this.
        timeout = struct.pack("ll", int(SEND_SECONDS), 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeout)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, value: Any) -> None:
        """Send one value as a frame; raise OSError where the stream is broken."""
        body = msgpack.packb(value)
        if len(body) > FRAME_LIMIT:
            raise FrameError(f"a frame of {len(body)} bytes is over {FRAME_LIMIT}")
        with self._send_lock:
            self._sock.sendall(_LENGTH.pack(len(body)) + body)
            self.sent_bytes += len(body) + _LENGTH.size

    def receive(self) -> Any:
        """Return the next value; raise FrameError, or OSError where the stream is broken."""
        (size,) = _LENGTH.unpack(_read_exactly(self._sock, _LENGTH.size))
        if size > FRAME_LIMIT:
            raise FrameError(f"a frame of {size} bytes is over {FRAME_LIMIT}")
        body = _read_exactly(self._sock, size)
        self.received_bytes += size + _LENGTH.size
        return decode_frame(body)

    def close(self) -> None:
        """Break the stream; a `receive` in another thread ends."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        finally:
            self._sock.close()


def decode_frame(body: bytes) -> Any:
    """Return the value of a frame's body; raise FrameError."""
    try:
        return msgpack.unpackb(body, strict_map_key=False)
    except (ValueError, msgpack.exceptions.UnpackException, RecursionError) as error:
        raise FrameError(f"a frame cannot be decoded: {type(error).__name__}") from None


def connect_stream(address: tuple[str, int], secret: str, silence_seconds: float) -> PeerStream:
    """Dial a peer and prove the secret both ways."""
    sock = socket.create_connection(address, CONNECT_SECONDS)
    try:
        sock.settimeout(HANDSHAKE_SECONDS)
        mine = os.urandom(NONCE_BYTES)
        sock.sendall(MAGIC + mine)
        theirs = _read_exactly(sock, NONCE_BYTES)
        sock.sendall(_prove(secret, b"dialer", mine, theirs))
        answer = _read_exactly(sock, PROOF_BYTES)
        if not hmac.compare_digest(answer, _prove(secret, b"listener", mine, theirs)):
            raise PeerUnknownError("the listener does not know the shared secret")
        return PeerStream(sock, silence_seconds)
    except BaseException:
        sock.close()
        raise


def accept_stream(sock: socket.socket, secret: str, silence_seconds: float) -> PeerStream:
    """Answer a dialer; raise PeerUnknownError where it does not know the secret."""
    try:
        sock.settimeout(HANDSHAKE_SECONDS)
        opening = _read_exactly(sock, len(MAGIC) + NONCE_BYTES)
        if not opening.startswith(MAGIC):
            raise PeerUnknownError("the dialer speaks another protocol")
        theirs = opening[len(MAGIC) :]
        mine = os.urandom(NONCE_BYTES)
        sock.sendall(mine)
        proof = _read_exactly(sock, PROOF_BYTES)
        if not hmac.compare_digest(proof, _prove(secret, b"dialer", theirs, mine)):
            raise PeerUnknownError("the dialer does not know the shared secret")
        sock.sendall(_prove(secret, b"listener", theirs, mine))
        return PeerStream(sock, silence_seconds)
    except BaseException:
        sock.close()
        raise


def _prove(secret: str, side: bytes, dialer: bytes, listener: bytes) -> bytes:
    return hmac.digest(secret.encode(), side + dialer + listener, "sha256")


def _read_exactly(sock: socket.socket, size: int) -> bytes:
    pieces = []
    while size:
        piece = sock.recv(min(size, 65536))
        if not piece:
            raise ConnectionResetError("the peer closed the stream")
        pieces.append(piece)
        size -= len(piece)
    return b"".join(pieces)
