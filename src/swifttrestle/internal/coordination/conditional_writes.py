"""Conditional writes whose answer may be lost.

Every write of the system's own objects carries a nonce. Where the answer does not come,
the object is read back: our nonce there means that the write took effect, a different
version means that it never will, and the same version means that it may be sent again,
since a conditional update can take effect once at most.
"""

import secrets
from collections.abc import Callable
from typing import Any

from swifttrestle.errors import (
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
    RateLimitedError,
)
from swifttrestle.internal.protocol.platform import ObjectApi, StoredObject

NONCE = "nonce"
TRIES = 3


def write_once(
    api: ObjectApi, kind: str, name: str, spec: dict[str, Any], version: int
) -> StoredObject:
    """Write conditionally, at most once; raise ConflictError or PlatformUnavailableError."""
    marked = {**spec, NONCE: secrets.token_hex(8)}
    failure: PlatformUnavailableError | None = None
    for _ in range(TRIES):
        try:
            return api.write(kind, name, marked, version)
        except RateLimitedError:
            raise
        except ConflictError:
            # The first try may have been the one that took effect.
            stored = read_or_none(api, kind, name)
            if stored and stored.spec.get(NONCE) == marked[NONCE]:
                return stored
            raise
        except PlatformUnavailableError as error:
            failure = error
            stored = read_or_none(api, kind, name)
            if stored and stored.spec.get(NONCE) == marked[NONCE]:
                return stored
            if (stored.version if stored else 0) != version:
                raise ConflictError(f"{kind}/{name} was written by another") from None
    assert failure is not None
    raise failure


def strip_nonce(stored: StoredObject) -> dict[str, Any]:
    """Return an object's spec without the nonce of its last write."""
    return {key: value for key, value in stored.spec.items() if key != NONCE}


def read_or_none(api: ObjectApi, kind: str, name: str) -> StoredObject | None:
    """Return an object, or None where it does not exist."""
    try:
        return api.read(kind, name)
    except NotFoundError:
        return None


def update_object(
    api: ObjectApi,
    kind: str,
    name: str,
    change: Callable[[dict[str, Any] | None], dict[str, Any] | None],
) -> StoredObject | None:
    """Read, change and write until no other write comes between; None from `change` ends it."""
    for _ in range(TRIES):
        stored = read_or_none(api, kind, name)
        wanted = change(stored.spec if stored else None)
        if wanted is None:
            return stored
        try:
            return write_once(api, kind, name, wanted, stored.version if stored else 0)
        except ConflictError:
            continue
    raise ConflictError(f"{kind}/{name} was written by others {TRIES} times in a row")
