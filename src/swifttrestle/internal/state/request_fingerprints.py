"""What makes two requests the same one, whatever ids their attempts carry."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from swifttrestle.internal.transport.messages import Body, RequestHead

# Bytes of each half of a name: two of 2^32 requests share a half by chance once.
FINGERPRINT_HALF_BYTES = 8


@dataclass(frozen=True)
class RequestFingerprint:
    """The name of a request: of its head (workspace, method, host, path), and of its body.

    The halves stand apart, since the first is known before the body has arrived: most requests
    are told from a known one without a wait for their body, and without reading it.
    """

    head: bytes
    body: bytes

    def __str__(self) -> str:
        """Return the name as logs and pages show it."""
        return f"{self.head.hex()}-{self.body.hex()}"


def parse_fingerprint(text: str) -> RequestFingerprint:
    """Return the name that logs and pages show so; raise ValueError."""
    head, _, body = text.partition("-")
    name = RequestFingerprint(bytes.fromhex(head), bytes.fromhex(body))
    if not len(name.head) == len(name.body) == FINGERPRINT_HALF_BYTES:
        raise ValueError(
            f"{text!r} is no name; give two times {2 * FINGERPRINT_HALF_BYTES} digits, by a dash"
        )
    return name


def fingerprint_head(head: RequestHead, workspace: str) -> bytes:
    """Return the half of a name that a request's head and its workspace make.

    The request's other headers are not part of it, nor is the address that it came from: they
    differ from one attempt of the same caller to the next. `workspace` is empty where callers need
    no key.
    """
    return digest_parts((workspace.encode(), head.method, head.find(b"host").lower(), head.target))


def fingerprint_request(head: RequestHead, workspace: str, body: Body) -> RequestFingerprint | None:
    """Return a request's name; None while its body is not whole."""
    if not body.complete:
        return None
    digest = hashlib.blake2b(digest_size=FINGERPRINT_HALF_BYTES)
    for chunk in body.list_kept():
        digest.update(chunk)
    return RequestFingerprint(fingerprint_head(head, workspace), digest.digest())


def digest_parts(parts: Iterable[bytes]) -> bytes:
    """Return a half of a name; the parts' lengths count, so that no two lists of them are alike."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_HALF_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()
