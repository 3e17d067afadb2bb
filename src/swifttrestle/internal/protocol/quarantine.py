"""What gateways tell each other of requests under which upstreams crashed, as datagrams.

A datagram may come twice, late or never: all it says is put together with what is known, and what
was said twice counts once.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.protocol.gossip import MAX_DATAGRAM_BYTES
from swifttrestle.internal.state.crash_records import Crash, CrashRecord
from swifttrestle.internal.state.request_fingerprints import (
    FINGERPRINT_HALF_BYTES,
    RequestFingerprint,
)

# Cases in one datagram: each takes 170 bytes with four crashes of usual names.
RECORDS_PER_DATAGRAM = MAX_DATAGRAM_BYTES // 172
# Crashes that a case may have in a datagram, more than hosts keep of one: a later version may keep
# more.
MOST_TOLD_CRASHES = 16
# Characters that the name of a start may have in a datagram.
LONGEST_START = 200


@dataclass(frozen=True)
class Clearance:
    """Says that a request got its own answer, at the loop's time `at`."""

    name: RequestFingerprint
    at: float


@dataclass(frozen=True)
class CrashUpdate:
    """Cases and acquittals; `wants_all` wants all that the hearer keeps from upstreams."""

    records: tuple[CrashRecord, ...] = ()
    clearances: tuple[Clearance, ...] = ()
    wants_all: bool = False


def split_records(records: Iterable[CrashRecord]) -> Iterator[CrashUpdate]:
    """Yield news of all cases, each small enough for one datagram."""
    part: list[CrashRecord] = []
    for case in records:
        part.append(case)
        if len(part) == RECORDS_PER_DATAGRAM:
            yield CrashUpdate(tuple(part))
            part = []
    if part:
        yield CrashUpdate(tuple(part))


def pack_crash_update(news: CrashUpdate, now: float) -> bytes:
    """Return the datagram of news; times go as seconds before `now`, the loop's time."""
    records = [
        (
            pack_fingerprint(case.name),
            [(crash.start, max(0.0, now - crash.at)) for crash in case.crashes],
        )
        for case in news.records
    ]
    clearances = [
        (pack_fingerprint(item.name), max(0.0, now - item.at)) for item in news.clearances
    ]
    data: bytes = msgpack.packb((records, clearances, news.wants_all))
    return data


def unpack_crash_update(data: bytes, now: float) -> CrashUpdate:
    """Return the news of a datagram that has just come in; raise FrameError."""
    try:
        records, clearances, wants_all = msgpack.unpackb(data)
        return CrashUpdate(
            tuple(_read_case(name, crashes, now) for name, crashes in records),
            tuple(
                Clearance(unpack_fingerprint(name), now - _read_age(age))
                for name, age in clearances
            ),
            bool(wants_all),
        )
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"news of crashes cannot be read: {error!r}") from None


def _read_case(name: Any, crashes: Any, now: float) -> CrashRecord:
    read = tuple(Crash(_read_start(start), now - _read_age(age)) for start, age in crashes)
    if not 0 < len(read) <= MOST_TOLD_CRASHES:
        raise ValueError(f"{len(read)} crashes; give 1 to {MOST_TOLD_CRASHES}")
    return CrashRecord(unpack_fingerprint(name), read)


def unpack_fingerprint(raw: Any) -> RequestFingerprint:
    """Return a name as `pack_fingerprint` writes it; raise ValueError."""
    if not isinstance(raw, bytes) or len(raw) != 2 * FINGERPRINT_HALF_BYTES:
        raise ValueError(f"{raw!r} is no name; give {2 * FINGERPRINT_HALF_BYTES} bytes")
    return RequestFingerprint(raw[:FINGERPRINT_HALF_BYTES], raw[FINGERPRINT_HALF_BYTES:])


def _read_start(raw: Any) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= LONGEST_START:
        raise ValueError(f"{raw!r} names no start; give up to {LONGEST_START} characters")
    return raw


def _read_age(raw: Any) -> float:
    if not isinstance(raw, float) or not 0 <= raw < float("inf"):
        raise ValueError(f"{raw!r} is no age; give seconds from 0")
    return raw


def pack_fingerprint(name: RequestFingerprint) -> bytes:
    """Return a name as `unpack_fingerprint` reads it."""
    return name.head + name.body
