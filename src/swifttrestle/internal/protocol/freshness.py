"""Datagrams by which hosts query each other's configuration version and wall clock.

A reply repeats the time of its query by the sender's clock. The sender of the query can therefore
date the confirmation by its own clock, however long both datagrams were delayed.
"""

from dataclasses import dataclass
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_INT64, check_integer, check_number
from swifttrestle.internal.decoding import decode_msgpack


@dataclass(frozen=True)
class FreshnessQuery:
    """A query; `asked_at` is its sender's steady time, `wall` its Unix time in seconds."""

    asked_at: float
    wall: float


@dataclass(frozen=True)
class FreshnessReply:
    """Confirms that no version newer than `version` was acknowledged `age` seconds ago.

    `asked_at` is that of the query, `wall` the sender's estimate of the Unix time in seconds.
    """

    asked_at: float
    version: int
    age: float
    wall: float


# Upper bound on each time in a datagram, in seconds. More than a host runs or a date needs.
MAX_MESSAGE_SECONDS = 1e12


def pack_freshness_query(query: FreshnessQuery) -> bytes:
    """Return the datagram of a query."""
    data: bytes = msgpack.packb([query.asked_at, query.wall])
    return data


def pack_freshness_reply(reply: FreshnessReply) -> bytes:
    """Return the datagram of a reply."""
    data: bytes = msgpack.packb([reply.asked_at, reply.version, reply.age, reply.wall])
    return data


def unpack_freshness(data: bytes) -> FreshnessQuery | FreshnessReply:
    """Parse a datagram as a query or a reply; raise FrameError."""
    try:
        values: Any = decode_msgpack(data)
        match values:
            case [asked_at, wall]:
                return FreshnessQuery(_read_seconds(asked_at), _read_seconds(wall))
            case [asked_at, version, age, wall]:
                return FreshnessReply(
                    _read_seconds(asked_at),
                    check_integer(version, 1, MAX_INT64),
                    _read_seconds(age),
                    _read_seconds(wall),
                )
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"configuration freshness datagram malformed: {error!r}") from None
    raise FrameError("configuration freshness datagram is neither a query nor a reply")


def _read_seconds(value: Any) -> float:
    return check_number(value, 0, MAX_MESSAGE_SECONDS)
