"""The lease under which one gateway at a time may order engines to change their roles.

Engines here may obey any order, so time alone has to keep holders apart: a challenger takes
over only after it has itself seen the lease unchanged for its duration, and a holder sends
an order only within a short time after the write that recorded it.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

from swifttrestle.errors import (
    BadEntryError,
    ConflictError,
    LeaseLostError,
    NotFoundError,
    PlatformUnavailableError,
)
from swifttrestle.internal.checks import LARGEST_SIGNED
from swifttrestle.internal.coordination.entries import SkippedEntries
from swifttrestle.internal.lines import log_decision
from swifttrestle.internal.state.declared import Role
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
# Orders kept on the lease, newest last: more than may be open at once.
KEPT_ORDERS = 16


@dataclass(frozen=True)
class RecordedOrder:
    """An order as written down before it is sent."""

    number: int
    engine: str
    role: str


@dataclass(frozen=True)
class RoleLease:
    """The lease as stored; `token` rises with each holder, `orders` are the latest ones."""

    holder: str
    incarnation: int
    token: int
    orders: tuple[RecordedOrder, ...]

    def spec(self) -> dict[str, Any]:
        """Return the stored form."""
        return {
            "holder": self.holder,
            "incarnation": self.incarnation,
            "token": self.token,
            "orders": [vars(order) for order in self.orders],
        }


def read_role_lease(spec: Any) -> RoleLease:
    """Return the lease of a stored form; raise BadEntryError."""
    match spec:
        case {
            "holder": str(holder),
            "incarnation": int(incarnation),
            "token": int(token),
            "orders": list(orders),
        } if 0 < token <= LARGEST_SIGNED:
            return RoleLease(holder, incarnation, token, tuple(map(_read_order, orders)))
    raise BadEntryError("a lease", "spec", spec, "a field is missing or of another type")


def _read_order(raw: Any) -> RecordedOrder:
    match raw:
        case {"number": int(number), "engine": str(engine), "role": str(role)}:
            if role in (Role.PREFILL.value, Role.DECODE.value):
                return RecordedOrder(number, engine, role)
    raise BadEntryError("a lease", "orders", raw, "it is no order")


class RoleLeaseKeeper:
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
        self._wait = duration + SEND_SECONDS + ARRIVAL_SECONDS
        self._seen_revision = 0
        self._seen_at = 0.0
        self._look_at = 0.0
        self._stored: StoredObject | None = None
        self.lease: RoleLease | None = None

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def campaign(self) -> bool:
        """Return whether this process holds the lease, having tried to take it."""
        if self.lease is not None:
            return True
        if self._now() < self._look_at:
            return False
        try:
            known = await self.observe()
        except NotFoundError:
            return await self._create()
        try:
            current = read_role_lease(known.spec)
        except BadEntryError as error:
            current = self._replace_unread(known, error)
        mine = current.holder == self._host
        if not mine and self._now() - self._seen_at < self._wait:
            # Nothing between now and then can make the lease free.
            self._look_at = self._seen_at + self._wait
            return False
        taken = RoleLease(self._host, self._incarnation, current.token + 1, current.orders)
        return await self._write(taken, known.revision)

    def _replace_unread(self, known: StoredObject, error: BadEntryError) -> RoleLease:
        """Return a lease of nobody in place of one that cannot be read.

        It has to be waited out like any other, since a holder may have used its last word until
        now. Its token is the revision: each holder's token came with a write of its own, so that
        no token is above the revision.
        """
        self._skipped.skip(LEASE_KIND, self._name, error, known.spec)
        return RoleLease("", 0, known.revision, ())

    async def observe(self) -> StoredObject:
        """Read the lease and remember when it was first seen so; raise NotFoundError."""
        known = await self._get()
        if known.revision != self._seen_revision:
            self._seen_revision, self._seen_at = known.revision, self._now()
        return known

    async def _create(self) -> bool:
        first = RoleLease(self._host, self._incarnation, 1, ())
        try:
            stored = await self._store.create(LEASE_KIND, self._name, first.spec())
        except ConflictError:
            return False
        except PlatformUnavailableError:
            return await self._read_back(first)
        self._keep(first, stored)
        return True

    async def record(self, engine: str, role: str) -> tuple[RecordedOrder, float]:
        """Write an order down; return it and the time until which it may be sent.

        Raises LeaseLostError where another holder has taken over.
        """
        if self.lease is None or self._stored is None:
            raise LeaseLostError("the lease is not held")
        began = self._now()
        last = self.lease.orders[-1].number if self.lease.orders else 0
        order = RecordedOrder(last + 1, engine, role)
        orders = (*self.lease.orders, order)[-KEPT_ORDERS:]
        wanted = RoleLease(self._host, self._incarnation, self.lease.token, orders)
        if not await self._write(wanted, self._stored.revision):
            raise LeaseLostError("another holder has taken the lease over")
        return order, began + SEND_SECONDS

    async def _write(self, wanted: RoleLease, revision: int) -> bool:
        try:
            async with asyncio.timeout(CALL_SECONDS):
                stored = await self._store.replace(LEASE_KIND, self._name, wanted.spec(), revision)
        except (ConflictError, NotFoundError):
            return self._lose("another wrote it")
        except (PlatformUnavailableError, TimeoutError):
            return await self._read_back(wanted)
        self._keep(wanted, stored)
        return True

    async def _read_back(self, wanted: RoleLease) -> bool:
        """Find out whether a write without an answer was done."""
        try:
            stored = await self._get()
        except (NotFoundError, PlatformUnavailableError):
            return self._lose("the write has no answer")
        if stored.spec != wanted.spec():
            return self._lose("the write was not done, or is yet to come")
        self._keep(wanted, stored)
        return True

    async def _get(self) -> StoredObject:
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return await self._store.get(LEASE_KIND, self._name)
        except TimeoutError:
            raise PlatformUnavailableError("the lease was not read in time") from None

    def _keep(self, lease: RoleLease, stored: StoredObject) -> None:
        if self.lease is None:
            log_decision("lease taken", lease=self._name, token=lease.token)
        self.lease, self._stored = lease, stored

    def _lose(self, reason: str) -> bool:
        if self.lease is not None:
            log_decision("lease lost", lease=self._name, reason=reason)
        self.lease, self._stored = None, None
        return False
