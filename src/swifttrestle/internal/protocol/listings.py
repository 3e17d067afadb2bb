"""Datagrams with changes of the discovery list, from hosts that watch it to the others."""

import zlib
from dataclasses import dataclass
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import (
    MAX_INT64,
    MAX_SLOTS,
    check_integer,
    check_line,
    check_number,
    check_text,
    parse_ip_address,
)
from swifttrestle.internal.decoding import decode_msgpack
from swifttrestle.internal.state.declared import Role, UpstreamRecord
from swifttrestle.internal.state.store_epochs import StoreRevision

# Fits one packet of a usual link, so that datagrams are not fragmented.
MAX_DATAGRAM_BYTES = 1400
# First byte of zlib data, with which no msgpack array begins.
ZLIB_MARKER = b"\x78"
# Largest accepted content of a compressed datagram, in bytes. 40 times what fits one datagram; the
# bound protects the receiver.
MAX_DECOMPRESSED_BYTES = 64 * 1024
# Upper bound on the time for which removals may be distrusted.
MAX_DISTRUST_SECONDS = 3600.0


@dataclass(frozen=True)
class ListingChanges:
    """All changes of the discovery list after `since`, up to `revision`.

    Records of which only the heartbeat changed are omitted. `removal_distrust_seconds` is the time
    for which records that lapsed in an outage of the store may still return.
    """

    since: StoreRevision
    revision: StoreRevision
    removal_distrust_seconds: float
    records: tuple[UpstreamRecord, ...] = ()
    removed: tuple[str, ...] = ()


def join_changes(before: ListingChanges, after: ListingChanges) -> ListingChanges:
    """Merge two successive messages; return the later one if there is a gap between them.

    Of each instance, only the latest change is kept.
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
    """Return the datagram of changes, compressed if they do not fit otherwise.

    If they do not fit at all, the datagram has no changes and its `since` equals its `revision`, so
    that receivers with an older revision read the list itself. Records of one service differ
    little: compressed, some 70 fit in the space of 20.
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
            item.build,
        )
        for item in changes.records
    ]
    revisions = pack_revision(changes.since), pack_revision(changes.revision)
    values = (*revisions, changes.removal_distrust_seconds, records, changes.removed)
    data: bytes = msgpack.packb(values)
    return data


def unpack_changes(data: bytes) -> ListingChanges:
    """Parse the changes of a datagram; raise FrameError."""
    try:
        match decode_msgpack(_decompress(data)):
            case [since, revision, float(removal_distrust_seconds), list(records), list(removed)]:
                return ListingChanges(
                    unpack_revision(since),
                    unpack_revision(revision),
                    _check_seconds(removal_distrust_seconds),
                    tuple(_read_record(item) for item in records),
                    tuple(check_text(name) for name in removed),
                )
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as error:
        raise FrameError(f"listing datagram malformed: {error!r}") from None
    raise FrameError("listing datagram with a missing or wrong field")


def _decompress(data: bytes) -> bytes:
    if not data.startswith(ZLIB_MARKER):
        return data
    reader = zlib.decompressobj()
    content = reader.decompress(data, MAX_DECOMPRESSED_BYTES)
    if not reader.eof:
        raise ValueError(f"content truncated or over {MAX_DECOMPRESSED_BYTES} bytes")
    return content


def pack_revision(revision: StoreRevision) -> tuple[int, int]:
    """Return the form of a revision in messages between hosts."""
    return revision.epoch, revision.number


def unpack_revision(value: Any) -> StoreRevision:
    """Parse the form that `pack_revision` returns; raise ValueError."""
    match value:
        case [epoch, number]:
            return StoreRevision(
                check_integer(epoch, 0, MAX_INT64), check_integer(number, 0, MAX_INT64)
            )
    raise ValueError(f"{value!r:.80} is not a revision; give an epoch and a number")


def _check_seconds(value: float) -> float:
    return check_number(value, 0, MAX_DISTRUST_SECONDS)


def _read_record(values: Any) -> UpstreamRecord:
    """Parse a record, within the limits of a record of the store; raise ValueError."""
    match values:
        case [
            str(instance), str(service), [str(host), int(port)], str(zone), int(slots),
            bool(leaving), str(role), int(born), bool(reclaimable), leaves_in, str(build),
        ]:  # fmt: skip
            return UpstreamRecord(
                check_line(instance),
                check_line(service),
                parse_ip_address(f"{host}:{port}"),
                check_line(zone),
                check_integer(slots, 1, MAX_SLOTS),
                leaving,
                Role(role),
                check_integer(born, 0, MAX_INT64),
                reclaimable,
                None if leaves_in is None else check_number(leaves_in, 0, MAX_INT64),
                check_line(build) if build else "",
            )
    raise ValueError(f"{values!r:.80} is not an upstream record")
