"""Datagrams between gateways about requests and prompt parts open as upstreams crashed.

Datagrams may be lost, late or duplicated: receivers merge their content, and duplicates have no
effect.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.decoding import decode_msgpack
from swifttrestle.internal.protocol.gossip import MAX_DATAGRAM_BYTES
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.fingerprints import (
    FINGERPRINT_HALF_BYTES,
    Fingerprint,
)

# Bytes of a record in a datagram, without and per crash, with usual names.
RECORD_BYTES = 24
CRASH_BYTES = 37
# Bytes for records in a datagram, without its other fields.
RECORDS_BYTES = MAX_DATAGRAM_BYTES - 24
# Maximum number of crashes accepted per record. Hosts keep fewer, but later versions may keep more.
MAX_CRASHES = 16
# Longest accepted name of an upstream's incarnation, in characters.
MAX_START_CHARACTERS = 200


@dataclass(frozen=True)
class Clearance:
    """Reports that a request got a response at the event loop's time `at`."""

    name: Fingerprint
    at: float


@dataclass(frozen=True)
class CrashUpdate:
    """Crash records and clearances; `wants_all` requests all that the receiver has quarantined."""

    records: tuple[CrashRecord, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    wants_all: bool = False


def split_records(records: Iterable[CrashRecord]) -> Iterator[CrashUpdate]:
    """Split records into updates that each fit one datagram."""
    batch: list[CrashRecord] = []
    size = 0
    for record in records:
        record_size = RECORD_BYTES + CRASH_BYTES * len(record.crashes)
        if batch and size + record_size > RECORDS_BYTES:
            yield CrashUpdate(tuple(batch))
            batch = []
            size = 0
        batch.append(record)
        size += record_size
    if batch:
        yield CrashUpdate(tuple(batch))


def pack_crash_update(update: CrashUpdate, now: float) -> bytes:
    """Return the datagram of an update; times are encoded as seconds before `now`.

    `now` is the event loop's time.
    """
    records = [
        (
            pack_fingerprint(record.name),
            [(crash.start, max(0.0, now - crash.at)) for crash in record.crashes],
        )
        for record in update.records
    ]
    clearances = [
        (pack_fingerprint(item.name), max(0.0, now - item.at)) for item in update.clearances
    ]
    data: bytes = msgpack.packb((records, clearances, update.wants_all))
    return data


def unpack_crash_update(data: bytes, now: float) -> CrashUpdate:
    """Parse a datagram received at the event loop's time `now`; raise FrameError."""
    try:
        records, clearances, wants_all = decode_msgpack(data)
        return CrashUpdate(
            tuple(_read_record(name, crashes, now) for name, crashes in records),
            tuple(
                Clearance(unpack_fingerprint(name), now - _read_age(age))
                for name, age in clearances
            ),
            bool(wants_all),
        )
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"crash datagram malformed: {error!r}") from None


def _read_record(name: Any, crashes: Any, now: float) -> CrashRecord:
    parsed = tuple(Crash(_read_start(start), now - _read_age(age)) for start, age in crashes)
    if not 0 < len(parsed) <= MAX_CRASHES:
        raise ValueError(f"{len(parsed)} crashes; give 1 to {MAX_CRASHES}")
    return CrashRecord(unpack_fingerprint(name), parsed)


def unpack_fingerprint(raw: Any) -> Fingerprint:
    """Parse the bytes that `pack_fingerprint` returns; raise ValueError."""
    if not isinstance(raw, bytes) or len(raw) != 2 * FINGERPRINT_HALF_BYTES:
        raise ValueError(f"{raw!r} is not a fingerprint; give {2 * FINGERPRINT_HALF_BYTES} bytes")
    return Fingerprint(raw[:FINGERPRINT_HALF_BYTES], raw[FINGERPRINT_HALF_BYTES:])


def _read_start(raw: Any) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= MAX_START_CHARACTERS:
        raise ValueError(
            f"{raw!r} is not an incarnation's name; give 1 to {MAX_START_CHARACTERS} characters"
        )
    return raw


def _read_age(raw: Any) -> float:
    if not isinstance(raw, float) or not 0 <= raw < float("inf"):
        raise ValueError(f"{raw!r} is not an age; give a number of seconds from 0")
    return raw


def pack_fingerprint(fingerprint: Fingerprint) -> bytes:
    """Return the bytes of a fingerprint."""
    return fingerprint.head + fingerprint.body
