"""Datagrams by which hosts ask each other how fresh their configuration is, and what time it is.

The answer repeats the asker's own time of the question. So the asker can date the proof by its own
clock, however long question and answer waited on their way.
"""

from dataclasses import dataclass
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_INT64, check_integer, check_number


@dataclass(frozen=True)
class FreshnessQuery:
    """`asked_at` is the asker's steady time, `wall` its time of day in Unix seconds."""

    asked_at: float
    wall: float


@dataclass(frozen=True)
class FreshnessReply:
    """Nothing newer than `version` was acknowledged `age` seconds before this was sent.

    `asked_at` is the question's. `wall` is the Unix time as the sender takes it to be.
    """

    asked_at: float
    version: int
    age: float
    wall: float


# The longest time in seconds that a datagram may name: more than a host runs, or a date needs.
MAX_MESSAGE_SECONDS = 1e12


def pack_freshness_query(question: FreshnessQuery) -> bytes:
    """Return the datagram of a question."""
    data: bytes = msgpack.packb([question.asked_at, question.wall])
    return data


def pack_freshness_reply(answer: FreshnessReply) -> bytes:
    """Return the datagram of an answer."""
    data: bytes = msgpack.packb([answer.asked_at, answer.version, answer.age, answer.wall])
    return data


def unpack_freshness(data: bytes) -> FreshnessQuery | FreshnessReply:
    """Return the question or answer of a datagram; raise FrameError."""
    try:
        values: Any = msgpack.unpackb(data)
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
        raise FrameError(f"a datagram on the configuration cannot be read: {error!r}") from None
    raise FrameError("a datagram on the configuration is neither question nor answer")


def _read_seconds(value: Any) -> float:
    return check_number(value, 0, MAX_MESSAGE_SECONDS)
