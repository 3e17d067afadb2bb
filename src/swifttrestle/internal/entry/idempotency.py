"""Ids of calls that may not be repeated: taken once, by this entry or by the platform.

An entry's own memory refuses a repeat that comes through the same entry within ten
minutes. Where a service asks for it, the id is noted in the platform instead, which holds
over all entries and restarts and costs one write a call; without the platform such a call
is then refused, since running it twice would be worse than not running it.
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
from swifttrestle.internal.coordination.conditional_writes import write_once
from swifttrestle.internal.protocol.platform import ObjectApi
from swifttrestle.resources import Service

CLAIM = "Claim"
KEEP_SECONDS = 600.0
KEEP_MOST = 200_000


class IdempotencyRecords:
    """The ids taken so far."""

    def __init__(self, api: ObjectApi, owner: str) -> None:
        """Write platform claims in the name of an entry."""
        self._api = api
        self._owner = owner
        self._lock = threading.Lock()
        self._taken: OrderedDict[str, float] = OrderedDict()

    @contextlib.contextmanager
    def hold(self, service: Service, workspace: str, caller_id: str) -> Iterator[None]:
        """Take an id for a call; raise RefusedError where it was taken before.

        A call that ends as "not run" gives its id back, since its caller is told to come
        again; any other end keeps it.
        """
        key = f"{workspace}.{service.name}.{caller_id}"
        self._claim_here(key)
        version = self._claim_everywhere(key) if service.claim == "platform" else 0
        try:
            yield
        except RefusedError as error:
            if error.ran is Ran.NOT_RUN:
                self._give_back(key, version)
            raise

    def _claim_here(self, key: str) -> None:
        now = read_boottime_seconds()
        with self._lock:
            while self._taken:
                oldest, at = next(iter(self._taken.items()))
                if now - at < KEEP_SECONDS and len(self._taken) < KEEP_MOST:
                    break
                del self._taken[oldest]
            if key in self._taken:
                raise _repeated(key)
            self._taken[key] = now

    def _give_back(self, key: str, version: int) -> None:
        """Forget an id; one that stays in the platform for an outage refuses, never repeats."""
        with self._lock:
            self._taken.pop(key, None)
        if version:
            with contextlib.suppress(PlatformUnavailableError, ConflictError, NotFoundError):
                self._api.delete(CLAIM, key, version)

    def _claim_everywhere(self, key: str) -> int:
        try:
            stored = write_once(self._api, CLAIM, key, {"owner": self._owner, "at": time.time()}, 0)
            return stored.version
        except ConflictError:
            raise _repeated(key) from None
        except PlatformUnavailableError as error:
            with self._lock:
                self._taken.pop(key, None)
            message = f"the id could not be noted: {error}"
            raise RefusedError(Code.CLAIM_UNAVAILABLE, message, 1.0) from None


def _repeated(key: str) -> RefusedError:
    return RefusedError(Code.REPEATED_ID, f"{key} was taken before")
