"""The lease under which one gateway at a time performs the duties.

Its holder orders engines to change roles, orders upstreams, and reports usage. Engines and the
platform may accept an order from any host, so only timing keeps two holders from acting at once: a
challenger takes the lease only after it has seen it unchanged for its duration, and a holder sends
an order only within a short time of the write that recorded it.

A store that was restored from a copy has lost the latest leases. A lease is therefore valid only in
the epoch in which it was taken. After a restore, all hosts wait until orders that were recorded
before it have been sent. The last holder may take the lease first, since only it knows the writes
that the copy lacks.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from swifttrestle.errors import (
    BadEntryError,
    ConflictError,
    LeaseLostError,
    NotFoundError,
    PlatformUnavailableError,
)
from swifttrestle.internal.coordination.store.entries import SkippedEntries
from swifttrestle.internal.event_log import log_event
from swifttrestle.internal.state.duties import (
    DutyLease,
    RecordedOrder,
    RecordedUsage,
    read_duty_lease,
)
from swifttrestle.internal.state.peers import NEVER
from swifttrestle.internal.state.store_epochs import NO_REVISION, StoreRevision
from swifttrestle.platform.objects import StoredObject
from swifttrestle.platform.store import ObjectStore

LEASE_KIND = "swifttrestle-leases"
# Time after the start of the recording write within which an order must be sent.
SEND_SECONDS = 0.5
# Timeout of one call for the lease. An answer after SEND_SECONDS is too late to send an order.
CALL_TIMEOUT_SECONDS = 1.0
# Time for a sent order to arrive, and margin for clock drift.
ARRIVAL_SECONDS = 1.0
# Time after a restore, beyond SEND_SECONDS and ARRIVAL_SECONDS, in which only the last holder may
# take the lease. Two ticks of that holder.
FORMER_HOLDER_SECONDS = 1.0
# Difference of the lowest tokens of successive epochs. Exceeds the number of revisions that a
# restore can lose.
TOKENS_PER_EPOCH = 1 << 24
# Maximum number of orders on the lease, newest last. Exceeds the number of orders in progress.
MAX_RECORDED_ORDERS = 16

LeaseChange = Callable[[DutyLease], DutyLease]


class DutyLeaseManager:
    """Acquires, keeps and writes one lease."""

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        host: str,
        incarnation: int,
        duration: float,
        skipped: SkippedEntries,
    ) -> None:
        """Contend for the lease `name` as `host`; `duration` is the lease time in seconds."""
        self._store = store
        self._skipped = skipped
        self._name = name
        self._host = host
        self._incarnation = incarnation
        self._takeover_seconds = duration + SEND_SECONDS + ARRIVAL_SECONDS
        self._seen_revision = NO_REVISION
        self._seen_at = 0.0
        self._next_read_at = 0.0
        self._stored: StoredObject | None = None
        # The lease as this host last held it, and when this host last wrote it. Times are in
        # seconds of the loop's clock.
        self._last_held: DutyLease | None = None
        self._written_at = float("-inf")
        self._highest_token = 0
        # The time until which a holder whose records were lost in a restore may have acted.
        self.unknown_until = NEVER
        # Serializes the duties' writes, each of which depends on the revision of the one before.
        self._write_lock = asyncio.Lock()
        self.lease: DutyLease | None = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def try_acquire(self) -> bool:
        """Try to acquire the lease; return whether this process holds it."""
        if self.lease is not None:
            return self._still_holds(self.lease)
        if self._now() < self._next_read_at:
            return False
        try:
            known = await self.observe()
        except NotFoundError:
            return await self._create()
        return await self._contend(known)

    def _still_holds(self, lease: DutyLease) -> bool:
        if lease.epoch == self._store.epochs.current:
            return True
        return self._lose("the store was restored from a copy")

    async def _contend(self, known: StoredObject) -> bool:
        """Take the lease that the store has, if this host may."""
        try:
            current = read_duty_lease(known.spec)
        except BadEntryError as error:
            current = self._replace_malformed(known, error)
        if current.epoch != known.revision.epoch:
            return await self._take_restored(current, known)
        if current.holder != self._host:
            # Another host has written the lease since, so this host's copy is outdated.
            self._last_held = None
        is_own = current.holder == self._host
        if not is_own and self._now() - self._seen_at < self._takeover_seconds:
            # The lease cannot become free before then, so it is not read again earlier.
            self._next_read_at = self._seen_at + self._takeover_seconds
            return False
        return await self._write(self._take(current, current.token), known.revision)

    def may_reclaim(self) -> bool:
        """Return whether this host held the lease when the store was restored from a copy."""
        return self._last_held is not None and self._last_held.epoch != self._store.epochs.current

    def _take(self, current: DutyLease, min_token: int) -> DutyLease:
        """Return the lease with this host as holder, under a token above `min_token`."""
        token = max(min_token, current.token, self._highest_token) + 1
        return replace(current, holder=self._host, incarnation=self._incarnation, token=token)

    async def _take_restored(self, current: DutyLease, known: StoredObject) -> bool:
        """Take a lease of an earlier epoch, whose last holder is unknown."""
        if self._now() < self._find_free_at():
            return False
        return await self._write(self._start_epoch(current, known.revision), known.revision)

    def _start_epoch(self, current: DutyLease, revision: StoreRevision) -> DutyLease:
        """Return the first lease of an epoch, with the records that only this host has."""
        taken = self._take(current, _find_highest_token(revision))
        taken = replace(taken, epoch=revision.epoch)
        since = self._store.epochs.since
        if since - self._written_at >= self._takeover_seconds:
            # Another host had time to take the lease and to lose it in the restore.
            self.unknown_until = since + SEND_SECONDS + ARRIVAL_SECONDS
        return taken if self._last_held is None else taken.with_former(self._last_held)

    def _find_free_at(self) -> float:
        """Return the loop's time from which a lease of an earlier epoch may be taken."""
        epochs = self._store.epochs
        if not epochs.current:
            return NEVER
        delay_seconds = SEND_SECONDS + ARRIVAL_SECONDS
        return epochs.since + (
            delay_seconds if self.may_reclaim() else delay_seconds + FORMER_HOLDER_SECONDS
        )

    def _replace_malformed(self, known: StoredObject, error: BadEntryError) -> DutyLease:
        """Return a lease without a holder in place of one that cannot be parsed.

        It must still expire before it is taken, since its holder may be active.
        """
        self._skipped.skip(LEASE_KIND, self._name, error, known.spec)
        token = _find_highest_token(known.revision)
        return DutyLease("", 0, token, epoch=known.revision.epoch)

    async def observe(self) -> StoredObject:
        """Read the lease and record when its revision was first seen; raise NotFoundError."""
        known = await self._get()
        if known.revision != self._seen_revision:
            self._seen_revision, self._seen_at = known.revision, self._now()
        return known

    async def _create(self) -> bool:
        """Create the lease, which the store does not have."""
        snapshot = await self._store.list(LEASE_KIND)
        if self._now() < self._find_free_at():
            return False
        first = self._start_epoch(DutyLease("", 0, 0), snapshot.revision)
        try:
            stored = await self._store.create(LEASE_KIND, self._name, first.spec())
        except ConflictError:
            return False
        except PlatformUnavailableError:
            return await self._read_back(first)
        if stored.revision.epoch != first.epoch:
            return False
        self._accept_write(first, stored)
        return True

    async def record(self, engine: str, role: str) -> tuple[RecordedOrder, float]:
        """Record a role order; return it and the loop's time until which it may be sent.

        Raises LeaseLostError if another host has taken the lease.
        """
        until = await self.write_change(lambda lease: _add_order(lease, engine, role))
        assert self.lease is not None
        return self.lease.orders[-1], until

    def update_usage(self, report: RecordedUsage) -> None:
        """Update a usage report in memory; the next write of the lease stores it."""
        if self.lease is not None:
            self.lease = self.lease.with_usage(report)

    async def write_change(self, change: LeaseChange) -> float:
        """Write a change of the lease; return the loop's time until which its orders may be sent.

        Raises LeaseLostError if another host has taken the lease.
        """
        async with self._write_lock:
            if self.lease is None or self._stored is None:
                raise LeaseLostError(f"this host does not hold lease {self._name}")
            started = self._now()
            changed = replace(change(self.lease), writes=self.lease.writes + 1)
            if not await self._write(changed, self._stored.revision):
                raise LeaseLostError(f"lease {self._name} was lost while it was written")
            return started + SEND_SECONDS

    async def _write(self, wanted: DutyLease, revision: StoreRevision) -> bool:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                stored = await self._store.replace(LEASE_KIND, self._name, wanted.spec(), revision)
        except (ConflictError, NotFoundError):
            return self._lose("the lease was changed or deleted by another host")
        except (PlatformUnavailableError, TimeoutError):
            return await self._read_back(wanted)
        self._accept_write(wanted, stored)
        return True

    async def _read_back(self, wanted: DutyLease) -> bool:
        """Return whether a write without an answer took effect."""
        try:
            stored = await self._get()
        except (NotFoundError, PlatformUnavailableError):
            return self._lose("neither the write nor the read after it was answered")
        if stored.spec != wanted.spec() or stored.revision.epoch != wanted.epoch:
            return self._lose("the write has not taken effect so far")
        self._accept_write(wanted, stored)
        return True

    async def _get(self) -> StoredObject:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return await self._store.get(LEASE_KIND, self._name)
        except TimeoutError:
            raise PlatformUnavailableError(
                f"lease {self._name} was not read within {CALL_TIMEOUT_SECONDS:g} s"
            ) from None

    def _accept_write(self, lease: DutyLease, stored: StoredObject) -> None:
        if self.lease is None:
            log_event("lease taken", lease=self._name, token=lease.token)
        self.lease, self._stored = lease, stored
        self._last_held = None
        self._highest_token = max(self._highest_token, lease.token)
        self._written_at = self._now()

    def _lose(self, reason: str) -> bool:
        if self.lease is not None:
            log_event("lease lost", lease=self._name, reason=reason)
            self._last_held = self.lease
        self.lease, self._stored = None, None
        return False


def _find_highest_token(revision: StoreRevision) -> int:
    """Return an upper bound of the tokens that were given out up to a revision.

    Each token takes at least one write, so no token of an epoch exceeds the epoch's revision. The
    tokens of an epoch are above all tokens of earlier epochs, including lost ones.
    """
    return revision.epoch * TOKENS_PER_EPOCH + revision.number


def _add_order(lease: DutyLease, engine: str, role: str) -> DutyLease:
    last = lease.orders[-1].number if lease.orders else 0
    order = RecordedOrder(last + 1, engine, role)
    return replace(lease, orders=(*lease.orders, order)[-MAX_RECORDED_ORDERS:])
