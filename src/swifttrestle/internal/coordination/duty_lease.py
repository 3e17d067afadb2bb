"""The lease under which one gateway at a time does what is one host's duty.

It orders engines to change their roles, orders upstreams, and reports usage. Engines and platform
may obey any order, so time alone has to keep holders apart: a challenger takes over only after it
has itself seen the lease unchanged for its duration, and a holder sends only within a short time
after the write that recorded what it sends.

A store that came back from a copy has lost the latest leases. So a lease counts only in the epoch
in which it was taken; after a return all wait until what was recorded before it has been sent, and
the host that held the lease last goes first, since it alone knows what the copy lacks.
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
from swifttrestle.internal.coordination.entries import SkippedEntries
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
# Seconds after the start of the recording write in which an order must leave this host.
SEND_SECONDS = 0.5
# Seconds for one call on the lease: twice the time in which an order must leave, after which
# its answer is of no use.
CALL_SECONDS = 1.0
# Seconds for an order that has left to arrive, and for the clocks' small differences.
ARRIVAL_SECONDS = 1.0
# Seconds for which others leave a lease to its last holder after a return, beyond the time in which
# what was recorded before it is sent: two looks of that holder.
FORMER_FIRST_SECONDS = 1.0
# Tokens of one epoch: more than the revisions that one return can lose, which is what is written
# within some seconds.
TOKENS_PER_EPOCH = 1 << 24
# Orders kept on the lease, newest last: more than may be open at once.
KEPT_ORDERS = 16

Change = Callable[[DutyLease], DutyLease]


class DutyLeaseManager:
    """Takes, keeps and uses one lease."""

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        host: str,
        incarnation: int,
        duration: float,
        skipped: SkippedEntries,
    ) -> None:
        """Contend for the lease `name`; `duration` is the platform's lease time in seconds."""
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
        # The lease as this host held it last, and the loop's time at which it was written last.
        self._former: DutyLease | None = None
        self._written_at = float("-inf")
        self._highest_token = 0
        # The loop's time until which another holder may have acted of whom no word is left.
        self.unknown_until = NEVER
        # Several duties write on the one lease, each at the revision that the last one left.
        self._write_lock = asyncio.Lock()
        self.lease: DutyLease | None = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def campaign(self) -> bool:
        """Return whether this process holds the lease, having tried to take it."""
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
        return self._lose("the store came back from a copy")

    async def _contend(self, known: StoredObject) -> bool:
        """Take the lease as it stands in the store, where this host may."""
        try:
            current = read_duty_lease(known.spec)
        except BadEntryError as error:
            current = self._replace_unread(known, error)
        if current.epoch != known.revision.epoch:
            return await self._take_copied(current, known)
        if current.holder != self._host:
            # Others have acted since; what this host knew is old.
            self._former = None
        mine = current.holder == self._host
        if not mine and self._now() - self._seen_at < self._takeover_seconds:
            # Nothing between now and then can make the lease free.
            self._next_read_at = self._seen_at + self._takeover_seconds
            return False
        return await self._write(self._take(current, current.token), known.revision)

    def reclaims(self) -> bool:
        """Return whether this host held the lease as the store came back from a copy."""
        return self._former is not None and self._former.epoch != self._store.epochs.current

    def _take(self, current: DutyLease, below: int) -> DutyLease:
        """Return a lease as this host takes it over, under a token above another."""
        token = max(below, current.token, self._highest_token) + 1
        return replace(current, holder=self._host, incarnation=self._incarnation, token=token)

    async def _take_copied(self, current: DutyLease, known: StoredObject) -> bool:
        """Take a lease of an epoch before, which says nothing of who held it last."""
        if self._now() < self._find_free_at():
            return False
        return await self._write(self._take_anew(current, known.revision), known.revision)

    def _take_anew(self, current: DutyLease, revision: StoreRevision) -> DutyLease:
        """Return the first lease of an epoch, with what this host knows beyond the copy."""
        taken = self._take(current, _find_highest_token(revision))
        taken = replace(taken, epoch=revision.epoch)
        since = self._store.epochs.since
        if since - self._written_at >= self._takeover_seconds:
            # Time enough for another one to have taken the lease over, and to have lost it.
            self.unknown_until = since + SEND_SECONDS + ARRIVAL_SECONDS
        return taken if self._former is None else taken.with_former(self._former)

    def _find_free_at(self) -> float:
        """Return the loop's time from which a lease of an epoch before may be taken."""
        epochs = self._store.epochs
        if not epochs.current:
            return NEVER
        wait = SEND_SECONDS + ARRIVAL_SECONDS
        return epochs.since + (wait if self.reclaims() else wait + FORMER_FIRST_SECONDS)

    def _replace_unread(self, known: StoredObject, error: BadEntryError) -> DutyLease:
        """Return a lease of nobody in place of one that cannot be read.

        It has to be waited out like any other, since a holder may have used its last word until
        now.
        """
        self._skipped.skip(LEASE_KIND, self._name, error, known.spec)
        token = _find_highest_token(known.revision)
        return DutyLease("", 0, token, epoch=known.revision.epoch)

    async def observe(self) -> StoredObject:
        """Read the lease and remember when it was first seen so; raise NotFoundError."""
        known = await self._get()
        if known.revision != self._seen_revision:
            self._seen_revision, self._seen_at = known.revision, self._now()
        return known

    async def _create(self) -> bool:
        """Take a lease that does not stand in the store."""
        snapshot = await self._store.list(LEASE_KIND)
        if self._now() < self._find_free_at():
            return False
        first = self._take_anew(DutyLease("", 0, 0), snapshot.revision)
        try:
            stored = await self._store.create(LEASE_KIND, self._name, first.spec())
        except ConflictError:
            return False
        except PlatformUnavailableError:
            return await self._read_back(first)
        if stored.revision.epoch != first.epoch:
            return False
        self._keep(first, stored)
        return True

    async def record(self, engine: str, role: str) -> tuple[RecordedOrder, float]:
        """Write a role order down; return it and the time until which it may be sent.

        Raises LeaseLostError where another holder has taken over.
        """
        until = await self.write_down(lambda lease: _add_order(lease, engine, role))
        assert self.lease is not None
        return self.lease.orders[-1], until

    def note_usage(self, report: RecordedUsage) -> None:
        """Keep that a report was taken; it is written down with the next change of the lease."""
        if self.lease is not None:
            self.lease = self.lease.with_usage(report)

    async def write_down(self, change: Change) -> float:
        """Change what stands on the lease; return until when what it records may be sent.

        Raises LeaseLostError where another holder has taken over.
        """
        async with self._write_lock:
            if self.lease is None or self._stored is None:
                raise LeaseLostError("the lease is not held")
            began = self._now()
            wanted = replace(change(self.lease), writes=self.lease.writes + 1)
            if not await self._write(wanted, self._stored.revision):
                raise LeaseLostError("another holder has taken the lease over")
            return began + SEND_SECONDS

    async def _write(self, wanted: DutyLease, revision: StoreRevision) -> bool:
        try:
            async with asyncio.timeout(CALL_SECONDS):
                stored = await self._store.replace(LEASE_KIND, self._name, wanted.spec(), revision)
        except (ConflictError, NotFoundError):
            return self._lose("another wrote it")
        except (PlatformUnavailableError, TimeoutError):
            return await self._read_back(wanted)
        self._keep(wanted, stored)
        return True

    async def _read_back(self, wanted: DutyLease) -> bool:
        """Find out whether a write without an answer was done."""
        try:
            stored = await self._get()
        except (NotFoundError, PlatformUnavailableError):
            return self._lose("the write has no answer")
        if stored.spec != wanted.spec() or stored.revision.epoch != wanted.epoch:
            return self._lose("the write was not done, or is yet to come")
        self._keep(wanted, stored)
        return True

    async def _get(self) -> StoredObject:
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return await self._store.get(LEASE_KIND, self._name)
        except TimeoutError:
            raise PlatformUnavailableError("the lease was not read in time") from None

    def _keep(self, lease: DutyLease, stored: StoredObject) -> None:
        if self.lease is None:
            log_event("lease taken", lease=self._name, token=lease.token)
        self.lease, self._stored = lease, stored
        self._former = None
        self._highest_token = max(self._highest_token, lease.token)
        self._written_at = self._now()

    def _lose(self, reason: str) -> bool:
        if self.lease is not None:
            log_event("lease lost", lease=self._name, reason=reason)
            self._former = self.lease
        self.lease, self._stored = None, None
        return False


def _find_highest_token(revision: StoreRevision) -> int:
    """Return a token that no holder's is above who took the lease until a revision.

    Each token came with a write of its own, so that none is above the revision of its epoch; those
    of a later epoch are above all of one before, the lost ones too.
    """
    return revision.epoch * TOKENS_PER_EPOCH + revision.number


def _add_order(lease: DutyLease, engine: str, role: str) -> DutyLease:
    last = lease.orders[-1].number if lease.orders else 0
    order = RecordedOrder(last + 1, engine, role)
    return replace(lease, orders=(*lease.orders, order)[-KEPT_ORDERS:])
