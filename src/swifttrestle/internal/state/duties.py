"""The stored lease on the fleet's duties, with the holder's orders, capacity and usage reports."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from swifttrestle.errors import BadEntryError
from swifttrestle.internal.checks import MAX_INT64, check_integer
from swifttrestle.internal.state.declared import Role

# Maximum number of usage windows kept on the lease.
KEPT_REPORTS = 12

T = TypeVar("T")


@dataclass(frozen=True)
class RecordedOrder:
    """A role order, recorded before it is sent."""

    number: int
    engine: str
    role: str


@dataclass(frozen=True)
class RecordedCapacity:
    """The number of upstreams of one kind last ordered for a service in a zone.

    `need` is the number that the service needed in all zones at that time, as estimated by the
    holder that ordered; 0 if it was not known.
    """

    service: str
    zone: str
    reclaimable: bool
    count: int
    need: int


@dataclass(frozen=True)
class RecordedUsage:
    """The usage report of one window, recorded before it is sent and never changed after that.

    `taken` is set when the platform has acknowledged it, or when its sender has given up.
    """

    window: int
    counts: Mapping[str, int]
    taken: bool = False


@dataclass(frozen=True)
class UsageDraft:
    """The counts so far of a window that is still open, and the host incarnations counted."""

    window: int
    counts: Mapping[str, int]
    sources: tuple[str, ...]


@dataclass(frozen=True)
class DutyLease:
    """The stored lease; `token` rises with each holder, `orders` are the latest ones."""

    holder: str
    incarnation: int
    token: int
    orders: tuple[RecordedOrder, ...] = ()
    capacity: tuple[RecordedCapacity, ...] = ()
    usage: tuple[RecordedUsage, ...] = ()
    drafts: tuple[UsageDraft, ...] = ()
    # The store's epoch in which the holder took the lease; in a later epoch it is an old copy.
    epoch: int = 0
    # Rises with each write, so that each renewal changes the lease: other hosts take it over once
    # it stays unchanged for long enough.
    writes: int = 0

    def spec(self) -> dict[str, Any]:
        """Return the stored form; empty fields are left out, as in older versions."""
        parts = {
            "capacity": [vars(item) for item in self.capacity],
            "usage": [{**vars(item), "counts": dict(item.counts)} for item in self.usage],
            "drafts": [
                {**vars(item), "counts": dict(item.counts), "sources": list(item.sources)}
                for item in self.drafts
            ],
        }
        return {
            "holder": self.holder,
            "incarnation": self.incarnation,
            "token": self.token,
            "orders": [vars(order) for order in self.orders],
            "writes": self.writes,
            **({"epoch": self.epoch} if self.epoch else {}),
            **{name: part for name, part in parts.items() if part},
        }

    def with_capacity(self, order: RecordedCapacity) -> "DutyLease":
        """Return the lease with the last order for the same service, zone and kind replaced."""
        subject = (order.service, order.zone, order.reclaimable)
        others = (i for i in self.capacity if (i.service, i.zone, i.reclaimable) != subject)
        return replace(self, capacity=(*others, order))

    def with_former(self, former: "DutyLease") -> "DutyLease":
        """Return this restored lease, completed from the newer one that its last holder knows."""
        reports = {item.window: item for item in self.usage}
        for item in former.usage:
            known = reports.get(item.window)
            reports[item.window] = replace(item, taken=True) if known and known.taken else item
        usage = sorted(reports.values(), key=lambda item: item.window)[-KEPT_REPORTS:]
        return replace(
            self,
            orders=former.orders,
            capacity=former.capacity,
            usage=tuple(usage),
            drafts=former.drafts,
            writes=max(self.writes, former.writes),
        )

    def with_usage(self, report: RecordedUsage) -> "DutyLease":
        """Return the lease with a window's report in place of its draft."""
        others = [item for item in self.usage if item.window != report.window]
        kept = sorted((*others, report), key=lambda item: item.window)[-KEPT_REPORTS:]
        drafts = tuple(item for item in self.drafts if item.window > report.window)
        return replace(self, usage=tuple(kept), drafts=drafts)


def read_duty_lease(spec: Any) -> DutyLease:
    """Parse the stored form of a lease; raise BadEntryError."""
    match spec:
        case {
            "holder": str(holder),
            "incarnation": int(incarnation),
            "token": int(token),
            "orders": list(orders),
        } if 0 < token <= MAX_INT64 and 0 <= incarnation <= MAX_INT64:
            return DutyLease(
                holder,
                incarnation,
                token,
                tuple(map(_read_order, orders)),
                _read_list(spec, "capacity", _read_capacity),
                _read_list(spec, "usage", _read_usage),
                _read_list(spec, "drafts", _read_draft),
                _read_number(spec, "epoch"),
                _read_number(spec, "writes"),
            )
    raise BadEntryError("a lease", "spec", spec, "a field is missing or has the wrong type")


def _read_number(spec: Mapping[str, Any], name: str) -> int:
    try:
        return check_integer(spec.get(name, 0), 0, MAX_INT64)
    except ValueError as error:
        raise BadEntryError("a lease", name, spec.get(name), str(error)) from None


def _read_list(spec: Mapping[str, Any], name: str, read: Callable[[Any], T]) -> tuple[T, ...]:
    raw = spec.get(name, [])
    if not isinstance(raw, list):
        raise BadEntryError("a lease", name, raw, "it must be a list")
    return tuple(read(item) for item in raw)


def _read_order(raw: Any) -> RecordedOrder:
    match raw:
        case {"number": int(number), "engine": str(engine), "role": str(role)}:
            if 0 <= number < MAX_INT64 and role in (Role.PREFILL.value, Role.DECODE.value):
                return RecordedOrder(number, engine, role)
    raise BadEntryError("a lease", "orders", raw, "a field of the order is missing or invalid")


def _read_capacity(raw: Any) -> RecordedCapacity:
    match raw:
        case {
            "service": str(service),
            "zone": str(zone),
            "reclaimable": bool(reclaimable),
            "count": int(count),
            "need": int(need),
        } if 0 <= count <= MAX_INT64 and 0 <= need <= MAX_INT64:
            return RecordedCapacity(service, zone, reclaimable, count, need)
    raise BadEntryError("a lease", "capacity", raw, "a field of the order is missing or invalid")


def _read_usage(raw: Any) -> RecordedUsage:
    match raw:
        case {
            "window": int(window),
            "counts": dict(counts),
            "taken": bool(taken),
        } if 0 <= window < MAX_INT64:
            return RecordedUsage(window, _read_counts(counts), taken)
    raise BadEntryError("a lease", "usage", raw, "a field of the report is missing or invalid")


def _read_draft(raw: Any) -> UsageDraft:
    match raw:
        case {
            "window": int(window),
            "counts": dict(counts),
            "sources": list(sources),
        } if 0 <= window < MAX_INT64:
            return UsageDraft(window, _read_counts(counts), tuple(map(str, sources)))
    raise BadEntryError("a lease", "drafts", raw, "a field of the draft is missing or invalid")


def _read_counts(raw: Mapping[Any, Any]) -> dict[str, int]:
    for name, count in raw.items():
        is_integer = isinstance(count, int) and not isinstance(count, bool)
        if not isinstance(name, str) or not is_integer or not 0 <= count <= MAX_INT64:
            reason = f"each count must be an integer from 0 to {MAX_INT64}"
            raise BadEntryError("a lease", "counts", count, reason)
    return dict(raw)
