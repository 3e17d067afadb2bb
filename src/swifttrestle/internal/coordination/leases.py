"""Leases with fencing tokens, kept as objects in the platform.

Time is never compared between hosts. The holder counts from the moment before it sent the
renewal, on its own monotonic clock, and stops a margin early; a challenger takes over after
it has itself seen the same version for the duration and a margin more.

Time alone is not enough for engines that obey any order, since a holder can be paused
between its check and its send. Each lease therefore names its former holders that are not
proved dead; see `Lease.former` and docs/design/authority.md.
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
from swifttrestle.internal.coordination.conditional_writes import read_or_none, write_once
from swifttrestle.internal.coordination.object_cache import ObjectCache
from swifttrestle.internal.logs import log_info
from swifttrestle.internal.protocol.platform import ObjectApi, StoredObject

LEASE = "Lease"
FENCE_SHIFT = 20
RENEW_SHARE = 3


@dataclass(frozen=True)
class Holder:
    """One run of one process."""

    name: str
    host: str
    incarnation: int


@dataclass(frozen=True)
class Lease:
    """A lease as it stands in the platform; `former` may still be alive and sending."""

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
        raise BadPlatformAnswerError(f"a lease cannot be read: {error!r}") from None


def make_fence(token: int, sequence: int) -> int:
    """Return the number of one order: it rises with each term, and within it with each order."""
    return (token << FENCE_SHIFT) + sequence


class LeaseManager:
    """Campaigns for one lease and keeps it; used from one thread."""

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
        """Prepare; times in seconds, `delay` is how long to leave the lease to others first."""
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
        """Return the token; raise LeaseLostError where the lease is not held any more."""
        if self.lease is None or not self.held:
            raise LeaseLostError(f"lease {self.name} is not held")
        return self.lease.token

    def tick(self) -> None:
        """Renew, campaign, or do nothing; failures of the platform are waited out."""
        try:
            if self.lease is not None:
                self._keep()
            else:
                self._campaign()
        except (ConflictError, PlatformUnavailableError):
            # Another was faster, or nobody can write now: the next tick looks again.
            if self.lease is not None and not self.held:
                self._lose("time ran out")

    def release(self) -> None:
        """Give the lease up, so that another may act at once."""
        if self.lease is None or self._stored is None:
            return
        released = replace(self.lease, released=True)
        version = self._stored.version
        self._lose("released")
        write_once(self._api, LEASE, self.name, released.spec(), version)

    def set_former(self, former: tuple[Holder, ...]) -> None:
        """Write the former holders anew, after some were proved dead."""
        self.check()
        assert self.lease is not None
        self._write(replace(self.lease, former=former), self._version())

    def _keep(self) -> None:
        if self._clock.now() < self._renew_at and self.held:
            return
        assert self.lease is not None
        try:
            self._write(self.lease, self._version())
        except ConflictError:
            self._resolve_conflict()

    def _resolve_conflict(self) -> None:
        # A former holder that woke up takes itself off the list, which is no loss of ours.
        stored = read_or_none(self._api, LEASE, self.name)
        found = read_lease(stored.spec) if stored else None
        assert self.lease is not None
        if found is None or found.holder != self._me or found.token != self.lease.token:
            self._lose("another holds it")
            return
        self._stored = stored
        self._write(found, self._version())

    def _campaign(self) -> None:
        known = self._cache.get(LEASE, self.name)
        if known is None:
            if self._cache.synced.is_set() and self._waited_for_absent():
                self._write(Lease(self._me, 1, False, ()), 0)
                self._won()
            return
        current = read_lease(known.spec)
        if any(holder == self._me for holder in current.former):
            self._leave_former(known, current)
            return
        if not self._may_take(known, current):
            return
        former = current.former
        if not current.released and not _is_over(current.holder, self._me):
            former = (*former, current.holder)
        former = tuple(holder for holder in former if not _is_over(holder, self._me))
        self._write(Lease(self._me, current.token + 1, False, former), known.version)
        self._won()

    def _waited_for_absent(self) -> bool:
        now = self._clock.now()
        if self._absent_since is None:
            self._absent_since = now
        return now - self._absent_since >= self._delay

    def _may_take(self, known: StoredObject, current: Lease) -> bool:
        unchanged = self._clock.now() - self._cache.unchanged_since(LEASE, self.name)
        if current.released or _is_over(current.holder, self._me):
            return unchanged >= self._delay
        return unchanged >= self._duration + self._margin + self._delay

    def _leave_former(self, known: StoredObject, current: Lease) -> None:
        # This process holds nothing and sends nothing: ticks and sends share one thread.
        former = tuple(holder for holder in current.former if holder != self._me)
        left = replace(current, former=former)
        stored = write_once(self._api, LEASE, self.name, left.spec(), known.version)
        self._cache.apply_own_write(stored)
        log_info("former holder stepped back", lease=self.name)

    def _version(self) -> int:
        return self._stored.version if self._stored else 0

    def _write(self, lease: Lease, version: int) -> None:
        before = self._clock.now()
        stored = write_once(self._api, LEASE, self.name, lease.spec(), version)
        self._stored = stored
        self.lease = lease
        self._valid_until = before + self._duration - self._margin
        self._renew_at = before + self._duration / RENEW_SHARE
        self._cache.apply_own_write(stored)

    def _won(self) -> None:
        self._absent_since = None
        assert self.lease is not None
        log_info("lease taken", lease=self.name, token=self.lease.token)

    def _lose(self, reason: str) -> None:
        self.lease = None
        self._stored = None
        self._valid_until = float("-inf")
        self._renew_at = float("-inf")
        log_info("lease lost", lease=self.name, reason=reason)


def _is_over(holder: Holder, other: Holder) -> bool:
    # The same run is no danger to itself. A later run on the same host has bound the
    # process's fixed port, which it could not have done while the earlier run lived.
    same = holder.name == other.name and holder.host == other.host
    return same and holder.incarnation <= other.incarnation
