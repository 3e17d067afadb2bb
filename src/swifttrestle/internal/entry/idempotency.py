"""Records the ids of calls that must not run twice.

An entry keeps ids in memory and refuses a repeated id for ten minutes. Services may have their ids
recorded in the platform instead, which covers all entries and restarts and costs one write per
call. Such calls are refused while the platform is unavailable. Running one twice would be worse
than not running it.
"""

import contextlib
import threading
import time
from collections import OrderedDict
from collections.abc import Iterator

from swifttrestle.codes import Code, Ran
from swifttrestle.errors import (
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
    RefusedError,
)
from swifttrestle.internal.clock import read_boottime_seconds
from swifttrestle.internal.coordination.store.conditional_writes import write_once
from swifttrestle.internal.protocol.platform import ObjectApi
from swifttrestle.resources import Service

CLAIM = "Claim"
RETENTION_SECONDS = 600.0
MAX_RECORDS = 200_000


class IdempotencyRecords:
    """The ids of calls that this entry has accepted."""

    def __init__(self, api: ObjectApi, owner: str) -> None:
        """Write claims to the platform as `owner`, the entry's name."""
        self._api = api
        self._owner = owner
        self._lock = threading.Lock()
        self._recorded_at: OrderedDict[str, float] = OrderedDict()

    @contextlib.contextmanager
    def hold(self, service: Service, workspace: str, caller_id: str) -> Iterator[None]:
        """Record the id of a call; raise RefusedError if it is already recorded.

        If the call ends as "not run", its id is removed, so that the caller can retry.
        """
        key = f"{workspace}.{service.name}.{caller_id}"
        self._claim_in_memory(key)
        version = self._claim_in_platform(key) if service.claim == "platform" else 0
        try:
            yield
        except RefusedError as error:
            if error.ran is Ran.NOT_RUN:
                self._release(key, version)
            raise

    def _claim_in_memory(self, key: str) -> None:
        now = read_boottime_seconds()
        with self._lock:
            while self._recorded_at:
                oldest, at = next(iter(self._recorded_at.items()))
                if now - at < RETENTION_SECONDS and len(self._recorded_at) < MAX_RECORDS:
                    break
                del self._recorded_at[oldest]
            if key in self._recorded_at:
                raise _repeated(key)
            self._recorded_at[key] = now

    def _release(self, key: str, version: int) -> None:
        """Remove an id; if the platform is unavailable, it stays there and repeats are refused."""
        with self._lock:
            self._recorded_at.pop(key, None)
        if version:
            with contextlib.suppress(PlatformUnavailableError, ConflictError, NotFoundError):
                self._api.delete(CLAIM, key, version)

    def _claim_in_platform(self, key: str) -> int:
        try:
            stored = write_once(self._api, CLAIM, key, {"owner": self._owner, "at": time.time()}, 0)
            return stored.version
        except ConflictError:
            raise _repeated(key) from None
        except PlatformUnavailableError as error:
            with self._lock:
                self._recorded_at.pop(key, None)
            message = f"the request id could not be recorded in the platform: {error}"
            raise RefusedError(Code.CLAIM_UNAVAILABLE, message, 1.0) from None


def _repeated(key: str) -> RefusedError:
    return RefusedError(Code.REPEATED_ID, f"request id {key} was used before")
