"""Conditional writes whose answer may be lost.

Every write of this system's own objects carries a nonce. If a write is not answered, the object is
read back. If it has the nonce, the write took effect; if it has another version, the write can no
longer take effect; if it has the expected version, the write is sent again, which is safe since a
conditional update takes effect at most once.
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
MAX_ATTEMPTS = 3


def write_once(
    api: ObjectApi, kind: str, name: str, spec: dict[str, Any], version: int
) -> StoredObject:
    """Write conditionally, at most once; raise ConflictError or PlatformUnavailableError."""
    spec_with_nonce = {**spec, NONCE: secrets.token_hex(8)}
    failure: PlatformUnavailableError | None = None
    for _ in range(MAX_ATTEMPTS):
        try:
            return api.write(kind, name, spec_with_nonce, version)
        except RateLimitedError:
            raise
        except ConflictError:
            # An earlier attempt without an answer may have taken effect.
            stored = read_or_none(api, kind, name)
            if stored and stored.spec.get(NONCE) == spec_with_nonce[NONCE]:
                return stored
            raise
        except PlatformUnavailableError as error:
            failure = error
            stored = read_or_none(api, kind, name)
            if stored and stored.spec.get(NONCE) == spec_with_nonce[NONCE]:
                return stored
            if (stored.version if stored else 0) != version:
                raise ConflictError(
                    f"{kind}/{name} was changed concurrently: expected version {version}"
                ) from None
    assert failure is not None
    raise failure


def strip_nonce(stored: StoredObject) -> dict[str, Any]:
    """Return an object's spec without the nonce of its last write."""
    return {key: value for key, value in stored.spec.items() if key != NONCE}


def read_or_none(api: ObjectApi, kind: str, name: str) -> StoredObject | None:
    """Return an object, or None if it does not exist."""
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
    """Read, change and write an object; raise ConflictError after MAX_ATTEMPTS conflicts.

    Nothing is written if `change` returns None.
    """
    for _ in range(MAX_ATTEMPTS):
        stored = read_or_none(api, kind, name)
        wanted = change(stored.spec if stored else None)
        if wanted is None:
            return stored
        try:
            return write_once(api, kind, name, wanted, stored.version if stored else 0)
        except ConflictError:
            continue
    raise ConflictError(f"{kind}/{name} was changed concurrently in {MAX_ATTEMPTS} attempts")
