"""Fingerprints of what crashes of upstreams count against: requests, and parts of prompts."""

import functools
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from swifttrestle.internal.transport.messages import Body, RequestHead
from swifttrestle.internal.transport.targets import normalize_host

# Length of each half of a fingerprint, in bytes. Among 2^32 requests about one pair has the same
# half by chance.
FINGERPRINT_HALF_BYTES = 8
# Both halves of a fingerprint in its text form, and the text before the one of a part.
SEPARATOR = "-"
PART_PREFIX = "part"
# Number of prompt parts whose fingerprints are kept at hand.
MAX_CACHED_PARTS = 4096


@dataclass(frozen=True)
class Fingerprint:
    """Digests of a request's head (workspace, method, host, path) and of its body.

    It identifies repeated attempts of one request, whatever ids they carry. The digests are
    separate because the head's is known before the body arrives. If it differs from a known one,
    the body need neither be awaited nor hashed.

    A prompt part has PART_HEAD, which no request has, and the digest of its name as `body`.
    """

    head: bytes
    body: bytes

    def __str__(self) -> str:
        """Return the form shown in logs and pages."""
        head = PART_PREFIX if self.is_part else self.head.hex()
        return f"{head}{SEPARATOR}{self.body.hex()}"

    @property
    def is_part(self) -> bool:
        """Whether this is the fingerprint of a prompt part."""
        return self.head == PART_HEAD


def parse_fingerprint(text: str) -> Fingerprint:
    """Parse the form shown in logs and pages; raise ValueError."""
    head, _, body = text.partition(SEPARATOR)
    is_part = head == PART_PREFIX
    fingerprint = Fingerprint(PART_HEAD if is_part else bytes.fromhex(head), bytes.fromhex(body))
    if not len(fingerprint.head) == len(fingerprint.body) == FINGERPRINT_HALF_BYTES:
        raise ValueError(
            f"{text!r} is not a fingerprint; give two groups of {2 * FINGERPRINT_HALF_BYTES} "
            f"hexadecimal digits, or {PART_PREFIX} and one group, joined by a dash"
        )
    return fingerprint


def fingerprint_head(head: RequestHead, workspace: str) -> bytes:
    """Return the digest of a request's head and its workspace.

    It excludes the other headers and the caller's address, which may differ between attempts.
    `workspace` is empty if callers need no key.
    """
    host = normalize_host(head.find(b"host").decode("latin-1")).encode("latin-1")
    return digest_parts((workspace.encode(), head.method, host, head.target))


def fingerprint_request(head: RequestHead, workspace: str, body: Body) -> Fingerprint | None:
    """Return a request's fingerprint, or None while its body is incomplete."""
    if not body.complete:
        return None
    digest = hashlib.blake2b(digest_size=FINGERPRINT_HALF_BYTES)
    for chunk in body.list_kept():
        digest.update(chunk)
    return Fingerprint(fingerprint_head(head, workspace), digest.digest())


def digest_parts(parts: Iterable[bytes]) -> bytes:
    """Return the digest of byte strings; each length is included to keep lists unambiguous."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_HALF_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()


PART_HEAD = digest_parts((b"prompt part",))


@functools.lru_cache(MAX_CACHED_PARTS)
def fingerprint_part(name: str) -> Fingerprint:
    """Return the fingerprint of a prompt part, the same for whoever sends it."""
    return Fingerprint(PART_HEAD, digest_parts((name.encode(),)))
