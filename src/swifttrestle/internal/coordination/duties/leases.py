"""Leases with fencing tokens, stored as objects in the platform.

Clocks are never compared between hosts. The holder measures from the time before it sent the
renewal, on its own monotonic clock, and stops a margin early. A challenger takes the lease after it
has itself seen the same version for the duration and a margin.

For engines that do not check fencing tokens this is not enough, since a holder can be paused
between its check and its send. Each lease therefore lists the former holders that are not proved
dead; see `Lease.former` and docs/design/authority.md.
"""

from dataclasses import dataclass, replace
from typing import Any

from swifttrestle.errors import (
    BadPlatformAnswerError,
    ConflictError,
    LeaseLostError,
    PlatformUnavailableError,
)
from swifttrestle.internal.clock import Clock
from swifttrestle.internal.coordination.store.conditional_writes import read_or_none, write_once
from swifttrestle.internal.coordination.store.object_cache import ObjectCache
from swifttrestle.internal.logs import log_info
from swifttrestle.internal.protocol.platform import ObjectApi, StoredObject

LEASE = "Lease"
SEQUENCE_BITS = 20
RENEWALS_PER_DURATION = 3


@dataclass(frozen=True)
class Holder:
    """One incarnation of a process; `incarnation` increases with each start."""

    name: str
    host: str
    incarnation: int


@dataclass(frozen=True)
class Lease:
    """A lease as stored in the platform; holders in `former` may still be alive and sending."""

    holder: Holder
    token: int
    released: bool
    former: tuple[Holder, ...]

    def spec(self) -> dict[str, Any]:
        """Return the stored form."""
        return {
            "holder": vars(self.holder),
            "token": self.token,
            "released": self.released,
            "former": [vars(holder) for holder in self.former],
        }


def read_lease(spec: dict[str, Any]) -> Lease:
    """Return the lease of a stored form."""
    try:
        former = tuple(Holder(**item) for item in spec["former"])
        return Lease(Holder(**spec["holder"]), int(spec["token"]), bool(spec["released"]), former)
    except (KeyError, TypeError, ValueError) as error:
        raise BadPlatformAnswerError(f"stored lease is malformed: {error!r}") from None


def make_fence(token: int, sequence: int) -> int:
    """Return an order's fencing number, which increases over terms and orders within a term."""
    return (token << SEQUENCE_BITS) + sequence


class LeaseManager:
    """Acquires and renews one lease. Not thread-safe."""

    def __init__(
        self,
        api: ObjectApi,
        cache: ObjectCache,
        name: str,
        me: Holder,
        clock: Clock,
        *,
        duration: float,
        margin: float,
        delay: float = 0.0,
    ) -> None:
        """Set up; times are in seconds. A free lease is taken only after `delay`."""
        self.name = name
        self._api = api
        self._cache = cache
        self._me = me
        self._clock = clock
        self._duration = duration
        self._margin = margin
        self._delay = delay
        self._absent_since: float | None = None
        self._valid_until = float("-inf")
        self._renew_at = float("-inf")
        self._stored: StoredObject | None = None
        self.lease: Lease | None = None

    @property
    def held(self) -> bool:
        """Whether this process may act under the lease now."""
        return self.lease is not None and self._clock.now() < self._valid_until

    def check(self) -> int:
        """Return the token; raise LeaseLostError if the lease is lost or expired."""
        if self.lease is None or not self.held:
            raise LeaseLostError(f"this process does not hold lease {self.name}")
        return self.lease.token

    def tick(self) -> None:
        """Renew or contend for the lease when due; after a failure, retry at the next tick."""
        try:
            if self.lease is not None:
                self._renew_if_due()
            else:
                self._contend()
        except (ConflictError, PlatformUnavailableError):
            if self.lease is not None and not self.held:
                self._lose("expired without renewal")

    def release(self) -> None:
        """Release the lease, so that another process can take it at once."""
        if self.lease is None or self._stored is None:
            return
        released = replace(self.lease, released=True)
        version = self._stored.version
        self._lose("released")
        write_once(self._api, LEASE, self.name, released.spec(), version)

    def set_former(self, former: tuple[Holder, ...]) -> None:
        """Replace the list of former holders, after some were proved dead."""
        self.check()
        assert self.lease is not None
        self._write(replace(self.lease, former=former), self._version())

    def _renew_if_due(self) -> None:
        if self._clock.now() < self._renew_at and self.held:
            return
        assert self.lease is not None
        try:
            self._write(self.lease, self._version())
        except ConflictError:
            self._resolve_conflict()

    def _resolve_conflict(self) -> None:
        # A former holder that resumed removes itself from the list; the lease is still held.
        stored = read_or_none(self._api, LEASE, self.name)
        found = read_lease(stored.spec) if stored else None
        assert self.lease is not None
        if found is None or found.holder != self._me or found.token != self.lease.token:
            self._lose("deleted or taken by another process")
            return
        self._stored = stored
        self._write(found, self._version())

    def _contend(self) -> None:
        known = self._cache.get(LEASE, self.name)
        if known is None:
            if self._cache.synced.is_set() and self._is_absent_long_enough():
                self._write(Lease(self._me, 1, False, ()), 0)
                self._on_acquired()
            return
        current = read_lease(known.spec)
        if any(holder == self._me for holder in current.former):
            self._remove_from_former(known, current)
            return
        if not self._may_take(known, current):
            return
        former = current.former
        if not current.released and not _has_ended(current.holder, self._me):
            former = (*former, current.holder)
        former = tuple(holder for holder in former if not _has_ended(holder, self._me))
        self._write(Lease(self._me, current.token + 1, False, former), known.version)
        self._on_acquired()

    def _is_absent_long_enough(self) -> bool:
        now = self._clock.now()
        if self._absent_since is None:
            self._absent_since = now
        return now - self._absent_since >= self._delay

    def _may_take(self, known: StoredObject, current: Lease) -> bool:
        unchanged = self._clock.now() - self._cache.unchanged_since(LEASE, self.name)
        if current.released or _has_ended(current.holder, self._me):
            return unchanged >= self._delay
        return unchanged >= self._duration + self._margin + self._delay

    def _remove_from_former(self, known: StoredObject, current: Lease) -> None:
        # No send of this process can be in progress: ticks and sends share one thread.
        former = tuple(holder for holder in current.former if holder != self._me)
        updated = replace(current, former=former)
        stored = write_once(self._api, LEASE, self.name, updated.spec(), known.version)
        self._cache.apply_own_write(stored)
        log_info("removed from former holders", lease=self.name)

    def _version(self) -> int:
        return self._stored.version if self._stored else 0

    def _write(self, lease: Lease, version: int) -> None:
        started = self._clock.now()
        stored = write_once(self._api, LEASE, self.name, lease.spec(), version)
        self._stored = stored
        self.lease = lease
        self._valid_until = started + self._duration - self._margin
        self._renew_at = started + self._duration / RENEWALS_PER_DURATION
        self._cache.apply_own_write(stored)

    def _on_acquired(self) -> None:
        self._absent_since = None
        assert self.lease is not None
        log_info("lease taken", lease=self.name, token=self.lease.token)

    def _lose(self, reason: str) -> None:
        self.lease = None
        self._stored = None
        self._valid_until = float("-inf")
        self._renew_at = float("-inf")
        log_info("lease lost", lease=self.name, reason=reason)


def _has_ended(holder: Holder, other: Holder) -> bool:
    # A later incarnation on the same host proves that the earlier one ended: both bind the same
    # port. A process also need not wait for itself.
    same_process = holder.name == other.name and holder.host == other.host
    return same_process and holder.incarnation <= other.incarnation
