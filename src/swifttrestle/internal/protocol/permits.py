"""Datagrams by which hosts keep together to the limits that upstreams name."""

import sys
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from swifttrestle.errors import FrameError
from swifttrestle.internal.checks import MAX_INT64, check_integer, check_number
from swifttrestle.internal.state.upstream_conditions import RateLimit

# Characters that the name of a start may have in a datagram.
LONGEST_START = 400


class PermitMessageKind(IntEnum):
    """The first field of a datagram about limits."""

    ASK = 1
    ANSWER = 2
    TELL = 3
    LEAVING = 4
    TRIAL = 5


@dataclass(frozen=True)
class PermitRequest:
    """Asks whether one request may go to a start; `number` tells the sender's asks apart."""

    number: int
    start: str
    urgent: bool
    rate_limit: RateLimit


@dataclass(frozen=True)
class PermitReply:
    """Says that it may, or after how many `seconds` to ask again; with the newest word known."""

    number: int
    start: str
    seconds: float
    rate_limit: RateLimit


@dataclass(frozen=True)
class RateLimitUpdate:
    """Tells of a word that the sender has heard; `relay` asks the hearer to tell all others."""

    start: str
    rate_limit: RateLimit
    relay: bool = False


@dataclass(frozen=True)
class LeavingUpdate:
    """Tells of a start that has said that it leaves; `relay` as in Tell."""

    start: str
    relay: bool = False


@dataclass(frozen=True)
class TrialRequest:
    """Asks whether a quarantined request may be tried; `start` is the request's name."""

    number: int
    start: str


Message = PermitRequest | PermitReply | RateLimitUpdate | LeavingUpdate | TrialRequest


def pack_message(message: Message, now: float) -> bytes:
    """Return the datagram of a message; times go as seconds before `now`, the loop's time."""
    rate_limit = (
        RateLimit() if isinstance(message, LeavingUpdate | TrialRequest) else message.rate_limit
    )
    age = max(0.0, now - rate_limit.at) if rate_limit.at > float("-inf") else None
    values: tuple[Any, ...]
    match message:
        case PermitRequest(number, start, urgent, _):
            values = (PermitMessageKind.ASK, number, start, urgent)
        case PermitReply(number, start, seconds, _):
            values = (PermitMessageKind.ANSWER, number, start, seconds)
        case RateLimitUpdate(start, _, relay):
            values = (PermitMessageKind.TELL, 0, start, relay)
        case LeavingUpdate(start, relay):
            values = (PermitMessageKind.LEAVING, 0, start, relay)
        case TrialRequest(number, start):
            values = (PermitMessageKind.TRIAL, number, start, False)
    data: bytes = msgpack.packb((*values, rate_limit.rate, age))
    return data


def unpack_message(data: bytes, now: float) -> Message:
    """Return the message of a datagram that has just come in; raise FrameError."""
    try:
        kind, number, raw_start, value, rate, age = msgpack.unpackb(data)
        start, rate_limit = _read_start(raw_start), _read_word(rate, age, now)
        match PermitMessageKind(kind):
            case PermitMessageKind.ASK:
                return PermitRequest(
                    check_integer(number, 0, MAX_INT64), start, bool(value), rate_limit
                )
            case PermitMessageKind.ANSWER:
                return PermitReply(
                    check_integer(number, 0, MAX_INT64), start, _read_seconds(value), rate_limit
                )
            case PermitMessageKind.TELL:
                return RateLimitUpdate(start, rate_limit, bool(value))
            case PermitMessageKind.LEAVING:
                return LeavingUpdate(start, bool(value))
            case PermitMessageKind.TRIAL:
                return TrialRequest(check_integer(number, 0, MAX_INT64), start)
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"a word on a limit cannot be read: {error!r}") from None


def _read_word(rate: Any, age: Any, now: float) -> RateLimit:
    at = float("-inf") if age is None else now - _read_seconds(age)
    return RateLimit(None if rate is None else _read_seconds(rate), at)


def _read_start(raw: Any) -> str:
    if not isinstance(raw, str) or not 0 < len(raw) <= LONGEST_START:
        raise ValueError(f"{raw!r} names no start; give up to {LONGEST_START} characters")
    return raw


def _read_seconds(raw: Any) -> float:
    return check_number(raw, 0, sys.float_info.max)
