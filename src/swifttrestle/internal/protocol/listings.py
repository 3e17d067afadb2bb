"""Datagrams by which a host that watches the discovery list tells others what changed."""

import zlib
from dataclasses import dataclass
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_INT64, check_integer, check_number, check_text
from swifttrestle.internal.state.declared import Role, UpstreamRecord
from swifttrestle.internal.state.store_epochs import StoreRevision

# Kept under one packet of the usual links, so that a datagram is never split.
MAX_DATAGRAM_BYTES = 1400
# How a compressed datagram begins; no list of msgpack does.
COMPRESSED = b"\x78"
# Bytes that a compressed datagram may hold: 40 times what fits one, and bounded for its reader.
MAX_DECOMPRESSED_BYTES = 64 * 1024
# Seconds for which a host may distrust removals: far over what an outage's end takes.
LONGEST_DISTRUST_SECONDS = 3600.0


@dataclass(frozen=True)
class ListingChanges:
    """All that changed in the discovery list after `since`, up to `revision`.

    A record that only showed another heartbeat is left out. `removal_distrust_seconds` are the
    seconds for
    which records that went in an outage of the store may still come back.
    """

    since: StoreRevision
    revision: StoreRevision
    removal_distrust_seconds: float
    records: tuple[UpstreamRecord, ...] = ()
    removed: tuple[str, ...] = ()


def join_changes(before: ListingChanges, after: ListingChanges) -> ListingChanges:
    """Return what two successive messages tell together, or the later one if they do not meet.

    Only what holds at the end is told of an instance.
    """
    if before.revision != after.since:
        return after
    newer = {item.instance for item in after.records} | set(after.removed)
    records = tuple(item for item in before.records if item.instance not in newer)
    removed = tuple(name for name in before.removed if name not in newer)
    return ListingChanges(
        before.since,
        after.revision,
        after.removal_distrust_seconds,
        records + after.records,
        removed + after.removed,
    )


def pack_changes(changes: ListingChanges) -> bytes:
    """Return the datagram of changes.

    Many are compressed: records of one service differ in little, and some 70 fit in the place of
    20. Where they do not fit, it holds none and says that it starts where it ends: whoever is
    behind then reads the list itself, which all hosts of a zone do at once.
    """
    data = _pack(changes)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return data
    data = zlib.compress(data)
    if len(data) <= MAX_DATAGRAM_BYTES:
        return data
    return _pack(
        ListingChanges(changes.revision, changes.revision, changes.removal_distrust_seconds)
    )


def _pack(changes: ListingChanges) -> bytes:
    records = [
        (
            item.instance,
            item.service,
            item.address,
            item.zone,
            item.slots,
            item.leaving,
            item.role.value,
            item.born,
            item.reclaimable,
            item.leaves_in,
        )
        for item in changes.records
    ]
    marks = pack_revision(changes.since), pack_revision(changes.revision)
    values = (*marks, changes.removal_distrust_seconds, records, changes.removed)
    data: bytes = msgpack.packb(values)
    return data


def unpack_changes(data: bytes) -> ListingChanges:
    """Return the changes of a datagram; raise FrameError."""
    try:
        match msgpack.unpackb(_decompress(data)):
            case [since, revision, float(removal_distrust_seconds), list(records), list(removed)]:
                return ListingChanges(
                    unpack_revision(since),
                    unpack_revision(revision),
                    _check_seconds(removal_distrust_seconds),
                    tuple(_read_record(item) for item in records),
                    tuple(check_text(name) for name in removed),
                )
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as error:
        raise FrameError(f"a listing datagram cannot be read: {error!r}") from None
    raise FrameError("a datagram is no listing")


def _decompress(data: bytes) -> bytes:
    if not data.startswith(COMPRESSED):
        return data
    reader = zlib.decompressobj()
    content = reader.decompress(data, MAX_DECOMPRESSED_BYTES)
    if not reader.eof:
        raise ValueError(f"it holds over {MAX_DECOMPRESSED_BYTES} bytes, or is cut off")
    return content


def pack_revision(revision: StoreRevision) -> tuple[int, int]:
    """Return the form in which hosts tell each other a revision."""
    return revision.epoch, revision.number


def unpack_revision(value: Any) -> StoreRevision:
    """Return the revision of such a form; raise ValueError."""
    match value:
        case [epoch, number]:
            return StoreRevision(
                check_integer(epoch, 0, MAX_INT64), check_integer(number, 0, MAX_INT64)
            )
    raise ValueError(f"{value!r:.80} is no revision")


def _check_seconds(value: float) -> float:
    return check_number(value, 0, LONGEST_DISTRUST_SECONDS)


def _read_record(values: Any) -> UpstreamRecord:
    match values:
        case [
            str(instance), str(service), [str(host), int(port)], str(zone), int(slots),
            bool(leaving), str(role), int(born), bool(reclaimable), leaves_in,
        ]:  # fmt: skip
            return UpstreamRecord(
                check_text(instance),
                service,
                (host, port),
                zone,
                slots,
                leaving,
                Role(role),
                born,
                reclaimable,
                None if leaves_in is None else check_number(leaves_in, 0, MAX_INT64),
            )
    raise ValueError(f"{values!r:.80} is no record")
